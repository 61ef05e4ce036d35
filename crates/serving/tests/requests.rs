//! Requests with buffered responses: which are sent again, which are refused as not run, and which are cancelled.

use std::time::Duration;

use coltsfootpick_core::refusal::{Code, Refusal, RunStatus};
use coltsfootpick_serving::drain::finish_requests;
use coltsfootpick_serving::outcome::{RequestOutcome, ResponseBody};
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::request_harness::{RequestHarness, request};
use coltsfootpick_testkit::scripted_server::{Script, ScriptedServer, ServerAction, response};
use test_case::test_case;
use tokio::time::Instant;

async fn start_harness(scripts: Vec<Script>) -> (RequestHarness, Vec<ScriptedServer>) {
    let mut servers = Vec::new();
    for script in scripts {
        servers.push(ScriptedServer::start(script).await);
    }
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    (RequestHarness::start("edge-a", &KeyedStore::default(), &addresses), servers)
}

async fn call(harness: &RequestHarness, route: &str) -> RequestOutcome {
    harness.handler.serve(request(route)).await
}

fn request_count(servers: &[ScriptedServer]) -> usize {
    servers.iter().map(|server| server.recorded().requests.len()).sum()
}

#[track_caller]
fn refusal_of(outcome: RequestOutcome) -> Refusal {
    match outcome {
        RequestOutcome::Refused(refusal) => refusal,
        other @ RequestOutcome::Relayed(..) => panic!("expected a refusal, got {other:?}"),
    }
}

#[track_caller]
fn relayed_response(outcome: RequestOutcome) -> (u16, String) {
    match outcome {
        RequestOutcome::Relayed(head, ResponseBody::Buffered(body)) => {
            (head.status.as_u16(), String::from_utf8_lossy(&body).into_owned())
        }
        other => panic!("expected a buffered response, got {other:?}"),
    }
}

fn rejecting_script() -> Script {
    vec![vec![response(503, "x-not-run: 1\r\n", "")]]
}

#[tokio::test]
async fn buffered_response() {
    let (harness, servers) = start_harness(vec![vec![vec![response(200, "", "done")]]]).await;
    assert_eq!(relayed_response(call(&harness, "apply").await), (200, "done".to_owned()));
    assert_eq!(relayed_response(call(&harness, "apply").await), (200, "done".to_owned()));
    let seen = servers[0].recorded();
    assert_eq!((seen.requests.len(), seen.connections), (2, 1), "the connection is reused");
    assert!(seen.requests[0].contains("x-server: a\r\n") && seen.requests[0].contains("x-account: clinic\r\n"));
}

/// An answer without length and chunks ends with its connection; a reset breaks it off.
#[tokio::test]
async fn unframed_response() {
    let answer = ServerAction::Write("HTTP/1.1 200 X\r\nx-id: $ID\r\n\r\ndone".to_owned());
    let pause = ServerAction::Wait(Duration::from_millis(50));
    let whole = vec![answer.clone(), ServerAction::Close];
    let (harness, _servers) = start_harness(vec![vec![whole, vec![answer, pause, ServerAction::Reset]]]).await;
    assert_eq!(relayed_response(call(&harness, "apply").await), (200, "done".to_owned()));
    let refusal = refusal_of(call(&harness, "apply").await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::MayHaveRun, Code::BackendFailed));
}

#[tokio::test]
async fn rejected_elsewhere() {
    let (harness, servers) = start_harness(vec![rejecting_script(), vec![vec![response(200, "", "done")]]]).await;
    assert_eq!(relayed_response(call(&harness, "read").await).0, 200);
    assert!(request_count(&servers) <= 2);
}

#[test_case("read", 2; "two attempts")]
#[test_case("apply", 1; "one attempt")]
#[tokio::test]
async fn rejected_everywhere(route: &str, attempts: usize) {
    let (harness, servers) = start_harness(vec![rejecting_script(), rejecting_script(), rejecting_script()]).await;
    let refusal = refusal_of(call(&harness, route).await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::NotRun, Code::NoBackendServer));
    assert!(refusal.retry_after.is_some(), "the refusal has a retry delay");
    assert_eq!(request_count(&servers), attempts);
}

#[test_case(ServerAction::Close; "closed")]
#[test_case(ServerAction::Reset; "reset")]
#[test_case(ServerAction::Write("nonsense\r\n\r\n".to_owned()); "no answer in the protocol")]
#[test_case(ServerAction::Write("HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 2\r\n\r\nno".to_owned()); "another id")]
#[test_case(ServerAction::Write("HTTP/1.1 200 OK\r\nx-id: $ID\r\ncontent-length: 9\r\n\r\ncut".to_owned()); "cut body")]
#[tokio::test]
async fn lost_response(act: ServerAction) {
    let script: Script = vec![vec![act, ServerAction::Close]];
    let (harness, servers) = start_harness(vec![script.clone(), script]).await;
    let refusal = refusal_of(call(&harness, "apply").await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::MayHaveRun, Code::BackendFailed));
    assert_eq!(request_count(&servers), 1, "a request that may have run is not sent again");
}

