//! Sizes of credit ceilings: how much headroom a holder keeps above the tokens that it has committed.

use std::time::Duration;

use crate::ceilings::OtherHolders;
use crate::units::Tokens;

/// Headroom that ceilings leave above the amounts used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CeilingPolicy {
    /// Percent of an account's unused credit that all holders together keep as headroom, including their reserves.
    pub share_percent: u64,
    /// Percent of an account's unused credit that all holders together keep as headroom, without their reserves.
    pub base_percent: u64,
    /// Time of the holder's own use that its reserve covers.
    pub window: Duration,
    /// Time without a record after which a holder counts as dead for sizing; its ceiling still counts against the
    /// account.
    pub silence: Duration,
}

impl Default for CeilingPolicy {
    fn default() -> Self {
        Self { share_percent: 80, base_percent: 12, window: Duration::from_secs(12), silence: Duration::from_secs(20) }
    }
}

/// Divisor of a percentage.
pub const PERCENT: u64 = 100;

/// Time of own use that a ceiling covers without the reserve: the delay of the reserve and of two writes.
const BASE_WINDOW: Duration = Duration::from_secs(2);

/// Time of use that a lender's ceiling covers without the reserve. An outage may begin with a write of unknown outcome,
/// 300 ms after the last one, which delays the use of the reserve to 1.3 s; the loans that borrowers hold cover some 0.3 s
/// of it. With 1.4 s, 3.3 % of the prepaid amounts was in doubt after a failure of all instances.
const LENDER_BASE_WINDOW: Duration = Duration::from_millis(1_150);

/// Part of its maximum that a lender's headroom below the ceiling has at least: together 2.4 % of what is unused, so that
/// single requests fit into it before the rate of use is known.
const LENDER_BASE_FLOOR_DIVISOR: u64 = 5;

/// Factor by which use may exceed its average rate in an outage.
const SURGE: f64 = 1.5;

/// Part of its maximum that the headroom below the ceiling has at least, so that single requests fit into it.
const BASE_FLOOR_DIVISOR: u64 = 2;

/// Part of its maximum that becomes usable in the window of a reserve at least.
const RESERVE_FLOOR_DIVISOR: u64 = 4;

/// Use credited to every holder when an account is divided, in percent of the prepaid amount, so that a new holder gets
/// a share before it has used anything.
const BASE_WEIGHT_PERCENT: u64 = 2;

/// What a holder knows of one account when it sizes its headroom.
#[derive(Clone, Copy, Debug)]
pub struct HeadroomInput {
    /// Tokens that the account paid for.
    pub prepaid: Tokens,
    /// Tokens that the holder used.
    pub used: Tokens,
    /// Tokens that the holder used or has lent.
    pub committed: Tokens,
    /// Present rate of use in tokens per second.
    pub rate: f64,
    /// Sums over the other holders.
    pub others: OtherHolders,
    /// Number of holders among which the account is first divided.
    pub parts: u64,
    /// Whether the holder lends to borrowers, whose loans cover a part of the use.
    pub is_lender: bool,
}

impl HeadroomInput {
    /// This holder's share of the unused credit, by the use of all holders.
    fn share(&self) -> u128 {
        let unused = self.prepaid.saturating_sub(self.others.max_used + self.used);
        let base = u128::from(self.prepaid.0 / PERCENT * BASE_WEIGHT_PERCENT);
        let committed = u128::from(self.committed.0);
        let weight = committed + base;
        let weights = (u128::from(self.others.live_use.0) + committed + base * u128::from(self.parts)).max(1);
        u128::from(unused.0).saturating_mul(weight) / weights
    }
}

/// Headroom that a holder aims to have above its committed tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHeadroom {
    /// Headroom below the ceiling.
    pub base: Tokens,
    /// Headroom below the ceiling and the reserve together.
    pub total: Tokens,
    /// Tokens of the reserve that become usable each second while the holder cannot write.
    pub reserve_rate: Tokens,
}

impl TargetHeadroom {
    /// Headroom for a time window of own use, limited to this holder's share of the unused credit.
    ///
    /// The less credit an account has left, the less of it may be in doubt when a holder dies, since no other holder
    /// can use the tokens in doubt. Until the rate of use is known, a part of the share stands in for it.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "rates are positive, and saturate")]
    #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52 tokens")]
    pub fn new(policy: &CeilingPolicy, input: &HeadroomInput) -> Self {
        let share = input.share();
        let part = |percent: u64| {
            u64::try_from(share.saturating_mul(u128::from(percent)) / u128::from(PERCENT)).unwrap_or(u64::MAX)
        };
        let (most_base, most) = (part(policy.base_percent), part(policy.share_percent));
        let rate = input.rate * SURGE;
        let (base_use, divisor) = match input.is_lender {
            true => (input.rate * LENDER_BASE_WINDOW.as_secs_f64(), LENDER_BASE_FLOOR_DIVISOR),
            false => (rate * BASE_WINDOW.as_secs_f64(), BASE_FLOOR_DIVISOR),
        };
        let base = most_base.min((base_use as u64).max(most_base / divisor));
        let window = policy.window.as_secs_f64();
        let reserve_rate = rate.max((most / RESERVE_FLOOR_DIVISOR) as f64 / window);
        let total = most.min(base.saturating_add((reserve_rate * window) as u64)).max(base);
        Self { base: Tokens(base), total: Tokens(total), reserve_rate: Tokens(reserve_rate.ceil() as u64) }
    }
}
