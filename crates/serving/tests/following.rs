//! Following the store: documents only move forward, entries that lapse in an outage are kept for a while.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::ServiceName;
use coltsfootpick_serving::board::Board;
use coltsfootpick_serving::borders::Topic;
use coltsfootpick_serving::document::DocumentKeeper;
use coltsfootpick_serving::feed::{FeedPace, follow};
use coltsfootpick_serving::registry::ServerKeeper;
use coltsfootpick_testkit::keyed_store::{KeyedStore, StoreFault};
use coltsfootpick_testkit::plain_protocol::PlainProtocol;
use coltsfootpick_testkit::request_harness::RequestHarness;
use test_case::test_case;
use tokio_util::sync::CancellationToken;

const PACE: FeedPace = FeedPace { wait: Duration::from_secs(1), gather: Duration::from_millis(50) };

/// A little longer than a record takes to be read.
const READ: Duration = Duration::from_millis(1_500);

fn board() -> Arc<Board> {
    Arc::clone(&RequestHarness::start("edge-a", &KeyedStore::default(), &[]).handler.board)
}

fn follow_servers(store: &KeyedStore) -> Arc<Board> {
    let board = board();
    let sink = ServerKeeper::new(Arc::clone(&board), Arc::new(PlainProtocol));
    tokio::spawn(follow(Arc::new(store.clone()), Topic::Servers, PACE, sink, CancellationToken::new()));
    board
}

fn usable(board: &Board) -> Vec<String> {
    let servers = board.servers.of(&ServiceName::from("service"));
    servers.iter().filter(|server| !server.is_leaving()).map(|server| server.entry.name.to_string()).collect()
}

fn put(store: &KeyedStore, name: &str, entry: &str) {
    store.put(Topic::Servers, name, Some(entry.as_bytes()));
}

const READY: &str = "service 127.0.0.1:1000 ready 1";

#[tokio::test(start_paused = true)]
async fn listed_servers() {
    let store = KeyedStore::default();
    put(&store, "a", READY);
    let board = follow_servers(&store);
    tokio::time::sleep(READ).await;
    put(&store, "b", READY);
    tokio::time::sleep(READ).await;
    assert_eq!(usable(&board), ["a", "b"]);
    put(&store, "a", "service 127.0.0.1:1000 leaving 1");
    store.put(Topic::Servers, "b", None);
    tokio::time::sleep(READ).await;
    assert!(usable(&board).is_empty(), "leaving and removed servers get nothing");
}

#[tokio::test(start_paused = true)]
async fn replaced_server() {
    let store = KeyedStore::default();
    put(&store, "a", "service 127.0.0.1:1000 leaving 1");
    let board = follow_servers(&store);
    tokio::time::sleep(READ).await;
    put(&store, "a", "service 127.0.0.1:1000 ready 2");
    tokio::time::sleep(READ).await;
    assert_eq!(usable(&board), ["a"], "a new start under the old name serves again");
}

#[test_case("service nowhere ready 1"; "address")]
#[test_case("x"; "shape")]
#[test_case(""; "empty")]
#[tokio::test(start_paused = true)]
async fn malformed_entry(entry: &str) {
    let store = KeyedStore::default();
    put(&store, "a", READY);
    put(&store, "b", entry);
    let board = follow_servers(&store);
    tokio::time::sleep(READ).await;
    assert_eq!(usable(&board), ["a"], "the others hold");
}

/// A server that leaves without a notice while the store cannot be read is gone at the return.
#[tokio::test(start_paused = true)]
async fn leaves_in_outage() {
    let store = KeyedStore::default();
    for name in ["a", "b", "c"] {
        put(&store, name, READY);
    }
    let board = follow_servers(&store);
    tokio::time::sleep(READ).await;
    store.put(Topic::Servers, "c", None);
    store.set_fault(StoreFault::Silent);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(usable(&board), ["a", "b"], "one of three missing after an outage has left");
}

#[tokio::test(start_paused = true)]
async fn lapsed_entry() {
    let store = KeyedStore::default();
    put(&store, "a", READY);
    put(&store, "b", READY);
    let board = follow_servers(&store);
    tokio::time::sleep(READ).await;
    store.set_fault(StoreFault::Silent);
    tokio::time::sleep(Duration::from_secs(5)).await;
    store.put(Topic::Servers, "a", None);
    store.put(Topic::Servers, "b", None);
    assert_eq!(usable(&board), ["a", "b"], "what is known stays in use while the store is away");
    store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    put(&store, "a", READY);
    assert_eq!(usable(&board), ["a", "b"], "servers have two seconds to list themselves again");
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(usable(&board), ["a"], "one that is still missing is gone");
}

#[tokio::test(start_paused = true)]
async fn forgotten_history() {
    let store = KeyedStore::default();
    put(&store, "a", READY);
    put(&store, "b", READY);
    let board = follow_servers(&store);
    tokio::time::sleep(READ).await;
    store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(300)).await;
    store.put(Topic::Servers, "b", None);
    put(&store, "c", READY);
    store.trim(Topic::Servers);
    store.set_fault(StoreFault::None);
    tokio::time::sleep(READ).await;
    assert_eq!(usable(&board), ["a", "c"], "a server that left in the gap is gone");
}

#[tokio::test(start_paused = true)]
async fn document_forward() {
    let store = KeyedStore::default();
    let board = board();
    let sink = DocumentKeeper { board: Arc::clone(&board), dialect: Arc::new(PlainProtocol) };
    tokio::spawn(follow(Arc::new(store.clone()), Topic::Documents, PACE, sink, CancellationToken::new()));
    let version = || board.table().map(|table| table.version());
    for (text, expected) in [("5", 5), ("not a version", 5), ("4", 5), ("9", 9)] {
        store.put(Topic::Documents, "config", Some(text.as_bytes()));
        tokio::time::sleep(READ).await;
        assert_eq!(version(), Some(expected), "after {text:?}");
    }
}
