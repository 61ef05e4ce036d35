//! Servers that fall over when they reject too many requests in a second.

use std::time::Duration;

use coltsfootpick_core::lenders::FleetMember;
use coltsfootpick_core::refusal::RunStatus;
use coltsfootpick_serving::outcome::RequestOutcome;
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::request_harness::{RequestHarness, request, server_entry};
use coltsfootpick_testkit::scripted_server::{ScriptedServer, ServerAction, response};
use test_case::test_case;
use tokio::time::Instant;

/// Time within which all instances must have learned that servers are brittle.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Starts `size` instances that know each other, with one server.
fn start_fleet(size: usize, server: &ScriptedServer) -> Vec<RequestHarness> {
    let store = KeyedStore::default();
    let start = |at: usize| {
        let harness = RequestHarness::start(&format!("edge-{at}"), &store, &[]);
        for other in 0..size {
            let member = FleetMember { zone: "tunis-a".into(), capacity: 250 };
            harness.handler.board.note_member(&format!("edge-{other}").into(), member);
        }
        harness.handler.board.servers.put(server_entry("brittle", server.address));
        harness
    };
    (0..size).map(start).collect()
}

/// Most arrivals in a second that starts after `from`.
fn busiest_second(server: &ScriptedServer, from: Instant) -> usize {
    let arrivals: Vec<Instant> = server.recorded().arrivals.into_iter().filter(|at| *at >= from).collect();
    let in_second =
        |start: &Instant| arrivals.iter().filter(|at| *at >= start && **at - *start < Duration::from_secs(1)).count();
    arrivals.iter().map(in_second).max().unwrap_or_default()
}

/// A server that has no room for anybody gets fewer requests in a second than make it fall over.
#[test_case(1, 2)]
#[test_case(6, 3)]
#[test_case(12, 3)]
#[tokio::test]
async fn rejections_bounded(size: usize, threshold: usize) {
    let rejection = response(503, &format!("x-not-run: 1\r\nx-brittle: {threshold}\r\n"), "");
    let server = ScriptedServer::start(vec![vec![rejection]]).await;
    let fleet = start_fleet(size, &server);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(8) {
        for instance in &fleet {
            let handler = instance.handler.clone();
            tokio::spawn(async move { handler.serve(request("read")).await });
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let most = busiest_second(&server, started + STABLE_WINDOW);
    assert!(most <= threshold, "{most} rejections in a second, {threshold} make the server fall over");
}

/// A request waits a moment for room, and is refused as not run, with a delay, if there is none.
#[tokio::test]
async fn waits_for_room() {
    let answer =
        |wait: u64| vec![ServerAction::Wait(Duration::from_millis(wait)), response(200, "x-brittle: 1\r\n", "done")];
    let server = ScriptedServer::start(vec![answer(5), answer(50), answer(50), answer(800)]).await;
    let fleet = start_fleet(6, &server);
    let (first, second) = (&fleet[0].handler, &fleet[0].handler);
    first.serve(request("read")).await;
    let both = tokio::join!(first.serve(request("read")), second.serve(request("read")));
    assert!(matches!(both, (RequestOutcome::Relayed(..), RequestOutcome::Relayed(..))), "{both:?}");
    assert_eq!(server.recorded().connections, 1, "the second request followed the first one");
    let slow = tokio::spawn({
        let handler = first.clone();
        async move { handler.serve(request("read")).await }
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    let started = Instant::now();
    let RequestOutcome::Refused(refusal) = second.serve(request("read")).await else { panic!("there is no room") };
    assert_eq!(refusal.run, RunStatus::NotRun);
    assert!(refusal.retry_after.is_some() && started.elapsed() < Duration::from_millis(300));
    assert!(matches!(slow.await.unwrap(), RequestOutcome::Relayed(..)));
}
