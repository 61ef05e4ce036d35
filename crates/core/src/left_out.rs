//! Use of accounts that the document leaves out: it stays on record, since an account may come back. See
//! `docs/CREDIT.md#left-out`.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::account_credit::AccountCredit;
use crate::ceilings::{AccountCeiling, HolderRecord};
use crate::holder_credit::HolderCredit;
use crate::names::ClientAccountName;

/// Number of accounts in an archive.
const ARCHIVE_SIZE: usize = 128;

impl HolderCredit {
    /// What this holder's ceilings must cover of the accounts that were not planned in `record`.
    pub(crate) fn left_out(&self, record: &HolderRecord) -> BTreeMap<ClientAccountName, AccountCeiling> {
        let others = self.accounts().filter(|(account, _)| !record.ceilings.contains_key(*account));
        others.map(|(account, credit)| (account.clone(), credit.final_ceiling())).collect()
    }

    /// Moves the use of accounts that were left out to a record of its own once there are many, so that the records which
    /// are written all the time stay small. It counts as one of a closed holder and never changes.
    pub(crate) fn archive(
        &self,
        record: &mut HolderRecord,
        left_out: &BTreeMap<ClientAccountName, AccountCeiling>,
    ) -> Option<(Arc<str>, HolderRecord)> {
        let is_settled = |account: &ClientAccountName| self.account(account).is_some_and(AccountCredit::is_settled);
        let kept = left_out.iter().filter(|(account, kept)| !kept.settled.is_zero() && is_settled(account));
        let ceilings: BTreeMap<_, _> =
            kept.map(|(account, kept)| (account.clone(), *kept)).take(ARCHIVE_SIZE).collect();
        if ceilings.len() < ARCHIVE_SIZE {
            return None;
        }
        record.ceilings.retain(|account, _| !ceilings.contains_key(account));
        let HolderRecord { number, era, document, .. } = *record;
        let archive =
            HolderRecord { ceilings, number, era, document, closed: true, keeps_use: true, ..HolderRecord::default() };
        Some((format!("{}+{number}", self.holder()).into(), archive))
    }

    /// Forgets the use that `archive` holds from now on.
    pub(crate) fn forget_archived(&mut self, archive: &HolderRecord) {
        for (account, archived) in &archive.ceilings {
            let credit = self.account_mut(account);
            credit.used = credit.used.saturating_sub(archived.settled);
            if credit.is_settled() && credit.used.is_zero() {
                self.remove_account(account);
            }
        }
    }
}
