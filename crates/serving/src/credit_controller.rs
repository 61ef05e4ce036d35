//! Credit of this instance: reservations of requests, and the ceilings in the store that cover them.
//!
//! One task renews the ceilings of all accounts with one conditional write; requests only touch memory, and wait for
//! it when a ceiling is too low. See `docs/CREDIT.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootpick_core::ceilings::{
    AccountUse, CeilingPolicy, CreditBook, HolderRecord, Holding, Loan, Purses, RecordNote, ReserveOutcome, Stake,
    WRITE_EVERY, instance_of,
};
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::quarantine::SuspectNews;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::units::{Instant as BoardInstant, Offset, Tokens};
use coltsfootpick_wire::ceilings::HolderMessage;
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

/// Time between two records of an instance that holds no room; they only tell what it used, and that it lives: a run is
/// believed to for 20 s after its last.
const TELL_EVERY: Duration = Duration::from_secs(5);

/// Least time between two renewals, so that requests that wait together share one.
const RENEW_GAP: Duration = Duration::from_millis(40);

/// Pause after the store did not take a write.
const LOST_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait of a request for a higher ceiling.
const GRANT_WAIT: Duration = Duration::from_millis(300);

/// When a request without credit should come back while the store does not answer.
const STORE_BACKOFF: Duration = Duration::from_secs(1);

/// When a request should come back while what is left of its account lies below the ceilings of others: some of it
/// returns as their requests end.
const DOUBT_BACKOFF: Duration = Duration::from_secs(1);

/// Time after its announcement in which a fresh holder hears of the others before it takes its share.
const ANNOUNCE_WAIT: Duration = Duration::from_millis(1_500);

/// Time after which another peer is asked.
const PEER_WAIT: Duration = Duration::from_millis(70);

/// Peers asked for one request.
const PEERS_ASKED: usize = 3;

/// Time for which a peer that had too little room is not asked for the same account.
const POOR_REST: Duration = Duration::from_millis(500);

/// Longest wait for other instances' clocks before the reserve of a run that died is given up.
const CLOCKS_WAIT: Duration = Duration::from_millis(1_800);

/// How often clocks are asked for.
const CLOCKS_EVERY: Duration = Duration::from_millis(150);

/// Peers whose clocks are asked for.
const CLOCKS_ASKED: usize = 8;

/// Age of what was read up to which a record is planned without reading first; a plan that meets an outage delays the use
/// of the reserve.
const READ_AGE: Duration = Duration::from_millis(100);

/// Writes tried for the last record of a run.
const TRIES_MAX: u32 = 3;

/// Tokens set aside for one request; dropped, it settles what was used.
#[derive(Debug)]
pub struct CreditReservation {
    controller: Arc<CreditController>,
    account: ClientAccountName,
    bound: Tokens,
    used: Tokens,
}

impl CreditReservation {
    /// Sets what the request used so far.
    pub const fn set_used(&mut self, used: Tokens) {
        self.used = used;
    }

    /// What the request used so far.
    pub const fn used(&self) -> Tokens {
        self.used
    }
}

impl Drop for CreditReservation {
    fn drop(&mut self) {
        let now = self.controller.board.clock.now();
        self.controller.purses.lock().settle(&self.account, self.bound, self.used, now);
        self.controller.board.metrics.tokens.inc_by(self.used.0);
    }
}

/// Controller of this instance's credit.
#[derive(Debug)]
pub struct CreditController {
    board: Arc<Blackboard>,
    log: Arc<dyn KeyedLog>,
    purses: Mutex<Purses>,
    book: Mutex<CreditBook>,
    policy: CeilingPolicy,
    peers: Arc<PeerClient>,
    poor: Mutex<BTreeMap<(Arc<str>, ClientAccountName), Instant>>,
    started: Instant,
    clocks: Mutex<BTreeMap<Arc<str>, u64>>,
    outbox: Mutex<Outbox>,
    read_at: Mutex<Option<Instant>>,
    wanted: Notify,
    renewed: watch::Sender<u64>,
    reachable: AtomicBool,
}

/// Writes of this run: the turn that is due, and records that may or may not have been written in it.
#[derive(Debug)]
struct Outbox {
    epoch: u64,
    number: u64,
    unsure: Option<Batch>,
}

