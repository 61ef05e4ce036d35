//! Limits of requests a second that servers name for the whole fleet.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::lenders::FleetMember;
use coltsfootpick_core::refusal::{Code, RunStatus};
use coltsfootpick_serving::outcome::RequestOutcome;
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::request_harness::{RequestHarness, request, server_entry};
use coltsfootpick_testkit::scripted_server::{ScriptedServer, ServerAction, response};
use tokio::time::Instant;

const LIMIT: f64 = 1.5;

/// Time within which all instances must have learned of a limit.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

async fn limited_server(limit: f64) -> ScriptedServer {
    ScriptedServer::start(vec![vec![response(200, &format!("x-limit: {limit}\r\n"), "limited")]]).await
}

/// Slower than the limited one, so that requests go there only because of the limit.
async fn free_server() -> ScriptedServer {
    let work = ServerAction::Wait(Duration::from_millis(30));
    ScriptedServer::start(vec![vec![work, response(200, "", "free")]]).await
}

/// Starts `size` instances that share a store and know each other.
fn start_fleet(size: usize) -> Vec<RequestHarness> {
    let store = KeyedStore::default();
    let names: Vec<Arc<str>> = (0..size).map(|number| format!("edge-{number}").into()).collect();
    let start = |name: &Arc<str>| {
        let harness = RequestHarness::start(name, &store, &[]);
        for member in &names {
            harness.handler.board.note_member(member, FleetMember { zone: "tunis-a".into(), capacity: 250 });
        }
        harness
    };
    names.iter().map(start).collect()
}

/// Sends one request after another from each instance until `end`, with `pause` between, and returns how many were
/// served.
async fn send_until(fleet: &[RequestHarness], pause: Duration, end: Instant) -> usize {
    let senders = fleet.iter().map(|instance| async move {
        let mut served = 0;
        while Instant::now() < end {
            served += usize::from(matches!(instance.handler.serve(request("read")).await, RequestOutcome::Relayed(..)));
            tokio::time::sleep(pause).await;
        }
        served
    });
    futures_util::future::join_all(senders).await.into_iter().sum()
}

/// Most arrivals in a window that starts after `from`.
fn busiest_window(server: &ScriptedServer, from: Instant) -> usize {
    let arrivals: Vec<Instant> = server.recorded().arrivals.into_iter().filter(|at| *at >= from).collect();
    let in_window = |start: Instant| arrivals.iter().filter(|at| **at >= start && **at < start + WINDOW).count();
    arrivals.iter().map(|start| in_window(*start)).max().unwrap_or_default()
}

/// The rule allows one and a half times the limit in 4 s, plus 5 requests.
fn allowed(limit: f64) -> usize {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "limits are small and positive")]
    let allowed = (limit * 1.5 * WINDOW.as_secs_f64()) as usize + 5;
    allowed
}

#[tokio::test]
async fn fleet_exceeds_limit() {
    let (limited, free) = (limited_server(LIMIT).await, free_server().await);
    let fleet = start_fleet(6);
    for instance in &fleet {
        instance.handler.board.servers.put(server_entry("limited", limited.address));
        instance.handler.board.servers.put(server_entry("other", free.address));
    }
    let started = Instant::now();
    let served = send_until(&fleet, Duration::from_millis(200), started + Duration::from_secs(9)).await;
    let most = busiest_window(&limited, started + STABLE_WINDOW);
    assert!(most <= allowed(LIMIT), "{most} requests in 4 s, {} allowed", allowed(LIMIT));
    assert!(most >= 3, "the limited server got {most} requests of the 6 in 4 s that it takes");
    assert!(served >= 6 * 30, "{served} served");
}

/// What the limited server does not take is refused at once, with the time at which it takes another.
#[tokio::test]
async fn refused_with_delay() {
    let limited = limited_server(0.5).await;
    let fleet = start_fleet(1);
    fleet[0].handler.board.servers.put(server_entry("limited", limited.address));
    fleet[0].handler.serve(request("read")).await;
    let started = Instant::now();
    let RequestOutcome::Refused(refusal) = fleet[0].handler.serve(request("read")).await else {
        panic!("over the limit")
    };
    assert!(started.elapsed() < Duration::from_millis(100));
    assert_eq!((refusal.code, refusal.run), (Code::NoBackendServer, RunStatus::NotRun));
    let delay = refusal.retry_after.unwrap();
    assert!(delay > Duration::from_secs(1) && delay < Duration::from_secs(15), "{delay:?}");
}

/// A limit ends with the first answer that names none.
#[tokio::test]
async fn lifted_limit() {
    let limit = response(200, "x-limit: 1\r\n", "limited");
    let server = ScriptedServer::start(vec![vec![limit], vec![response(200, "", "free")]]).await;
    let fleet = start_fleet(1);
    fleet[0].handler.board.servers.put(server_entry("a", server.address));
    fleet[0].handler.serve(request("read")).await;
    assert!(matches!(fleet[0].handler.serve(request("read")).await, RequestOutcome::Refused(_)));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for _ in 0..5 {
        assert!(matches!(fleet[0].handler.serve(request("read")).await, RequestOutcome::Relayed(..)));
    }
}
