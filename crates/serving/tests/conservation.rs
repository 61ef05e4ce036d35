//! What an instance settles for a generation covers what servers can have counted, however the request ends.

use std::time::Duration;

use coltsfootpick_core::selection::Generation;
use coltsfootpick_core::units::Tokens;
use coltsfootpick_serving::outcome::{RequestOutcome, ResponseBody};
use coltsfootpick_serving::request::CallerRequest;
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::relay::TcpRelay;
use coltsfootpick_testkit::request_harness::{ACCOUNT, RequestHarness, request, server_entry};
use coltsfootpick_testkit::scripted_server::{
    ScriptedServer, ServerAction, chunk, chunked_head, event, response, stream_head,
};
use futures_util::StreamExt;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;
use tokio::time::sleep;

/// Tokens of one event, as the harness's document states them.
const EVENT_TOKENS: u64 = 5;

const PROMPT_TOKENS: u64 = 100;

/// Events of a whole answer.
const EVENTS_MAX: u64 = 100;

/// Time in which everything that a server has written reaches the instance.
const PAUSE: Duration = Duration::from_millis(60);

/// What the caller does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Caller {
    /// Reads the answer to its end.
    Stays,
    /// Leaves before it received the head of the answer.
    LeavesEarly,
    /// Leaves after the first events, while more have arrived at the instance.
    LeavesMidway,
}

/// How the first server's answer ends; `sent` events are relayed, and `more` events after them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    /// All events, in chunks.
    Whole,
    /// All events in chunks, the first ones after a pause.
    Slow,
    /// All events in a body with a length.
    Buffered,
    /// An error with some events in its body.
    Failure,
    /// A connection without length or chunks that ends after an event.
    Unframed,
    /// A chunked body that ends within an event.
    Partial,
    /// A connection that the network closes after it has lost the later events.
    Lost,
    /// A promise that the request did not run.
    NotRun,
}

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(event).collect()
}

fn last_chunk() -> ServerAction {
    ServerAction::Write("0\r\n\r\n".to_owned())
}

fn ask(route: &str) -> CallerRequest {
    let output = Tokens(EVENTS_MAX * EVENT_TOKENS);
    let generation = Generation { prompt: Tokens(PROMPT_TOKENS), output, parts: Vec::new() };
    CallerRequest { generation: Some(generation), ..request(route) }
}

/// Script of the first server.
fn script(answer: Answer, sent: u64, more: u64) -> Vec<ServerAction> {
    let (first, later) = (events(1..=sent), events(sent + 1..=sent + more));
    let wait = ServerAction::Wait(PAUSE);
    let rest = [chunk(&events(sent + 1..=EVENTS_MAX)), last_chunk()];
    match answer {
        Answer::Whole => [vec![chunked_head(), chunk(&first), wait], rest.to_vec()].concat(),
        Answer::Slow => [vec![wait, chunked_head(), chunk(&first)], rest.to_vec()].concat(),
        Answer::Buffered => vec![response(200, "", &events(1..=EVENTS_MAX))],
        Answer::Failure => vec![response(500, "", &first)],
        Answer::Unframed => vec![stream_head(), ServerAction::Write(first), ServerAction::Close],
        Answer::Partial => {
            vec![chunked_head(), chunk(&first), wait, chunk(&later), chunk("id: 0\nda"), ServerAction::Close]
        }
        Answer::Lost => {
            let (sending, losing) = (vec![chunked_head(), chunk(&first)], vec![chunk(&later)]);
            [sending, vec![wait.clone(); 2], losing, vec![wait; 2], vec![ServerAction::Close]].concat()
        }
        Answer::NotRun => vec![response(503, "x-not-run: 1\r\n", "")],
    }
}

/// Lets the network lose what the first server sends after its first events, and then close the connection.
async fn lose_rest(relay: &TcpRelay) {
    sleep(PAUSE).await;
    relay.drop_responses(true);
    sleep(PAUSE * 2).await;
    relay.drop_responses(false);
    relay.close_connections();
}

