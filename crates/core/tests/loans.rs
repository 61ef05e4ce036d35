//! Loans between holders: the lender's ceiling covers them, settlements count once, idle tokens return.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::CeilingTable;
use coltsfootpick_core::headroom::CeilingPolicy;
use coltsfootpick_core::holder_credit::{HeadroomOutcome, HolderCredit, PlannedAccount, RecordMetadata};
use coltsfootpick_core::lenders::CreditRole;
use coltsfootpick_core::loans::{Loan, LoanSettlement, SettlementInbox, SettlementOutbox};
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::units::{Instant, Tokens};

const PREPAID: Tokens = Tokens(1_000_000);
const NOW: Instant = Instant(Duration::from_secs(100));

fn account() -> ClientAccountName {
    ClientAccountName::from("clinic")
}

/// Holder whose ceiling is written and read back.
fn lender() -> HolderCredit {
    let name: Arc<str> = "lender/1".into();
    let mut credit = HolderCredit::new(Arc::clone(&name), CeilingPolicy::default());
    let (table, account) = (CeilingTable::default(), account());
    let planned = PlannedAccount { name: &account, prepaid: PREPAID, role: CreditRole::Lender };
    let record = credit.plan_record(&table, RecordMetadata::default(), [planned], NOW, true).unwrap();
    credit.apply_own(&record, &table, 0, |_| Some(PREPAID));
    credit
}

fn borrower() -> HolderCredit {
    HolderCredit::new("borrower/1".into(), CeilingPolicy::default())
}

/// Lends to `borrower`, which uses `used` of a request of `bound` tokens.
fn lend_and_use(lender: &mut HolderCredit, borrower: &mut HolderCredit, bound: u64, used: u64) -> Loan {
    let loan = lender.lend(&account(), Tokens(bound), Tokens(bound), PREPAID, NOW);
    borrower.borrow(&account(), lender.holder(), loan.amount);
    assert_eq!(borrower.reserve(&account(), Tokens(bound), PREPAID, NOW), HeadroomOutcome::Reserved);
    borrower.settle(&account(), Tokens(bound), Tokens(used), NOW);
    loan
}

fn headroom(credit: &mut HolderCredit) -> Tokens {
    credit.lend(&account(), Tokens::ZERO, Tokens::ZERO, PREPAID, NOW).headroom
}

#[test]
fn idle_returns() {
    let (mut lender, mut borrower) = (lender(), borrower());
    let before = headroom(&mut lender);
    lend_and_use(&mut lender, &mut borrower, 10_000, 100);
    assert_eq!(headroom(&mut lender), before.saturating_sub(Tokens(10_000)));
    // The borrower's rate of use fades, so that it keeps nothing for further requests.
    let later = NOW.after(Duration::from_secs(60));
    let settled = borrower.collect_settlements("lender/1", later);
    let expected = LoanSettlement { account: account(), used: Tokens(100), returned: Tokens(9_900) };
    assert_eq!(settled, [expected]);
    lender.apply_settlement(&settled[0], later);
    assert_eq!(headroom(&mut lender), before.saturating_sub(Tokens(100)));
    assert_eq!(headroom(&mut borrower), Tokens::ZERO);
    assert!(borrower.lenders().is_empty());
}

#[test]
fn open_request_keeps() {
    let (mut lender, mut borrower) = (lender(), borrower());
    let loan = lender.lend(&account(), Tokens(5_000), Tokens(5_000), PREPAID, NOW);
    borrower.borrow(&account(), lender.holder(), loan.amount);
    assert_eq!(borrower.reserve(&account(), Tokens(5_000), PREPAID, NOW), HeadroomOutcome::Reserved);
    assert!(borrower.collect_settlements("lender/1", NOW).is_empty(), "the tokens of an open request are returned");
}

#[test]
fn settlement_once() {
    let mut inbox = SettlementInbox::default();
    assert!(inbox.accept("borrower/1", 1));
    assert!(!inbox.accept("borrower/1", 1), "a repeated batch is applied again");
    assert!(inbox.accept("borrower/1", 2));
    assert!(!inbox.accept("borrower/1", 1));
    assert!(inbox.accept("borrower/2", 1));
}

#[test]
fn batch_repeats() {
    let mut outbox = SettlementOutbox::default();
    let lender: Arc<str> = "lender/1".into();
    let entry = |used| vec![LoanSettlement { account: account(), used: Tokens(used), returned: Tokens::ZERO }];
    assert_eq!(outbox.batch(&lender, Vec::new), None);
    let first = outbox.batch(&lender, || entry(5)).unwrap();
    assert_eq!(outbox.batch(&lender, || entry(7)).unwrap(), first, "an unconfirmed batch changes");
    outbox.confirm(&lender, first.number);
    let second = outbox.batch(&lender, || entry(7)).unwrap();
    assert_eq!((second.number, second.entries), (first.number + 1, entry(7)));
}

#[test]
fn dead_lender() {
    let (mut lender, mut borrower) = (lender(), borrower());
    let loan = lender.lend(&account(), Tokens(5_000), Tokens(5_000), PREPAID, NOW);
    borrower.borrow(&account(), lender.holder(), loan.amount);
    borrower.forget_lender("lender/1");
    assert!(borrower.lenders().is_empty());
    assert_eq!(borrower.reserve(&account(), Tokens(5_000), PREPAID, NOW), HeadroomOutcome::Reserved);
}

#[test]
fn exhausted_lender() {
    let mut lender = lender();
    let loan = lender.lend(&account(), Tokens(PREPAID.0 + 1), PREPAID, PREPAID, NOW);
    assert_eq!((loan.amount, loan.is_exhausted), (Tokens::ZERO, true));
    let loan = lender.lend(&account(), PREPAID, PREPAID, PREPAID, NOW);
    assert_eq!((loan.amount, loan.is_exhausted), (Tokens::ZERO, false), "a raise may still help");
}

/// A settlement larger than the loans given, as from a faulty peer, frees no more than was lent.
#[test]
fn excessive_settlement() {
    let (mut lender, mut borrower) = (lender(), borrower());
    let before = headroom(&mut lender);
    lend_and_use(&mut lender, &mut borrower, 1_000, 1_000);
    let forged = LoanSettlement { account: account(), used: Tokens::ZERO, returned: Tokens(500_000) };
    lender.apply_settlement(&forged, NOW);
    assert_eq!(headroom(&mut lender), before);
}
