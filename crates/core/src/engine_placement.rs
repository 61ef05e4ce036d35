//! Placement of a request on an engine by what the fleet knows of every engine's load and speed.
//!
//! Costs are in milliseconds at the nominal speed, like those of [`crate::selection`]. An engine computes prompts in
//! chunks between the steps of the streams that it generates, so a prompt delays its own first event and lengthens the
//! pauses of those streams. See `docs/design/PLACEMENT.md` for the alternatives and the measurements.

#![allow(clippy::cast_precision_loss, reason = "token counts are far below the precision of f64")]

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet_load::FleetEngine;
use crate::selection::{Candidate, Generation, Ranked, SelectionRequest};
use crate::zone_cost::in_zone;

/// Age up to which a view has its full weight.
const FRESH: Duration = Duration::from_millis(300);

/// Age from which a view has no weight.
const EXPIRED: Duration = Duration::from_secs(1);

/// Accepted ratios of measured to nominal times; the speeds of one fleet are within a factor of 3, and a disturbance
/// slows an engine by 2.5.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 20.0);

/// Steps for each doubling of the slowness by which the holders of shared parts are chosen.
const SLOWNESS_STEPS: f64 = 1.4;

/// Candidates that are compared besides those that hold the shared parts.
///
/// All instances place 50 to 80 requests between two messages. If each compared all engines, they would send them to
/// the same few.
const SAMPLED: usize = 12;

/// Engines outside the zone of a request that are compared where zones have shares.
const SPILL_SAMPLED: usize = 4;

/// Cost of such an engine besides that of the transfer, in milliseconds: shares move too slowly for a burst, and without a
/// margin every chance difference between two engines would send a request away.
const SPILL_MARGIN_MS: f64 = 60.0;

/// How much more often an engine of the own zone or region is among those than one of another region.
const NEAR_WEIGHTS: (f64, f64) = (7.0, 4.0);

/// Fractions of the shared prompt parts assumed cached on the engines with the greatest rendezvous weights.
///
/// Requests that find the first engine busy go to the same second and third one at all instances, so that few engines
/// compute the parts of a popular prompt. Most parts are used every few seconds only: with 0.8 for the second engine, half
/// of their uses went to an engine that did not hold them.
const CACHED_BY_RANK: [f64; 3] = [0.95, 0.75, 0.6];

/// Prompt tokens computed per millisecond at the nominal speed.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Time for each million pairs of prompt tokens at the nominal speed, in milliseconds.
const PAIRS_MS: f64 = 0.34;

/// Duration of a step at the nominal speed, in milliseconds.
const STEP_MS: f64 = 5.5;

/// Steps between two events of a stream.
const STEPS_PER_EVENT: f64 = 9.0;

/// Prompt tokens computed between two steps.
const CHUNK: f64 = 1_024.0;

/// Weight of the predicted wait; 1 computed more shared parts again and was on time no more often.
const WAIT_WEIGHT: f64 = 0.7;

/// Cost per shared token that is computed though another engine has it cached, in milliseconds.
///
/// More than its price of 0.04 ms, since the computation also delays the requests that come later. With 0.1, twice as many
/// tokens were computed again as by own load, which cost more than the answers that came in time by it.
const RECOMPUTE_COST_MS: f64 = 0.25;

/// Cost of an engine of the nominal speed for a very short prompt, in milliseconds; in proportion to its speed.
///
/// Only fast engines bring the first event of a long prompt in time, and a short prompt is in time on any.
const FAST_ENGINE_COST_MS: f64 = 80.0;

/// Smallest slowness that counts for [`FAST_ENGINE_COST_MS`].
const FASTEST: f64 = 0.2;

/// Cost of each request that is open at the engine, in milliseconds.
const OPEN_COST_MS: f64 = 2.0;

/// Wait for each request that has no slot, in milliseconds.
const SLOT_WAIT_MS: f64 = 40.0;

/// Cost of a stream that misses its pause objective because of this request, in milliseconds.
const STREAM_COST_MS: f64 = 350.0;

/// Cost of an engine on which any long prompt makes the request's own answer miss its pause objective, in milliseconds.
///
/// Less than [`STREAM_COST_MS`], since a long prompt need not come.
const EXPOSED_COST_MS: f64 = 100.0;

/// Length of a long prompt for [`EXPOSED_COST_MS`] and [`FAST_ENGINE_COST_MS`], in tokens.
const LONG_PROMPT: f64 = 20_000.0;

/// Shortest context assumed for prompt tokens in the queue, in tokens.
const QUEUED_CONTEXT: f64 = 4_096.0;

