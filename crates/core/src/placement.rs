//! Placement of a request on a backend server by one of several interchangeable policies.

use std::fmt::Write as _;
use std::sync::atomic::{AtomicUsize, Ordering};

use derive_more::{Display, FromStr};
use rand_core::Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::backends::BackendServer;
use crate::cost_policy::CostPolicy;
use crate::names::{AvailabilityZoneName, BackendServerName, RegionName};
use crate::prefixes::CacheEvent;
use crate::units::Instant;

/// Properties of a request that a policy can use.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Prompt, whose prefix a server may have cached.
    pub prompt: &'a str,
    /// Availability zone of the dispatching instance.
    pub zone: &'a AvailabilityZoneName,
    /// Region of the dispatching instance.
    pub region: &'a RegionName,
    /// Current time.
    pub now: Instant,
    /// Servers on which this request already failed.
    pub tried: &'a [BackendServerName],
}

/// Chosen server with the reason and scores for the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index of the server in the list that the policy was given.
    pub index: usize,
    /// Reason of the choice.
    pub reason: &'static str,
    /// Scores of the compared candidates, at most a dozen.
    pub scores: String,
}

/// Policy that chooses the backend server of a request.
pub trait Policy: Send + Sync + std::fmt::Debug {
    /// Chooses one of `servers`, sorted by name, or `None` when no server is [eligible](is_eligible).
    fn choose(&self, request: &PlacementRequest<'_>, servers: &[BackendServer], random: &mut dyn Rng)
    -> Option<Choice>;

    /// Handles an event of a server's prefix cache; the default ignores it.
    fn note_cache(&self, _server: &BackendServerName, _event: &CacheEvent) {}
}

/// Policy by its name in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// [`CostPolicy`].
    #[default]
    Scored,
    /// [`TwoChoices`].
    TwoChoices,
    /// [`LeastLoaded`].
    LeastLoaded,
    /// [`PrefixHash`].
    PrefixHash,
    /// [`RoundRobin`].
    RoundRobin,
}

impl PolicyKind {
    /// All policies.
    pub const ALL: &[Self] = &[Self::Scored, Self::TwoChoices, Self::LeastLoaded, Self::PrefixHash, Self::RoundRobin];

    /// Creates the policy without any recorded prefixes.
    pub fn build(self) -> Box<dyn Policy> {
        match self {
            Self::Scored => Box::new(CostPolicy::default()),
            Self::TwoChoices => Box::new(TwoChoices),
            Self::LeastLoaded => Box::new(LeastLoaded),
            Self::PrefixHash => Box::new(PrefixHash),
            Self::RoundRobin => Box::new(RoundRobin::default()),
        }
    }
}

/// Returns whether `server` accepts new work: it is not leaving, not ejected and not yet tried by the request.
pub fn is_eligible(server: &BackendServer, request: &PlacementRequest<'_>) -> bool {
    !server.leaving && server.ejected_until <= request.now && !request.tried.contains(&server.listed.name)
}

/// Chooses a server for `request`, or returns `None` when no server is eligible.
pub fn place<'a>(
    policy: &dyn Policy,
    request: &PlacementRequest<'_>,
    servers: &'a [BackendServer],
    random: &mut dyn Rng,
) -> Option<(&'a BackendServer, Choice)> {
    let choice = policy.choose(request, servers, random)?;
    servers.get(choice.index).map(|server| (server, choice))
}

/// Number of random draws before the servers are scanned one by one.
const DRAWS_MAX: usize = 4;

/// Draws a random eligible server, usually without checking all of them.
pub fn draw_server(servers: &[BackendServer], request: &PlacementRequest<'_>, random: &mut dyn Rng) -> Option<usize> {
    if servers.is_empty() {
        return None;
    }
    let drawn = (0..DRAWS_MAX)
        .map(|_| random_below(random, servers.len()))
        .find(|index| is_eligible(&servers[*index], request));
    drawn.or_else(|| first_from(random_below(random, servers.len()), servers, request))
}

/// Returns the first eligible server from index `start` on, wrapping around.
fn first_from(start: usize, servers: &[BackendServer], request: &PlacementRequest<'_>) -> Option<usize> {
    let order = (0..servers.len()).map(|step| (start + step) % servers.len());
    order.into_iter().find(|index| is_eligible(&servers[*index], request))
}

