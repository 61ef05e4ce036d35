//! What servers tell in their answers: that they are leaving, and that they want no request for a while.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::refusal::Refusal;
use coltsfootpick_serving::interfaces::KeyedRecord;
use coltsfootpick_serving::outcome::RequestOutcome;
use coltsfootpick_serving::server_controller::ServerController;
use coltsfootpick_serving::servers::EntryChange;
use coltsfootpick_serving::topic_reader::RecordSink;
use coltsfootpick_testkit::keyed_store::{KeyedStore, StoreFault};
use coltsfootpick_testkit::plain_protocol::PlainProtocol;
use coltsfootpick_testkit::request_harness::{RequestHarness, request, server_entry};
use coltsfootpick_testkit::scripted_server::{ScriptedServer, ServerAction, response};
use test_case::test_case;

/// Harness with server `a`, which answers from `first` and then with success, and a plain server `b`.
async fn start_harness(first: ServerAction) -> (RequestHarness, ScriptedServer, ScriptedServer, KeyedStore) {
    let store = KeyedStore::default();
    let told = ScriptedServer::start(vec![vec![first], vec![response(200, "", "a")]]).await;
    let other = ScriptedServer::start(vec![vec![response(200, "", "b")]]).await;
    let harness = RequestHarness::start("edge-a", &store, &[told.address]);
    (harness, told, other, store)
}

async fn call(harness: &RequestHarness) -> RequestOutcome {
    harness.handler.serve(request("read")).await
}

fn refusal(outcome: RequestOutcome) -> Refusal {
    match outcome {
        RequestOutcome::Refused(refusal) => refusal,
        other @ RequestOutcome::Relayed(..) => panic!("expected a refusal, got {other:?}"),
    }
}

#[test_case(response(200, "x-leaving: 1\r\n", "done"); "success")]
#[test_case(response(500, "x-leaving: 1\r\n", ""); "error")]
#[test_case(response(503, "x-leaving: 1\r\nx-not-run: 1\r\n", ""); "rejection")]
#[tokio::test]
async fn leaving_told(first: ServerAction) {
    let (harness, told, other, store) = start_harness(first).await;
    call(&harness).await;
    // The store is away and an older entry says that the server is ready.
    store.set_fault(StoreFault::Silent);
    let servers = &harness.handler.board.servers;
    assert_eq!(servers.put(server_entry("a", told.address)), EntryChange::Same);
    servers.put(server_entry("b", other.address));
    for _ in 0..5 {
        call(&harness).await;
    }
    assert_eq!(told.recorded().requests.len(), 1, "a leaving server got new work");
    assert!(other.recorded().requests.len() >= 5);
}

/// Entries of a run that was leaving do not bring it back after its removal; a later run of the same name is new.
#[tokio::test]
async fn left_run() {
    let (harness, told, _, _) = start_harness(response(200, "x-leaving: 1\r\n", "done")).await;
    call(&harness).await;
    let board = &harness.handler.board;
    let mut controller = ServerController::new(Arc::clone(board), Arc::new(PlainProtocol));
    let entry = |started: u64| KeyedRecord {
        key: "a".into(),
        value: Some(format!("service {} ready {started}", told.address).into_bytes().into()),
    };
    controller.apply(KeyedRecord { key: "a".into(), value: None });
    controller.apply(entry(1));
    call(&harness).await;
    assert_eq!(told.recorded().requests.len(), 1, "an older entry brought a left run back");
    controller.apply(entry(2));
    call(&harness).await;
    assert_eq!(told.recorded().requests.len(), 2, "the next run got no work");
}

#[tokio::test]
async fn pause_kept() {
    let (harness, told, other, _) = start_harness(response(503, "x-not-run: 1\r\nx-pause: 30\r\n", "")).await;
    call(&harness).await;
    harness.handler.board.servers.put(server_entry("b", other.address));
    for _ in 0..5 {
        call(&harness).await;
    }
    assert_eq!(told.recorded().requests.len(), 1, "a paused server got a request");
    assert!(other.recorded().requests.len() >= 5);
}

#[tokio::test]
async fn all_paused() {
    let (harness, told, _, _) = start_harness(response(503, "x-not-run: 1\r\nx-pause: 20\r\n", "")).await;
    call(&harness).await;
    let started = std::time::Instant::now();
    let refusal = refusal(call(&harness).await);
    assert!(started.elapsed() < Duration::from_millis(100), "the refusal waited");
    let after = refusal.retry_after.unwrap().as_secs_f64();
    assert!((18.0..=25.0).contains(&after), "retry after {after} s");
    assert_eq!(told.recorded().requests.len(), 1);
}

#[tokio::test]
async fn pause_ends() {
    let (harness, told, _, _) = start_harness(response(503, "x-not-run: 1\r\nx-pause: 0.2\r\n", "")).await;
    call(&harness).await;
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert!(matches!(call(&harness).await, RequestOutcome::Relayed(..)));
    assert_eq!(told.recorded().requests.len(), 2);
}

/// A pause that no clock can hold is limited and does not end the process.
#[tokio::test]
async fn absurd_pause() {
    let (harness, told, _, _) = start_harness(response(503, "x-not-run: 1\r\nx-pause: 99999999999\r\n", "")).await;
    call(&harness).await;
    let after = refusal(call(&harness).await).retry_after.unwrap();
    assert!(after <= Duration::from_secs(4_500), "{after:?}");
    assert_eq!(told.recorded().requests.len(), 1);
}