impl Default for Outbox {
    fn default() -> Self {
        Self { epoch: 1, number: 0, unsure: None }
    }
}

/// Records of this run, and of runs before it on the same instance, that are written together.
type Batch = Vec<(Arc<str>, HolderRecord)>;

/// How a renewal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Renewal {
    Done,
    Lost,
}

impl CreditController {
    /// Keeper that writes under the name `holder`.
    pub fn new(board: Arc<Blackboard>, log: Arc<dyn KeyedLog>, holder: Arc<str>, policy: CeilingPolicy) -> Arc<Self> {
        Arc::new(Self {
            peers: PeerClient::new(Arc::clone(&holder)),
            poor: Mutex::default(),
            started: Instant::now(),
            clocks: Mutex::default(),
            board,
            log,
            purses: Mutex::new(Purses::new(holder, policy)),
            book: Mutex::default(),
            policy,
            outbox: Mutex::default(),
            read_at: Mutex::default(),
            wanted: Notify::new(),
            renewed: watch::Sender::new(0),
            reachable: AtomicBool::new(false),
        })
    }

    /// Sets `bound` tokens of `account` aside, waiting a little for a higher ceiling.
    pub async fn reserve(
        self: &Arc<Self>,
        account: &ClientAccountName,
        bound: Tokens,
        prepaid: Tokens,
        until: Instant,
    ) -> Result<CreditReservation, Refusal> {
        let until = until.min(Instant::now() + GRANT_WAIT);
        let mut renewed = self.renewed.subscribe();
        let mut waiting: Option<Waiting<'_>> = None;
        let mut asked: Vec<Arc<str>> = Vec::new();
        loop {
            let outcome = self.purses.lock().reserve(account, bound, prepaid, self.board.clock.now());
            match outcome {
                ReserveOutcome::Reserved => {
                    let controller = Arc::clone(self);
                    return Ok(CreditReservation { controller, account: account.clone(), bound, used: Tokens::ZERO });
                }
                ReserveOutcome::Exhausted => return Err(self.refusal(Code::BudgetExhausted, account, bound)),
                ReserveOutcome::Short => {}
            }
            waiting.get_or_insert_with(|| Waiting::new(self, account, bound));
            let is_asked = self.ask_next(account, bound, &mut asked);
            if !is_asked || self.holds(account) {
                self.wanted.notify_one();
            }
            if !is_asked && !self.reachable.load(Ordering::Relaxed) {
                return Err(self.refusal(Code::CreditUnavailable, account, bound).retry_after(STORE_BACKOFF));
            }
            if !is_asked && self.is_held(account, bound) {
                return Err(self.refusal(Code::CreditUnavailable, account, bound).retry_after(DOUBT_BACKOFF));
            }
            let wait = if is_asked { until.min(Instant::now() + PEER_WAIT) } else { until };
            let changed = tokio::time::timeout_at(wait, renewed.changed()).await;
            if changed.is_err() && Instant::now() >= until {
                return Err(self.refusal(Code::CreditUnavailable, account, bound).retry_after(STORE_BACKOFF));
            }
        }
    }

    /// Asks the peer that is believed to have the most room, where the store cannot help; false when none is left.
    fn ask_next(self: &Arc<Self>, account: &ClientAccountName, bound: Tokens, asked: &mut Vec<Arc<str>>) -> bool {
        if asked.len() >= PEERS_ASKED || !self.needs_peers(account, bound) {
            return false;
        }
        let (now, available) = (Instant::now(), self.peers.available());
        let holder = self.holder();
        let mut rooms = self.book.lock().rooms(&holder, account);
        let known = rooms.iter().take_while(|(_, room)| *room >= bound).count();
        if known > 0 {
            // Instances that read the same records ask different holders.
            rooms[..known].rotate_left(usize::try_from(xxh3_64(holder.as_bytes()) % known as u64).unwrap_or_default());
        }
        let poor = self.poor.lock();
        let is_poor =
            |peer: &Arc<str>| poor.get(&(Arc::clone(peer), account.clone())).is_some_and(|until| *until > now);
        let mut by_room = rooms.into_iter().map(|(peer, _)| peer);
        let next = by_room.find(|peer| available.contains(peer) && !asked.contains(peer) && !is_poor(peer));
        drop(poor);
        let Some(peer) = next else { return false };
        let wish = self.purses.lock().wish(account, bound, self.board.clock.now());
        let lender: Arc<dyn LoanHandler> = Arc::<Self>::clone(self);
        self.peers.request_loan(&lender, &peer, account, bound, wish);
        asked.push(peer);
        true
    }

