//! Reserves credit for requests and keeps the credit ceilings that cover the reservations up to date in the store.
//!
//! One task renews the ceilings of all client accounts with one sequenced write. Requests reserve in memory and wait for
//! a renewal only when a ceiling is too low. See `docs/CREDIT.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootpick_core::ceilings::{
    AccountCeiling, AccountUsage, CeilingPolicy, CeilingTable, CreditRole, HeadroomOutcome, HolderCredit, HolderRecord,
    Loan, RecordMetadata, WRITE_INTERVAL, instance_of,
};
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::quarantine::SuspectReport;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::units::{Instant as CoreInstant, Offset, Tokens};
use coltsfootpick_wire::ceilings::HolderRecordMessage;
use parking_lot::Mutex;
use prost::Message;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::blackboard::Blackboard;
use crate::crash_detection::SUSPECTS_PER_RECORD;
use crate::interfaces::{KeyedLog, KeyedRecord, StoreError, Topic, WriteSequence};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::peers::{LoanHandler, PeerClient};
use crate::topic_reader::read_newest;

/// Interval between records of an instance without headroom. They report its usage and serve as its heartbeat: other
/// instances treat a run as live for 20 s after its last record.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest pause between two renewals, so that requests waiting at the same time share one.
const RENEWAL_PAUSE: Duration = Duration::from_millis(40);

/// Pause before a failed renewal is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest time that a request waits for a higher ceiling.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Retry delay given to a request that is refused because the store does not answer.
const STORE_BACKOFF: Duration = Duration::from_secs(1);

/// Retry delay given to a request that is refused because other holders' ceilings cover the rest of the prepaid tokens;
/// part of it becomes available as their requests end.
const HELD_BACKOFF: Duration = Duration::from_secs(1);

/// Time that a new holder waits after its first record, if no holder has a ceiling yet, to learn of the other holders
/// before it takes its share.
const STARTUP_WAIT: Duration = Duration::from_millis(1_500);

/// Time that a request waits for one peer's loan before it asks the next peer.
const LOAN_TIMEOUT: Duration = Duration::from_millis(70);

/// Maximum number of peers that one request asks for a loan.
const LOAN_PEERS_MAX: usize = 3;

/// Time during which a peer that refused a loan is not asked again for the same account.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

/// Longest wait for the clocks of other instances; after it, an earlier run is closed without taking back its reserve
/// unless the known clocks prove that the reserve is unused.
const CLOCK_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Interval at which peers are asked for their clocks.
const CLOCK_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of peers that are asked for their clocks at a time.
const CLOCK_PEERS_MAX: usize = 8;

/// Age up to which the last read of the topic is recent enough to plan a record without reading again. A record planned
/// during an outage delays the use of the reserve.
const READ_AGE_MAX: Duration = Duration::from_millis(100);

/// Maximum number of attempts to write the final record of a run.
const CLOSE_ATTEMPTS: u32 = 3;

/// Tokens reserved for one request; dropping it settles the tokens that were used.
#[derive(Debug)]
pub struct CreditReservation {
    controller: Arc<CreditController>,
    account: ClientAccountName,
    bound: Tokens,
    used: Tokens,
}

impl CreditReservation {
    /// Sets the number of tokens that the request has used so far.
    pub const fn set_used(&mut self, used: Tokens) {
        self.used = used;
    }

    /// Number of tokens that the request has used so far.
    pub const fn used(&self) -> Tokens {
        self.used
    }
}

impl Drop for CreditReservation {
    fn drop(&mut self) {
        let now = self.controller.board.clock.now();
        self.controller.credit.lock().settle(&self.account, self.bound, self.used, now);
        self.controller.board.metrics.tokens.inc_by(self.used.0);
    }
}

