//! Keeps the credit ceilings that cover the reservations up to date in the store.
//!
//! One task renews the ceilings of all client accounts with one sequenced write. An instance of a large fleet that is
//! no lender and holds no credit neither reads nor writes. See `docs/CREDIT.md#order`.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coltsfootpick_core::ceilings::{AccountCeiling, CeilingTable, HolderRecord};
use coltsfootpick_core::holder_credit::{HolderCredit, PlannedAccount, RecordMetadata};
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::quarantine::SuspectReport;
use coltsfootpick_core::units::{Instant as CoreInstant, LogPosition, Offset};
use coltsfootpick_wire::ceilings::HolderRecordMessage;
use prost::Message;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::crash_detection::SUSPECTS_PER_RECORD;
use crate::credit_controller::CreditController;
use crate::interfaces::{KeyedRecord, StoreError, Topic, WriteSequence};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::topic_reader::read_newest;

/// Interval between records of an instance without headroom. They report its usage and serve as its heartbeat: other
/// instances treat a run as live for 20 s after its last record.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest pause between two renewals, so that requests waiting at the same time share one.
const RENEWAL_PAUSE: Duration = Duration::from_millis(40);

/// Pause before a failed renewal is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time that a new holder waits after its first record, if no holder has a ceiling yet, to learn of the other holders
/// before it takes its share.
const STARTUP_WAIT: Duration = Duration::from_millis(1_500);

/// Longest wait for the first read of the fleet list, which decides whether this instance holds credit.
const FLEET_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which an instance without credit checks whether it has become a lender.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which peers are asked for their clocks.
const CLOCK_INTERVAL: Duration = Duration::from_millis(150);

/// Age up to which the last read of the topic is recent enough to plan a record without reading again. A record planned
/// during an outage delays the use of the reserve.
const READ_AGE_MAX: Duration = Duration::from_millis(100);

/// Maximum number of attempts to write the final record of a run.
const CLOSE_ATTEMPTS: u32 = 3;

/// Sequence of the next write, and the records of a previous write under it whose outcome is unknown.
#[derive(Debug)]
pub(crate) struct PendingWrite {
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
pub(crate) type HolderRecords = Vec<(Arc<str>, HolderRecord)>;

/// Outcome of a renewal or of one of its steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RenewalOutcome {
    Done,
    Failed,
}

