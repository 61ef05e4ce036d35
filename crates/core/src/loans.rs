//! Loans of headroom between holders, and their settlement.
//!
//! A loan stays under the lender's written ceiling, so the sum of all ceilings in the log does not change. The
//! borrower tells the lender what it used of its loans and returns what it does not need; it deducts both before it
//! says so, so a lost message strands tokens and never doubles them. See `docs/CREDIT.md#loans`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::account_credit::AccountCredit;
use crate::holder_credit::HolderCredit;
use crate::names::ClientAccountName;
use crate::units::{Instant, Tokens};

/// Time of own use that a borrower keeps in loans: the settlement interval, and a round trip between regions (16 ms) with
/// the lender's raise (60 ms). Idle loans are in doubt if all instances fail at once.
const LOAN_WINDOW: Duration = Duration::from_millis(300);

/// Longest time between two settlements of loans in use.
pub const SETTLE_INTERVAL: Duration = Duration::from_millis(250);

/// Time of own use below which a borrower asks for the next loan ahead of need: a round trip between regions (16 ms) and
/// a renewal of the lender (40 ms pause, 10 ms for a write and a read), with some margin.
const AHEAD_WINDOW: Duration = Duration::from_millis(100);

/// Least tokens that are returned while a part of the loan stays; smaller amounts are not worth a request.
const RETURN_MIN: Tokens = Tokens(256);

/// Maximum number of accounts settled in one batch.
const BATCH_MAX: usize = 256;

/// Headroom that one holder lends to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Loan {
    /// Tokens lent.
    pub amount: Tokens,
    /// Headroom that the lender has left.
    pub headroom: Tokens,
    /// Whether the known use of all holders leaves too few tokens, so that no lender can help.
    pub is_exhausted: bool,
}

/// What a borrower used and returns of one lender's loans for one account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanSettlement {
    /// The account.
    pub account: ClientAccountName,
    /// Tokens used.
    pub used: Tokens,
    /// Tokens returned unused.
    pub returned: Tokens,
}

/// Settlements that a borrower sends to one lender under one number until the lender confirms them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettlementBatch {
    /// Number of the batch, counted from 1 for each pair of runs.
    pub number: u64,
    /// Settlements of the batch.
    pub entries: Vec<LoanSettlement>,
}

/// Batches of one borrower, by lender.
#[derive(Debug, Default)]
pub struct SettlementOutbox {
    numbers: BTreeMap<Arc<str>, u64>,
    unconfirmed: BTreeMap<Arc<str>, SettlementBatch>,
}

impl SettlementOutbox {
    /// Batch to send to `lender`: the unconfirmed one again, or else a new one of `collect`'s entries, if any.
    pub fn batch(
        &mut self,
        lender: &Arc<str>,
        collect: impl FnOnce() -> Vec<LoanSettlement>,
    ) -> Option<SettlementBatch> {
        if let Some(batch) = self.unconfirmed.get(lender) {
            return Some(batch.clone());
        }
        let entries = collect();
        if entries.is_empty() {
            return None;
        }
        let number = self.numbers.entry(Arc::clone(lender)).or_default();
        *number += 1;
        let batch = SettlementBatch { number: *number, entries };
        self.unconfirmed.insert(Arc::clone(lender), batch.clone());
        Some(batch)
    }

    /// Forgets the batch of `number` that `lender` has confirmed.
    pub fn confirm(&mut self, lender: &str, number: u64) {
        if self.unconfirmed.get(lender).is_some_and(|batch| batch.number == number) {
            self.unconfirmed.remove(lender);
        }
    }

    /// Forgets everything about a lender whose run has ended.
    pub fn forget(&mut self, lender: &str) {
        self.numbers.remove(lender);
        self.unconfirmed.remove(lender);
    }

    /// Lenders with an unconfirmed batch.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &Arc<str>> {
        self.unconfirmed.keys()
    }
}

/// Numbers of the batches that one lender has applied, by borrower.
#[derive(Debug, Default)]
pub struct SettlementInbox {
    applied: BTreeMap<Arc<str>, u64>,
}

impl SettlementInbox {
    /// Whether the batch `number` of `borrower` is new; a repeated one must not be applied again.
    pub fn accept(&mut self, borrower: &str, number: u64) -> bool {
        match self.applied.get_mut(borrower) {
            Some(last) if *last >= number => false,
            Some(last) => {
                *last = number;
                true
            }
            None => {
                self.applied.insert(Arc::from(borrower), number);
                true
            }
        }
    }
}

impl HolderCredit {
    /// Lends headroom to another holder: the smaller of `most` and half of the headroom, but not less than `least`.
    ///
    /// Nothing is lent when the headroom is below `least`.
    pub fn lend(
        &mut self,
        account: &ClientAccountName,
        least: Tokens,
        most: Tokens,
        prepaid: Tokens,
        now: Instant,
    ) -> Loan {
        self.lend_part(account, least, prepaid, now, |_, headroom| most.min(Tokens(headroom.0 / 2)))
    }

    /// Lends to `borrower` as [`Self::lend`] does, but divides the headroom among the instances that have asked recently
    /// when they want more together than there is.
    pub fn lend_to(
        &mut self,
        borrower: &Arc<str>,
        account: &ClientAccountName,
        least: Tokens,
        most: Tokens,
        prepaid: Tokens,
        now: Instant,
    ) -> Loan {
        self.account_mut(account).asks.note(borrower, most, now);
        self.lend_part(account, least, prepaid, now, |credit, headroom| most.min(credit.asks.part(headroom, most)))
    }

