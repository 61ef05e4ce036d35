//! Claims of at-most-once calls by one instance: given up, closed by another instance, or not read back yet.

use std::sync::Arc;

use coltsfootpick_core::attempts::AttemptStatus;
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

/// One instance and the log that it appends to and reads.
struct TestInstance {
    cell: ShardCell,
    log: Vec<ShardRecord>,
}

impl TestInstance {
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
    let mut instance = TestInstance::new();
    assert_eq!(instance.cell.claim(&attempt(), DIGEST), ClaimStatus::Pending);
    instance.append();
    instance.cell.renounce(&attempt());
    assert_eq!(instance.cell.claim(&attempt(), DIGEST), ClaimStatus::Renounced);
    instance.read();
    assert_eq!(instance.cell.claim_status(&attempt()), Some(ClaimStatus::Renounced), "the first claim was given up");
    instance.append();
    instance.read();
    assert_eq!(instance.cell.claim(&attempt(), DIGEST), ClaimStatus::Pending);
}

#[test]
fn late_renounce() {
    let mut instance = TestInstance::new();
    instance.cell.claim(&attempt(), DIGEST);
    instance.append();
    instance.close();
    instance.read();
    assert_eq!(instance.cell.attempt_status(&attempt(), DIGEST), AttemptStatus::OwnerGone);
    instance.cell.renounce(&attempt());
    instance.append();
    instance.read();
    assert_eq!(instance.cell.attempt_status(&attempt(), DIGEST), AttemptStatus::Unclaimed);
    assert!(instance.cell.is_settled());
}

#[test]
fn late_end() {
    let mut instance = TestInstance::new();
    instance.cell.claim(&attempt(), DIGEST);
    instance.append();
    instance.read();
    instance.close();
    instance.read();
    assert_eq!(instance.cell.claim_status(&attempt()), Some(ClaimStatus::Won));
    instance.cell.end(&attempt(), answered());
    instance.append();
    instance.read();
    assert_eq!(instance.cell.state.attempts.status(&attempt(), DIGEST), AttemptStatus::Ended(answered()));
}

#[test]
fn own_end() {
    let mut instance = TestInstance::new();
    instance.cell.claim(&attempt(), DIGEST);
    instance.append();
    instance.read();
    instance.cell.end(&attempt(), answered());
    assert_eq!(instance.cell.attempt_status(&attempt(), DIGEST), AttemptStatus::Ended(answered()));
    assert_eq!(instance.cell.attempt_status(&attempt(), DIGEST + 1), AttemptStatus::DifferentCall);
}

#[test]
fn lost_once() {
    let mut instance = TestInstance::new();
    instance.close();
    instance.cell.claim(&attempt(), DIGEST);
    instance.append();
    instance.read();
    assert_eq!(instance.cell.claim_status(&attempt()), Some(ClaimStatus::Lost));
    assert_eq!(instance.cell.claim_status(&attempt()), None);
    assert!(instance.cell.is_settled());
}
