//! Silent incarnations are closed by the remaining instances; one that is still running does not overspend.

mod common;

use coltsfootpick_core::names::Incarnation;
use coltsfootpickd::instance::Instance;
use common::{Fleet, eventually};

async fn fleet_with_credit() -> Fleet {
    let fleet = Fleet::with_settings(3, 1, |text| text.replace("silence-ms = 10000", "silence-ms = 1000")).await;
    fleet.wait_for_links().await;
    fleet.top_up("registry", 100_000).await;
    for round in 0..6 {
        assert_eq!(fleet.chat(2, &format!("plan {round}"), 60, false).await.status, 200);
    }
    fleet
}

fn is_closed(instance: &Instance, holder: &Incarnation) -> bool {
    instance.board.shards.iter().any(|cell| cell.lock().state.is_closed(holder))
}

fn holder(fleet: &Fleet, index: usize) -> Incarnation {
    fleet.instances[index].instance.board.shards[0].lock().credit.holder().clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn crashed_holder() {
    let mut fleet = fleet_with_credit().await;
    let dead = holder(&fleet, 2);
    let crashed = fleet.instances.remove(2);
    drop(crashed.tasks);
    for survivor in &fleet.instances {
        eventually("the crashed holder is closed", || is_closed(&survivor.instance, &dead)).await;
    }
    let budget = fleet.budget(0, "registry").await;
    let held: u64 = budget.holdings.iter().filter(|holding| holding.closed).map(|holding| holding.outstanding).sum();
    assert!(held > 0 && budget.doubt == held, "{budget:?}");
    for (index, survivor) in fleet.instances.iter().enumerate() {
        assert!(!is_closed(&survivor.instance, &holder(&fleet, 1 - index)), "a live holder was closed");
        assert_eq!(fleet.chat(index, "plan", 20, false).await.status, 200);
    }
}

/// An instance that lost only its links is closed, continues as a new incarnation, and returns the credit in doubt.
#[tokio::test(flavor = "multi_thread")]
async fn wrongly_closed() {
    let fleet = fleet_with_credit().await;
    let old = holder(&fleet, 2);
    fleet.disconnect(2).await;
    eventually("the silent holder is closed", || is_closed(&fleet.instances[0].instance, &old)).await;
    for round in 0..3 {
        assert_eq!(fleet.chat(2, &format!("again {round}"), 20, false).await.status, 200);
    }
    let deadline = tokio::time::Instant::now() + common::CONDITION_TIMEOUT;
    loop {
        let budget = fleet.budget(0, "registry").await;
        if budget.doubt == 0 && budget.spent == fleet.produced() {
            assert_eq!(budget.overspent, 0);
            return;
        }
        assert!(tokio::time::Instant::now() < deadline, "{budget:?}");
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}
