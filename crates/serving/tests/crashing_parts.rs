//! Prompt parts that crash every server that begins to answer on them.

use std::time::Duration;

use coltsfootpick_core::names::BackendServerName;
use coltsfootpick_core::refusal::Refusal;
use coltsfootpick_core::selection::{Generation, PromptPart};
use coltsfootpick_core::units::Tokens;
use coltsfootpick_serving::outcome::{RequestOutcome, ResponseBody};
use coltsfootpick_serving::request::CallerRequest;
use coltsfootpick_testkit::keyed_store::{KeyedStore, StoreFault};
use coltsfootpick_testkit::request_harness::{RequestHarness, request, server_entry};
use coltsfootpick_testkit::scripted_server::{ScriptedServer, ServerAction, chunk, chunked_head, event};
use futures_util::StreamExt;
use test_case::test_case;

/// Part that many sound requests share.
const COMMON: u64 = 1;

/// Part that crashes servers.
const BAD: u64 = 2;

/// Time within which all instances must have learned of the fifth crash.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Chunked head without a body.
const HEAD: &str = "HTTP/1.1 200 X\r\nx-id: $ID\r\ntransfer-encoding: chunked\r\n\r\n";

/// Head without length or chunks.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 X\r\nx-id: $ID\r\nconnection: close\r\n\r\n";

/// Request on a resumable stream whose prompt has `shared` parts and a part and a body of its own.
fn ask(shared: &[u64]) -> CallerRequest {
    let own: u64 = rand::random();
    let parts = shared.iter().copied().chain([own]).map(|id| PromptPart { id, tokens: 10 });
    let generation = Generation { prompt: Tokens(100), output: Tokens(50), parts: parts.collect() };
    let body = bytes::Bytes::from(own.to_string());
    CallerRequest { generation: Some(generation), body, ..request("explain") }
}

/// Answers with a whole stream.
async fn sound_server() -> ScriptedServer {
    let end = ServerAction::Write("0\r\n\r\n".to_owned());
    ScriptedServer::start(vec![vec![chunked_head(), chunk(&event(1)), chunk(&event(2)), end]]).await
}

/// Serves a request and reads its response to the end; the error is the refusal, or `None` for a broken stream.
async fn call(harness: &RequestHarness, request: CallerRequest) -> Result<(), Option<Refusal>> {
    match harness.handler.serve(request).await {
        RequestOutcome::Refused(refusal) => Err(Some(refusal)),
        RequestOutcome::Relayed(_, ResponseBody::Buffered(_)) => Ok(()),
        RequestOutcome::Relayed(_, ResponseBody::Events(mut events)) => {
            while let Some(piece) = events.next().await {
                if piece.is_err() {
                    return Err(None);
                }
            }
            Ok(())
        }
    }
}

struct CrashingFleet {
    store: KeyedStore,
    instances: Vec<RequestHarness>,
    crashes: usize,
}

impl CrashingFleet {
    /// Starts three instances that share a store.
    async fn start() -> Self {
        let store = KeyedStore::default();
        let instances = ["edge-a", "edge-b", "edge-c"].map(|name| RequestHarness::start(name, &store, &[]));
        for instance in &instances {
            instance.wait_for_credit().await;
        }
        Self { store, instances: instances.into(), crashes: 0 }
    }

    /// Replaces the servers of all instances by one.
    fn use_server(&self, name: &str, server: &ScriptedServer) {
        for instance in &self.instances {
            let servers = &instance.handler.board.servers;
            for known in servers.names() {
                servers.remove(&known);
            }
            servers.put(server_entry(name, server.address));
        }
    }

    /// Sends a request with `shared` parts at the next instance to a server that crashes.
    async fn crash(&mut self, shared: &[u64], last_words: &str) {
        let server = ScriptedServer::start_crashing(last_words).await;
        let name = BackendServerName::from(format!("crashing-{}", self.crashes));
        self.use_server(&name, &server);
        let instance = &self.instances[self.crashes % self.instances.len()];
        assert!(call(instance, ask(shared)).await.is_err());
        self.crashes += 1;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }

    /// Number of requests with the bad part that reach a server, of one at each instance.
    async fn sent(&self) -> usize {
        let sound = sound_server().await;
        self.use_server("sound again", &sound);
        self.served(&[COMMON, BAD], 1).await;
        sound.recorded().requests.len()
    }

    /// Sends `count` requests with `shared` parts to each instance, and returns how many were served.
    async fn served(&self, shared: &[u64], count: usize) -> usize {
        let mut served = 0;
        for instance in &self.instances {
            for _ in 0..count {
                served += usize::from(call(instance, ask(shared)).await.is_ok());
            }
        }
        served
    }
}

#[test_case(""; "before the head")]
#[test_case(HEAD; "after the head")]
#[test_case(UNFRAMED_HEAD; "after a head without length")]
#[tokio::test]
async fn shared_part_convicted(last_words: &str) {
    let mut fleet = CrashingFleet::start().await;
    let sound = sound_server().await;
    fleet.use_server("sound", &sound);
    assert_eq!(fleet.served(&[COMMON], 2).await, 6);
    for _ in 0..5 {
        fleet.crash(&[COMMON, BAD], last_words).await;
    }
    tokio::time::sleep(STABLE_WINDOW).await;
    let sound = sound_server().await;
    fleet.use_server("sound again", &sound);
    fleet.served(&[COMMON, BAD], 2).await;
    let sent = sound.recorded().requests.len();
    assert!(sent <= 3, "{sent} requests reached servers");
    assert_eq!(fleet.served(&[COMMON], 5).await, 15, "sound requests share the first part");
}

/// While the store is away, what an instance saw stays there; it is told once the store is back.
#[tokio::test]
async fn told_after_outage() {
    let mut fleet = CrashingFleet::start().await;
    fleet.store.set_fault(StoreFault::Silent);
    for _ in 0..3 {
        fleet.crash(&[COMMON, BAD], HEAD).await;
    }
    fleet.store.set_fault(StoreFault::None);
    tokio::time::sleep(STABLE_WINDOW).await;
    assert_eq!(fleet.sent().await, 0);
}

/// A store that comes back from an older copy is told again, so that an instance that starts later knows.
#[tokio::test]
async fn told_after_older_copy() {
    let mut fleet = CrashingFleet::start().await;
    let started = std::time::Instant::now();
    for _ in 0..3 {
        fleet.crash(&[COMMON, BAD], HEAD).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.store.restore_copy(started.elapsed());
    tokio::time::sleep(STABLE_WINDOW).await;
    let next = RequestHarness::start("edge-d", &fleet.store, &[]);
    next.wait_for_credit().await;
    fleet.instances = vec![next];
    assert_eq!(fleet.sent().await, 0);
}
