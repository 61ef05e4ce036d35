//! Read of the store that is shared by the requests that wait for it.
//!
//! A request needs what the store knew at some moment after it arrived, so one read serves all requests that arrived before
//! it began. A failed read fails those too, and those that follow within a short time: while the store is silent, no request
//! waits longer than for one read.

use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

/// Time for which the failure of a read stands for further ones.
const FAILURE_TTL: Duration = Duration::from_millis(200);

/// Last read that has ended.
#[derive(Clone, Copy, Debug)]
struct LastRead {
    began: Instant,
    ended: Instant,
    /// When the next read may begin; `None` if the read failed.
    next: Option<Instant>,
}

/// What a request takes for recent enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// A read that began after the request asked.
    AfterAsking,
    /// The last successful read as well, until the next one may begin.
    LastAllowed,
}

/// Shares the reads of one kind.
#[derive(Debug, Default)]
pub struct SharedRead {
    last: Mutex<Option<LastRead>>,
}

impl SharedRead {
    /// Waits for a read that is as recent as `freshness` demands, and returns whether it succeeded.
    ///
    /// `read` takes at most `timeout` and returns the pause before the next read, or nothing if it fails.
    pub async fn get<F>(&self, freshness: Freshness, timeout: Duration, read: impl FnOnce() -> F) -> bool
    where
        F: Future<Output = Option<Duration>>,
    {
        let asked = Instant::now();
        let mut last = self.last.lock().await;
        match *last {
            Some(LastRead { began, next, .. }) if began >= asked => return next.is_some(),
            Some(LastRead { ended, next: None, .. }) if ended.elapsed() < FAILURE_TTL => return false,
            Some(LastRead { next: Some(next), .. }) if freshness == Freshness::LastAllowed && next > Instant::now() => {
                return true;
            }
            Some(LastRead { next: Some(next), .. }) => tokio::time::sleep_until(next).await,
            _ => {}
        }
        let began = Instant::now();
        let pause = tokio::time::timeout(timeout, read()).await.ok().flatten();
        let ended = Instant::now();
        *last = Some(LastRead { began, ended, next: pause.map(|pause| began + pause) });
        pause.is_some()
    }
}