#[tokio::test]
async fn idempotent_retry() {
    let (harness, servers) = start_harness(vec![
        vec![vec![ServerAction::Close], vec![response(200, "", "a")]],
        vec![vec![ServerAction::Close], vec![response(200, "", "b")]],
    ])
    .await;
    let first = refusal_of(call(&harness, "read").await);
    assert_eq!(first.run, RunStatus::MayHaveRun);
    assert_eq!(request_count(&servers), 2, "the route allows two servers");
}

#[tokio::test]
async fn failure_retry() {
    let (harness, servers) =
        start_harness(vec![vec![vec![response(500, "", "bad")]], vec![vec![response(500, "", "bad")]]]).await;
    assert_eq!(relayed_response(call(&harness, "read").await), (500, "bad".to_owned()), "the last failure is relayed");
    assert_eq!(request_count(&servers), 2);
    assert_eq!(relayed_response(call(&harness, "apply").await).0, 500);
    assert_eq!(request_count(&servers), 3, "a request that must not repeat is not sent again");
}

#[tokio::test]
async fn misdirected_request() {
    let (harness, servers) =
        start_harness(vec![vec![vec![response(421, "", "")]], vec![vec![response(200, "", "done")]]]).await;
    assert_eq!(relayed_response(call(&harness, "apply").await).0, 200, "421 proves that the request did not run");
    assert_eq!(relayed_response(call(&harness, "apply").await).0, 200);
    let misdirected = servers[0].recorded().requests.len();
    assert!(misdirected <= 1, "the misdirected address was used {misdirected} times");
}

#[tokio::test]
async fn unreachable_server() {
    let (harness, servers) = start_harness(vec![vec![vec![response(200, "", "done")]]]).await;
    let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    harness.handler.board.servers.put(coltsfootpick_testkit::request_harness::server_entry("0", free));
    assert_eq!(
        relayed_response(call(&harness, "apply").await).0,
        200,
        "a request that was not sent goes to another server"
    );
    assert_eq!(request_count(&servers), 1);
}

#[tokio::test]
async fn extra_response() {
    let extra = ServerAction::Write("HTTP/1.1 200 OK\r\nx-id: $ID\r\ncontent-length: 5\r\n\r\nextra".to_owned());
    let (harness, servers) =
        start_harness(vec![vec![vec![response(200, "", "one"), extra], vec![response(200, "", "two")]]]).await;
    assert_eq!(relayed_response(call(&harness, "apply").await).1, "one");
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(relayed_response(call(&harness, "apply").await).1, "two");
    assert_eq!(servers[0].recorded().connections, 2, "a connection with unexpected bytes is not reused");
}

#[tokio::test]
async fn silent_server() {
    let (harness, servers) = start_harness(vec![vec![vec![ServerAction::Wait(Duration::from_secs(30))]]]).await;
    let before = Instant::now();
    let refusal = refusal_of(call(&harness, "apply").await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::MayHaveRun, Code::DeadlinePassed));
    let waited = before.elapsed();
    assert!(waited >= Duration::from_millis(1_200) && waited < Duration::from_millis(1_700), "{waited:?}");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(servers[0].recorded().closed, 1, "the connection to the server is closed");
}

#[tokio::test]
async fn caller_disconnects() {
    let (harness, servers) = start_harness(vec![vec![vec![ServerAction::Wait(Duration::from_secs(30))]]]).await;
    let result = tokio::time::timeout(Duration::from_millis(200), call(&harness, "apply")).await;
    assert!(result.is_err());
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(servers[0].recorded().closed, 1, "the connection to the server is closed");
    assert_eq!(harness.handler.board.open_requests(), 0);
}

#[tokio::test]
async fn stopping_instance() {
    let (harness, servers) = start_harness(vec![vec![vec![response(200, "", "done")]]]).await;
    harness.handler.board.closing.cancel();
    let refusal = refusal_of(call(&harness, "apply").await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::NotRun, Code::Draining));
    assert_eq!(request_count(&servers), 0, "a stopping instance dispatched a request that may not end in time");
}

/// While too few instances are ready, the platform keeps sending requests to a stopping one; it must serve those that
/// end in time.
#[tokio::test]
async fn request_before_cutoff() {
    let (harness, servers) = start_harness(vec![vec![vec![response(200, "", "done")]]]).await;
    let timeout = Duration::from_millis(1_200);
    harness.handler.board.cutoff.set(Instant::now() + timeout + Duration::from_millis(100)).unwrap();
    harness.handler.board.closing.cancel();
    assert_eq!(relayed_response(call(&harness, "apply").await).0, 200, "the request ends before the cutoff");
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(refusal_of(call(&harness, "apply").await).code, Code::Draining);
    assert_eq!(request_count(&servers), 1);
}

