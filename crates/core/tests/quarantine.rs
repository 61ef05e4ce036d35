//! Suspects, their isolation, reports between instances, and the rate of false quarantines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootpick_core::names::{BackendServerName, BudgetKey, Stage};
use coltsfootpick_core::quarantine::{Fingerprint, Loss, Quarantine, QuarantineStatus, SUSPICION_TTL};
use coltsfootpick_core::units::Instant;
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};

const NOW: Instant = Instant(Duration::from_secs(1));

fn fingerprint(number: u64) -> Fingerprint {
    let account = BudgetKey { environment: "e".into(), stage: Stage::Production, account: "a".into() };
    Fingerprint::of(&account, &"s".into(), &number.to_be_bytes())
}

fn loss(server: &str, number: u64) -> Loss {
    Loss { server: server.into(), number }
}

#[test]
fn two_lost_servers() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.record_loss(fingerprint(1), loss("x", 1), NOW), QuarantineStatus::Suspect);
    assert_eq!(
        quarantine.record_loss(fingerprint(1), loss("x", 2), NOW),
        QuarantineStatus::Suspect,
        "two losses of the same server count once"
    );
    assert_eq!(quarantine.barred_servers(fingerprint(1)), vec!["x".into()]);
    assert_eq!(quarantine.record_loss(fingerprint(1), loss("y", 3), NOW), QuarantineStatus::Quarantined);
    assert_eq!(quarantine.status(fingerprint(2), NOW), QuarantineStatus::Clear);
    quarantine.record_completion(fingerprint(1), NOW);
    assert_eq!(
        quarantine.status(fingerprint(1), NOW),
        QuarantineStatus::Quarantined,
        "a quarantine is not lifted by a late answer"
    );
    assert_eq!(quarantine.status(fingerprint(1), NOW.after(SUSPICION_TTL)), QuarantineStatus::Clear);
}

#[test]
fn excused_suspect() {
    let mut quarantine = Quarantine::default();
    quarantine.record_loss(fingerprint(1), loss("x", 1), NOW);
    quarantine.record_completion(fingerprint(1), NOW);
    assert_eq!(quarantine.status(fingerprint(1), NOW), QuarantineStatus::Clear);
    assert_eq!(
        quarantine.record_loss(fingerprint(1), loss("y", 2), NOW),
        QuarantineStatus::Suspect,
        "earlier losses no longer count"
    );
}

#[test]
fn repeated_reports() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    here.record_loss(fingerprint(1), loss("x", 1), NOW);
    for _ in 0..2 {
        there.merge_reports(here.reports(NOW), NOW);
    }
    assert_eq!(there.status(fingerprint(1), NOW), QuarantineStatus::Suspect);
    let earlier = there.reports(NOW);
    assert_eq!(there.record_loss(fingerprint(1), loss("y", 2), NOW), QuarantineStatus::Quarantined);
    here.merge_reports(there.reports(NOW), NOW);
    here.merge_reports(earlier, NOW);
    assert_eq!(here.status(fingerprint(1), NOW), QuarantineStatus::Quarantined);
}

#[test]
fn isolated_suspect() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.isolate(fingerprint(1), &"x".into()));
    assert!(!quarantine.isolate(fingerprint(2), &"x".into()), "a server runs one suspect at a time");
    assert!(!quarantine.isolate(fingerprint(1), &"y".into()), "a suspect runs on one server at a time");
    quarantine.release(&"x".into());
    assert!(quarantine.isolate(fingerprint(2), &"x".into()));
}

#[derive(Debug, Default)]
struct Tally {
    crashing: u64,
    losses: BTreeMap<u64, u64>,
    false_quarantines: u64,
    harmless: u64,
}

const SERVERS: usize = 12;
const BATCH: usize = 8;

/// Simulates rounds in which each server runs a batch and is lost if the batch has a crashing request.
///
/// Callers repeat failed requests, and suspects run isolated if `isolates` is set.
fn simulate(seed: u64, rounds: usize, isolates: bool) -> Tally {
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut tally = Tally::default();
    let mut waiting: Vec<u64> = Vec::new();
    let mut crashing = BTreeSet::new();
    let mut next = 0;
    for _ in 0..rounds {
        while waiting.len() < SERVERS * BATCH {
            next += 1;
            if random.next_u64() % 400 == 0 {
                crashing.insert(next);
                tally.crashing += 1;
            } else {
                tally.harmless += 1;
            }
            waiting.push(next);
        }
        let mut batches: Vec<Vec<u64>> = vec![Vec::new(); SERVERS];
        let mut later = Vec::new();
        for request in waiting.drain(..) {
            let start = usize::try_from(random.next_u64() % SERVERS as u64).unwrap();
            let barred = quarantine.barred_servers(fingerprint(request));
            let is_suspect = quarantine.status(fingerprint(request), NOW) == QuarantineStatus::Suspect;
            let target = (0..SERVERS).map(|step| (start + step) % SERVERS).find(|server| {
                let name = BackendServerName::from(format!("server-{server}"));
                let has_capacity = batches[*server].len() < BATCH && !barred.contains(&name);
                has_capacity && (!is_suspect || !isolates || quarantine.isolate(fingerprint(request), &name))
            });
            match target {
                Some(server) => batches[server].push(request),
                None => later.push(request),
            }
        }
        for (index, batch) in batches.into_iter().enumerate() {
            let name = BackendServerName::from(format!("server-{index}"));
            quarantine.release(&name);
            let causes: Vec<u64> = batch.iter().filter(|request| crashing.contains(request)).copied().collect();
            for request in batch {
                match causes.is_empty() {
                    true => quarantine.record_completion(fingerprint(request), NOW),
                    false => {
                        let number = random.next_u64();
                        match quarantine.record_loss(fingerprint(request), Loss { server: name.clone(), number }, NOW) {
                            QuarantineStatus::Quarantined if !crashing.contains(&request) => {
                                tally.false_quarantines += 1;
                            }
                            QuarantineStatus::Quarantined => {}
                            _ => later.push(request),
                        }
                    }
                }
            }
            for cause in causes {
                *tally.losses.entry(cause).or_default() += 1;
            }
        }
        waiting = later;
    }
    tally
}

#[test]
fn false_quarantine() {
    let mut isolated = Tally::default();
    let mut mixed = Tally::default();
    for seed in 0..4 {
        for (tally, isolates) in [(&mut isolated, true), (&mut mixed, false)] {
            let run = simulate(seed, 150, isolates);
            assert!(run.losses.values().all(|count| *count <= 2), "a crashing request crashed more than two servers");
            tally.false_quarantines += run.false_quarantines;
            tally.harmless += run.harmless;
            tally.crashing += run.crashing;
        }
    }
    println!(
        "false quarantines: {} of {} harmless with {} crashing; without isolation {} of {}",
        isolated.false_quarantines, isolated.harmless, isolated.crashing, mixed.false_quarantines, mixed.harmless
    );
    assert!(
        isolated.false_quarantines <= isolated.crashing,
        "at most one harmless request per crashing one: {isolated:?}"
    );
    assert!(isolated.false_quarantines < mixed.false_quarantines);
}
