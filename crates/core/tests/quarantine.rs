//! Suspects, their isolation, news among instances, and the rate of false quarantine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootpick_core::names::{BackendServerName, BudgetKey, Stage};
use coltsfootpick_core::quarantine::{Fingerprint, Loss, Quarantine, QuarantineStatus, SUSPICION_TTL};
use coltsfootpick_core::units::Instant;
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};

const NOW: Instant = Instant(Duration::from_secs(1));

fn print(number: u64) -> Fingerprint {
    let account = BudgetKey { environment: "e".into(), stage: Stage::Production, account: "a".into() };
    Fingerprint::of(&account, &"s".into(), &number.to_be_bytes())
}

fn loss(server: &str, number: u64) -> Loss {
    Loss { server: server.into(), number }
}

#[test]
fn two_servers() {
    let mut book = Quarantine::default();
    assert_eq!(book.record_loss(print(1), loss("x", 1), NOW), QuarantineStatus::Suspect);
    assert_eq!(
        book.record_loss(print(1), loss("x", 2), NOW),
        QuarantineStatus::Suspect,
        "one server lost twice is one server"
    );
    assert_eq!(book.barred_servers(print(1)), vec!["x".into()]);
    assert_eq!(book.record_loss(print(1), loss("y", 3), NOW), QuarantineStatus::Quarantined);
    assert_eq!(book.status(print(2), NOW), QuarantineStatus::Clear);
    book.record_completion(print(1), NOW);
    assert_eq!(
        book.status(print(1), NOW),
        QuarantineStatus::Quarantined,
        "a quarantine is not lifted by a late answer"
    );
    assert_eq!(book.status(print(1), NOW.after(SUSPICION_TTL)), QuarantineStatus::Clear);
}

#[test]
fn excused() {
    let mut book = Quarantine::default();
    book.record_loss(print(1), loss("x", 1), NOW);
    book.record_completion(print(1), NOW);
    assert_eq!(book.status(print(1), NOW), QuarantineStatus::Clear);
    assert_eq!(book.record_loss(print(1), loss("y", 2), NOW), QuarantineStatus::Suspect, "it starts from nothing");
}

#[test]
fn news_twice() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    here.record_loss(print(1), loss("x", 1), NOW);
    for _ in 0..2 {
        there.merge_reports(here.reports(NOW), NOW);
    }
    assert_eq!(there.status(print(1), NOW), QuarantineStatus::Suspect);
    let early = there.reports(NOW);
    assert_eq!(there.record_loss(print(1), loss("y", 2), NOW), QuarantineStatus::Quarantined);
    here.merge_reports(there.reports(NOW), NOW);
    here.merge_reports(early, NOW);
    assert_eq!(here.status(print(1), NOW), QuarantineStatus::Quarantined);
}

#[test]
fn alone() {
    let mut book = Quarantine::default();
    assert!(book.isolate(print(1), &"x".into()));
    assert!(!book.isolate(print(2), &"x".into()), "one suspect a server");
    assert!(!book.isolate(print(1), &"y".into()), "one server a suspect");
    book.release(&"x".into());
    assert!(book.isolate(print(2), &"x".into()));
}

#[derive(Debug, Default)]
struct Tally {
    poisons: u64,
    losses: BTreeMap<u64, u64>,
    false_quarantines: u64,
    innocents: u64,
}

const SERVERS: usize = 12;
const BATCH: usize = 8;

/// Rounds in which each server runs a batch, loses it when it holds a poison, and callers send again what failed.
fn simulate(seed: u64, rounds: usize, isolates: bool) -> Tally {
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    let mut book = Quarantine::default();
    let mut tally = Tally::default();
    let mut waiting: Vec<u64> = Vec::new();
    let mut poisons = BTreeSet::new();
    let mut next = 0;
    for _ in 0..rounds {
        while waiting.len() < SERVERS * BATCH {
            next += 1;
            if random.next_u64() % 400 == 0 {
                poisons.insert(next);
                tally.poisons += 1;
            } else {
                tally.innocents += 1;
            }
            waiting.push(next);
        }
        let mut batches: Vec<Vec<u64>> = vec![Vec::new(); SERVERS];
        let mut later = Vec::new();
        for request in waiting.drain(..) {
            let start = usize::try_from(random.next_u64() % SERVERS as u64).unwrap();
            let barred = book.barred_servers(print(request));
            let is_suspect = book.status(print(request), NOW) == QuarantineStatus::Suspect;
            let place = (0..SERVERS).map(|step| (start + step) % SERVERS).find(|server| {
                let name = BackendServerName::from(format!("server-{server}"));
                let is_free = batches[*server].len() < BATCH && !barred.contains(&name);
                is_free && (!is_suspect || !isolates || book.isolate(print(request), &name))
            });
            match place {
                Some(server) => batches[server].push(request),
                None => later.push(request),
            }
        }
        for (index, batch) in batches.into_iter().enumerate() {
            let name = BackendServerName::from(format!("server-{index}"));
            book.release(&name);
            let culprits: Vec<u64> = batch.iter().filter(|request| poisons.contains(request)).copied().collect();
            for request in batch {
                match culprits.is_empty() {
                    true => book.record_completion(print(request), NOW),
                    false => {
                        let number = random.next_u64();
                        match book.record_loss(print(request), Loss { server: name.clone(), number }, NOW) {
                            QuarantineStatus::Quarantined if !poisons.contains(&request) => {
                                tally.false_quarantines += 1
                            }
                            QuarantineStatus::Quarantined => {}
                            _ => later.push(request),
                        }
                    }
                }
            }
            for culprit in culprits {
                *tally.losses.entry(culprit).or_default() += 1;
            }
        }
        waiting = later;
    }
    tally
}

#[test]
fn false_quarantine() {
    let mut isolated = Tally::default();
    let mut crowded = Tally::default();
    for seed in 0..4 {
        for (tally, isolates) in [(&mut isolated, true), (&mut crowded, false)] {
            let run = simulate(seed, 150, isolates);
            assert!(run.losses.values().all(|count| *count <= 2), "a poison took more than two servers");
            tally.false_quarantines += run.false_quarantines;
            tally.innocents += run.innocents;
            tally.poisons += run.poisons;
        }
    }
    println!(
        "false quarantines: {} of {} innocents with {} poisons; without isolation {} of {}",
        isolated.false_quarantines, isolated.innocents, isolated.poisons, crowded.false_quarantines, crowded.innocents
    );
    assert!(isolated.false_quarantines <= isolated.poisons, "at most one innocent a poison: {isolated:?}");
    assert!(isolated.false_quarantines < crowded.false_quarantines);
}