async fn read_answer(outcome: RequestOutcome, caller: Caller) {
    let RequestOutcome::Relayed(_, ResponseBody::Events(mut pieces)) = outcome else { return };
    while let Some(Ok(_)) = pieces.next().await {
        if caller == Caller::LeavesMidway {
            return sleep(PAUSE * 3).await;
        }
    }
}

/// Plays one request and returns the tokens that the servers count and those that the instance settles.
async fn play(route: &str, answer: Answer, caller: Caller, random: &mut StdRng) -> (u64, u64) {
    let (sent, more) = (random.random_range(1..30), random.random_range(11..60));
    let first = ScriptedServer::start(vec![script(answer, sent, more)]).await;
    let relay = TcpRelay::start(first.address).await.unwrap();
    let harness = RequestHarness::start("edge-a", &KeyedStore::default(), &[relay.address]);
    harness.wait_for_credit().await;
    let faults = async {
        if answer == Answer::Lost {
            lose_rest(&relay).await;
        }
    };
    // The second server, which is listed once the first one has answered, resumes the stream after the relayed events.
    let resumed = if answer == Answer::Partial { sent + more } else { sent };
    let rest = vec![chunked_head(), chunk(&events(resumed + 1..=EVENTS_MAX)), last_chunk()];
    let second = ScriptedServer::start(vec![rest]).await;
    let calls = async {
        let mut serving = Box::pin(harness.handler.serve(ask(route)));
        match tokio::time::timeout(PAUSE / 2, &mut serving).await {
            Ok(outcome) => {
                harness.handler.board.servers.put(server_entry("b", second.address));
                read_answer(outcome, caller).await;
            }
            // The handler is not polled meanwhile, as in an instance that has no processor time.
            Err(_) if caller == Caller::LeavesEarly => std::thread::sleep(PAUSE * 3),
            Err(_) => read_answer(serving.await, caller).await,
        }
    };
    tokio::join!(calls, faults);
    sleep(PAUSE).await;
    let runs = |server: &ScriptedServer| server.recorded().requests.len() as u64;
    let ran = answer != Answer::NotRun && runs(&first) + runs(&second) > 0;
    let written = first.recorded().events + second.recorded().events;
    let (used, reserved, _) = harness.handler.credit.account_usage(&ACCOUNT.into());
    assert_eq!(reserved.0, 0, "the request has ended");
    harness.stop.cancel();
    (u64::from(ran) * PROMPT_TOKENS + written * EVENT_TOKENS, used.0)
}

#[test_case("ask", Answer::Whole, Caller::Stays; "whole")]
#[test_case("ask", Answer::Whole, Caller::LeavesMidway; "caller leaves midway")]
#[test_case("ask", Answer::Slow, Caller::LeavesEarly; "caller leaves early")]
#[test_case("read", Answer::Buffered, Caller::Stays; "buffered answer")]
#[test_case("ask", Answer::Failure, Caller::Stays; "failure with events")]
#[test_case("ask", Answer::Unframed, Caller::Stays; "unframed end")]
#[test_case("ask", Answer::Partial, Caller::Stays; "partial event")]
#[test_case("explain", Answer::Partial, Caller::Stays; "resumed after a partial event")]
#[test_case("explain", Answer::Lost, Caller::Stays; "resumed after lost events")]
#[test_case("explain", Answer::Lost, Caller::LeavesMidway; "caller leaves after lost events")]
#[test_case("ask", Answer::NotRun, Caller::Stays; "not run")]
#[tokio::test(flavor = "multi_thread")]
async fn settled_covers_counted(route: &str, answer: Answer, caller: Caller) {
    for seed in 0..3 {
        let (counted, settled) = play(route, answer, caller, &mut StdRng::seed_from_u64(seed)).await;
        assert!(settled >= counted, "seed {seed}: servers count {counted} tokens, {settled} are settled");
        assert!(
            answer != Answer::NotRun || settled == 0,
            "seed {seed}: {settled} tokens of a request that did not run"
        );
    }
}
