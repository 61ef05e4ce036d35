//! Instances whose links to all backend servers are cut, while callers, the store and the other instances reach them.

use std::time::Duration;

use coltsfootpick_core::path_health::PathState;
use coltsfootpick_serving::outcome::RequestOutcome;
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::relay::{Cut, TcpRelay};
use coltsfootpick_testkit::request_harness::{RequestHarness, request};
use coltsfootpick_testkit::scripted_server::{ScriptedServer, ServerAction, response};
use test_case::test_case;

/// Interval between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which an instance that is cut off must serve its callers, `stable-window-ms` of the platform.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Two instances with the same servers; the links of the first one run through relays.
struct TestFleet {
    cut: RequestHarness,
    peer: RequestHarness,
    links: Vec<TcpRelay>,
    _servers: Vec<ScriptedServer>,
}

impl TestFleet {
    /// Starts servers that keep their connections or close them after each answer.
    async fn start(keeps_open: bool) -> Self {
        let (mut servers, mut links) = (Vec::new(), Vec::new());
        for _ in 0..4 {
            let headers = if keeps_open { "" } else { "connection: close\r\n" };
            let answer = vec![ServerAction::Wait(Duration::from_millis(10)), response(200, headers, "done")];
            let server = ScriptedServer::start(vec![answer]).await;
            links.push(TcpRelay::start(server.address).await.expect("a loopback port is free"));
            servers.push(server);
        }
        let store = KeyedStore::default();
        let near: Vec<_> = servers.iter().map(|server| server.address).collect();
        let far: Vec<_> = links.iter().map(|link| link.address).collect();
        let cut = RequestHarness::start("edge-a", &store, &far);
        let peer = RequestHarness::start("edge-b", &store, &near);
        cut.add_peer("edge-b", peer.take_forwards().await);
        peer.add_peer("edge-a", cut.take_forwards().await);
        Self { cut, peer, links, _servers: servers }
    }

    fn cut(&self, cut: Cut) {
        self.links.iter().for_each(|link| link.cut(cut));
    }
}

