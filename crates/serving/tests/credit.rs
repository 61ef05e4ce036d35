//! Credit of an instance: renewals, the time without the store, loans between instances, refusals.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::ISOLATION_TIMEOUT;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::units::Tokens;
use coltsfootpick_serving::borders::{KeyedRecord, Topic};
use coltsfootpick_serving::feed::FeedSink;
use coltsfootpick_serving::keeper::{Charge, CreditKeeper};
use coltsfootpick_serving::peers::{PeerKeeper, serve_peers};
use coltsfootpick_testkit::keyed_store::{KeyedStore, StoreFault};
use coltsfootpick_testkit::request_harness::{ACCOUNT, PREPAID, RequestHarness};
use coltsfootpick_wire::loans::InstanceMessage;
use prost::Message;
use tokio::net::TcpListener;
use tokio::time::Instant;

async fn reserve(rig: &RequestHarness, bound: u64) -> Result<Charge, Refusal> {
    let until = Instant::now() + Duration::from_secs(2);
    rig.handler.keeper.reserve(&ACCOUNT.into(), Tokens(bound), Tokens(PREPAID), until).await
}

/// Uses `step` tokens at a time until a refusal, and tells how many were used.
async fn use_all(rig: &RequestHarness, step: u64) -> (u64, Refusal) {
    let mut used = 0;
    loop {
        match reserve(rig, step).await {
            Ok(mut charge) => {
                charge.set_used(Tokens(step));
                used += step;
            }
            Err(refusal) => return (used, refusal),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn all_of_it() {
    let store = KeyedStore::default();
    let rig = RequestHarness::start("edge-a", &store, &[]);
    rig.wait_for_credit().await;
    let (used, refusal) = use_all(&rig, 1_000).await;
    assert_eq!(refusal.code, Code::BudgetExhausted, "{refusal}");
    assert!(used > PREPAID - 1_000, "{used} of {PREPAID} could be used");
}

#[tokio::test(start_paused = true)]
async fn store_away() {
    let store = KeyedStore::default();
    let rig = RequestHarness::start("edge-a", &store, &[]);
    rig.wait_for_credit().await;
    for _ in 0..40 {
        reserve(&rig, 500).await.unwrap().set_used(Tokens(500));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    store.set_fault(StoreFault::Silent);
    let (at_once, refusal) = use_all(&rig, 500).await;
    assert_eq!(refusal.code, Code::CreditUnavailable);
    assert!(refusal.retry_after.is_some());
    tokio::time::sleep(ISOLATION_TIMEOUT).await;
    let (isolated, _) = use_all(&rig, 500).await;
    assert!(at_once > 0 && isolated > 0, "{at_once} at once, {isolated} from the reserve");
    store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(reserve(&rig, 500).await.is_ok(), "the store is back");
}

#[tokio::test(start_paused = true)]
async fn never_started() {
    let store = KeyedStore::default();
    store.set_fault(StoreFault::Busy);
    let rig = RequestHarness::start("edge-a", &store, &[]);
    let before = Instant::now();
    let refusal = reserve(&rig, 500).await.unwrap_err();
    assert_eq!(refusal.code, Code::CreditUnavailable);
    assert!(before.elapsed() < Duration::from_millis(50), "what is known not to be had is refused at once");
    store.set_fault(StoreFault::None);
    rig.wait_for_credit().await;
}

#[tokio::test(start_paused = true)]
async fn lost_answers() {
    let store = KeyedStore::default();
    let rig = RequestHarness::start("edge-a", &store, &[]);
    rig.wait_for_credit().await;
    let mut used = 0;
    for round in 0..30 {
        store.set_fault([StoreFault::ResponseLost, StoreFault::Delayed, StoreFault::None][round % 3]);
        used += use_all(&rig, 5_000).await.0;
        tokio::time::sleep(Duration::from_millis(300)).await;
        store.apply_delayed();
    }
    assert!(used <= PREPAID, "{used} of {PREPAID}");
}

#[tokio::test(start_paused = true)]
async fn closed_run() {
    let store = KeyedStore::default();
    let rig = RequestHarness::start("edge-a", &store, &[]);
    rig.wait_for_credit().await;
    reserve(&rig, 1_000).await.unwrap().set_used(Tokens(700));
    rig.stop.cancel();
    assert!(rig.handler.keeper.close().await);
    let other = RequestHarness::start("edge-b", &store, &[]);
    other.wait_for_credit().await;
    let (used, _) = use_all(&other, 300).await;
    assert!(used > PREPAID - 1_000 - 300, "{used} tokens were left of what the closed run gave back");
}

async fn listen(rig: &RequestHarness) -> KeyedRecord {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(serve_peers(listener, Arc::<CreditKeeper>::clone(&rig.handler.keeper)));
    let holder = rig.handler.keeper.holder().to_string();
    let key = Arc::clone(&rig.handler.board.identity.name);
    KeyedRecord { key, value: Some(InstanceMessage { address, holder }.encode_to_vec().into()) }
}

fn introduce(rig: &RequestHarness, record: KeyedRecord) {
    PeerKeeper { peers: Arc::clone(rig.handler.keeper.peers()), runs: std::collections::BTreeMap::new() }.take(record);
}

#[tokio::test]
async fn borrowed_room() {
    let store = KeyedStore::default();
    let (poor, rich) = (RequestHarness::start("edge-a", &store, &[]), RequestHarness::start("edge-b", &store, &[]));
    poor.wait_for_credit().await;
    rich.wait_for_credit().await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    store.set_fault(StoreFault::Busy);
    let (alone, _) = use_all(&poor, 2_000).await;
    let record = listen(&rich).await;
    introduce(&poor, record);
    let (borrowed, _) = use_all(&poor, 2_000).await;
    assert!(borrowed > 0, "{alone} alone, {borrowed} borrowed");
    let (rest, _) = use_all(&rich, 2_000).await;
    let total = alone + borrowed + rest;
    assert!(total <= PREPAID * 12 / 100 + 4_000, "{total} tokens were used below ceilings of 12 in 100");
    let records = store.latest_values(Topic::Credit);
    assert_eq!(records.len(), 2);
}
