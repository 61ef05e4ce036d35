//! Use that holders of earlier software drop from their records under a document without the account. The other holders count
//! on it and tell it to those that start later. See `docs/CREDIT.md#left-out`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ceilings::{AccountCeiling, HolderRecord};
use crate::names::ClientAccountName;
use crate::units::Tokens;

/// Maximum number of accounts in one record of which other holders have dropped the use.
const FORGOTTEN_MAX: usize = 512;

/// What holders may have used of accounts that their newest records leave out, by holder and account.
pub type ForgottenUse = BTreeMap<Arc<str>, BTreeMap<ClientAccountName, AccountCeiling>>;

/// What a holder may have used of accounts that `next`, which was read `gap` after `known`, leaves out.
///
/// The reserve counts as far as it was usable between the two records, by the clocks of the holder and of the reader.
pub(crate) fn dropped(
    known: &HolderRecord,
    next: &HolderRecord,
    gap: Duration,
) -> BTreeMap<ClientAccountName, AccountCeiling> {
    if next.keeps_use {
        return BTreeMap::new();
    }
    let written = Duration::from_millis(next.timestamp.saturating_sub(known.timestamp));
    let in_doubt = |entry: &AccountCeiling| AccountCeiling {
        settled: entry.settled.min(entry.ceiling),
        reserve: entry.reserve_in_doubt(Some(written.max(gap))),
        reserve_rate: Tokens::ZERO,
        ..*entry
    };
    // An account that was never used may have been left out as its ceiling was lowered to nothing, and use above the ceiling
    // was covered by loans, which their lenders hold.
    let used = known.ceilings.iter().filter(|(_, entry)| !entry.settled.is_zero() && !entry.ceiling.is_zero());
    let dropped = used.filter(|(account, _)| !next.ceilings.contains_key(*account));
    dropped.map(|(account, entry)| (account.clone(), in_doubt(entry))).collect()
}

/// As much of `forgotten` as fits into one record.
pub(crate) fn bounded(forgotten: &ForgottenUse) -> ForgottenUse {
    let mut left = FORGOTTEN_MAX;
    let mut told = ForgottenUse::new();
    for (holder, accounts) in forgotten {
        let taken: BTreeMap<_, _> = accounts.iter().take(left).map(|(name, entry)| (name.clone(), *entry)).collect();
        left -= taken.len();
        if !taken.is_empty() {
            told.insert(Arc::clone(holder), taken);
        }
    }
    told
}
