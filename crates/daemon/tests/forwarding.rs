//! While the log is down, requests that lack credit on one instance are served by a peer with credit.

mod common;

use coltsfootpick_core::names::{BudgetKey, Stage};
use coltsfootpick_core::units::Tokens;
use coltsfootpick_wire::operators::TrialOrder;
use coltsfootpickd::forward::FORWARDED_HEADER;
use common::{DOCUMENT, Fleet, eventually, registry};
use http::Method;

const BODY: &str = r#"{"model":"plan-review","max_tokens":20,"messages":[{"role":"user","content":"plan"}]}"#;

/// Fleet in which only the first instance holds credit when the log goes down.
async fn fleet_in_outage() -> Fleet {
    let fleet = Fleet::start(2, 1).await;
    fleet.wait_for_links().await;
    fleet.top_up("registry", 100_000).await;
    let document = DOCUMENT.replace("grant-horizon-ms = 3000", "grant-horizon-ms = 60000");
    let order = TrialOrder { id: "third".to_owned(), expected: 2, document };
    assert!(fleet.order(0, "/v1/environments/tahrir/trial", &order).await.done);
    // Half of the tokens used here exceeds the credit waited for below, so that a smaller grant is increased.
    for round in 0..12 {
        assert_eq!(fleet.chat(0, &format!("plan {round}"), 60, false).await.status, 200);
    }
    let key = BudgetKey { environment: "tahrir".into(), stage: Stage::Production, account: "registry".into() };
    let funded = &fleet.instances[0].instance;
    eventually("credit is held", || funded.board.cell(&key).lock().credit.available(&key) > Tokens(200)).await;
    fleet.platform.set_faults(|faults| faults.down = true);
    let unfunded = &fleet.instances[1].instance;
    eventually("credit is announced", || {
        !unfunded.peers.is_log_reachable()
            && unfunded.peers.links().iter().any(|link| link.state.lock().credit.get(&key) > Some(&Tokens(200)))
    })
    .await;
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn served_by_peer() {
    let fleet = fleet_in_outage().await;
    let unstreamed = fleet.chat(1, "forwarded", 20, false).await;
    assert_eq!(unstreamed.status, 200, "{:?}", unstreamed.json());
    let streamed = fleet.chat(1, "forwarded stream", 20, true).await;
    assert!(streamed.is_complete(), "{:?}", streamed.json());
    assert!(streamed.request_id.is_some());
    fleet.platform.set_faults(|faults| faults.down = false);
    for index in 0..2 {
        let deadline = tokio::time::Instant::now() + common::CONDITION_TIMEOUT;
        while fleet.budget(index, "registry").await.spent != fleet.produced() {
            assert!(tokio::time::Instant::now() < deadline, "the bills differ from the engine's count");
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_hop() {
    let fleet = fleet_in_outage().await;
    let headers = [(FORWARDED_HEADER, "instance-0")];
    let address = fleet.instances[1].caller_address;
    let answer = registry().send(address, Method::POST, "/v1/chat/completions", &headers, BODY).await.unwrap();
    assert_eq!((answer.status.as_u16(), answer.run_status().as_str()), (503, "not-run"), "{:?}", answer.json());
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_key() {
    let fleet = fleet_in_outage().await;
    let stranger = coltsfootpick_testkit::caller::Caller::new("tahrir:registry:wrong");
    let answer = stranger.chat(fleet.instances[1].caller_address, "plan-review", "plan", 20, false).await.unwrap();
    assert_eq!(answer.status, 401);
}
