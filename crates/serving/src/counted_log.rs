//! Store whose calls are counted by outcome, with their latency.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::units::Offset;
use futures_util::future::BoxFuture;
use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::interfaces::{KeyedLog, KeyedRecord, NewestPage, RecordBatch, StoreError, Topic, WriteSequence};
use crate::metrics::Metrics;

/// The store behind counters.
#[derive(Debug)]
pub struct CountedLog<L> {
    log: L,
    board: Arc<Blackboard>,
}

impl<L: KeyedLog> CountedLog<L> {
    /// Counts the calls of `log` on `board`.
    pub const fn new(log: L, board: Arc<Blackboard>) -> Self {
        Self { log, board }
    }

    /// Counts one call; reads that wait are left out of the latencies.
    async fn count<T>(&self, call: BoxFuture<'_, Result<T, StoreError>>, wait: Duration) -> Result<T, StoreError> {
        let before = Instant::now();
        let ended = call.await;
        let outcome = match &ended {
            Ok(_) => "done",
            Err(StoreError::Unavailable(_)) => "unavailable",
            Err(StoreError::Unknown(_)) => "unknown",
            Err(StoreError::Trimmed) => "trimmed",
            Err(StoreError::OutOfSequence(_)) => "out-of-turn",
        };
        Metrics::count(&self.board.metrics.store_calls, outcome);
        if wait.is_zero() {
            self.board.metrics.store_latency.observe(before.elapsed().as_secs_f64());
        }
        ended
    }
}

impl<L: KeyedLog> KeyedLog for CountedLog<L> {
    fn newest(&self, topic: Topic, after: Option<Arc<str>>) -> BoxFuture<'_, Result<NewestPage, StoreError>> {
        Box::pin(self.count(self.log.newest(topic, after), Duration::ZERO))
    }

    fn read(&self, topic: Topic, from: Offset, wait: Duration) -> BoxFuture<'_, Result<RecordBatch, StoreError>> {
        Box::pin(self.count(self.log.read(topic, from, wait), wait))
    }

    fn append(
        &self,
        topic: Topic,
        sequence: Option<WriteSequence>,
        records: Vec<KeyedRecord>,
    ) -> BoxFuture<'_, Result<Offset, StoreError>> {
        Box::pin(self.count(self.log.append(topic, sequence, records), Duration::ZERO))
    }
}
