//! Model of instances and engines in virtual time, for comparing placement policies on the same load.
//!
//! Engines batch continuously and cache prefixes; each instance has its own stale view and runs the
//! shipped policies. See `docs/ROUTING.md` for the sizes and what the model leaves out.

#![allow(clippy::cast_precision_loss, reason = "counts of one run are far below the precision of f64")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::fmt::Write as _;
use std::time::Duration;

use coltsfootpick_core::backends::{BackendServer, Backends, LoadReport, ServerListing};
use coltsfootpick_core::names::{AvailabilityZoneName, BackendServerName, RegionName, ServiceName};
use coltsfootpick_core::placement::{PlacementRequest, Policy, PolicyKind, place};
use coltsfootpick_core::prefixes::{BlockHash, CacheEvent, PREFIX_BLOCK_BYTES, block_hashes};
use coltsfootpick_core::units::Instant;
use hdrhistogram::Histogram;
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};

const SERVICE: &str = "plan-review";
const REGIONS: usize = 3;
const INSTANCES: usize = 6;
const RUNNERS: usize = 12;
const PREFIXES: usize = 240;
const POPULARITY_EXPONENT: f64 = 0.9;
const PREFIX_BLOCKS: (usize, usize) = (8, 40);
const SUFFIX_BLOCKS: (usize, usize) = (1, 4);
const OUTPUT_TOKENS: (usize, usize) = (20, 120);
const BLOCK_TOKENS: usize = 64;
const CACHE_BLOCKS: usize = 1_500;
const BATCH: usize = 16;
const STEP_PREFILL_TOKENS: usize = 512;
const STEP: Duration = Duration::from_millis(10);
const PREFILL_TOKEN: Duration = Duration::from_micros(100);
const DECODE_TOKEN: Duration = Duration::from_micros(200);
const ANSWER_TOKEN_BYTES: usize = 200;
const SAME_REGION: Duration = Duration::from_micros(300);
const OTHER_REGION: Duration = Duration::from_millis(5);
const POLL: Duration = Duration::from_millis(500);
const REPORT_LAG: Duration = Duration::from_millis(300);
const CACHE_EVENT_LAG: Duration = Duration::from_secs(1);
const CACHE_EVENT_LOSS_INVERSE: u64 = 10;
const SLOWDOWN: u32 = 6;
const SERVICE_TIME_SHARE: f64 = 0.05;
const WAIT_MAX: Duration = Duration::from_millis(400);
const START: Instant = Instant(Duration::from_secs(1_000));
const WINDOW: Duration = Duration::from_secs(1);

/// Longest time to the first token that counts as good.
pub const FIRST_TOKEN_MAX: Duration = Duration::from_millis(1_600);

/// What happens to the first runner during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum Fault {
    /// Nothing.
    None,
    /// It refuses all work and loses what it had.
    Dies,
    /// Its steps take six times as long.
    Slows,
    /// Same, and it reports no load.
    Lies,
    /// It takes requests and answers none.
    Silent,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Policy of all instances.
    pub policy: PolicyKind,
    /// Seed of the load and of all draws.
    pub seed: u64,
    /// Requests offered a second.
    pub rate: f64,
    /// Length of the run.
    pub span: Duration,
    /// Start of the measurement.
    pub warmup: Duration,
    /// Fault ordered when the measurement starts.
    pub fault: Fault,
}

/// What one run measured.
#[derive(Clone, Debug)]
pub struct Report {
    /// Time to the first token, in microseconds, as callers saw it.
    pub first: Histogram<u64>,
    /// Same over all offered requests, a refusal counting as the longest good time.
    pub all: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub between: Histogram<u64>,
    /// Time to the first token by second of the run, faults included as the longest good time.
    pub windows: Vec<Histogram<u64>>,
    /// Requests offered.
    pub offered: u64,
    /// Requests refused at once.
    pub refused: u64,
    /// Requests that had no first token in time or were lost.
    pub late: u64,
    /// Requests answered whole with their first token in time.
    pub good: u64,
    /// Prompt blocks.
    pub blocks: u64,
    /// Prompt blocks found in a cache.
    pub hits: u64,
    /// Bytes sent between regions.
    pub crossed: u64,
    /// Length of the measurement.
    pub measured: Duration,
}

