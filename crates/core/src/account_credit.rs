//! Credit of one holder for one account: limits by the log, use, reservations and loans.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ceilings::{AccountCeiling, HolderRecord, usable_reserve};
use crate::loan_division::RecentAsks;
use crate::names::ClientAccountName;
use crate::rate::Rate;
use crate::units::{Instant, Tokens};

/// Time span over which the rate of use is averaged.
const RATE_SPAN: Duration = Duration::from_secs(5);

/// Least time since the first use from which a rate is estimated.
const RATE_KNOWN_AFTER: Duration = Duration::from_secs(1);

/// Ceiling and reserve of one holder for one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Limit {
    pub(crate) ceiling: Tokens,
    pub(crate) reserve: Tokens,
    /// Tokens of the reserve that become usable each second.
    pub(crate) reserve_rate: Tokens,
}

impl Limit {
    /// Limit that `record` requests for `account`.
    pub(crate) fn of(record: &HolderRecord, account: &ClientAccountName) -> Self {
        let requested = record.ceilings.get(account).copied().unwrap_or_default();
        let AccountCeiling { ceiling, reserve, reserve_rate, .. } = requested;
        Self { ceiling, reserve, reserve_rate }
    }

    pub(crate) fn total(self) -> Tokens {
        self.ceiling + self.reserve
    }

    pub(crate) fn lower_of(self, other: Self) -> Self {
        Self {
            ceiling: self.ceiling.min(other.ceiling),
            reserve: self.reserve.min(other.reserve),
            reserve_rate: self.reserve_rate.min(other.reserve_rate),
        }
    }

    /// Limit reduced to at most `most` tokens in total; the reserve is reduced first.
    pub(crate) fn within(self, most: Tokens) -> Self {
        let ceiling = self.ceiling.min(most);
        Self { ceiling, reserve: self.reserve.min(most.saturating_sub(ceiling)), ..self }
    }
}

/// Credit of one holder for one account.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountCredit {
    /// Limit in force, which is below `granted` while a lower limit is being written.
    pub(crate) limit: Limit,
    /// Limit granted by the log as far as it was read.
    pub(crate) granted: Limit,
    /// Whether the newest record requests more than `granted`; other holders count the requested amount as allowed.
    pub(crate) is_cut: bool,
    pub(crate) used: Tokens,
    pub(crate) reserved: Tokens,
    /// Loans received and not yet accounted for to their lenders, which includes loans of dead lenders.
    pub(crate) borrowed: Tokens,
    /// Part of `borrowed` by live lender.
    pub(crate) loans: BTreeMap<Arc<str>, Tokens>,
    /// Loans given that the borrowers have not yet accounted for.
    pub(crate) lent: Tokens,
    /// Instances that have asked for loans recently.
    pub(crate) asks: RecentAsks,
    /// Sum of the bounds of waiting requests.
    pub(crate) waiting: Tokens,
    use_rate: Rate,
    first_use: Option<Instant>,
    /// Tokens that other holders reported as settled.
    pub(crate) others_used: Tokens,
}

impl AccountCredit {
    /// Tokens that the written ceiling must cover: own use, reservations and loans given, less loans received, which
    /// the lenders' ceilings cover.
    pub(crate) fn committed(&self) -> Tokens {
        (self.used + self.reserved + self.lent).saturating_sub(self.borrowed)
    }

    /// Ceiling that leaves no headroom.
    pub(crate) fn final_ceiling(&self) -> AccountCeiling {
        AccountCeiling { ceiling: self.committed(), settled: self.used, ..AccountCeiling::default() }
    }

    /// Whether no request and no loan can change the use any more.
    pub(crate) fn is_settled(&self) -> bool {
        (self.reserved + self.borrowed + self.lent + self.waiting).is_zero()
    }

    /// Tokens that can be reserved when no record was written for `isolation`.
    pub(crate) fn headroom(&self, isolation: Duration) -> Tokens {
        let reserve = usable_reserve(self.limit.reserve, self.limit.reserve_rate, isolation);
        (self.limit.ceiling + reserve + self.borrowed).saturating_sub(self.used + self.reserved + self.lent)
    }

    /// Whether the known use of all holders leaves fewer than `bound` of the `prepaid` tokens.
    pub(crate) fn is_exhausted(&self, bound: Tokens, prepaid: Tokens) -> bool {
        self.others_used + self.used + bound > prepaid
    }

    pub(crate) fn note_use(&mut self, amount: Tokens, now: Instant) {
        self.used += amount;
        self.first_use.get_or_insert(now);
        self.use_rate.add(amount.0, now, RATE_SPAN);
    }

    /// Present rate of use in tokens per second.
    ///
    /// The average starts at zero, which the time since the first use corrects: outages soon after a start would find a
    /// reserve for half of the use otherwise.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        let since = self.first_use.map_or(Duration::ZERO, |first| now.since(first)).max(RATE_KNOWN_AFTER);
        let weight = 1.0 - (-since.as_secs_f64() / RATE_SPAN.as_secs_f64()).exp();
        self.use_rate.per_second(now, RATE_SPAN) / weight
    }

    /// Tokens that the holder uses in `span` at its present rate of use.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a rate is small and not negative")]
    pub(crate) fn expected_use(&self, span: Duration, now: Instant) -> Tokens {
        Tokens((self.rate(now) * span.as_secs_f64()) as u64)
    }
}
