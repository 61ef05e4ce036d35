//! Requests for whole answers: what is sent again, what is refused as not run, and what ends at once.

use std::time::Duration;

use coltsfootpick_core::refusal::{Code, Refusal, RunStatus};
use coltsfootpick_serving::answer::{Answer, AnswerBody};
use coltsfootpick_serving::drain::wait_for_open;
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::request_harness::{RequestHarness, request};
use coltsfootpick_testkit::scripted_server::{Script, ScriptedServer, ServerAction, response};
use test_case::test_case;
use tokio::time::Instant;

async fn rig(scripts: Vec<Script>) -> (RequestHarness, Vec<ScriptedServer>) {
    let mut servers = Vec::new();
    for script in scripts {
        servers.push(ScriptedServer::start(script).await);
    }
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    (RequestHarness::start("edge-a", &KeyedStore::default(), &addresses), servers)
}

async fn call(rig: &RequestHarness, route: &str) -> Answer {
    rig.handler.serve(request(route)).await
}

fn sent(servers: &[ScriptedServer]) -> usize {
    servers.iter().map(|server| server.recorded().requests.len()).sum()
}

#[track_caller]
fn refused(answer: Answer) -> Refusal {
    match answer {
        Answer::Refused(refusal) => refusal,
        other @ Answer::Relayed(..) => panic!("expected a refusal, got {other:?}"),
    }
}

#[track_caller]
fn relayed(answer: Answer) -> (u16, String) {
    match answer {
        Answer::Relayed(head, AnswerBody::Whole(body)) => {
            (head.status.as_u16(), String::from_utf8_lossy(&body).into_owned())
        }
        other => panic!("expected a whole answer, got {other:?}"),
    }
}

fn rejects() -> Script {
    vec![vec![response(503, "x-not-run: 1\r\n", "")]]
}

#[tokio::test]
async fn whole_answer() {
    let (rig, servers) = rig(vec![vec![vec![response(200, "", "done")]]]).await;
    assert_eq!(relayed(call(&rig, "apply").await), (200, "done".to_owned()));
    assert_eq!(relayed(call(&rig, "apply").await), (200, "done".to_owned()));
    let seen = servers[0].recorded();
    assert_eq!((seen.requests.len(), seen.connections), (2, 1), "the connection is kept");
    assert!(seen.requests[0].contains("x-server: a\r\n") && seen.requests[0].contains("x-account: clinic\r\n"));
}

#[tokio::test]
async fn rejected_elsewhere() {
    let (rig, servers) = rig(vec![rejects(), vec![vec![response(200, "", "done")]]]).await;
    assert_eq!(relayed(call(&rig, "read").await).0, 200);
    assert!(sent(&servers) <= 2);
}

#[test_case("read", 2; "two attempts")]
#[test_case("apply", 1; "one attempt")]
#[tokio::test]
async fn rejected_everywhere(route: &str, attempts: usize) {
    let (rig, servers) = rig(vec![rejects(), rejects(), rejects()]).await;
    let refusal = refused(call(&rig, route).await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::NotRun, Code::NoBackendServer));
    assert!(refusal.retry_after.is_some(), "the caller learns when to come back");
    assert_eq!(sent(&servers), attempts);
}

#[test_case(ServerAction::Close; "closed")]
#[test_case(ServerAction::Reset; "reset")]
#[test_case(ServerAction::Write("nonsense\r\n\r\n".to_owned()); "no answer in the protocol")]
#[test_case(ServerAction::Write("HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 2\r\n\r\nno".to_owned()); "another id")]
#[test_case(ServerAction::Write("HTTP/1.1 200 OK\r\nx-id: $ID\r\ncontent-length: 9\r\n\r\ncut".to_owned()); "cut body")]
#[tokio::test]
async fn lost_answer(act: ServerAction) {
    let script: Script = vec![vec![act, ServerAction::Close]];
    let (rig, servers) = rig(vec![script.clone(), script]).await;
    let refusal = refused(call(&rig, "apply").await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::MayHaveRun, Code::BackendFailed));
    assert_eq!(sent(&servers), 1, "what may have run is not sent again");
}

#[tokio::test]
async fn idempotent_again() {
    let (rig, servers) = rig(vec![
        vec![vec![ServerAction::Close], vec![response(200, "", "a")]],
        vec![vec![ServerAction::Close], vec![response(200, "", "b")]],
    ])
    .await;
    let first = refused(call(&rig, "read").await);
    assert_eq!(first.run, RunStatus::MayHaveRun);
    assert_eq!(sent(&servers), 2, "the route allows two servers");
}

