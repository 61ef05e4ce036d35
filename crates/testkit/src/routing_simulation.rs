//! Discrete-event simulation of instances and model engines, for comparing placement policies on the same load.
//!
//! Engines batch continuously and cache prompt prefixes. Each instance sees delayed load reports and cache events and
//! runs the production policies. See `docs/ROUTING.md` for the sizes and for what the model leaves out.

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
const SERVERS: usize = 12;
const PREFIXES: usize = 240;
/// Exponent of the Zipf distribution of the prefixes.
const POPULARITY_EXPONENT: f64 = 0.9;
/// Smallest and largest length of a shared prefix, in blocks.
const PREFIX_BLOCKS: (usize, usize) = (8, 40);
/// Smallest and largest length of the rest of a prompt, in blocks.
const SUFFIX_BLOCKS: (usize, usize) = (1, 4);
/// Smallest and largest number of generated tokens.
const OUTPUT_TOKENS: (usize, usize) = (20, 120);
const BLOCK_TOKENS: usize = 64;
const CACHE_BLOCKS: usize = 1_500;
const BATCH_SIZE: usize = 16;
const STEP_PREFILL_TOKENS: usize = 512;
const STEP_TIME: Duration = Duration::from_millis(10);
const PREFILL_TOKEN_TIME: Duration = Duration::from_micros(100);
const DECODE_TOKEN_TIME: Duration = Duration::from_micros(200);
const OUTPUT_TOKEN_BYTES: usize = 200;
const SAME_REGION_DELAY: Duration = Duration::from_micros(300);
const OTHER_REGION_DELAY: Duration = Duration::from_millis(5);
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the load reports that instances poll.
const REPORT_LAG: Duration = Duration::from_millis(300);
const CACHE_EVENT_LAG: Duration = Duration::from_secs(1);
const CACHE_EVENT_LOST_ONE_IN: u64 = 10;
const SLOWDOWN: u32 = 6;
/// Weight of a new value in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
const QUEUE_WAIT_MAX: Duration = Duration::from_millis(400);
const START: Instant = Instant(Duration::from_secs(1_000));
/// Length of a window of [`RoutingReport::by_second`].
const WINDOW: Duration = Duration::from_secs(1);

/// Timeout for the first token.
pub const FIRST_TOKEN_MAX: Duration = Duration::from_millis(1_600);

/// Fault of the first server, which starts with the measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum ServerFault {
    /// No fault.
    None,
    /// The server refuses connections and loses its queued and running requests.
    #[display("dies")]
    Crashed,
    /// The server's steps take six times as long.
    #[display("slows")]
    Slow,
    /// The server's steps take six times as long, and it reports that it has no load.
    #[display("lies")]
    HidesLoad,
    /// The server accepts requests and never answers.
    Silent,
}

/// Policy, load and fault of one run.
#[derive(Clone, Copy, Debug)]
pub struct RoutingScenario {
    /// Placement policy of every instance.
    pub policy: PolicyKind,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Offered requests per second.
    pub request_rate: f64,
    /// Simulated time of the run.
    pub duration: Duration,
    /// Time before the measurement and the fault start.
    pub warmup: Duration,
    /// Fault that starts with the measurement.
    pub fault: ServerFault,
}

/// Measurements of one run; all but [`Self::by_second`] leave out requests that arrived during the warmup.
#[derive(Clone, Debug)]
pub struct RoutingReport {
    /// Time to the first token, in microseconds; the timeout for requests that timed out or were lost.
    pub first_token: Histogram<u64>,
    /// Time to the first token of all offered requests; a refused request counts as [`FIRST_TOKEN_MAX`].
    pub offered_first_token: Histogram<u64>,
    /// Time between two tokens of an answer, in microseconds.
    pub inter_token: Histogram<u64>,
    /// Time to the first token, in microseconds, by the second of the run in which the request arrived.
    pub by_second: Vec<Histogram<u64>>,
    /// Number of offered requests.
    pub offered: u64,
    /// Requests refused on arrival or after failed attempts.
    pub refused: u64,
    /// Requests whose first token missed the timeout, or that a crashed server lost.
    pub late: u64,
    /// Completed requests, whose first token came within the timeout.
    pub completed: u64,
    /// Blocks of all prompts that servers started to process.
    pub prompt_blocks: u64,
    /// Prompt blocks that a server found in its prefix cache.
    pub cached_blocks: u64,
    /// Bytes sent between regions.
    pub region_bytes: u64,
    /// Measured time: the run without its warmup.
    pub measured_time: Duration,
}

