//! Checks the invariants of budgets and at-most-once calls under random fault schedules from fixed seeds.

use std::time::Duration;

use coltsfootpick_core::sizing::GrantSizing;
use coltsfootpick_testkit::ledger_simulation::{
    Action, INSTANCES, LedgerSimulation, Mutation, Step, Summary, Violation,
};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any};
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use test_case::test_case;

const SCHEDULE_STEPS: usize = 200;
const SCHEDULES: u64 = 2_000;
/// Number of test cases of [`invariants_hold`], which share the seeds.
const TEST_CASES: u64 = 4;
const SHRINK_STEPS: u32 = 4_000;
const HORIZONS_MS: [u64; 4] = [500, 2_000, 10_000, 3_600_000];
const SHARES_PERCENT: [u64; 3] = [10, 25, 100];

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().map_or(default, |text| text.parse().expect("the variable is a number"))
}

fn sizing(seed: u64) -> GrantSizing {
    let index = usize::try_from(seed % 12).unwrap();
    GrantSizing {
        horizon: Duration::from_millis(HORIZONS_MS[index % 4]),
        share_percent: SHARES_PERCENT[index / 4],
        settle_delay: Duration::from_millis(seed % 2 * 1_000),
    }
}

fn step() -> impl Strategy<Value = Step> {
    let action = proptest::prop_oneof![
        12 => Just(Action::Request),
        5 => Just(Action::AtMostOnceCall),
        44 => Just(Action::Advance),
        18 => Just(Action::Append),
        4 => Just(Action::DelayAppend),
        4 => Just(Action::DeliverDelayed),
        6 => Just(Action::ReadSome),
        18 => Just(Action::ReadAll),
        2 => Just(Action::InstallSnapshot),
        2 => Just(Action::TopUp),
        1 => Just(Action::RepeatTopUp),
        3 => Just(Action::Partition),
        2 => Just(Action::LogOutage),
        4 => Just(Action::Pause),
        1 => Just(Action::Crash),
        1 => Just(Action::CloseHolder),
        2 => Just(Action::ResumeElsewhere),
        1 => Just(Action::ReleaseCredit),
    ];
    (action, 0..INSTANCES, any::<u32>()).prop_map(|(action, instance, random)| Step {
        action,
        instance,
        random: random.into(),
    })
}

fn runner(seed: u64) -> TestRunner {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config { cases: 1, max_shrink_iters: SHRINK_STEPS, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

/// Generates the schedule of `seed`, without shrinking.
fn schedule(seed: u64) -> Vec<Step> {
    vec(step(), SCHEDULE_STEPS).new_tree(&mut runner(seed)).unwrap().current()
}

/// Runs the schedule of `seed`. A failing schedule is shrunk and printed with the command that reproduces it.
fn run_seed(seed: u64) -> Summary {
    let summary = std::cell::Cell::new(Summary::default());
    let result = runner(seed).run(&vec(step(), SCHEDULE_STEPS), |steps| {
        let run = LedgerSimulation::new(sizing(seed), Mutation::None).run(&steps);
        run.map(|run| summary.set(run)).map_err(|violation| TestCaseError::fail(violation.to_string()))
    });
    if let Err(TestError::Fail(reason, steps)) = result {
        panic!(
            "{reason} after {} steps: {steps:?}\nreproduce: COLTSFOOTPICK_SEED={seed} COLTSFOOTPICK_SCHEDULES=1 \
             cargo test -p coltsfootpick-testkit --test budget_schedules invariants_hold",
            steps.len()
        );
    }
    summary.get()
}

#[test_case(0; "first quarter")]
#[test_case(1; "second quarter")]
#[test_case(2; "third quarter")]
#[test_case(3; "last quarter")]
fn invariants_hold(quarter: u64) {
    let first = env_number("COLTSFOOTPICK_SEED", 1);
    let count = env_number("COLTSFOOTPICK_SCHEDULES", SCHEDULES);
    let (mut requests, mut calls, mut refused, mut stale) = (0, 0, 0, 0);
    let seeds = (first..first + count).filter(|seed| seed % TEST_CASES == quarter);
    for seed in seeds.clone() {
        let summary = run_seed(seed);
        requests += summary.requests_run;
        calls += summary.calls_run;
        refused += summary.refused;
        stale += summary.stale_refusals;
    }
    let schedules = seeds.count() as u64;
    println!("schedules={schedules} ran={requests} applied={calls} refused={refused} stale={stale}");
    assert!(
        schedules < SCHEDULES / TEST_CASES || (requests > schedules && calls > schedules),
        "the schedules exercise too little"
    );
}

#[test_case(Mutation::SpendBeforeRead, Violation::Overspend; "spend before read")]
#[test_case(Mutation::LeaseExpires, Violation::Overspend; "lease expires")]
#[test_case(Mutation::RebillOnRetry, Violation::DoubleBill; "rebill on retry")]
#[test_case(Mutation::DropBills, Violation::MissingBill; "drop bills")]
#[test_case(Mutation::DispatchLostClaim, Violation::RepeatedRun; "dispatch lost claim")]
#[test_case(Mutation::DispatchUnreadClaim, Violation::RepeatedRun; "dispatch unread claim")]
#[test_case(Mutation::NotRunAfterDispatch, Violation::FalseNotRun; "not run after dispatch")]
#[test_case(Mutation::SkipRecord, Violation::StatesDiffer; "skip record")]
fn mutation_detected(mutation: Mutation, expected: Violation) {
    let violation = (1..SCHEDULES).find_map(|seed| {
        let run = LedgerSimulation::new(sizing(seed), mutation).run(&schedule(seed));
        run.err().filter(|violation| *violation == expected)
    });
    assert_eq!(violation, Some(expected));
}
