//! Brittle servers: rejections a second over fleets of any size, room that shrinks without a word, and reports.

use std::time::Duration;

use coltsfootpick_core::brittle_servers::{BrittleServers, Room, ServerUse, allowance};
use coltsfootpick_core::names::ServiceName;
use coltsfootpick_core::server_limits::{FleetPlace, ServerRun};
use coltsfootpick_core::units::{ClockReading, Instant};
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};
use test_case::{test_case, test_matrix};

const STEP_MS: u64 = 20;

const RUN_MS: u64 = 300;

fn service() -> ServiceName {
    "records".into()
}

fn run() -> ServerRun {
    ServerRun { name: "server".into(), started_at: Some(1) }
}

fn clock(ms: u64) -> ClockReading {
    ClockReading { now: Instant(Duration::from_millis(60_000 + ms)), unix: 1_000_000 + ms }
}

/// Requests that one server ran and rejected.
#[derive(Default)]
struct Tally {
    ran: usize,
    rejected_at: Vec<u64>,
}

impl Tally {
    fn worst_second(&self) -> usize {
        let in_second =
            |start: &u64| self.rejected_at.iter().filter(|at| (*start..*start + 1_000).contains(at)).count();
        self.rejected_at.iter().map(in_second).max().unwrap_or_default()
    }
}

/// Plays `size` instances, each with more requests than the server has room for; the queue shrinks from 10 to 0 at 5 s.
fn play(size: usize, slots: u32, threshold: u32, told: bool) -> Tally {
    let mut random = ChaCha12Rng::seed_from_u64(size as u64 + u64::from(threshold));
    let mut fleet: Vec<BrittleServers> = (0..size).map(|_| BrittleServers::default()).collect();
    let mut open: Vec<(usize, u64)> = Vec::new();
    let (mut tally, server) = (Tally::default(), run());
    for ms in (0..12_000).step_by(usize::try_from(STEP_MS).unwrap()) {
        let now = clock(ms).now;
        open.retain(|(_, end)| *end > ms);
        let mut own_open = vec![0_u32; size];
        for (owner, _) in &open {
            own_open[*owner] += 1;
        }
        let first = usize::try_from(random.next_u64()).unwrap_or_default() % size;
        // About 16 requests want to be sent in each step, more than the server can run.
        for at in (0..size.max(16)).map(|index| (first + index) % size) {
            if told && ms % 1_000 == 0 {
                fleet[at].record(&service(), &run(), Some(threshold), clock(ms));
            }
            let own = own_open[at];
            let room = match fleet[at].threshold(&service(), now) {
                Some(threshold) => {
                    fleet[at].room(ServerUse { run: &server, threshold, slots, open: own }, size, || at, now)
                }
                None => Room::Free,
            };
            if room != Room::Free {
                continue;
            }
            let queue = if ms < 5_000 { 10 } else { 0 };
            if open.len() < slots as usize + queue {
                tally.ran += 1;
                open.push((at, ms + RUN_MS));
                own_open[at] += 1;
            } else {
                tally.rejected_at.push(ms);
                fleet[at].note_rejected(ServerUse { run: &server, threshold, slots, open: own }, size, || at, now);
            }
        }
    }
    tally
}

#[test_matrix([1, 6, 75, 295], [1, 2, 3, 20])]
fn fleet_below_threshold(size: usize, threshold: u32) {
    let tally = play(size, 64, threshold, true);
    let worst = tally.worst_second();
    assert!(worst <= threshold as usize, "{worst} rejections in a second, {threshold} make the server fall over");
    // Most of the slots that the fleet may use, for 12 s of runs of 300 ms.
    assert!(tally.ran >= 64 * 7 / 10 * 40, "only {} requests ran", tally.ran);
}

/// Without the rule the same load makes the server fall over.
#[test]
fn untold_fleet_exceeds() {
    assert!(play(6, 64, 3, false).worst_second() > 3);
}

#[test_case(6, 6; "small server")]
#[test_case(64, 75; "large fleet")]
#[test_case(64, 295; "larger fleet than slots")]
fn parts_fit(slots: u32, size: usize) {
    let parts: u32 = (0..size).map(|turn| allowance(slots, FleetPlace { turn, size })).sum();
    assert!(parts > 0 && parts <= slots, "{parts} of {slots}");
}

/// A threshold ends once answers have named none for a while, and not with the first of them.
#[test]
fn lifted_threshold() {
    let mut servers = BrittleServers::default();
    assert!(servers.record(&service(), &run(), Some(3), clock(0)).is_some());
    assert!(servers.record(&service(), &run(), None, clock(100)).is_none());
    assert_eq!(servers.threshold(&service(), clock(200).now), Some(3));
    assert!(servers.record(&service(), &run(), None, clock(2_200)).is_some_and(|change| change.threshold.is_none()));
    assert!(servers.is_empty());
}

/// A server that says nothing of it does not end the threshold that another one tells.
#[test]
fn mixed_servers() {
    let mut servers = BrittleServers::default();
    let sound = ServerRun { name: "other".into(), started_at: Some(1) };
    servers.record(&service(), &run(), Some(1), clock(0));
    for ms in (0..10_000).step_by(500) {
        servers.record(&service(), &sound, None, clock(ms));
    }
    assert_eq!(servers.threshold(&service(), clock(10_000).now), Some(1));
}

#[test]
fn told_by_peer() {
    let (mut teller, mut hearer) = (BrittleServers::default(), BrittleServers::default());
    teller.record(&service(), &run(), Some(2), clock(0));
    assert!(teller.take_news());
    hearer.merge(teller.own_reports(clock(100).now), clock(100));
    assert_eq!(hearer.threshold(&service(), clock(100).now), Some(2));
    assert_eq!(hearer.merge(teller.own_reports(clock(100).now), clock(200)), Vec::new());
    assert_eq!(hearer.threshold(&service(), clock(40_000).now), None, "a threshold is forgotten");
}
