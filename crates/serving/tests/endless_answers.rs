//! Servers that send bytes without end, in a head, a body, an event or a row of events: each is cut, and the memory of
//! the process stays bounded.

use std::time::Duration;

use coltsfootpick_core::refusal::{Code, Refusal, RunStatus};
use coltsfootpick_serving::buffered_body::{BodyLimit, BufferedBody, BufferedTotal};
use coltsfootpick_serving::event_stream::EventSplitter;
use coltsfootpick_serving::outcome::{RequestOutcome, ResponseBody};
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::request_harness::{RequestHarness, request};
use coltsfootpick_testkit::scripted_server::{ScriptedServer, ServerAction, chunk, chunked_head, event};
use futures_util::StreamExt;
use test_case::test_case;

/// Endless answers that are open at the same time.
const OPEN: usize = 50;

/// Largest growth of the process's memory while they are open.
const GROWTH_MAX_BYTES: u64 = 64 << 20;

fn head(fields: &str) -> ServerAction {
    ServerAction::Write(format!("HTTP/1.1 200 OK\r\nx-id: $ID\r\n{fields}"))
}

fn forever(text: &str) -> ServerAction {
    ServerAction::WriteForever(text.to_owned())
}

fn endless_head() -> Vec<ServerAction> {
    vec![head(""), forever("x-filler: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n")]
}

/// Bytes of one block of filler.
const BLOCK: usize = 16 << 10;

fn filler_chunk() -> ServerAction {
    forever(&format!("{BLOCK:x}\r\n{}\r\n", "y".repeat(BLOCK)))
}

fn endless_body() -> Vec<ServerAction> {
    vec![head("connection: close\r\n\r\n"), forever(&"y".repeat(BLOCK))]
}

fn endless_chunks() -> Vec<ServerAction> {
    vec![head("transfer-encoding: chunked\r\n\r\n"), filler_chunk()]
}

fn endless_event() -> Vec<ServerAction> {
    vec![chunked_head(), chunk(&event(1)), filler_chunk()]
}

fn endless_events() -> Vec<ServerAction> {
    vec![chunked_head(), forever("a\r\ndata: yy\n\n\r\n")]
}

async fn start_harness(script: Vec<ServerAction>) -> (RequestHarness, ScriptedServer) {
    let server = ScriptedServer::start(vec![script]).await;
    let harness = RequestHarness::start("edge-a", &KeyedStore::default(), &[server.address]);
    harness.wait_for_credit().await;
    (harness, server)
}

/// Serves one request to its end; true if the answer was complete.
async fn is_complete(harness: &RequestHarness, route: &str) -> bool {
    match harness.handler.serve(request(route)).await {
        RequestOutcome::Refused(Refusal { run, code, .. }) => {
            assert_ne!(run, RunStatus::NotRun, "a request that was sent is called not run");
            assert_ne!(code, Code::DeadlinePassed, "the answer went on until the deadline");
            false
        }
        RequestOutcome::Relayed(_, ResponseBody::Buffered(_)) => true,
        RequestOutcome::Relayed(_, ResponseBody::Events(mut events)) => {
            while let Some(event) = events.next().await {
                if event.is_err() {
                    return false;
                }
            }
            true
        }
    }
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").trim().parse::<u64>().unwrap() << 10
}

#[test_case("apply", endless_head(), false; "head")]
#[test_case("apply", endless_body(), true; "body")]
#[test_case("apply", endless_chunks(), true; "chunks")]
#[test_case("ask", endless_head(), false; "head of a stream")]
#[test_case("ask", endless_event(), true; "event")]
#[test_case("ask", endless_events(), true; "events")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_cut(route: &str, script: Vec<ServerAction>, is_counted: bool) {
    let (harness, server) = start_harness(script).await;
    let ended = tokio::time::timeout(Duration::from_secs(20), is_complete(&harness, route)).await;
    assert_eq!(ended, Ok(false), "an endless answer passed as complete");
    let cut = harness.handler.board.metrics.responses_oversized.get();
    assert_eq!(cut, u64::from(is_counted), "answers cut at a size limit");
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(server.recorded().closed, 1, "the connection stays open");
}

#[test_case("apply", endless_chunks(); "bodies")]
#[test_case("ask", endless_event(); "events")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bounded_memory(route: &str, script: Vec<ServerAction>) {
    let (harness, _server) = start_harness(script).await;
    let before = resident_bytes();
    let calls = futures_util::future::join_all((0..OPEN).map(|_| is_complete(&harness, route)));
    let watched = async {
        let mut most = 0;
        loop {
            tokio::time::sleep(Duration::from_millis(2)).await;
            most = most.max(resident_bytes());
            if most > before + GROWTH_MAX_BYTES {
                return most;
            }
        }
    };
    tokio::select! {
        ended = calls => assert!(ended.iter().all(|complete| !complete)),
        most = watched => panic!("the memory grew by {} MiB", (most - before) >> 20),
    }
}

#[test]
fn total_limit() {
    let total = BufferedTotal::default();
    let block = bytes::Bytes::from(vec![0; 1 << 20]);
    let mut bodies: Vec<BufferedBody<'_>> = (0..OPEN).map(|_| BufferedBody::new(&total)).collect();
    let refused = bodies.iter_mut().filter_map(|body| body.push(block.clone()).err()).count();
    assert!(refused > OPEN / 4, "{refused} of {OPEN} bodies of 1 MiB are refused");
    let mut short = BufferedBody::new(&total);
    assert_eq!(short.push(block.slice(..4_096)), Ok(()), "a short body is displaced by long ones");
    drop(bodies);
    let mut long = BufferedBody::new(&total);
    let pushed: Vec<_> = (0..5).map(|_| long.push(block.clone())).collect();
    assert_eq!(pushed, [Ok(()), Ok(()), Ok(()), Ok(()), Err(BodyLimit::Body)]);
}

/// Splitting searches new bytes only: a long event in small pieces takes time in proportion to its length.
#[test]
fn linear_search() {
    let mut splitter = EventSplitter::default();
    let started = std::time::Instant::now();
    let pushed = (0..200_000).map(|_| splitter.push(b"y")).take_while(Result::is_ok).count();
    assert_eq!(pushed, 200_000);
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    let end = (0..100_000).find_map(|_| splitter.push(b"y").err());
    assert!(end.is_some(), "an event of 300,000 bytes is accepted");
}
