//! Retry budget: repeats of work, our own and callers', stay a small share of first attempts.
//!
//! Each instance keeps its own budget, so the share holds for the fleet without any agreement. See
//! `docs/ADMISSION.md#retries`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::quarantine::Fingerprint;
use crate::units::Instant;

/// First attempts that pay for one repeat.
pub const FIRSTS_A_REPEAT: u32 = 20;

/// Repeats that a budget can save up.
pub const REPEATS_SAVED: u32 = 5;

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
    back: Instant,
}

/// How many repeats a budget allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryShare {
    /// First attempts that pay for one repeat.
    pub firsts: u32,
    /// Repeats that can be saved up.
    pub saved: u32,
}

impl Default for RetryShare {
    fn default() -> Self {
        Self { firsts: FIRSTS_A_REPEAT, saved: REPEATS_SAVED }
    }
}

impl RetryShare {
    const fn full(self) -> u32 {
        self.firsts * self.saved
    }
}

/// Budget of one instance.
#[derive(Debug)]
pub struct RetryBudget {
    share: RetryShare,
    firsts: u32,
    failed: BTreeMap<Fingerprint, Failed>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryShare::default())
    }
}

impl RetryBudget {
    /// Full budget with this share.
    pub const fn new(share: RetryShare) -> Self {
        Self { share, firsts: share.full(), failed: BTreeMap::new() }
    }

    /// Takes in a caller's request; one that repeats a failed request before its back-off needs a token.
    pub fn arrive(&mut self, print: Fingerprint, now: Instant) -> Result<(), Duration> {
        match self.failed.get(&print) {
            Some(failed) if now < failed.back => {
                let wait = failed.back.since(now);
                if self.take() { Ok(()) } else { Err(wait) }
            }
            _ => Ok(()),
        }
    }

    /// Notes a first attempt that is about to reach a backend server.
    pub fn first(&mut self) {
        self.firsts = (self.firsts + 1).min(self.share.full());
    }

    /// Takes the token for one repeat, when there is one.
    pub const fn take(&mut self) -> bool {
        match self.firsts.checked_sub(self.share.firsts) {
            Some(left) => {
                self.firsts = left;
                true
            }
            None => false,
        }
    }

    /// Notes that a request reached servers and ended without an answer, and tells when its caller should come back.
    pub fn fail(&mut self, print: Fingerprint, now: Instant) -> Duration {
        if self.failed.len() >= FAILED_MAX && !self.failed.contains_key(&print) {
            self.forget_one(now);
        }
        let failed = self.failed.entry(print).or_insert(Failed { count: 0, back: now });
        let wait = BACKOFF_MIN.saturating_mul(1 << failed.count.min(BACKOFF_DOUBLINGS)).min(BACKOFF_MAX);
        failed.count += 1;
        failed.back = now.after(wait);
        wait
    }

    /// Forgets the failures of a request that was answered.
    pub fn answer(&mut self, print: Fingerprint) {
        self.failed.remove(&print);
    }

    /// Failed requests remembered.
    pub fn remembered(&self) -> usize {
        self.failed.len()
    }

    fn forget_one(&mut self, now: Instant) {
        self.failed.retain(|_, failed| failed.back > now);
        let oldest = self.failed.iter().min_by_key(|(_, failed)| failed.back).map(|(print, _)| *print);
        if self.failed.len() >= FAILED_MAX {
            oldest.map(|print| self.failed.remove(&print));
        }
    }
}
