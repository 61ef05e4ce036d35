//! Random schedules of faults over the budgets and attempts, from fixed seeds.

use std::time::Duration;

use coltsfootpick_core::sizing::GrantSizing;
use coltsfootpick_testkit::world::{Action, Mutation, NODES, Step, Summary, Violation, World};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any};
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use test_case::test_case;

const STEPS: usize = 200;
const SCHEDULES: u64 = 2_000;
const PARTS: u64 = 4;
const SHRINKS: u32 = 4_000;
const HORIZONS_MS: [u64; 4] = [500, 2_000, 10_000, 3_600_000];
const SHARES: [u64; 3] = [10, 25, 100];

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().map_or(default, |text| text.parse().expect("a number"))
}

fn sizing(seed: u64) -> GrantSizing {
    let index = usize::try_from(seed % 12).unwrap();
    GrantSizing {
        horizon: Duration::from_millis(HORIZONS_MS[index % 4]),
        share_percent: SHARES[index / 4],
        settle_delay: Duration::from_millis(seed % 2 * 1_000),
    }
}

fn step() -> impl Strategy<Value = Step> {
    let action = proptest::prop_oneof![
        12 => Just(Action::Chat),
        5 => Just(Action::Apply),
        44 => Just(Action::Work),
        18 => Just(Action::Append),
        4 => Just(Action::DelayAppend),
        4 => Just(Action::Deliver),
        6 => Just(Action::Read),
        18 => Just(Action::ReadAll),
        2 => Just(Action::Install),
        2 => Just(Action::TopUp),
        1 => Just(Action::RepeatTopUp),
        3 => Just(Action::Cut),
        2 => Just(Action::Outage),
        4 => Just(Action::Pause),
        1 => Just(Action::Die),
        1 => Just(Action::Close),
        2 => Just(Action::TakeOver),
        1 => Just(Action::Release),
    ];
    (action, 0..NODES, any::<u32>()).prop_map(|(action, node, amount)| Step { action, node, amount: amount.into() })
}

fn runner(seed: u64) -> TestRunner {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config { cases: 1, max_shrink_iters: SHRINKS, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

/// Schedule of `seed`, as drawn.
fn schedule(seed: u64) -> Vec<Step> {
    vec(step(), STEPS).new_tree(&mut runner(seed)).unwrap().current()
}

/// Runs the schedule of `seed`; a failing one is shrunk and printed with the command that repeats it.
fn explore(seed: u64) -> Summary {
    let summary = std::cell::Cell::new(Summary::default());
    let result = runner(seed).run(&vec(step(), STEPS), |steps| {
        let run = World::new(sizing(seed), Mutation::None).run(&steps);
        run.map(|run| summary.set(run)).map_err(|violation| TestCaseError::fail(violation.to_string()))
    });
    if let Err(TestError::Fail(reason, steps)) = result {
        panic!(
            "{reason} after {} steps: {steps:?}\nrepeat: COLTSFOOTPICK_SEED={seed} COLTSFOOTPICK_SCHEDULES=1 \
             cargo test -p coltsfootpick-testkit --test budget_schedules all_hold",
            steps.len()
        );
    }
    summary.get()
}

#[test_case(0; "first quarter")]
#[test_case(1; "second quarter")]
#[test_case(2; "third quarter")]
#[test_case(3; "last quarter")]
fn all_hold(part: u64) {
    let first = number("COLTSFOOTPICK_SEED", 1);
    let count = number("COLTSFOOTPICK_SCHEDULES", SCHEDULES);
    let (mut ran, mut applied, mut refused, mut stale) = (0, 0, 0, 0);
    let seeds = (first..first + count).filter(|seed| seed % PARTS == part);
    for seed in seeds.clone() {
        let summary = explore(seed);
        ran += summary.ran;
        applied += summary.applied;
        refused += summary.refused;
        stale += summary.stale_refusals;
    }
    let done = seeds.count() as u64;
    println!("schedules={done} ran={ran} applied={applied} refused={refused} stale={stale}");
    assert!(done < SCHEDULES / PARTS || (ran > done && applied > done), "the schedules exercise too little");
}

#[test_case(Mutation::SpendUnread, Violation::Overspend; "spend unread")]
#[test_case(Mutation::LeaseLapses, Violation::Overspend; "lease lapses")]
#[test_case(Mutation::FreshBill, Violation::DoubleBill; "fresh bill")]
#[test_case(Mutation::DropBill, Violation::MissingBill; "drop bill")]
#[test_case(Mutation::DispatchLost, Violation::SecondRun; "dispatch lost")]
#[test_case(Mutation::DispatchUnread, Violation::SecondRun; "dispatch unread")]
#[test_case(Mutation::NotRunAfterDispatch, Violation::UntrueNotRun; "late refusal")]
#[test_case(Mutation::SkipRecord, Violation::FoldsDiffer; "skip record")]
fn mutation_seen(mutation: Mutation, expected: Violation) {
    let seen = (1..SCHEDULES).find_map(|seed| {
        let run = World::new(sizing(seed), mutation).run(&schedule(seed));
        run.err().filter(|violation| *violation == expected)
    });
    assert_eq!(seen, Some(expected));
}
