//! Simulation of the placement on engines: many instances that run the product's selection against engines in virtual
//! time, with views of the fleet's load of a given age.
//!
//! See `docs/design/PLACEMENT.md` for the model, its loads and what it leaves out.

#![allow(clippy::cast_precision_loss, reason = "counts of one run are far below the precision of f64")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use coltsfootpick_core::fleet_load::FleetEngine;
use coltsfootpick_core::names::BackendServerName;
use coltsfootpick_core::selection::{Candidate, Generation, Location, SelectionRequest, ServerLoad, choose};
use coltsfootpick_core::units::{Instant, Tokens};
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};

use crate::engine_load::{KINDS, PlacementLoad, RequestKind};
use crate::engine_model::{Progress, SimulatedEngine};

/// Tokens in one event of a stream.
const EVENT_TOKENS: u64 = 9;
const ZONES: usize = 6;
const ZONES_PER_REGION: usize = 2;
const START: Instant = Instant(Duration::from_secs(1_000));
/// Time between two messages that tell a view.
const VIEW_INTERVAL_MS: f64 = 50.0;
/// Time after which a sample of an engine's speed has lost half of its weight.
const SPEED_HALF_LIFE_MS: f64 = 4_000.0;
/// Nominal prompt tokens per millisecond that the product assumes.
const NOMINAL_PREFILL_PER_MS: f64 = 50.0;
/// Fewest prompt tokens computed for a request that gives a sample of the speed.
const SAMPLE_TOKENS: u64 = 2_000;
/// Nominal addition for each million pairs of prompt tokens, in milliseconds, and for each chunk beside other requests.
const NOMINAL_PAIRS_MS: f64 = 0.34;
const NOMINAL_STEP_MS: f64 = 5.5;
/// Nominal pause between two events, with the prompts that are computed meanwhile on average.
const NOMINAL_PAUSE_MS: f64 = 80.0;
/// Share of the engines that a disturbance slows, by how much, for how long and how often.
const DISTURBED_SHARE: f64 = 0.15;
const DISTURBED_SLOWDOWN: f64 = 2.5;
const DISTURBED_MS: f64 = 600.0;
const DISTURBED_EVERY_MS: f64 = 4_000.0;

/// What the instances know of the engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum View {
    /// No view: the rule without a fleet view.
    Absent,
    /// Only own requests and own samples of the speed.
    Own,
    /// The load of all instances as it was this many milliseconds ago.
    Aged(f64),
    /// The engines' own state at the moment of the decision.
    Perfect,
}

/// Where the ratio of an engine's measured to its nominal times comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speeds {
    /// Waits for first events, less what the known queue explains.
    Waits,
    /// Pauses between events.
    Pauses,
    /// The true speed, without disturbances.
    Exact,
    /// All engines count as equally fast.
    Unknown,
}

/// Parts of a view that are left out, to see what each is worth.
#[derive(Clone, Copy, Debug, Default)]
pub struct Omitted {
    /// Prompt tokens of others are not known.
    pub prompts: bool,
    /// Pause objectives are not known.
    pub pauses: bool,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct PlacementScenario {
    /// Engines, load and value of the deployment.
    pub load: PlacementLoad,
    /// Number of instances.
    pub instances: usize,
    /// What they know.
    pub view: View,
    /// Where they know speeds from; a perfect view shows them exactly.
    pub speeds: Speeds,
    /// What is left out of the view.
    pub omitted: Omitted,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Time in which requests arrive, in seconds; those of the first 4 s are not measured.
    pub seconds: u64,
}

/// Results of one kind of request.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindReport {
    /// Requests.
    pub requests: u64,
    /// First events that came too late.
    pub late_first: u64,
    /// Answers with a pause over the objective.
    pub paused: u64,
    /// Value of all requests.
    pub value: f64,
    /// Value of the answers on time.
    pub on_time: f64,
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct PlacementReport {
    /// Results by kind.
    pub kinds: Vec<KindReport>,
    /// Prompt tokens of all requests.
    pub prompt_tokens: u64,
    /// Shared prompt tokens that were computed.
    pub recomputed: u64,
    /// Requests sent to another region.
    pub other_region: u64,
    /// Requests sent to another zone of the region.
    pub other_zone: u64,
    /// Requests preempted for lack of memory.
    pub preemptions: u64,
}

impl PlacementReport {
    /// Share of the value that came on time.
    pub fn on_time_share(&self) -> f64 {
        let sum = |value: fn(&KindReport) -> f64| self.kinds.iter().map(value).sum::<f64>();
        sum(|kind| kind.on_time) / sum(|kind| kind.value).max(1e-9)
    }

