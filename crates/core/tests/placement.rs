//! Placement of requests by cached prefixes, corrected load and distance, and around failing servers.

use std::time::Duration;

use coltsfootpick_core::backends::{BackendServer, LoadReport, ServerListing};
use coltsfootpick_core::cost_policy::CostPolicy;
use coltsfootpick_core::names::{AvailabilityZoneName, BackendServerName, RegionName};
use coltsfootpick_core::placement::{PlacementRequest, Policy, PolicyKind, place};
use coltsfootpick_core::prefixes::{CacheEvent, PrefixIndex, block_hashes};
use coltsfootpick_core::units::Instant;
use rand_chacha::ChaCha12Rng;
use rand_core::SeedableRng;
use test_case::test_case;

const START: Instant = Instant(Duration::from_secs(100));

fn at(millis: u64) -> Instant {
    START.after(Duration::from_millis(millis))
}

fn server(number: usize, zone: &str, region: &str) -> BackendServer {
    BackendServer::new(ServerListing {
        name: format!("engine-{number:04}").into(),
        service: "plan-review".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone.into(),
        region: region.into(),
        leaving: false,
    })
}

fn report(measured_at: Instant, running: u32, waiting: u32) -> LoadReport {
    LoadReport { measured_at, running, waiting }
}

fn servers(count: usize) -> Vec<BackendServer> {
    (0..count).map(|number| server(number, "tunis-a", "tunis")).collect()
}

/// Places prompts by one policy and counts them by server.
struct Harness {
    policy: Box<dyn Policy>,
    random: ChaCha12Rng,
    zone: AvailabilityZoneName,
    region: RegionName,
    prompts: usize,
}

impl Harness {
    fn new(kind: PolicyKind) -> Self {
        let random = ChaCha12Rng::seed_from_u64(7);
        Self { policy: kind.build(), random, zone: "tunis-a".into(), region: "tunis".into(), prompts: 0 }
    }

    fn place(&mut self, servers: &[BackendServer], prompt: &str, now: Instant) -> Option<usize> {
        let tried: &[BackendServerName] = &[];
        let request = PlacementRequest { prompt, zone: &self.zone, region: &self.region, now, tried };
        place(&*self.policy, &request, servers, &mut self.random).map(|(_, choice)| choice.index)
    }

    fn counts(&mut self, servers: &[BackendServer], prompts: usize, now: Instant) -> Vec<usize> {
        let mut counts = vec![0; servers.len()];
        for _ in 0..prompts {
            self.prompts += 1;
            let prompt = format!("{} {}", self.prompts, "x".repeat(600));
            if let Some(index) = self.place(servers, &prompt, now) {
                counts[index] += 1;
            }
        }
        counts
    }
}

#[test]
fn cached_prefix() {
    let mut harness = Harness::new(PolicyKind::Scored);
    let servers = servers(200);
    let prompt = "a schema migration plan ".repeat(400);
    let first = harness.place(&servers, &prompt, START).unwrap();
    let again = (0..100).filter(|number| harness.place(&servers, &format!("{prompt}{number}"), START) == Some(first));
    assert!(again.count() >= 95, "requests with a shared prefix go to the server that has it cached");
}

#[test]
fn crowded_server() {
    let mut harness = Harness::new(PolicyKind::Scored);
    let mut servers = servers(20);
    let prompt = "short shared prefix ".repeat(40);
    let first = harness.place(&servers, &prompt, START).unwrap();
    servers[first].note_report(&report(START, 16, 44));
    assert_ne!(harness.place(&servers, &prompt, START), Some(first), "a long queue outweighs a short cached prefix");
}

#[test]
fn lagging_report() {
    let mut server = server(0, "tunis-a", "tunis");
    for start in 0..10 {
        server.note_start(at(1_000 + start * 100));
    }
    server.note_report(&report(at(1_450), 8, 0));
    assert_eq!(server.other_load, 3, "five of the eight requests were ours at the time of the report");
    assert_eq!(server.load(), 13, "the five dispatches since then are added");
    server.note_report(&report(at(1_000), 50, 0));
    assert_eq!(server.load(), 13, "an older report is ignored");
}

#[test]
fn nearer_zone() {
    let mut harness = Harness::new(PolicyKind::Scored);
    let mut all = servers(4);
    all.extend((4..12).map(|number| server(number, "sfax-a", "sfax")));
    let counts = harness.counts(&all, 600, START);
    let near: usize = counts[..4].iter().sum();
    assert!(near > 400, "the own region is preferred among equal servers: {counts:?}");
    assert!(near < 600, "probes reach other regions");
}

#[test]
fn slow_server() {
    let mut harness = Harness::new(PolicyKind::Scored);
    let mut all = servers(4);
    for (index, server) in all.iter_mut().enumerate() {
        let measured = if index == 0 { 900 } else { 30 };
        server.note_first_token(START, Duration::from_millis(measured));
    }
    let counts = harness.counts(&all, 400, START);
    assert!(counts[0] <= 10, "a slow server is avoided: {counts:?}");
    let later = harness.counts(&all, 400, START.after(Duration::from_secs(60)));
    assert!(later[0] >= 50, "it is tried again once the measurement has aged: {later:?}");
}

