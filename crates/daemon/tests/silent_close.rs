//! Silent incarnations are closed by the instances that remain, and one that lives stays honest.

mod common;

use coltsfootpick_core::names::Incarnation;
use coltsfootpickd::instance::Instance;
use common::{Fleet, eventually};

async fn start() -> Fleet {
    let fleet = Fleet::with_settings(3, 1, |text| text.replace("silence-ms = 10000", "silence-ms = 1000")).await;
    fleet.wait_for_links().await;
    fleet.top_up("registry", 100_000).await;
    for round in 0..6 {
        assert_eq!(fleet.chat(2, &format!("plan {round}"), 60, false).await.status, 200);
    }
    fleet
}

fn is_closed(instance: &Instance, holder: &Incarnation) -> bool {
    instance.board.shards.iter().any(|cell| cell.lock().fold.is_closed(holder))
}

fn holder(fleet: &Fleet, index: usize) -> Incarnation {
    fleet.instances[index].instance.board.shards[0].lock().wallet.holder().clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn crashed_holder() {
    let mut fleet = start().await;
    let dead = holder(&fleet, 2);
    let crashed = fleet.instances.remove(2);
    drop(crashed.tasks);
    for survivor in &fleet.instances {
        eventually("the crashed one is closed", || is_closed(&survivor.instance, &dead)).await;
    }
    let budget = fleet.budget(0, "registry").await;
    let held: u64 = budget.holdings.iter().filter(|holding| holding.closed).map(|holding| holding.outstanding).sum();
    assert!(held > 0 && budget.doubt == held, "{budget:?}");
    for (index, survivor) in fleet.instances.iter().enumerate() {
        assert!(!is_closed(&survivor.instance, &holder(&fleet, 1 - index)), "the living are not closed");
        assert_eq!(fleet.chat(index, "plan", 20, false).await.status, 200);
    }
}

/// An instance that only lost its links is closed, goes on as a new run, and frees what was in doubt.
#[tokio::test(flavor = "multi_thread")]
async fn wrongly_closed() {
    let fleet = start().await;
    let old = holder(&fleet, 2);
    fleet.disconnect(2).await;
    eventually("the silent one is closed", || is_closed(&fleet.instances[0].instance, &old)).await;
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
