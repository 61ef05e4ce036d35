//! Tasks that read log streams and apply their records to the blackboard.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::environments::Environments;
use coltsfootpick_core::record::ShardRecord;
use coltsfootpick_core::shard::{Applied, Shard, ShardIndex};
use coltsfootpick_core::trace::Step;
use coltsfootpick_core::units::Offset;
use coltsfootpick_wire::envelope::{RecordError, decode_environment, decode_shard};
use coltsfootpick_wire::snapshot::Snapshot;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;
use crate::platform::{LogError, RawRecord};
use crate::recovery::recover;

/// Longest wait of one read for new records.
const READ_WAIT: Duration = Duration::from_secs(5);

/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Stream that a follower reads, and the fold that it feeds.
pub(crate) trait Followed: Send + Sync + std::fmt::Debug {
    fn stream(&self) -> String;
    fn snapshot_stream(&self) -> String;
    fn next(&self) -> Offset;
    fn apply(&self, record: &RawRecord);
    fn changed(&self);
    fn caught_up(&self);
    /// Notes that the fold is no longer at the end of its stream.
    fn fell_behind(&self);
    /// Encodes the fold's complete state.
    fn snapshot(&self) -> Snapshot;
    /// Goes on from a snapshot that lies ahead of the fold; false when it does not.
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

async fn follow(instance: &Instance, stream: &dyn Followed) {
    recover(instance, stream, Offset::default()).await;
    let mut is_up = true;
    let mut wait = Duration::ZERO;
    while !instance.stopped.is_cancelled() {
        let read = instance.deps.log.read(stream.stream(), stream.next(), wait);
        let result = tokio::select! {
            result = read => result,
            () = instance.stopped.cancelled() => return,
        };
        match result {
            Ok(records) => {
                if !is_up {
                    event!(Event::LogBack, "stream={}", stream.stream());
                }
                is_up = true;
                wait = take_in(instance, stream, &records);
            }
            Err(LogError::Trimmed(first)) => {
                event!(Event::LogTrimmed, "stream={} next={} first={first}", stream.stream(), stream.next());
                stream.fell_behind();
                recover(instance, stream, first).await;
                stream.changed();
            }
            Err(error) => {
                if is_up {
                    event!(Event::LogUnavailable, "stream={} error={error}", stream.stream());
                }
                is_up = false;
                tokio::time::sleep(READ_PAUSE).await;
            }
        }
    }
}

/// Applies what was read and gives the wait of the next read.
fn take_in(instance: &Instance, stream: &dyn Followed, records: &[RawRecord]) -> Duration {
    instance.metrics.records.inc_by(records.len() as u64);
    for record in records.iter().filter(|record| record.offset >= stream.next()) {
        stream.apply(record);
    }
    match records {
        [] => stream.caught_up(),
        _ => stream.changed(),
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
    /// Feeds the cell of `shard`.
    pub(crate) const fn new(instance: Arc<Instance>, shard: ShardIndex) -> Self {
        Self { instance, shard }
    }
}

impl Followed for ShardStream {
    fn stream(&self) -> String {
        self.shard.stream()
    }

    fn snapshot_stream(&self) -> String {
        self.shard.snapshot_stream()
    }

    fn next(&self) -> Offset {
        self.instance.board.shards[self.shard.0 as usize].lock().fold.next
    }

    fn apply(&self, record: &RawRecord) {
        let mut cell = self.instance.board.shards[self.shard.0 as usize].lock();
        if record.offset < cell.fold.next {
            return;
        }
        match decode_shard(&record.bytes) {
            Ok(decoded) => {
                let fresh = self.instance.random_u64();
                record_step(&self.instance, self.stream(), record, fresh);
                let applied = cell.apply(record.offset, &decoded, fresh);
                if let ShardRecord::Batch(batch) = &decoded {
                    let now = self.instance.deps.clock.now();
                    self.instance.board.membership.lock().see(&batch.holder, now);
                }
                log_applied(self.shard, record.offset, &decoded, &applied);
            }
            Err(error) => {
                record_step(&self.instance, self.stream(), record, 0);
                cell.fold.skip(record.offset);
                event!(Event::RecordSkipped, "stream={} offset={} error={error}", self.stream(), record.offset);
            }
        }
    }

    fn changed(&self) {
        self.instance.shard_changed(self.shard);
    }

    fn caught_up(&self) {
        self.instance.mark_caught_up(self.shard);
        self.instance.shard_changed(self.shard);
    }

    fn fell_behind(&self) {
        self.instance.mark_behind(self.shard);
    }

    fn snapshot(&self) -> Snapshot {
        let state = self.instance.board.shards[self.shard.0 as usize].lock().fold.export();
        Snapshot::of_shard(&state)
    }

    fn install(&self, snapshot: &Snapshot) -> Result<bool, RecordError> {
        let fold = Shard::import(snapshot.shard()?);
        Ok(self.instance.board.shards[self.shard.0 as usize].lock().install(fold, self.instance.random_u64()))
    }
}

/// Notes a record in the trace; the caller holds the lock of the fold that takes it.
fn record_step(instance: &Instance, stream: String, record: &RawRecord, fresh: u64) {
    let step = || Step::Record { stream, offset: record.offset, fresh, data: hex::encode(&record.bytes) };
    instance.recorder.note(instance.deps.clock.now(), step, || None);
}

fn log_applied(shard: ShardIndex, offset: Offset, record: &ShardRecord, applied: &Applied) {
    match (record, applied) {
        (ShardRecord::TopUp(top_up), Applied::Single(outcome)) => {
            event!(Event::BudgetApplied, "shard={shard} offset={offset} budget={} outcome={outcome}", top_up.key);
        }
        (ShardRecord::Release(release), Applied::Single(outcome)) => {
            let (key, operator, reason) = (&release.key, &release.operator, &release.reason);
            event!(
                Event::BudgetApplied,
                "shard={shard} offset={offset} budget={key} outcome={outcome} operator={operator} reason={reason:?}"
            );
        }
        (ShardRecord::Close(close), Applied::Single(outcome)) => {
            let (holder, closer) = (&close.holder, &close.closer);
            event!(
                Event::IncarnationClosed,
                "shard={shard} offset={offset} holder={holder} closer={closer} outcome={outcome}"
            );
        }
        _ => log::trace!("shard={shard} offset={offset} applied={applied:?}"),
    }
}

/// Stream of the environments.
#[derive(Debug)]
pub(crate) struct EnvironmentStream {
    instance: Arc<Instance>,
}

impl EnvironmentStream {
    /// Feeds the environments of `instance`.
    pub(crate) const fn new(instance: Arc<Instance>) -> Self {
        Self { instance }
    }
}

impl Followed for EnvironmentStream {
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
        record_step(&self.instance, self.stream(), record, 0);
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

    fn changed(&self) {
        self.instance.environments_changed();
    }

    fn caught_up(&self) {
        self.instance.mark_environments_read();
        self.instance.environments_changed();
    }

    fn fell_behind(&self) {
        self.instance.mark_environments_behind();
    }

    fn snapshot(&self) -> Snapshot {
        let environments = Arc::clone(&self.instance.board.environments.read());
        Snapshot::of_environments(&environments.export())
    }

    fn install(&self, snapshot: &Snapshot) -> Result<bool, RecordError> {
        let ahead = Environments::import(snapshot.environments()?);
        let mut shared = self.instance.board.environments.write();
        if ahead.next <= shared.next {
            return Ok(false);
        }
        *shared = Arc::new(ahead);
        drop(shared);
        self.instance.environments_changed();
        Ok(true)
    }
}