/// Controller that reserves this instance's credit and renews its ceilings.
#[derive(Debug)]
pub struct CreditController {
    board: Arc<Blackboard>,
    store: Arc<dyn KeyedLog>,
    credit: Mutex<HolderCredit>,
    ceilings: Mutex<CeilingTable>,
    policy: CeilingPolicy,
    peers: Arc<PeerClient>,
    /// Peers that refused a loan for an account, and when they may be asked for it again.
    loan_refusals: Mutex<BTreeMap<(Arc<str>, ClientAccountName), Instant>>,
    started: Instant,
    /// Unix time in milliseconds at which this run started, by the clock of each peer instance.
    peer_starts: Mutex<BTreeMap<Arc<str>, u64>>,
    pending: Mutex<PendingWrite>,
    read_at: Mutex<Option<Instant>>,
    renewal_needed: Notify,
    credit_changed: watch::Sender<u64>,
    store_reachable: AtomicBool,
}

/// Sequence of the next write, and the records of a previous write under it whose outcome is unknown.
#[derive(Debug)]
struct PendingWrite {
    epoch: u64,
    number: u64,
    uncertain: Option<HolderRecords>,
}

impl Default for PendingWrite {
    fn default() -> Self {
        Self { epoch: 1, number: 0, uncertain: None }
    }
}

/// Records of this run, and of earlier runs of the same instance, that are written together, by holder.
type HolderRecords = Vec<(Arc<str>, HolderRecord)>;

/// Outcome of a renewal or of one of its steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RenewalOutcome {
    Done,
    Failed,
}

impl CreditController {
    /// Creates a controller that writes its records under the key `holder`.
    pub fn new(board: Arc<Blackboard>, store: Arc<dyn KeyedLog>, holder: Arc<str>, policy: CeilingPolicy) -> Arc<Self> {
        Arc::new(Self {
            peers: PeerClient::new(Arc::clone(&holder)),
            loan_refusals: Mutex::default(),
            started: Instant::now(),
            peer_starts: Mutex::default(),
            board,
            store,
            credit: Mutex::new(HolderCredit::new(holder, policy)),
            ceilings: Mutex::default(),
            policy,
            pending: Mutex::default(),
            read_at: Mutex::default(),
            renewal_needed: Notify::new(),
            credit_changed: watch::Sender::new(0),
            store_reachable: AtomicBool::new(false),
        })
    }

    /// Reserves `bound` tokens of `account`; waits for a loan or a renewal if the ceiling is too low.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if the account is used up, or if no credit arrives before `deadline` or within
    /// `RESERVE_TIMEOUT`.
    pub async fn reserve(
        self: &Arc<Self>,
        account: &ClientAccountName,
        bound: Tokens,
        prepaid: Tokens,
        deadline: Instant,
    ) -> Result<CreditReservation, Refusal> {
        let deadline = deadline.min(Instant::now() + RESERVE_TIMEOUT);
        let mut credit_changed = self.credit_changed.subscribe();
        let mut waiting: Option<WaitingRequest<'_>> = None;
        let mut asked_peers: Vec<Arc<str>> = Vec::new();
        loop {
            let outcome = self.credit.lock().reserve(account, bound, prepaid, self.board.clock.now());
            match outcome {
                HeadroomOutcome::Reserved => {
                    let controller = Arc::clone(self);
                    return Ok(CreditReservation { controller, account: account.clone(), bound, used: Tokens::ZERO });
                }
                HeadroomOutcome::Exhausted => return Err(self.refusal(Code::BudgetExhausted, account, bound)),
                HeadroomOutcome::NoHeadroom => {}
            }
            waiting.get_or_insert_with(|| WaitingRequest::new(self, account, bound));
            let has_requested = self.request_next_loan(account, bound, &mut asked_peers);
            if !has_requested || self.is_lender(account) {
                self.renewal_needed.notify_one();
            }
            if !has_requested && !self.store_reachable.load(Ordering::Relaxed) {
                return Err(self.refusal(Code::CreditUnavailable, account, bound).retry_after(STORE_BACKOFF));
            }
            if !has_requested && self.is_held_by_others(account, bound) {
                return Err(self.refusal(Code::CreditUnavailable, account, bound).retry_after(HELD_BACKOFF));
            }
            let wake = if has_requested { deadline.min(Instant::now() + LOAN_TIMEOUT) } else { deadline };
            let changed = tokio::time::timeout_at(wake, credit_changed.changed()).await;
            if changed.is_err() && Instant::now() >= deadline {
                return Err(self.refusal(Code::CreditUnavailable, account, bound).retry_after(STORE_BACKOFF));
            }
        }
    }