impl Report {
    /// Good answers a second.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.measured.as_secs_f64()
    }

    /// Share of prompt blocks found in a cache.
    pub fn hit_share(&self) -> f64 {
        self.hits as f64 / self.blocks.max(1) as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Reach { job: usize, runner: usize },
    StepEnd { runner: usize },
    FirstToken { job: usize },
    Done { job: usize },
    Refused { job: usize, runner: usize },
    Timeout { job: usize },
    Poll { instance: usize },
    CacheNews { instance: usize, runner: usize, news: usize },
    Fault,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Streaming,
    Over,
}

#[derive(Debug)]
struct Job {
    instance: usize,
    runner: usize,
    tried: Vec<BackendServerName>,
    prompt: String,
    blocks: Vec<BlockHash>,
    arrived: Instant,
    sent: Instant,
    prefill: usize,
    goal: usize,
    produced: usize,
    last: Instant,
    phase: Phase,
}

#[derive(Debug, Default)]
struct Cache {
    stamps: HashMap<BlockHash, u64>,
    order: BTreeMap<u64, BlockHash>,
    clock: u64,
}

impl Cache {
    /// Takes in a prompt and returns its cached blocks with what was stored and evicted.
    fn admit(&mut self, blocks: &[BlockHash]) -> (usize, Vec<BlockHash>, Vec<BlockHash>) {
        let hits = blocks.iter().take_while(|block| self.stamps.contains_key(block)).count();
        let stored = blocks[hits..].to_vec();
        // The chain's end gets the oldest stamp, so that evictions shorten prefixes from their end.
        for block in blocks.iter().rev() {
            self.clock += 1;
            if let Some(old) = self.stamps.insert(*block, self.clock) {
                self.order.remove(&old);
            }
            self.order.insert(self.clock, *block);
        }
        let mut evicted = Vec::new();
        while self.stamps.len() > CACHE_BLOCKS {
            let Some((_, block)) = self.order.pop_first() else { break };
            self.stamps.remove(&block);
            evicted.push(block);
        }
        (hits, stored, evicted)
    }
}

#[derive(Debug, Default)]
struct Runner {
    queue: VecDeque<usize>,
    batch: Vec<usize>,
    cache: Cache,
    stepping: bool,
    reports: VecDeque<LoadReport>,
    news: Vec<CacheEvent>,
    fault: Option<Fault>,
}

impl Runner {
    fn report(&mut self, now: Instant) -> LoadReport {
        let old = self.reports.iter().rposition(|report| report.measured_at <= now);
        let none = LoadReport { measured_at: now, running: 0, waiting: 0 };
        let report = old.map_or(none, |index| self.reports[index]);
        self.reports.drain(..old.unwrap_or_default());
        if self.fault == Some(Fault::Lies) { none } else { LoadReport { measured_at: now, ..report } }
    }
}

#[derive(Debug)]
struct Instance {
    backends: Backends,
    policy: Box<dyn Policy>,
    random: ChaCha12Rng,
    region: usize,
    service: f64,
    heard: Vec<Instant>,
}

/// State of one run.
#[derive(Debug)]
struct World {
    plan: Plan,
    now: Instant,
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    count: u64,
    jobs: Vec<Job>,
    runners: Vec<Runner>,
    instances: Vec<Instance>,
    load: ChaCha12Rng,
    noise: ChaCha12Rng,
    prefixes: Vec<String>,
    weights: Vec<f64>,
    report: Report,
}

