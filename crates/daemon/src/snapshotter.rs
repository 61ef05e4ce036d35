//! Background tasks that write snapshots of the replayed state to the log before the log drops the records that they
//! replace.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::shard::ShardIndex;
use coltsfootpick_core::snapshot_schedule::SnapshotSchedule;
use coltsfootpick_core::units::Offset;

use crate::event;
use crate::events::Event;
use crate::follower::{EnvironmentStream, FollowedStream, ShardStream};
use crate::instance::Instance;
use crate::platform::LogError;
use crate::recovery::SnapshotReader;

/// Interval of the check whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of times that the snapshots of other instances are read within the snapshot age limit.
const CHECKS_PER_AGE: u32 = 8;

/// Pause between two chunks, so that a large snapshot does not delay the appends of requests.
const CHUNK_PAUSE: Duration = Duration::from_millis(20);

/// A snapshot that was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrittenSnapshot {
    /// Stream whose state the snapshot holds.
    pub stream: String,
    /// First offset that the snapshot does not cover.
    pub next: Offset,
    /// Number of records that the snapshot is split into.
    pub chunks: usize,
    /// Total size of these records, in bytes.
    pub bytes: usize,
}

/// Writes snapshots of one ledger shard until the instance stops.
pub async fn write_shard(instance: Arc<Instance>, shard: ShardIndex) {
    write_when_due(&instance, &ShardStream::new(Arc::clone(&instance), shard)).await;
}

/// Writes snapshots of the environments until the instance stops.
pub async fn write_environments(instance: Arc<Instance>) {
    write_when_due(&instance, &EnvironmentStream::new(Arc::clone(&instance))).await;
}

/// Writes a snapshot of every stream now, at an operator's request.
pub async fn write_all(instance: &Arc<Instance>) -> Result<Vec<WrittenSnapshot>, LogError> {
    let mut written = Vec::new();
    for index in 0..instance.settings.shards {
        written.push(write(instance, &ShardStream::new(Arc::clone(instance), ShardIndex(index))).await?);
    }
    written.push(write(instance, &EnvironmentStream::new(Arc::clone(instance))).await?);
    Ok(written)
}

async fn write_when_due(instance: &Instance, stream: &dyn FollowedStream) {
    let now = || instance.deps.clock.now();
    let mut schedule = instance.with_rng(|rng| SnapshotSchedule::new(instance.settings.snapshots, now(), rng));
    let mut reader = SnapshotReader::new(stream.snapshot_stream());
    let mut last_check = now();
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        let is_check_due = now().since(last_check) >= instance.settings.snapshots.age / CHECKS_PER_AGE;
        if !is_check_due && !schedule.is_due(stream.next(), now()) {
            continue;
        }
        let Ok(found) = reader.read_to_end(&*instance.deps.log).await else {
            continue;
        };
        if let Some(newest) = found.first().filter(|snapshot| snapshot.next >= schedule.covered()) {
            // The snapshot was written at an unknown time since the last check. Its age is counted from that check, so
            // that it is never underestimated and the next snapshot is not written too late.
            instance.with_rng(|rng| schedule.renew(newest.next, last_check, rng));
        }
        last_check = now();
        if schedule.is_due(stream.next(), last_check)
            && let Ok(written) = write(instance, stream).await
        {
            instance.with_rng(|rng| schedule.renew(written.next, last_check, rng));
        }
    }
}

async fn write(instance: &Instance, stream: &dyn FollowedStream) -> Result<WrittenSnapshot, LogError> {
    let snapshot = stream.snapshot();
    let chunks = snapshot.chunks(instance.random_u64());
    let bytes = chunks.iter().map(Vec::len).sum();
    let written = WrittenSnapshot { stream: stream.stream(), next: snapshot.next, chunks: chunks.len(), bytes };
    for chunk in chunks {
        instance.metrics.log_appends.inc();
        if let Err(error) = instance.deps.log.append(stream.snapshot_stream(), chunk).await {
            event!(Event::LogUnavailable, "stream={} error={error}", stream.snapshot_stream());
            return Err(error);
        }
        tokio::time::sleep(CHUNK_PAUSE).await;
    }
    let WrittenSnapshot { stream, next, chunks, bytes } = &written;
    event!(Event::SnapshotWritten, "stream={stream} next={next} chunks={chunks} bytes={bytes}");
    Ok(written)
}
