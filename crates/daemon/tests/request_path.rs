//! Requests from caller to engine and back, through two instances.

mod common;

use coltsfootpick_process::exit::Exit;
use coltsfootpickd::run::stop;
use common::{Fleet, eventually};

#[tokio::test(flavor = "multi_thread")]
async fn two_instances() {
    let fleet = Fleet::start(2, 2).await;
    fleet.top_up("registry", 100_000).await;
    for round in 0..6 {
        let answer = fleet.chat(round % 2, &format!("plan {round}"), 20, round < 4).await;
        assert_eq!(answer.status, 200, "{:?}", answer.json());
        if round < 4 {
            assert!(answer.is_complete());
            assert_eq!(answer.events().len(), 21);
        } else {
            assert_eq!(answer.json()["usage"]["completion_tokens"], 20);
        }
    }
    let produced = fleet.produced();
    for index in 0..2 {
        let deadline = tokio::time::Instant::now() + common::CONDITION_TIMEOUT;
        while fleet.budget(index, "registry").await.spent != produced {
            assert!(tokio::time::Instant::now() < deadline, "the ledger does not agree with the engines");
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_twice() {
    let fleet = Fleet::start(2, 1).await;
    fleet.top_up("registry", 1_000).await;
    let first = fleet.apply(0, "ticket-1").await;
    assert_eq!(first.status, 200, "{:?}", first.json());
    let board = &fleet.instances[1].instance.board;
    eventually("the end of the attempt is known", || {
        board.shards.iter().any(|cell| {
            let cell = cell.lock();
            let mut attempts = cell.state.attempts.attempts();
            attempts
                .any(|(_, attempt)| matches!(attempt.state, coltsfootpick_core::attempts::AttemptState::Ended { .. }))
        })
    })
    .await;
    let second = fleet.apply(1, "ticket-1").await;
    assert_eq!(second.status, 200);
    assert_eq!(second.body, first.body);
    assert_eq!(fleet.plain.run_count("ticket-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop() {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.top_up("registry", 100_000).await;
    let instance = fleet.instances.remove(0);
    let address = instance.caller_address;
    let calls: Vec<_> = (0..8)
        .map(|number| {
            tokio::spawn(async move {
                let prompt = format!("plan {number}");
                common::registry().chat(address, "plan-review", &prompt, 60, true).await.unwrap()
            })
        })
        .collect();
    let shared = std::sync::Arc::clone(&instance.instance);
    eventually("all requests are open", || shared.open.len() == 8).await;
    let exit = stop(&instance.instance, instance.tasks).await;
    assert_eq!(exit, Exit::Success);
    for call in calls {
        assert!(call.await.unwrap().is_complete());
    }
    let holdings: usize = shared
        .board
        .shards
        .iter()
        .map(|cell| cell.lock().state.ledger.budgets().map(|(_, budget)| budget.holdings.len()).sum::<usize>())
        .sum();
    assert_eq!(holdings, 0, "unspent credit was not returned");
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_while_waiting() {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.top_up("registry", 100_000).await;
    fleet.platform.set_faults(|faults| faults.delay_ms = 300);
    let instance = fleet.instances.remove(0);
    let address = instance.caller_address;
    let call =
        tokio::spawn(async move { common::registry().chat(address, "plan-review", "plan", 20, true).await.unwrap() });
    let shared = std::sync::Arc::clone(&instance.instance);
    eventually("the request waits for credit", || shared.awaiting_head.len() == 1 && shared.open.is_empty()).await;
    assert_eq!(stop(&instance.instance, instance.tasks).await, Exit::Success);
    let answer = call.await.unwrap();
    assert!(answer.is_complete(), "{:?}", answer.json());
}