impl CreditController {
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
        self.board.wait_for_fleet(FLEET_TIMEOUT).await;
        while self.renew(true).await != RenewalOutcome::Done {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        if self.ceilings.lock().has_no_ceilings() {
            tokio::time::sleep(STARTUP_WAIT).await;
        }
        loop {
            let is_idle = !self.holds_credit() && !self.has_earlier_runs();
            let pause = match is_idle {
                true => IDLE_INTERVAL,
                false => match self.renew(false).await {
                    RenewalOutcome::Done if self.has_earlier_runs() => CLOCK_INTERVAL,
                    RenewalOutcome::Done => self.board.credit_write_interval(),
                    RenewalOutcome::Failed => RETRY_PAUSE,
                },
            };
            tokio::time::sleep(RENEWAL_PAUSE).await;
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.renewal_needed.notified() => {}
                changed = versions.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Whether this instance holds credit of its own, or has to.
    pub(crate) fn holds_credit(&self) -> bool {
        if self.board.is_shared_fleet() || self.board.lenders().contains(&self.board.instance.name) {
            return true;
        }
        let credit = self.credit.lock();
        credit.holds_credit() || credit.has_waiting()
    }

    /// Interval between records while nothing requires one sooner.
    fn write_interval(&self) -> Duration {
        let ceilings = self.ceilings.lock();
        let has_headroom = ceilings
            .record(self.holder())
            .is_some_and(|record| record.ceilings.values().any(AccountCeiling::has_headroom));
        if has_headroom { self.board.credit_write_interval() } else { HEARTBEAT_INTERVAL }
    }

    /// Writes the final record, which returns all unused credit; true once the store has it.
    pub async fn close(&self) -> bool {
        let document = self.board.routes().map_or(0, |table| table.version());
        for _ in 0..CLOSE_ATTEMPTS {
            let uncertain = self.pending.lock().uncertain.clone();
            let is_last = uncertain.is_none();
            let records =
                uncertain.unwrap_or_else(|| vec![(Arc::clone(self.holder()), self.credit.lock().close(document))]);
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
        records.extend(self.lost_records());
        records.extend(self.plan(is_first));
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
                self.notify_changed();
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

    /// Plans the next records of this run, none if nothing needs to be written.
    fn plan(&self, is_first: bool) -> HolderRecords {
        let is_holder = self.holds_credit();
        if is_first && !is_holder {
            return HolderRecords::new();
        }
        let (now, routes) = (self.board.clock.now(), self.board.routes());
        let version = routes.as_ref().map_or(0, |table| table.version());
        let timestamp = self.board.clock.unix_millis();
        let write_interval = self.write_interval();
        let suspects = self.suspect_reports();
        let (ceilings, mut credit) = (self.ceilings.lock(), self.credit.lock());
        let metadata = RecordMetadata { era: ceilings.next().era, document: version, timestamp, suspects };
        if is_first {
            let planned = credit.plan_record(&ceilings, metadata, [], now, true);
            return planned.map(|_| credit.pending_records()).unwrap_or_default();
        }
        let live = ceilings.live_count(self.holder(), now, self.policy.silence) as u64 + 1;
        let limited_accounts = routes.iter().flat_map(|table| table.accounts()).filter_map(|account| {
            let role = self.board.credit_role(&account.name, live);
            account.prepaid.map(|prepaid| PlannedAccount { name: &account.name, prepaid, role })
        });
        let is_due = is_holder && credit.last_written().is_none_or(|at| now.since(at) >= write_interval);
        let planned = credit.plan_record(&ceilings, metadata, limited_accounts, now, is_due);
        planned.map(|_| credit.pending_records()).unwrap_or_default()
    }

    /// Reads and applies the records written since the last read, or all current ones if those were dropped.
    async fn read(&self) -> Result<(), StoreError> {
        let from = self.ceilings.lock().next();
        let result = match from.offset {
            Offset(0) => Err(StoreError::Trimmed),
            _ => self.store.read(Topic::Credit, from, Duration::ZERO).await.map(|batch| (batch.records, batch.next)),
        };
        let is_snapshot = matches!(result, Err(StoreError::Trimmed | StoreError::Restored));
        let (records, next) = match result {
            Err(StoreError::Trimmed | StoreError::Restored) => read_newest(&*self.store, Topic::Credit).await?,
            result => result?,
        };
        if next.era > from.era && from.offset > Offset(0) {
            self.note_restored(next);
        }
        let now = self.board.clock.now();
        let (mut ceilings, mut credit) = (self.ceilings.lock(), self.credit.lock());
        ceilings.enter_era(next.era, now);
        for record in records {
            self.apply(&mut ceilings, &mut credit, record, is_snapshot, now);
        }
        ceilings.advance(next);
        *self.read_at.lock() = Some(Instant::now());
        self.board.note_fleet_size(ceilings.live_count(self.holder(), now, self.policy.silence) + 1);
        Ok(())
    }

    /// Prepares the next write for a store that came back from an older copy.
    ///
    /// The store has forgotten the sequences of its writers as well, so the write starts a new epoch, which also fences
    /// earlier writes that are still on their way. A record that was not read back is written again.
    fn note_restored(&self, next: LogPosition) {
        log_event!(LogEvent::StoreRestored, "topic=credit era={} end={}", next.era, next.offset);
        let unread = self.credit.lock().pending_records();
        let mut pending = self.pending.lock();
        (pending.epoch, pending.number) = (pending.epoch + 1, 0);
        if pending.uncertain.is_none() {
            pending.uncertain = Some(unread).filter(|records| !records.is_empty());
        }
    }

    /// Records of other holders that the store may have lost, to be written with the own one before any raise counts.
    fn lost_records(&self) -> HolderRecords {
        match self.holds_credit() {
            true => self.ceilings.lock().unrepeated(self.holder()).collect(),
            false => HolderRecords::new(),
        }
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
                self.board.note_skipped(Topic::Credit, &record.key, &error);
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
            (
                WriteSequence { writer: Arc::clone(self.holder()), epoch: pending.epoch, number: pending.number },
                was_uncertain,
            )
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
        self.notify_changed();
    }
}

/// Formats a written record for the log, with `ACCOUNT=SETTLED/CEILING+RESERVE` for each account.
fn ceilings_summary(record: &HolderRecord, end: LogPosition) -> String {
    let ceilings = record.ceilings.iter().map(|(account, account_ceiling)| {
        let AccountCeiling { settled, ceiling, reserve, .. } = account_ceiling;
        format!(" {account}={settled}/{ceiling}+{reserve}")
    });
    format!("end={} document={} closed={}{}", end.offset, record.document, record.closed, ceilings.collect::<String>())
}
