//! Streams that are resumed after the caller's connection or the instance is lost.

mod common;

use std::time::Duration;

use base64::Engine as _;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use coltsfootpick_testkit::caller::{Caller, StreamEvent};
use coltsfootpick_testkit::engine::token;
use common::{CONDITION_TIMEOUT, Fleet, eventually, registry};
use tokio::runtime::{Builder, Runtime};

const TOKENS: u64 = 60;

/// Asserts that `events` are the complete answer: every number once, in order, with the engine's text.
fn assert_whole(id: &str, events: &[StreamEvent]) {
    let numbers: Vec<u64> = events.iter().map(|event| event.number).collect();
    assert_eq!(numbers, (0..=TOKENS).collect::<Vec<_>>());
    assert_eq!(events.last().unwrap().data, "[DONE]");
    let text: String = events.iter().map(StreamEvent::text).collect();
    let whole: String = (0..usize::try_from(TOKENS).unwrap()).map(|index| token(id, index)).collect();
    assert_eq!(text, whole);
}

/// Fleet whose second instance runs on the returned runtime and dies with it.
async fn fleet_with_runtime() -> (Fleet, Runtime) {
    let mut fleet = Fleet::start(1, 2).await;
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    {
        let _context = runtime.enter();
        fleet.add_instance("doomed").await;
    }
    fleet.top_up("registry", 1_000_000).await;
    (fleet, runtime)
}

async fn assert_spent(fleet: &Fleet, index: usize, tokens: u64) {
    let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
    while fleet.budget(index, "registry").await.spent != tokens {
        let spent = fleet.budget(index, "registry").await.spent;
        assert!(tokio::time::Instant::now() < deadline, "{spent} spent, {tokens} produced");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn other_instance() {
    let (fleet, runtime) = fleet_with_runtime().await;
    let caller = registry();
    let mut stream =
        caller.open_stream(fleet.instances[1].caller_address, "plan-review", "plan", TOKENS).await.unwrap();
    assert_eq!(stream.status, 200);
    let (id, resume_token) = (stream.request_id.clone(), stream.resume_token.clone());
    let mut events = stream.next_events(10).await;
    runtime.shutdown_background();
    while let Some(event) = stream.next_event().await {
        events.push(event);
    }
    assert!(events.len() < 60, "the instance did not die in the middle of the stream");
    let last = events.last().map(|event| event.number);
    let mut resumed = caller.resume_stream(fleet.instances[0].caller_address, &resume_token, last).await.unwrap();
    assert_eq!((resumed.status.as_u16(), resumed.request_id.as_str()), (200, id.as_str()));
    while let Some(event) = resumed.next_event().await {
        events.push(event);
    }
    assert_whole(&id, &events);
    assert_spent(&fleet, 0, fleet.produced()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn same_instance() {
    let fleet = Fleet::start(1, 1).await;
    fleet.top_up("registry", 1_000_000).await;
    let address = fleet.instances[0].caller_address;
    let mut stream = registry().open_stream(address, "plan-review", "plan", TOKENS).await.unwrap();
    let (id, resume_token) = (stream.request_id.clone(), stream.resume_token.clone());
    let mut events = stream.next_events(10).await;
    drop(stream);
    let mut resumed = registry().resume_stream(address, &resume_token, Some(9)).await.unwrap();
    events.extend(resumed.next_events(10).await);
    drop(resumed);
    let mut resumed = registry().resume_stream(address, &resume_token, Some(19)).await.unwrap();
    while let Some(event) = resumed.next_event().await {
        events.push(event);
    }
    assert_whole(&id, &events);
    assert_spent(&fleet, 0, fleet.produced()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn only_done_missing() {
    let (fleet, runtime) = fleet_with_runtime().await;
    let caller = registry();
    let mut stream =
        caller.open_stream(fleet.instances[1].caller_address, "plan-review", "plan", TOKENS).await.unwrap();
    let (id, resume_token) = (stream.request_id.clone(), stream.resume_token.clone());
    // The log accepts nothing, so the first instance's bill is lost with it.
    fleet.platform.set_faults(|faults| faults.down = true);
    let mut events = stream.next_events(usize::try_from(TOKENS).unwrap()).await;
    runtime.shutdown_background();
    fleet.platform.set_faults(|faults| faults.down = false);
    let survivor = &fleet.instances[0].instance;
    eventually("the log is reachable again", || survivor.peers.is_log_reachable()).await;
    let last = events.last().map(|event| event.number);
    let mut resumed = caller.resume_stream(fleet.instances[0].caller_address, &resume_token, last).await.unwrap();
    assert_eq!(resumed.status, 200);
    while let Some(event) = resumed.next_event().await {
        events.push(event);
    }
    assert_whole(&id, &events);
    assert_spent(&fleet, 0, fleet.produced()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn abandoned_stream() {
    let short = |text: String| text.replace("resume-ms = 5000", "resume-ms = 100");
    let fleet = Fleet::with_settings(1, 1, short).await;
    fleet.top_up("registry", 1_000_000).await;
    let mut stream =
        registry().open_stream(fleet.instances[0].caller_address, "plan-review", "plan", 500).await.unwrap();
    assert_eq!(stream.next_events(3).await.len(), 3);
    drop(stream);
    let shared = &fleet.instances[0].instance;
    eventually("the request has ended", || shared.open.is_empty()).await;
    let produced = fleet.produced();
    assert!(produced < 500, "cancelled at the engine after {produced} tokens");
    assert_spent(&fleet, 0, produced).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn foreign_token() {
    let fleet = Fleet::start(1, 1).await;
    fleet.top_up("registry", 1_000_000).await;
    fleet.top_up("clinic", 1_000_000).await;
    let address = fleet.instances[0].caller_address;
    let stream = registry().open_stream(address, "plan-review", "plan", TOKENS).await.unwrap();
    let resume_token = stream.resume_token.clone();
    let foreign = Caller::new("tahrir:clinic:small-key").resume_stream(address, &resume_token, None).await.unwrap();
    assert_eq!(foreign.status, 400);
    let (content, signature) = resume_token.split_once('.').unwrap();
    let content = String::from_utf8(BASE64_URL_SAFE_NO_PAD.decode(content).unwrap()).unwrap();
    let forged = BASE64_URL_SAFE_NO_PAD.encode(content.replace("registry", "clinic"));
    let forged = format!("{forged}.{signature}");
    assert_eq!(Caller::new("tahrir:clinic:small-key").resume_stream(address, &forged, None).await.unwrap().status, 400);
}
