//! A store that comes back from an older copy: nothing known of documents, servers and ceilings goes backwards.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::ServiceName;
use coltsfootpick_core::units::Tokens;
use coltsfootpick_serving::blackboard::Blackboard;
use coltsfootpick_serving::credit_controller::CreditController;
use coltsfootpick_serving::document_controller::DocumentController;
use coltsfootpick_serving::interfaces::{KeyedLog, Topic};
use coltsfootpick_serving::peer_list::{PeerController, instance_record, publish_record};
use coltsfootpick_serving::server_controller::ServerController;
use coltsfootpick_serving::topic_reader::{PollPolicy, follow};
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::plain_protocol::PlainProtocol;
use coltsfootpick_testkit::request_harness::{ACCOUNT, PREPAID, RequestHarness};
use test_case::test_case;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const POLL: PollPolicy = PollPolicy { max_wait: Duration::from_secs(1), batch_pause: Duration::from_millis(50) };

/// Longer than the controllers take to read a new record.
const READ_TIME: Duration = Duration::from_millis(1_500);

/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(3);

fn read_servers(store: &KeyedStore) -> Arc<Blackboard> {
    let board = Arc::clone(&RequestHarness::start("edge-a", &KeyedStore::default(), &[]).handler.board);
    let sink = ServerController::new(Arc::clone(&board), Arc::new(PlainProtocol));
    tokio::spawn(follow(Arc::new(store.clone()), Topic::Servers, POLL, sink, CancellationToken::new()));
    board
}

fn usable_servers(board: &Blackboard) -> Vec<String> {
    let servers = board.servers.of_service(&ServiceName::from("service"));
    servers.iter().filter(|server| !server.is_leaving()).map(|server| server.entry.name.to_string()).collect()
}

fn put_server(store: &KeyedStore, name: &str, state: &str, started: u64) {
    store.put(Topic::Servers, name, Some(format!("service 127.0.0.1:1000 {state} {started}").as_bytes()));
}

#[tokio::test(start_paused = true)]
async fn left_servers() {
    let store = KeyedStore::default();
    for name in ["drained", "removed", "replaced", "stays"] {
        put_server(&store, name, "ready", 1);
    }
    let board = read_servers(&store);
    tokio::time::sleep(COPY_AGE * 2).await;
    put_server(&store, "drained", "leaving", 1);
    store.put(Topic::Servers, "removed", None);
    put_server(&store, "replaced", "leaving", 1);
    put_server(&store, "replaced", "ready", 2);
    put_server(&store, "joined", "ready", 1);
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(usable_servers(&board), ["joined", "replaced", "stays"]);
    store.restore_copy(COPY_AGE);
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(usable_servers(&board), ["joined", "replaced", "stays"], "after the older copy was read");
    let servers = board.servers.of_service(&ServiceName::from("service"));
    let replaced = servers.iter().find(|server| &*server.entry.name == "replaced").unwrap();
    assert_eq!(replaced.entry.started_at, Some(2), "an older run replaces a newer one");
    for name in ["joined", "stays", "removed"] {
        put_server(&store, name, "ready", 1);
    }
    put_server(&store, "replaced", "ready", 2);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let expected = ["joined", "removed", "replaced", "stays"];
    assert_eq!(usable_servers(&board), expected, "a server whose entry is written again is in use");
}

/// A server whose entry the older copy lacks and that does not register again has left.
#[tokio::test(start_paused = true)]
async fn missing_server() {
    let store = KeyedStore::default();
    put_server(&store, "a", "ready", 1);
    put_server(&store, "b", "ready", 1);
    put_server(&store, "c", "ready", 1);
    let board = read_servers(&store);
    tokio::time::sleep(COPY_AGE * 2).await;
    put_server(&store, "joined", "ready", 1);
    tokio::time::sleep(READ_TIME).await;
    store.restore_copy(COPY_AGE);
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(usable_servers(&board), ["a", "b", "c", "joined"], "one missing entry of four is kept");
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(usable_servers(&board), ["a", "b", "c"]);
}

#[tokio::test(start_paused = true)]
async fn older_document() {
    let store = KeyedStore::default();
    let board = Arc::clone(&RequestHarness::start("edge-a", &KeyedStore::default(), &[]).handler.board);
    let sink = DocumentController { board: Arc::clone(&board), decoder: Arc::new(PlainProtocol) };
    tokio::spawn(follow(Arc::new(store.clone()), Topic::Documents, POLL, sink, CancellationToken::new()));
    let version = || board.routes().map(|table| table.version());
    store.put(Topic::Documents, "config", Some(b"5"));
    tokio::time::sleep(COPY_AGE * 2).await;
    store.put(Topic::Documents, "config", Some(b"6"));
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(version(), Some(6));
    store.restore_copy(COPY_AGE);
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(version(), Some(6), "a withdrawn document is in force again");
    store.put(Topic::Documents, "config", Some(b"7"));
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(version(), Some(7), "documents are not read any more");
}