#[tokio::test]
async fn failure_again() {
    let (rig, servers) = rig(vec![vec![vec![response(500, "", "bad")]], vec![vec![response(500, "", "bad")]]]).await;
    assert_eq!(relayed(call(&rig, "read").await), (500, "bad".to_owned()), "the last failure is handed on");
    assert_eq!(sent(&servers), 2);
    assert_eq!(relayed(call(&rig, "apply").await).0, 500);
    assert_eq!(sent(&servers), 3, "what must not repeat is not sent again");
}

#[tokio::test]
async fn other_server() {
    let (rig, servers) = rig(vec![vec![vec![response(421, "", "")]], vec![vec![response(200, "", "done")]]]).await;
    assert_eq!(relayed(call(&rig, "apply").await).0, 200, "421 proves that it did not run");
    assert_eq!(relayed(call(&rig, "apply").await).0, 200);
    let misdirected = servers[0].recorded().requests.len();
    assert!(misdirected <= 1, "the address was asked again {misdirected} times");
}

#[tokio::test]
async fn nobody_listens() {
    let (rig, servers) = rig(vec![vec![vec![response(200, "", "done")]]]).await;
    let free = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    rig.handler.board.servers.put(coltsfootpick_testkit::request_harness::server_entry("0", free));
    assert_eq!(relayed(call(&rig, "apply").await).0, 200, "what was not sent goes to another server");
    assert_eq!(sent(&servers), 1);
}

#[tokio::test]
async fn extra_answer() {
    let extra = ServerAction::Write("HTTP/1.1 200 OK\r\nx-id: $ID\r\ncontent-length: 5\r\n\r\nextra".to_owned());
    let (rig, servers) = rig(vec![vec![vec![response(200, "", "one"), extra], vec![response(200, "", "two")]]]).await;
    assert_eq!(relayed(call(&rig, "apply").await).1, "one");
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(relayed(call(&rig, "apply").await).1, "two");
    assert_eq!(servers[0].recorded().connections, 2, "a connection with bytes of no request is not used again");
}

#[tokio::test]
async fn silent_server() {
    let (rig, servers) = rig(vec![vec![vec![ServerAction::Wait(Duration::from_secs(30))]]]).await;
    let before = Instant::now();
    let refusal = refused(call(&rig, "apply").await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::MayHaveRun, Code::DeadlinePassed));
    let waited = before.elapsed();
    assert!(waited >= Duration::from_millis(1_200) && waited < Duration::from_millis(1_700), "{waited:?}");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(servers[0].recorded().closed, 1, "the server is told to stop");
}

#[tokio::test]
async fn caller_leaves() {
    let (rig, servers) = rig(vec![vec![vec![ServerAction::Wait(Duration::from_secs(30))]]]).await;
    let left = tokio::time::timeout(Duration::from_millis(200), call(&rig, "apply")).await;
    assert!(left.is_err());
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(servers[0].recorded().closed, 1, "the server is told to stop");
    assert_eq!(rig.handler.board.open(), 0);
}

#[tokio::test]
async fn stopping_instance() {
    let (rig, servers) = rig(vec![vec![vec![response(200, "", "done")]]]).await;
    rig.handler.board.closing.cancel();
    let refusal = refused(call(&rig, "apply").await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::NotRun, Code::Draining));
    assert_eq!(sent(&servers), 0, "a stopping instance passed a request on that it cannot end");
}

/// While too few instances are ready, the platform goes on sending to one that stops.
#[tokio::test]
async fn short_requests() {
    let (rig, servers) = rig(vec![vec![vec![response(200, "", "done")]]]).await;
    let timeout = Duration::from_millis(1_200);
    rig.handler.board.ends.set(Instant::now() + timeout + Duration::from_millis(100)).unwrap();
    rig.handler.board.closing.cancel();
    assert_eq!(relayed(call(&rig, "apply").await).0, 200, "it ends before the instance does");
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(refused(call(&rig, "apply").await).code, Code::Draining);
    assert_eq!(sent(&servers), 1);
}