/// Runs `plan` to its end.
pub fn run(plan: Plan) -> Report {
    let mut world = World::new(plan);
    world.push(Duration::ZERO, Event::Arrival);
    for instance in 0..INSTANCES {
        world.push(POLL * u32::try_from(instance).unwrap_or(0) / 6, Event::Poll { instance });
    }
    world.push(plan.warmup, Event::Fault);
    while let Some(Reverse((at, _, event))) = world.heap.pop() {
        world.now = Instant(at);
        if world.elapsed() >= plan.span {
            break;
        }
        world.handle(event);
    }
    world.report
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|error| unreachable!("three digits are valid: {error}"))
}

fn note(histogram: &mut Histogram<u64>, value: u64) {
    histogram.record(value).unwrap_or_else(|error| unreachable!("the histogram grows: {error}"));
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn unit(random: &mut ChaCha12Rng) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

fn between(random: &mut ChaCha12Rng, (least, most): (usize, usize)) -> usize {
    least + usize::try_from(random.next_u64() % (most - least + 1) as u64).unwrap_or_default()
}

fn text(random: &mut ChaCha12Rng, blocks: usize) -> String {
    let words = blocks * PREFIX_BLOCK_BYTES / 16;
    (0..words).fold(String::new(), |mut text, _| {
        let _ = write!(text, "{:016x}", random.next_u64());
        text
    })
}

fn region(runner: usize) -> usize {
    runner % REGIONS
}

fn runner_name(runner: usize) -> BackendServerName {
    BackendServerName::from(format!("runner-{runner:02}"))
}

fn listed(runner: usize) -> ServerListing {
    ServerListing {
        name: runner_name(runner),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: format!("zone-{}", region(runner)).into(),
        region: format!("region-{}", region(runner)).into(),
        leaving: false,
    }
}

impl World {
    fn new(plan: Plan) -> Self {
        let mut load = ChaCha12Rng::seed_from_u64(plan.seed);
        let prefixes = (0..PREFIXES)
            .map(|_| {
                let blocks = between(&mut load, PREFIX_BLOCKS);
                text(&mut load, blocks)
            })
            .collect();
        let weights = (0..PREFIXES).scan(0.0, |sum, rank| {
            *sum += 1.0 / (rank as f64 + 1.0).powf(POPULARITY_EXPONENT);
            Some(*sum)
        });
        let instances = (0..INSTANCES).map(|index| {
            let mut backends = Backends::default();
            backends.update((0..RUNNERS).map(listed).collect());
            let random = ChaCha12Rng::seed_from_u64(plan.seed * 100 + index as u64);
            let heard = vec![START; RUNNERS];
            Instance { backends, policy: plan.policy.build(), random, region: index % REGIONS, service: 1.0, heard }
        });
        Self {
            plan,
            now: START,
            heap: BinaryHeap::new(),
            count: 0,
            jobs: Vec::new(),
            runners: (0..RUNNERS).map(|_| Runner::default()).collect(),
            instances: instances.collect(),
            weights: weights.collect(),
            prefixes,
            load,
            noise: ChaCha12Rng::seed_from_u64(plan.seed + 1),
            report: Report {
                first: histogram(),
                all: histogram(),
                between: histogram(),
                windows: (0..plan.span.as_secs()).map(|_| histogram()).collect(),
                offered: 0,
                refused: 0,
                late: 0,
                good: 0,
                blocks: 0,
                hits: 0,
                crossed: 0,
                measured: plan.span.saturating_sub(plan.warmup),
            },
        }
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.heap.push(Reverse((self.now.0 + after, self.count, event)));
    }

    fn elapsed(&self) -> Duration {
        self.now.since(START)
    }

    fn is_measured(&self, job: usize) -> bool {
        self.jobs[job].arrived.since(START) >= self.plan.warmup
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Reach { job, runner } => self.reach(job, runner),
            Event::StepEnd { runner } => self.end_step(runner),
            Event::FirstToken { job } => self.note_first(job),
            Event::Done { job } => self.finish(job),
            Event::Refused { job, runner } => self.note_refusal(job, runner),
            Event::Timeout { job } => self.time_out(job),
            Event::Poll { instance } => self.poll(instance),
            Event::CacheNews { instance, runner, news } => {
                let event = &self.runners[runner].news[news];
                self.instances[instance].policy.note_cache(&runner_name(runner), event);
            }
            Event::Fault => self.break_runner(),
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - unit(&mut self.load)).ln() / self.plan.rate;
        self.push(Duration::from_secs_f64(gap), Event::Arrival);
        let pick = unit(&mut self.load) * self.weights[PREFIXES - 1];
        let prefix = self.weights.partition_point(|sum| *sum < pick).min(PREFIXES - 1);
        let suffix = between(&mut self.load, SUFFIX_BLOCKS);
        let prompt = format!("{}{}", self.prefixes[prefix], text(&mut self.load, suffix));
        let goal = between(&mut self.load, OUTPUT_TOKENS);
        let instance = between(&mut self.load, (0, INSTANCES - 1));
        let blocks = block_hashes(&prompt);
        let job = Job {
            instance,
            runner: 0,
            tried: Vec::new(),
            prompt,
            blocks,
            arrived: self.now,
            sent: self.now,
            prefill: 0,
            goal,
            produced: 0,
            last: self.now,
            phase: Phase::Waiting,
        };
        self.jobs.push(job);
        let job = self.jobs.len() - 1;
        self.report.offered += u64::from(self.is_measured(job));
        self.push(FIRST_TOKEN_MAX, Event::Timeout { job });
        self.dispatch(job);
    }

    /// Places a job, or refuses it at once when the chosen server has too long a queue.
    fn dispatch(&mut self, job: usize) {
        match self.choose(job) {
            Some(runner) if self.expected_wait(job, runner) <= WAIT_MAX => self.send(job, runner),
            _ => {
                self.jobs[job].phase = Phase::Over;
                if self.is_measured(job) {
                    self.report.refused += 1;
                    note(&mut self.report.all, micros(FIRST_TOKEN_MAX));
                }
            }
        }
    }

    fn choose(&mut self, job: usize) -> Option<usize> {
        let job = &self.jobs[job];
        let instance = &mut self.instances[job.instance];
        let zone = AvailabilityZoneName::from(format!("zone-{}", instance.region));
        let region = RegionName::from(format!("region-{}", instance.region));
        let request =
            PlacementRequest { prompt: &job.prompt, zone: &zone, region: &region, now: self.now, tried: &job.tried };
        let servers = instance.backends.of(&ServiceName::new(SERVICE));
        place(&*instance.policy, &request, servers, &mut instance.random).map(|(_, choice)| choice.index)
    }

    fn expected_wait(&self, job: usize, runner: usize) -> Duration {
        let instance = &self.instances[self.jobs[job].instance];
        let load = instance.backends.of(&ServiceName::new(SERVICE))[runner].load() as usize;
        Duration::from_secs_f64(load.saturating_sub(BATCH) as f64 * instance.service / BATCH as f64)
    }

    fn server(&mut self, job: usize, change: impl FnOnce(&mut BackendServer, Instant)) {
        let Job { instance, runner, .. } = self.jobs[job];
        let now = self.now;
        let backends = &mut self.instances[instance].backends;
        if let Some(server) = backends.find_mut(&ServiceName::new(SERVICE), &runner_name(runner)) {
            change(server, now);
        }
    }

    fn link(&self, job: usize) -> Duration {
        let Job { instance, runner, .. } = self.jobs[job];
        if self.instances[instance].region == region(runner) { SAME_REGION } else { OTHER_REGION }
    }

    fn cross(&mut self, job: usize, bytes: usize) {
        if self.link(job) == OTHER_REGION && self.is_measured(job) {
            self.report.crossed += bytes as u64;
        }
    }

    fn send(&mut self, job: usize, runner: usize) {
        self.jobs[job].runner = runner;
        self.jobs[job].sent = self.now;
        self.server(job, BackendServer::note_start);
        let bytes = self.jobs[job].prompt.len();
        self.cross(job, bytes);
        let link = self.link(job);
        self.push(link, Event::Reach { job, runner });
    }

    fn reach(&mut self, job: usize, runner: usize) {
        match self.runners[runner].fault {
            Some(Fault::Dies) => {
                let link = self.link(job);
                return self.push(link, Event::Refused { job, runner });
            }
            Some(Fault::Silent) => return,
            _ => self.runners[runner].queue.push_back(job),
        }
        if !self.runners[runner].stepping {
            self.start_step(runner);
        }
    }

    fn start_step(&mut self, runner: usize) {
        let state = &mut self.runners[runner];
        state.queue.retain(|job| self.jobs[*job].phase != Phase::Over);
        let mut news = Vec::new();
        while state.batch.len() < BATCH {
            let Some(job) = state.queue.pop_front() else { break };
            let blocks = &self.jobs[job].blocks;
            let (hits, stored, evicted) = state.cache.admit(blocks);
            if self.jobs[job].arrived.since(START) >= self.plan.warmup {
                self.report.blocks += blocks.len() as u64;
                self.report.hits += hits as u64;
            }
            self.jobs[job].prefill = ((blocks.len() - hits) * BLOCK_TOKENS).max(1);
            state.batch.push(job);
            news.push(CacheEvent { sequence: state.news.len() as u64, at: self.now, stored, evicted });
            state.news.extend(news.last().cloned());
        }
        state.stepping = !state.batch.is_empty() && !matches!(state.fault, Some(Fault::Dies | Fault::Silent));
        let (running, waiting) = (count(state.batch.len()), count(state.queue.len()));
        state.reports.push_back(LoadReport { measured_at: self.now, running, waiting });
        if !state.stepping {
            return;
        }
        let mut budget = STEP_PREFILL_TOKENS;
        let mut decoding = 0;
        for job in &state.batch {
            let job = &mut self.jobs[*job];
            decoding += u32::from(job.prefill == 0);
            let taken = job.prefill.min(budget);
            job.prefill -= taken;
            budget -= taken;
        }
        let taken = u32::try_from(STEP_PREFILL_TOKENS - budget).unwrap_or(0);
        let slow = if matches!(state.fault, Some(Fault::Slows | Fault::Lies)) { SLOWDOWN } else { 1 };
        let span = (STEP + PREFILL_TOKEN * taken + DECODE_TOKEN * decoding) * slow;
        self.push(span, Event::StepEnd { runner });
        for event in news {
            self.publish(runner, &event);
        }
    }

    fn publish(&mut self, runner: usize, event: &CacheEvent) {
        let news = usize::try_from(event.sequence).unwrap_or_default();
        for instance in 0..INSTANCES {
            if !self.noise.next_u64().is_multiple_of(CACHE_EVENT_LOSS_INVERSE) {
                self.push(CACHE_EVENT_LAG, Event::CacheNews { instance, runner, news });
            }
        }
    }

    fn end_step(&mut self, runner: usize) {
        if matches!(self.runners[runner].fault, Some(Fault::Dies | Fault::Silent)) {
            return;
        }
        let mut batch = std::mem::take(&mut self.runners[runner].batch);
        batch.retain(|job| self.jobs[*job].phase != Phase::Over);
        for job in &batch {
            self.produce(*job);
        }
        batch.retain(|job| self.jobs[*job].produced < self.jobs[*job].goal);
        self.runners[runner].batch = batch;
        self.start_step(runner);
    }

    fn produce(&mut self, index: usize) {
        let now = self.now;
        let job = &mut self.jobs[index];
        if job.prefill > 0 {
            return;
        }
        let gap = now.since(job.last);
        job.produced += 1;
        job.last = now;
        let (produced, goal) = (job.produced, job.goal);
        let link = self.link(index);
        self.cross(index, ANSWER_TOKEN_BYTES);
        if produced == 1 {
            self.push(link, Event::FirstToken { job: index });
        } else if self.is_measured(index) {
            note(&mut self.report.between, micros(gap));
        }
        if produced == goal {
            self.push(link, Event::Done { job: index });
        }
    }

    fn note_first(&mut self, job: usize) {
        if self.jobs[job].phase != Phase::Waiting {
            return;
        }
        self.jobs[job].phase = Phase::Streaming;
        let Job { instance, runner, sent, .. } = self.jobs[job];
        self.instances[instance].heard[runner] = self.now;
        self.server(job, |server, now| server.note_first_token(now, now.since(sent)));
        self.record_first(job);
    }

    fn record_first(&mut self, job: usize) {
        let arrived = self.jobs[job].arrived;
        let span = micros(self.now.since(arrived));
        if self.is_measured(job) {
            note(&mut self.report.first, span);
            note(&mut self.report.all, span);
        }
        let second = usize::try_from(arrived.since(START).as_secs() / WINDOW.as_secs()).unwrap_or(0);
        if let Some(window) = self.report.windows.get_mut(second) {
            note(window, span);
        }
    }

    fn finish(&mut self, job: usize) {
        if self.jobs[job].phase != Phase::Streaming {
            return;
        }
        self.jobs[job].phase = Phase::Over;
        let Job { instance, runner, sent, .. } = self.jobs[job];
        let took = self.now.since(sent).as_secs_f64();
        let instance = &mut self.instances[instance];
        instance.heard[runner] = self.now;
        instance.service += SERVICE_TIME_SHARE * (took - instance.service);
        self.server(job, BackendServer::note_end);
        self.report.good += u64::from(self.is_measured(job));
    }

    fn note_refusal(&mut self, job: usize, runner: usize) {
        self.server(job, BackendServer::note_end);
        self.server(job, BackendServer::note_failure);
        if self.jobs[job].phase == Phase::Waiting {
            self.jobs[job].tried.push(runner_name(runner));
            self.dispatch(job);
        }
    }

    /// Cancels a job without a first token; a server that this instance heard nothing from counts as failed.
    fn time_out(&mut self, job: usize) {
        if self.jobs[job].phase != Phase::Waiting {
            return;
        }
        self.lose(job);
        let Job { instance, runner, sent, .. } = self.jobs[job];
        let silent = self.instances[instance].heard[runner] < sent;
        self.server(job, |server, now| match silent {
            true => server.note_failure(now),
            false => server.latency.record(now, now.since(sent)),
        });
    }

    fn lose(&mut self, job: usize) {
        self.jobs[job].phase = Phase::Over;
        self.server(job, BackendServer::note_end);
        self.report.late += u64::from(self.is_measured(job));
        self.record_first(job);
    }

    fn poll(&mut self, instance: usize) {
        self.push(POLL, Event::Poll { instance });
        let taken = Instant(self.now.0.saturating_sub(REPORT_LAG));
        for (index, runner) in self.runners.iter_mut().enumerate() {
            if matches!(runner.fault, Some(Fault::Dies | Fault::Silent)) {
                continue;
            }
            let report = runner.report(taken);
            let backends = &mut self.instances[instance].backends;
            if let Some(server) = backends.find_mut(&ServiceName::new(SERVICE), &runner_name(index)) {
                server.note_report(&report);
            }
        }
    }

    fn break_runner(&mut self) {
        if self.plan.fault == Fault::None {
            return;
        }
        let runner = &mut self.runners[0];
        runner.fault = Some(self.plan.fault);
        if self.plan.fault != Fault::Dies {
            return;
        }
        let lost: Vec<usize> = runner.queue.drain(..).chain(runner.batch.drain(..)).collect();
        for job in lost {
            match self.jobs[job].phase {
                Phase::Waiting => self.note_refusal(job, 0),
                Phase::Streaming => {
                    self.server(job, BackendServer::note_failure);
                    self.lose(job);
                }
                Phase::Over => {}
            }
        }
    }
}
