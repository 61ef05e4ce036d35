//! Environments under random commands of racing operators: versions only grow, repeats count once, the promoted
//! document is the trial one, and a state restored from a snapshot continues exactly like the original.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootpick_core::environments::{ChangeOutcome, Environments};
use coltsfootpick_core::record::{EnvironmentRecord, Promote, Publish};
use coltsfootpick_core::units::Offset;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MARKETS: [&str; 2] = ["tahrir", "swan"];
const OPERATORS: [&str; 3] = ["nadia", "samir", "lena"];

/// Command of an operator; a repeated command has the id of an earlier one.
#[derive(Clone, Debug)]
struct Command {
    id: u8,
    market: usize,
    operator: usize,
    expected: u64,
    kind: Kind,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Trial,
    Promote,
    InvalidDocument,
    Undecodable,
}

fn command() -> impl Strategy<Value = Command> {
    let kind = prop_oneof![
        4 => Just(Kind::Trial),
        4 => Just(Kind::Promote),
        1 => Just(Kind::InvalidDocument),
        1 => Just(Kind::Undecodable),
    ];
    (0_u8..40, 0..MARKETS.len(), 0..OPERATORS.len(), 0_u64..8, kind)
        .prop_map(|(id, market, operator, expected, kind)| Command { id, market, operator, expected, kind })
}

fn document_text(command: &Command) -> String {
    match command.kind {
        Kind::InvalidDocument => "[environment\n".to_owned(),
        _ => format!("; by {}\n[environment {}]\n[service s]\nkind = engine\n", command.id, MARKETS[command.market]),
    }
}

fn record(command: &Command) -> Option<EnvironmentRecord> {
    let id = format!("order-{}", command.id).into();
    let environment = MARKETS[command.market].into();
    let operator = Arc::from(OPERATORS[command.operator]);
    match command.kind {
        Kind::Undecodable => None,
        Kind::Promote => {
            Some(EnvironmentRecord::Promote(Promote { id, environment, expected: command.expected, operator }))
        }
        Kind::Trial | Kind::InvalidDocument => {
            let document = Arc::from(document_text(command));
            Some(EnvironmentRecord::Trial(Publish { id, environment, expected: command.expected, document, operator }))
        }
    }
}

fn apply(environments: &mut Environments, offset: usize, command: &Command) -> Option<ChangeOutcome> {
    let offset = Offset(offset as u64);
    match record(command) {
        Some(record) => Some(environments.apply(offset, &record)),
        None => {
            environments.skip(offset);
            None
        }
    }
}

fn versions(environments: &Environments) -> BTreeMap<String, u64> {
    environments.iter().map(|(name, environment)| (name.to_string(), environment.version)).collect()
}

/// Fixed, so that every run sees the same inputs.
const SEED: RngSeed = RngSeed::Fixed(23);

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: SEED, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn versions_grow(commands in prop::collection::vec(command(), 1..120)) {
        let mut environments = Environments::default();
        for (offset, command) in commands.iter().enumerate() {
            let before = versions(&environments);
            let outcome = apply(&mut environments, offset, command);
            let after = versions(&environments);
            for (name, version) in &before {
                let now = after.get(name).copied().unwrap_or_default();
                prop_assert!(now >= *version, "the version of {name} decreased");
                prop_assert!(now <= *version + 1, "{name} skipped a version");
            }
            let grew = before != after;
            prop_assert_eq!(grew, matches!(outcome, Some(ChangeOutcome::InForce(_))));
        }
    }

    #[test]
    fn promotes_trial_document(commands in prop::collection::vec(command(), 1..120)) {
        let mut environments = Environments::default();
        for (offset, command) in commands.iter().enumerate() {
            let name = MARKETS[command.market].into();
            let trial = environments.get(&name).map(|environment| Arc::clone(&environment.trial));
            let outcome = apply(&mut environments, offset, command);
            if matches!((command.kind, outcome), (Kind::Promote, Some(ChangeOutcome::InForce(_)))) {
                let production = environments.get(&name).and_then(|environment| environment.production.clone());
                prop_assert_eq!(production, trial);
            }
        }
    }

    #[test]
    fn snapshot_resumes(commands in prop::collection::vec(command(), 2..120), cut in any::<prop::sample::Index>()) {
        let cut = cut.index(commands.len());
        let mut whole = Environments::default();
        let mut resumed = Environments::default();
        for (offset, command) in commands.iter().enumerate() {
            if offset == cut {
                resumed = Environments::import(whole.export());
            }
            apply(&mut whole, offset, command);
            if offset >= cut {
                apply(&mut resumed, offset, command);
            }
        }
        prop_assert_eq!(versions(&whole), versions(&resumed));
        prop_assert_eq!(whole, resumed);
    }
}
