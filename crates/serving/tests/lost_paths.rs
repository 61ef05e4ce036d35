//! Instances whose links to all backend servers are cut, while callers, the store and the other instances reach them.

use std::time::Duration;

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
