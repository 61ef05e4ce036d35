//! Measures the size of a ledger snapshot, the time to write it and the time to recover from it:
//! `cargo run --release -p coltsfootpick-testkit --example recovery_experiment`.

use std::time::{Duration, Instant};

use coltsfootpick_core::names::{BudgetKey, Incarnation, RecordId, Stage};
use coltsfootpick_core::record::{Batch, Entry, ShardRecord, TopUp};
use coltsfootpick_core::shard::Shard;
use coltsfootpick_core::units::{Offset, Tokens};
use coltsfootpick_testkit::linear_fit::{LinearFit, Point};
use coltsfootpick_wire::envelope::{decode_shard, encode_shard};
use coltsfootpick_wire::snapshot::{Snapshot, SnapshotAssembler};

/// Top-up of each budget.
const TOP_UP: Tokens = Tokens(1_000_000_000);
/// Number of times that each size is measured; the fastest run counts.
const RUNS: usize = 5;

/// Number of bills per budget in the measured shards.
const BILLS_PER_BUDGET: u32 = 2;

/// Numbers of budgets to measure: the present number, the planned number, and the planned number of accounts.
const SIZES: [u32; 3] = [10, 18_000, 36_000];

/// Entries per batch.
const BATCH_ENTRIES: u32 = 50;

/// Number of batches that are decoded and applied to measure the cost of reading the log.
const BATCHES: u32 = 2_000;

fn main() {
    println!("budgets  snapshot B  records  write ms  recover ms");
    let points: Vec<(Point, Point)> = SIZES.iter().map(|budgets| measure(*budgets)).collect();
    let bytes: Vec<Point> = points.iter().map(|(bytes, _)| *bytes).collect();
    let times: Vec<Point> = points.iter().map(|(_, time)| *time).collect();
    for (label, points) in [("bytes by budgets", bytes), ("recovery in ms by budgets", times)] {
        if let Some(line) = LinearFit::least_squares(&points) {
            println!("{label}: {line}");
        }
    }
    let span = measure_apply();
    let records = f64::from(BATCHES);
    let micros = span.as_secs_f64() * 1e6 / records;
    println!(
        "following: {micros:.1} us a batch of {BATCH_ENTRIES} entries, {:.3} us an entry",
        micros / f64::from(BATCH_ENTRIES)
    );
}

fn key(index: u32) -> BudgetKey {
    let (environment, account) = (format!("market-{:02}", index % 50), format!("account-{index:05}"));
    BudgetKey { environment: environment.into(), stage: Stage::Production, account: account.into() }
}

fn holder() -> Incarnation {
    Incarnation { instance: "node-001".into(), run: 1 }
}

fn batch(sequence: u64, budgets: u32, entries: u32) -> ShardRecord {
    let first = u32::try_from(sequence).unwrap_or_default() * entries;
    let entry = |index: u32| match index % 8 {
        0 => Entry::Grant { key: key(index % budgets), least: Tokens(1), most: Tokens(10_000) },
        _ => Entry::Settle {
            key: key(index % budgets),
            request: format!("{sequence:016x}{index:016x}").into(),
            tokens: Tokens(324),
        },
    };
    ShardRecord::Batch(Batch { holder: holder(), sequence, entries: (first..first + entries).map(entry).collect() })
}

fn filled_shard(budgets: u32) -> Shard {
    let mut shard = Shard::default();
    let mut offset = Offset(0);
    for index in 0..budgets {
        let id = RecordId::from(format!("top-{index:08}"));
        let top_up = TopUp { id, key: key(index), tokens: TOP_UP, operator: "nadia".into() };
        shard.apply(offset, &ShardRecord::TopUp(top_up));
        offset = offset.next();
    }
    for sequence in 1..=u64::from(budgets * BILLS_PER_BUDGET / BATCH_ENTRIES).max(1) {
        shard.apply(offset, &batch(sequence, budgets, BATCH_ENTRIES));
        offset = offset.next();
    }
    shard
}

/// Measures the snapshot of a shard with `budgets` budgets; returns its bytes and its recovery time in milliseconds.
fn measure(budgets: u32) -> (Point, Point) {
    let shard = filled_shard(budgets);
    let mut best: Option<(Duration, Duration, Vec<Vec<u8>>)> = None;
    for id in 0..RUNS {
        let start = Instant::now();
        let chunks = Snapshot::of_shard(&shard.export()).chunks(id as u64);
        let write = start.elapsed();
        let start = Instant::now();
        let recovered = recover(&chunks);
        let read = start.elapsed();
        assert!(recovered == shard, "the recovered shard equals the one that was written");
        if best.as_ref().is_none_or(|(_, fastest, _)| read < *fastest) {
            best = Some((write, read, chunks));
        }
    }
    let (write, read, chunks) = best.expect("there is at least one run");
    let bytes = u32::try_from(chunks.iter().map(Vec::len).sum::<usize>()).unwrap_or(u32::MAX);
    let millis = |span: Duration| span.as_secs_f64() * 1e3;
    println!("{budgets:7}  {bytes:10}  {:7}  {:8.2}  {:10.2}", chunks.len(), millis(write), millis(read));
    let x = f64::from(budgets);
    (Point { x, y: f64::from(bytes) }, Point { x, y: millis(read) })
}

fn recover(chunks: &[Vec<u8>]) -> Shard {
    let mut assembler = SnapshotAssembler::default();
    let snapshot = chunks.iter().find_map(|chunk| assembler.add(chunk).expect("the chunk was just written"));
    let state = snapshot.expect("all chunks were added").shard().expect("the snapshot is of a shard");
    Shard::import(state)
}

fn measure_apply() -> Duration {
    let budgets = 1_000;
    let mut shard = filled_shard(budgets);
    let next = shard.sequence(&holder()) + 1;
    let records: Vec<Vec<u8>> = (next..next + u64::from(BATCHES))
        .map(|sequence| encode_shard(&batch(sequence, budgets, BATCH_ENTRIES)))
        .collect();
    let start = Instant::now();
    for (bytes, offset) in records.iter().zip(shard.next.0..) {
        shard.apply(Offset(offset), &decode_shard(bytes).expect("the record was just encoded"));
    }
    start.elapsed()
}
