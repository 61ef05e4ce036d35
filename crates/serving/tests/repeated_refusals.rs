//! A faulty server writes an earlier refusal once more on a kept connection: no caller is told "not run" for what has run, and
//! no request that must not repeat goes to a second server.

use std::time::Duration;

use coltsfootpick_core::refusal::{Refusal, RunStatus};
use coltsfootpick_serving::outcome::{RequestOutcome, ResponseBody};
use coltsfootpick_serving::request::CallerRequest;
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::request_harness::{RequestHarness, request};
use coltsfootpick_testkit::scripted_server::{Script, ScriptedServer, ServerAction, response};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Length of a body that no buffer of a connection holds, in bytes.
const LONG_BODY: usize = 8 << 20;

/// Refusal that names no request.
const UNNAMED: &str = "HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// Answer of another server at the address, which names no request either.
const OTHER_SERVER: &str = "HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n";

/// Refusal of an earlier request.
const NAMED: &str = "HTTP/1.1 503 X\r\nx-id: earlier\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// Beginning of a refusal whose rest never comes.
const TORN: &str = "HTTP/1.1 503 X\r\nx-not-ru";

/// When the refusal is written, seen from the second request on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Moment {
    /// Behind the first answer, in one piece with it.
    WithAnswer,
    /// While the connection is idle.
    Idle,
    /// Once the second request was read, which is run.
    Running,
}

async fn start(first: Script, second: Script) -> (RequestHarness, [ScriptedServer; 2]) {
    let servers = [ScriptedServer::start(first).await, ScriptedServer::start(second).await];
    let harness = RequestHarness::start("edge-a", &KeyedStore::default(), &[servers[0].address]);
    harness.wait_for_credit().await;
    (harness, servers)
}

fn arrivals(server: &ScriptedServer) -> usize {
    server.recorded().requests.len()
}

fn ended(outcome: RequestOutcome) -> Result<String, Refusal> {
    match outcome {
        RequestOutcome::Relayed(_, ResponseBody::Buffered(body)) => Ok(String::from_utf8_lossy(&body).into_owned()),
        RequestOutcome::Relayed(..) => Ok(String::new()),
        RequestOutcome::Refused(refusal) => Err(refusal),
    }
}

#[test_case(UNNAMED, Moment::WithAnswer)]
#[test_case(UNNAMED, Moment::Idle)]
#[test_case(UNNAMED, Moment::Running)]
#[test_case(OTHER_SERVER, Moment::WithAnswer)]
#[test_case(OTHER_SERVER, Moment::Idle)]
#[test_case(OTHER_SERVER, Moment::Running)]
#[test_case(NAMED, Moment::WithAnswer)]
#[test_case(NAMED, Moment::Idle)]
#[test_case(NAMED, Moment::Running)]
#[test_case(TORN, Moment::WithAnswer)]
#[test_case(TORN, Moment::Idle)]
#[tokio::test]
async fn not_run_is_true(refusal: &str, moment: Moment) {
    let written = ServerAction::Write(refusal.to_owned());
    let pause = ServerAction::Wait(Duration::from_millis(40));
    let ServerAction::Write(answer) = response(200, "", "first") else { panic!("a response is written") };
    let (first, later) = match moment {
        Moment::WithAnswer => (vec![ServerAction::Write(format!("{answer}{refusal}"))], vec![]),
        Moment::Idle => (vec![ServerAction::Write(answer), pause.clone(), written], vec![]),
        Moment::Running => (vec![ServerAction::Write(answer)], vec![written, pause.clone()]),
    };
    let second = [later, vec![response(200, "", "second")]].concat();
    let whole = vec![vec![response(200, "", "elsewhere")]];
    let (harness, servers) = start(vec![first, second], whole).await;
    assert_eq!(ended(harness.handler.serve(request("apply")).await).unwrap(), "first");
    let other = coltsfootpick_testkit::request_harness::server_entry("b", servers[1].address);
    tokio::time::sleep(Duration::from_millis(80)).await;
    let serving = tokio::spawn({
        let handler = harness.handler.clone();
        async move { handler.serve(request("apply")).await }
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    harness.handler.board.servers.put(other);
    let outcome = ended(serving.await.unwrap());
    tokio::time::sleep(Duration::from_millis(80)).await;
    let runs = arrivals(&servers[0]) - 1 + arrivals(&servers[1]);
    match &outcome {
        Ok(_) => assert_eq!(runs, 1, "{outcome:?}"),
        Err(refusal) => {
            let allowed = if refusal.run == RunStatus::NotRun { 0..=0 } else { 0..=1 };
            assert!(allowed.contains(&runs), "{runs} runs although the caller was told {refusal}");
        }
    }
}

/// The refusal comes while the body of the next request is still being written, which the server then reads and runs.
#[tokio::test]
async fn within_long_body() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let ran = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let (mut buffer, mut text) = (vec![0; 16 << 10], String::new());
        while !text.ends_with("body") {
            let count = stream.read(&mut buffer).await.unwrap();
            text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
        }
        let id = coltsfootpick_testkit::scripted_server::header(&text, "x-id").unwrap();
        let answer = format!("HTTP/1.1 200 X\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nok");
        stream.write_all(answer.as_bytes()).await.unwrap();
        let mut received = stream.read(&mut buffer).await.unwrap();
        stream.write_all(UNNAMED.as_bytes()).await.unwrap();
        while received < LONG_BODY {
            match stream.read(&mut buffer).await {
                Ok(count) if count > 0 => received += count,
                _ => return false,
            }
        }
        true
    });
    let harness = RequestHarness::start("edge-a", &KeyedStore::default(), &[address]);
    harness.wait_for_credit().await;
    assert_eq!(ended(harness.handler.serve(request("apply")).await).unwrap(), "ok");
    let body = bytes::Bytes::from(vec![b'x'; LONG_BODY]);
    let refusal = ended(harness.handler.serve(CallerRequest { body, ..request("apply") }).await).unwrap_err();
    let has_run = ran.await.unwrap();
    assert_eq!(refusal.run, RunStatus::MayHaveRun, "run={has_run} {refusal}");
}

/// A refusal that names the request is believed, on a kept connection too, and one on a new connection in any case.
#[test_case(true, true; "named on a kept connection")]
#[test_case(true, false; "named on a new connection")]
#[test_case(false, false; "unnamed on a new connection")]
#[tokio::test]
async fn true_refusal(is_named: bool, is_kept: bool) {
    let refusal = match is_named {
        true => response(503, "x-not-run: 1\r\n", ""),
        false => ServerAction::Write(UNNAMED.to_owned()),
    };
    let (harness, servers) = start(vec![vec![response(200, "", "first")], vec![refusal]], vec![]).await;
    assert!(ended(harness.handler.serve(request("apply")).await).is_ok());
    if !is_kept {
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let refusal = ended(harness.handler.serve(request("apply")).await).unwrap_err();
    assert_eq!((refusal.run, servers[0].recorded().connections), (RunStatus::NotRun, 2 - usize::from(is_kept)));
}

/// A request that another instance has sent to this server before does not go over a kept connection, on which the refusal of
/// that sending may come once more.
#[tokio::test]
async fn forwarded_after_refusal() {
    let answers = vec![vec![response(200, "", "first")], vec![response(200, "", "second")]];
    let (harness, servers) = start(answers, vec![]).await;
    assert!(ended(harness.handler.serve(request("apply")).await).is_ok());
    let forwarded = CallerRequest { ..request("read") };
    assert_eq!(ended(harness.handler.serve_forwarded(forwarded, 1).await).unwrap(), "second");
    assert_eq!(servers[0].recorded().connections, 2);
}
