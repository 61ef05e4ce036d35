//! Instances start and recover from snapshots after the log has dropped records.

mod common;

use std::time::Duration;

use ::http::Method;
use common::{Fleet, eventually, operator};

/// Drops all records of `stream` before `offset`.
async fn trim(fleet: &Fleet, stream: &str, offset: u64) {
    let path = format!("/streams/{stream}/trim?before={offset}");
    let answer = operator().send(fleet.platform_server.address, Method::POST, &path, &[], "").await.unwrap();
    assert!(answer.status.is_success());
}

/// Returns the ledger and environment streams, each with the next offset that instance 0 will apply.
fn streams(fleet: &Fleet) -> Vec<(String, u64)> {
    let board = &fleet.instances[0].instance.board;
    let ledgers =
        board.shards.iter().zip(0..).map(|(cell, index)| (format!("ledger-{index}"), cell.lock().state.next.0));
    let environments = ("environments".to_owned(), board.environments.read().next.0);
    ledgers.chain(std::iter::once(environments)).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn dropped_records() {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.top_up("registry", 100_000).await;
    assert_eq!(fleet.chat(0, "plan", 20, false).await.status, 200);
    assert_eq!(fleet.apply(0, "ticket-1").await.status, 200);
    let written = coltsfootpickd::snapshotter::write_all(&fleet.instances[0].instance).await.unwrap();
    assert_eq!(written.len(), 5);
    for snapshot in &written {
        trim(&fleet, &snapshot.stream, snapshot.next.0).await;
    }
    fleet.add_instance("late").await;
    for (index, cell) in fleet.instances[0].instance.board.shards.iter().enumerate() {
        let late = &fleet.instances[1].instance.board.shards[index];
        eventually("both instances replayed the same records", || cell.lock().state.next == late.lock().state.next)
            .await;
        assert_eq!(cell.lock().state, late.lock().state);
    }
    assert_eq!(fleet.chat(1, "plan", 20, false).await.status, 200);
    assert_eq!(fleet.apply(1, "ticket-1").await.status, 200);
    assert_eq!(fleet.plain.run_count("ticket-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn uncovered_records() {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.top_up("registry", 100_000).await;
    for (stream, next) in streams(&fleet) {
        trim(&fleet, &stream, next).await;
    }
    let late = fleet.start_instance("late").await;
    let shared = std::sync::Arc::clone(&late.instance);
    let is_reported = || shared.unready_reasons().iter().any(|reason| reason.contains("no whole snapshot"));
    eventually("the instance reports the blocked stream", is_reported).await;
    fleet.instances.push(late);
    let answer = operator().send(fleet.instances[1].caller_address, Method::GET, "/readyz", &[], "").await.unwrap();
    assert_eq!(answer.status, 503);
    assert!(String::from_utf8_lossy(&answer.body).contains("ledger-"), "{:?}", answer.body);
    let refused = fleet.chat(1, "plan", 20, false).await;
    assert_eq!((refused.status.as_u16(), refused.run_status()), (503, "not-run".to_owned()));
    coltsfootpickd::snapshotter::write_all(&fleet.instances[0].instance).await.unwrap();
    eventually("the snapshot is installed", || shared.unready_reasons().is_empty()).await;
    assert_eq!(fleet.budget(1, "registry").await.topped, 100_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn damaged_snapshot() {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.top_up("registry", 100_000).await;
    let written = coltsfootpickd::snapshotter::write_all(&fleet.instances[0].instance).await.unwrap();
    for snapshot in &written {
        trim(&fleet, &snapshot.stream, snapshot.next.0).await;
        let stream = format!("snapshot-{}", snapshot.stream);
        fleet.platform.append_raw(&stream, b"");
        fleet.platform.append_raw(&stream, b"\x01torn");
        fleet.platform.append_raw(&stream, &[0xff; 300]);
    }
    fleet.add_instance("late").await;
    assert_eq!(fleet.budget(1, "registry").await.topped, 100_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn periodic_snapshots() {
    let change = |text: String| {
        text.replace("snapshot-records = 20000", "snapshot-records = 10")
            .replace("snapshot-age-ms = 3600000", "snapshot-age-ms = 1000")
    };
    let mut fleet = Fleet::with_settings(2, 1, change).await;
    fleet.top_up("registry", 100_000).await;
    for (stream, next) in streams(&fleet) {
        let mut reader = coltsfootpickd::recovery::SnapshotReader::new(format!("snapshot-{stream}"));
        let deadline = tokio::time::Instant::now() + common::CONDITION_TIMEOUT;
        loop {
            let found = reader.read_to_end(&*fleet.instances[0].instance.deps.log).await.unwrap();
            if next == 0 || found.iter().any(|snapshot| snapshot.next.0 >= next) {
                break;
            }
            assert!(tokio::time::Instant::now() < deadline, "no snapshot of {stream} reached {next}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        trim(&fleet, &stream, next).await;
    }
    fleet.add_instance("late").await;
    assert_eq!(fleet.budget(2, "registry").await.topped, 100_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn damaged_records() {
    let mut fleet = Fleet::start(2, 1).await;
    fleet.top_up("registry", 100_000).await;
    let junk: &[u8] = b"\xff\xff not a message";
    let valid_checksum = [&[1][..], &xxhash_rust::xxh3::xxh3_64(junk).to_le_bytes(), junk].concat();
    for round in 0..3 {
        for (stream, _) in streams(&fleet) {
            for bytes in [b"".as_slice(), b"\x01short", &[7; 40], &valid_checksum] {
                fleet.platform.append_raw(&stream, bytes);
            }
        }
        assert_eq!(fleet.chat(round % 2, "plan", 20, false).await.status, 200);
    }
    fleet.add_instance("late").await;
    for index in 0..4 {
        let replayed = |instance: &common::TestInstance| instance.instance.board.shards[index].lock().state.clone();
        let next = || fleet.instances.iter().map(|instance| replayed(instance).next).collect::<Vec<_>>();
        let agree = || next().windows(2).all(|pair| pair[0] == pair[1]) && replayed(&fleet.instances[0]).next.0 >= 12;
        eventually("all instances have read the shard", agree).await;
        assert_eq!(replayed(&fleet.instances[0]), replayed(&fleet.instances[1]));
        assert_eq!(replayed(&fleet.instances[0]), replayed(&fleet.instances[2]));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn log_down_at_start() {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.top_up("registry", 100_000).await;
    fleet.platform.set_faults(|faults| faults.down = true);
    let late = fleet.start_instance("late").await;
    let snapshot = coltsfootpickd::recovery::environments_snapshot(&fleet.instances[0].instance);
    assert!(coltsfootpickd::recovery::install_environments(&late.instance, "instance-0", &snapshot));
    assert!(!coltsfootpickd::recovery::install_environments(&late.instance, "instance-0", &snapshot));
    let shared = std::sync::Arc::clone(&late.instance);
    eventually("the instance reports the blocked streams", || {
        shared.unready_reasons().iter().any(|reason| reason.contains("cannot be read"))
    })
    .await;
    assert_eq!(shared.unready_reasons().len(), 5);
    fleet.instances.push(late);
    let refused = fleet.chat(1, "plan", 20, false).await;
    assert_eq!((refused.status.as_u16(), refused.run_status()), (503, "not-run".to_owned()));
    fleet.platform.set_faults(|faults| faults.down = false);
    eventually("the log is read", || shared.unready_reasons().is_empty()).await;
    assert_eq!(fleet.chat(1, "plan", 20, false).await.status, 200);
}
