//! Blame of prompt parts: conviction, clearing, collateral losses, trials, abuse and reports between instances.

use std::collections::BTreeSet;
use std::time::Duration;

use coltsfootpick_core::lenders::{Fleet, FleetMember};
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::part_blame::{PARTS_MAX, PartBlame};
use coltsfootpick_core::part_evidence::{CONVICTION_MIN, PartCrash, PartStatus, PartUse, TRIAL_INTERVAL};
use coltsfootpick_core::units::{ClockReading, Instant};
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};
use test_case::test_case;

/// Unix time at the start of a test in milliseconds.
const START: u64 = 1_000_000;

const BAD: u64 = 7;

fn at(millis: u64) -> Instant {
    Instant(Duration::from_secs(60) + Duration::from_millis(millis))
}

fn clock(millis: u64) -> ClockReading {
    ClockReading { now: at(millis), unix: START + millis }
}

fn crash(server: u64, account: &str, millis: u64) -> PartCrash {
    PartCrash {
        at: START + millis,
        server: format!("server-{server}").into(),
        account: account.into(),
        weights: 1,
        is_answered: false,
    }
}

fn status(blame: &PartBlame, part: u64, account: &str, millis: u64) -> PartStatus {
    let account = ClientAccountName::from(account);
    blame.status(part, &PartUse { account: &account, weights: 1, turn: 0 }, at(millis))
}

fn is_convicted(blame: &PartBlame, part: u64, account: &str, millis: u64) -> bool {
    matches!(status(blame, part, account, millis), PartStatus::Convicted(_))
}

/// Evidence of `count` crashes a second apart.
fn accused(count: u64) -> PartBlame {
    let mut blame = PartBlame::default();
    for number in 0..count {
        blame.record_crash([BAD], &crash(number, "a", number * 1_000), at(number * 1_000));
    }
    blame
}

#[test]
fn third_crash_convicts() {
    assert_eq!(status(&accused(2), BAD, "a", 2_000), PartStatus::Suspect);
    assert!(is_convicted(&accused(3), BAD, "a", 3_000));
    assert_eq!(status(&accused(3), BAD + 1, "a", 3_000), PartStatus::Clear);
}

#[test]
fn answered_crashes() {
    let mut blame = PartBlame::default();
    for number in 0..5 {
        assert!(!is_convicted(&blame, BAD, "a", 5_000), "after {number} crashes within answers");
        blame.record_crash(
            [BAD],
            &PartCrash { is_answered: true, ..crash(number, "a", number * 1_000) },
            at(number * 1_000),
        );
    }
    assert!(is_convicted(&blame, BAD, "a", 5_000));
}

#[test]
fn whole_answer_clears() {
    let mut blame = accused(3);
    blame.record_sound([BAD], 1, clock(3_000));
    assert_eq!(status(&blame, BAD, "a", 3_000), PartStatus::Clear);
    blame.record_crash([BAD], &crash(9, "a", 4_000), at(4_000));
    assert_eq!(status(&blame, BAD, "a", 4_000), PartStatus::Clear, "a part that was just answered is not accused");
}

/// Each of two bad parts is convicted by its own crashes; a sound part that came with both is cleared by one answer.
#[test]
fn two_bad_parts() {
    let mut blame = PartBlame::default();
    for number in 0..6 {
        let bad = BAD + number % 2;
        blame.record_crash([1, bad], &crash(number, "a", number * 1_000), at(number * 1_000));
    }
    blame.record_sound([1], 1, clock(6_000));
    let convicted = [1, BAD, BAD + 1].map(|part| is_convicted(&blame, part, "a", 6_000));
    assert_eq!(convicted, [false, true, true]);
}

/// Other weights may read a part well; an answer of theirs says nothing of the ones that crashed.
#[test]
fn other_weights() {
    let mut blame = accused(3);
    let account = ClientAccountName::from("a");
    let on = |blame: &PartBlame, weights| {
        matches!(
            blame.status(BAD, &PartUse { account: &account, weights, turn: 0 }, at(3_000)),
            PartStatus::Convicted(_)
        )
    };
    assert!(on(&blame, 2), "unknown weights are not tried");
    blame.record_sound([BAD], 2, clock(3_000));
    assert!(on(&blame, 1) && !on(&blame, 2));
}

/// Servers that are lost at the same moment have a common cause, such as a power cut.
#[test]
fn power_cut() {
    let mut blame = PartBlame::default();
    for server in 0..40 {
        blame.record_crash([BAD], &crash(server, "a", server), at(server));
    }
    assert_eq!(status(&blame, BAD, "a", 100), PartStatus::Suspect);
}

#[test]
fn foreign_parts() {
    let mut blame = accused(8);
    assert_eq!(status(&blame, BAD, "victim", 8_000), PartStatus::Clear, "one account's crashes bear on it alone");
    blame.record_crash([BAD], &crash(9, "victim", 9_000), at(9_000));
    assert!(is_convicted(&blame, BAD, "victim", 9_000), "two accounts met the crashes");
}

