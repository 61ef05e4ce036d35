//! Measures the costs per unit from which `docs/CAPACITY.md` computes capacities:
//! `cargo run --release -p coltsfootpick-testkit --example capacity`.

use std::hint::black_box;
use std::time::{Duration, Instant};

use coltsfootpick_core::blackboard::ShardCell;
use coltsfootpick_core::document::Document;
use coltsfootpick_core::names::{BudgetKey, Incarnation, RecordId, Stage};
use coltsfootpick_core::record::{Batch, Entry, ShardRecord, TopUp};
use coltsfootpick_core::shard::Shard;
use coltsfootpick_core::sizing::GrantSizing;
use coltsfootpick_core::units::{self, Offset, Tokens};
use coltsfootpick_testkit::linear_fit::{LinearFit, Point};
use coltsfootpick_wire::envelope::{decode_shard, encode_shard};

/// Top-up of each budget.
const TOP_UP: Tokens = Tokens(1_000_000_000);
const PAGE_BYTES: f64 = 4_096.0;
/// Number of batches applied in one run.
const BATCHES: u32 = 20;
/// Number of runs of each measurement.
const RUNS: u32 = 7;

fn main() {
    report("bytes of a batch by entries", "B", &batch_bytes());
    report("decode and fold of a batch by entries", "us", &apply_time());
    report("resident memory of a fold by budgets", "KiB", &shard_memory());
    report("resident memory of a fold by bills remembered", "KiB", &bill_memory());
    report("planning of a batch by budgets in use", "us", &plan_time());
    report("check of a document by accounts", "us", &document_time());
}

fn report(label: &str, unit: &str, points: &[Point]) {
    println!("{label} ({unit})");
    for point in points {
        println!("  {:>8}: {:.3}", point.x, point.y);
    }
    if let Some(line) = LinearFit::least_squares(points) {
        println!("  fit: {line}");
    }
}

fn key(index: u32) -> BudgetKey {
    let (environment, account) = (format!("market-{:02}", index % 50), format!("account-{index:05}"));
    BudgetKey { environment: environment.into(), stage: Stage::Production, account: account.into() }
}

fn holder(index: u32) -> Incarnation {
    Incarnation { instance: format!("node-{index:03}").into(), run: u64::from(index) }
}

fn top_up(index: u32) -> ShardRecord {
    let id = RecordId::from(format!("top-{index:08}"));
    ShardRecord::TopUp(TopUp { id, key: key(index), tokens: TOP_UP, operator: "nadia".into() })
}

/// Batch as an instance writes it: every eighth entry is a grant, the others are bills.
fn batch(sequence: u64, entries: u32) -> Batch {
    let entry = |index: u32| match index % 8 {
        0 => Entry::Grant { key: key(index % 100), least: Tokens(1), most: Tokens(10_000) },
        _ => Entry::Settle {
            key: key(index % 100),
            request: format!("{sequence:016x}{index:016x}").into(),
            tokens: Tokens(324),
        },
    };
    Batch { holder: holder(1), sequence, entries: (0..entries).map(entry).collect() }
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}

/// Shortest time of several runs, which other load on the machine disturbs least.
fn fastest(run: impl Fn() -> Duration) -> Duration {
    (0..RUNS).map(|_| run()).min().unwrap_or_default()
}

fn batch_bytes() -> Vec<Point> {
    let bytes = |entries: u32| u32::try_from(encode_shard(&ShardRecord::Batch(batch(1, entries))).len());
    [1, 10, 50, 100, 500]
        .map(|entries| Point { x: entries.into(), y: bytes(entries).unwrap_or_default().into() })
        .into()
}

fn apply_time() -> Vec<Point> {
    [1_u32, 10, 50, 100, 500]
        .map(|entries| Point { x: entries.into(), y: micros(fastest(|| apply_batches(entries))) })
        .into()
}

fn apply_batches(entries: u32) -> Duration {
    let mut shard = Shard::default();
    for index in 0..100 {
        shard.apply(Offset(index.into()), &top_up(index));
    }
    let encoded: Vec<Vec<u8>> =
        (1..=BATCHES).map(|sequence| encode_shard(&ShardRecord::Batch(batch(sequence.into(), entries)))).collect();
    let start = Instant::now();
    for bytes in &encoded {
        let record = decode_shard(bytes).expect("the record was just encoded");
        black_box(shard.apply(Offset(1_000), &record));
    }
    start.elapsed() / BATCHES
}

/// Resident memory of this process in KiB, from the kernel.
fn resident_kib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or_default();
    pages * PAGE_BYTES / 1_024.0
}

fn shard_memory() -> Vec<Point> {
    let mut shards = Vec::new();
    [9_000, 18_000, 36_000, 72_000]
        .map(|budgets| {
            let before = resident_kib();
            let mut shard = Shard::default();
            for index in 0..budgets {
                shard.apply(Offset(index.into()), &top_up(index));
            }
            let used = resident_kib() - before;
            shards.push(shard);
            Point { x: budgets.into(), y: used }
        })
        .into()
}

fn bill_memory() -> Vec<Point> {
    let mut shards = Vec::new();
    [25_000_u32, 50_000, 100_000, 200_000]
        .map(|bills| {
            let before = resident_kib();
            let mut shard = Shard::default();
            shard.apply(Offset(0), &top_up(0));
            for sequence in 1..=u64::from(bills / 100) {
                // Of 114 entries, 99 are bills.
                shard.apply(Offset(sequence), &ShardRecord::Batch(batch(sequence, 114)));
            }
            let used = resident_kib() - before;
            shards.push(shard);
            Point { x: bills.into(), y: used }
        })
        .into()
}

fn plan_time() -> Vec<Point> {
    [10_u32, 100, 1_000, 5_000].map(|budgets| Point { x: budgets.into(), y: micros(fastest(|| plan(budgets))) }).into()
}

fn plan(budgets: u32) -> Duration {
    let mut cell = ShardCell::new(holder(1));
    for index in 0..budgets {
        cell.apply(Offset(index.into()), &top_up(index), 0);
        let ticket = u64::from(index);
        cell.credit.reserve(ticket, &key(index), Tokens(100), &cell.state.ledger);
    }
    let start = Instant::now();
    let now = units::Instant(Duration::from_secs(1));
    black_box(cell.next_batches(now, |_| GrantSizing::default()));
    start.elapsed()
}

fn document_time() -> Vec<Point> {
    [100_u32, 1_000, 5_000, 9_000]
        .map(|accounts| Point { x: accounts.into(), y: micros(fastest(|| parse(accounts))) })
        .into()
}

fn parse(accounts: u32) -> Duration {
    let hash = "ab".repeat(32);
    let sections = (0..accounts).fold(String::new(), |text, index| {
        text + "[account a-" + &index.to_string() + "]\nkey-sha256 = " + &hash + "\n"
    });
    let text = format!("[environment m]\n{sections}[service s]\nkind = engine\n");
    let start = Instant::now();
    let document = black_box(Document::parse(&text));
    let span = start.elapsed();
    assert!(document.is_ok(), "the document is valid");
    span
}
