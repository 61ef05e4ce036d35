//! Simulation of the shares by which requests leave their zone: instances that run the product's selection against engines
//! in virtual time, under loads and capacities that differ between zones.
//!
//! See `docs/design/ZONES.md` for what it leaves out. Times are in milliseconds.

#![allow(clippy::cast_precision_loss, reason = "counts of one run are far below the precision of f64")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use coltsfootpick_core::fleet_load::FleetEngine;
use coltsfootpick_core::names::BackendServerName;
use coltsfootpick_core::selection::{
    Candidate, Generation, Location, PromptPart, SelectionRequest, ServerLoad, choose,
};
use coltsfootpick_core::units::{Instant, Tokens};
use coltsfootpick_core::zone_shares::{ZoneServer, ZoneShares};
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};

use crate::engine_load::SIXTEEN_SLOTS;
use crate::engine_model::{Progress, SimulatedEngine};
use crate::engine_placement_simulation::uniform;

/// Number of zones, two in each region.
pub const ZONES: usize = 6;
const ZONES_PER_REGION: usize = 2;
const START: Instant = Instant(Duration::from_secs(1_000));
const VIEW_INTERVAL_MS: f64 = 100.0;
const SWING_WINDOW_MS: f64 = 250.0;
/// Bytes of a request without its prompt, of a prompt token and of an answer's token.
const HEAD_BYTES: u64 = 600;
const TOKEN_BYTES: (u64, u64) = (3, 20);

/// Rule by which requests leave their zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The shares of the product.
    Shares,
    /// The shares of the product, which stay at zero.
    Zero,
    /// Fixed costs of the distance.
    Cost,
    /// No request leaves a zone that has servers.
    Never,
    /// All servers count as near.
    Ignored,
}

