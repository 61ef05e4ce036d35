//! Choice of a backend server for one request of the fleet: predicted wait, cached prompt parts, distance, health.
//!
//! Answers the load of many instances that share engines without talking about each request: every instance ranks
//! the engines of a prompt parts alike (rendezvous hashing), so that the parts's shared parts are read on few
//! engines, and leaves that ranking where its own open requests predict a longer wait. See
//! `docs/ROUTING.md#spread`.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::names::{AvailabilityZoneName, BackendServerName, RegionName};
use crate::units::{Instant, Tokens};

/// One part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// Size of a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Most tokens of the answer.
    pub output: Tokens,
    /// Parts of the prompt in order; the last one belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
}

impl Generation {
    /// Most tokens that the request can use.
    pub fn bound(&self) -> Tokens {
        self.prompt + self.output
    }
}

/// Prompt tokens that an engine reads in a millisecond, until its own answers tell otherwise.
const READ_PER_MS: f64 = 50.0;

/// Cost of one request that an engine is already generating for, in milliseconds.
const OPEN_COST_MS: f64 = 2.0;

/// Cost of one request open at a plain service, in milliseconds, until its own answers tell otherwise.
const PLAIN_MS: f64 = 30.0;

/// Cost of a server in another availability zone of the same region, in milliseconds.
const OTHER_ZONE_MS: f64 = 2.0;

/// Cost of a server in another region, in milliseconds: its round trip and the price of its bytes.
const OTHER_REGION_MS: f64 = 20.0;

/// Share of a parts's shared parts that its home holds though this instance did not send them there.
const HOME_CACHED: f64 = 0.95;

/// Cost of a shared token that a server reads though another holds it, in milliseconds beside the reading itself.
///
/// The sites charge 0.34 for 1,000 such tokens; a late answer of 5,000 tokens loses about 4 and is late by some 400 ms.
const READ_AGAIN_MS: f64 = 0.04;

/// Cost of a server that failed all its recent requests, in milliseconds.
const FAILING_MS: f64 = 2_000.0;

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Bounds of a server's slowness against the prediction.
const SLOWNESS: (f64, f64) = (0.3, 20.0);

/// Time for which a part is believed to stay in an engine's memory after its last use.
const PART_KEPT: Duration = Duration::from_secs(30);

/// Parts remembered a server.
const PARTS_MAX: usize = 512;

/// Rest of a server after its first failure; it doubles with each further one.
const REST_MIN: Duration = Duration::from_millis(250);

/// Longest rest of a server.
const REST_MAX: Duration = Duration::from_secs(3);

const REST_DOUBLINGS: u32 = 5;

/// Where a server or an instance stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Availability zone.
    pub zone: AvailabilityZoneName,
    /// Region of the zone.
    pub region: RegionName,
}

/// What one instance knows of a server's load and health.
#[derive(Clone, Debug)]
pub struct ServerLoad {
    open: u32,
    uncached: u64,
    slowness: f64,
    latency: f64,
    failing: f64,
    streak: u32,
    rest: Option<Instant>,
    parts: HashMap<u64, Instant>,
}

impl Default for ServerLoad {
    fn default() -> Self {
        Self {
            open: 0,
            uncached: 0,
            slowness: 1.0,
            latency: PLAIN_MS,
            failing: 0.0,
            streak: 0,
            rest: None,
            parts: HashMap::new(),
        }
    }
}

impl ServerLoad {
    /// Requests of this instance that are open at the server.
    pub const fn open(&self) -> u32 {
        self.open
    }

    /// Notes that a request with `uncached` prompt tokens to read was sent.
    pub fn note_sent(&mut self, parts: &[PromptPart], uncached: u64, now: Instant) {
        self.open += 1;
        self.uncached += uncached;
        if self.parts.len() >= PARTS_MAX {
            self.parts.retain(|_, used| now.since(*used) < PART_KEPT);
        }
        if self.parts.len() < PARTS_MAX {
            self.parts.extend(parts.iter().map(|part| (part.id, now)));
        }
    }

    /// Notes that the server began to answer, `waited` after it was sent to and against a prediction.
    pub fn note_first_token(&mut self, uncached: u64, waited: Duration, predicted: f64) {
        self.uncached = self.uncached.saturating_sub(uncached);
        let ratio = (waited.as_secs_f64() * 1e3 / predicted.max(1.0)).clamp(SLOWNESS.0, SLOWNESS.1);
        self.slowness += (ratio - self.slowness) * SAMPLE_WEIGHT;
    }

    /// Notes that a request that was not answered is no longer open.
    pub const fn note_unanswered(&mut self, uncached: u64) {
        self.uncached = self.uncached.saturating_sub(uncached);
    }

    /// Notes that a request is no longer open.
    pub const fn note_end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Notes the time of a whole answer of a plain service.
    pub fn note_latency(&mut self, took: Duration) {
        self.latency += (took.as_secs_f64() * 1e3 - self.latency) * SAMPLE_WEIGHT;
    }

    /// Notes a sound answer.
    pub fn note_success(&mut self) {
        self.streak = 0;
        self.rest = None;
        self.failing -= self.failing * SAMPLE_WEIGHT;
    }

    /// Notes an answer that was a failure of the server.
    pub fn note_error(&mut self) {
        self.failing += (1.0 - self.failing) * SAMPLE_WEIGHT;
    }

    /// Notes that the server could not be reached or broke off, and tells until when it rests.
    pub fn note_failure(&mut self, now: Instant) -> Instant {
        self.note_error();
        let rest = REST_MIN.saturating_mul(1 << self.streak.min(REST_DOUBLINGS)).min(REST_MAX);
        self.streak += 1;
        let until = now.after(rest);
        self.rest = Some(until);
        until
    }

