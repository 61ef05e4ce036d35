//! Size of a grant: the expected use over a time horizon, limited to a share of the free tokens.
//!
//! Horizon and share set the balance between credit in doubt and false refusals; the curve is in
//! `docs/DESIGN.md#grant-sizing`.

use std::time::Duration;

use crate::units::Tokens;

/// Divisor of a percentage.
pub const PERCENT: u64 = 100;

/// A holder returns credit once it has more than this many times its expected use, so that a changing rate of use
/// causes few appends.
const SURPLUS_FACTOR: u64 = 3;

/// A holder requests a grant once its credit is below this many percent of its expected use.
const LOW_PERCENT: u64 = 75;

/// Settings by which an environment sizes its grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantSizing {
    /// Time that granted credit should last at the present rate of use.
    pub horizon: Duration,
    /// Largest part of the free tokens that one grant may contain, in percent.
    pub share_percent: u64,
    /// Longest time that bills and returns wait for others to share their batch.
    pub settle_delay: Duration,
}

impl Default for GrantSizing {
    fn default() -> Self {
        Self { horizon: Duration::from_secs(7_200), share_percent: 25, settle_delay: Duration::from_secs(10) }
    }
}

/// Credit and demand of a holder for one budget.
#[derive(Clone, Copy, Debug)]
pub struct CreditNeed {
    /// Tokens that may be reserved now.
    pub available: Tokens,
    /// Sum of the bounds of waiting requests.
    pub waiting: Tokens,
    /// Smallest bound of a waiting request.
    pub smallest_bound: Tokens,
    /// Recent use, in tokens a second.
    pub rate: f64,
    /// Free tokens of the budget as far as the log was read.
    pub free: Tokens,
}

/// Size of a grant to request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantSize {
    /// Smallest amount that is useful to the holder.
    pub least: Tokens,
    /// Largest amount requested.
    pub most: Tokens,
}

impl GrantSizing {
    /// Tokens used over the horizon at `rate` tokens a second.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a rate is finite and not negative")]
    pub fn expected_use(&self, rate: f64) -> Tokens {
        Tokens((rate * self.horizon.as_secs_f64()).ceil() as u64)
    }

    /// Size of the grant to request now, if any.
    pub fn grant(&self, need: &CreditNeed) -> Option<GrantSize> {
        let expected = self.expected_use(need.rate);
        let target = expected + need.waiting;
        let is_urgent = !need.waiting.is_zero();
        let is_low = need.available.0 < expected.0.saturating_mul(LOW_PERCENT) / PERCENT && !need.free.is_zero();
        if !is_urgent && !is_low {
            return None;
        }
        let least = need.smallest_bound.saturating_sub(need.available).max(Tokens(1));
        let share =
            Tokens(need.free.0 / PERCENT * self.share_percent + need.free.0 % PERCENT * self.share_percent / PERCENT);
        let most = target.saturating_sub(need.available).min(share).max(least);
        Some(GrantSize { least, most })
    }

    /// Tokens to return: all idle ones while others wait, or else those beyond the expected use once the idle ones are
    /// more than `SURPLUS_FACTOR` times the expected use.
    pub fn surplus(&self, need: &CreditNeed, others_wait: bool) -> Tokens {
        let expected = self.expected_use(need.rate);
        let idle = need.available.saturating_sub(need.waiting);
        match others_wait {
            true => idle,
            false if idle.0 <= expected.0.saturating_mul(SURPLUS_FACTOR) => Tokens::ZERO,
            false => idle.saturating_sub(expected),
        }
    }
}