    /// Requests a loan from the peer with the most known headroom, if the store cannot grant a higher ceiling.
    ///
    /// Returns false if no loan was requested.
    fn request_next_loan(
        self: &Arc<Self>,
        account: &ClientAccountName,
        bound: Tokens,
        asked_peers: &mut Vec<Arc<str>>,
    ) -> bool {
        if asked_peers.len() >= LOAN_PEERS_MAX || !self.needs_peers(account, bound) {
            return false;
        }
        let (now, available) = (Instant::now(), self.peers.available());
        let holder = self.holder();
        let mut holders = self.ceilings.lock().headroom_by_holder(&holder, account);
        let sufficient = holders.iter().take_while(|(_, headroom)| *headroom >= bound).count();
        if sufficient > 0 {
            // Rotates by a hash of the own name, so that instances with the same records ask different holders.
            holders[..sufficient]
                .rotate_left(usize::try_from(xxh3_64(holder.as_bytes()) % sufficient as u64).unwrap_or_default());
        }
        let refusals = self.loan_refusals.lock();
        let is_refused =
            |peer: &Arc<str>| refusals.get(&(Arc::clone(peer), account.clone())).is_some_and(|until| *until > now);
        let mut candidates = holders.into_iter().map(|(peer, _)| peer);
        let next = candidates.find(|peer| available.contains(peer) && !asked_peers.contains(peer) && !is_refused(peer));
        drop(refusals);
        let Some(peer) = next else { return false };
        let amount = self.credit.lock().loan_target(account, bound, self.board.clock.now());
        let handler: Arc<dyn LoanHandler> = Arc::<Self>::clone(self);
        self.peers.request_loan(&handler, &peer, account, bound, amount);
        asked_peers.push(peer);
        true
    }

    /// Whether this instance keeps headroom of `account` itself instead of borrowing it.
    fn is_lender(&self, account: &ClientAccountName) -> bool {
        let holder = self.holder();
        let (used, _, _) = self.credit.lock().usage(account);
        let usage = AccountUsage { account, used, prepaid: self.prepaid(account) };
        self.ceilings.lock().credit_role(&holder, usage, self.board.clock.now(), self.policy.silence)
            != CreditRole::Borrower
    }

    fn prepaid(&self, account: &ClientAccountName) -> Tokens {
        self.board.routes().and_then(|table| table.prepaid(account)).unwrap_or_default()
    }

    /// Whether credit must come from a peer: the store does not answer, this instance is only a borrower, or the other
    /// holders' ceilings leave too few tokens.
    fn needs_peers(&self, account: &ClientAccountName, bound: Tokens) -> bool {
        if !self.store_reachable.load(Ordering::Relaxed) || !self.is_lender(account) {
            return true;
        }
        self.is_held_by_others(account, bound)
    }

    /// Whether the ceilings of other holders leave fewer than `bound` prepaid tokens to this one.
    fn is_held_by_others(&self, account: &ClientAccountName, bound: Tokens) -> bool {
        let prepaid = self.prepaid(account);
        let holder = self.holder();
        let others = self.ceilings.lock().others(&holder, account, self.board.clock.now(), self.policy.silence);
        let (used, reserved, _) = self.credit.lock().usage(account);
        prepaid.saturating_sub(others.allowed) < used + reserved + bound
    }

    /// Name of this run as a holder of credit, `INSTANCE/RUN`.
    pub fn holder(&self) -> Arc<str> {
        Arc::clone(self.credit.lock().holder())
    }

    /// Tokens of `account` that this instance has used, has reserved and may use, in this order.
    pub fn account_usage(&self, account: &ClientAccountName) -> (Tokens, Tokens, Tokens) {
        self.credit.lock().usage(account)
    }

