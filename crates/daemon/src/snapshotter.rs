//! Tasks that write snapshots of the folds to the log before it drops the records they stand for.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::pace::Pace;
use coltsfootpick_core::shard::ShardIndex;
use coltsfootpick_core::units::Offset;

use crate::event;
use crate::events::Event;
use crate::follower::{EnvironmentStream, Followed, ShardStream};
use crate::instance::Instance;
use crate::platform::LogError;
use crate::recovery::SnapshotReader;

/// Time between two looks at whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Looks for the snapshots of other instances within the age limit.
const LOOKS_PER_AGE: u32 = 8;

/// Pause between two chunks, so that a large snapshot leaves the log's appends to requests.
const CHUNK_PAUSE: Duration = Duration::from_millis(20);

/// Snapshot as written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Written {
    /// Stream whose fold it holds.
    pub stream: String,
    /// First offset that it does not cover.
    pub next: Offset,
    /// Records that it takes.
    pub chunks: usize,
    /// Bytes of those records.
    pub bytes: usize,
}

/// Writes snapshots of one ledger shard until the instance stops.
pub async fn write_shard(instance: Arc<Instance>, shard: ShardIndex) {
    write_due(&instance, &ShardStream::new(Arc::clone(&instance), shard)).await;
}

/// Writes snapshots of the environments until the instance stops.
pub async fn write_environments(instance: Arc<Instance>) {
    write_due(&instance, &EnvironmentStream::new(Arc::clone(&instance))).await;
}

/// Writes a snapshot of every stream now, on an operator's order.
pub async fn write_all(instance: &Arc<Instance>) -> Result<Vec<Written>, LogError> {
    let mut written = Vec::new();
    for index in 0..instance.settings.shards {
        written.push(write(instance, &ShardStream::new(Arc::clone(instance), ShardIndex(index))).await?);
    }
    written.push(write(instance, &EnvironmentStream::new(Arc::clone(instance))).await?);
    Ok(written)
}

async fn write_due(instance: &Instance, stream: &dyn Followed) {
    let now = || instance.deps.clock.now();
    let mut pace = instance.with_rng(|random| Pace::new(instance.settings.snapshots, now(), random));
    let mut reader = SnapshotReader::new(stream.snapshot_stream());
    let mut looked = now();
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        let is_late = now().since(looked) >= instance.settings.snapshots.age / LOOKS_PER_AGE;
        if !is_late && !pace.is_due(stream.next(), now()) {
            continue;
        }
        let Ok(found) = reader.read_on(&*instance.deps.log).await else {
            continue;
        };
        if let Some(newest) = found.first().filter(|snapshot| snapshot.next >= pace.covered()) {
            // It was written after the last look; counting from then lets none expire.
            instance.with_rng(|random| pace.renew(newest.next, looked, random));
        }
        looked = now();
        if pace.is_due(stream.next(), looked)
            && let Ok(written) = write(instance, stream).await
        {
            instance.with_rng(|random| pace.renew(written.next, looked, random));
        }
    }
}

async fn write(instance: &Instance, stream: &dyn Followed) -> Result<Written, LogError> {
    let snapshot = stream.snapshot();
    let chunks = snapshot.chunks(instance.random_u64());
    let bytes = chunks.iter().map(Vec::len).sum();
    let written = Written { stream: stream.stream(), next: snapshot.next, chunks: chunks.len(), bytes };
    for chunk in chunks {
        instance.metrics.appends.inc();
        if let Err(error) = instance.deps.log.append(stream.snapshot_stream(), chunk).await {
            event!(Event::LogUnavailable, "stream={} error={error}", stream.snapshot_stream());
            return Err(error);
        }
        tokio::time::sleep(CHUNK_PAUSE).await;
    }
    let Written { stream, next, chunks, bytes } = &written;
    event!(Event::SnapshotWritten, "stream={stream} next={next} chunks={chunks} bytes={bytes}");
    Ok(written)
}
