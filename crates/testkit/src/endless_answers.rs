//! Servers that send bytes without end, and an instance before one of them.

use coltsfootpick_core::refusal::{Code, Refusal, RunStatus};
use coltsfootpick_serving::outcome::{RequestOutcome, ResponseBody};
use futures_util::StreamExt;

use crate::keyed_store::KeyedStore;
use crate::request_harness::{RequestHarness, request};
use crate::scripted_server::{ScriptedServer, ServerAction, chunk, chunked_head, event};

fn head(fields: &str) -> ServerAction {
    ServerAction::Write(format!("HTTP/1.1 200 OK\r\nx-id: $ID\r\n{fields}"))
}

fn forever(text: &str) -> ServerAction {
    ServerAction::WriteForever(text.to_owned())
}

/// Script of a server that sends a head without end.
pub fn endless_head() -> Vec<ServerAction> {
    vec![head(""), forever("x-filler: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n")]
}

/// Bytes of one block of filler.
const BLOCK: usize = 16 << 10;

fn filler_chunk() -> ServerAction {
    forever(&format!("{BLOCK:x}\r\n{}\r\n", "y".repeat(BLOCK)))
}

/// Script of a server that sends a body without length and without end.
pub fn endless_body() -> Vec<ServerAction> {
    vec![head("connection: close\r\n\r\n"), forever(&"y".repeat(BLOCK))]
}

/// Script of a server that sends chunks without end.
pub fn endless_chunks() -> Vec<ServerAction> {
    vec![head("transfer-encoding: chunked\r\n\r\n"), filler_chunk()]
}

/// Script of a server that sends one event and then another one without end.
pub fn endless_event() -> Vec<ServerAction> {
    vec![chunked_head(), chunk(&event(1)), filler_chunk()]
}

/// Script of a server that sends events without end.
pub fn endless_events() -> Vec<ServerAction> {
    vec![chunked_head(), forever("a\r\ndata: yy\n\n\r\n")]
}

/// Starts an instance with credit and one server that answers from `script`.
pub async fn start_harness(script: Vec<ServerAction>) -> (RequestHarness, ScriptedServer) {
    let server = ScriptedServer::start(vec![script]).await;
    let harness = RequestHarness::start("edge-a", &KeyedStore::default(), &[server.address]);
    harness.wait_for_credit().await;
    (harness, server)
}

/// Serves one request to its end; true if the answer was complete.
///
/// # Panics
///
/// Panics if the request is refused as not run, or if the answer went on until the deadline.
pub async fn is_complete(harness: &RequestHarness, route: &str) -> bool {
    match harness.handler.serve(request(route)).await {
        RequestOutcome::Refused(Refusal { run, code, .. }) => {
            assert_ne!(run, RunStatus::NotRun, "a request that was sent is called not run");
            assert_ne!(code, Code::DeadlinePassed, "the answer went on until the deadline");
            false
        }
        RequestOutcome::Relayed(_, ResponseBody::Buffered(_)) => true,
        RequestOutcome::Relayed(_, ResponseBody::Events(mut events)) => {
            while let Some(event) = events.next().await {
                if event.is_err() {
                    return false;
                }
            }
            true
        }
    }
}
