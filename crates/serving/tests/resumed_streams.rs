//! A stream goes on only at servers of the software version that began it, within one answer and over a caller's tries.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::ServiceName;
use coltsfootpick_core::refusal::{Refusal, RunStatus};
use coltsfootpick_core::stream_origins::{Continuation, StreamKey};
use coltsfootpick_serving::outcome::{RequestOutcome, ResponseBody};
use coltsfootpick_serving::request::{CallerRequest, ResumedStream};
use coltsfootpick_serving::servers::ServerEntry;
use coltsfootpick_testkit::keyed_store::{KeyedStore, StoreFault};
use coltsfootpick_testkit::request_harness::{ACCOUNT, RequestHarness, request, server_entry};
use coltsfootpick_testkit::scripted_server::{ScriptedServer, ServerAction, chunk, chunked_head, event};
use futures_util::StreamExt;
use test_case::test_case;

/// Time after which every instance can know which version began a stream.
const TOLD: Duration = Duration::from_millis(800);

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(event).collect()
}

/// Server that ends a stream with the events 4 to 6.
async fn whole_server() -> ScriptedServer {
    let end = ServerAction::Write("0\r\n\r\n".to_owned());
    ScriptedServer::start(vec![vec![chunked_head(), chunk(&events(4..=6)), end]]).await
}

/// Server that sends three events and then does as `rest` says.
async fn first_server(rest: Vec<ServerAction>) -> ScriptedServer {
    ScriptedServer::start(vec![[vec![chunked_head(), chunk(&events(1..=3))], rest].concat()]).await
}

fn list(harness: &RequestHarness, name: &str, server: &ScriptedServer, version: &str) {
    let entry = ServerEntry { version: version.into(), ..server_entry(name, server.address) };
    harness.handler.board.servers.put(entry);
}

/// Starts an instance without servers.
async fn start(name: &str, store: &KeyedStore) -> RequestHarness {
    let harness = RequestHarness::start(name, store, &[]);
    harness.wait_for_credit().await;
    harness
}

/// Request that takes up the stream `first` after its third event.
fn take_up(first: Option<&str>) -> CallerRequest {
    let resumed = ResumedStream { last_event: "3".into(), first_attempt: first.map(Arc::from) };
    CallerRequest { resumed: Some(resumed), ..request("explain") }
}

/// Reads an answer; returns its text and whether it ended whole.
async fn read(outcome: RequestOutcome) -> Result<(String, bool), Refusal> {
    let mut pieces = match outcome {
        RequestOutcome::Relayed(_, ResponseBody::Events(pieces)) => pieces,
        RequestOutcome::Relayed(..) => return Ok((String::new(), true)),
        RequestOutcome::Refused(refusal) => return Err(refusal),
    };
    let mut text = String::new();
    while let Some(piece) = pieces.next().await {
        match piece {
            Ok(bytes) => text.push_str(std::str::from_utf8(&bytes).unwrap()),
            Err(_) => return Ok((text, false)),
        }
    }
    Ok((text, true))
}

/// Begins a stream at `server`, whose caller leaves after the first events; returns the id of the attempt.
async fn begin(harness: &RequestHarness, server: &ScriptedServer, version: &str) -> Arc<str> {
    list(harness, "a", server, version);
    let first = request("explain");
    let id = Arc::clone(&first.id);
    let RequestOutcome::Relayed(_, ResponseBody::Events(mut pieces)) = harness.handler.serve(first).await else {
        panic!("no stream")
    };
    assert!(pieces.next().await.is_some_and(|piece| piece.is_ok()));
    id
}

fn arrivals(server: &ScriptedServer) -> usize {
    server.recorded().requests.len()
}

#[test_case(true; "one of its version is left")]
#[test_case(false; "none of its version is left")]
#[tokio::test]
async fn same_version_within_answer(has_other: bool) {
    let pause = ServerAction::Wait(Duration::from_millis(100));
    let first = first_server(vec![pause, chunk("id: 4\nda"), ServerAction::Close]).await;
    let (newer, same) = (whole_server().await, whole_server().await);
    let harness = start("edge-a", &KeyedStore::default()).await;
    list(&harness, "a", &first, "v1");
    let outcome = harness.handler.serve(request("explain")).await;
    list(&harness, "b", &newer, "v1.1");
    if has_other {
        list(&harness, "c", &same, "v1");
    }
    let last = if has_other { 6 } else { 3 };
    assert_eq!(read(outcome).await.unwrap(), (events(1..=last), has_other));
    assert_eq!(arrivals(&newer), 0, "the stream went on at another version");
}