fn eligible<'a>(servers: &'a [BackendServer], request: &'a PlacementRequest<'_>) -> impl Iterator<Item = usize> + 'a {
    (0..servers.len()).filter(|index| is_eligible(&servers[*index], request))
}

/// Returns a random number less than `count`, which must not be 0.
pub(crate) fn random_below(random: &mut dyn Rng, count: usize) -> usize {
    usize::try_from(random.next_u64() % count as u64).unwrap_or_default()
}

/// Distance of a server from the dispatching instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    SameZone,
    /// Another availability zone of the same region.
    SameRegion,
    /// Another region, reached over a slow link that is charged by volume.
    OtherRegion,
}

/// Returns the distance of `server` from the instance that dispatches `request`.
pub fn distance(server: &BackendServer, request: &PlacementRequest<'_>) -> Distance {
    match &server.listed {
        listed if listed.zone == *request.zone => Distance::SameZone,
        listed if listed.region == *request.region => Distance::SameRegion,
        _ => Distance::OtherRegion,
    }
}

/// Compares two random servers by load and distance and chooses the lower one (power of two choices).
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

/// Length of the prompt prefix that is hashed, in bytes.
pub const PREFIX_HASH_BYTES: usize = 256;

/// Places equal prompt prefixes on the same server by rendezvous hash, regardless of its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixHash;

/// Chooses the server with the fewest known requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

/// Chooses the servers in rotation.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: AtomicUsize,
}

impl Policy for TwoChoices {
    fn choose(
        &self,
        request: &PlacementRequest<'_>,
        servers: &[BackendServer],
        random: &mut dyn Rng,
    ) -> Option<Choice> {
        let pair = [draw_server(servers, request, random)?, draw_server(servers, request, random)?];
        let mut scores = String::new();
        let cost = |index: usize| {
            let distance_cost = match distance(&servers[index], request) {
                Distance::SameZone => 0,
                Distance::SameRegion => 1,
                Distance::OtherRegion => 8,
            };
            servers[index].load().saturating_add(distance_cost)
        };
        for index in pair {
            let _ = write!(scores, "{}={} ", servers[index].listed.name, cost(index));
        }
        let index = if cost(pair[1]) < cost(pair[0]) { pair[1] } else { pair[0] };
        Some(Choice { index, reason: "lower of two", scores: scores.trim_end().to_owned() })
    }
}

impl Policy for PrefixHash {
    fn choose(&self, request: &PlacementRequest<'_>, servers: &[BackendServer], _: &mut dyn Rng) -> Option<Choice> {
        let prefix = &request.prompt.as_bytes()[..request.prompt.len().min(PREFIX_HASH_BYTES)];
        let hash = xxh3_64(prefix);
        let weight = |index: &usize| xxh3_64_with_seed(servers[*index].listed.name.as_bytes(), hash);
        let index = eligible(servers, request).max_by_key(weight)?;
        Some(Choice { index, reason: "prefix hash", scores: String::new() })
    }
}

impl Policy for LeastLoaded {
    fn choose(
        &self,
        request: &PlacementRequest<'_>,
        servers: &[BackendServer],
        random: &mut dyn Rng,
    ) -> Option<Choice> {
        let start = random_below(random, servers.len().max(1));
        let rotated = |index: &usize| (servers[*index].load(), (index + servers.len() - start) % servers.len());
        let index = eligible(servers, request).min_by_key(rotated)?;
        let scores = format!("{}={}", servers[index].listed.name, servers[index].load());
        Some(Choice { index, reason: "least loaded", scores })
    }
}

impl Policy for RoundRobin {
    fn choose(&self, request: &PlacementRequest<'_>, servers: &[BackendServer], _: &mut dyn Rng) -> Option<Choice> {
        if servers.is_empty() {
            return None;
        }
        let start = self.next.fetch_add(1, Ordering::Relaxed) % servers.len();
        let index = first_from(start, servers, request)?;
        Some(Choice { index, reason: "next in turn", scores: String::new() })
    }
}
