//! When the credit of a shard appends a batch, and what it returns.

use std::time::Duration;

use coltsfootpick_core::blackboard::ShardCell;
use coltsfootpick_core::names::{BudgetKey, Incarnation, Stage};
use coltsfootpick_core::record::{AttemptKey, ShardRecord, TopUp};
use coltsfootpick_core::shard_credit::{Reservation, ReserveOutcome};
use coltsfootpick_core::sizing::GrantSizing;
use coltsfootpick_core::units::{Instant, Offset, Tokens};

const ROUNDS: usize = 4;

fn key() -> BudgetKey {
    BudgetKey { environment: "tunis".into(), stage: Stage::Production, account: "registry".into() }
}

fn sizing() -> GrantSizing {
    GrantSizing { horizon: Duration::from_secs(1), share_percent: 100, settle_delay: Duration::from_secs(10) }
}

fn at(seconds: u64) -> Instant {
    Instant(Duration::from_secs(seconds))
}

/// Two instances that share a log.
struct TestFleet {
    cells: Vec<ShardCell>,
    log: Vec<ShardRecord>,
}

impl TestFleet {
    fn new(tokens: u64) -> Self {
        let cell = |name: &str| ShardCell::new(Incarnation { instance: name.into(), run: 1 });
        let paid = TopUp { id: "paid".into(), key: key(), tokens: Tokens(tokens), operator: "ops".into() };
        let mut fleet = Self { cells: vec![cell("a"), cell("b")], log: vec![ShardRecord::TopUp(paid)] };
        fleet.read();
        fleet
    }

    fn read(&mut self) {
        for cell in &mut self.cells {
            let next = usize::try_from(cell.state.next.0).unwrap();
            for (index, record) in self.log.iter().enumerate().skip(next) {
                cell.apply(Offset(index as u64), record, 2);
            }
        }
    }

    /// Lets `instance` append and all instances read; returns whether it appended anything.
    fn append(&mut self, instance: usize, now: Instant) -> bool {
        let batches = self.cells[instance].next_batches(now, |_| sizing());
        let has_appended = !batches.is_empty();
        self.log.extend(batches.into_iter().map(ShardRecord::Batch));
        self.read();
        has_appended
    }

    fn reserve(&mut self, instance: usize, ticket: u64, bound: u64) -> Option<Reservation> {
        let cell = &mut self.cells[instance];
        match cell.credit.reserve(ticket, &key(), Tokens(bound), &cell.state.ledger) {
            ReserveOutcome::Reserved(reservation) => Some(reservation),
            ReserveOutcome::Waiting | ReserveOutcome::Exhausted => None,
        }
    }

    /// Starts a request of 10 tokens at the first instance.
    fn start_request(&mut self) -> Reservation {
        assert_eq!(self.reserve(0, 1, 10), None);
        assert!(self.append(0, at(0)), "a grant does not wait");
        self.reserve(0, 1, 10).unwrap()
    }
}

#[test]
fn bill_waits() {
    let mut fleet = TestFleet::new(10);
    let reservation = fleet.start_request();
    fleet.cells[0].credit.settle(&reservation, &"one".into(), Tokens(10), at(1), &sizing());
    assert!(!fleet.append(0, at(10)), "the bill waits to share its append");
    assert!(fleet.append(0, at(11)));
    assert!(fleet.cells[1].state.ledger.is_billed(&"one".into()));
}

#[test]
fn close_appends() {
    let mut fleet = TestFleet::new(10);
    let reservation = fleet.start_request();
    fleet.cells[0].credit.settle(&reservation, &"one".into(), Tokens(10), at(1), &sizing());
    fleet.cells[0].credit.close();
    assert!(fleet.append(0, at(1)));
    assert!(fleet.cells[0].is_settled());
}

#[test]
fn claim_appends() {
    let mut fleet = TestFleet::new(10);
    let reservation = fleet.start_request();
    fleet.cells[0].credit.settle(&reservation, &"one".into(), Tokens(10), at(1), &sizing());
    fleet.cells[0].claim(&AttemptKey { budget: key(), key: "ticket-1".into() }, 7);
    assert!(fleet.append(0, at(1)));
    assert!(fleet.cells[1].state.ledger.is_billed(&"one".into()), "the bill shares the claim's batch");
}

#[test]
fn fragments_joined() {
    let mut fleet = TestFleet::new(180);
    for instance in 0..2 {
        assert_eq!(fleet.reserve(instance, 1, 90), None);
        fleet.append(instance, at(0));
        let reservation = fleet.reserve(instance, 1, 90).unwrap();
        fleet.cells[instance].credit.settle(&reservation, &"free".into(), Tokens::ZERO, at(0), &sizing());
    }
    let mut served = 0;
    for _ in 0..ROUNDS {
        for instance in 0..2 {
            served += usize::from(fleet.reserve(instance, 2, 100).is_some());
            fleet.append(instance, at(1));
        }
    }
    assert!(served > 0, "two fragments of 90 tokens cover a request of 100");
}
