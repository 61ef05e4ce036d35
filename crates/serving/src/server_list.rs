//! Proves that this instance knows all entries of backend servers that the store had at a moment.
//!
//! No length of silence makes a list current: a server may have been listed at any moment since the last answer. Only a read
//! that was asked for after a moment shows all entries up to it. It costs one call, which requests share. See
//! `docs/ROUTING.md#versions`.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::units::LogPosition;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::interfaces::{KeyedLog, RecordDecoder, Topic};
use crate::list_progress::ListProgress;
use crate::shared_read::{Freshness, SharedRead};

/// Longest wait for the newest entries.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait until the entries that a read has shown are applied; they are read again at least every 400 ms.
const APPLY_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval between two reads for each instance of the fleet, so that all together make at most 500 reads a second.
const READ_INTERVAL_SHARE: Duration = Duration::from_millis(2);

/// Newest entries of backend servers, beyond those that the server table holds.
#[derive(Debug)]
pub struct ServerList {
    board: Arc<Blackboard>,
    store: Arc<dyn KeyedLog>,
    decoder: Arc<dyn RecordDecoder>,
    /// Position after the entries that the last read has shown.
    seen: Mutex<LogPosition>,
    reads: SharedRead,
}

impl ServerList {
    /// Creates the list of the instance of `board`.
    pub fn new(board: Arc<Blackboard>, store: Arc<dyn KeyedLog>, decoder: Arc<dyn RecordDecoder>) -> Self {
        Self { board, store, decoder, seen: Mutex::default(), reads: SharedRead::default() }
    }

    /// Instant since which no entry can have been missed, if it has passed.
    pub fn complete_since(&self) -> Option<Instant> {
        let progress = self.board.server_list.progress()?;
        Some(progress.complete_since).filter(|since| *since <= Instant::now())
    }

    /// Records the software versions of all servers that the store lists now; false if it does not answer in time.
    pub async fn read_versions(&self) -> bool {
        self.reads.get(Freshness::AfterAsking, READ_TIMEOUT, || self.read()).await
    }

    /// Waits until the server table holds all servers that the store lists now; false if that takes too long.
    pub async fn catch_up(&self) -> bool {
        if !self.read_versions().await {
            return false;
        }
        let seen = *self.seen.lock();
        tokio::time::timeout(APPLY_TIMEOUT, self.board.server_list.reached(seen)).await.is_ok()
    }

    /// Reads the entries after those that were applied or seen before; returns the pause before the next read.
    async fn read(&self) -> Option<Duration> {
        let ListProgress { position, .. } = self.board.server_list.progress()?;
        let mut next = position.max(*self.seen.lock());
        loop {
            let batch = self.store.read(Topic::Servers, next, Duration::ZERO).await.ok()?;
            let entries = batch.records.iter().filter(|record| record.value.is_some());
            let entries = entries.filter_map(|record| self.decoder.server(record).ok());
            let served = entries.filter(|entry| !entry.leaving).map(|entry| entry.origin());
            self.board.stream_origins.lock().note_servers(served, self.board.clock.now());
            let has_advanced = batch.next > next;
            next = batch.next;
            if batch.next >= batch.end || !has_advanced {
                break;
            }
        }
        *self.seen.lock() = next;
        let fleet_size = u32::try_from(self.board.fleet_size()).unwrap_or(u32::MAX);
        Some(READ_INTERVAL_SHARE.saturating_mul(fleet_size))
    }
}
