//! Reading topics: documents never go back to an older version, and server entries that lapse during an outage are kept
//! for a grace period.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::ServiceName;
use coltsfootpick_serving::blackboard::Blackboard;
use coltsfootpick_serving::document_controller::DocumentController;
use coltsfootpick_serving::interfaces::Topic;
use coltsfootpick_serving::server_controller::ServerController;
use coltsfootpick_serving::topic_reader::{PollPolicy, follow};
use coltsfootpick_testkit::keyed_store::{KeyedStore, StoreFault};
use coltsfootpick_testkit::plain_protocol::PlainProtocol;
use coltsfootpick_testkit::request_harness::RequestHarness;
use test_case::test_case;
use tokio_util::sync::CancellationToken;

const POLL: PollPolicy = PollPolicy { max_wait: Duration::from_secs(1), batch_pause: Duration::from_millis(50) };

/// Longer than the controllers take to read a new record.
const READ_TIME: Duration = Duration::from_millis(1_500);

fn board() -> Arc<Blackboard> {
    Arc::clone(&RequestHarness::start("edge-a", &KeyedStore::default(), &[]).handler.board)
}

fn read_servers(store: &KeyedStore) -> Arc<Blackboard> {
    let board = board();
    let sink = ServerController::new(Arc::clone(&board), Arc::new(PlainProtocol));
    tokio::spawn(follow(Arc::new(store.clone()), Topic::Servers, POLL, sink, CancellationToken::new()));
    board
}

fn usable_servers(board: &Blackboard) -> Vec<String> {
    let servers = board.servers.of_service(&ServiceName::from("service"));
    servers.iter().filter(|server| !server.is_leaving()).map(|server| server.entry.name.to_string()).collect()
}

fn put_server(store: &KeyedStore, name: &str, entry: &str) {
    store.put(Topic::Servers, name, Some(entry.as_bytes()));
}

const READY_ENTRY: &str = "service 127.0.0.1:1000 ready 1";

#[tokio::test(start_paused = true)]
async fn listed_servers() {
    let store = KeyedStore::default();
    put_server(&store, "a", READY_ENTRY);
    let board = read_servers(&store);
    tokio::time::sleep(READ_TIME).await;
    put_server(&store, "b", READY_ENTRY);
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(usable_servers(&board), ["a", "b"]);
    put_server(&store, "a", "service 127.0.0.1:1000 leaving 1");
    store.put(Topic::Servers, "b", None);
    tokio::time::sleep(READ_TIME).await;
    assert!(usable_servers(&board).is_empty(), "leaving and removed servers get no work");
}

#[tokio::test(start_paused = true)]
async fn replaced_server() {
    let store = KeyedStore::default();
    put_server(&store, "a", "service 127.0.0.1:1000 leaving 1");
    let board = read_servers(&store);
    tokio::time::sleep(READ_TIME).await;
    put_server(&store, "a", "service 127.0.0.1:1000 ready 2");
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(usable_servers(&board), ["a"], "a server restarted under its old name gets work again");
}

#[test_case("service nowhere ready 1"; "address")]
#[test_case("x"; "shape")]
#[test_case(""; "empty")]
#[tokio::test(start_paused = true)]
async fn malformed_entry(entry: &str) {
    let store = KeyedStore::default();
    put_server(&store, "a", READY_ENTRY);
    put_server(&store, "b", entry);
    let board = read_servers(&store);
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(usable_servers(&board), ["a"], "a malformed entry does not affect the others");
}

/// Guards against keeping a server whose entry was removed while the store could not be read.
#[tokio::test(start_paused = true)]
async fn removed_in_outage() {
    let store = KeyedStore::default();
    for name in ["a", "b", "c"] {
        put_server(&store, name, READY_ENTRY);
    }
    let board = read_servers(&store);
    tokio::time::sleep(READ_TIME).await;
    store.put(Topic::Servers, "c", None);
    store.set_fault(StoreFault::Silent);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        usable_servers(&board),
        ["a", "b"],
        "one of three servers is missing after the outage, so it was removed"
    );
}

#[tokio::test(start_paused = true)]
async fn lapsed_entry() {
    let store = KeyedStore::default();
    put_server(&store, "a", READY_ENTRY);
    put_server(&store, "b", READY_ENTRY);
    let board = read_servers(&store);
    tokio::time::sleep(READ_TIME).await;
    store.set_fault(StoreFault::Silent);
    tokio::time::sleep(Duration::from_secs(5)).await;
    store.put(Topic::Servers, "a", None);
    store.put(Topic::Servers, "b", None);
    assert_eq!(usable_servers(&board), ["a", "b"], "known servers stay in use during the outage");
    store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    put_server(&store, "a", READY_ENTRY);
    assert_eq!(usable_servers(&board), ["a", "b"], "servers have two seconds to register again");
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(usable_servers(&board), ["a"], "a server that did not register again is removed");
}

#[tokio::test(start_paused = true)]
async fn trimmed_topic() {
    let store = KeyedStore::default();
    put_server(&store, "a", READY_ENTRY);
    put_server(&store, "b", READY_ENTRY);
    let board = read_servers(&store);
    tokio::time::sleep(READ_TIME).await;
    store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(300)).await;
    store.put(Topic::Servers, "b", None);
    put_server(&store, "c", READY_ENTRY);
    store.trim(Topic::Servers);
    store.set_fault(StoreFault::None);
    tokio::time::sleep(READ_TIME).await;
    assert_eq!(usable_servers(&board), ["a", "c"], "a server removed in the unread records is gone");
}

#[tokio::test(start_paused = true)]
async fn newer_document() {
    let store = KeyedStore::default();
    let board = board();
    let sink = DocumentController { board: Arc::clone(&board), decoder: Arc::new(PlainProtocol) };
    tokio::spawn(follow(Arc::new(store.clone()), Topic::Documents, POLL, sink, CancellationToken::new()));
    let version = || board.routes().map(|table| table.version());
    for (text, expected) in [("5", 5), ("not a version", 5), ("4", 5), ("9", 9)] {
        store.put(Topic::Documents, "config", Some(text.as_bytes()));
        tokio::time::sleep(READ_TIME).await;
        assert_eq!(version(), Some(expected), "after {text:?}");
    }
}