    /// Whether this instance is one of those that hold room of `account`.
    fn holds(&self, account: &ClientAccountName) -> bool {
        let holder = self.holder();
        let (used, _, _) = self.purses.lock().view(account);
        let use_of = AccountUse { account, used, prepaid: self.prepaid(account) };
        self.book.lock().stake(&holder, use_of, self.board.clock.now(), self.policy.silence) != Stake::Borrower
    }

    fn prepaid(&self, account: &ClientAccountName) -> Tokens {
        self.board.table().and_then(|table| table.prepaid(account)).unwrap_or_default()
    }

    /// Whether a higher ceiling should not come from the store: others hold the account, or what is left of it, or the
    /// store does not answer.
    fn needs_peers(&self, account: &ClientAccountName, bound: Tokens) -> bool {
        if !self.reachable.load(Ordering::Relaxed) || !self.holds(account) {
            return true;
        }
        self.is_held(account, bound)
    }

    /// Whether the store has no room for `bound` tokens below what the account paid for.
    fn is_held(&self, account: &ClientAccountName, bound: Tokens) -> bool {
        let prepaid = self.prepaid(account);
        let holder = self.holder();
        let others = self.book.lock().others(&holder, account, self.board.clock.now(), self.policy.silence);
        let (used, reserved, _) = self.purses.lock().view(account);
        prepaid.less(others.ceiling) < used + reserved + bound
    }

    /// Name under which this run holds credit.
    pub fn holder(&self) -> Arc<str> {
        Arc::clone(self.purses.lock().holder())
    }

    /// Tokens of `account` that are used, set aside and allowed here.
    pub fn account_usage(&self, account: &ClientAccountName) -> (Tokens, Tokens, Tokens) {
        self.purses.lock().view(account)
    }

    /// Peers of this instance.
    pub const fn peers(&self) -> &Arc<PeerClient> {
        &self.peers
    }

    fn refusal(&self, code: Code, account: &ClientAccountName, bound: Tokens) -> Refusal {
        let holder = self.holder();
        let others = self.book.lock().others(&holder, account, self.board.clock.now(), self.policy.silence);
        let (used, reserved, allowed) = self.purses.lock().view(account);
        let prepaid = self.prepaid(account);
        let detail = format!(
            "account={account} bound={bound} used={used} reserved={reserved} allowed={allowed} prepaid={prepaid} \
             others-ceiling={} others-seen={} store-reached={}",
            others.ceiling,
            others.seen,
            self.reachable.load(Ordering::Relaxed)
        );
        Refusal::not_run(code, detail)
    }

