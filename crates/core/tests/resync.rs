//! A snapshot that already covers the batch in flight: the instance continues with the outcomes of that batch.

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

fn funded_cell() -> ShardCell {
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

fn next_batch(cell: &mut ShardCell) -> Batch {
    cell.next_batches(Instant::default(), |_| GrantSizing::default()).remove(0)
}

/// State after `batches`, as in a snapshot of another instance.
fn state_after(batches: &[Batch]) -> Shard {
    let mut state = Shard::default();
    state.apply(Offset(0), &payment());
    for (batch, offset) in batches.iter().zip(1..) {
        state.apply(Offset(offset), &ShardRecord::Batch(batch.clone()));
    }
    state
}

#[test]
fn won_grant() {
    let mut cell = funded_cell();
    assert_eq!(reserve(&mut cell, 1), ReserveOutcome::Waiting);
    let first = next_batch(&mut cell);
    assert!(cell.install(state_after(&[first]), 9));
    assert!(matches!(reserve(&mut cell, 1), ReserveOutcome::Reserved(_)));
}

#[test]
fn won_claim() {
    let mut cell = funded_cell();
    assert_eq!(cell.claim(&attempt(), 7), ClaimStatus::Pending);
    let first = next_batch(&mut cell);
    cell.install(state_after(&[first]), 9);
    assert_eq!(cell.claim_status(&attempt()), Some(ClaimStatus::Won));
}

#[test]
fn covered_bill() {
    let mut cell = funded_cell();
    reserve(&mut cell, 1);
    let first = next_batch(&mut cell);
    cell.install(state_after(std::slice::from_ref(&first)), 9);
    let reservation = reserved(&mut cell, 1);
    let sizing = GrantSizing { settle_delay: std::time::Duration::ZERO, ..GrantSizing::default() };
    cell.credit.settle(&reservation, &"r1".into(), Tokens(100), Instant::default(), &sizing);
    let second = cell.next_batches(Instant::default(), |_| sizing).remove(0);
    let state = state_after(&[first, second]);
    let held = state.ledger.budget(&key()).unwrap().holdings.get(&holder()).map(|held| held.outstanding);
    assert!(cell.install(state, 9));
    assert_eq!(cell.credit.available(&key()), held.unwrap_or_default(), "no credit is created or lost");
    assert_eq!(cell.state.ledger.budget(&key()).unwrap().spent, Tokens(100));
}

#[test]
fn closed_meanwhile() {
    let mut cell = funded_cell();
    reserve(&mut cell, 1);
    let first = next_batch(&mut cell);
    let mut state = state_after(&[first]);
    state.apply(Offset(2), &ShardRecord::Close(Close { holder: holder(), closer: "b".into() }));
    assert!(cell.install(state, 9));
    assert_eq!(cell.credit.holder().run, 9, "a new incarnation replaces the closed one");
    assert_eq!(cell.credit.available(&key()), Tokens::ZERO);
}

#[test]
fn older_snapshot() {
    let mut cell = funded_cell();
    assert!(!cell.install(Shard::default(), 9), "an older snapshot changes nothing");
    assert_eq!(cell.state.next, Offset(1));
}