    /// Adds the results of another run.
    pub fn add(&mut self, other: &Self) {
        self.kinds.resize(other.kinds.len(), KindReport::default());
        for (sum, kind) in self.kinds.iter_mut().zip(&other.kinds) {
            sum.requests += kind.requests;
            sum.late_first += kind.late_first;
            sum.paused += kind.paused;
            sum.value += kind.value;
            sum.on_time += kind.on_time;
        }
        self.prompt_tokens += other.prompt_tokens;
        self.recomputed += other.recomputed;
        self.other_region += other.other_region;
        self.other_zone += other.other_zone;
        self.preemptions += other.preemptions;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Delivery { job: usize },
    StepEnd { engine: usize },
    FirstHeard { job: usize },
    EndHeard { job: usize },
    Message,
    Disturbance { starts: bool },
}

#[derive(Debug)]
struct Job {
    kind: usize,
    instance: usize,
    engine: usize,
    generation: Generation,
    arrived: f64,
    sent_uncached: u64,
    predicted: f64,
    /// Wait at the nominal speed, by what the instance knew.
    nominal: f64,
    last_event: f64,
    first_late: bool,
    paused: bool,
    value: f64,
}

/// Load that instances reported at one moment.
#[derive(Debug)]
struct Snapshot {
    at: f64,
    totals: Vec<[f64; 3]>,
    own: Vec<Vec<[f64; 3]>>,
    slowness: Vec<f64>,
}

/// Samples of one engine's speed: decaying sums of measured and nominal times.
#[derive(Clone, Copy, Debug, Default)]
struct SpeedSamples {
    measured: f64,
    nominal: f64,
    at: f64,
}

impl SpeedSamples {
    fn add(&mut self, measured: f64, nominal: f64, now: f64) {
        let kept = 0.5_f64.powf((now - self.at) / SPEED_HALF_LIFE_MS);
        *self = Self { measured: self.measured * kept + measured, nominal: self.nominal * kept + nominal, at: now };
    }

