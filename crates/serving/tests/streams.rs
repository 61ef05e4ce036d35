//! Streamed answers: whole events, in order, each once.

use std::time::Duration;

use coltsfootpick_core::refusal::RunStatus;
use coltsfootpick_serving::answer::{Answer, AnswerBody};
use coltsfootpick_serving::stream::EventCutter;
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::request_harness::{ACCOUNT, RequestHarness, request};
use coltsfootpick_testkit::scripted_server::{
    Script, ScriptedServer, ServerAction, chunk, chunked_head, event, header, stream_head,
};
use futures_util::StreamExt;

async fn rig(scripts: Vec<Script>) -> (RequestHarness, Vec<ScriptedServer>) {
    let mut servers = Vec::new();
    for script in scripts {
        servers.push(ScriptedServer::start(script).await);
    }
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let rig = RequestHarness::start("edge-a", &KeyedStore::default(), &addresses);
    rig.wait_for_credit().await;
    (rig, servers)
}

/// What the caller got, and whether it ended as it should.
async fn read(answer: Answer) -> (String, bool) {
    let Answer::Relayed(_, AnswerBody::Events(mut events)) = answer else { panic!("no stream: {answer:?}") };
    let mut text = String::new();
    while let Some(piece) = events.next().await {
        match piece {
            Ok(bytes) => text.push_str(std::str::from_utf8(&bytes).unwrap()),
            Err(_) => return (text, false),
        }
    }
    (text, true)
}

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(event).collect()
}

fn whole(range: std::ops::RangeInclusive<u64>) -> Vec<ServerAction> {
    vec![chunked_head(), chunk(&events(range)), ServerAction::Write("0\r\n\r\n".to_owned())]
}

#[tokio::test]
async fn whole_stream() {
    let (rig, _servers) = rig(vec![vec![whole(1..=4)]]).await;
    assert_eq!(read(rig.handler.serve(request("ask")).await).await, (events(1..=4), true));
    let (used, reserved, _) = rig.handler.keeper.view(&ACCOUNT.into());
    assert_eq!((used.0, reserved.0), (100 + 4 * 5, 0), "the prompt and four events of five tokens are charged");
}

#[tokio::test]
async fn unframed_end() {
    let (rig, _servers) =
        rig(vec![vec![vec![stream_head(), ServerAction::Write(events(1..=2)), ServerAction::Close]]]).await;
    assert_eq!(read(rig.handler.serve(request("ask")).await).await, (events(1..=2), true));
}

#[tokio::test]
async fn torn_event() {
    let torn = vec![chunked_head(), chunk(&events(1..=2)), chunk("id: 3\nda"), ServerAction::Close];
    let (rig, servers) = rig(vec![vec![torn.clone()], vec![torn]]).await;
    let (text, is_whole) = read(rig.handler.serve(request("ask")).await).await;
    assert_eq!((text, is_whole), (events(1..=2), false), "a torn event is not handed on");
    let sent: usize = servers.iter().map(|server| server.recorded().requests.len()).sum();
    assert_eq!(sent, 1, "a stream that must not repeat is not asked for again");
    let (used, _, _) = rig.handler.keeper.view(&ACCOUNT.into());
    assert_eq!(used.0, 150, "a stream that broke off is charged in full");
}

#[tokio::test]
async fn resumed_stream() {
    let torn = vec![chunked_head(), chunk(&events(1..=3)), chunk("id: 4\ndata: pie"), ServerAction::Close];
    let (rig, servers) = rig(vec![vec![torn], vec![whole(4..=6)]]).await;
    let answer = rig.handler.serve(request("explain")).await;
    assert_eq!(read(answer).await, (events(1..=6), true));
    let second = servers[1].recorded().requests;
    assert_eq!(header(&second[0], "x-resumes").as_deref(), Some("3"), "{second:?}");
}

#[tokio::test]
async fn break_before() {
    let (rig, _servers) = rig(vec![vec![vec![chunked_head(), ServerAction::Close]]]).await;
    let Answer::Refused(refusal) = rig.handler.serve(request("ask")).await else { panic!("no event came") };
    assert_eq!(refusal.run, RunStatus::Ran);
}

#[tokio::test]
async fn caller_leaves() {
    let endless = vec![chunked_head(), chunk(&events(1..=1)), ServerAction::Wait(Duration::from_secs(30))];
    let (rig, servers) = rig(vec![vec![endless]]).await;
    let answer = rig.handler.serve(request("ask")).await;
    drop(answer);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(servers[0].recorded().closed, 1, "the server is told to stop");
    let (used, reserved, _) = rig.handler.keeper.view(&ACCOUNT.into());
    assert!(used.0 >= 105 && used.0 <= 150 && reserved.0 == 0, "{used} {reserved}");
}

#[test]
fn cutter_pieces() {
    let text = events(1..=3);
    for size in 1..text.len() {
        let mut cutter = EventCutter::default();
        let mut out = Vec::new();
        for piece in text.as_bytes().chunks(size) {
            out.extend(cutter.push(piece).unwrap_or_default());
        }
        assert_eq!((out.as_slice(), cutter.events(), cutter.last()), (text.as_bytes(), 3, Some("3")), "size {size}");
        assert!(!cutter.is_torn());
    }
}