/// Sends one request each interval for `span`, and counts those sent and those served.
async fn first_tries(harness: &RequestHarness, route: &'static str, span: Duration) -> (usize, usize) {
    let (mut calls, started) = (Vec::new(), tokio::time::Instant::now());
    while started.elapsed() < span {
        let handler = harness.handler.clone();
        calls.push(tokio::spawn(async move { handler.serve(request(route)).await }));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let (sent, mut served) = (calls.len(), 0);
    for call in calls {
        let outcome = call.await.expect("the request is handled");
        served += usize::from(matches!(outcome, RequestOutcome::Relayed(head, _) if head.status.is_success()));
    }
    (sent, served)
}

#[test_case(Cut::Hang, "read")]
#[test_case(Cut::Hang, "apply")]
#[test_case(Cut::Reset, "apply")]
#[test_case(Cut::RefuseNew, "apply")]
#[tokio::test(flavor = "multi_thread")]
async fn cut_served_like_others(cut: Cut, route: &'static str) {
    let fleet = TestFleet::start(cut != Cut::RefuseNew).await;
    first_tries(&fleet.cut, route, Duration::from_secs(1)).await;
    fleet.cut(cut);
    first_tries(&fleet.cut, route, STABLE_WINDOW).await;
    let span = Duration::from_secs(2);
    let ((sent, served), (others_sent, others_served)) =
        tokio::join!(first_tries(&fleet.cut, route, span), first_tries(&fleet.peer, route, span));
    assert!(
        served * others_sent * 3 >= others_served * sent * 2,
        "the instance that was cut off served {served} of {sent}, the other {others_served} of {others_sent}"
    );
}

fn state(harness: &RequestHarness) -> PathState {
    harness.handler.board.paths.of(&"service".into()).state()
}

/// A cut is known within half a second of the load above, and requests use the path again within two after its end.
#[test_case(Cut::Hang)]
#[test_case(Cut::Reset)]
#[tokio::test(flavor = "multi_thread")]
async fn lost_and_returned(cut: Cut) {
    let fleet = TestFleet::start(true).await;
    first_tries(&fleet.cut, "read", Duration::from_secs(1)).await;
    fleet.cut(cut);
    let handler = fleet.cut.handler.clone();
    let load = tokio::spawn(async move {
        for _ in 0..100 {
            let handler = handler.clone();
            tokio::spawn(async move { handler.serve(request("read")).await });
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    });
    // A silence of 200 ms is noticed at the next check, and probes are given 250 ms.
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(state(&fleet.cut), PathState::Lost);
    fleet.links.iter().for_each(TcpRelay::heal);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(state(&fleet.cut), PathState::Sound);
    let (sent, served) = first_tries(&fleet.cut, "apply", Duration::from_secs(1)).await;
    assert_eq!(served, sent);
    load.await.unwrap();
}

/// One request a second is enough to know of a cut within the stable window.
#[tokio::test(flavor = "multi_thread")]
async fn lost_at_low_load() {
    let fleet = TestFleet::start(true).await;
    first_tries(&fleet.cut, "read", Duration::from_millis(500)).await;
    fleet.cut(Cut::Hang);
    let handler = fleet.cut.handler.clone();
    tokio::time::sleep(Duration::from_millis(950)).await;
    tokio::spawn(async move { handler.serve(request("apply")).await });
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(state(&fleet.cut), PathState::Lost);
    assert_eq!(first_tries(&fleet.cut, "apply", Duration::from_millis(200)).await.1, 4);
}

/// The loss of the path puts no request into quarantine, blames no part of a prompt and ejects no server.
#[test_case(Cut::Hang)]
#[test_case(Cut::Reset)]
#[tokio::test(flavor = "multi_thread")]
async fn no_blame(cut: Cut) {
    let fleet = TestFleet::start(true).await;
    first_tries(&fleet.cut, "read", Duration::from_millis(500)).await;
    let handler = fleet.cut.handler.clone();
    let slow = tokio::spawn(async move { handler.serve(request("ask")).await });
    fleet.cut(cut);
    first_tries(&fleet.cut, "read", Duration::from_secs(2)).await;
    slow.await.unwrap();
    let board = &fleet.cut.handler.board;
    assert_eq!(board.quarantine.lock().reports_since(0, 8, board.clock.now()).0.len(), 0);
    assert_eq!(board.part_blame.lock().convicted_count(board.clock.now()), 0);
    fleet.links.iter().for_each(TcpRelay::heal);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let servers = board.servers.of_service(&"service".into());
    assert!(servers.iter().all(|server| !server.load.lock().is_ejected(board.clock.now()) && !server.is_unreached()));
}

/// A server that is silent for a second and goes on answers the request that it had; none is repeated or blamed.
#[tokio::test(flavor = "multi_thread")]
async fn silent_second() {
    let silent = vec![ServerAction::Wait(Duration::from_millis(1_100)), response(200, "", "late")];
    // Long enough for the load to need several servers.
    let sound = || vec![vec![ServerAction::Wait(Duration::from_millis(100)), response(200, "", "done")]];
    let first = ScriptedServer::start(vec![silent, sound().remove(0)]).await;
    let mut servers = vec![first];
    for _ in 0..3 {
        servers.push(ScriptedServer::start(sound()).await);
    }
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let harness = RequestHarness::start("edge-a", &KeyedStore::default(), &addresses);
    let (sent, served) = first_tries(&harness, "read", Duration::from_secs(8)).await;
    assert_eq!(served, sent);
    let arrived: usize = servers.iter().map(|server| server.recorded().requests.len()).sum();
    assert_eq!(arrived, sent, "no request is repeated");
    let (again, even) = (servers[0].recorded().requests.len() - 1, sent / 4);
    assert!(again * 4 >= even, "{again} requests after the silence, an even share would be {even}");
    assert_eq!(state(&harness), PathState::Sound);
    let board = &harness.handler.board;
    assert_eq!(board.quarantine.lock().reports_since(0, 8, board.clock.now()).0.len(), 0);
}

/// A crashed server beside sound ones is blamed on its request, not taken for a lost path.
#[tokio::test(flavor = "multi_thread")]
async fn crashed_server() {
    let crashing = ScriptedServer::start_crashing("").await;
    let sound = ScriptedServer::start(vec![vec![response(200, "", "done")]]).await;
    let harness = RequestHarness::start("edge-a", &KeyedStore::default(), &[crashing.address, sound.address]);
    first_tries(&harness, "apply", Duration::from_millis(500)).await;
    let board = &harness.handler.board;
    assert_eq!(crashing.recorded().requests.len(), 1);
    assert_eq!(board.quarantine.lock().reports_since(0, 8, board.clock.now()).0.len(), 1);
    assert_eq!(state(&harness), PathState::Sound);
}

/// A path that is lost and back again and again costs nobody a request that no server has had.
#[tokio::test(flavor = "multi_thread")]
async fn flapping_path() {
    let fleet = TestFleet::start(false).await;
    first_tries(&fleet.cut, "apply", Duration::from_millis(500)).await;
    let load = first_tries(&fleet.cut, "apply", Duration::from_secs(6));
    let flaps = async {
        for _ in 0..6 {
            fleet.cut(Cut::RefuseNew);
            tokio::time::sleep(Duration::from_millis(600)).await;
            fleet.links.iter().for_each(TcpRelay::heal);
            tokio::time::sleep(Duration::from_millis(400)).await;
        }
    };
    let ((sent, served), ()) = tokio::join!(load, flaps);
    assert!(served * 20 >= sent * 19, "{served} of {sent} served");
}