#[tokio::test]
async fn leaving_server() {
    let (harness, servers) = start_harness(vec![vec![vec![response(200, "", "done")]]]).await;
    let leaving = coltsfootpick_serving::servers::ServerEntry {
        leaving: true,
        ..coltsfootpick_testkit::request_harness::server_entry("a", servers[0].address)
    };
    harness.handler.board.servers.put(leaving);
    assert_eq!(refusal_of(call(&harness, "apply").await).run, RunStatus::NotRun);
    assert_eq!(request_count(&servers), 0);
}

#[test_case(|request| request.api_key = None, Code::Unauthorized; "no key")]
#[test_case(|request| request.api_key = Some("stolen".into()), Code::Unauthorized; "unknown key")]
#[test_case(|request| request.target = "/nowhere/x".into(), Code::UnknownService; "no route")]
#[test_case(|request| request.host = "other".into(), Code::UnknownService; "unknown host")]
#[tokio::test]
async fn refused_request(change: fn(&mut coltsfootpick_serving::request::CallerRequest), code: Code) {
    let (harness, servers) = start_harness(vec![vec![vec![response(200, "", "done")]]]).await;
    let mut changed = request("apply");
    change(&mut changed);
    assert_eq!(refusal_of(harness.handler.serve(changed).await).code, code);
    assert_eq!(request_count(&servers), 0);
}

/// A crashed server accepts no connection after it broke off, unlike one that only lost its response. Two crashes must
/// quarantine the request on all instances.
#[tokio::test]
async fn crashing_request() {
    let store = KeyedStore::default();
    let mut harnesses = Vec::new();
    for name in ["edge-a", "edge-b", "edge-c"] {
        harnesses.push(RequestHarness::start(name, &store, &[]));
    }
    for (harness, server) in harnesses.iter().zip(["a", "b"]) {
        let crashing = ScriptedServer::start_crashing("").await;
        harness
            .handler
            .board
            .servers
            .put(coltsfootpick_testkit::request_harness::server_entry(server, crashing.address));
        assert_eq!(refusal_of(call(harness, "apply").await).run, RunStatus::MayHaveRun);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let sound = ScriptedServer::start(vec![vec![response(200, "", "done")]]).await;
    harnesses[2].handler.board.servers.put(coltsfootpick_testkit::request_harness::server_entry("c", sound.address));
    let refusal = refusal_of(call(&harnesses[2], "apply").await);
    assert_eq!(
        (refusal.code, refusal.run),
        (Code::Quarantined, RunStatus::NotRun),
        "an instance that never dispatched it knows"
    );
    assert!(sound.recorded().requests.is_empty());
    let mut other = request("apply");
    other.body = bytes::Bytes::from_static(b"another body");
    assert_eq!(relayed_response(harnesses[2].handler.serve(other).await).0, 200);
}

/// Retries must stay within the fleet's limit even if every request fails.
#[tokio::test]
async fn retry_limit() {
    let (harness, servers) =
        start_harness(vec![vec![vec![ServerAction::Close]], vec![vec![ServerAction::Close]]]).await;
    for _ in 0..60 {
        call(&harness, "read").await;
    }
    let retries = request_count(&servers).saturating_sub(60);
    assert!(retries <= 60 / 5 + 52 / 6, "{retries} retries of 60 requests");
}

#[tokio::test]
async fn full_link() {
    let servers = [ScriptedServer::start(vec![vec![response(200, "", "done")]]).await];
    let harness =
        RequestHarness::with_link_rate("edge-a", &KeyedStore::default(), &[servers[0].address], Some(1_000.0));
    harness.handler.board.note_traffic(10_000, 0);
    harness.handler.board.update_link_state();
    let refusal = refusal_of(call(&harness, "apply").await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::NotRun, Code::Overloaded));
    assert!(refusal.retry_after.is_some(), "the refusal has a retry delay");
    assert_eq!(request_count(&servers), 0);
    assert!(harness.handler.board.is_shedding());
    tokio::time::sleep(Duration::from_secs(3)).await;
    harness.handler.board.update_link_state();
    assert!(!harness.handler.board.is_shedding(), "callers may stay once the link has capacity");
    assert_eq!(relayed_response(call(&harness, "apply").await).0, 200);
}

/// The final credit record is written once no request is open; a request that arrives later must not be dispatched.
#[tokio::test]
async fn stopped_instance() {
    let (harness, servers) = start_harness(vec![vec![vec![response(200, "", "done")]]]).await;
    assert_eq!(finish_requests(&harness.handler.board, Duration::from_secs(60)).await, 0);
    let refusal = refusal_of(call(&harness, "apply").await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::NotRun, Code::Draining));
    assert_eq!(request_count(&servers), 0);
}