/// The caller comes back before the instance that began its stream has told the others.
#[tokio::test]
async fn taken_up_at_once() {
    let first = first_server(vec![ServerAction::Wait(Duration::from_secs(30))]).await;
    let (newer, same) = (whole_server().await, whole_server().await);
    let store = KeyedStore::default();
    let (here, there) = (start("edge-a", &store).await, start("edge-b", &store).await);
    for harness in [&here, &there] {
        list(harness, "a", &first, "v1");
        list(harness, "b", &newer, "v1.1");
    }
    tokio::time::sleep(TOLD).await;
    here.handler.board.servers.remove(&"b".into());
    let id = begin(&here, &first, "v1").await;
    list(&there, "c", &same, "v1");
    there.handler.board.servers.remove(&"a".into());
    let answer = read(there.handler.serve(take_up(Some(&id))).await).await;
    assert_eq!((answer.unwrap(), arrivals(&newer)), ((events(4..=6), true), 0));
}

/// The caller takes its stream up at an instance that never saw it.
#[test_case(true; "one of its version is left")]
#[test_case(false; "none of its version is left")]
#[tokio::test]
async fn same_version_elsewhere(has_other: bool) {
    let first = first_server(vec![ServerAction::Wait(Duration::from_secs(30))]).await;
    let (newer, same) = (whole_server().await, whole_server().await);
    let store = KeyedStore::default();
    let (here, there) = (start("edge-a", &store).await, start("edge-b", &store).await);
    list(&there, "a", &first, "v1");
    let id = begin(&here, &first, "v1").await;
    for harness in [&here, &there] {
        list(harness, "b", &newer, "v1.1");
    }
    if has_other {
        list(&there, "c", &same, "v1");
    }
    tokio::time::sleep(TOLD).await;
    there.handler.board.servers.remove(&"a".into());
    let answer = read(there.handler.serve(take_up(Some(&id))).await).await;
    assert_eq!(arrivals(&newer), 0, "the stream went on at another version");
    match has_other {
        true => assert_eq!(answer.unwrap(), (events(4..=6), true)),
        false => assert_eq!(answer.unwrap_err().run, RunStatus::NotRun),
    }
}

/// What happens between the begin of a stream and the caller's next try at an instance that started since.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Meanwhile {
    /// The instance that began the stream dies.
    Death,
    /// The store comes back from a copy that lacks the records of streams.
    OlderCopy,
    /// The store does not answer any more.
    Outage,
}

#[test_case(Meanwhile::Death)]
#[test_case(Meanwhile::OlderCopy)]
#[test_case(Meanwhile::Outage)]
#[tokio::test]
async fn told_to_late_starter(meanwhile: Meanwhile) {
    let first = first_server(vec![ServerAction::Wait(Duration::from_secs(30))]).await;
    let (newer, same) = (whole_server().await, whole_server().await);
    let store = KeyedStore::default();
    let here = start("edge-a", &store).await;
    let id = begin(&here, &first, "v1").await;
    list(&here, "b", &newer, "v1.1");
    tokio::time::sleep(TOLD).await;
    match meanwhile {
        Meanwhile::Death => here.stop.cancel(),
        Meanwhile::OlderCopy => store.restore_copy(TOLD * 2),
        Meanwhile::Outage => {}
    }
    let there = start("edge-b", &store).await;
    list(&there, "b", &newer, "v1.1");
    list(&there, "c", &same, "v1");
    if meanwhile == Meanwhile::Outage {
        store.set_fault(StoreFault::Silent);
    }
    tokio::time::sleep(TOLD).await;
    let answer = read(there.handler.serve(take_up(Some(&id))).await).await;
    assert_eq!(arrivals(&newer), 0, "the stream went on at another version");
    assert_eq!(answer.unwrap(), (events(4..=6), true));
}

/// The caller chooses the name of the stream, which the refusal repeats in part.
#[tokio::test]
async fn long_name() {
    let (old, new) = (whole_server().await, whole_server().await);
    let harness = start("edge-a", &KeyedStore::default()).await;
    list(&harness, "a", &old, "v1");
    list(&harness, "b", &new, "v1.1");
    let name = "é".repeat(32 << 10);
    let refusal = read(harness.handler.serve(take_up(Some(&name))).await).await.unwrap_err();
    assert!(refusal.detail.len() < 256, "{} bytes", refusal.detail.len());
}

/// While the store is away nobody can tell whether a server of another version was listed meanwhile, however short the outage:
/// a stream that this instance does not know is refused at once, to return.
#[test_case(Duration::from_millis(0); "outage just begun")]
#[test_case(Duration::from_millis(100); "short outage")]
#[test_case(Duration::from_millis(2_500); "long outage")]
#[tokio::test]
async fn single_version_in_outage(silence: Duration) {
    let server = whole_server().await;
    let store = KeyedStore::default();
    let other = start("edge-b", &store).await;
    list(&other, "a", &server, "v1");
    tokio::time::sleep(TOLD).await;
    let harness = start("edge-a", &store).await;
    list(&harness, "a", &server, "v1");
    tokio::time::sleep(TOLD).await;
    store.set_fault(StoreFault::Silent);
    tokio::time::sleep(silence).await;
    let asked = tokio::time::Instant::now();
    let refusal = read(harness.handler.serve(take_up(Some("elsewhere"))).await).await.unwrap_err();
    assert_eq!((refusal.run, refusal.retry_after.is_some()), (RunStatus::NotRun, true), "{refusal}");
    assert!(asked.elapsed() < Duration::from_millis(600), "decided after {:?}", asked.elapsed());
    assert_eq!(arrivals(&server), 0);
    store.set_fault(StoreFault::None);
    tokio::time::sleep(TOLD).await;
    let answer = read(harness.handler.serve(take_up(Some("elsewhere"))).await).await;
    assert_eq!(answer.unwrap(), (events(4..=6), true), "the stream goes on once the store is back");
}

