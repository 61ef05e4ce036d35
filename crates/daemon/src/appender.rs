//! Task that appends this instance's ledger batches, one a shard and interval at the most.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::record::{Batch, ShardRecord};
use coltsfootpick_core::shard::ShardIndex;
use coltsfootpick_core::trace::Step;
use coltsfootpick_wire::envelope::{batches_word, encode_shard};

use crate::event;
use crate::events::Event;
use crate::instance::Instance;
use crate::platform::LogError;

/// Time after which a batch that was not read back is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Appends the batches of one shard until the instance stops.
pub async fn append_shard(instance: Arc<Instance>, shard: ShardIndex) {
    let mut interval = tokio::time::interval(instance.settings.batch_interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        for batch in next_batches(&instance, shard) {
            append_until_read_back(&instance, shard, batch).await;
        }
    }
}

fn next_batches(instance: &Instance, shard: ShardIndex) -> Vec<Batch> {
    let now = instance.deps.clock.now();
    let mut cell = instance.board.shards[shard.0 as usize].lock();
    let batches = cell.next_batches(now, |key| instance.board.sizing(key));
    let word = || Some(batches_word(batches.iter().cloned()));
    instance.recorder.note(now, || Step::Batch { shard }, word);
    batches
}

/// Appends a batch once and waits for it; the caller's next round repeats it when it was not read back.
async fn append_until_read_back(instance: &Instance, shard: ShardIndex, batch: Batch) {
    let (holder, sequence) = (batch.holder.clone(), batch.sequence);
    let bytes = encode_shard(&ShardRecord::Batch(batch));
    instance.metrics.appends.inc();
    match instance.deps.log.append(shard.stream(), bytes).await {
        Ok(_) | Err(LogError::Unknown(_)) => {}
        Err(error) => {
            event!(Event::LogUnavailable, "stream={} error={error}", shard.stream());
            return;
        }
    }
    instance.wait_for_shard(shard, READ_BACK_TIMEOUT, |fold| fold.sequence(&holder) >= sequence).await;
}
