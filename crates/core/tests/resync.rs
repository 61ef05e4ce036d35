//! A holder whose own batch lies in what a snapshot covers goes on with what the batch won.

use coltsfootpick_core::blackboard::ShardCell;
use coltsfootpick_core::names::{BudgetKey, Incarnation, Stage};
use coltsfootpick_core::record::{AttemptKey, Batch, Close, ShardRecord, TopUp};
use coltsfootpick_core::shard::Shard;
use coltsfootpick_core::shard_credit::{ClaimStatus, Reservation, ReserveOutcome};
use coltsfootpick_core::sizing::GrantSizing;
use coltsfootpick_core::units::{Instant, Offset, Tokens};

fn key() -> BudgetKey {
    BudgetKey { environment: "m".into(), stage: Stage::Production, account: "shire".into() }
}

fn attempt() -> AttemptKey {
    AttemptKey { budget: key(), key: "ticket".into() }
}

fn holder() -> Incarnation {
    Incarnation { instance: "a".into(), run: 1 }
}

fn payment() -> ShardRecord {
    ShardRecord::TopUp(TopUp { id: "t".into(), key: key(), tokens: Tokens(1_000), operator: "nadia".into() })
}

fn paid() -> ShardCell {
    let mut cell = ShardCell::new(holder());
    cell.apply(Offset(0), &payment(), 0);
    cell
}

fn reserve(cell: &mut ShardCell, ticket: u64) -> ReserveOutcome {
    cell.credit.reserve(ticket, &key(), Tokens(100), &cell.state.ledger)
}

fn reserved(cell: &mut ShardCell, ticket: u64) -> Reservation {
    match reserve(cell, ticket) {
        ReserveOutcome::Reserved(reservation) => reservation,
        other => panic!("{other:?}"),
    }
}

fn batch(cell: &mut ShardCell) -> Batch {
    cell.next_batches(Instant::default(), |_| GrantSizing::default()).remove(0)
}

/// Fold that went on past `batches`, as another instance's snapshot holds it.
fn ahead(batches: &[Batch]) -> Shard {
    let mut fold = Shard::default();
    fold.apply(Offset(0), &payment());
    for (batch, offset) in batches.iter().zip(1..) {
        fold.apply(Offset(offset), &ShardRecord::Batch(batch.clone()));
    }
    fold
}

#[test]
fn won_grant() {
    let mut cell = paid();
    assert_eq!(reserve(&mut cell, 1), ReserveOutcome::Waiting);
    let first = batch(&mut cell);
    assert!(cell.install(ahead(&[first]), 9));
    assert!(matches!(reserve(&mut cell, 1), ReserveOutcome::Reserved(_)));
}

#[test]
fn won_claim() {
    let mut cell = paid();
    assert_eq!(cell.claim(&attempt(), 7), ClaimStatus::Pending);
    let first = batch(&mut cell);
    cell.install(ahead(&[first]), 9);
    assert_eq!(cell.claim_status(&attempt()), Some(ClaimStatus::Won));
}

#[test]
fn covered_bill() {
    let mut cell = paid();
    reserve(&mut cell, 1);
    let first = batch(&mut cell);
    cell.install(ahead(std::slice::from_ref(&first)), 9);
    let reservation = reserved(&mut cell, 1);
    let sizing = GrantSizing { settle_delay: std::time::Duration::ZERO, ..GrantSizing::default() };
    cell.credit.settle(&reservation, &"r1".into(), Tokens(100), Instant::default(), &sizing);
    let second = cell.next_batches(Instant::default(), |_| sizing).remove(0);
    let fold = ahead(&[first, second]);
    let held = fold.ledger.budget(&key()).unwrap().holdings.get(&holder()).map(|held| held.outstanding);
    assert!(cell.install(fold, 9));
    assert_eq!(cell.credit.available(&key()), held.unwrap_or_default(), "no credit is made or lost");
    assert_eq!(cell.state.ledger.budget(&key()).unwrap().spent, Tokens(100));
}

#[test]
fn closed_meanwhile() {
    let mut cell = paid();
    reserve(&mut cell, 1);
    let first = batch(&mut cell);
    let mut fold = ahead(&[first]);
    fold.apply(Offset(2), &ShardRecord::Close(Close { holder: holder(), closer: "b".into() }));
    assert!(cell.install(fold, 9));
    assert_eq!(cell.credit.holder().run, 9, "goes on as a new incarnation");
    assert_eq!(cell.credit.available(&key()), Tokens::ZERO);
}

#[test]
fn older_snapshot() {
    let mut cell = paid();
    assert!(!cell.install(Shard::default(), 9), "a snapshot behind the fold changes nothing");
    assert_eq!(cell.state.next, Offset(1));
}