#[test]
fn memory_flood() {
    let mut blame = accused(3);
    blame.record_crash([1], &crash(50, "b", 4_000), at(4_000));
    for part in 0..2 * PARTS_MAX as u64 {
        blame.record_crash([1_000 + part], &crash(100 + part, "flood", 5_000 + part), at(5_000 + part));
    }
    assert!(is_convicted(&blame, BAD, "a", 20_000) && status(&blame, 1, "b", 20_000) == PartStatus::Suspect);
}

/// After its conviction a part is tried by one instance after the other, and a further crash doubles the time.
#[test]
fn trials_take_turns() {
    let blame = accused(3);
    let (account, end) = (ClientAccountName::from("a"), at(2_000).after(CONVICTION_MIN));
    let status =
        |blame: &PartBlame, turn, now| blame.status(BAD, &PartUse { account: &account, weights: 1, turn }, now);
    assert_eq!(status(&blame, 0, end), PartStatus::Suspect);
    assert_eq!(status(&blame, 1, end), PartStatus::Convicted(TRIAL_INTERVAL));
    assert_eq!(status(&blame, 1, end.after(TRIAL_INTERVAL)), PartStatus::Suspect);
    let mut again = accused(3);
    again.record_crash([BAD], &crash(9, "a", 122_000), end);
    assert_eq!(status(&again, 0, end), PartStatus::Convicted(CONVICTION_MIN * 2));
    let mut fleet = Fleet::default();
    for number in 0..420 {
        fleet.insert(&format!("edge-{number}").into(), FleetMember { zone: "z".into(), capacity: 1 });
    }
    let turns: BTreeSet<u32> = (0..420).map(|number| fleet.turn(&format!("edge-{number}"), BAD)).collect();
    assert_eq!(turns, (0..420).collect(), "each instance has a turn of its own");
}

#[test_case(6; "small")]
#[test_case(75; "medium")]
#[test_case(295; "large")]
fn merged_evidence(size: usize) {
    let mut fleet: Vec<PartBlame> = (0..size).map(|_| PartBlame::default()).collect();
    for number in 0..3_u64 {
        let instance = usize::try_from(number).unwrap() % size;
        fleet[instance].record_crash([BAD, 8], &crash(number, "a", number * 1_000), at(number * 1_000));
    }
    fleet[0].record_sound([8], 1, clock(3_000));
    let reports: Vec<_> = fleet.iter_mut().map(|blame| blame.own_reports(at(3_000))).collect();
    for blame in &mut fleet {
        // Repeated and in any order.
        for report in reports.iter().chain(reports.iter().rev()) {
            blame.merge(report.clone(), false, clock(3_000));
        }
    }
    assert!(fleet.iter().all(|blame| is_convicted(blame, BAD, "a", 3_000)));
    assert!(fleet.iter().all(|blame| status(blame, 8, "a", 3_000) == PartStatus::Clear));
}

/// The next run of an instance reports what the last one had reported.
#[test]
fn next_run() {
    let reports = accused(3).own_reports(at(3_000));
    let mut next = PartBlame::default();
    next.merge(reports.clone(), true, ClockReading { now: Instant(Duration::from_secs(1)), unix: START + 4_000 });
    assert_eq!(next.own_reports(at(0)), reports);
    let mut other = PartBlame::default();
    other.merge(reports, false, clock(4_000));
    assert!(other.own_reports(at(4_000)).is_empty(), "evidence of others is not reported again");
}

#[test]
fn single_trial() {
    let mut blame = PartBlame::default();
    assert!(blame.start_trial(BAD) && !blame.start_trial(BAD));
    blame.end_trial(BAD);
    assert!(blame.start_trial(BAD));
}

/// Plays losses of servers under mixed load without a bad part, and returns how many sound parts were convicted.
///
/// Every 30 s, `together` servers are lost at the same moment.
fn false_convictions(seed: u64, together: usize) -> usize {
    const SERVERS: u64 = 18;
    const PARTS: u64 = 240;
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    let mut draw = move |limit: u64| random.next_u64() % limit;
    let mut blame = PartBlame::default();
    let mut convicted = BTreeSet::new();
    let mut open: Vec<(u64, u64, u64)> = Vec::new();
    // Half an hour in steps of 100 ms: two requests a step, which take 0.1 s to the first event and 2 s to the end.
    for step in 0..18_000_u64 {
        let now = step * 100;
        for _ in 0..2 {
            open.push((draw(PARTS), draw(SERVERS), now));
        }
        if step % 300 == 0 {
            let first = draw(SERVERS);
            let is_lost = |server: u64| (server + SERVERS - first) % SERVERS < together as u64;
            for (part, server, started) in open.iter().filter(|(_, server, _)| is_lost(*server)) {
                let crash = PartCrash { is_answered: now - started > 100, ..crash(*server, "a", now) };
                blame.record_crash([*part], &crash, at(now));
            }
            open.retain(|(_, server, _)| !is_lost(*server));
            convicted.extend((0..PARTS).filter(|part| is_convicted(&blame, *part, "a", now)));
        }
        for (part, ..) in open.extract_if(.., |(.., started)| now - *started >= 2_000) {
            blame.record_sound([part], 1, clock(now));
        }
    }
    convicted.len()
}

