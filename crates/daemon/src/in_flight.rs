//! Calls that must not repeat and are under way on this instance, so that a copy waits for the same end.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootpick_core::record::AttemptKey;
use coltsfootpick_core::refusal::Refusal;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::plain::Answer;

type End = Option<Result<Answer, Refusal>>;
type Open = BTreeMap<AttemptKey, Known>;

/// Calls under way.
#[derive(Debug, Default)]
pub struct Runs {
    open: Arc<Mutex<Open>>,
}

#[derive(Debug)]
struct Known {
    digest: u64,
    end: watch::Receiver<End>,
}

/// What a call is to those under way.
#[derive(Debug)]
pub enum Copy {
    /// Nothing with its key is under way here.
    First(Run),
    /// The same call is under way; its end is the answer.
    Second(CopyEnd),
    /// A different call with its key is under way.
    Different,
}

/// Call under way; dropping it lets the next one with its key in.
#[derive(Debug)]
pub struct Run {
    open: Arc<Mutex<Open>>,
    attempt: AttemptKey,
    digest: u64,
    end: watch::Sender<End>,
}

/// End of a call that runs already.
#[derive(Debug)]
pub struct CopyEnd {
    end: watch::Receiver<End>,
}

impl Runs {
    /// Registers a call, unless one with its key is under way.
    pub fn enter(&self, attempt: &AttemptKey, digest: u64) -> Copy {
        let mut open = self.open.lock();
        match open.get(attempt) {
            Some(known) if known.digest == digest => Copy::Second(CopyEnd { end: known.end.clone() }),
            Some(_) => Copy::Different,
            None => {
                let (sender, end) = watch::channel(None);
                open.insert(attempt.clone(), Known { digest, end });
                let open = Arc::clone(&self.open);
                Copy::First(Run { open, attempt: attempt.clone(), digest, end: sender })
            }
        }
    }
}

impl Run {
    /// Digest of the call.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Tells copies how the call ended.
    pub fn end(&self, ended: &Result<Answer, Refusal>) {
        self.end.send_replace(Some(ended.clone()));
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.open.lock().remove(&self.attempt);
    }
}

impl CopyEnd {
    /// Waits for the end until `until`; `None` when it is not known by then.
    pub async fn wait(mut self, until: Instant) -> End {
        let ended = tokio::time::timeout_at(until, self.end.wait_for(Option::is_some)).await;
        ended.ok()?.ok()?.clone()
    }
}
