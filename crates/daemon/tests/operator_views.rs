//! Views for operators: history, documents, audit and snapshots.

mod common;

use coltsfootpick_core::names::Stage;
use coltsfootpick_testkit::caller::Caller;
use coltsfootpick_wire::operators::{AuditView, ChangeView, CloseOrder, PromoteOrder, SnapshotView};
use common::{Fleet, eventually, operator, registry};
use http::Method;

#[tokio::test(flavor = "multi_thread")]
async fn lost_race() {
    let fleet = Fleet::start(1, 1).await;
    let late = PromoteOrder { id: "late".to_owned(), expected: 1 };
    assert!(!fleet.order(0, "/v1/environments/tahrir/promote", &late).await.done);
    let changes: Vec<ChangeView> = fleet.view(0, "/v1/environments/tahrir/history").await;
    let outcomes: Vec<&str> = changes.iter().map(|change| change.outcome.as_str()).collect();
    assert_eq!(outcomes, ["in force as version 1", "in force as version 2", "lost to version 2 by nadia"]);
    let none: Vec<ChangeView> = fleet.view(0, "/v1/environments/other/history").await;
    assert!(none.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn document_text() {
    let fleet = Fleet::start(1, 1).await;
    for stage in [Stage::Trial, Stage::Production] {
        let text: Option<String> = fleet.view(0, &format!("/v1/environments/tahrir/document?stage={stage}")).await;
        assert!(text.is_some_and(|text| text.contains("[service plan-review]")));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn audit_view() {
    let fleet = Fleet::start(2, 1).await;
    fleet.top_up("registry", 10_000).await;
    let key = [("idempotency-key", "same")];
    let body = r#"{"model":"plan-review","max_tokens":5,"messages":[{"role":"user","content":"plan"}]}"#;
    for index in 0..2 {
        let address = fleet.instances[index].caller_address;
        let answer = registry().send(address, Method::POST, "/v1/chat/completions", &key, body).await.unwrap();
        assert_eq!(answer.status, 200);
    }
    let shared = &fleet.instances[0].instance;
    let records = || shared.board.shards.iter().map(|cell| cell.lock().state.next.0).sum::<u64>();
    let billed_budgets = || {
        let cells = shared.board.shards.iter();
        cells
            .map(|cell| cell.lock().state.ledger.budgets().filter(|(_, budget)| budget.spent.0 > 0).count())
            .sum::<usize>()
    };
    eventually("both bills are on the log", || billed_budgets() == 1 && records() >= 5).await;
    let close = CloseOrder { instance: "gone".to_owned(), run: "ff".to_owned() };
    assert!(fleet.order(0, "/v1/incarnations/close", &close).await.done);
    let deadline = tokio::time::Instant::now() + common::CONDITION_TIMEOUT;
    loop {
        let view: AuditView = fleet.view(0, "/v1/audit").await;
        assert!(!view.trimmed && view.skipped == 0 && view.overspent.is_empty());
        assert!(view.notable.iter().any(|line| line.starts_with("top-up of tahrir/production/registry by 10000")));
        assert!(view.notable.iter().any(|line| line == "close of gone#ff by nadia"), "{:?}", view.notable);
        if view.billed == 1 && view.repeated.len() == 1 {
            assert!(view.repeated[0].contains("2 bills"));
            return;
        }
        assert!(tokio::time::Instant::now() < deadline, "{view:?}");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn snapshot_order() {
    let fleet = Fleet::start(1, 1).await;
    let address = fleet.instances[0].operator_address;
    let answer = operator().send(address, Method::POST, "/v1/snapshot", &[], "").await.unwrap();
    let written: Vec<SnapshotView> = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(written.len(), 5, "four shards and the environments");
    assert!(written.iter().all(|view| view.chunks >= 1 && view.bytes > 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_only() {
    let fleet = Fleet::start(1, 1).await;
    let address = fleet.instances[0].operator_address;
    let paths =
        ["/v1/status", "/v1/budgets", "/v1/audit", "/v1/trace", "/v1/attempts", "/v1/environments/tahrir/history"];
    for path in paths {
        for caller in [registry(), Caller::new("nadia:wrong")] {
            let answer = caller.send(address, Method::GET, path, &[], "").await.unwrap();
            assert_eq!(answer.status, 401, "{path}");
        }
    }
}
