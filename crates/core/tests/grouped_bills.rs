//! When a wallet appends, and what it gives back.

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

/// Two instances on one log.
struct Bench {
    cells: Vec<ShardCell>,
    log: Vec<ShardRecord>,
}

impl Bench {
    fn new(tokens: u64) -> Self {
        let cell = |name: &str| ShardCell::new(Incarnation { instance: name.into(), run: 1 });
        let paid = TopUp { id: "paid".into(), key: key(), tokens: Tokens(tokens), operator: "ops".into() };
        let mut bench = Self { cells: vec![cell("a"), cell("b")], log: vec![ShardRecord::TopUp(paid)] };
        bench.read();
        bench
    }

    fn read(&mut self) {
        for cell in &mut self.cells {
            let next = usize::try_from(cell.state.next.0).unwrap();
            for (index, record) in self.log.iter().enumerate().skip(next) {
                cell.apply(Offset(index as u64), record, 2);
            }
        }
    }

    /// Lets `node` append and all read; tells whether it appended anything.
    fn turn(&mut self, node: usize, now: Instant) -> bool {
        let batches = self.cells[node].next_batches(now, |_| sizing());
        let some = !batches.is_empty();
        self.log.extend(batches.into_iter().map(ShardRecord::Batch));
        self.read();
        some
    }

    fn reserve(&mut self, node: usize, ticket: u64, bound: u64) -> Option<Reservation> {
        let cell = &mut self.cells[node];
        match cell.credit.reserve(ticket, &key(), Tokens(bound), &cell.state.ledger) {
            ReserveOutcome::Reserved(reservation) => Some(reservation),
            ReserveOutcome::Waiting | ReserveOutcome::Exhausted => None,
        }
    }

    /// Has one request of 10 tokens running at the first instance.
    fn running(&mut self) -> Reservation {
        assert_eq!(self.reserve(0, 1, 10), None);
        assert!(self.turn(0, at(0)), "a grant does not wait");
        self.reserve(0, 1, 10).unwrap()
    }
}

#[test]
fn bill_waits() {
    let mut bench = Bench::new(10);
    let reservation = bench.running();
    bench.cells[0].credit.settle(&reservation, &"one".into(), Tokens(10), at(1), &sizing());
    assert!(!bench.turn(0, at(10)), "the bill waits to share its append");
    assert!(bench.turn(0, at(11)));
    assert!(bench.cells[1].state.ledger.is_billed(&"one".into()));
}

#[test]
fn stop_hurries() {
    let mut bench = Bench::new(10);
    let reservation = bench.running();
    bench.cells[0].credit.settle(&reservation, &"one".into(), Tokens(10), at(1), &sizing());
    bench.cells[0].credit.close();
    assert!(bench.turn(0, at(1)));
    assert!(bench.cells[0].is_settled());
}

#[test]
fn claim_hurries() {
    let mut bench = Bench::new(10);
    let reservation = bench.running();
    bench.cells[0].credit.settle(&reservation, &"one".into(), Tokens(10), at(1), &sizing());
    bench.cells[0].claim(&AttemptKey { budget: key(), key: "ticket-1".into() }, 7);
    assert!(bench.turn(0, at(1)));
    assert!(bench.cells[1].state.ledger.is_billed(&"one".into()), "the bill rides along");
}

#[test]
fn fragments_joined() {
    let mut bench = Bench::new(180);
    for node in 0..2 {
        assert_eq!(bench.reserve(node, 1, 90), None);
        bench.turn(node, at(0));
        let reservation = bench.reserve(node, 1, 90).unwrap();
        bench.cells[node].credit.settle(&reservation, &"free".into(), Tokens::ZERO, at(0), &sizing());
    }
    let mut served = 0;
    for _ in 0..ROUNDS {
        for node in 0..2 {
            served += usize::from(bench.reserve(node, 2, 100).is_some());
            bench.turn(node, at(1));
        }
    }
    assert!(served > 0, "two fragments of 90 tokens cover a request of 100");
}
