//! How far this instance has read the list of backend servers, which tells what it can know of them.

use coltsfootpick_core::units::LogPosition;
use tokio::sync::watch;
use tokio::time::Instant;

/// How far the list was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListProgress {
    /// Position after the last entry that was applied.
    pub position: LogPosition,
    /// Instant since which no entry can have been missed.
    pub complete_since: Instant,
}

/// Watches how far the list is read and applied.
#[derive(Debug)]
pub struct ListWatch {
    progress: watch::Sender<Option<ListProgress>>,
}

impl Default for ListWatch {
    fn default() -> Self {
        Self { progress: watch::Sender::new(None) }
    }
}

impl ListWatch {
    /// Records that the list was read and applied up to here.
    pub fn note(&self, progress: ListProgress) {
        self.progress.send_replace(Some(progress));
    }

    /// How far the list was read, if it was read at all.
    pub fn progress(&self) -> Option<ListProgress> {
        *self.progress.borrow()
    }

    /// Waits until the list was read and applied up to `position`.
    pub async fn reached(&self, position: LogPosition) {
        let is_reached = |progress: &Option<ListProgress>| progress.is_some_and(|known| known.position >= position);
        // The sender lives as long as the watch, so waiting cannot fail.
        let _ = self.progress.subscribe().wait_for(is_reached).await;
    }
}
