//! Servers that send bytes without end, in a head, a body, an event or a row of events: each answer is cut.

use std::time::Duration;

use coltsfootpick_serving::buffered_body::{BodyLimit, BufferedBody, BufferedTotal};
use coltsfootpick_serving::event_stream::EventSplitter;
use coltsfootpick_testkit::endless_answers::{
    endless_body, endless_chunks, endless_event, endless_events, endless_head, is_complete, start_harness,
};
use coltsfootpick_testkit::scripted_server::ServerAction;
use test_case::test_case;

/// Bodies that are buffered at the same time.
const OPEN: usize = 50;

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