async fn use_all(harness: &RequestHarness, step: u64) -> u64 {
    let mut used = 0;
    loop {
        let until = Instant::now() + Duration::from_secs(2);
        let reserved = harness.handler.credit.reserve(&ACCOUNT.into(), Tokens(step), Tokens(PREPAID), until).await;
        let Ok(mut reservation) = reserved else { return used };
        reservation.set_used(Tokens(step));
        used += step;
    }
}

/// Two holders use the account to its end around the return of an older copy.
#[tokio::test(start_paused = true)]
async fn ceilings_kept() {
    let store = KeyedStore::default();
    let (first, second) = (RequestHarness::start("edge-a", &store, &[]), RequestHarness::start("edge-b", &store, &[]));
    first.wait_for_credit().await;
    second.wait_for_credit().await;
    tokio::time::sleep(COPY_AGE * 2).await;
    let mut used = use_all(&first, 50_000).await;
    assert!(used > PREPAID / 2, "{used} tokens used before the drill");
    tokio::time::sleep(Duration::from_millis(600)).await;
    store.restore_copy(COPY_AGE);
    used += use_all(&second, 20_000).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    used += use_all(&second, 500).await + use_all(&first, 500).await;
    assert!(used <= PREPAID, "{used} of {PREPAID} tokens used");
    assert!(used > PREPAID * 9 / 10, "only {used} of {PREPAID} tokens can be used after the drill");
}

/// A record that the store has acknowledged and lost before it was read is written again.
#[tokio::test(start_paused = true)]
async fn renewal_goes_on() {
    let store = KeyedStore::default();
    let harness = RequestHarness::start("edge-a", &store, &[]);
    harness.wait_for_credit().await;
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_millis(700)).await;
        store.restore_copy(Duration::from_millis(100));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let used = use_all(&harness, 10_000).await;
    assert!(used > PREPAID * 9 / 10, "only {used} of {PREPAID} tokens can be used");
}

/// Address at which nothing listens.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

#[tokio::test(start_paused = true)]
async fn instance_listed_again() {
    let store = KeyedStore::default();
    let harness = RequestHarness::start("edge-a", &store, &[]);
    let (board, credit): (_, Arc<CreditController>) = (&harness.handler.board, Arc::clone(&harness.handler.credit));
    tokio::time::sleep(COPY_AGE).await;
    let record = instance_record(&board.instance, NOWHERE, NOWHERE, credit.holder());
    let shared: Arc<dyn KeyedLog> = Arc::new(store.clone());
    publish_record(Arc::clone(&shared), record.clone(), CancellationToken::new()).await;
    let forwarder = Arc::clone(&harness.handler.forwarder);
    let sink = PeerController::new(Arc::clone(board), credit, forwarder, Arc::clone(&shared), record.clone());
    tokio::spawn(follow(shared, Topic::Instances, POLL, sink, CancellationToken::new()));
    tokio::time::sleep(READ_TIME).await;
    store.restore_copy(COPY_AGE);
    assert!(store.latest_values(Topic::Instances).is_empty());
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(store.latest_values(Topic::Instances).get("edge-a"), record.value.as_ref());
}

/// All instances lose power at the moment at which the store loses its newest records, and start from the older copy.
#[test_case(1; "one power cut")]
#[test_case(3; "one after another")]
#[tokio::test(start_paused = true)]
async fn power_lost_with_disks(cuts: usize) {
    let store = KeyedStore::default();
    let start = || ["edge-a", "edge-b"].map(|name| RequestHarness::start(name, &store, &[]));
    let mut fleet = start();
    let mut used = 0;
    for _ in 0..cuts {
        for instance in &fleet {
            instance.wait_for_credit().await;
        }
        tokio::time::sleep(COPY_AGE * 2).await;
        used += use_part(&fleet[0], 20_000).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        used += use_part(&fleet[1], 20_000).await;
        for instance in &fleet {
            instance.stop.cancel();
        }
        store.restore_copy(COPY_AGE);
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet = start();
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    for instance in &fleet {
        used += use_all(instance, 500).await;
    }
    assert!(used <= PREPAID, "{used} of {PREPAID} tokens used");
    assert!(used > PREPAID / 2, "only {used} of {PREPAID} tokens can be used after the power cut");
}

/// Uses up to a tenth of the account.
async fn use_part(harness: &RequestHarness, step: u64) -> u64 {
    let mut used = 0;
    while used < PREPAID / 10 {
        let until = Instant::now() + Duration::from_millis(500);
        let reserved = harness.handler.credit.reserve(&ACCOUNT.into(), Tokens(step), Tokens(PREPAID), until).await;
        let Ok(mut reservation) = reserved else { break };
        reservation.set_used(Tokens(step));
        used += step;
    }
    used
}