#[test]
fn false_load() {
    let mut harness = Harness::new(PolicyKind::Scored);
    let mut all = servers(4);
    all[2].note_report(&report(START, 10, 100_000));
    let counts = harness.counts(&all, 4_000, START);
    assert!((1..100).contains(&counts[2]), "only probes reach a server that reports a full queue: {counts:?}");
}

#[test]
fn failed_server() {
    let mut harness = Harness::new(PolicyKind::Scored);
    let mut all = servers(2);
    all[0].note_failure(START);
    assert_eq!(harness.counts(&all, 50, START)[0], 0, "a failed server is ejected");
    let later = at(1_500);
    assert!(harness.counts(&all, 50, later)[0] > 0, "it is probed after the ejection");
    for server in &mut all {
        server.note_start(later);
    }
    assert_eq!(harness.counts(&all, 50, later)[0], 0, "the probe is a single request");
    all[0].note_first_token(later, Duration::from_millis(20));
    all[0].note_end(later);
    assert!(harness.counts(&all, 50, later)[0] > 0, "a first token ends the ejection");
}

#[test]
fn growing_ejection() {
    let mut server = server(0, "tunis-a", "tunis");
    let ejections: Vec<Duration> = (0..9)
        .map(|_| {
            server.note_failure(START);
            server.ejected_until.since(START)
        })
        .collect();
    assert!(ejections.windows(2).all(|pair| pair[0] <= pair[1]));
    assert_eq!((ejections[0], ejections[8]), (Duration::from_secs(1), Duration::from_secs(16)));
}

#[test_case(PolicyKind::Scored; "scored")]
#[test_case(PolicyKind::TwoChoices; "two choices")]
#[test_case(PolicyKind::LeastLoaded; "least loaded")]
#[test_case(PolicyKind::PrefixHash; "prefix hash")]
#[test_case(PolicyKind::RoundRobin; "round robin")]
fn leaving_server(kind: PolicyKind) {
    let mut harness = Harness::new(kind);
    let mut all = servers(3);
    all[0].leaving = true;
    let counts = harness.counts(&all, 60, START);
    assert_eq!((counts[0], counts.iter().sum::<usize>()), (0, 60), "{counts:?}");
    all[1].ejected_until = at(1);
    all[2].leaving = true;
    assert_eq!(harness.place(&all, "plan", START), None);
    assert_eq!(harness.place(&[], "plan", START), None);
    assert_eq!(kind.to_string().parse::<PolicyKind>().unwrap(), kind);
}

fn event(sequence: u64, millis: u64) -> CacheEvent {
    CacheEvent { sequence, at: at(millis), stored: Vec::new(), evicted: Vec::new() }
}

#[test]
fn late_eviction() {
    let index = PrefixIndex::default();
    let blocks = block_hashes(&"plan ".repeat(400));
    let name = BackendServerName::new("engine-0");
    index.record(&blocks, &name, at(500));
    index.apply_event(&name, &CacheEvent { evicted: blocks.clone(), ..event(0, 100) });
    assert_eq!(index.matches(&blocks)[0].blocks, blocks.len(), "the prefix was sent again after that eviction");
    index.apply_event(&name, &CacheEvent { evicted: blocks.clone(), ..event(1, 900) });
    assert!(index.matches(&blocks).is_empty());
}

#[test]
fn event_gap() {
    let index = PrefixIndex::default();
    let blocks = block_hashes(&"plan ".repeat(400));
    let name = BackendServerName::new("engine-0");
    index.record(&blocks, &name, at(0));
    index.apply_event(&name, &event(0, 10));
    index.apply_event(&name, &event(5, 20));
    assert_eq!(index.matches(&blocks)[0].blocks, blocks.len() / 2, "a gap may hide an eviction");
    index.apply_event(&name, &event(0, 30));
    assert!(index.matches(&blocks).is_empty(), "a restarted server has an empty cache");
    index.record(&blocks, &name, at(40));
    assert_eq!(index.matches(&blocks)[0].blocks, blocks.len());
}

#[test]
fn bounded_index() {
    let index = PrefixIndex::new(1_000);
    for number in 0..10_000 {
        index.record(&block_hashes(&format!("{number} {}", "x".repeat(1_000))), &"engine-0".into(), at(number));
    }
    assert!(index.len() <= 2_000, "{}", index.len());
    let last = block_hashes(&format!("{} {}", 9_999, "x".repeat(1_000)));
    assert_eq!(index.matches(&last)[0].blocks, last.len(), "the newest prefixes stay");
}

#[test]
fn bounded_scores() {
    let policy = CostPolicy::default();
    let all = servers(1_700);
    let mut random = ChaCha12Rng::seed_from_u64(1);
    let text = "a plan ".repeat(4_000);
    for number in 0..200 {
        let zone = AvailabilityZoneName::new("tunis-a");
        let region = RegionName::new("tunis");
        let prompt = format!("{}{number}", &text[..text.len() - number * 100]);
        let request = PlacementRequest { prompt: &prompt, zone: &zone, region: &region, now: START, tried: &[] };
        let choice = policy.choose(&request, &all, &mut random).unwrap();
        assert!(choice.scores.len() < 512, "{}", choice.scores);
    }
}