    /// Lends the `part` of the headroom, but not less than `least`.
    fn lend_part(
        &mut self,
        account: &ClientAccountName,
        least: Tokens,
        prepaid: Tokens,
        now: Instant,
        part: impl FnOnce(&AccountCredit, Tokens) -> Tokens,
    ) -> Loan {
        let isolation = self.isolation(now);
        let credit = self.account_mut(account);
        let headroom = credit.headroom(isolation);
        let is_exhausted = credit.is_exhausted(least, prepaid);
        let amount = match headroom < least || is_exhausted {
            true => Tokens::ZERO,
            false => part(credit, headroom).max(least),
        };
        credit.lent += amount;
        Loan { amount, headroom: credit.headroom(isolation), is_exhausted }
    }

    /// Cancels a loan that the borrower never received.
    pub fn cancel_loan(&mut self, account: &ClientAccountName, amount: Tokens) {
        let credit = self.account_mut(account);
        credit.lent = credit.lent.saturating_sub(amount);
    }

    /// Applies a borrower's settlement: what it used counts as used here, and what it returns can be used again.
    pub fn apply_settlement(&mut self, settlement: &LoanSettlement, now: Instant) {
        let credit = self.account_mut(&settlement.account);
        let settled = credit.lent.min(settlement.used + settlement.returned);
        credit.lent = credit.lent.saturating_sub(settled);
        credit.note_use(settled.min(settlement.used), now);
    }

    /// Adds a loan received from the run `lender`.
    pub fn borrow(&mut self, account: &ClientAccountName, lender: &Arc<str>, amount: Tokens) {
        if amount.is_zero() {
            return;
        }
        let credit = self.account_mut(account);
        credit.borrowed += amount;
        *credit.loans.entry(Arc::clone(lender)).or_default() += amount;
    }

    /// Largest loan to ask for when a request of `bound` tokens finds too little headroom.
    pub fn loan_target(&self, account: &ClientAccountName, bound: Tokens, now: Instant) -> Tokens {
        bound + self.account(account).map_or(Tokens::ZERO, |credit| credit.expected_use(LOAN_WINDOW, now))
    }

    /// Whether the loans of `account` last for less than the time that the next one takes, at the present rate of use.
    pub fn needs_loan_ahead(&self, account: &ClientAccountName, now: Instant) -> bool {
        let Some(credit) = self.account(account).filter(|credit| !credit.loans.is_empty()) else { return false };
        let needed = credit.expected_use(AHEAD_WINDOW, now);
        needed >= RETURN_MIN && credit.headroom(self.isolation(now)) < needed
    }

    /// Whether loans are idle that are to be returned before the next settlement: more than twice the expected use.
    pub fn has_excess_loans(&self, account: &ClientAccountName, now: Instant) -> bool {
        let Some(credit) = self.account(account).filter(|credit| !credit.loans.is_empty()) else { return false };
        let kept = credit.expected_use(LOAN_WINDOW, now);
        credit.headroom(Duration::ZERO) >= (kept + kept).max(RETURN_MIN)
    }

    /// Lenders of loans that were not settled completely.
    pub fn lenders(&self) -> BTreeSet<Arc<str>> {
        self.accounts().flat_map(|(_, credit)| credit.loans.keys().cloned()).collect()
    }

    /// Forgets that `lender` is live: its loans can still be used, but not settled.
    pub fn forget_lender(&mut self, lender: &str) {
        for (_, credit) in self.accounts_mut() {
            credit.loans.remove(lender);
        }
    }

    /// Takes out of the own account what was used of `lender`'s loans and what is not needed, to be sent to it.
    pub fn collect_settlements(&mut self, lender: &str, now: Instant) -> Vec<LoanSettlement> {
        let mut settlements = Vec::new();
        for (account, credit) in self.accounts_mut() {
            let Some(loan) = credit.loans.get(lender).copied() else { continue };
            let (used, returned) = settleable(credit, loan, now);
            if (used + returned).is_zero() {
                continue;
            }
            credit.used = credit.used.saturating_sub(used);
            credit.borrowed = credit.borrowed.saturating_sub(used + returned);
            let rest = loan.saturating_sub(used + returned);
            match rest.is_zero() {
                true => credit.loans.remove(lender),
                false => credit.loans.insert(Arc::from(lender), rest),
            };
            settlements.push(LoanSettlement { account: account.clone(), used, returned });
            if settlements.len() == BATCH_MAX {
                break;
            }
        }
        settlements
    }
}

/// Tokens of `loan` that were used, and tokens of it that are not needed.
fn settleable(credit: &AccountCredit, loan: Tokens, now: Instant) -> (Tokens, Tokens) {
    let used = loan.min(credit.used);
    let rest = loan.saturating_sub(used);
    let kept = Some(credit.expected_use(LOAN_WINDOW, now)).filter(|kept| *kept >= RETURN_MIN).unwrap_or_default();
    let returned = rest.min(credit.headroom(Duration::ZERO).saturating_sub(kept));
    match returned >= RETURN_MIN || returned == rest {
        true => (used, returned),
        false => (used, Tokens::ZERO),
    }
}
