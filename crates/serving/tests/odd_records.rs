//! Records of another writer, whatever they hold, end no process, and the others of their topic are followed as before.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::part_evidence::PartUse;
use coltsfootpick_core::stream_origins::{OriginReport, StreamKey};
use coltsfootpick_serving::blackboard::{Blackboard, InstanceSpec};
use coltsfootpick_serving::interfaces::{KeyedLog, Topic};
use coltsfootpick_serving::retry_share::RetryLimit;
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::plain_protocol::test_location;
use coltsfootpick_testkit::request_harness::{RequestHarness, server_entry};
use coltsfootpick_wire::observations::{
    BrittleReportMessage, LimitReportMessage, PartCrashMessage, PartReportMessage, SoundAnswerMessage,
};
use coltsfootpick_wire::stream_origins::StreamRecordMessage;
use proptest::prelude::*;
use prost::Message;

fn any_count() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), Just(u64::MAX), Just(u64::MAX - 1), any::<u64>()]
}

fn any_limit() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(0.0),
        Just(-1.0),
        Just(f64::MAX),
        Just(f64::MIN_POSITIVE),
        Just(f64::INFINITY),
        Just(f64::NAN),
        any::<f64>()
    ]
}

fn board() -> Arc<Blackboard> {
    let retries = RetryLimit { ratio: 0.2, slack: 52 };
    Blackboard::new(InstanceSpec {
        name: "edge-a".into(),
        location: test_location(),
        retries,
        link_rate: None,
        capacity: 0,
    })
}

proptest! {
    #[test]
    fn odd_observations(
        counts in prop::collection::vec(any_count(), 8),
        limit in prop::option::of(any_limit()),
        threshold in prop_oneof![Just(0), Just(u32::MAX), any::<u32>()],
        is_own in any::<bool>(),
    ) {
        let (board, entry) = (board(), server_entry("a", "127.0.0.1:1".parse().unwrap()));
        let clock = board.clock.reading();
        let limits = LimitReportMessage { server: "a".into(), started_at: Some(1), limit, at: counts[0] };
        board.server_limits.lock().merge(vec![limits.into()], clock);
        let brittle = BrittleReportMessage { service: "service".into(), threshold, at: counts[1] };
        board.brittle_servers.lock().merge(vec![brittle.into()], clock);
        let crash = |at| PartCrashMessage { at, server: "a".into(), account: "clinic".into(), weights: counts[2], answered: is_own };
        let sound = vec![SoundAnswerMessage { weights: counts[3], at: counts[4] }];
        let parts = PartReportMessage { part: counts[5], crashes: vec![crash(counts[6]), crash(counts[7])], sound };
        board.part_blame.lock().merge(vec![parts.into()], is_own, clock);
        for open in [0, u32::MAX] {
            prop_assert!(board.limit_wait(&entry).is_none_or(|wait| wait < Duration::from_secs(3_600)));
            board.take_limit(&entry);
            board.note_rejected(&entry);
            board.brittle_room(&entry, open);
        }
        let account = "clinic".into();
        let request = PartUse { account: &account, weights: counts[2], turn: u32::MAX };
        board.part_blame.lock().status(counts[5], &request, board.clock.now());
    }

    #[test]
    fn odd_stream_records(at in any_count(), bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = StreamRecordMessage::decode(&*bytes);
        let report = OriginReport { origin: server_entry("a", "127.0.0.1:1".parse().unwrap()).origin(), streams: vec![StreamKey(at)] };
        let board = board();
        board.stream_origins.lock().merge(vec![report], Duration::from_millis(at), board.clock.now());
        let reports = board.stream_origins.lock().own_reports(board.clock.now());
        prop_assert!(reports.len() <= 1);
    }
}

/// An entry that cannot be read among those of the servers, of each other topic too, changes nothing for the others.
#[tokio::test]
async fn followed_as_before() {
    let store = KeyedStore::default();
    let harness = RequestHarness::start("edge-a", &store, &[]);
    harness.follow_servers(&store);
    store.put(Topic::Servers, "kept", Some(b"service 127.0.0.1:1 ready 1 v1"));
    tokio::time::sleep(Duration::from_millis(200)).await;
    for topic in [Topic::Servers, Topic::Credit, Topic::Observations, Topic::Streams, Topic::Instances] {
        for odd in [&[0xff; 10][..], &vec![b'['; 100_000], b"service nowhere ready 1 v1"] {
            store.put(topic, "odd", Some(odd));
            store.put(topic, "kept", store.latest_values(topic).get("kept").map(|value| &**value));
        }
    }
    store.put(Topic::Servers, "kept-too", Some(b"service 127.0.0.1:2 ready 1 v1"));
    tokio::time::sleep(Duration::from_millis(400)).await;
    // A gap has the whole list read again, with the odd entry in it.
    store.trim(Topic::Servers);
    store.restore_copy(Duration::ZERO);
    tokio::time::sleep(Duration::from_millis(600)).await;
    store.put(Topic::Servers, "later", Some(b"service 127.0.0.1:3 ready 1 v1"));
    tokio::time::sleep(Duration::from_millis(400)).await;
    let names: Vec<String> = harness.handler.board.servers.names().iter().map(ToString::to_string).collect();
    assert_eq!(names, ["kept", "kept-too", "later"]);
    assert!(store.newest_page(Topic::Servers, None).await.unwrap().records.iter().any(|record| &*record.key == "odd"));
    harness.wait_for_credit().await;
    let metrics = harness.handler.board.metrics.render();
    assert!(metrics.contains("records_skipped_total{outcome=\"servers\"}"), "{metrics}");
}
