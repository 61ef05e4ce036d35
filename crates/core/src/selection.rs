//! Selection of a backend server for one request by predicted wait, cached prompt parts, distance and health.
//!
//! Many instances share the engines and don't coordinate per request. Rendezvous hashing gives every instance the
//! same preferred engine for a shared prompt prefix, so that few engines compute it. An instance selects another
//! engine where its own open requests predict a longer wait. See `docs/ROUTING.md#spread`.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::engine_placement;
use crate::fleet_load::FleetEngine;
use crate::names::{AvailabilityZoneName, BackendServerName, RegionName};
use crate::units::{Instant, Tokens};
use crate::zone_cost::{in_zone, zone_cost};

/// Part of a prompt; an engine's cached computation of it is reused by requests with the same leading parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier, equal for equal parts.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Size of a text generation and the parts of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Maximum length of the answer.
    pub output: Tokens,
    /// Parts of the prompt in order; all but the last may be shared with other requests.
    pub parts: Vec<PromptPart>,
}

impl Generation {
    /// Returns an upper bound on the tokens that the request can use.
    pub fn bound(&self) -> Tokens {
        self.prompt + self.output
    }

    /// Returns the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> {
        self.parts.split_last().map_or(&[][..], |(_, shared)| shared).iter().map(|part| part.id)
    }

    /// Returns the number of tokens in the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.parts.split_last().map_or(0, |(_, shared)| shared.iter().map(|part| part.tokens).sum())
    }

    /// Formats the ids of the shared parts for a log line.
    pub fn part_list(&self) -> String {
        self.shared_parts().map(|part| format!("{part:016x}")).collect::<Vec<_>>().join(",")
    }
}

/// Prompt tokens that an engine prefills per millisecond, before its measured slowness corrects the estimate.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Cost of each request that this instance has open at a server, in milliseconds.
const OPEN_COST_MS: f64 = 2.0;

/// Assumed latency of a plain service before its first measured answer, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 30.0;

/// Fraction of the shared prompt parts assumed cached on the preferred server, where other instances send them too.
const PREFERRED_CACHED: f64 = 0.95;

/// Cost per shared token that a server computes though another has it cached, in milliseconds on top of the prefill.
///
/// In points, the unit in which the deployments count what an answer in time is worth, 1,000 such tokens cost 0.34 and
/// an answer of 5,000 tokens that is 400 ms late costs about 4.
const RECOMPUTE_COST_MS: f64 = 0.04;

/// Cost of a server that failed all its recent requests or has no free slot, in milliseconds.
const UNAVAILABLE_COST_MS: f64 = 2_000.0;

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Time after which a measured latency that is not renewed has lost half of its weight.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);

/// Smallest and greatest accepted ratio of a measured wait to its prediction.
const SLOWNESS_RANGE: (f64, f64) = (0.3, 20.0);

/// Time after its last use for which a prompt part is assumed to stay in an engine's cache.
const PART_TTL: Duration = Duration::from_secs(30);

/// Maximum number of prompt parts remembered per server.
const PARTS_MAX: usize = 512;

/// Ejection time after the first failure; it doubles with each consecutive one.
const EJECTION_MIN: Duration = Duration::from_millis(250);

/// Longest ejection time.
const EJECTION_MAX: Duration = Duration::from_secs(3);

const EJECTION_DOUBLINGS: u32 = 5;

/// Location of a server or an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Availability zone of the server or instance.
    pub zone: AvailabilityZoneName,
    /// Region of the zone.
    pub region: RegionName,
}

/// Load and health of a server as one instance has observed them.
#[derive(Clone, Debug)]
pub struct ServerLoad {
    open: u32,
    uncached: u64,
    held: u64,
    slowness: f64,
    latency_ms: f64,
    /// When the latency was last measured.
    measured_at: Instant,
    failure_rate: f64,
    failures: u32,
    ejected_until: Option<Instant>,
    parts: HashMap<u64, Instant>,
}

impl Default for ServerLoad {
    fn default() -> Self {
        Self {
            open: 0,
            uncached: 0,
            held: 0,
            slowness: 1.0,
            latency_ms: INITIAL_LATENCY_MS,
            measured_at: Instant::default(),
            failure_rate: 0.0,
            failures: 0,
            ejected_until: None,
            parts: HashMap::new(),
        }
    }
}

impl ServerLoad {
    /// Returns the number of requests that this instance has open at the server.
    pub const fn open(&self) -> u32 {
        self.open
    }

    /// Returns the prompt tokens of this instance's requests that the server has not computed yet.
    pub const fn uncached(&self) -> u64 {
        self.uncached
    }

    /// Returns the KV cache tokens that this instance's open requests may take at the server.
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Counts the KV cache tokens of a dispatched request: its prompt and the longest answer.
    pub const fn note_held(&mut self, tokens: u64) {
        self.held = self.held.saturating_add(tokens);
    }

    /// Removes the KV cache tokens of a request that has ended.
    pub const fn note_released(&mut self, tokens: u64) {
        self.held = self.held.saturating_sub(tokens);
    }

