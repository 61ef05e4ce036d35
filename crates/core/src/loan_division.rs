//! Division of a lender's headroom among the instances that ask for loans at about the same time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::units::{Instant, Tokens};

/// Time for which an instance counts as asking. Instances whose requests arrive together ask within a round trip
/// between regions (16 ms) and the lender's renewal (60 ms); a busy one asks again within its loan window.
const ASKING_TIME: Duration = Duration::from_millis(250);

/// Maximum number of instances that count as asking.
const ASKING_MAX: usize = 1_024;

/// Instances that have asked for loans of one account recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentAsks {
    /// Largest usable loan and time of the newest loan request, by run.
    asks: BTreeMap<Arc<str>, (Tokens, Instant)>,
}

impl RecentAsks {
    /// Notes that `borrower` can use `most` tokens.
    pub(crate) fn note(&mut self, borrower: &Arc<str>, most: Tokens, now: Instant) {
        self.asks.retain(|_, (_, at)| now.since(*at) <= ASKING_TIME);
        if self.asks.len() < ASKING_MAX {
            self.asks.insert(Arc::clone(borrower), (most, now));
        }
    }

    /// Part of `headroom` for a loan of `most` tokens: half of it, or less if the instances that ask want more
    /// together than there is.
    pub(crate) fn part(&self, headroom: Tokens, most: Tokens) -> Tokens {
        let wanted = self.asks.values().map(|(most, _)| u128::from(most.0)).sum::<u128>().max(1);
        let part = u128::from(headroom.0) * u128::from(most.0) / wanted;
        Tokens(u64::try_from(part).unwrap_or(u64::MAX).min(headroom.0 / 2))
    }
}
