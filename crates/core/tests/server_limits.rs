//! Limits that servers name: the sum over fleets of any size, changes, reports, and what an idle server still gets.

#![expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]

use std::time::Duration;

use coltsfootpick_core::server_limits::{FleetPlace, LimitReport, PROBE_INTERVAL, ServerLimits, ServerRun, share};
use coltsfootpick_core::units::{ClockReading, Instant};
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};
use test_case::{test_case, test_matrix};

const STEP_MS: u64 = 10;

/// Time from an answer to the knowledge of the whole fleet.
const REPORT_MS: u64 = 700;

const ANSWER_MS: u64 = 100;

/// Time after which an instance that had an answer with the limit counts as told.
const TOLD_MS: u64 = 500;

/// From this time after the first answer with the limit, the rule holds.
const STABLE_MS: u64 = 3_000;

const WINDOW_MS: u64 = 4_000;

fn clock(ms: u64) -> ClockReading {
    ClockReading { now: Instant(Duration::from_millis(60_000 + ms)), unix: 1_000_000 + ms }
}

fn run() -> ServerRun {
    ServerRun { name: "server".into(), started_at: Some(1) }
}

fn place(turn: usize, size: usize) -> FleetPlace {
    FleetPlace { turn, size }
}

fn may_send(limits: &mut ServerLimits, at: FleetPlace, ms: u64) -> bool {
    limits.wait(&run(), at.size, || at.turn, clock(ms).now).is_some_and(|wait| wait.is_zero())
}

/// Instances that send to one server, which names `limit_at(time)` in each answer.
struct Fleet {
    instances: Vec<ServerLimits>,
    told_at: Vec<Option<u64>>,
    /// Arrival times, and whether the sender counted as told.
    arrivals: Vec<(u64, bool)>,
}

impl Fleet {
    /// Plays `span_ms` in which each instance has `per_second` requests for the server.
    fn play(size: usize, per_second: f64, span_ms: u64, limit_at: impl Fn(u64) -> Option<f64>) -> Self {
        let mut random = ChaCha12Rng::seed_from_u64(size as u64);
        let instances = (0..size).map(|_| ServerLimits::default()).collect();
        let mut fleet = Self { instances, told_at: vec![None; size], arrivals: Vec::new() };
        let mut answers: Vec<(u64, usize)> = Vec::new();
        let mut reports: Vec<(u64, Vec<LimitReport>)> = Vec::new();
        for now in (0..span_ms).step_by(usize::try_from(STEP_MS).unwrap()) {
            for turn in 0..size {
                let is_due = (random.next_u64() % 1_000_000) as f64 / 1e6 < per_second * STEP_MS as f64 / 1e3;
                if is_due && may_send(&mut fleet.instances[turn], place(turn, size), now) {
                    fleet.instances[turn].take(&run(), size, || turn, clock(now).now);
                    fleet.arrivals.push((now, fleet.told_at[turn].is_some_and(|at| at + TOLD_MS <= now)));
                    answers.push((now + ANSWER_MS, turn));
                }
            }
            for (_, turn) in answers.extract_if(.., |(at, _)| *at <= now) {
                let limit = limit_at(now);
                fleet.instances[turn].record(&run(), limit, clock(now));
                if limit.is_some() {
                    fleet.told_at[turn].get_or_insert(now);
                }
                if fleet.instances[turn].take_news() {
                    reports.push((now + REPORT_MS, fleet.instances[turn].own_reports(clock(now).now)));
                }
            }
            for (_, report) in reports.extract_if(.., |(at, _)| *at <= now) {
                for instance in &mut fleet.instances {
                    instance.merge(report.clone(), clock(now));
                }
            }
        }
        fleet
    }

    /// Most arrivals of told instances in a window that starts between `from` and `to`.
    fn busiest(&self, from: u64, to: u64) -> usize {
        let told: Vec<u64> = self.arrivals.iter().filter(|(_, is_told)| *is_told).map(|(at, _)| *at).collect();
        let starts = told.iter().filter(|at| (from..to).contains(*at));
        let in_window = |start: u64| told.iter().filter(|at| (start..start + WINDOW_MS).contains(*at)).count();
        starts.map(|start| in_window(*start)).max().unwrap_or_default()
    }
}

fn allowed(limit: f64) -> f64 {
    limit * 1.5 * 4.0 + 5.0
}