    /// Counts a dispatched request, whose prompt has `uncached` tokens that the server must compute.
    pub fn note_start(&mut self, parts: &[PromptPart], uncached: u64, now: Instant) {
        self.open += 1;
        self.uncached += uncached;
        if self.parts.len() >= PARTS_MAX {
            self.parts.retain(|_, used| now.since(*used) < PART_TTL);
        }
        if self.parts.len() < PARTS_MAX {
            self.parts.extend(parts.iter().map(|part| (part.id, now)));
        }
    }

    /// Updates the slowness when the first token arrives, `waited` after the dispatch.
    ///
    /// `predicted` is the wait in milliseconds that the selection expected.
    pub fn note_first_token(&mut self, uncached: u64, waited: Duration, predicted: f64) {
        self.uncached = self.uncached.saturating_sub(uncached);
        let ratio = (waited.as_secs_f64() * 1e3 / predicted.max(1.0)).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += (ratio - self.slowness) * SAMPLE_WEIGHT;
    }

    /// Removes the uncached tokens of a request that ended before its first token.
    pub const fn note_unanswered(&mut self, uncached: u64) {
        self.uncached = self.uncached.saturating_sub(uncached);
    }

    /// Counts the end of a request.
    pub const fn note_end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Adds the duration of a complete answer of a plain service to the moving average.
    pub fn note_latency(&mut self, duration: Duration, now: Instant) {
        let known = self.latency_ms(now);
        self.latency_ms = known + (duration.as_secs_f64() * 1e3 - known) * SAMPLE_WEIGHT;
        self.measured_at = now;
    }

    /// Expected duration of an answer. A measured one loses weight while it is not renewed, since a server that was slow for
    /// a moment would otherwise get no request that shows it to be well again.
    pub(crate) fn latency_ms(&self, now: Instant) -> f64 {
        let half_lives = now.since(self.measured_at).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        INITIAL_LATENCY_MS + (self.latency_ms - INITIAL_LATENCY_MS) * 0.5_f64.powf(half_lives)
    }

    /// Records a successful answer, which ends an ejection.
    pub fn note_success(&mut self) {
        self.failures = 0;
        self.ejected_until = None;
        self.failure_rate -= self.failure_rate * SAMPLE_WEIGHT;
    }

    /// Records an answer with a server error.
    pub fn note_error(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * SAMPLE_WEIGHT;
    }

    /// Ejects the server after a failed connection or a broken answer, and returns the end of the ejection.
    pub fn note_failure(&mut self, now: Instant) -> Instant {
        self.note_error();
        let ejection = EJECTION_MIN.saturating_mul(1 << self.failures.min(EJECTION_DOUBLINGS)).min(EJECTION_MAX);
        self.failures += 1;
        let until = now.after(ejection);
        self.ejected_until = Some(until);
        until
    }

    /// Ends an ejection and forgets the failures that led to it, since they were not the server's.
    pub const fn forgive(&mut self) {
        self.failures = 0;
        self.failure_rate = 0.0;
        self.ejected_until = None;
    }

    /// Returns whether the server is ejected after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Resets cache, latency and health after a restart of the server; this instance's open requests still count.
    pub fn restart(&mut self) {
        *self = Self { open: self.open, uncached: self.uncached, held: self.held, ..Self::default() };
    }

    /// Returns the length of the leading parts that are assumed cached, in tokens.
    pub(crate) fn cached_tokens(&self, parts: &[PromptPart], now: Instant) -> u64 {
        let is_cached = |part: &&PromptPart| self.parts.get(&part.id).is_some_and(|used| now.since(*used) < PART_TTL);
        parts.iter().take_while(is_cached).map(|part| part.tokens).sum()
    }
}

/// Server that a request may be sent to.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// Name of the server.
    pub name: &'a BackendServerName,
    /// Location of the server.
    pub location: &'a Location,
    /// Observed load and health.
    pub load: &'a ServerLoad,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// What the fleet knows of the engine; `None` if there is no current view of it.
    pub fleet: Option<FleetEngine>,
}

/// Input of [`choose`] besides the candidates.
#[derive(Debug)]
pub struct SelectionRequest<'a> {
    /// Size of the generation; `None` for a request to a plain service.
    pub generation: Option<&'a Generation>,
    /// Location of the dispatching instance.
    pub location: &'a Location,
    /// Longest pause between two events for which the answer is on time, if the route declares it.
    pub pause_objective: Option<Duration>,
    /// Tokens that fit into the KV cache of an engine of the service, if it has engines.
    pub kv_capacity: Option<Tokens>,
    /// Zone that the share of the requests that leave gives this request; `None` where zones have fixed costs.
    pub zone: Option<&'a AvailabilityZoneName>,
    /// Current time.
    pub now: Instant,
}

/// Selected server with the prediction and costs behind the selection.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// Index among the candidates.
    pub index: usize,
    /// Predicted wait until the first token, in milliseconds.
    pub predicted: f64,
    /// Prompt tokens that the server is expected to compute.
    pub uncached: u64,
    /// Costs of the cheapest candidates in milliseconds, for the log line.
    pub costs: String,
}