/// One run. Functions of time get the seconds since the start.
#[derive(Clone, Copy, Debug)]
pub struct ZoneScenario {
    /// Rule by which requests leave their zone.
    pub rule: Rule,
    /// Number of instances, the same in all zones.
    pub instances: usize,
    /// Engines in each zone.
    pub engines: [usize; ZONES],
    /// Speed of the engines of each zone.
    pub speeds: [f64; ZONES],
    /// Requests per second of a zone.
    pub rate: fn(usize, f64) -> f64,
    /// Whether the servers of a zone take requests.
    pub is_up: fn(usize, f64) -> bool,
    /// Whether prompts have parts that other requests share.
    pub has_shared_parts: bool,
    /// Age of the newest message when it arrives.
    pub view_age_ms: f64,
    /// Time in which requests arrive, in seconds.
    pub seconds: f64,
    /// Time from which requests are measured, in seconds.
    pub measured_from: f64,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct ZoneReport {
    /// Requests measured.
    pub requests: u64,
    /// First events within the objective.
    pub in_time: u64,
    /// Bytes between zones of a region.
    pub zone_bytes: u64,
    /// Bytes between regions.
    pub region_bytes: u64,
    /// Shared prompt tokens that were computed.
    pub recomputed: u64,
    /// Largest difference between the leaving shares of two instances of a zone at the end.
    pub spread: f64,
    /// Longest swing: the largest way that the mean share of a zone went back after it had gone as far the other way.
    pub swing: f64,
    /// Mean leaving share of each zone at the end.
    pub leaving: [f64; ZONES],
    /// Largest change of one instance's leaving share in a window of 250 ms.
    pub step: f64,
}

impl ZoneReport {
    /// Part of the requests whose first event was in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    /// Price of the transferred bytes in units, by the prices of the design page.
    pub fn units(&self) -> f64 {
        self.zone_bytes as f64 / 1e9 * 1_900.0 + self.region_bytes as f64 / 1e9 * 7_600.0
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { zone: usize },
    Delivery { job: usize },
    StepEnd { engine: usize },
    FirstHeard { job: usize },
    EndHeard { job: usize },
    Message,
    Watch,
}

#[derive(Debug)]
struct Job {
    instance: usize,
    engine: usize,
    generation: Generation,
    arrived: f64,
    uncached: u64,
    predicted: f64,
    first_ms: f64,
    first_at: Option<f64>,
}

#[derive(Debug)]
struct Snapshot {
    at: f64,
    totals: Vec<[f64; 3]>,
    own: Vec<Vec<[f64; 3]>>,
}

/// Way of a zone's mean share: its last extremes, and the longest way back.
#[derive(Clone, Copy, Debug, Default)]
struct Swing {
    turn: f64,
    extreme: f64,
    longest: f64,
}

impl Swing {
    fn watch(&mut self, share: f64) {
        let (out, back) = (self.extreme - self.turn, share - self.extreme);
        if back * out >= 0.0 {
            self.extreme = share;
        } else if back.abs() > 0.01 {
            self.longest = self.longest.max(out.abs().min(back.abs()));
            if back.abs() >= out.abs() {
                self.turn = self.extreme;
                self.extreme = share;
            }
        }
    }
}

#[derive(Debug)]
struct Simulation {
    scenario: ZoneScenario,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    rng: ChaCha12Rng,
    names: Vec<BackendServerName>,
    zone_of: Vec<usize>,
    zones: Vec<Location>,
    engines: Vec<SimulatedEngine>,
    loads: Vec<Vec<ServerLoad>>,
    shares: Vec<ZoneShares>,
    watched: Vec<f64>,
    swings: [Swing; ZONES],
    snapshots: VecDeque<Snapshot>,
    jobs: Vec<Job>,
    report: ZoneReport,
}

/// Runs `scenario`.
pub fn run(scenario: &ZoneScenario) -> ZoneReport {
    let mut simulation = Simulation::new(scenario);
    for zone in 0..ZONES {
        simulation.schedule(0.0, Event::Arrival { zone });
    }
    simulation.schedule(0.0, Event::Message);
    simulation.schedule(0.0, Event::Watch);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at as f64 / 1e3;
        if simulation.now > simulation.end() + 2_000.0 {
            break;
        }
        simulation.handle(event);
    }
    simulation.finish()
}

/// One-way latency between zones, in milliseconds.
const fn latency(one: usize, other: usize) -> f64 {
    match (one, other) {
        _ if one == other => 0.1,
        _ if one / ZONES_PER_REGION == other / ZONES_PER_REGION => 1.2,
        _ => 8.0,
    }
}

impl Simulation {
    fn new(scenario: &ZoneScenario) -> Self {
        let zone_of: Vec<usize> =
            (0..ZONES).flat_map(|zone| std::iter::repeat_n(zone, scenario.engines[zone])).collect();
        let zones = (0..ZONES).map(|zone| Location {
            zone: format!("zone-{zone}").into(),
            region: format!("region-{}", zone / ZONES_PER_REGION).into(),
        });
        let engine = |zone: &usize| SimulatedEngine::new(SIXTEEN_SLOTS.spec, scenario.speeds[*zone]);
        Self {
            now: 0.0,
            events: BinaryHeap::new(),
            event_count: 0,
            rng: ChaCha12Rng::seed_from_u64(scenario.seed),
            names: (0..zone_of.len()).map(|index| BackendServerName::from(format!("engine-{index:03}"))).collect(),
            zones: zones.collect(),
            engines: zone_of.iter().map(engine).collect(),
            loads: vec![vec![ServerLoad::default(); zone_of.len()]; scenario.instances],
            shares: vec![ZoneShares::default(); scenario.instances],
            watched: vec![0.0; scenario.instances],
            swings: [Swing::default(); ZONES],
            snapshots: VecDeque::new(),
            jobs: Vec::new(),
            report: ZoneReport::default(),
            zone_of,
            scenario: *scenario,
        }
    }

    fn end(&self) -> f64 {
        self.scenario.seconds * 1e3
    }

    fn seconds(&self) -> f64 {
        self.now / 1e3
    }

    fn schedule(&mut self, after_ms: f64, event: Event) {
        self.event_count += 1;
        let at = Duration::from_secs_f64((self.now + after_ms) / 1e3).as_micros();
        self.events.push(Reverse((u64::try_from(at).unwrap_or(u64::MAX), self.event_count, event)));
    }

    fn instant(&self) -> Instant {
        START.after(Duration::from_secs_f64(self.now / 1e3))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { zone } => self.arrive(zone),
            Event::Delivery { job } => {
                let Job { engine, ref generation, .. } = self.jobs[job];
                self.engines[engine].receive(job, &generation.parts, generation.prompt.0, generation.output.0);
                self.step(engine);
            }
            Event::StepEnd { engine } => self.end_step(engine),
            Event::FirstHeard { job } => {
                let Job { instance, engine, arrived, uncached, predicted, .. } = self.jobs[job];
                let span = Duration::from_secs_f64((self.now - arrived) / 1e3);
                self.jobs[job].first_at = Some(self.now);
                self.loads[instance][engine].note_first_token(uncached, span, predicted);
            }
            Event::EndHeard { job } => {
                let Job { instance, engine, ref generation, .. } = self.jobs[job];
                self.loads[instance][engine].note_released(generation.bound().0);
                self.loads[instance][engine].note_end();
            }
            Event::Message => self.take_snapshot(),
            Event::Watch => self.watch(),
        }
    }