    /// Client for loans from other instances.
    pub const fn peers(&self) -> &Arc<PeerClient> {
        &self.peers
    }

    fn refusal(&self, code: Code, account: &ClientAccountName, bound: Tokens) -> Refusal {
        let holder = self.holder();
        let others = self.ceilings.lock().others(&holder, account, self.board.clock.now(), self.policy.silence);
        let (used, reserved, allowed) = self.credit.lock().usage(account);
        let prepaid = self.prepaid(account);
        let detail = format!(
            "account={account} bound={bound} used={used} reserved={reserved} allowed={allowed} prepaid={prepaid} \
             others-ceiling={} others-seen={} store-reached={}",
            others.allowed,
            others.reported,
            self.store_reachable.load(Ordering::Relaxed)
        );
        Refusal::not_run(code, detail)
    }

    /// Renews ceilings until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        tokio::select! {
            () = self.renew_forever() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn renew_forever(self: &Arc<Self>) {
        let mut versions = self.board.document_versions();
        while self.board.routes().is_none() && versions.changed().await.is_ok() {}
        while self.renew(true).await != RenewalOutcome::Done {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if self.ceilings.lock().has_no_ceilings() {
            tokio::time::sleep(STARTUP_WAIT).await;
        }
        loop {
            let pause = match self.renew(false).await {
                RenewalOutcome::Done if self.has_earlier_runs() => CLOCK_INTERVAL,
                RenewalOutcome::Done => WRITE_INTERVAL,
                RenewalOutcome::Failed => RETRY_PAUSE,
            };
            tokio::time::sleep(RENEWAL_PAUSE).await;
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.renewal_needed.notified() => {}
                changed = versions.changed() => if changed.is_err() { return },
            }
        }
    }

    fn has_earlier_runs(&self) -> bool {
        let holder = self.holder();
        !self.ceilings.lock().predecessors(&holder).is_empty()
    }

    /// Interval between records while nothing requires one sooner.
    fn write_interval(&self) -> Duration {
        let holder = self.holder();
        let ceilings = self.ceilings.lock();
        let has_headroom =
            ceilings.record(&holder).is_some_and(|record| record.ceilings.values().any(AccountCeiling::has_headroom));
        if has_headroom { WRITE_INTERVAL } else { HEARTBEAT_INTERVAL }
    }

    /// Returns records that close earlier runs of this instance and reclaim the reserves that they cannot have used.
    ///
    /// The platform starts a run only after the previous one has ended, so earlier runs use no more credit. Runs that
    /// need further peers' clocks as proof are left for the next renewal.
    fn close_earlier_runs(self: &Arc<Self>) -> Vec<(Arc<str>, HolderRecord)> {
        let holder = self.holder();
        let instance = instance_of(&holder);
        let earlier = self.ceilings.lock().predecessors(&holder);
        let clocks = self.start_times();
        let is_timed_out = self.started.elapsed() > CLOCK_TIMEOUT;
        let mut closed = Vec::with_capacity(earlier.len());
        for (name, record) in earlier {
            let is_unused = record.is_reserve_unused(instance, &clocks);
            if is_unused || is_timed_out || record.is_stale(instance, &clocks) {
                let age = record.max_age(instance, &clocks);
                log_event!(LogEvent::RunClosed, "run={name} age={age:?} clocks={} unused={is_unused}", clocks.len());
                closed.push((name, record.to_closed(is_unused)));
            } else {
                self.request_clocks();
            }
        }
        closed
    }

    /// Unix times in milliseconds at which this run started, by the clocks of this instance and of its peers.
    fn start_times(&self) -> BTreeMap<Arc<str>, u64> {
        let run_millis = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut clocks = self.peer_starts.lock().clone();
        let own = self.board.clock.unix_millis().saturating_sub(run_millis);
        clocks.insert(Arc::clone(&self.board.instance.name), own);
        clocks
    }