    /// Renews ceilings until `stop`.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        tokio::select! {
            () = self.renew_always() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn renew_always(self: &Arc<Self>) {
        let mut versions = self.board.versions();
        while self.board.table().is_none() && versions.changed().await.is_ok() {}
        while self.renew(true).await != Renewal::Done {
            tokio::time::sleep(LOST_PAUSE).await;
        }
        if self.book.lock().is_young() {
            tokio::time::sleep(ANNOUNCE_WAIT).await;
        }
        loop {
            let pause = match self.renew(false).await {
                Renewal::Done if self.has_dead_runs() => CLOCKS_EVERY,
                Renewal::Done => WRITE_EVERY,
                Renewal::Lost => LOST_PAUSE,
            };
            tokio::time::sleep(RENEW_GAP).await;
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.wanted.notified() => {}
                changed = versions.changed() => if changed.is_err() { return },
            }
        }
    }

    fn has_dead_runs(&self) -> bool {
        let holder = self.holder();
        !self.book.lock().predecessors(&holder).is_empty()
    }

    /// Time between two records when nothing else asks for one.
    fn write_every(&self) -> Duration {
        let holder = self.holder();
        let book = self.book.lock();
        let has_room = book.record(&holder).is_some_and(|record| record.holdings.values().any(Holding::has_room));
        if has_room { WRITE_EVERY } else { TELL_EVERY }
    }

    /// Records that end this instance's dead runs, and take back reserves that they cannot have used.
    ///
    /// The platform starts a run only once the one before has ended, so these runs use nothing any more. A run whose
    /// proof needs clocks that are not known yet is left for the next renewal.
    fn ended_runs(self: &Arc<Self>) -> Vec<(Arc<str>, HolderRecord)> {
        let holder = self.holder();
        let own = instance_of(&holder);
        let dead = self.book.lock().predecessors(&holder);
        let clocks = self.clocks_at_start();
        let is_late = self.started.elapsed() > CLOCKS_WAIT;
        let mut ended = Vec::with_capacity(dead.len());
        for (name, record) in dead {
            let is_unused = record.has_reserve_unused(own, &clocks);
            if is_unused || is_late || record.is_stale(own, &clocks) {
                let age = record.age_at_most(own, &clocks);
                log_event!(LogEvent::RunEnded, "run={name} age={age:?} clocks={} unused={is_unused}", clocks.len());
                ended.push((name, record.ended(is_unused)));
            } else {
                self.ask_clocks();
            }
        }
        ended
    }

    /// Times of day at this instance and its peers when this run started.
    fn clocks_at_start(&self) -> BTreeMap<Arc<str>, u64> {
        let since = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut clocks = self.clocks.lock().clone();
        let own = self.board.clock.unix_millis().saturating_sub(since);
        clocks.insert(Arc::clone(&self.board.identity.name), own);
        clocks
    }

    fn ask_clocks(self: &Arc<Self>) {
        let lender: Arc<dyn LoanHandler> = Arc::<Self>::clone(self);
        let nobody = ClientAccountName::from("");
        let known = self.clocks.lock().clone();
        let unknown = self.peers.available().into_iter().filter(|peer| !known.contains_key(instance_of(peer)));
        for peer in unknown.take(CLOCKS_ASKED) {
            self.peers.request_loan(&lender, &peer, &nobody, Tokens::ZERO, Tokens::ZERO);
        }
    }

    /// Gives back everything above what was used; true once the store has it.
    pub async fn close(&self) -> bool {
        let document = self.board.table().map_or(0, |table| table.version());
        for _ in 0..TRIES_MAX {
            let unsure = self.outbox.lock().unsure.clone();
            let is_last = unsure.is_none();
            let records = unsure.unwrap_or_else(|| vec![(self.holder(), self.purses.lock().close(document))]);
            if self.write(records).await == Renewal::Done && is_last {
                return true;
            }
        }
        false
    }

    /// Brings the ceilings up to date; an announcement holds no ceilings and only tells that the holder lives.
    ///
    /// A record whose write had no known end is written again first, in the same turn.
    async fn renew(self: &Arc<Self>, announces: bool) -> Renewal {
        let unsure = self.outbox.lock().unsure.clone();
        if let Some(records) = unsure
            && self.write(records).await == Renewal::Lost
        {
            return Renewal::Lost;
        }
        let needs_read = !self.has_read() || self.purses.lock().is_pending();
        if needs_read && self.read_all().await == Renewal::Lost {
            return Renewal::Lost;
        }
        let mut records = self.ended_runs();
        let holder = self.holder();
        records.extend(self.plan(announces).map(|record| (holder, record)));
        if records.is_empty() {
            return Renewal::Done;
        }
        let written = self.write(records).await;
        // What nobody waits for is judged when the log is read next.
        match written {
            Renewal::Done if self.purses.lock().is_short() => self.read_all().await,
            ended => ended,
        }
    }

    /// Whether the log was read so lately that a record can be planned at once; raises are judged when they are read.
    fn has_read(&self) -> bool {
        self.read_at.lock().is_some_and(|at| at.elapsed() < READ_AGE)
    }

    async fn read_all(&self) -> Renewal {
        match self.read().await {
            Ok(()) => {
                self.note_reach(true, "");
                self.renewed.send_modify(|count| *count += 1);
                Renewal::Done
            }
            Err(error) => {
                self.note_reach(false, &error.to_string());
                Renewal::Lost
            }
        }
    }

    fn suspects_told(&self) -> Vec<SuspectNews> {
        let mut suspects = self.board.quarantine.lock().news(self.board.clock.now());
        suspects.sort_by_key(|news| std::cmp::Reverse(news.left));
        suspects.truncate(SUSPECTS_PER_RECORD);
        suspects
    }

    fn plan(&self, announces: bool) -> Option<HolderRecord> {
        let (now, table) = (self.board.clock.now(), self.board.table());
        let version = table.as_ref().map_or(0, |table| table.version());
        let stamp = self.board.clock.unix_millis();
        let write_every = self.write_every();
        let suspects = self.suspects_told();
        let (book, mut purses) = (self.book.lock(), self.purses.lock());
        let note = RecordNote { document: version, stamp, suspects };
        if announces {
            return purses.plan(&book, note, [], now, true);
        }
        let limited = table.iter().flat_map(|table| table.accounts());
        let limited = limited.filter_map(|account| account.prepaid.map(|prepaid| (&account.name, prepaid)));
        let is_old = purses.stamped().is_none_or(|at| now.since(at) >= write_every);
        purses.plan(&book, note, limited, now, is_old)
    }

    /// Reads every record that was written since.
    async fn read(&self) -> Result<(), StoreError> {
        let from = self.book.lock().next();
        let read = match from {
            Offset(0) => Err(StoreError::Trimmed),
            from => self.log.read(Topic::Credit, from, Duration::ZERO).await.map(|batch| (batch.records, batch.next)),
        };
        let is_list = matches!(read, Err(StoreError::Trimmed));
        let (records, next) = match read {
            Err(StoreError::Trimmed) => read_newest(&*self.log, Topic::Credit).await?,
            read => read?,
        };
        let now = self.board.clock.now();
        let (mut book, mut purses) = (self.book.lock(), self.purses.lock());
        for record in records {
            self.apply(&mut book, &mut purses, record, is_list, now);
        }
        book.advance(next);
        *self.read_at.lock() = Some(Instant::now());
        let holder = Arc::clone(purses.holder());
        self.board.note_fleet_size(book.alive(&holder, now, self.policy.silence) + 1);
        Ok(())
    }

    fn apply(&self, book: &mut CreditBook, purses: &mut Purses, record: KeyedRecord, is_list: bool, now: BoardInstant) {
        let Some(value) = record.value else { return };
        let decoded = match HolderMessage::decode(value) {
            Ok(message) => HolderRecord::from(message),
            Err(error) => {
                log_event!(LogEvent::RecordSkipped, "topic=credit key={:?} reason={error}", record.key);
                return;
            }
        };
        if record.key == *purses.holder() {
            self.take_own(book, purses, &decoded, is_list);
        }
        self.board.quarantine.lock().take_news(decoded.suspects.clone(), now);
        book.apply(&record.key, decoded, now);
    }

    fn take_own(&self, book: &CreditBook, purses: &mut Purses, record: &HolderRecord, is_list: bool) {
        if is_list {
            purses.take_newest(record);
            return;
        }
        let table = self.board.table();
        let version = table.as_ref().map_or(0, |table| table.version());
        let prepaid = |account: &ClientAccountName| table.as_ref()?.prepaid(account);
        for account in purses.take_own(record, book, version, prepaid) {
            log_event!(LogEvent::RaiseReduced, "account={account} stamp={} document={version}", record.stamp);
        }
    }

    /// Writes records of this run, or of runs before it, in the turn that is due.
    async fn write(&self, records: Batch) -> Renewal {
        // The records are unsure from now on, since a stop may drop this call at any point.
        let (sequence, was_unsure) = {
            let mut outbox = self.outbox.lock();
            let was_unsure = outbox.unsure.replace(records.clone()).is_some();
            (WriteSequence { writer: self.holder(), epoch: outbox.epoch, number: outbox.number }, was_unsure)
        };
        let keyed = records.iter().map(|(name, record)| {
            let value = Some(HolderMessage::from(record).encode_to_vec().into());
            KeyedRecord { key: Arc::clone(name), value }
        });
        let appended = self.log.append(Topic::Credit, Some(sequence.clone()), keyed.collect()).await;
        let mut outbox = self.outbox.lock();
        let error = match appended {
            Ok(end) => {
                *outbox = Outbox { epoch: sequence.epoch, number: sequence.number + 1, unsure: None };
                for (name, record) in &records {
                    log_event!(LogEvent::CeilingsWritten, "run={name} {}", describe(record, end));
                }
                return Renewal::Done;
            }
            // An earlier sending of the same records may still take effect, whatever became of this one.
            Err(StoreError::Unavailable(error)) if !was_unsure => {
                outbox.unsure = None;
                self.purses.lock().drop_pending();
                error
            }
            Err(StoreError::OutOfSequence(error)) => {
                log_event!(
                    LogEvent::WriteOutOfSequence,
                    "epoch={} number={} reason={error:?}",
                    sequence.epoch,
                    sequence.number
                );
                *outbox = Outbox { epoch: sequence.epoch + 1, number: 0, unsure: Some(records) };
                error
            }
            Err(error) => {
                log_event!(LogEvent::CeilingsUncertain, "turn={} again={was_unsure} error={error}", sequence.number);
                error.to_string()
            }
        };
        drop(outbox);
        self.note_reach(false, &error);
        Renewal::Lost
    }

    fn note_reach(&self, is_reached: bool, error: &str) {
        if self.reachable.swap(is_reached, Ordering::Relaxed) == is_reached {
            return;
        }
        match is_reached {
            true => log_event!(LogEvent::DependencyBack, "store topic=credit"),
            false => log_event!(LogEvent::DependencyLost, "store topic=credit error={error:?}"),
        }
        self.renewed.send_modify(|count| *count += 1);
    }
}

