//! Policy that weighs prefix-cache match, corrected load, distance and measured latency.
//!
//! It compares the servers that hold a prefix of the prompt with a few random ones, so that its cost does
//! not grow with the number of servers. See `docs/ROUTING.md`.

use std::fmt::Write as _;
use std::time::Duration;

use rand_core::Rng;

use crate::backends::{BackendServer, position};
use crate::names::BackendServerName;
use crate::placement::{Choice, Distance, PlacementRequest, Policy, distance, draw_server, is_eligible, random_below};
use crate::prefixes::{CacheEvent, PREFIX_BLOCK_BYTES, PREFIX_BLOCKS_MAX, PrefixIndex, block_hashes};

/// Age up to which a load report counts as fresh.
const FRESH: Duration = Duration::from_millis(600);

/// Random servers compared while load reports are fresh.
const FRESH_DRAWS: usize = 4;

/// Random servers compared while load is stale: with more, all instances would crowd the same one.
const STALE_DRAWS: usize = 2;

/// Draws made to find servers of the own region.
const DRAWS_MAX: usize = 16;

/// One decision in this many tries a random server, so that a wrong report does not starve it for good.
const PROBE_INTERVAL: u64 = 128;

/// A server counts as slow from this multiple of the lowest measured latency compared.
const SLOW_RATIO: f64 = 4.0;

/// Lowest latency that slowness is told from; below it, differences are ordinary queueing.
const SLOW_FLOOR_MICROS: f64 = 100_000.0;

/// Weight of a slow server's latency, so that it outweighs a cached prefix.
const SLOW_WEIGHT: f64 = 4.0;

/// Costs in microseconds of delay, to the request itself and to those that it holds up.
///
/// A block computed again costs two dozen times its own computing, because it also evicts another prefix and
/// keeps the batch from decoding.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// One block of prompt that has to be computed.
    pub block: f64,
    /// One request that is on the server already.
    pub request: f64,
    /// One request that waits for a place in the batch, besides.
    pub waiting: f64,
    /// Another zone of the same region.
    pub zone: f64,
    /// Another region.
    pub region: f64,
}

impl Default for Costs {
    fn default() -> Self {
        Self { block: 160_000.0, request: 10_000.0, waiting: 20_000.0, zone: 1_000.0, region: 100_000.0 }
    }
}

/// Weighs prefix-cache match, load, distance and latency.
#[derive(Debug, Default)]
pub struct CostPolicy {
    costs: Costs,
    prefixes: PrefixIndex,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: usize,
    blocks: usize,
    cost: f64,
}

impl CostPolicy {
    /// Starts with an empty record of prefixes and own costs.
    pub fn new(costs: Costs) -> Self {
        Self { costs, prefixes: PrefixIndex::default() }
    }

    /// Record of prefixes.
    pub const fn prefixes(&self) -> &PrefixIndex {
        &self.prefixes
    }

    fn cost(&self, server: &BackendServer, request: &PlacementRequest<'_>, missing: usize, lowest: f64) -> f64 {
        let apart = match distance(server, request) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => self.costs.zone,
            Distance::OtherRegion => self.costs.region,
        };
        let excess =
            SLOW_WEIGHT * (server.latency.micros(request.now) - SLOW_RATIO * lowest.max(SLOW_FLOOR_MICROS)).max(0.0);
        let missing = f64::from(u32::try_from(missing).unwrap_or(u32::MAX));
        let load = f64::from(server.load()) * self.costs.request + f64::from(server.waiting()) * self.costs.waiting;
        missing * self.costs.block + load + apart + excess
    }
}