    /// Asks peers for their clocks: the answer to a loan request, even to one of zero tokens, states the peer's time.
    fn request_clocks(self: &Arc<Self>) {
        let handler: Arc<dyn LoanHandler> = Arc::<Self>::clone(self);
        let no_account = ClientAccountName::from("");
        let known = self.peer_starts.lock().clone();
        let unknown = self.peers.available().into_iter().filter(|peer| !known.contains_key(instance_of(peer)));
        for peer in unknown.take(CLOCK_PEERS_MAX) {
            self.peers.request_loan(&handler, &peer, &no_account, Tokens::ZERO, Tokens::ZERO);
        }
    }

    /// Writes the final record, which returns all unused credit; true once the store has it.
    pub async fn close(&self) -> bool {
        let document = self.board.routes().map_or(0, |table| table.version());
        for _ in 0..CLOSE_ATTEMPTS {
            let uncertain = self.pending.lock().uncertain.clone();
            let is_last = uncertain.is_none();
            let records = uncertain.unwrap_or_else(|| vec![(self.holder(), self.credit.lock().close(document))]);
            if self.write(records).await == RenewalOutcome::Done && is_last {
                return true;
            }
        }
        false
    }

    /// Writes new ceilings where needed; if `is_first`, a record without ceilings that only announces the holder.
    ///
    /// Records whose last write has an unknown outcome are written again first, under the same sequence.
    async fn renew(self: &Arc<Self>, is_first: bool) -> RenewalOutcome {
        let uncertain = self.pending.lock().uncertain.clone();
        if let Some(records) = uncertain
            && self.write(records).await == RenewalOutcome::Failed
        {
            return RenewalOutcome::Failed;
        }
        let needs_read = !self.has_recent_read() || self.credit.lock().is_pending();
        if needs_read && self.read_and_notify().await == RenewalOutcome::Failed {
            return RenewalOutcome::Failed;
        }
        let mut records = self.close_earlier_runs();
        let holder = self.holder();
        records.extend(self.plan(is_first).map(|record| (holder, record)));
        if records.is_empty() {
            return RenewalOutcome::Done;
        }
        let result = self.write(records).await;
        // Without waiting requests, the raise takes effect when the topic is read next.
        match result {
            RenewalOutcome::Done if self.credit.lock().has_waiting() => self.read_and_notify().await,
            result => result,
        }
    }

    /// Whether the topic was read recently enough to plan a record without reading it again.
    fn has_recent_read(&self) -> bool {
        self.read_at.lock().is_some_and(|at| at.elapsed() < READ_AGE_MAX)
    }

    async fn read_and_notify(&self) -> RenewalOutcome {
        match self.read().await {
            Ok(()) => {
                self.set_reachable(true, "");
                self.credit_changed.send_modify(|count| *count += 1);
                RenewalOutcome::Done
            }
            Err(error) => {
                self.set_reachable(false, &error.to_string());
                RenewalOutcome::Failed
            }
        }
    }

    fn suspect_reports(&self) -> Vec<SuspectReport> {
        let mut suspects = self.board.quarantine.lock().reports(self.board.clock.now());
        suspects.sort_by_key(|report| std::cmp::Reverse(report.remaining));
        suspects.truncate(SUSPECTS_PER_RECORD);
        suspects
    }

    /// Plans the next record of this run; `None` if nothing needs to be written.
    fn plan(&self, is_first: bool) -> Option<HolderRecord> {
        let (now, routes) = (self.board.clock.now(), self.board.routes());
        let version = routes.as_ref().map_or(0, |table| table.version());
        let timestamp = self.board.clock.unix_millis();
        let write_interval = self.write_interval();
        let suspects = self.suspect_reports();
        let (ceilings, mut credit) = (self.ceilings.lock(), self.credit.lock());
        let metadata = RecordMetadata { document: version, timestamp, suspects };
        if is_first {
            return credit.plan_record(&ceilings, metadata, [], now, true);
        }
        let limited_accounts = routes.iter().flat_map(|table| table.accounts());
        let limited_accounts =
            limited_accounts.filter_map(|account| account.prepaid.map(|prepaid| (&account.name, prepaid)));
        let is_due = credit.last_written().is_none_or(|at| now.since(at) >= write_interval);
        credit.plan_record(&ceilings, metadata, limited_accounts, now, is_due)
    }

