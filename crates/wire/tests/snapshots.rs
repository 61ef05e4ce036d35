//! Snapshots restore the whole replayed state, and a reader skips a snapshot with a missing or damaged chunk.

use std::sync::Arc;

use coltsfootpick_core::environments::Environments;
use coltsfootpick_core::names::{BudgetKey, Incarnation, Stage};
use coltsfootpick_core::record::{
    AttemptKey, AttemptOutcome, Batch, Close, Entry, EnvironmentRecord, Promote, Publish, Release, ShardRecord, TopUp,
};
use coltsfootpick_core::shard::Shard;
use coltsfootpick_core::units::{Offset, Tokens};
use coltsfootpick_wire::snapshot::{CHUNK_MAX_BYTES, Snapshot, SnapshotAssembler};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: RngSeed = RngSeed::Fixed(23);

const DOCUMENT: &str = include_str!("../../../samples/tahrir.ini");

fn key(account: u8) -> BudgetKey {
    BudgetKey { environment: "tahrir".into(), stage: Stage::Production, account: format!("a{account}").into() }
}

fn holder(number: u8) -> Incarnation {
    Incarnation { instance: format!("i{number}").into(), run: u64::from(number) }
}

fn attempt(number: u8) -> AttemptKey {
    AttemptKey { budget: key(0), key: format!("k{number}").into() }
}

fn entry() -> impl Strategy<Value = Entry> {
    let budget = (0..3u8).prop_map(key);
    let tokens = (1..500u64).prop_map(Tokens);
    let call = (0..4u8).prop_map(attempt);
    prop_oneof![
        (budget.clone(), tokens.clone()).prop_map(|(key, most)| Entry::Grant { key, least: Tokens(1), most }),
        (budget.clone(), 0..20u8, tokens.clone()).prop_map(|(key, request, tokens)| Entry::Settle {
            key,
            request: format!("r{request}").into(),
            tokens
        }),
        (budget, tokens).prop_map(|(key, tokens)| Entry::Return { key, tokens }),
        (call.clone(), 0..2u64).prop_map(|(attempt, digest)| Entry::Claim { attempt, digest }),
        (call.clone(), 0..2u16).prop_map(|(attempt, kind)| Entry::Outcome {
            attempt,
            outcome: match kind {
                0 => AttemptOutcome::Unknown,
                _ => AttemptOutcome::Answered { status: 200, body: Arc::from(*b"done") },
            }
        }),
        call.prop_map(|attempt| Entry::Renounce { attempt }),
    ]
}

#[derive(Clone, Debug)]
enum Step {
    Batch(u8, Vec<Entry>),
    TopUp(u8, u8, u64),
    Close(u8),
    Release(u8, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8, prop::collection::vec(entry(), 1..6)).prop_map(|(holder, entries)| Step::Batch(holder, entries)),
        2 => (0..9u8, 0..3u8, 1..2_000u64).prop_map(|(id, account, tokens)| Step::TopUp(id, account, tokens)),
        1 => (0..3u8).prop_map(Step::Close),
        1 => (0..3u8, 0..3u8).prop_map(|(holder, account)| Step::Release(holder, account)),
    ]
}

fn record(shard: &Shard, index: usize, step: Step) -> ShardRecord {
    match step {
        Step::Batch(number, entries) => {
            let sequence = shard.sequence(&holder(number)) + 1;
            ShardRecord::Batch(Batch { holder: holder(number), sequence, entries })
        }
        Step::TopUp(id, account, tokens) => ShardRecord::TopUp(TopUp {
            id: format!("t{id}").into(),
            key: key(account),
            tokens: Tokens(tokens),
            operator: "nadia".into(),
        }),
        Step::Close(number) => ShardRecord::Close(Close { holder: holder(number), closer: "nadia".into() }),
        Step::Release(number, account) => ShardRecord::Release(Release {
            id: format!("x{index}").into(),
            key: key(account),
            holder: holder(number),
            operator: "nadia".into(),
            reason: "stopped".into(),
        }),
    }
}

fn apply(shard: &mut Shard, steps: &[Step]) {
    for (index, step) in steps.iter().enumerate() {
        let record = record(shard, index, step.clone());
        let offset = shard.next;
        shard.apply(offset, &record);
    }
}

fn assemble(chunks: &[Vec<u8>]) -> Option<Snapshot> {
    let mut assembler = SnapshotAssembler::default();
    chunks.iter().filter_map(|chunk| assembler.add(chunk).ok().flatten()).last()
}