/// Ratios of the predicted pause to the objective at which a stream is never and always late.
const PAUSE_RISK: (f64, f64) = (0.75, 1.05);

/// Pause objective assumed of the streams at an engine if the request has none, in milliseconds.
const PAUSE_OBJECTIVE_MS: f64 = 300.0;

/// Greatest random part of a cost, in milliseconds, which orders engines that are nearly as good.
const SPREAD_MS: f64 = 10.0;

/// Returns whether the fleet's load is known for some candidate.
pub fn has_view(candidates: &[Candidate<'_>]) -> bool {
    candidates.iter().any(|candidate| candidate.fleet.is_some_and(|view| view.age < EXPIRED))
}

/// Load of an engine: that of other instances, weighted by the age of the view, and this instance's own.
#[derive(Clone, Copy, Debug)]
struct EngineLoad {
    open: f64,
    prefill: f64,
    held: f64,
    slowness: f64,
}

impl EngineLoad {
    fn of(candidate: &Candidate<'_>) -> Self {
        let load = candidate.load;
        let own = (f64::from(load.open()), load.uncached() as f64, load.held() as f64);
        let Some(view) = candidate.fleet else {
            return Self { open: own.0, prefill: own.1, held: own.2, slowness: 1.0 };
        };
        let weight = view_weight(view.age);
        Self {
            open: own.0 + view.open.max(0.0) * weight,
            prefill: own.1 + view.prefill.max(0.0) * weight,
            held: own.2 + view.held.max(0.0) * weight,
            slowness: slowness(&view),
        }
    }

    /// Longest pause between two events of a stream while `tokens` of prompts with a context of up to `context` are
    /// computed, in milliseconds.
    fn pause_ms(&self, tokens: f64, context: f64) -> f64 {
        let beside = tokens.min(STEPS_PER_EVENT * CHUNK).min(context);
        self.slowness * (STEPS_PER_EVENT * STEP_MS + prefill_ms(beside, context))
    }
}

/// Expected delay of a further request at the engine in milliseconds, and the engine's capacity, for the shares of zones.
pub fn pressure(candidate: &Candidate<'_>) -> (f64, f64) {
    let load = EngineLoad::of(candidate);
    let slots = f64::from(candidate.slots.max(1));
    let without_slot = (load.open + 1.0 - slots).max(0.0);
    let queue = load.prefill / PREFILL_TOKENS_PER_MS + load.open * OPEN_COST_MS;
    (queue * load.slowness + without_slot * SLOT_WAIT_MS, slots / load.slowness)
}

/// Ratio of an engine's times to the nominal ones, by the pauses of its streams: there are many samples of them, and waits
/// depend on parts that were cached unexpectedly. It outlasts the load, which changes within a second.
fn slowness(view: &FleetEngine) -> f64 {
    let known = if view.step_slowness.is_finite() { view.step_slowness } else { 1.0 };
    known.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1)
}

/// Ratio of a slowness to the median of the service, in coarse steps. The holders of shared parts change with it, and each
/// change computes the parts again; around the median, an estimate may vary by 28 % without a change.
fn coarse_slowness(slowness: f64, median: f64) -> f64 {
    (((slowness / median).log2() * SLOWNESS_STEPS).round() / SLOWNESS_STEPS).exp2()
}