    /// Whether the server rests after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.rest.is_some_and(|until| until > now)
    }

    /// Forgets everything that a restart of the server made untrue.
    pub fn restart(&mut self) {
        *self = Self { open: self.open, uncached: self.uncached, ..Self::default() };
    }

    fn cached(&self, parts: &[PromptPart], now: Instant) -> u64 {
        let is_kept = |part: &&PromptPart| self.parts.get(&part.id).is_some_and(|used| now.since(*used) < PART_KEPT);
        parts.iter().take_while(is_kept).map(|part| part.tokens).sum()
    }
}

/// Server that may take a request.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a BackendServerName,
    /// Where it stands.
    pub location: &'a Location,
    /// Its load.
    pub load: &'a ServerLoad,
    /// Requests that it serves at once.
    pub slots: u32,
}

/// What a choice goes by.
#[derive(Debug)]
pub struct SelectionRequest<'a> {
    /// Size of the generation, or none for a plain request.
    pub generation: Option<&'a Generation>,
    /// Where the instance stands.
    pub location: &'a Location,
    /// Time of the choice.
    pub now: Instant,
}

/// A choice with what decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// Index among the candidates.
    pub index: usize,
    /// Predicted milliseconds until the answer begins.
    pub predicted: f64,
    /// Prompt tokens that the server must read.
    pub uncached: u64,
    /// Costs of the candidates compared, in milliseconds, for the log line.
    pub costs: String,
}

/// Costs listed in a log line.
const COSTS_LISTED: usize = 4;

/// Chooses the candidate with the least cost; servers that rest are taken only when all do.
pub fn choose(request: &SelectionRequest<'_>, candidates: &[Candidate<'_>]) -> Option<Selection> {
    let is_awake = |candidate: &&Candidate<'_>| !candidate.load.is_ejected(request.now);
    let all_rest = !candidates.iter().any(|candidate| is_awake(&candidate));
    let home = home_of(request.generation, candidates, |candidate| all_rest || is_awake(&candidate));
    let mut scored: Vec<(f64, f64, u64, usize)> = Vec::with_capacity(candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        if !all_rest && !is_awake(&candidate) {
            continue;
        }
        let (predicted, uncached, again) = predict(request, candidate, home == Some(index));
        let crowding = f64::from(candidate.load.open) * OPEN_COST_MS + full_cost(candidate);
        let cost = predicted
            + again
            + crowding
            + distance(request.location, candidate.location)
            + candidate.load.failing * FAILING_MS;
        scored.push((cost, predicted, uncached, index));
    }
    scored.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.3.cmp(&right.3)));
    let (_, predicted, uncached, index) = *scored.first()?;
    let mut costs = String::new();
    for (cost, _, _, at) in scored.iter().take(COSTS_LISTED) {
        let _ = write!(costs, "{}:{cost:.0} ", candidates[*at].name);
    }
    Some(Selection { index, predicted, uncached, costs: costs.trim_end().to_owned() })
}

/// Milliseconds until the answer begins, prompt tokens to read, and the cost of shared tokens among them.
fn predict(request: &SelectionRequest<'_>, candidate: &Candidate<'_>, is_home: bool) -> (f64, u64, f64) {
    let load = candidate.load;
    let Some(generation) = request.generation else {
        return (load.latency * f64::from(load.open + 1), 0, 0.0);
    };
    let shared: u64 =
        generation.parts.split_last().map_or(0, |(_, shared)| shared.iter().map(|part| part.tokens).sum());
    let seen = load.cached(&generation.parts, request.now);
    let cached = if is_home { seen.max(scale(shared, HOME_CACHED)) } else { seen };
    let uncached = generation.prompt.0.saturating_sub(cached);
    let again = as_ms(shared.saturating_sub(cached)) * READ_PER_MS * READ_AGAIN_MS;
    (as_ms(load.uncached + uncached) * load.slowness, uncached, again)
}

/// Candidate that may be taken and whose rendezvous weight for the shared parts is greatest.
fn home_of<'a>(
    generation: Option<&Generation>,
    candidates: &'a [Candidate<'a>],
    may_take: impl Fn(&'a Candidate<'a>) -> bool,
) -> Option<usize> {
    let (_, shared) = generation?.parts.split_last()?;
    let key = shared.last()?.id;
    let weight = |candidate: &Candidate<'_>| xxh3_64(&[&key.to_le_bytes(), candidate.name.as_bytes()].concat());
    (0..candidates.len()).filter(|index| may_take(&candidates[*index])).max_by_key(|index| weight(&candidates[*index]))
}

fn distance(own: &Location, other: &Location) -> f64 {
    match other {
        Location { zone, .. } if *zone == own.zone => 0.0,
        Location { region, .. } if *region == own.region => OTHER_ZONE_MS,
        _ => OTHER_REGION_MS,
    }
}

/// Cost of a server whose slots this instance alone fills.
fn full_cost(candidate: &Candidate<'_>) -> f64 {
    if candidate.load.open >= candidate.slots { FAILING_MS } else { 0.0 }
}

#[expect(clippy::cast_precision_loss, reason = "prompts are far shorter than 2^52 tokens")]
fn as_ms(tokens: u64) -> f64 {
    tokens as f64 / READ_PER_MS
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "prompts are far shorter than 2^52 tokens and the share is positive"
)]
fn scale(tokens: u64, share: f64) -> u64 {
    (tokens as f64 * share) as u64
}
