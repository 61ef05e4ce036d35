//! Claims of one instance across deadlines, closes and reads.

use std::sync::Arc;

use coltsfootpick_core::attempts::AttemptView;
use coltsfootpick_core::blackboard::ShardCell;
use coltsfootpick_core::names::{BudgetKey, Incarnation, Stage};
use coltsfootpick_core::record::{AttemptKey, AttemptOutcome, Close, ShardRecord};
use coltsfootpick_core::shard_credit::ClaimStatus;
use coltsfootpick_core::sizing::GrantSizing;
use coltsfootpick_core::units::{Instant, Offset};

const DIGEST: u64 = 7;

fn attempt() -> AttemptKey {
    let budget = BudgetKey { environment: "tunis".into(), stage: Stage::Production, account: "registry".into() };
    AttemptKey { budget, key: "ticket-1".into() }
}

fn holder() -> Incarnation {
    Incarnation { instance: "a".into(), run: 1 }
}

fn answered() -> AttemptOutcome {
    AttemptOutcome::Answered { status: 200, body: Arc::default() }
}

/// One instance and the records that it appended or read.
struct Bench {
    cell: ShardCell,
    log: Vec<ShardRecord>,
}

impl Bench {
    fn new() -> Self {
        Self { cell: ShardCell::new(holder()), log: Vec::new() }
    }

    fn append(&mut self) {
        let batches = self.cell.next_batches(Instant::default(), |_| GrantSizing::default());
        self.log.extend(batches.into_iter().map(ShardRecord::Batch));
    }

    fn close(&mut self) {
        self.log.push(ShardRecord::Close(Close { holder: holder(), closer: "b".into() }));
    }

    fn read(&mut self) {
        let next = usize::try_from(self.cell.state.next.0).unwrap();
        for (index, record) in self.log.iter().enumerate().skip(next) {
            self.cell.apply(Offset(index as u64), record, 2);
        }
    }
}

#[test]
fn claim_again() {
    let mut bench = Bench::new();
    assert_eq!(bench.cell.claim(&attempt(), DIGEST), ClaimStatus::Pending);
    bench.append();
    bench.cell.renounce(&attempt());
    assert_eq!(bench.cell.claim(&attempt(), DIGEST), ClaimStatus::Renounced);
    bench.read();
    assert_eq!(bench.cell.claim_status(&attempt()), Some(ClaimStatus::Renounced), "the first claim's win is no right");
    bench.append();
    bench.read();
    assert_eq!(bench.cell.claim(&attempt(), DIGEST), ClaimStatus::Pending);
}

#[test]
fn late_renounce() {
    let mut bench = Bench::new();
    bench.cell.claim(&attempt(), DIGEST);
    bench.append();
    bench.close();
    bench.read();
    assert_eq!(bench.cell.attempt_view(&attempt(), DIGEST), AttemptView::OwnerGone);
    bench.cell.renounce(&attempt());
    bench.append();
    bench.read();
    assert_eq!(bench.cell.attempt_view(&attempt(), DIGEST), AttemptView::Unclaimed);
    assert!(bench.cell.is_settled());
}

#[test]
fn late_end() {
    let mut bench = Bench::new();
    bench.cell.claim(&attempt(), DIGEST);
    bench.append();
    bench.read();
    bench.close();
    bench.read();
    assert_eq!(bench.cell.claim_status(&attempt()), Some(ClaimStatus::Won));
    bench.cell.end(&attempt(), answered());
    bench.append();
    bench.read();
    assert_eq!(bench.cell.state.attempts.view(&attempt(), DIGEST), AttemptView::Ended(answered()));
}

#[test]
fn own_end() {
    let mut bench = Bench::new();
    bench.cell.claim(&attempt(), DIGEST);
    bench.append();
    bench.read();
    bench.cell.end(&attempt(), answered());
    assert_eq!(bench.cell.attempt_view(&attempt(), DIGEST), AttemptView::Ended(answered()));
    assert_eq!(bench.cell.attempt_view(&attempt(), DIGEST + 1), AttemptView::DifferentCall);
}

#[test]
fn lost_once() {
    let mut bench = Bench::new();
    bench.close();
    bench.cell.claim(&attempt(), DIGEST);
    bench.append();
    bench.read();
    assert_eq!(bench.cell.claim_status(&attempt()), Some(ClaimStatus::Lost));
    assert_eq!(bench.cell.claim_status(&attempt()), None);
    assert!(bench.cell.is_settled());
}