    /// Reads and applies the records written since the last read, or all current ones if those were dropped.
    async fn read(&self) -> Result<(), StoreError> {
        let from = self.ceilings.lock().next();
        let result = match from {
            Offset(0) => Err(StoreError::Trimmed),
            from => self.store.read(Topic::Credit, from, Duration::ZERO).await.map(|batch| (batch.records, batch.next)),
        };
        let is_snapshot = matches!(result, Err(StoreError::Trimmed));
        let (records, next) = match result {
            Err(StoreError::Trimmed) => read_newest(&*self.store, Topic::Credit).await?,
            result => result?,
        };
        let now = self.board.clock.now();
        let (mut ceilings, mut credit) = (self.ceilings.lock(), self.credit.lock());
        for record in records {
            self.apply(&mut ceilings, &mut credit, record, is_snapshot, now);
        }
        ceilings.advance(next);
        *self.read_at.lock() = Some(Instant::now());
        let holder = Arc::clone(credit.holder());
        self.board.note_fleet_size(ceilings.live_count(&holder, now, self.policy.silence) + 1);
        Ok(())
    }

    fn apply(
        &self,
        ceilings: &mut CeilingTable,
        credit: &mut HolderCredit,
        record: KeyedRecord,
        is_snapshot: bool,
        now: CoreInstant,
    ) {
        let Some(value) = record.value else { return };
        let decoded = match HolderRecordMessage::decode(value) {
            Ok(message) => HolderRecord::from(message),
            Err(error) => {
                log_event!(LogEvent::RecordSkipped, "topic=credit key={:?} reason={error}", record.key);
                return;
            }
        };
        if record.key == *credit.holder() {
            self.apply_own(ceilings, credit, &decoded, is_snapshot);
        }
        self.board.quarantine.lock().merge_reports(decoded.suspects.clone(), now);
        ceilings.apply(&record.key, decoded, now);
    }

    /// Applies a record of this run that was read from the store, and logs raises that take effect only in part.
    fn apply_own(&self, ceilings: &CeilingTable, credit: &mut HolderCredit, record: &HolderRecord, is_snapshot: bool) {
        if is_snapshot {
            credit.apply_newest(record);
            return;
        }
        let routes = self.board.routes();
        let version = routes.as_ref().map_or(0, |table| table.version());
        let prepaid = |account: &ClientAccountName| routes.as_ref()?.prepaid(account);
        for account in credit.apply_own(record, ceilings, version, prepaid) {
            log_event!(
                LogEvent::CeilingRaiseReduced,
                "account={account} stamp={} document={version}",
                record.timestamp
            );
        }
    }

    /// Writes records of this run or of earlier ones under the next sequence.
    async fn write(&self, records: HolderRecords) -> RenewalOutcome {
        // The outcome is uncertain from here on, since shutdown may drop this future at any await.
        let (sequence, was_uncertain) = {
            let mut pending = self.pending.lock();
            let was_uncertain = pending.uncertain.replace(records.clone()).is_some();
            (WriteSequence { writer: self.holder(), epoch: pending.epoch, number: pending.number }, was_uncertain)
        };
        let keyed = records.iter().map(|(name, record)| {
            let value = Some(HolderRecordMessage::from(record).encode_to_vec().into());
            KeyedRecord { key: Arc::clone(name), value }
        });
        let appended = self.store.append(Topic::Credit, Some(sequence.clone()), keyed.collect()).await;
        let mut pending = self.pending.lock();
        let error = match appended {
            Ok(end) => {
                *pending = PendingWrite { epoch: sequence.epoch, number: sequence.number + 1, uncertain: None };
                for (name, record) in &records {
                    log_event!(LogEvent::CeilingsWritten, "run={name} {}", ceilings_summary(record, end));
                }
                return RenewalOutcome::Done;
            }
            // If an earlier write of the same records is uncertain, it may still take effect although this one did not.
            Err(StoreError::Unavailable(error)) if !was_uncertain => {
                pending.uncertain = None;
                self.credit.lock().discard_pending();
                error
            }
            Err(StoreError::OutOfSequence(error)) => {
                log_event!(
                    LogEvent::WriteOutOfSequence,
                    "epoch={} number={} reason={error:?}",
                    sequence.epoch,
                    sequence.number
                );
                *pending = PendingWrite { epoch: sequence.epoch + 1, number: 0, uncertain: Some(records) };
                error
            }
            Err(error) => {
                log_event!(LogEvent::CeilingsUncertain, "turn={} again={was_uncertain} error={error}", sequence.number);
                error.to_string()
            }
        };
        drop(pending);
        self.set_reachable(false, &error);
        RenewalOutcome::Failed
    }

