//! Retry budget, which limits retries by instances and callers to a small fraction of the first attempts.
//!
//! Each instance keeps its own budget, so that the ratio applies to the whole fleet without coordination. See
//! `docs/ADMISSION.md#retries`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::quarantine::Fingerprint;
use crate::units::Instant;

/// Number of first attempts that earn one retry.
pub const FIRST_ATTEMPTS_PER_RETRY: u32 = 20;

/// Maximum number of retries that a budget accumulates.
pub const RETRY_BURST: u32 = 5;

/// Back-off sent to a caller after the first failure; it doubles with each consecutive one.
pub const BACKOFF_MIN: Duration = Duration::from_secs(1);

/// Longest back-off sent to a caller.
pub const BACKOFF_MAX: Duration = Duration::from_secs(8);

const BACKOFF_DOUBLINGS: u32 = 3;

/// Maximum number of remembered failed requests.
const FAILED_MAX: usize = 4_096;

/// Failures of a request, and the earliest time at which its caller should retry.
#[derive(Clone, Copy, Debug)]
struct FailedRequest {
    count: u32,
    retry_at: Instant,
}

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRatio {
    /// Number of first attempts that earn one retry.
    pub first_attempts: u32,
    /// Maximum number of accumulated retries.
    pub burst: u32,
}

impl Default for RetryRatio {
    fn default() -> Self {
        Self { first_attempts: FIRST_ATTEMPTS_PER_RETRY, burst: RETRY_BURST }
    }
}

impl RetryRatio {
    /// Returns the balance at which the budget is full, in first attempts.
    const fn capacity(self) -> u32 {
        self.first_attempts * self.burst
    }
}

/// Retry budget of one instance, a token bucket that first attempts fill.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: RetryRatio,
    balance: u32,
    failed: BTreeMap<Fingerprint, FailedRequest>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryRatio::default())
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub const fn new(ratio: RetryRatio) -> Self {
        Self { ratio, balance: ratio.capacity(), failed: BTreeMap::new() }
    }

    /// Creates a budget that the fleet's limit still allows to an instance: `balance` first attempts count as made.
    pub fn with_balance(ratio: RetryRatio, balance: u32) -> Self {
        Self { balance: balance.min(ratio.capacity()), ..Self::new(ratio) }
    }

    /// Changes the ratio; retries that it does not allow to accumulate are forgotten.
    pub fn set_ratio(&mut self, ratio: RetryRatio) {
        self.ratio = ratio;
        self.balance = self.balance.min(ratio.capacity());
    }

    /// Admits a caller's request; one that is repeated before the end of its back-off spends a retry of the budget.
    ///
    /// # Errors
    /// The remaining back-off, if the budget has no retry left.
    pub fn admit(&mut self, fingerprint: Fingerprint, now: Instant) -> Result<(), Duration> {
        match self.failed.get(&fingerprint) {
            Some(failed) if now < failed.retry_at => {
                let wait = failed.retry_at.since(now);
                if self.spend_retry() { Ok(()) } else { Err(wait) }
            }
            _ => Ok(()),
        }
    }

    /// Counts a first attempt that is about to be sent to a backend server.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + 1).min(self.ratio.capacity());
    }

    /// Spends one retry, and returns whether the budget had one.
    pub const fn spend_retry(&mut self) -> bool {
        match self.balance.checked_sub(self.ratio.first_attempts) {
            Some(left) => {
                self.balance = left;
                true
            }
            None => false,
        }
    }

    /// Records that a request reached servers and got no answer, and returns the back-off for its caller.
    pub fn record_failure(&mut self, fingerprint: Fingerprint, now: Instant) -> Duration {
        if self.failed.len() >= FAILED_MAX && !self.failed.contains_key(&fingerprint) {
            self.evict_failed(now);
        }
        let failed = self.failed.entry(fingerprint).or_insert(FailedRequest { count: 0, retry_at: now });
        let wait = BACKOFF_MIN.saturating_mul(1 << failed.count.min(BACKOFF_DOUBLINGS)).min(BACKOFF_MAX);
        failed.count += 1;
        failed.retry_at = now.after(wait);
        wait
    }

    /// Forgets the failures of a request, because it was answered.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        self.failed.remove(&fingerprint);
    }

    /// Returns the number of remembered failed requests.
    pub fn failed_len(&self) -> usize {
        self.failed.len()
    }

    /// Forgets requests whose back-off has ended, or else the one whose back-off ends first.
    fn evict_failed(&mut self, now: Instant) {
        self.failed.retain(|_, failed| failed.retry_at > now);
        let oldest = self.failed.iter().min_by_key(|(_, failed)| failed.retry_at).map(|(fingerprint, _)| *fingerprint);
        if self.failed.len() >= FAILED_MAX {
            oldest.map(|fingerprint| self.failed.remove(&fingerprint));
        }
    }
}
