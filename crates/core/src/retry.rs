//! Retry budget: repeats of work, our own and callers', stay a small ratio of first attempts.
//!
//! Each instance keeps its own budget, so the ratio holds for the fleet without any agreement. See
//! `docs/ADMISSION.md#retries`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::quarantine::Fingerprint;
use crate::units::Instant;

/// First attempts that pay for one repeat.
pub const FIRST_ATTEMPTS_PER_RETRY: u32 = 20;

/// Repeats that a budget can save up.
pub const RETRY_BURST: u32 = 5;

/// Back-off told to a caller after its first failure.
pub const BACKOFF_MIN: Duration = Duration::from_secs(1);

/// Longest back-off told to a caller.
pub const BACKOFF_MAX: Duration = Duration::from_secs(8);

const BACKOFF_DOUBLINGS: u32 = 3;

/// Failed requests remembered.
const FAILED_MAX: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Failed {
    count: u32,
    retry_at: Instant,
}

/// How many repeats a budget allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRatio {
    /// First attempts that pay for one repeat.
    pub first_attempts: u32,
    /// Repeats that can be saved up.
    pub burst: u32,
}

impl Default for RetryRatio {
    fn default() -> Self {
        Self { first_attempts: FIRST_ATTEMPTS_PER_RETRY, burst: RETRY_BURST }
    }
}

impl RetryRatio {
    const fn full(self) -> u32 {
        self.first_attempts * self.burst
    }
}

/// Budget of one instance.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: RetryRatio,
    balance: u32,
    failed: BTreeMap<Fingerprint, Failed>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryRatio::default())
    }
}

impl RetryBudget {
    /// Full budget with this ratio.
    pub const fn new(ratio: RetryRatio) -> Self {
        Self { ratio, balance: ratio.full(), failed: BTreeMap::new() }
    }

    /// Takes in a caller's request; one that repeats a failed request before its back-off needs a token.
    pub fn admit(&mut self, fingerprint: Fingerprint, now: Instant) -> Result<(), Duration> {
        match self.failed.get(&fingerprint) {
            Some(failed) if now < failed.retry_at => {
                let wait = failed.retry_at.since(now);
                if self.take_token() { Ok(()) } else { Err(wait) }
            }
            _ => Ok(()),
        }
    }

    /// Notes a first attempt that is about to reach a backend server.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + 1).min(self.ratio.full());
    }

    /// Takes the token for one repeat, when there is one.
    pub const fn take_token(&mut self) -> bool {
        match self.balance.checked_sub(self.ratio.first_attempts) {
            Some(left) => {
                self.balance = left;
                true
            }
            None => false,
        }
    }

    /// Notes that a request reached servers and ended without an answer, and tells when its caller should come back.
    pub fn record_failure(&mut self, fingerprint: Fingerprint, now: Instant) -> Duration {
        if self.failed.len() >= FAILED_MAX && !self.failed.contains_key(&fingerprint) {
            self.forget_one(now);
        }
        let failed = self.failed.entry(fingerprint).or_insert(Failed { count: 0, retry_at: now });
        let wait = BACKOFF_MIN.saturating_mul(1 << failed.count.min(BACKOFF_DOUBLINGS)).min(BACKOFF_MAX);
        failed.count += 1;
        failed.retry_at = now.after(wait);
        wait
    }

    /// Forgets the failures of a request that was answered.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        self.failed.remove(&fingerprint);
    }

    /// Failed requests remembered.
    pub fn remembered(&self) -> usize {
        self.failed.len()
    }

    fn forget_one(&mut self, now: Instant) {
        self.failed.retain(|_, failed| failed.retry_at > now);
        let oldest = self.failed.iter().min_by_key(|(_, failed)| failed.retry_at).map(|(fingerprint, _)| *fingerprint);
        if self.failed.len() >= FAILED_MAX {
            oldest.map(|fingerprint| self.failed.remove(&fingerprint));
        }
    }
}