/// Candidate with its cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ranked {
    pub cost: f64,
    pub predicted: f64,
    pub uncached: u64,
    pub index: usize,
}

/// Number of costs written to a log line.
const COSTS_LOGGED: usize = 4;

/// Selects the candidate with the lowest cost; ejected servers are considered only when all are ejected.
pub fn choose(request: &SelectionRequest<'_>, candidates: &[Candidate<'_>]) -> Option<Selection> {
    let is_available = |candidate: &&Candidate<'_>| !candidate.load.is_ejected(request.now);
    let all_ejected = !candidates.iter().any(|candidate| is_available(&candidate));
    let is_eligible = |candidate: &Candidate<'_>| all_ejected || is_available(&candidate);
    let total = |candidate: &Candidate<'_>, cost: f64| {
        cost + zone_cost(request, candidate) + candidate.load.failure_rate * UNAVAILABLE_COST_MS
    };
    let mut ranked = match request.generation {
        Some(generation) if engine_placement::has_view(candidates) => {
            engine_placement::rank(request, generation, candidates, is_eligible, total)
        }
        _ => rank_by_own_load(request, candidates, is_eligible, total),
    };
    ranked.sort_by(|left, right| left.cost.total_cmp(&right.cost).then(left.index.cmp(&right.index)));
    let Ranked { predicted, uncached, index, .. } = *ranked.first()?;
    let mut costs = String::new();
    for Ranked { cost, index, .. } in ranked.iter().take(COSTS_LOGGED) {
        let _ = write!(costs, "{}:{cost:.0} ", candidates[*index].name);
    }
    Some(Selection { index, predicted, uncached, costs: costs.trim_end().to_owned() })
}

/// Ranks the candidates by this instance's own requests, without a view of the fleet's load.
fn rank_by_own_load(
    request: &SelectionRequest<'_>,
    candidates: &[Candidate<'_>],
    is_eligible: impl Fn(&Candidate<'_>) -> bool,
    total_cost: impl Fn(&Candidate<'_>, f64) -> f64,
) -> Vec<Ranked> {
    let preferred = preferred_server(request.generation, candidates, &is_eligible);
    let mut ranked = Vec::with_capacity(candidates.len());
    let in_zone = in_zone(request, candidates, &is_eligible);
    let is_compared = |index: usize| preferred == Some(index) || in_zone.contains(&index);
    for (index, candidate) in candidates.iter().enumerate().filter(|(index, _)| is_compared(*index)) {
        let (predicted, uncached, recompute) = predict(request, candidate, preferred == Some(index));
        let crowding = f64::from(candidate.load.open) * OPEN_COST_MS + full_cost(candidate);
        let cost = total_cost(candidate, predicted + recompute + crowding);
        ranked.push(Ranked { cost, predicted, uncached, index });
    }
    ranked
}

/// Returns the predicted wait in milliseconds, the prompt tokens to compute and the cost of the shared ones among them.
fn predict(request: &SelectionRequest<'_>, candidate: &Candidate<'_>, is_preferred: bool) -> (f64, u64, f64) {
    let load = candidate.load;
    let Some(generation) = request.generation else {
        return (load.latency_ms(request.now) * f64::from(load.open + 1), 0, 0.0);
    };
    let shared = generation.shared_tokens();
    let known_cached = load.cached_tokens(&generation.parts, request.now);
    let cached = if is_preferred { known_cached.max(scale(shared, PREFERRED_CACHED)) } else { known_cached };
    let uncached = generation.prompt.0.saturating_sub(cached);
    let recompute = prefill_ms(shared.saturating_sub(cached)) * PREFILL_TOKENS_PER_MS * RECOMPUTE_COST_MS;
    (prefill_ms(load.uncached + uncached) * load.slowness, uncached, recompute)
}

/// Returns the eligible candidate with the greatest rendezvous hash weight for the shared prompt parts.
fn preferred_server<'a>(
    generation: Option<&Generation>,
    candidates: &'a [Candidate<'a>],
    is_eligible: impl Fn(&'a Candidate<'a>) -> bool,
) -> Option<usize> {
    let (_, shared) = generation?.parts.split_last()?;
    let key = shared.last()?.id;
    let weight = |candidate: &Candidate<'_>| xxh3_64(&[&key.to_le_bytes(), candidate.name.as_bytes()].concat());
    (0..candidates.len())
        .filter(|index| is_eligible(&candidates[*index]))
        .max_by_key(|index| weight(&candidates[*index]))
}

/// Returns the extra cost of a server whose slots are all taken by this instance's own requests.
fn full_cost(candidate: &Candidate<'_>) -> f64 {
    if candidate.load.open >= candidate.slots { UNAVAILABLE_COST_MS } else { 0.0 }
}

#[expect(clippy::cast_precision_loss, reason = "prompts are far shorter than 2^52 tokens")]
fn prefill_ms(tokens: u64) -> f64 {
    tokens as f64 / PREFILL_TOKENS_PER_MS
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "prompts are far shorter than 2^52 tokens and the share is positive"
)]
pub(crate) fn scale(tokens: u64, share: f64) -> u64 {
    (tokens as f64 * share) as u64
}
