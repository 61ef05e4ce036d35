//! Background tasks that read log streams and apply their records to the blackboard.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::environments::Environments;
use coltsfootpick_core::record::ShardRecord;
use coltsfootpick_core::shard::{ApplyOutcome, Shard, ShardIndex};
use coltsfootpick_core::trace::Step;
use coltsfootpick_core::units::Offset;
use coltsfootpick_wire::envelope::{RecordError, decode_environment, decode_shard};
use coltsfootpick_wire::snapshot::Snapshot;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;
use crate::platform::{LogError, RawRecord};
use crate::recovery::recover;

/// Longest time that one read waits for new records.
const READ_WAIT: Duration = Duration::from_secs(5);

/// Pause after a failed read.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A log stream, and the state that its records are applied to.
pub(crate) trait FollowedStream: Send + Sync + std::fmt::Debug {
    fn stream(&self) -> String;
    fn snapshot_stream(&self) -> String;
    fn next(&self) -> Offset;
    fn apply(&self, record: &RawRecord);
    /// Wakes the tasks that wait for a change of the state.
    fn notify_changed(&self);
    /// Marks the state as read to the end of its stream.
    fn mark_caught_up(&self);
    /// Marks the state as missing records of its stream.
    fn mark_behind(&self);
    /// Encodes the complete state.
    fn snapshot(&self) -> Snapshot;
    /// Replaces the state by a snapshot that is ahead of it; returns false if the snapshot is not.
    fn install(&self, snapshot: &Snapshot) -> Result<bool, RecordError>;
}

/// Follows one ledger shard until the instance stops.
pub async fn follow_shard(instance: Arc<Instance>, shard: ShardIndex) {
    follow(&instance, &ShardStream::new(Arc::clone(&instance), shard)).await;
}

/// Follows the environments until the instance stops.
pub async fn follow_environments(instance: Arc<Instance>) {
    follow(&instance, &EnvironmentStream::new(Arc::clone(&instance))).await;
}

async fn follow(instance: &Instance, stream: &dyn FollowedStream) {
    recover(instance, stream, Offset::default()).await;
    let mut is_reachable = true;
    let mut wait = Duration::ZERO;
    while !instance.stopped.is_cancelled() {
        let read = instance.deps.log.read(stream.stream(), stream.next(), wait);
        let result = tokio::select! {
            result = read => result,
            () = instance.stopped.cancelled() => return,
        };
        match result {
            Ok(records) => {
                if !is_reachable {
                    event!(Event::LogRecovered, "stream={}", stream.stream());
                }
                is_reachable = true;
                wait = apply_records(instance, stream, &records);
            }
            Err(LogError::Trimmed(first)) => {
                event!(Event::LogTrimmed, "stream={} next={} first={first}", stream.stream(), stream.next());
                stream.mark_behind();
                recover(instance, stream, first).await;
                stream.notify_changed();
            }
            Err(error) => {
                if is_reachable {
                    event!(Event::LogUnavailable, "stream={} error={error}", stream.stream());
                }
                is_reachable = false;
                tokio::time::sleep(READ_RETRY_PAUSE).await;
            }
        }
    }
}

/// Applies the records and returns how long the next read waits for new ones.
fn apply_records(instance: &Instance, stream: &dyn FollowedStream, records: &[RawRecord]) -> Duration {
    instance.metrics.log_records.inc_by(records.len() as u64);
    for record in records.iter().filter(|record| record.offset >= stream.next()) {
        stream.apply(record);
    }
    match records {
        [] => stream.mark_caught_up(),
        _ => stream.notify_changed(),
    }
    if records.is_empty() { READ_WAIT } else { Duration::ZERO }
}

/// Stream of one ledger shard.
#[derive(Debug)]
pub(crate) struct ShardStream {
    instance: Arc<Instance>,
    shard: ShardIndex,
}

impl ShardStream {
    /// Creates the stream of `shard`.
    pub(crate) const fn new(instance: Arc<Instance>, shard: ShardIndex) -> Self {
        Self { instance, shard }
    }
}

impl FollowedStream for ShardStream {
    fn stream(&self) -> String {
        self.shard.stream()
    }

    fn snapshot_stream(&self) -> String {
        self.shard.snapshot_stream()
    }

    fn next(&self) -> Offset {
        self.instance.board.shards[self.shard.0 as usize].lock().state.next
    }

    fn apply(&self, record: &RawRecord) {
        let mut cell = self.instance.board.shards[self.shard.0 as usize].lock();
        if record.offset < cell.state.next {
            return;
        }
        match decode_shard(&record.bytes) {
            Ok(decoded) => {
                let new_run = self.instance.random_u64();
                trace_record(&self.instance, self.stream(), record, new_run);
                let applied = cell.apply(record.offset, &decoded, new_run);
                if let ShardRecord::Batch(batch) = &decoded {
                    let now = self.instance.deps.clock.now();
                    self.instance.board.membership.lock().mark_live(&batch.holder, now);
                }
                log_applied(self.shard, record.offset, &decoded, &applied);
            }
            Err(error) => {
                trace_record(&self.instance, self.stream(), record, 0);
                cell.state.skip(record.offset);
                event!(Event::RecordSkipped, "stream={} offset={} error={error}", self.stream(), record.offset);
            }
        }
    }

