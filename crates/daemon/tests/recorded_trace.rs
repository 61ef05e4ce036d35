//! A recorded trace replays with the same outcomes.

mod common;

use coltsfootpick_testkit::replay::{ReplayError, replay};
use common::{Fleet, eventually, operator};
use http::Method;

async fn recorded_trace(fleet: &Fleet, index: usize) -> String {
    let address = fleet.instances[index].operator_address;
    let answer = operator().send(address, Method::GET, "/v1/trace", &[], "").await.unwrap();
    assert_eq!(answer.status, 200);
    String::from_utf8(answer.body.to_vec()).unwrap()
}

async fn fleet_with_trace() -> Fleet {
    let fleet = Fleet::with_settings(2, 1, |text| text.replace("trace-lines = 0", "trace-lines = 100000")).await;
    fleet.top_up("registry", 10_000).await;
    for round in 0..4 {
        assert_eq!(fleet.chat(round % 2, &format!("plan {round}"), 10, true).await.status, 200);
        assert_eq!(fleet.apply(round % 2, &format!("ticket-{}", round / 2)).await.status, 200);
    }
    let shared = std::sync::Arc::clone(&fleet.instances[0].instance);
    eventually("all bills are read back", || {
        let cells = shared.board.shards.iter();
        cells.map(|cell| cell.lock().state.ledger.budgets().map(|(_, budget)| budget.spent.0).sum::<u64>()).sum::<u64>()
            > 100
    })
    .await;
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn exact_replay() {
    let fleet = fleet_with_trace().await;
    for index in 0..2 {
        let replayed = replay(&recorded_trace(&fleet, index).await).unwrap();
        assert!(replayed.outcomes > 20, "{replayed:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_line() {
    let fleet = fleet_with_trace().await;
    let text = recorded_trace(&fleet, 0).await;
    let changed = text.replacen(" -> reserved", " -> exhausted", 1);
    assert_ne!(text, changed);
    assert!(matches!(replay(&changed), Err(ReplayError::Outcome { .. })));
}
