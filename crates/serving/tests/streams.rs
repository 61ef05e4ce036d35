//! Streamed responses: complete events, in order, each exactly once.

use std::time::Duration;

use coltsfootpick_core::refusal::RunStatus;
use coltsfootpick_serving::event_stream::EventSplitter;
use coltsfootpick_serving::outcome::{RequestOutcome, ResponseBody};
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::request_harness::{ACCOUNT, RequestHarness, request};
use coltsfootpick_testkit::scripted_server::{
    Script, ScriptedServer, ServerAction, chunk, chunked_head, event, header, stream_head,
};
use futures_util::StreamExt;
use test_case::test_case;

async fn start_harness(scripts: Vec<Script>) -> (RequestHarness, Vec<ScriptedServer>) {
    let mut servers = Vec::new();
    for script in scripts {
        servers.push(ScriptedServer::start(script).await);
    }
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let harness = RequestHarness::start("edge-a", &KeyedStore::default(), &addresses);
    harness.wait_for_credit().await;
    (harness, servers)
}

/// Reads the stream; returns its text and whether it ended without an error.
async fn read_stream(outcome: RequestOutcome) -> (String, bool) {
    let RequestOutcome::Relayed(_, ResponseBody::Events(mut events)) = outcome else {
        panic!("no stream: {outcome:?}")
    };
    let mut text = String::new();
    while let Some(piece) = events.next().await {
        match piece {
            Ok(bytes) => text.push_str(std::str::from_utf8(&bytes).unwrap()),
            Err(_) => return (text, false),
        }
    }
    (text, true)
}

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(event).collect()
}

fn complete_script(range: std::ops::RangeInclusive<u64>) -> Vec<ServerAction> {
    vec![chunked_head(), chunk(&events(range)), ServerAction::Write("0\r\n\r\n".to_owned())]
}

#[tokio::test]
async fn complete_stream() {
    let (harness, _servers) = start_harness(vec![vec![complete_script(1..=4)]]).await;
    assert_eq!(read_stream(harness.handler.serve(request("ask")).await).await, (events(1..=4), true));
    let (used, reserved, _) = harness.handler.credit.account_usage(&ACCOUNT.into());
    assert_eq!((used.0, reserved.0), (100 + 4 * 5, 0), "the prompt and four events of five tokens are charged");
}

#[tokio::test]
async fn unframed_end() {
    let (harness, _servers) =
        start_harness(vec![vec![vec![stream_head(), ServerAction::Write(events(1..=2)), ServerAction::Close]]]).await;
    assert_eq!(read_stream(harness.handler.serve(request("ask")).await).await, (events(1..=2), true));
}

/// Without length and chunks only a reset or a partial event shows that the answer broke off.
#[test_case("id: 3\nda", ServerAction::Close; "partial event")]
#[test_case("", ServerAction::Reset; "reset")]
#[tokio::test]
async fn unframed_break(rest: &str, end: ServerAction) {
    let words = ServerAction::Write(format!("{}{rest}", events(1..=2)));
    let pause = ServerAction::Wait(Duration::from_millis(50));
    let (harness, _servers) = start_harness(vec![vec![vec![stream_head(), words, pause, end]]]).await;
    assert_eq!(read_stream(harness.handler.serve(request("ask")).await).await, (events(1..=2), false));
}

#[tokio::test]
async fn unframed_empty() {
    let (harness, _servers) = start_harness(vec![vec![vec![stream_head(), ServerAction::Close]]]).await;
    let RequestOutcome::Refused(refusal) = harness.handler.serve(request("ask")).await else { panic!("no event came") };
    assert_eq!(refusal.run, RunStatus::Ran);
}

#[tokio::test]
async fn partial_event() {
    let broken = vec![chunked_head(), chunk(&events(1..=2)), chunk("id: 3\nda"), ServerAction::Close];
    let (harness, servers) = start_harness(vec![vec![broken.clone()], vec![broken]]).await;
    let (text, is_complete) = read_stream(harness.handler.serve(request("ask")).await).await;
    assert_eq!((text, is_complete), (events(1..=2), false), "a partial event is not relayed");
    let sent: usize = servers.iter().map(|server| server.recorded().requests.len()).sum();
    assert_eq!(sent, 1, "a stream that must not repeat is not requested again");
    let (used, _, _) = harness.handler.credit.account_usage(&ACCOUNT.into());
    assert_eq!(used.0, 150, "a stream that broke off is charged in full");
}

#[tokio::test]
async fn resumed_stream() {
    let broken = vec![chunked_head(), chunk(&events(1..=3)), chunk("id: 4\ndata: pie"), ServerAction::Close];
    let (harness, servers) = start_harness(vec![vec![broken], vec![complete_script(4..=6)]]).await;
    let outcome = harness.handler.serve(request("explain")).await;
    assert_eq!(read_stream(outcome).await, (events(1..=6), true));
    let second = servers[1].recorded().requests;
    assert_eq!(header(&second[0], "x-resumes").as_deref(), Some("3"), "{second:?}");
}

#[tokio::test]
async fn break_before_events() {
    let (harness, _servers) = start_harness(vec![vec![vec![chunked_head(), ServerAction::Close]]]).await;
    let RequestOutcome::Refused(refusal) = harness.handler.serve(request("ask")).await else { panic!("no event came") };
    assert_eq!(refusal.run, RunStatus::Ran);
}

#[tokio::test]
async fn caller_disconnects() {
    let endless = vec![chunked_head(), chunk(&events(1..=1)), ServerAction::Wait(Duration::from_secs(30))];
    let (harness, servers) = start_harness(vec![vec![endless]]).await;
    let outcome = harness.handler.serve(request("ask")).await;
    drop(outcome);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(servers[0].recorded().closed, 1, "the connection to the server is closed");
    let (used, reserved, _) = harness.handler.credit.account_usage(&ACCOUNT.into());
    assert!(used.0 >= 105 && used.0 <= 150 && reserved.0 == 0, "{used} {reserved}");
}

#[test]
fn splitter_chunks() {
    let text = events(1..=3);
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        for piece in text.as_bytes().chunks(size) {
            out.extend_from_slice(&splitter.push(piece).unwrap().unwrap_or_default());
        }
        assert_eq!(
            (out.as_slice(), splitter.events(), splitter.last_id()),
            (text.as_bytes(), 3, Some("3")),
            "size {size}"
        );
        assert!(!splitter.has_partial());
    }
}
