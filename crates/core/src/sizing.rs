//! Size of a grant request: demand over a horizon, capped by a share of what is free.
//!
//! The horizon and the share are the one choice between credit in doubt and false refusals; the curve
//! is in `docs/DESIGN.md#grant-sizing`.

use std::time::Duration;

use crate::units::Tokens;

/// Share of 100 in whole percent.
pub const PERCENT: u64 = 100;

/// Covers that a holder keeps before it returns credit, so that a changing rate causes few appends.
const IDLE_COVERS: u64 = 3;

/// Part of the cover, in percent, below which a holder asks for more.
const LOW_PERCENT: u64 = 75;

/// How an environment sizes its grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantSizing {
    /// Time that granted credit should last at the present rate of spending.
    pub horizon: Duration,
    /// Largest part of the free pool that one grant may take, in percent.
    pub share_percent: u64,
    /// Longest time for which bills and returns wait for others to share their append.
    pub settle_delay: Duration,
}

impl Default for GrantSizing {
    fn default() -> Self {
        Self { horizon: Duration::from_secs(7_200), share_percent: 25, settle_delay: Duration::from_secs(10) }
    }
}

/// What a holder knows when it sizes a request.
#[derive(Clone, Copy, Debug)]
pub struct CreditNeed {
    /// Tokens that may be reserved now.
    pub available: Tokens,
    /// Sum of the bounds of waiting requests.
    pub waiting: Tokens,
    /// Smallest bound of a waiting request.
    pub smallest: Tokens,
    /// Tokens used a second of late.
    pub rate: f64,
    /// Free tokens of the pool as far as the log was read.
    pub free: Tokens,
}

/// A grant worth asking for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantSize {
    /// Smallest amount of use.
    pub least: Tokens,
    /// Largest amount asked for.
    pub most: Tokens,
}

impl GrantSizing {
    /// Credit that lasts for the horizon at `rate` tokens a second.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a rate is finite and not negative")]
    pub fn cover(&self, rate: f64) -> Tokens {
        Tokens((rate * self.horizon.as_secs_f64()).ceil() as u64)
    }

    /// Decides whether to ask for credit and for how much.
    pub fn grant(&self, need: &CreditNeed) -> Option<GrantSize> {
        let cover = self.cover(need.rate);
        let target = cover + need.waiting;
        let urgent = !need.waiting.is_zero();
        let low = need.available.0 < cover.0.saturating_mul(LOW_PERCENT) / PERCENT && !need.free.is_zero();
        if !urgent && !low {
            return None;
        }
        let least = need.smallest.saturating_sub(need.available).max(Tokens(1));
        let share =
            Tokens(need.free.0 / PERCENT * self.share_percent + need.free.0 % PERCENT * self.share_percent / PERCENT);
        let most = target.saturating_sub(need.available).min(share).max(least);
        Some(GrantSize { least, most })
    }

    /// Credit that the holder can do without: all of it while others wait, else what exceeds the cover once it
    /// is `IDLE_COVERS` times as much.
    pub fn surplus(&self, need: &CreditNeed, others_wait: bool) -> Tokens {
        let cover = self.cover(need.rate);
        let idle = need.available.saturating_sub(need.waiting);
        match others_wait {
            true => idle,
            false if idle.0 <= cover.0.saturating_mul(IDLE_COVERS) => Tokens::ZERO,
            false => idle.saturating_sub(cover),
        }
    }
}