    fn set_reachable(&self, is_reachable: bool, error: &str) {
        if self.store_reachable.swap(is_reachable, Ordering::Relaxed) == is_reachable {
            return;
        }
        match is_reachable {
            true => log_event!(LogEvent::DependencyRecovered, "store topic=credit"),
            false => log_event!(LogEvent::DependencyLost, "store topic=credit error={error:?}"),
        }
        self.credit_changed.send_modify(|count| *count += 1);
    }
}

impl LoanHandler for CreditController {
    fn lend(&self, account: &ClientAccountName, least: Tokens, most: Tokens) -> Loan {
        let loan = self.credit.lock().lend(account, least, most, self.board.clock.now());
        if loan.amount < most {
            self.renewal_needed.notify_one();
        }
        loan
    }

    fn cancel_loan(&self, account: &ClientAccountName, amount: Tokens) {
        self.credit.lock().cancel_loan(account, amount);
    }

    fn receive_loan(&self, peer: &str, account: &ClientAccountName, loan: Loan) {
        log_event!(
            LogEvent::CreditBorrowed,
            "peer={peer} account={account} amount={} left={}",
            loan.amount,
            loan.headroom
        );
        self.credit.lock().borrow(account, loan.amount);
        if loan.amount.is_zero() {
            let (now, mut refusals) = (Instant::now(), self.loan_refusals.lock());
            refusals.retain(|_, until| *until > now);
            refusals.insert((Arc::from(peer), account.clone()), now + REFUSED_PAUSE);
        }
        self.credit_changed.send_modify(|count| *count += 1);
    }

    fn unix_millis(&self) -> u64 {
        self.board.clock.unix_millis()
    }

    fn note_clock(&self, peer: &str, clock: u64) {
        let run_millis = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.peer_starts.lock().insert(Arc::from(instance_of(peer)), clock.saturating_sub(run_millis));
    }

    fn note_unreachable(&self, _peer: &str) {
        self.credit_changed.send_modify(|count| *count += 1);
    }
}

/// Registers a request as waiting for a higher ceiling until it is dropped.
struct WaitingRequest<'a> {
    controller: &'a CreditController,
    account: &'a ClientAccountName,
    bound: Tokens,
}

impl<'a> WaitingRequest<'a> {
    fn new(controller: &'a CreditController, account: &'a ClientAccountName, bound: Tokens) -> Self {
        controller.credit.lock().count_waiting(account, bound, true);
        Self { controller, account, bound }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.controller.credit.lock().count_waiting(self.account, self.bound, false);
    }
}

/// Formats a written record for the log, with `ACCOUNT=SETTLED/CEILING+RESERVE` for each account.
fn ceilings_summary(record: &HolderRecord, end: Offset) -> String {
    let ceilings = record.ceilings.iter().map(|(account, account_ceiling)| {
        let AccountCeiling { settled, ceiling, reserve } = account_ceiling;
        format!(" {account}={settled}/{ceiling}+{reserve}")
    });
    format!("end={end} document={} closed={}{}", record.document, record.closed, ceilings.collect::<String>())
}
