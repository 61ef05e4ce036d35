//! Choice of the backend server for one request; policies stand behind one trait so that they compare.

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

/// What a policy may know of a request.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// Text whose prefix may be cached.
    pub prompt: &'a str,
    /// Zone of the instance that dispatches.
    pub zone: &'a AvailabilityZoneName,
    /// Region of the instance that dispatches.
    pub region: &'a RegionName,
    /// Time of the decision.
    pub now: Instant,
    /// Servers that this request already failed on.
    pub tried: &'a [BackendServerName],
}

/// A decision with its reason, for the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index of the server among the candidates.
    pub index: usize,
    /// Why it was chosen.
    pub reason: &'static str,
    /// Scores of the candidates compared, of which there are at most a dozen.
    pub scores: String,
}

/// Way of choosing the backend server of a request.
pub trait Policy: Send + Sync + std::fmt::Debug {
    /// Chooses one of `servers`, sorted by name, or none when no server [may take](is_eligible) the request.
    fn choose(&self, request: &PlacementRequest<'_>, servers: &[BackendServer], random: &mut dyn Rng)
    -> Option<Choice>;

    /// Takes in an event of a server's prefix cache; most policies have no use for it.
    fn note_cache(&self, _server: &BackendServerName, _event: &CacheEvent) {}
}

/// Name of a policy in the settings.
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
    /// Every policy.
    pub const ALL: &[Self] = &[Self::Scored, Self::TwoChoices, Self::LeastLoaded, Self::PrefixHash, Self::RoundRobin];

    /// Builds the policy with an empty record.
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

/// Tells whether `server` may take new work.
pub fn is_eligible(server: &BackendServer, request: &PlacementRequest<'_>) -> bool {
    !server.leaving && server.ejected_until <= request.now && !request.tried.contains(&server.listed.name)
}

/// Chooses a server for `request`, or none when no server may take it.
pub fn place<'a>(
    policy: &dyn Policy,
    request: &PlacementRequest<'_>,
    servers: &'a [BackendServer],
    random: &mut dyn Rng,
) -> Option<(&'a BackendServer, Choice)> {
    let choice = policy.choose(request, servers, random)?;
    servers.get(choice.index).map(|server| (server, choice))
}

/// Draws before all servers are looked at in turn.
const DRAWS_MAX: usize = 4;

/// Draws a server that may take the request without looking at all of them.
pub fn draw_server(servers: &[BackendServer], request: &PlacementRequest<'_>, random: &mut dyn Rng) -> Option<usize> {
    if servers.is_empty() {
        return None;
    }
    let drawn = (0..DRAWS_MAX)
        .map(|_| random_below(random, servers.len()))
        .find(|index| is_eligible(&servers[*index], request));
    drawn.or_else(|| first_from(random_below(random, servers.len()), servers, request))
}

fn first_from(start: usize, servers: &[BackendServer], request: &PlacementRequest<'_>) -> Option<usize> {
    let order = (0..servers.len()).map(|step| (start + step) % servers.len());
    order.into_iter().find(|index| is_eligible(&servers[*index], request))
}

fn eligible<'a>(servers: &'a [BackendServer], request: &'a PlacementRequest<'_>) -> impl Iterator<Item = usize> + 'a {
    (0..servers.len()).filter(|index| is_eligible(&servers[*index], request))
}

pub(crate) fn random_below(random: &mut dyn Rng, count: usize) -> usize {
    usize::try_from(random.next_u64() % count as u64).unwrap_or_default()
}

/// How far a server is from the instance that dispatches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    SameZone,
    /// Another zone of the same region.
    SameRegion,
    /// Another region, over a slow link that is paid by volume.
    OtherRegion,
}

/// Tells how far `server` is from the instance of `request`.
pub fn distance(server: &BackendServer, request: &PlacementRequest<'_>) -> Distance {
    match &server.listed {
        listed if listed.zone == *request.zone => Distance::SameZone,
        listed if listed.region == *request.region => Distance::SameRegion,
        _ => Distance::OtherRegion,
    }
}

/// Compares two random servers by load, zone and region and takes the better one.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

/// Prefix of a prompt that decides its hash, in bytes.
pub const PREFIX_HASH_BYTES: usize = 256;

/// Sends equal prefixes to the same server, whatever its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixHash;

/// Takes the server with the fewest known requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

/// Takes the servers in turn.
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
            let apart = match distance(&servers[index], request) {
                Distance::SameZone => 0,
                Distance::SameRegion => 1,
                Distance::OtherRegion => 8,
            };
            servers[index].load().saturating_add(apart)
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
        let turned = |index: &usize| (servers[*index].load(), (index + servers.len() - start) % servers.len());
        let index = eligible(servers, request).min_by_key(turned)?;
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