#[test_matrix([1, 6, 75, 295, 420], [0.0, 0.2, 1.5, 8.0, 60.0])]
fn sum_over_fleet(size: usize, limit: f64) {
    let demand = (4.0 * limit + 10.0) / size as f64 + 0.5;
    let fleet = Fleet::play(size, demand, 40_000, |_| Some(limit));
    let most = fleet.busiest(STABLE_MS, 40_000);
    assert!(most as f64 <= allowed(limit), "{most} requests in 4 s, {} allowed", allowed(limit));
    let later = fleet.arrivals.iter().filter(|(at, _)| *at >= 10_000).count();
    println!("{size} instances, limit {limit}: at most {most} in 4 s, {:.2} a second", later as f64 / 30.0);
}

/// A server in need is not a dead one: instances with enough demand use what it allows.
#[test_matrix([6, 75, 295], [1.5, 8.0])]
fn limit_used(size: usize, limit: f64) {
    let fleet = Fleet::play(size, 4.0, 40_000, |_| Some(limit));
    let later = fleet.arrivals.iter().filter(|(at, _)| *at >= 10_000).count();
    assert!(later as f64 >= 0.8 * limit * 30.0, "{later} requests of {} in 30 s", limit * 30.0);
}

#[test_matrix([6, 295])]
fn changing_limit(size: usize) {
    let limit_at = |now: u64| Some(if (now / 2_000).is_multiple_of(2) { 2.0 } else { 6.0 });
    let fleet = Fleet::play(size, 40.0 / size as f64, 40_000, limit_at);
    let most = fleet.busiest(STABLE_MS, 40_000);
    assert!(most as f64 <= allowed(4.0), "{most} requests in 4 s, {} allowed on average", allowed(4.0));
}

#[test_matrix([6, 295])]
fn lifted_everywhere(size: usize) {
    let fleet = Fleet::play(size, 60.0 / size as f64, 40_000, |now| (now < 15_000).then_some(2.0));
    let later = fleet.arrivals.iter().filter(|(at, _)| *at >= 30_000).count();
    assert!(later > 500, "{later} requests of 600 in the last 10 s");
}

#[test_case(0.0; "none")]
#[test_case(0.01; "few")]
fn probed(limit: f64) {
    let fleet = Fleet::play(295, 1.0, 100_000, |now| (now < 50_000).then_some(limit));
    let probes = fleet.arrivals.iter().filter(|(at, _)| (20_000..50_000).contains(at)).count();
    assert!((1..=12).contains(&probes), "{probes} requests in 30 s");
    let later = fleet.arrivals.iter().filter(|(at, _)| *at >= 90_000).count();
    assert!(later > 2_000, "{later} requests of 2,950 in the last 10 s");
}

/// A limit that holds for long is not forgotten by the instances that send nothing.
#[test]
fn long_limit() {
    let fleet = Fleet::play(75, 0.3, 900_000, |_| Some(1.0));
    let most = fleet.busiest(STABLE_MS, 900_000);
    assert!(most as f64 <= allowed(1.0), "{most} requests in 4 s, {} allowed", allowed(1.0));
}

#[test]
fn next_run() {
    let mut limits = ServerLimits::default();
    limits.record(&run(), Some(0.0), clock(0));
    assert!(!may_send(&mut limits, place(0, 6), 10));
    let next = ServerRun { started_at: Some(2), ..run() };
    assert_eq!(limits.wait(&next, 6, || 0, clock(10).now), Some(Duration::ZERO));
}

/// Reports may arrive in any order and more than once.
#[test]
fn reordered_reports() {
    let report = |limit, ms| LimitReport { run: run(), limit, at: clock(ms).unix };
    let reports = [report(Some(0.5), 0), report(Some(4.0), 1_000), report(None, 2_000)];
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0]] {
        let mut limits = ServerLimits::default();
        for at in order.into_iter().chain(order) {
            limits.merge(vec![reports[at].clone()], clock(3_000));
        }
        assert!(may_send(&mut limits, place(9, 10), 3_000), "the newest report lifts the limit, order {order:?}");
    }
}

#[test]
fn shares() {
    let rate = |limit, at| share(limit, at).map(|share| share.rate);
    assert_eq!(rate(1.5, place(0, 6)), Some(0.25));
    assert_eq!((rate(1.5, place(6, 295)), rate(1.5, place(7, 295))), (Some(1.5 / 7.0), None));
    assert_eq!(rate(0.0, place(0, 295)), Some(1.0 / PROBE_INTERVAL.as_secs_f64()));
    assert_eq!(rate(1e9, place(294, 295)), Some(1e9 / 295.0));
}

/// Servers that come and go with limits do not fill the memory.
#[test]
fn many_servers() {
    let mut limits = ServerLimits::default();
    for number in 0..10_000 {
        limits.record(&ServerRun { name: format!("s-{number}").into(), started_at: None }, Some(1.0), clock(number));
    }
    assert!(limits.limited_count() <= 4_096);
    assert!(limits.own_reports(clock(10_000).now).len() <= 64);
}