impl LoanHandler for CreditController {
    fn lend(&self, account: &ClientAccountName, least: Tokens, most: Tokens) -> Loan {
        let loan = self.purses.lock().lend(account, least, most, self.board.clock.now());
        if loan.amount < most {
            self.wanted.notify_one();
        }
        loan
    }

    fn reclaim(&self, account: &ClientAccountName, amount: Tokens) {
        self.purses.lock().take_back(account, amount);
    }

    fn receive_loan(&self, peer: &str, account: &ClientAccountName, loan: Loan) {
        log_event!(LogEvent::CreditBorrowed, "peer={peer} account={account} amount={} left={}", loan.amount, loan.left);
        self.purses.lock().borrow(account, loan.amount);
        if loan.amount.is_zero() {
            let (now, mut poor) = (Instant::now(), self.poor.lock());
            poor.retain(|_, until| *until > now);
            poor.insert((Arc::from(peer), account.clone()), now + POOR_REST);
        }
        self.renewed.send_modify(|count| *count += 1);
    }

    fn unix_millis(&self) -> u64 {
        self.board.clock.unix_millis()
    }

    fn note_clock(&self, peer: &str, clock: u64) {
        let since = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.clocks.lock().insert(Arc::from(instance_of(peer)), clock.saturating_sub(since));
    }

    fn note_unreachable(&self, _peer: &str) {
        self.renewed.send_modify(|count| *count += 1);
    }
}

/// Request that waits for a higher ceiling.
struct Waiting<'a> {
    controller: &'a CreditController,
    account: &'a ClientAccountName,
    bound: Tokens,
}

impl<'a> Waiting<'a> {
    fn new(controller: &'a CreditController, account: &'a ClientAccountName, bound: Tokens) -> Self {
        controller.purses.lock().want(account, bound, true);
        Self { controller, account, bound }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.controller.purses.lock().want(self.account, self.bound, false);
    }
}

fn describe(record: &HolderRecord, end: Offset) -> String {
    let holdings = record.holdings.iter().map(|(account, holding)| {
        let Holding { settled, ceiling, reserve } = holding;
        format!(" {account}={settled}/{ceiling}+{reserve}")
    });
    format!("end={end} document={} closed={}{}", record.document, record.closed, holdings.collect::<String>())
}