impl RoutingReport {
    /// Completed requests per second, counting only those whose first token came within [`FIRST_TOKEN_MAX`].
    pub fn goodput(&self) -> f64 {
        self.completed as f64 / self.measured_time.as_secs_f64()
    }

    /// Fraction of prompt blocks found in a prefix cache.
    pub fn hit_ratio(&self) -> f64 {
        self.cached_blocks as f64 / self.prompt_blocks.max(1) as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Delivery { job: usize, server: usize },
    StepEnd { server: usize },
    FirstToken { job: usize },
    Completion { job: usize },
    ServerRefusal { job: usize, server: usize },
    Timeout { job: usize },
    LoadPoll { instance: usize },
    CacheUpdate { instance: usize, server: usize, index: usize },
    FaultStart,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Streaming,
    Ended,
}

#[derive(Debug)]
struct Job {
    instance: usize,
    server: usize,
    tried: Vec<BackendServerName>,
    prompt: String,
    blocks: Vec<BlockHash>,
    arrived: Instant,
    dispatched: Instant,
    prefill_left: usize,
    output_tokens: usize,
    generated: usize,
    last_token: Instant,
    phase: Phase,
}

#[derive(Debug, Default)]
struct PrefixCache {
    last_used: HashMap<BlockHash, u64>,
    by_last_use: BTreeMap<u64, BlockHash>,
    use_count: u64,
}

impl PrefixCache {
    /// Adds a prompt's blocks; returns the length of its cached prefix, and the blocks stored and evicted.
    fn admit(&mut self, blocks: &[BlockHash]) -> (usize, Vec<BlockHash>, Vec<BlockHash>) {
        let hits = blocks.iter().take_while(|block| self.last_used.contains_key(block)).count();
        let stored = blocks[hits..].to_vec();
        // The last block of a prompt gets the oldest position, so that evictions shorten prefixes from their end.
        for block in blocks.iter().rev() {
            self.use_count += 1;
            if let Some(old) = self.last_used.insert(*block, self.use_count) {
                self.by_last_use.remove(&old);
            }
            self.by_last_use.insert(self.use_count, *block);
        }
        let mut evicted = Vec::new();
        while self.last_used.len() > CACHE_BLOCKS {
            let Some((_, block)) = self.by_last_use.pop_first() else { break };
            self.last_used.remove(&block);
            evicted.push(block);
        }
        (hits, stored, evicted)
    }
}

#[derive(Debug, Default)]
struct SimulatedServer {
    queue: VecDeque<usize>,
    batch: Vec<usize>,
    cache: PrefixCache,
    is_stepping: bool,
    reports: VecDeque<LoadReport>,
    cache_events: Vec<CacheEvent>,
    fault: Option<ServerFault>,
}

impl SimulatedServer {
    fn report(&mut self, now: Instant) -> LoadReport {
        let old_enough = self.reports.iter().rposition(|report| report.measured_at <= now);
        let empty = LoadReport { measured_at: now, running: 0, waiting: 0 };
        let report = old_enough.map_or(empty, |index| self.reports[index]);
        self.reports.drain(..old_enough.unwrap_or_default());
        if self.fault == Some(ServerFault::HidesLoad) { empty } else { LoadReport { measured_at: now, ..report } }
    }
}

#[derive(Debug)]
struct SimulatedInstance {
    backends: Backends,
    policy: Box<dyn Policy>,
    rng: ChaCha12Rng,
    region: usize,
    /// Moving average of the time from dispatch to completion, in seconds.
    service_time: f64,
    /// Time of the last response from each server.
    last_response: Vec<Instant>,
}

/// State of one run; the heap orders events by time, then by the order in which they were scheduled.
#[derive(Debug)]
struct RoutingSimulation {
    scenario: RoutingScenario,
    now: Instant,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    jobs: Vec<Job>,
    servers: Vec<SimulatedServer>,
    instances: Vec<SimulatedInstance>,
    load_rng: ChaCha12Rng,
    loss_rng: ChaCha12Rng,
    prefixes: Vec<String>,
    cumulative_weights: Vec<f64>,
    report: RoutingReport,
}

/// Simulates `scenario` and returns its measurements.
pub fn run(scenario: RoutingScenario) -> RoutingReport {
    let mut simulation = RoutingSimulation::new(scenario);
    simulation.schedule(Duration::ZERO, Event::Arrival);
    for instance in 0..INSTANCES {
        simulation.schedule(POLL_INTERVAL * u32::try_from(instance).unwrap_or(0) / 6, Event::LoadPoll { instance });
    }
    simulation.schedule(scenario.warmup, Event::FaultStart);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = Instant(at);
        if simulation.elapsed() >= scenario.duration {
            break;
        }
        simulation.handle(event);
    }
    simulation.report
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).unwrap_or_else(|error| unreachable!("three digits are valid: {error}"))
}

fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram.record(value).unwrap_or_else(|error| unreachable!("the histogram grows: {error}"));
}

fn saturating_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn uniform(rng: &mut ChaCha12Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

fn random_between(rng: &mut ChaCha12Rng, (min, max): (usize, usize)) -> usize {
    min + usize::try_from(rng.next_u64() % (max - min + 1) as u64).unwrap_or_default()
}

fn random_text(rng: &mut ChaCha12Rng, blocks: usize) -> String {
    let words = blocks * PREFIX_BLOCK_BYTES / 16;
    (0..words).fold(String::new(), |mut text, _| {
        let _ = write!(text, "{:016x}", rng.next_u64());
        text
    })
}

fn region(server: usize) -> usize {
    server % REGIONS
}

fn server_name(server: usize) -> BackendServerName {
    BackendServerName::from(format!("runner-{server:02}"))
}

fn server_listing(server: usize) -> ServerListing {
    ServerListing {
        name: server_name(server),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: format!("zone-{}", region(server)).into(),
        region: format!("region-{}", region(server)).into(),
        leaving: false,
    }
}

impl RoutingSimulation {
    fn new(scenario: RoutingScenario) -> Self {
        let mut load_rng = ChaCha12Rng::seed_from_u64(scenario.seed);
        let prefixes = (0..PREFIXES)
            .map(|_| {
                let blocks = random_between(&mut load_rng, PREFIX_BLOCKS);
                random_text(&mut load_rng, blocks)
            })
            .collect();
        let weights = (0..PREFIXES).scan(0.0, |sum, rank| {
            *sum += 1.0 / (rank as f64 + 1.0).powf(POPULARITY_EXPONENT);
            Some(*sum)
        });
        let instances = (0..INSTANCES).map(|index| {
            let mut backends = Backends::default();
            backends.update((0..SERVERS).map(server_listing).collect());
            let rng = ChaCha12Rng::seed_from_u64(scenario.seed * 100 + index as u64);
            let last_response = vec![START; SERVERS];
            SimulatedInstance {
                backends,
                policy: scenario.policy.build(),
                rng,
                region: index % REGIONS,
                service_time: 1.0,
                last_response,
            }
        });
        Self {
            scenario,
            now: START,
            events: BinaryHeap::new(),
            event_count: 0,
            jobs: Vec::new(),
            servers: (0..SERVERS).map(|_| SimulatedServer::default()).collect(),
            instances: instances.collect(),
            cumulative_weights: weights.collect(),
            prefixes,
            load_rng,
            loss_rng: ChaCha12Rng::seed_from_u64(scenario.seed + 1),
            report: RoutingReport {
                first_token: histogram(),
                offered_first_token: histogram(),
                inter_token: histogram(),
                by_second: (0..scenario.duration.as_secs()).map(|_| histogram()).collect(),
                offered: 0,
                refused: 0,
                late: 0,
                completed: 0,
                prompt_blocks: 0,
                cached_blocks: 0,
                region_bytes: 0,
                measured_time: scenario.duration.saturating_sub(scenario.warmup),
            },
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((self.now.0 + after, self.event_count, event)));
    }

    fn elapsed(&self) -> Duration {
        self.now.since(START)
    }

    fn is_measured(&self, job: usize) -> bool {
        self.jobs[job].arrived.since(START) >= self.scenario.warmup
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Delivery { job, server } => self.receive(job, server),
            Event::StepEnd { server } => self.end_step(server),
            Event::FirstToken { job } => self.note_first_token(job),
            Event::Completion { job } => self.finish(job),
            Event::ServerRefusal { job, server } => self.retry_elsewhere(job, server),
            Event::Timeout { job } => self.time_out(job),
            Event::LoadPoll { instance } => self.poll(instance),
            Event::CacheUpdate { instance, server, index } => {
                let event = &self.servers[server].cache_events[index];
                self.instances[instance].policy.note_cache(&server_name(server), event);
            }
            Event::FaultStart => self.inject_fault(),
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - uniform(&mut self.load_rng)).ln() / self.scenario.request_rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival);
        let weight = uniform(&mut self.load_rng) * self.cumulative_weights[PREFIXES - 1];
        let prefix = self.cumulative_weights.partition_point(|sum| *sum < weight).min(PREFIXES - 1);
        let suffix = random_between(&mut self.load_rng, SUFFIX_BLOCKS);
        let prompt = format!("{}{}", self.prefixes[prefix], random_text(&mut self.load_rng, suffix));
        let output_tokens = random_between(&mut self.load_rng, OUTPUT_TOKENS);
        let instance = random_between(&mut self.load_rng, (0, INSTANCES - 1));
        let blocks = block_hashes(&prompt);
        let job = Job {
            instance,
            server: 0,
            tried: Vec::new(),
            prompt,
            blocks,
            arrived: self.now,
            dispatched: self.now,
            prefill_left: 0,
            output_tokens,
            generated: 0,
            last_token: self.now,
            phase: Phase::Waiting,
        };
        self.jobs.push(job);
        let job = self.jobs.len() - 1;
        self.report.offered += u64::from(self.is_measured(job));
        self.schedule(FIRST_TOKEN_MAX, Event::Timeout { job });
        self.dispatch(job);
    }

    /// Sends a job to a server, or refuses it when the expected queue wait exceeds [`QUEUE_WAIT_MAX`].
    fn dispatch(&mut self, job: usize) {
        match self.choose(job) {
            Some(server) if self.expected_wait(job, server) <= QUEUE_WAIT_MAX => self.send_to(job, server),
            _ => {
                self.jobs[job].phase = Phase::Ended;
                if self.is_measured(job) {
                    self.report.refused += 1;
                    record(&mut self.report.offered_first_token, micros(FIRST_TOKEN_MAX));
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
        place(&*instance.policy, &request, servers, &mut instance.rng).map(|(_, choice)| choice.index)
    }

    fn expected_wait(&self, job: usize, server: usize) -> Duration {
        let instance = &self.instances[self.jobs[job].instance];
        let load = instance.backends.of(&ServiceName::new(SERVICE))[server].load() as usize;
        Duration::from_secs_f64(load.saturating_sub(BATCH_SIZE) as f64 * instance.service_time / BATCH_SIZE as f64)
    }

    fn update_server(&mut self, job: usize, change: impl FnOnce(&mut BackendServer, Instant)) {
        let Job { instance, server, .. } = self.jobs[job];
        let now = self.now;
        let backends = &mut self.instances[instance].backends;
        if let Some(server) = backends.find_mut(&ServiceName::new(SERVICE), &server_name(server)) {
            change(server, now);
        }
    }

    fn network_delay(&self, job: usize) -> Duration {
        let Job { instance, server, .. } = self.jobs[job];
        if self.instances[instance].region == region(server) { SAME_REGION_DELAY } else { OTHER_REGION_DELAY }
    }

    fn count_region_bytes(&mut self, job: usize, bytes: usize) {
        if self.network_delay(job) == OTHER_REGION_DELAY && self.is_measured(job) {
            self.report.region_bytes += bytes as u64;
        }
    }

    fn send_to(&mut self, job: usize, server: usize) {
        self.jobs[job].server = server;
        self.jobs[job].dispatched = self.now;
        self.update_server(job, BackendServer::note_start);
        let bytes = self.jobs[job].prompt.len();
        self.count_region_bytes(job, bytes);
        let delay = self.network_delay(job);
        self.schedule(delay, Event::Delivery { job, server });
    }

    fn receive(&mut self, job: usize, server: usize) {
        match self.servers[server].fault {
            Some(ServerFault::Crashed) => {
                let delay = self.network_delay(job);
                return self.schedule(delay, Event::ServerRefusal { job, server });
            }
            Some(ServerFault::Silent) => return,
            _ => self.servers[server].queue.push_back(job),
        }
        if !self.servers[server].is_stepping {
            self.start_step(server);
        }
    }

    fn start_step(&mut self, server: usize) {
        let state = &mut self.servers[server];
        state.queue.retain(|job| self.jobs[*job].phase != Phase::Ended);
        let mut new_events = Vec::new();
        while state.batch.len() < BATCH_SIZE {
            let Some(job) = state.queue.pop_front() else { break };
            let blocks = &self.jobs[job].blocks;
            let (hits, stored, evicted) = state.cache.admit(blocks);
            if self.jobs[job].arrived.since(START) >= self.scenario.warmup {
                self.report.prompt_blocks += blocks.len() as u64;
                self.report.cached_blocks += hits as u64;
            }
            self.jobs[job].prefill_left = ((blocks.len() - hits) * BLOCK_TOKENS).max(1);
            state.batch.push(job);
            new_events.push(CacheEvent { sequence: state.cache_events.len() as u64, at: self.now, stored, evicted });
            state.cache_events.extend(new_events.last().cloned());
        }
        state.is_stepping =
            !state.batch.is_empty() && !matches!(state.fault, Some(ServerFault::Crashed | ServerFault::Silent));
        let (running, waiting) = (saturating_u32(state.batch.len()), saturating_u32(state.queue.len()));
        state.reports.push_back(LoadReport { measured_at: self.now, running, waiting });
        if !state.is_stepping {
            return;
        }
        let mut prefill_budget = STEP_PREFILL_TOKENS;
        let mut decoding = 0;
        for job in &state.batch {
            let job = &mut self.jobs[*job];
            decoding += u32::from(job.prefill_left == 0);
            let prefilled = job.prefill_left.min(prefill_budget);
            job.prefill_left -= prefilled;
            prefill_budget -= prefilled;
        }
        let prefilled = u32::try_from(STEP_PREFILL_TOKENS - prefill_budget).unwrap_or(0);
        let slowdown =
            if matches!(state.fault, Some(ServerFault::Slow | ServerFault::HidesLoad)) { SLOWDOWN } else { 1 };
        let span = (STEP_TIME + PREFILL_TOKEN_TIME * prefilled + DECODE_TOKEN_TIME * decoding) * slowdown;
        self.schedule(span, Event::StepEnd { server });
        for event in new_events {
            self.publish_cache_event(server, &event);
        }
    }

    fn publish_cache_event(&mut self, server: usize, event: &CacheEvent) {
        let index = usize::try_from(event.sequence).unwrap_or_default();
        for instance in 0..INSTANCES {
            if !self.loss_rng.next_u64().is_multiple_of(CACHE_EVENT_LOST_ONE_IN) {
                self.schedule(CACHE_EVENT_LAG, Event::CacheUpdate { instance, server, index });
            }
        }
    }

    fn end_step(&mut self, server: usize) {
        if matches!(self.servers[server].fault, Some(ServerFault::Crashed | ServerFault::Silent)) {
            return;
        }
        let mut batch = std::mem::take(&mut self.servers[server].batch);
        batch.retain(|job| self.jobs[*job].phase != Phase::Ended);
        for job in &batch {
            self.generate_token(*job);
        }
        batch.retain(|job| self.jobs[*job].generated < self.jobs[*job].output_tokens);
        self.servers[server].batch = batch;
        self.start_step(server);
    }

    fn generate_token(&mut self, index: usize) {
        let now = self.now;
        let job = &mut self.jobs[index];
        if job.prefill_left > 0 {
            return;
        }
        let gap = now.since(job.last_token);
        job.generated += 1;
        job.last_token = now;
        let (generated, output_tokens) = (job.generated, job.output_tokens);
        let delay = self.network_delay(index);
        self.count_region_bytes(index, OUTPUT_TOKEN_BYTES);
        if generated == 1 {
            self.schedule(delay, Event::FirstToken { job: index });
        } else if self.is_measured(index) {
            record(&mut self.report.inter_token, micros(gap));
        }
        if generated == output_tokens {
            self.schedule(delay, Event::Completion { job: index });
        }
    }

    fn note_first_token(&mut self, job: usize) {
        if self.jobs[job].phase != Phase::Waiting {
            return;
        }
        self.jobs[job].phase = Phase::Streaming;
        let Job { instance, server, dispatched, .. } = self.jobs[job];
        self.instances[instance].last_response[server] = self.now;
        self.update_server(job, |server, now| server.note_first_token(now, now.since(dispatched)));
        self.record_first_token(job);
    }

    fn record_first_token(&mut self, job: usize) {
        let arrived = self.jobs[job].arrived;
        let span = micros(self.now.since(arrived));
        if self.is_measured(job) {
            record(&mut self.report.first_token, span);
            record(&mut self.report.offered_first_token, span);
        }
        let second = usize::try_from(arrived.since(START).as_secs() / WINDOW.as_secs()).unwrap_or(0);
        if let Some(window) = self.report.by_second.get_mut(second) {
            record(window, span);
        }
    }

    fn finish(&mut self, job: usize) {
        if self.jobs[job].phase != Phase::Streaming {
            return;
        }
        self.jobs[job].phase = Phase::Ended;
        let Job { instance, server, dispatched, .. } = self.jobs[job];
        let service_time = self.now.since(dispatched).as_secs_f64();
        let instance = &mut self.instances[instance];
        instance.last_response[server] = self.now;
        instance.service_time += SERVICE_TIME_WEIGHT * (service_time - instance.service_time);
        self.update_server(job, BackendServer::note_end);
        self.report.completed += u64::from(self.is_measured(job));
    }

    /// Counts a failure of the server, and dispatches the job again if it has no first token.
    fn retry_elsewhere(&mut self, job: usize, server: usize) {
        self.update_server(job, BackendServer::note_end);
        self.update_server(job, BackendServer::note_failure);
        if self.jobs[job].phase == Phase::Waiting {
            self.jobs[job].tried.push(server_name(server));
            self.dispatch(job);
        }
    }

    /// Times out a job that has no first token. Its server counts as failed if it sent the instance nothing since the
    /// dispatch.
    fn time_out(&mut self, job: usize) {
        if self.jobs[job].phase != Phase::Waiting {
            return;
        }
        self.mark_late(job);
        let Job { instance, server, dispatched, .. } = self.jobs[job];
        let is_silent = self.instances[instance].last_response[server] < dispatched;
        self.update_server(job, |server, now| match is_silent {
            true => server.note_failure(now),
            false => server.latency.record(now, now.since(dispatched)),
        });
    }

    /// Ends a job that timed out or that a crashed server lost.
    fn mark_late(&mut self, job: usize) {
        self.jobs[job].phase = Phase::Ended;
        self.update_server(job, BackendServer::note_end);
        self.report.late += u64::from(self.is_measured(job));
        self.record_first_token(job);
    }

    fn poll(&mut self, instance: usize) {
        self.schedule(POLL_INTERVAL, Event::LoadPoll { instance });
        let taken = Instant(self.now.0.saturating_sub(REPORT_LAG));
        for (index, server) in self.servers.iter_mut().enumerate() {
            if matches!(server.fault, Some(ServerFault::Crashed | ServerFault::Silent)) {
                continue;
            }
            let report = server.report(taken);
            let backends = &mut self.instances[instance].backends;
            if let Some(server) = backends.find_mut(&ServiceName::new(SERVICE), &server_name(index)) {
                server.note_report(&report);
            }
        }
    }

    fn inject_fault(&mut self) {
        if self.scenario.fault == ServerFault::None {
            return;
        }
        let server = &mut self.servers[0];
        server.fault = Some(self.scenario.fault);
        if self.scenario.fault != ServerFault::Crashed {
            return;
        }
        let lost: Vec<usize> = server.queue.drain(..).chain(server.batch.drain(..)).collect();
        for job in lost {
            match self.jobs[job].phase {
                Phase::Waiting => self.retry_elsewhere(job, 0),
                Phase::Streaming => {
                    self.update_server(job, BackendServer::note_failure);
                    self.mark_late(job);
                }
                Phase::Ended => {}
            }
        }
    }
}
