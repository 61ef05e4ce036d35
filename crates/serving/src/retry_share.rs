//! Share of one instance in the retry limit of the whole fleet, so that the limit holds without coordination.
//!
//! Answers days on which servers crash and all instances restart: each instance may be about to use its share at once, and
//! it may get requests before it knows how many others there are. See `docs/ADMISSION.md#retries`.

use std::time::Duration;

use coltsfootpick_core::retry::{RetryBudget, RetryRatio};

/// Largest part by which a retry delay is lengthened at random.
const BACKOFF_SPREAD: f64 = 0.25;

/// Lengthens a retry delay by a random part, so that callers do not all return at the same moment.
pub fn spread(delay: Duration) -> Duration {
    delay.mul_f64(1.0 + rand::random::<f64>() * BACKOFF_SPREAD)
}

/// Limit on retries over all instances: dispatches beyond the first of each request, in a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per request, from 0 to 1.
    pub ratio: f64,
    /// Retries allowed in addition to `ratio`.
    pub slack: u32,
}

/// Fraction of the fleet's limit that the instances share, so that overlapping windows and restarts stay within it.
const SHARED_FRACTION: f64 = 0.5;

/// Smallest ratio, below which the number of first attempts for a retry would be meaningless.
const RATIO_MIN: f64 = 0.001;

/// Retry budget of one instance for one service.
#[derive(Debug)]
pub struct RetryShare {
    /// Budget that requests use.
    pub budget: RetryBudget,
    /// Number of instances for which the share was computed; `None` until the fleet list was read.
    pub fleet: Option<usize>,
    ratio: RetryRatio,
}

impl RetryShare {
    /// Share of one of `fleet` instances in `limit`.
    ///
    /// While the fleet is unknown an instance begins without a retry, since all others may begin at the same time.
    pub fn new(limit: RetryLimit, fleet: Option<usize>) -> Self {
        let (ratio, balance) = share_of(limit, fleet);
        Self { budget: RetryBudget::with_balance(ratio, balance), fleet, ratio }
    }

    /// Follows a change of the fleet.
    pub fn set_fleet(&mut self, limit: RetryLimit, fleet: Option<usize>) {
        if self.fleet != fleet {
            (self.fleet, self.ratio) = (fleet, share_of(limit, fleet).0);
            self.budget.set_ratio(self.ratio);
        }
    }

    /// Ratio in force.
    pub const fn ratio(&self) -> RetryRatio {
        self.ratio
    }
}

/// Ratio of one instance, and the balance in first attempts with which its budget begins. The balances of all instances
/// together stay within the slack, also where it is smaller than their number.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "ratios lie between 0 and 1")]
fn share_of(limit: RetryLimit, fleet: Option<usize>) -> (RetryRatio, u32) {
    let first_attempts = (1.0 / (limit.ratio * SHARED_FRACTION).max(RATIO_MIN)).ceil() as u32;
    let retries = f64::from(limit.slack) * SHARED_FRACTION;
    let size = |instances: usize| f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
    let balance = fleet.map_or(0.0, |fleet| retries * f64::from(first_attempts) / size(fleet)) as u32;
    (RetryRatio { first_attempts, burst: (balance / first_attempts).max(1) }, balance)
}