/// Returns a shard whose snapshot needs several chunks.
fn large_shard() -> Shard {
    let mut shard = Shard::default();
    let entries = (0..20_000).map(|number| Entry::Settle {
        key: key(0),
        request: format!("{number:032x}").into(),
        tokens: Tokens(1),
    });
    let batch = Batch { holder: holder(0), sequence: 1, entries: entries.collect() };
    shard.apply(Offset(6), &ShardRecord::Batch(batch));
    shard
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: SEED, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn restored_shard(before in prop::collection::vec(step(), 0..40), after in prop::collection::vec(step(), 0..20)) {
        let mut shard = Shard::default();
        apply(&mut shard, &before);
        let snapshot = assemble(&Snapshot::of_shard(&shard.export()).chunks(7)).unwrap();
        prop_assert_eq!(snapshot.next, shard.next);
        let mut copy = Shard::import(snapshot.shard().unwrap());
        prop_assert_eq!(&copy, &shard);
        apply(&mut shard, &after);
        apply(&mut copy, &after);
        prop_assert_eq!(copy, shard);
    }
}

#[test]
fn restored_environments() {
    let publish = |id: &str, expected, document: &str| {
        EnvironmentRecord::Trial(Publish {
            id: id.into(),
            environment: "tahrir".into(),
            expected,
            document: document.into(),
            operator: "nadia".into(),
        })
    };
    let promote = Promote { id: "p".into(), environment: "tahrir".into(), expected: 1, operator: "nadia".into() };
    let other = DOCUMENT.replace("grant-share-percent = 20", "grant-share-percent = 21");
    let records = [
        publish("a", 0, DOCUMENT),
        publish("b", 0, DOCUMENT),
        EnvironmentRecord::Promote(promote),
        publish("c", 2, &other),
        publish("d", 3, "[nothing]"),
        publish("a", 3, DOCUMENT),
    ];
    let mut environments = Environments::default();
    for (offset, record) in (0..).zip(&records) {
        environments.apply(Offset(offset), record);
        let snapshot = assemble(&Snapshot::of_environments(&environments.export()).chunks(1)).unwrap();
        assert_eq!(Environments::import(snapshot.environments().unwrap()), environments);
    }
}

#[test]
fn many_chunks() {
    let shard = large_shard();
    let mut chunks = Snapshot::of_shard(&shard.export()).chunks(1);
    assert!(chunks.len() > 2 && chunks.iter().all(|chunk| chunk.len() <= CHUNK_MAX_BYTES));
    chunks.reverse();
    assert_eq!(Shard::import(assemble(&chunks).unwrap().shard().unwrap()), shard);
    let repeated = [chunks.clone(), chunks].concat();
    assert_eq!(Shard::import(assemble(&repeated).unwrap().shard().unwrap()), shard);
}

#[test]
fn damaged_chunks() {
    let chunks = Snapshot::of_shard(&large_shard().export()).chunks(1);
    for index in 0..chunks.len() {
        let mut missing = chunks.clone();
        missing.remove(index);
        assert_eq!(assemble(&missing), None);
        let mut truncated = chunks.clone();
        let half = truncated[index].len() / 2;
        truncated[index].truncate(half);
        assert_eq!(assemble(&truncated), None);
        let mut flipped = chunks.clone();
        flipped[index][half] ^= 1;
        assert_eq!(assemble(&flipped), None);
    }
}

#[test]
fn mixed_writers() {
    let old = Snapshot::of_shard(&large_shard().export());
    let mut later = large_shard();
    later.skip(Offset(7));
    let new = Snapshot::of_shard(&later.export());
    let mixed: Vec<Vec<u8>> = old.chunks(1).into_iter().zip(new.chunks(2)).flat_map(|(a, b)| [a, b]).collect();
    let mut assembler = SnapshotAssembler::default();
    let found: Vec<Snapshot> = mixed.iter().filter_map(|chunk| assembler.add(chunk).unwrap()).collect();
    assert_eq!(found, [old.clone(), new.clone()]);
    // Chunks of two writers that drew the same id must not be combined into one snapshot.
    let same_id: Vec<Vec<u8>> = old.chunks(1).into_iter().take(1).chain(new.chunks(1).into_iter().skip(1)).collect();
    assert_eq!(assemble(&same_id), None);
}