    fn arrive(&mut self, zone: usize) {
        if self.now >= self.end() {
            return;
        }
        let rate = (self.scenario.rate)(zone, self.seconds());
        let gap = -(1.0 - uniform(&mut self.rng)).ln() * 1e3 / rate.max(0.1);
        self.schedule(gap, Event::Arrival { zone });
        let per_zone = self.scenario.instances / ZONES;
        let instance = usize::try_from(self.rng.next_u64() % per_zone as u64).unwrap_or(0) * ZONES + zone;
        let (kind, mut generation, _) = SIXTEEN_SLOTS.draw(&mut self.rng);
        if !self.scenario.has_shared_parts {
            let own = generation.parts.last().map_or(0, |part| part.id);
            generation.parts = vec![PromptPart { id: own, tokens: generation.prompt.0 }];
        }
        let hash = self.rng.next_u64();
        let Some((engine, predicted, uncached)) = self.select(instance, &generation, kind, hash) else { return };
        let load = &mut self.loads[instance][engine];
        load.note_start(&generation.parts, uncached, START.after(Duration::from_secs_f64(self.now / 1e3)));
        load.note_held(generation.bound().0);
        if self.seconds() >= self.scenario.measured_from {
            let bytes = HEAD_BYTES + generation.prompt.0 * TOKEN_BYTES.0 + generation.output.0 * TOKEN_BYTES.1;
            match latency(zone, self.zone_of[engine]) {
                latency if latency > 2.0 => self.report.region_bytes += bytes,
                latency if latency > 0.5 => self.report.zone_bytes += bytes,
                _ => {}
            }
        }
        let first_ms = SIXTEEN_SLOTS.kinds[kind].first_ms;
        let (arrived, first_at) = (self.now, None);
        self.jobs.push(Job { instance, engine, generation, arrived, uncached, predicted, first_ms, first_at });
        self.schedule(latency(zone, self.zone_of[engine]), Event::Delivery { job: self.jobs.len() - 1 });
    }

    fn select(
        &mut self,
        instance: usize,
        generation: &Generation,
        kind: usize,
        hash: u64,
    ) -> Option<(usize, f64, u64)> {
        let (now, own) = (self.instant(), instance % ZONES);
        let mut shares = std::mem::take(&mut self.shares[instance]);
        let is_near = self.scenario.rule == Rule::Ignored;
        let up = |zone: usize| (self.scenario.is_up)(zone, self.seconds());
        let usable = (0..self.engines.len()).filter(|engine| up(self.zone_of[*engine]));
        let is_kept = |engine: &usize| self.scenario.rule != Rule::Never || self.zone_of[*engine] == own || !up(own);
        let kept: Vec<usize> = usable.filter(is_kept).collect();
        let candidates: Vec<Candidate<'_>> = kept
            .iter()
            .map(|engine| Candidate {
                name: &self.names[*engine],
                location: &self.zones[if is_near { own } else { self.zone_of[*engine] }],
                load: &self.loads[instance][*engine],
                slots: u32::try_from(SIXTEEN_SLOTS.spec.slots).unwrap_or(u32::MAX),
                fleet: self.view(instance, *engine),
            })
            .collect();
        let mut has_view = candidates.iter().any(|candidate| candidate.fleet.is_some());
        if self.scenario.rule == Rule::Shares && shares.is_due(now) {
            let servers: Vec<_> =
                candidates.iter().filter_map(|candidate| ZoneServer::of(candidate, true, now)).collect();
            has_view = !servers.is_empty();
            if has_view {
                shares.step(&self.zones[own], servers, now);
            }
        }
        let drawn = shares.draw(hash).unwrap_or(&self.zones[own].zone);
        let pause = SIXTEEN_SLOTS.kinds[kind].pause_ms;
        let request = SelectionRequest {
            generation: Some(generation),
            location: &self.zones[own],
            pause_objective: pause.map(|pause| Duration::from_secs_f64(pause / 1e3)),
            kv_capacity: Some(Tokens(SIXTEEN_SLOTS.spec.memory)),
            zone: (has_view && matches!(self.scenario.rule, Rule::Shares | Rule::Zero)).then_some(drawn),
            now,
        };
        let found = choose(&request, &candidates);
        drop(candidates);
        self.shares[instance] = shares;
        let found = found?;
        Some((kept[found.index], found.predicted, found.uncached))
    }

