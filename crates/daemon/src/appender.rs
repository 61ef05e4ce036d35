//! Background task that appends this instance's ledger batches, at most once per shard and batch interval.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::record::{Batch, ShardRecord};
use coltsfootpick_core::shard::ShardIndex;
use coltsfootpick_core::trace::Step;
use coltsfootpick_wire::envelope::{batches_digest, encode_shard};

use crate::event;
use crate::events::Event;
use crate::instance::Instance;
use crate::platform::LogError;

/// Longest wait for an appended batch to be read back, before the batch is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Appends the batches of one shard until the instance stops.
pub async fn append_shard(instance: Arc<Instance>, shard: ShardIndex) {
    let mut interval = tokio::time::interval(instance.settings.batch_interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        for batch in next_batches(&instance, shard) {
            append_and_wait(&instance, shard, batch).await;
        }
    }
}

fn next_batches(instance: &Instance, shard: ShardIndex) -> Vec<Batch> {
    let now = instance.deps.clock.now();
    let mut cell = instance.board.shards[shard.0 as usize].lock();
    let batches = cell.next_batches(now, |key| instance.board.sizing(key));
    let digest = || Some(batches_digest(batches.iter().cloned()));
    instance.recorder.note(now, || Step::Batch { shard }, digest);
    batches
}

/// Appends a batch once and waits until it is read back. If it is not, the next interval appends it again.
async fn append_and_wait(instance: &Instance, shard: ShardIndex, batch: Batch) {
    let (holder, sequence) = (batch.holder.clone(), batch.sequence);
    let bytes = encode_shard(&ShardRecord::Batch(batch));
    instance.metrics.log_appends.inc();
    match instance.deps.log.append(shard.stream(), bytes).await {
        Ok(_) | Err(LogError::Unknown(_)) => {}
        Err(error) => {
            event!(Event::LogUnavailable, "stream={} error={error}", shard.stream());
            return;
        }
    }
    instance.wait_for_shard(shard, READ_BACK_TIMEOUT, |state| state.sequence(&holder) >= sequence).await;
}