/// Median slowness of the engines of which the fleet knows the load; 1 if there are none.
fn median_slowness(candidates: &[Candidate<'_>]) -> f64 {
    let mut known: Vec<f64> =
        candidates.iter().filter_map(|candidate| candidate.fleet.as_ref()).map(slowness).collect();
    let middle = known.len() / 2;
    match known.len() {
        0 => 1.0,
        _ => *known.select_nth_unstable_by(middle, f64::total_cmp).1,
    }
}

fn view_weight(age: Duration) -> f64 {
    let left = EXPIRED.saturating_sub(age).as_secs_f64();
    (left / EXPIRED.saturating_sub(FRESH).as_secs_f64()).min(1.0)
}

/// Time to compute the last `tokens` of a prompt of `context` tokens at the nominal speed, in milliseconds.
fn prefill_ms(tokens: f64, context: f64) -> f64 {
    let before = (context - tokens).max(0.0);
    tokens / PREFILL_TOKENS_PER_MS + PAIRS_MS * (context * context - before * before) / 1e6
}

/// Probability that a stream with a pause of `pause_ms` misses its objective.
fn pause_risk(pause_ms: f64, objective_ms: f64) -> f64 {
    ((pause_ms / objective_ms - PAUSE_RISK.0) / (PAUSE_RISK.1 - PAUSE_RISK.0)).clamp(0.0, 1.0)
}

/// Returns the costs of the candidates to compare, in no order.
///
/// `total_cost` adds to the cost of a candidate's load what does not depend on the load.
pub fn rank(
    request: &SelectionRequest<'_>,
    generation: &Generation,
    candidates: &[Candidate<'_>],
    is_eligible: impl Fn(&Candidate<'_>) -> bool,
    total_cost: impl Fn(&Candidate<'_>, f64) -> f64,
) -> Vec<Ranked> {
    let eligible: Vec<usize> = (0..candidates.len()).filter(|index| is_eligible(&candidates[*index])).collect();
    let in_zone = in_zone(request, candidates, &is_eligible);
    // Parts of which this instance had no other request lately are too rare in the zone to be computed for it alone.
    let is_common = request.zone.is_some() && is_known(request, generation, candidates);
    let holders = holders(generation, candidates, if is_common { &in_zone } else { &eligible });
    let sampled = sample(request, generation, candidates, &in_zone);
    let mut compared: Vec<(usize, f64)> =
        holders.iter().zip(CACHED_BY_RANK).map(|(index, cached)| (*index, cached)).collect();
    if is_common {
        // It holds the shared parts for its own zone.
        let first = self::holders(generation, candidates, &eligible).into_iter().take(1);
        compared.extend(first.filter(|index| !holders.contains(index)).map(|index| (index, CACHED_BY_RANK[0])));
    }
    let is_new = |index: &usize| compared.iter().all(|(known, _)| known != index);
    let sampled: Vec<usize> = sampled.into_iter().filter(is_new).collect();
    compared.extend(sampled.into_iter().map(|index| (index, 0.0)));
    let regular = compared.len();
    if request.zone.is_some() {
        let is_outside = |index: &usize| !in_zone.contains(index) && compared.iter().all(|(known, _)| known != index);
        let outside: Vec<usize> = eligible.iter().copied().filter(is_outside).collect();
        let spilled = sample(request, generation, candidates, &outside);
        compared.extend(spilled.into_iter().take(SPILL_SAMPLED).map(|index| (index, 0.0)));
    }
    let placement = Placement::new(request, generation);
    let cost = |(number, (index, cached)): (usize, (usize, f64))| {
        let candidate = &candidates[index];
        let (cost, predicted, uncached) = placement.cost(candidate, cached);
        let cost = if number >= regular { cost + SPILL_MARGIN_MS } else { cost };
        Ranked { cost: total_cost(candidate, cost), predicted, uncached, index }
    };
    compared.into_iter().enumerate().map(cost).collect()
}

/// Whether this instance has sent the shared parts to some engine lately.
fn is_known(request: &SelectionRequest<'_>, generation: &Generation, candidates: &[Candidate<'_>]) -> bool {
    let shared = generation.shared_tokens();
    candidates.iter().any(|candidate| candidate.load.cached_tokens(&generation.parts, request.now) >= shared)
}

/// Returns the engines that hold the shared parts, by rendezvous weight: faster engines hold more.
fn holders(generation: &Generation, candidates: &[Candidate<'_>], eligible: &[usize]) -> Vec<usize> {
    let Some(key) = generation.parts.iter().rev().nth(1).map(|part| part.id) else { return Vec::new() };
    let median = median_slowness(candidates);
    let weight = |index: &usize| {
        let candidate = &candidates[*index];
        let slowness = candidate.fleet.as_ref().map_or(1.0, |view| coarse_slowness(slowness(view), median));
        // The smallest of exponentially distributed values with the rate 1 / slowness wins.
        (-uniform(xxh3_64_with_seed(candidate.name.as_bytes(), key)).ln() * slowness, *index)
    };
    smallest(eligible.iter().map(weight).collect(), CACHED_BY_RANK.len())
}

/// Returns some engines, mostly near ones, that differ for each request.
fn sample(
    request: &SelectionRequest<'_>,
    generation: &Generation,
    candidates: &[Candidate<'_>],
    eligible: &[usize],
) -> Vec<usize> {
    let salt = request_salt(generation).wrapping_add(1);
    let weight = |index: &usize| {
        let Candidate { name, location, .. } = &candidates[*index];
        let nearness = match request.location {
            own if own.zone == location.zone => NEAR_WEIGHTS.0,
            own if own.region == location.region => NEAR_WEIGHTS.1,
            _ => 1.0,
        };
        (uniform(xxh3_64_with_seed(name.as_bytes(), salt)) / nearness, *index)
    };
    // Within one zone, instances that compare most of its engines would all choose the same ones.
    let count = if request.zone.is_some() { SAMPLED.min(eligible.len().div_ceil(2).max(2)) } else { SAMPLED };
    smallest(eligible.iter().map(weight).collect(), count)
}

/// Returns the indices of the `count` smallest values, smallest first.
fn smallest(mut values: Vec<(f64, usize)>, count: usize) -> Vec<usize> {
    if values.len() > count {
        values.select_nth_unstable_by(count, |left, right| left.0.total_cmp(&right.0));
        values.truncate(count);
    }
    values.sort_by(|left, right| left.0.total_cmp(&right.0));
    values.into_iter().map(|(_, index)| index).collect()
}

/// Number that differs between requests: the id of the last part, which is not shared.
fn request_salt(generation: &Generation) -> u64 {
    generation.parts.last().map_or(generation.prompt.0, |part| part.id)
}

/// Maps a hash to a number in (0, 1).
fn uniform(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

/// Request whose cost is computed for each candidate.
#[derive(Debug)]
struct Placement<'a> {
    request: &'a SelectionRequest<'a>,
    generation: &'a Generation,
    shared: u64,
    salt: u64,
}

impl<'a> Placement<'a> {
    fn new(request: &'a SelectionRequest<'a>, generation: &'a Generation) -> Self {
        Self { request, generation, shared: generation.shared_tokens(), salt: request_salt(generation) }
    }

    /// Returns the cost, the predicted wait in milliseconds and the prompt tokens to compute.
    fn cost(&self, candidate: &Candidate<'_>, assumed_cached: f64) -> (f64, f64, u64) {
        let load = EngineLoad::of(candidate);
        let known = candidate.load.cached_tokens(&self.generation.parts, self.request.now);
        let cached = known.max(crate::selection::scale(self.shared, assumed_cached));
        let uncached = self.generation.prompt.0.saturating_sub(cached);
        let wait = self.wait_ms(&load, uncached as f64, f64::from(candidate.slots));
        let random = uniform(xxh3_64_with_seed(candidate.name.as_bytes(), self.salt));
        let cost = wait * WAIT_WEIGHT
            + self.shared.saturating_sub(cached) as f64 * RECOMPUTE_COST_MS
            + load.open * OPEN_COST_MS
            + self.pause_cost(&load, uncached as f64, f64::from(candidate.slots))
            + self.memory_cost(&load)
            + self.fast_engine_cost(&load)
            + random * SPREAD_MS;
        (cost, wait, uncached)
    }

    /// Predicted time to the first event, in milliseconds.
    fn wait_ms(&self, load: &EngineLoad, uncached: f64, slots: f64) -> f64 {
        let own = prefill_ms(uncached, self.generation.prompt.0 as f64);
        let without_slot = (load.open + 1.0 - slots).max(0.0);
        (load.prefill / PREFILL_TOKENS_PER_MS + own) * load.slowness + without_slot * SLOT_WAIT_MS
    }

    /// Cost of streams that the request makes late, and of its own answer being made late by others.
    fn pause_cost(&self, load: &EngineLoad, uncached: f64, slots: f64) -> f64 {
        let own_objective = self.request.pause_objective.map(|objective| objective.as_secs_f64().max(1e-3) * 1e3);
        let objective = own_objective.unwrap_or(PAUSE_OBJECTIVE_MS);
        let context = (self.generation.prompt.0 as f64).max(QUEUED_CONTEXT);
        let without = pause_risk(load.pause_ms(load.prefill, QUEUED_CONTEXT), objective);
        let with = pause_risk(load.pause_ms(load.prefill + uncached, context), objective);
        let harm = load.open.min(slots) * (with - without).max(0.0) * STREAM_COST_MS;
        let exposed = |objective| pause_risk(load.pause_ms(LONG_PROMPT, LONG_PROMPT), objective) * EXPOSED_COST_MS;
        harm + own_objective.map_or(0.0, exposed)
    }

    /// Cost of taking an engine that long prompts need, in milliseconds.
    fn fast_engine_cost(&self, load: &EngineLoad) -> f64 {
        let shortness = 1.0 - (self.generation.prompt.0 as f64 / LONG_PROMPT).min(1.0);
        FAST_ENGINE_COST_MS * shortness / load.slowness.max(FASTEST)
    }

    /// Cost of computing the prompts of preempted requests again, in milliseconds.
    fn memory_cost(&self, load: &EngineLoad) -> f64 {
        let Some(capacity) = self.request.kv_capacity else { return 0.0 };
        let excess = load.held + self.generation.bound().0 as f64 - capacity.0 as f64;
        excess.max(0.0) / PREFILL_TOKENS_PER_MS * load.slowness
    }
}