/// Callers that come back all at once share the reads which prove that one version serves; new streams need none.
#[tokio::test]
async fn wave_of_returns() {
    let store = KeyedStore::default();
    let (other, harness) = (start("edge-b", &store).await, start("edge-a", &store).await);
    let server = whole_server().await;
    list(&other, "a", &server, "v1");
    list(&harness, "a", &server, "v1");
    tokio::time::sleep(TOLD).await;
    let key = |attempt: i32| StreamKey::of(&ACCOUNT.into(), &attempt.to_string());
    let before = store.call_count();
    let asked = tokio::time::Instant::now();
    let streams = &harness.handler.streams;
    let service = ServiceName::from("service");
    let found =
        futures_util::future::join_all((0..500).map(|attempt| streams.continuation(Some(key(attempt)), &service)))
            .await;
    assert!(found.iter().all(|found| matches!(found, Continuation::Single(_))));
    let calls = store.call_count() - before;
    assert!(calls < 20, "{calls} calls to the store for 500 streams");
    assert!(asked.elapsed() < Duration::from_millis(100), "decided after {:?}", asked.elapsed());
}

/// Unknown streams, which a caller may name at will, cost few reads.
#[tokio::test]
async fn flood_of_unknown() {
    let (old, new) = (whole_server().await, whole_server().await);
    let store = KeyedStore::default();
    let harness = start("edge-a", &store).await;
    list(&harness, "a", &old, "v1");
    list(&harness, "b", &new, "v1.1");
    let before = store.call_count();
    let calls = (0..500).map(|attempt| {
        let handler = harness.handler.clone();
        async move { read(handler.serve(take_up(Some(&attempt.to_string()))).await).await.unwrap_err() }
    });
    futures_util::future::join_all(calls).await;
    let calls = store.call_count() - before;
    assert!(calls < 100, "{calls} calls to the store for 500 unknown streams");
}

#[test_case(None; "none is named")]
#[test_case(Some("elsewhere"); "an unknown one is named")]
#[tokio::test]
async fn unknown_stream(first: Option<&str>) {
    let (old, new) = (whole_server().await, whole_server().await);
    let harness = start("edge-a", &KeyedStore::default()).await;
    list(&harness, "a", &old, "v1");
    list(&harness, "b", &new, "v1.1");
    let refusal = read(harness.handler.serve(take_up(first)).await).await.unwrap_err();
    assert_eq!((refusal.run, arrivals(&old) + arrivals(&new)), (RunStatus::NotRun, 0));
}

/// While all servers have one version, as another instance has told, a stream that nobody knows can go on.
#[tokio::test]
async fn single_version() {
    let (server, store) = (whole_server().await, KeyedStore::default());
    let (other, harness) = (start("edge-b", &store).await, start("edge-a", &store).await);
    list(&other, "a", &server, "v1");
    list(&harness, "a", &server, "v1");
    tokio::time::sleep(TOLD).await;
    let answer = read(harness.handler.serve(take_up(Some("elsewhere"))).await).await;
    assert_eq!(answer.unwrap(), (events(4..=6), true));
}

/// All instances are killed as the servers of the version that began a stream have just left.
#[test_case("v1.1", false; "another version serves after the start")]
#[test_case("v1", true; "one version is provable after the start")]
#[tokio::test]
async fn killed_as_version_left(version: &str, goes_on: bool) {
    let first = first_server(vec![ServerAction::Wait(Duration::from_secs(30))]).await;
    let (next, store) = (whole_server().await, KeyedStore::default());
    let before = [start("edge-a", &store).await, start("edge-b", &store).await];
    list(&before[1], "a", &first, "v1");
    let stream = begin(&before[0], &first, "v1").await;
    tokio::time::sleep(TOLD).await;
    for harness in &before {
        harness.stop.cancel();
    }
    let after = start("edge-a", &store).await;
    list(&after, "b", &next, version);
    let answer = read(after.handler.serve(take_up(Some(&stream))).await).await;
    assert_eq!(answer.is_ok(), goes_on, "{answer:?}");
    assert_eq!(arrivals(&next), usize::from(goes_on));
}