    fn notify_changed(&self) {
        self.instance.shard_changed(self.shard);
    }

    fn mark_caught_up(&self) {
        self.instance.mark_caught_up(self.shard);
        self.instance.shard_changed(self.shard);
    }

    fn mark_behind(&self) {
        self.instance.mark_behind(self.shard);
    }

    fn snapshot(&self) -> Snapshot {
        let state = self.instance.board.shards[self.shard.0 as usize].lock().state.export();
        Snapshot::of_shard(&state)
    }

    fn install(&self, snapshot: &Snapshot) -> Result<bool, RecordError> {
        let state = Shard::import(snapshot.shard()?);
        Ok(self.instance.board.shards[self.shard.0 as usize].lock().install(state, self.instance.random_u64()))
    }
}

/// Records a log record in the trace. The caller holds the lock of the state that the record is applied to.
fn trace_record(instance: &Instance, stream: String, record: &RawRecord, new_run: u64) {
    let step = || Step::Record { stream, offset: record.offset, next_run: new_run, data: hex::encode(&record.bytes) };
    instance.recorder.note(instance.deps.clock.now(), step, || None);
}

fn log_applied(shard: ShardIndex, offset: Offset, record: &ShardRecord, applied: &ApplyOutcome) {
    match (record, applied) {
        (ShardRecord::TopUp(top_up), ApplyOutcome::Single(outcome)) => {
            event!(Event::BudgetApplied, "shard={shard} offset={offset} budget={} outcome={outcome}", top_up.key);
        }
        (ShardRecord::Release(release), ApplyOutcome::Single(outcome)) => {
            let (key, operator, reason) = (&release.key, &release.operator, &release.reason);
            event!(
                Event::BudgetApplied,
                "shard={shard} offset={offset} budget={key} outcome={outcome} operator={operator} reason={reason:?}"
            );
        }
        (ShardRecord::Close(close), ApplyOutcome::Single(outcome)) => {
            let (holder, closer) = (&close.holder, &close.closer);
            event!(
                Event::IncarnationClosed,
                "shard={shard} offset={offset} holder={holder} closer={closer} outcome={outcome}"
            );
        }
        _ => log::trace!("shard={shard} offset={offset} applied={applied:?}"),
    }
}

/// Stream of the environment records.
#[derive(Debug)]
pub(crate) struct EnvironmentStream {
    instance: Arc<Instance>,
}

impl EnvironmentStream {
    /// Creates the stream of the environments of `instance`.
    pub(crate) const fn new(instance: Arc<Instance>) -> Self {
        Self { instance }
    }
}

impl FollowedStream for EnvironmentStream {
    fn stream(&self) -> String {
        Environments::STREAM.to_owned()
    }

    fn snapshot_stream(&self) -> String {
        Environments::SNAPSHOT_STREAM.to_owned()
    }

    fn next(&self) -> Offset {
        self.instance.board.environments.read().next
    }

    fn apply(&self, record: &RawRecord) {
        let mut shared = self.instance.board.environments.write();
        if record.offset < shared.next {
            return;
        }
        let environments = Arc::make_mut(&mut shared);
        trace_record(&self.instance, self.stream(), record, 0);
        match decode_environment(&record.bytes) {
            Ok(decoded) => {
                let outcome = environments.apply(record.offset, &decoded);
                event!(Event::EnvironmentApplied, "offset={} outcome={outcome}", record.offset);
            }
            Err(error) => {
                environments.skip(record.offset);
                event!(Event::RecordSkipped, "stream={} offset={} error={error}", self.stream(), record.offset);
            }
        }
    }

    fn notify_changed(&self) {
        self.instance.environments_changed();
    }

    fn mark_caught_up(&self) {
        self.instance.mark_environments_read();
        self.instance.environments_changed();
    }

    fn mark_behind(&self) {
        self.instance.mark_environments_behind();
    }

    fn snapshot(&self) -> Snapshot {
        let environments = Arc::clone(&self.instance.board.environments.read());
        Snapshot::of_environments(&environments.export())
    }

    fn install(&self, snapshot: &Snapshot) -> Result<bool, RecordError> {
        let imported = Environments::import(snapshot.environments()?);
        let mut shared = self.instance.board.environments.write();
        if imported.next <= shared.next {
            return Ok(false);
        }
        *shared = Arc::new(imported);
        drop(shared);
        self.instance.environments_changed();
        Ok(true)
    }
}