#[tokio::test]
async fn leaving_server() {
    let (rig, servers) = rig(vec![vec![vec![response(200, "", "done")]]]).await;
    let leaving = coltsfootpick_serving::servers::ServerEntry {
        leaving: true,
        ..coltsfootpick_testkit::request_harness::server_entry("a", servers[0].address)
    };
    rig.handler.board.servers.put(leaving);
    assert_eq!(refused(call(&rig, "apply").await).run, RunStatus::NotRun);
    assert_eq!(sent(&servers), 0);
}

#[test_case(|request| request.key = None, Code::Unauthorized; "no key")]
#[test_case(|request| request.key = Some("stolen".into()), Code::Unauthorized; "unknown key")]
#[test_case(|request| request.target = "/nowhere/x".into(), Code::UnknownService; "no route")]
#[test_case(|request| request.host = "other".into(), Code::UnknownService; "unknown host")]
#[tokio::test]
async fn not_allowed(change: fn(&mut coltsfootpick_serving::request::CallerRequest), code: Code) {
    let (rig, servers) = rig(vec![vec![vec![response(200, "", "done")]]]).await;
    let mut asked = request("apply");
    change(&mut asked);
    assert_eq!(refused(rig.handler.serve(asked).await).code, code);
    assert_eq!(sent(&servers), 0);
}

/// A server that crashes takes no connection after it broke off; one that lost its answer does.
#[tokio::test]
async fn crashing_request() {
    let store = KeyedStore::default();
    let mut rigs = Vec::new();
    for name in ["edge-a", "edge-b", "edge-c"] {
        rigs.push(RequestHarness::start(name, &store, &[]));
    }
    for (rig, server) in rigs.iter().zip(["a", "b"]) {
        let crashing = ScriptedServer::start_crashing().await;
        rig.handler.board.servers.put(coltsfootpick_testkit::request_harness::server_entry(server, crashing.address));
        assert_eq!(refused(call(rig, "apply").await).run, RunStatus::MayHaveRun);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let sound = ScriptedServer::start(vec![vec![response(200, "", "done")]]).await;
    rigs[2].handler.board.servers.put(coltsfootpick_testkit::request_harness::server_entry("c", sound.address));
    let refusal = refused(call(&rigs[2], "apply").await);
    assert_eq!(
        (refusal.code, refusal.run),
        (Code::Quarantined, RunStatus::NotRun),
        "an instance that never sent it knows"
    );
    assert!(sound.recorded().requests.is_empty());
    let mut other = request("apply");
    other.body = bytes::Bytes::from_static(b"another body");
    assert_eq!(relayed(rigs[2].handler.serve(other).await).0, 200);
}

/// Repeats stay within the fleet's bound however many requests fail.
#[tokio::test]
async fn repeat_bound() {
    let (rig, servers) = rig(vec![vec![vec![ServerAction::Close]], vec![vec![ServerAction::Close]]]).await;
    for _ in 0..60 {
        call(&rig, "read").await;
    }
    let repeats = sent(&servers).saturating_sub(60);
    assert!(repeats <= 60 / 5 + 52 / 6, "{repeats} repeats of 60 requests");
}

#[tokio::test]
async fn full_link() {
    let servers = [ScriptedServer::start(vec![vec![response(200, "", "done")]]).await];
    let rig = RequestHarness::with_link_rate("edge-a", &KeyedStore::default(), &[servers[0].address], Some(1_000.0));
    rig.handler.board.note_traffic(10_000, 0);
    rig.handler.board.look_at_link();
    let refusal = refused(call(&rig, "apply").await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::NotRun, Code::Overloaded));
    assert!(refusal.retry_after.is_some(), "the caller learns when to come back");
    assert_eq!(sent(&servers), 0);
    assert!(rig.handler.board.sends_away());
    tokio::time::sleep(Duration::from_secs(3)).await;
    rig.handler.board.look_at_link();
    assert!(!rig.handler.board.sends_away(), "callers may stay once the link is free");
    assert_eq!(relayed(call(&rig, "apply").await).0, 200);
}

/// The last record is written after the last open request has ended; a request that comes meanwhile must not be sent.
#[tokio::test]
async fn stopped_instance() {
    let (rig, servers) = rig(vec![vec![vec![response(200, "", "done")]]]).await;
    assert_eq!(wait_for_open(&rig.handler.board, Duration::from_secs(60)).await, 0);
    let refusal = refused(call(&rig, "apply").await);
    assert_eq!((refusal.run, refusal.code), (RunStatus::NotRun, Code::Draining));
    assert_eq!(sent(&servers), 0);
}