#[test_case(1; "single crashes")]
#[test_case(6; "a third of the servers")]
#[test_case(18; "all servers")]
fn false_blame(together: usize) {
    let convicted: usize = (0..3).map(|seed| false_convictions(seed, together)).sum();
    println!("{convicted} of 720 sound parts convicted in 180 rounds with {together} servers lost");
    assert_eq!(convicted, 0, "a loss of servers blamed sound parts");
}

/// Outcome of [`play_fleet`].
#[derive(Debug, Default)]
struct FleetOutcome {
    crashes: Vec<u64>,
    /// Requests with the bad part that were sent later than the stable window after the fifth crash.
    sent_late: usize,
    sound: usize,
    sound_refused: usize,
}

/// Plays a minute of 100 sound requests and `bad` ones with the bad part a second at `size` instances before 18 servers.
///
/// Every request has one of eight first parts and one of 240 second parts; reports reach all instances after 700 ms.
fn play_fleet(size: usize, bad: u64) -> FleetOutcome {
    const SERVERS: u64 = 18;
    let mut random = ChaCha12Rng::seed_from_u64(size as u64);
    let mut draw = move |limit: u64| random.next_u64() % limit;
    let mut fleet: Vec<PartBlame> = (0..size).map(|_| PartBlame::default()).collect();
    let mut outcome = FleetOutcome::default();
    let mut open: Vec<(u64, u64, usize, Vec<u64>)> = Vec::new();
    let mut reports = Vec::new();
    for now in (0..60_000_u64).step_by(50) {
        // Twenty steps a second.
        let is_bad_due = now > 20_000 && draw(20) < bad;
        for is_bad in std::iter::once(true).filter(|_| is_bad_due).chain([false; 5]) {
            let mut parts = vec![10 + draw(8), 100 + draw(240)];
            parts.extend(is_bad.then_some(BAD));
            let instance = usize::try_from(draw(size as u64)).unwrap();
            let is_refused = parts.iter().any(|part| is_convicted(&fleet[instance], *part, "a", now));
            outcome.sound += usize::from(!is_bad);
            outcome.sound_refused += usize::from(!is_bad && is_refused);
            let is_late = outcome.crashes.get(4).is_some_and(|fifth| now > fifth + 3_000);
            outcome.sent_late += usize::from(is_bad && !is_refused && is_late);
            if !is_refused {
                open.push((now, draw(SERVERS), instance, parts));
            }
        }
        let crashing = open.iter().filter(|(started, _, _, parts)| parts.contains(&BAD) && now - started >= 100);
        let lost: BTreeSet<u64> = crashing.map(|(_, server, ..)| *server).collect();
        outcome.crashes.extend(lost.iter().map(|_| now));
        for (started, server, instance, parts) in open.extract_if(.., |(_, server, ..)| lost.contains(server)) {
            let crash = PartCrash { is_answered: now - started > 200, ..crash(server, "a", now) };
            fleet[instance].record_crash(parts, &crash, at(now));
        }
        for (_, _, instance, parts) in open.extract_if(.., |(started, ..)| now - *started >= 2_000) {
            fleet[instance].record_sound(parts, 1, clock(now));
        }
        for blame in &mut fleet {
            if blame.take_news() || blame.has_answers() {
                reports.push((now + 700, blame.own_reports(at(now))));
            }
        }
        for (_, report) in reports.extract_if(.., |(due, _)| *due <= now) {
            for blame in &mut fleet {
                blame.merge(report.clone(), false, clock(now));
            }
        }
    }
    outcome
}

#[test_case(6, 2; "small")]
#[test_case(75, 2; "medium")]
#[test_case(295, 2; "large")]
#[test_case(295, 20; "large with many")]
fn crashes_end(size: usize, bad: u64) {
    let outcome = play_fleet(size, bad);
    let (crashes, sent_late) = (outcome.crashes.len(), outcome.sent_late);
    println!(
        "{size}: {crashes} crashes, {sent_late} late, {} of {} sound refused",
        outcome.sound_refused, outcome.sound
    );
    assert!(sent_late <= 3, "{sent_late} requests with the bad part were sent late");
    assert!(outcome.sound_refused * 100 <= outcome.sound, "{outcome:?}");
}
