//! Existing connections to backend servers go silent while new connections work.

mod common;

use std::time::Duration;

use coltsfootpick_testkit::caller::StreamEvent;
use coltsfootpick_testkit::engine::token;
use coltsfootpick_testkit::relay::TcpRelay;
use common::{Fleet, eventually, registry, server};

const LIVENESS: Duration = Duration::from_millis(300);

/// Fleet whose only engine and plain service are reached through TCP relays.
async fn relayed_fleet() -> (Fleet, TcpRelay, TcpRelay) {
    let short = |text: String| {
        text.replace("liveness-ms = 2000", "liveness-ms = 300").replace("call-ms = 30000", "call-ms = 300")
    };
    let fleet = Fleet::with_settings(1, 1, short).await;
    fleet.top_up("registry", 1_000_000).await;
    let engine = TcpRelay::start(fleet.engines[0].1.address).await.unwrap();
    let plain = TcpRelay::start(fleet.plain_server.address).await.unwrap();
    fleet.platform.list_server(server("engine-0", "plan-review", engine.address));
    fleet.platform.list_server(server("runner-1", "migration", plain.address));
    let board = &fleet.instances[0].instance.board;
    let is_listed = |address| board.backends.read().iter().any(|server| server.listed.address == address);
    eventually("the relays are listed", || is_listed(engine.address) && is_listed(plain.address)).await;
    (fleet, engine, plain)
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_stream() {
    let (fleet, relay, _) = relayed_fleet().await;
    let mut stream =
        registry().open_stream(fleet.instances[0].caller_address, "plan-review", "plan", 100).await.unwrap();
    let mut events = stream.next_events(5).await;
    relay.silence();
    let mut longest = Duration::ZERO;
    loop {
        let start = tokio::time::Instant::now();
        let Some(event) = stream.next_event().await else { break };
        longest = longest.max(start.elapsed());
        events.push(event);
    }
    println!("longest gap {} ms with liveness-ms = {}", longest.as_millis(), LIVENESS.as_millis());
    assert!(longest >= LIVENESS / 2, "the connection did not go silent");
    assert!(longest < LIVENESS * 4, "detected after {longest:?}");
    let text: String = events.iter().map(StreamEvent::text).collect();
    assert_eq!(text, (0..100).map(|index| token(&stream.request_id, index)).collect::<String>());
    assert_eq!(fleet.engines[0].0.call_count(), 1, "the request was sent again instead of resumed");
}

#[tokio::test(flavor = "multi_thread")]
async fn pooled_connection() {
    let (fleet, relay, plain) = relayed_fleet().await;
    assert_eq!(fleet.chat(0, "first", 5, false).await.status, 200);
    let address = fleet.instances[0].caller_address;
    let status = || async move {
        let path = "/v1/services/migration/status/key";
        registry().send(address, http::Method::GET, path, &[], "").await.unwrap()
    };
    assert_eq!(status().await.status, 200);
    relay.drop_request("POST /v1/chat");
    plain.drop_request("GET /status/key");
    let answer = fleet.chat(0, "second", 5, false).await;
    assert_eq!(answer.status, 200, "{:?}", answer.json());
    let answer = status().await;
    assert_eq!(answer.status, 200, "{:?}", answer.json());
    assert!(relay.has_dropped() && plain.has_dropped());
}

#[tokio::test(flavor = "multi_thread")]
async fn status_query() {
    let (fleet, _, plain) = relayed_fleet().await;
    fleet.plain.set_faults(|faults| faults.delay_ms = 60_000);
    let address = fleet.instances[0].caller_address;
    let call = tokio::spawn(async move { registry().apply(address, "migration", "ticket").await.unwrap() });
    eventually("the call runs", || fleet.plain.run_count("ticket") == 1).await;
    plain.silence();
    fleet.plain.set_faults(|faults| faults.delay_ms = 0);
    let answer = call.await.unwrap();
    assert_eq!((answer.code(), answer.run_status()), ("end-unknown".to_owned(), "may-have-run".to_owned()));
    let detail = answer.json()["detail"].to_string();
    assert!(detail.contains("applied") && detail.contains("true"), "{detail}");
    assert_eq!(fleet.plain.run_count("ticket"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn long_apply() {
    let short = |text: String| text.replace("liveness-ms = 2000", "liveness-ms = 200");
    let fleet = Fleet::with_settings(1, 1, short).await;
    fleet.top_up("registry", 1_000_000).await;
    fleet.plain.set_faults(|faults| faults.delay_ms = 800);
    assert_eq!(fleet.apply(0, "ticket").await.status, 200, "an apply was cut off by the liveness timeout");
}

#[tokio::test(flavor = "multi_thread")]
async fn unpooled_apply() {
    let (fleet, _, plain) = relayed_fleet().await;
    for number in 1..=3 {
        let before = plain.connection_count();
        assert_eq!(fleet.apply(0, &format!("ticket-{number}")).await.status, 200);
        assert!(plain.connection_count() > before, "an at-most-once call used a pooled connection");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_engine() {
    let short = |text: String| text.replace("liveness-ms = 2000", "liveness-ms = 200");
    let fleet = Fleet::with_settings(1, 2, short).await;
    fleet.top_up("registry", 1_000_000).await;
    fleet.engines[0].0.set_faults(|faults| faults.silent = true);
    for number in 0..4 {
        let answer = fleet.chat(0, &format!("plan {number}"), 5, false).await;
        assert_eq!(answer.status, 200, "{:?}", answer.json());
    }
}