    /// What `instance` knows of an engine beyond its own requests. Speeds are known, as learned ones are over time.
    fn view(&self, instance: usize, engine: usize) -> Option<FleetEngine> {
        let shown = self.snapshots.iter().rev().find(|it| it.at <= self.now - self.scenario.view_age_ms);
        let shown = shown.or_else(|| self.snapshots.front())?;
        let (all, own) = (shown.totals[engine], shown.own[instance][engine]);
        let slowness = 50.0 / SIXTEEN_SLOTS.spec.prefill_per_ms / self.engines[engine].speed;
        let age = Duration::from_secs_f64((self.now - shown.at).max(0.0) / 1e3);
        let less = |index: usize| (all[index] - own[index]).max(0.0);
        let (open, prefill, held) = (less(0), less(1), less(2));
        Some(FleetEngine { open, prefill, held, slowness, step_slowness: slowness, age })
            .filter(|view| view.age <= Duration::from_secs(1))
    }

    fn step(&mut self, engine: usize) {
        if self.engines[engine].is_stepping {
            return;
        }
        if let Some(duration) = self.engines[engine].start_step() {
            self.schedule(duration, Event::StepEnd { engine });
        }
    }

    fn end_step(&mut self, engine: usize) {
        let mut progress = Vec::new();
        self.engines[engine].end_step(&mut progress);
        for progress in progress {
            match progress {
                Progress::First(job) | Progress::Done(job) => {
                    let way = latency(self.jobs[job].instance % ZONES, self.zone_of[engine]);
                    let is_first = matches!(progress, Progress::First(_));
                    self.schedule(way, if is_first { Event::FirstHeard { job } } else { Event::EndHeard { job } });
                }
                Progress::Token(..) => {}
            }
        }
        self.step(engine);
    }

    fn take_snapshot(&mut self) {
        if self.now > self.end() {
            return;
        }
        self.schedule(VIEW_INTERVAL_MS, Event::Message);
        let load = |it: &ServerLoad| [f64::from(it.open()), it.uncached() as f64, it.held() as f64];
        let own: Vec<Vec<[f64; 3]>> = self.loads.iter().map(|loads| loads.iter().map(load).collect()).collect();
        let total = |engine: usize| std::array::from_fn(|index| own.iter().map(|loads| loads[engine][index]).sum());
        let totals = (0..self.engines.len()).map(total).collect();
        self.snapshots.push_back(Snapshot { at: self.now, totals, own });
        if self.snapshots.len() > 24 {
            self.snapshots.pop_front();
        }
    }

    /// Records how the shares moved.
    fn watch(&mut self) {
        if self.now > self.end() {
            return;
        }
        self.schedule(SWING_WINDOW_MS, Event::Watch);
        let mut means: BTreeMap<usize, f64> = BTreeMap::new();
        for (instance, shares) in self.shares.iter().enumerate() {
            let leaving = shares.leaving();
            self.report.step = self.report.step.max((leaving - self.watched[instance]).abs());
            self.watched[instance] = leaving;
            *means.entry(instance % ZONES).or_default() += leaving * ZONES as f64 / self.scenario.instances as f64;
        }
        for (zone, mean) in means {
            self.swings[zone].watch(mean);
            self.report.leaving[zone] = mean;
        }
    }

    fn finish(mut self) -> ZoneReport {
        let from = self.scenario.measured_from * 1e3;
        for job in self.jobs.iter().filter(|job| job.arrived >= from) {
            self.report.requests += 1;
            let is_in_time = job.first_at.is_some_and(|at| at - job.arrived <= job.first_ms);
            self.report.in_time += u64::from(is_in_time);
        }
        for engine in &self.engines {
            let measured = engine.recomputed.iter().filter(|(job, _)| self.jobs[*job].arrived >= from);
            self.report.recomputed += measured.map(|(_, tokens)| tokens).sum::<u64>();
        }
        self.report.swing = self.swings.iter().map(|swing| swing.longest).fold(0.0, f64::max);
        for zone in 0..ZONES {
            let of_zone = || self.shares.iter().skip(zone).step_by(ZONES).map(ZoneShares::leaving);
            let range = of_zone().fold(0.0, f64::max) - of_zone().fold(1.0, f64::min);
            self.report.spread = self.report.spread.max(range);
        }
        self.report
    }
}
