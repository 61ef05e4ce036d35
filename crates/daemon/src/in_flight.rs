//! At-most-once calls in flight on this instance, so that a duplicate waits for the first call's result.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootpick_core::record::AttemptKey;
use coltsfootpick_core::refusal::Refusal;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::plain::ServiceResponse;

type CallResult = Option<Result<ServiceResponse, Refusal>>;
type CallMap = BTreeMap<AttemptKey, CallEntry>;

/// Registry of calls in flight.
#[derive(Debug, Default)]
pub struct InFlightCalls {
    calls: Arc<Mutex<CallMap>>,
}

#[derive(Debug)]
struct CallEntry {
    digest: u64,
    result: watch::Receiver<CallResult>,
}

/// Outcome of registering a call.
#[derive(Debug)]
pub enum Registration {
    /// No call with this key is in flight on this instance.
    First(InFlightCall),
    /// The same call is in flight; its result answers this one too.
    Duplicate(PendingResult),
    /// A different call with this key is in flight.
    Conflict,
}

/// Registration of a call in flight; dropping it frees the key.
#[derive(Debug)]
pub struct InFlightCall {
    calls: Arc<Mutex<CallMap>>,
    attempt: AttemptKey,
    digest: u64,
    result: watch::Sender<CallResult>,
}

/// Result of a call in flight, not yet known.
#[derive(Debug)]
pub struct PendingResult {
    result: watch::Receiver<CallResult>,
}

impl InFlightCalls {
    /// Registers a call, unless one with the same key is in flight.
    pub fn register(&self, attempt: &AttemptKey, digest: u64) -> Registration {
        let mut calls = self.calls.lock();
        match calls.get(attempt) {
            Some(entry) if entry.digest == digest => {
                Registration::Duplicate(PendingResult { result: entry.result.clone() })
            }
            Some(_) => Registration::Conflict,
            None => {
                let (sender, result) = watch::channel(None);
                calls.insert(attempt.clone(), CallEntry { digest, result });
                let calls = Arc::clone(&self.calls);
                Registration::First(InFlightCall { calls, attempt: attempt.clone(), digest, result: sender })
            }
        }
    }
}

impl InFlightCall {
    /// Digest of the call.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Publishes the result to waiting duplicates.
    pub fn finish(&self, result: &Result<ServiceResponse, Refusal>) {
        self.result.send_replace(Some(result.clone()));
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.calls.lock().remove(&self.attempt);
    }
}

impl PendingResult {
    /// Waits for the result until `deadline`; `None` if it is not known by then.
    pub async fn wait(mut self, deadline: Instant) -> CallResult {
        let result = tokio::time::timeout_at(deadline, self.result.wait_for(Option::is_some)).await;
        result.ok()?.ok()?.clone()
    }
}
