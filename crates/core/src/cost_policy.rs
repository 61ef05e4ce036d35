//! Placement policy that adds up the costs of uncached prompt blocks, load, distance and measured latency.
//!
//! It compares the servers that have a prefix of the prompt cached with a few random ones, so that a decision needs
//! the same time for any number of servers. See `docs/ROUTING.md`.

use std::fmt::Write as _;
use std::time::Duration;

use rand_core::Rng;

use crate::backends::{BackendServer, position};
use crate::names::BackendServerName;
use crate::placement::{Choice, Distance, PlacementRequest, Policy, distance, draw_server, is_eligible, random_below};
use crate::prefixes::{CacheEvent, PREFIX_BLOCK_BYTES, PREFIX_BLOCKS_MAX, PrefixIndex, block_hashes};

/// Maximum age of a load report that counts as fresh.
const FRESH_AGE: Duration = Duration::from_millis(600);

/// Number of random servers compared while load reports are fresh.
const FRESH_SAMPLE: usize = 4;

/// Number of random servers compared while load reports are stale; with more, all instances would crowd one server.
const STALE_SAMPLE: usize = 2;

/// Maximum number of draws to find random servers of the instance's region.
const DRAWS_MAX: usize = 16;

/// Number of decisions per probe of a random candidate; probes reach a server even if its load report is wrong.
const PROBE_INTERVAL: u64 = 128;

/// Multiple of the lowest measured latency among the candidates from which a server counts as slow.
const SLOW_RATIO: f64 = 4.0;

/// Lower bound of the latency that slowness is measured against; differences below it are ordinary queueing.
const SLOW_FLOOR_MICROS: f64 = 100_000.0;

/// Weight of a slow server's excess latency, high enough to outweigh a cached prefix.
const SLOW_WEIGHT: f64 = 4.0;

/// Costs in microseconds of delay, to the request itself and to the requests that it delays.
///
/// Recomputing a cached block costs about 24 times its own computing time, because the block also evicts another
/// prefix and keeps the batch from decoding.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Cost of each prompt block that the server must compute.
    pub block: f64,
    /// Cost of each request on the server.
    pub request: f64,
    /// Additional cost of each request that waits for the batch.
    pub waiting: f64,
    /// Cost of another availability zone in the same region.
    pub zone: f64,
    /// Cost of another region.
    pub region: f64,
}

impl Default for Costs {
    fn default() -> Self {
        Self { block: 160_000.0, request: 10_000.0, waiting: 20_000.0, zone: 1_000.0, region: 100_000.0 }
    }
}

/// Policy that places a request on the candidate with the lowest total of [`Costs`].
#[derive(Debug, Default)]
pub struct CostPolicy {
    costs: Costs,
    prefixes: PrefixIndex,
}

/// Server under comparison, with the number of prompt blocks that it has cached.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: usize,
    blocks: usize,
    cost: f64,
}

impl CostPolicy {
    /// Creates a policy with these costs and an empty prefix index.
    pub fn new(costs: Costs) -> Self {
        Self { costs, prefixes: PrefixIndex::default() }
    }

    /// Returns the index of prompt prefixes by server.
    pub const fn prefixes(&self) -> &PrefixIndex {
        &self.prefixes
    }

    fn cost(&self, server: &BackendServer, request: &PlacementRequest<'_>, uncached: usize, lowest: f64) -> f64 {
        let distance_cost = match distance(server, request) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => self.costs.zone,
            Distance::OtherRegion => self.costs.region,
        };
        let excess =
            SLOW_WEIGHT * (server.latency.micros(request.now) - SLOW_RATIO * lowest.max(SLOW_FLOOR_MICROS)).max(0.0);
        let uncached = f64::from(u32::try_from(uncached).unwrap_or(u32::MAX));
        let load = f64::from(server.load()) * self.costs.request + f64::from(server.waiting()) * self.costs.waiting;
        uncached * self.costs.block + load + distance_cost + excess
    }
}

/// Adds the server at index `drawn`, then random servers of the instance's region within [`DRAWS_MAX`] draws.
fn add_random_servers(
    candidates: &mut Vec<Candidate>,
    servers: &[BackendServer],
    request: &PlacementRequest<'_>,
    random: &mut dyn Rng,
    drawn: usize,
) {
    let max = candidates.len() + sample_size(servers, request, drawn);
    let mut left = DRAWS_MAX;
    let mut next = Some(drawn);
    while let Some(index) = next.filter(|_| candidates.len() <= max) {
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

/// Drops servers that lack the prefix and have requests waiting, if any candidate has the prefix cached.
///
/// Under overload, moving a request to another full server would recompute its prefix there and evict other prefixes,
/// which lowers the throughput of the whole fleet.
fn drop_full_servers(candidates: &mut Vec<Candidate>, servers: &[BackendServer]) {
    let deepest = candidates.iter().map(|candidate| candidate.blocks).max().unwrap_or(0);
    candidates.retain(|candidate| {
        let has_prefix = deepest == 0 || 2 * candidate.blocks > deepest;
        has_prefix || servers[candidate.index].waiting() == 0
    });
}

fn sample_size(servers: &[BackendServer], request: &PlacementRequest<'_>, drawn: usize) -> usize {
    match servers[drawn].reported {
        Some(measured_at) if request.now.since(measured_at) <= FRESH_AGE => FRESH_SAMPLE,
        _ => STALE_SAMPLE,
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
        let total = request.prompt.len().div_ceil(PREFIX_BLOCK_BYTES).min(PREFIX_BLOCKS_MAX);
        let mut candidates: Vec<Candidate> = Vec::with_capacity(12);
        for found in self.prefixes.matches(&hashes) {
            match position(servers, &found.server) {
                Some(index) if is_eligible(&servers[index], request) => {
                    candidates.push(Candidate { index, blocks: found.blocks, cost: 0.0 });
                }
                _ => {}
            }
        }
        add_random_servers(&mut candidates, servers, request, random, drawn);
        drop_full_servers(&mut candidates, servers);
        let lowest = lowest_latency(servers, &candidates, request);
        let mut scores = String::with_capacity(24 * candidates.len());
        for candidate in &mut candidates {
            let server = &servers[candidate.index];
            candidate.cost = self.cost(server, request, total.saturating_sub(candidate.blocks), lowest);
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
        self.prefixes.apply_event(server, event);
    }
}