    /// Ratio of measured to nominal times; a prior of 20 ms at the nominal speed covers engines without samples.
    fn slowness(&self) -> f64 {
        (self.measured + 20.0) / (self.nominal + 20.0)
    }
}

#[derive(Debug)]
struct Simulation {
    scenario: PlacementScenario,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    rng: ChaCha12Rng,
    names: Vec<BackendServerName>,
    zones: Vec<Location>,
    engines: Vec<SimulatedEngine>,
    loads: Vec<Vec<ServerLoad>>,
    samples: Vec<SpeedSamples>,
    snapshots: VecDeque<Snapshot>,
    callers: Vec<f64>,
    jobs: Vec<Job>,
    report: PlacementReport,
}

/// Runs `scenario`.
pub fn run(scenario: &PlacementScenario) -> PlacementReport {
    let mut simulation = Simulation::new(scenario);
    simulation.schedule(0.0, Event::Arrival);
    simulation.schedule(0.0, Event::Message);
    simulation.schedule(DISTURBED_EVERY_MS, Event::Disturbance { starts: true });
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at as f64 / 1e3;
        if simulation.now > simulation.end() + 8_000.0 {
            break;
        }
        simulation.handle(event);
    }
    simulation.finish()
}

pub(crate) fn uniform(rng: &mut ChaCha12Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

impl Simulation {
    fn new(scenario: &PlacementScenario) -> Self {
        let mut rng = ChaCha12Rng::seed_from_u64(scenario.seed);
        let load = scenario.load;
        let speed = |index: usize| load.speeds[index / ZONES % load.speeds.len()];
        let engines = (0..load.engines).map(|index| SimulatedEngine::new(load.spec, speed(index))).collect();
        // Callers are placed by a hash: most instances get a similar part, a few get several times as much.
        let callers = (0..scenario.instances).scan(0.0, |sum, index| {
            let weight = if index % 20 == 7 { 4.0 } else { 0.4 + 1.2 * uniform(&mut rng) };
            *sum += weight;
            Some(*sum)
        });
        let callers = callers.collect();
        let zones = (0..ZONES).map(|zone| Location {
            zone: format!("zone-{zone}").into(),
            region: format!("region-{}", zone / ZONES_PER_REGION).into(),
        });
        Self {
            now: 0.0,
            events: BinaryHeap::new(),
            event_count: 0,
            names: (0..load.engines).map(|index| BackendServerName::from(format!("engine-{index:03}"))).collect(),
            zones: zones.collect(),
            loads: vec![vec![ServerLoad::default(); load.engines]; scenario.instances],
            samples: vec![SpeedSamples::default(); load.engines],
            snapshots: VecDeque::new(),
            callers,
            jobs: Vec::new(),
            report: PlacementReport { kinds: vec![KindReport::default(); KINDS], ..PlacementReport::default() },
            engines,
            rng,
            scenario: *scenario,
        }
    }

    fn end(&self) -> f64 {
        self.scenario.seconds as f64 * 1e3
    }

    fn schedule(&mut self, after_ms: f64, event: Event) {
        self.event_count += 1;
        let at = Duration::from_secs_f64((self.now + after_ms) / 1e3).as_micros();
        self.events.push(Reverse((u64::try_from(at).unwrap_or(u64::MAX), self.event_count, event)));
    }

    fn instant(&self) -> Instant {
        START.after(Duration::from_secs_f64(self.now / 1e3))
    }

    /// One-way latency between an instance and an engine, in milliseconds.
    fn latency(instance: usize, engine: usize) -> f64 {
        match (instance % ZONES, engine % ZONES) {
            (one, other) if one == other => 0.1,
            (one, other) if one / ZONES_PER_REGION == other / ZONES_PER_REGION => 1.2,
            _ => 8.0,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Delivery { job } => {
                let Job { engine, .. } = self.jobs[job];
                let generation = &self.jobs[job].generation;
                self.engines[engine].receive(job, &generation.parts, generation.prompt.0, generation.output.0);
                self.step(engine);
            }
            Event::StepEnd { engine } => self.end_step(engine),
            Event::FirstHeard { job } => self.hear_first(job),
            Event::EndHeard { job } => {
                let Job { instance, engine, ref generation, .. } = self.jobs[job];
                self.loads[instance][engine].note_released(generation.bound().0);
                self.loads[instance][engine].note_end();
            }
            Event::Message => self.take_snapshot(),
            Event::Disturbance { starts } => self.disturb(starts),
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.end() {
            return;
        }
        let gap = -(1.0 - uniform(&mut self.rng)).ln() * 1e3 / self.scenario.load.rate();
        self.schedule(gap, Event::Arrival);
        let at = uniform(&mut self.rng) * self.callers.last().copied().unwrap_or_default();
        let instance = self.callers.partition_point(|sum| *sum < at).min(self.callers.len() - 1);
        let (kind, generation, value) = self.scenario.load.draw(&mut self.rng);
        let now = self.instant();
        let views: Vec<Option<FleetEngine>> =
            (0..self.engines.len()).map(|engine| self.view(instance, engine)).collect();
        let candidates: Vec<Candidate<'_>> = (0..self.engines.len())
            .map(|engine| Candidate {
                name: &self.names[engine],
                location: &self.zones[engine % ZONES],
                load: &self.loads[instance][engine],
                slots: u32::try_from(self.scenario.load.spec.slots).unwrap_or(u32::MAX),
                fleet: views[engine],
            })
            .collect();
        let spec = self.scenario.load.kinds[kind];
        let request = SelectionRequest {
            generation: Some(&generation),
            location: &self.zones[instance % ZONES],
            pause_objective: self.pause_objective(&spec),
            kv_capacity: Some(Tokens(self.scenario.load.spec.memory)),
            zone: None,
            now,
        };
        let Some(selection) = choose(&request, &candidates) else { return };
        let engine = selection.index;
        let ahead = views[engine].map_or(0.0, |view| view.prefill);
        let (prompt, uncached) = (generation.prompt.0 as f64, selection.uncached as f64);
        let tokens = ahead + self.loads[instance][engine].uncached() as f64 + uncached;
        let pairs = (prompt * prompt - (prompt - uncached) * (prompt - uncached)) / 1e6;
        let nominal = tokens / NOMINAL_PREFILL_PER_MS + pairs * NOMINAL_PAIRS_MS + tokens / 1_024.0 * NOMINAL_STEP_MS;
        let load = &mut self.loads[instance][engine];
        load.note_start(&generation.parts, selection.uncached, now);
        load.note_held(generation.bound().0);
        match Self::latency(instance, engine) {
            latency if latency > 2.0 => self.report.other_region += 1,
            latency if latency > 0.5 => self.report.other_zone += 1,
            _ => {}
        }
        self.jobs.push(Job {
            kind,
            instance,
            engine,
            generation,
            arrived: self.now,
            sent_uncached: selection.uncached,
            predicted: selection.predicted,
            nominal,
            last_event: f64::INFINITY,
            first_late: true,
            paused: false,
            value,
        });
        self.schedule(Self::latency(instance, engine), Event::Delivery { job: self.jobs.len() - 1 });
    }

    fn pause_objective(&self, kind: &RequestKind) -> Option<Duration> {
        kind.pause_ms.filter(|_| !self.scenario.omitted.pauses).map(|pause| Duration::from_secs_f64(pause / 1e3))
    }

    /// What `instance` knows of an engine beyond its own requests.
    fn view(&self, instance: usize, engine: usize) -> Option<FleetEngine> {
        let own = &self.loads[instance][engine];
        let own_load = [f64::from(own.open()), own.uncached() as f64, own.held() as f64];
        let less = |totals: [f64; 3], own: [f64; 3]| -> [f64; 3] {
            std::array::from_fn(|index| (totals[index] - own[index]).max(0.0))
        };
        let nominal = NOMINAL_PREFILL_PER_MS / self.scenario.load.spec.prefill_per_ms;
        let (load, slowness, age) = match self.scenario.view {
            View::Absent => return None,
            View::Own => ([0.0; 3], self.samples[engine].slowness(), 0.0),
            View::Aged(delay) => {
                let shown = self.snapshots.iter().rev().find(|it| it.at <= self.now - delay);
                let shown = shown.or_else(|| self.snapshots.front())?;
                let others = less(shown.totals[engine], shown.own[instance][engine]);
                (others, shown.slowness[engine], (self.now - shown.at).max(0.0))
            }
            View::Perfect => {
                let state = &self.engines[engine];
                let totals = [state.open() as f64, state.prefill_left() as f64, state.held() as f64];
                let slowdown = state.slowdown / state.speed;
                (less(totals, own_load), nominal * slowdown, 0.0)
            }
        };
        let Omitted { prompts, .. } = self.scenario.omitted;
        let slowness = match self.scenario.speeds {
            _ if self.scenario.view == View::Perfect => slowness,
            Speeds::Waits | Speeds::Pauses => slowness,
            Speeds::Exact => nominal / self.engines[engine].speed,
            Speeds::Unknown => 1.0,
        };
        Some(FleetEngine {
            open: load[0],
            prefill: if prompts { 0.0 } else { load[1] },
            held: load[2],
            slowness,
            step_slowness: slowness,
            age: Duration::from_secs_f64(age / 1e3),
        })
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
                Progress::First(job) => self.send_first(job),
                Progress::Token(job, tokens) if tokens % EVENT_TOKENS == 1 => self.send_event(job),
                Progress::Token(..) => {}
                Progress::Done(job) => {
                    self.send_event(job);
                    let latency = Self::latency(self.jobs[job].instance, engine);
                    self.schedule(latency, Event::EndHeard { job });
                }
            }
        }
        self.step(engine);
    }

    fn send_first(&mut self, job: usize) {
        let Job { instance, engine, arrived, kind, .. } = self.jobs[job];
        let latency = Self::latency(instance, engine);
        let earliest = arrived + latency + self.scenario.load.spec.first_token_ms;
        let heard = self.now.max(earliest) + latency;
        self.jobs[job].last_event = self.now.max(earliest);
        self.jobs[job].first_late = heard - arrived > self.scenario.load.kinds[kind].first_ms;
        self.schedule(heard - self.now, Event::FirstHeard { job });
    }

    fn send_event(&mut self, job: usize) {
        let objective = self.scenario.load.kinds[self.jobs[job].kind].pause_ms;
        let job = &mut self.jobs[job];
        job.paused |= objective.is_some_and(|objective| self.now - job.last_event > objective);
        let gap = self.now - job.last_event;
        job.last_event = self.now;
        let engine = job.engine;
        if self.scenario.speeds == Speeds::Pauses && gap.is_finite() {
            self.samples[engine].add(gap, NOMINAL_PAUSE_MS, self.now);
        }
    }

    fn hear_first(&mut self, job: usize) {
        let Job { instance, engine, arrived, sent_uncached, predicted, nominal, .. } = self.jobs[job];
        let waited = self.now - arrived;
        let span = Duration::from_secs_f64(waited / 1e3);
        self.loads[instance][engine].note_first_token(sent_uncached, span, predicted);
        if sent_uncached >= SAMPLE_TOKENS && self.scenario.speeds == Speeds::Waits {
            let measured = waited - 2.0 * Self::latency(instance, engine);
            self.samples[engine].add(measured, nominal, self.now);
        }
    }

    fn take_snapshot(&mut self) {
        if self.now > self.end() {
            return;
        }
        self.schedule(VIEW_INTERVAL_MS, Event::Message);
        let own: Vec<Vec<[f64; 3]>> = self
            .loads
            .iter()
            .map(|loads| {
                loads.iter().map(|it| [f64::from(it.open()), it.uncached() as f64, it.held() as f64]).collect()
            })
            .collect();
        let total = |engine: usize| std::array::from_fn(|index| own.iter().map(|loads| loads[engine][index]).sum());
        let totals = (0..self.engines.len()).map(total).collect();
        let slowness = self.samples.iter().map(SpeedSamples::slowness).collect();
        self.snapshots.push_back(Snapshot { at: self.now, totals, own, slowness });
        if self.snapshots.len() > 26 {
            self.snapshots.pop_front();
        }
    }

    fn disturb(&mut self, starts: bool) {
        if self.now > self.end() {
            return;
        }
        for engine in 0..self.engines.len() {
            let slowed = starts && uniform(&mut self.rng) < DISTURBED_SHARE;
            self.engines[engine].slowdown = if slowed { DISTURBED_SLOWDOWN } else { 1.0 };
        }
        let after = if starts { DISTURBED_MS } else { DISTURBED_EVERY_MS - DISTURBED_MS };
        self.schedule(after, Event::Disturbance { starts: !starts });
    }

    fn finish(mut self) -> PlacementReport {
        let is_measured = |job: &Job| job.arrived >= 4_000.0;
        for job in self.jobs.iter().filter(|job| is_measured(job)) {
            let kind = &mut self.report.kinds[job.kind];
            kind.requests += 1;
            kind.late_first += u64::from(job.first_late);
            kind.paused += u64::from(job.paused);
            kind.value += job.value;
            kind.on_time += if job.first_late || job.paused { 0.0 } else { job.value };
            self.report.prompt_tokens += job.generation.prompt.0;
        }
        for engine in &self.engines {
            let measured = engine.recomputed.iter().filter(|(job, _)| is_measured(&self.jobs[*job]));
            self.report.recomputed += measured.map(|(_, tokens)| tokens).sum::<u64>();
            self.report.preemptions += engine.preemptions;
        }
        self.report
    }
}