/// Adds `drawn` from anywhere, then random servers of the own region as far as draws find them.
fn add_random(
    candidates: &mut Vec<Candidate>,
    servers: &[BackendServer],
    request: &PlacementRequest<'_>,
    random: &mut dyn Rng,
    drawn: usize,
) {
    let most = candidates.len() + sample_size(servers, request, drawn);
    let mut left = DRAWS_MAX;
    let mut next = Some(drawn);
    while let Some(index) = next.filter(|_| candidates.len() <= most) {
        if candidates.iter().all(|known| known.index != index) {
            candidates.push(Candidate { index, blocks: 0, cost: 0.0 });
        }
        next = None;
        while left > 0 && next.is_none() {
            left -= 1;
            let is_near = |index: &usize| distance(&servers[*index], request) != Distance::OtherRegion;
            next = draw_server(servers, request, random).filter(is_near);
        }
    }
}

/// Drops servers without the prefix that have no room either, when any server holds it.
///
/// Under overload a request moved to another full server would be computed again there and evict what that
/// server has cached, so that the whole fleet serves less.
fn keep_holders(candidates: &mut Vec<Candidate>, servers: &[BackendServer]) {
    let deepest = candidates.iter().map(|candidate| candidate.blocks).max().unwrap_or(0);
    candidates.retain(|candidate| {
        let holds = deepest == 0 || 2 * candidate.blocks > deepest;
        holds || servers[candidate.index].waiting() == 0
    });
}

fn sample_size(servers: &[BackendServer], request: &PlacementRequest<'_>, drawn: usize) -> usize {
    match servers[drawn].reported {
        Some(taken) if request.now.since(taken) <= FRESH => FRESH_DRAWS,
        _ => STALE_DRAWS,
    }
}

fn lowest_latency(servers: &[BackendServer], candidates: &[Candidate], request: &PlacementRequest<'_>) -> f64 {
    let known = candidates.iter().map(|candidate| servers[candidate.index].latency.micros(request.now));
    known.filter(|micros| *micros > 0.0).fold(f64::INFINITY, f64::min)
}

impl Policy for CostPolicy {
    fn choose(
        &self,
        request: &PlacementRequest<'_>,
        servers: &[BackendServer],
        random: &mut dyn Rng,
    ) -> Option<Choice> {
        let drawn = draw_server(servers, request, random)?;
        let hashes = block_hashes(request.prompt);
        let whole = request.prompt.len().div_ceil(PREFIX_BLOCK_BYTES).min(PREFIX_BLOCKS_MAX);
        let mut candidates: Vec<Candidate> = Vec::with_capacity(12);
        for found in self.prefixes.matches(&hashes) {
            match position(servers, &found.server) {
                Some(index) if is_eligible(&servers[index], request) => {
                    candidates.push(Candidate { index, blocks: found.blocks, cost: 0.0 });
                }
                _ => {}
            }
        }
        add_random(&mut candidates, servers, request, random, drawn);
        keep_holders(&mut candidates, servers);
        let lowest = lowest_latency(servers, &candidates, request);
        let mut scores = String::with_capacity(24 * candidates.len());
        for candidate in &mut candidates {
            let server = &servers[candidate.index];
            candidate.cost = self.cost(server, request, whole.saturating_sub(candidate.blocks), lowest);
            let _ = write!(scores, "{}={:.0} ", server.listed.name, candidate.cost);
        }
        let is_probe = random.next_u64().is_multiple_of(PROBE_INTERVAL);
        let best = match candidates.iter().min_by(|a, b| a.cost.total_cmp(&b.cost)) {
            Some(_) if is_probe => candidates[random_below(random, candidates.len())],
            Some(best) => *best,
            None => return None,
        };
        let reason = match best.blocks {
            _ if is_probe => "probe",
            0 => "lowest cost",
            _ => "lowest cost with cached prefix",
        };
        scores.truncate(scores.trim_end().len());
        self.prefixes.record(&hashes, &servers[best.index].listed.name, request.now);
        Some(Choice { index: best.index, reason, scores })
    }

    fn note_cache(&self, server: &BackendServerName, event: &CacheEvent) {
        self.prefixes.correct(server, event);
    }
}
