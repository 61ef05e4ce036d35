//! Wraps the store and counts its calls by outcome and latency.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::units::LogPosition;
use futures_util::future::BoxFuture;
use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::interfaces::{KeyedLog, KeyedRecord, NewestPage, RecordBatch, StoreError, Topic, WriteSequence};
use crate::metrics::Metrics;

/// Store that records metrics of its calls on the blackboard.
#[derive(Debug)]
pub struct CountedLog<L> {
    store: L,
    board: Arc<Blackboard>,
}

impl<L: KeyedLog> CountedLog<L> {
    /// Wraps `store` and counts its calls in the metrics of `board`.
    pub const fn new(store: L, board: Arc<Blackboard>) -> Self {
        Self { store, board }
    }

    /// Counts one call; the latency of reads that may wait for records is not recorded.
    async fn count<T>(&self, call: BoxFuture<'_, Result<T, StoreError>>, wait: Duration) -> Result<T, StoreError> {
        let started = Instant::now();
        let result = call.await;
        let outcome = match &result {
            Ok(_) => "done",
            Err(StoreError::Unavailable(_)) => "unavailable",
            Err(StoreError::Unknown(_)) => "unknown",
            Err(StoreError::Trimmed) => "trimmed",
            Err(StoreError::Restored) => "restored",
            Err(StoreError::OutOfSequence(_)) => "out-of-turn",
        };
        Metrics::count(&self.board.metrics.store_calls, outcome);
        self.board.note_store_answer(!matches!(result, Err(StoreError::Unavailable(_) | StoreError::Unknown(_))));
        if wait.is_zero() {
            self.board.metrics.store_latency.observe(started.elapsed().as_secs_f64());
        }
        result
    }
}

impl<L: KeyedLog> KeyedLog for CountedLog<L> {
    fn newest_page(&self, topic: Topic, after: Option<Arc<str>>) -> BoxFuture<'_, Result<NewestPage, StoreError>> {
        Box::pin(self.count(self.store.newest_page(topic, after), Duration::ZERO))
    }

    fn read(&self, topic: Topic, from: LogPosition, wait: Duration) -> BoxFuture<'_, Result<RecordBatch, StoreError>> {
        Box::pin(self.count(self.store.read(topic, from, wait), wait))
    }

    fn append(
        &self,
        topic: Topic,
        sequence: Option<WriteSequence>,
        records: Vec<KeyedRecord>,
    ) -> BoxFuture<'_, Result<LogPosition, StoreError>> {
        Box::pin(self.count(self.store.append(topic, sequence, records), Duration::ZERO))
    }
}
