//! Routing table built from the document in force: routes, services, client accounts and their API keys.
//!
//! A table doesn't change once it is in use. A newer version replaces it as a whole, so that a request sees a single
//! version. See `docs/PLATFORM.md#documents`.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64;

use crate::home_regions::HomeRegions;
use crate::names::{ClientAccountName, ServiceName};
use crate::units::Tokens;

/// Whether a request that may have run can be sent again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    #[display("once")]
    AtMostOnce,
    /// The answer is a stream that another backend server can resume.
    Resumable,
}

/// Route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name given by the operators.
    pub name: Arc<str>,
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Services with their traffic weights.
    pub split: Vec<(ServiceName, u32)>,
    /// Whether a request can be sent again.
    pub repeat: RepeatPolicy,
    /// Whether the answer is an event stream.
    pub streams: bool,
    /// Maximum time until the answer is complete.
    pub timeout: Duration,
    /// Target time for the answer (SLO).
    pub latency_objective: Duration,
    /// Priority rank; 0 is the highest priority.
    pub rank: u8,
    /// Maximum number of backend servers that a request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// Longest pause between two events of a stream for which the answer is on time, if the route declares it.
    pub pause_objective: Option<Duration>,
    /// Regions that may serve its requests.
    pub homes: HomeRegions,
}

impl Route {
    /// Returns the service for the request `id` by weight; the same id always gets the same service.
    pub fn service(&self, id: &str) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut drawn = xxh3_64(id.as_bytes()).checked_rem(total)?;
        for (service, weight) in &self.split {
            match drawn.checked_sub(u64::from(*weight)) {
                Some(left) => drawn = left,
                None => return Some(service),
            }
        }
        None
    }
}

/// Capacity of the model engines of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Number of requests that an engine processes concurrently.
    pub slots: u32,
    /// Number of tokens that fit into an engine's KV cache.
    pub kv_capacity: Tokens,
    /// Maximum number of output tokens in an event of a stream.
    pub event_tokens: u64,
}

/// How long servers of a service are cold after a start, and what they bear meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpec {
    /// Time for which a server is cold after its start.
    pub duration: Duration,
    /// Requests a second that a cold server bears from all instances together.
    pub rate: f64,
}

/// Service that requests are routed to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that a backend server accepts in total.
    pub connections: u32,
    /// Capacity of its model engines; `None` for a plain service.
    pub engines: Option<EngineSpec>,
    /// Limits of its cold servers; `None` if servers of the service are never cold.
    pub cold: Option<ColdSpec>,
}

/// Client account that callers belong to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountSpec {
    /// Name of the client account.
    pub name: ClientAccountName,
    /// Priority rank that overrides the rank of the route.
    pub rank: Option<u8>,
    /// Total number of tokens paid for; `None` if the use is not limited.
    pub prepaid: Option<Tokens>,
    /// Regions that may serve its requests, beside those of the route.
    pub homes: HomeRegions,
}

/// Limits on connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
    /// Maximum size of a head, in bytes.
    pub head_bytes: Option<usize>,
    /// Maximum time for a head.
    pub head_timeout: Option<Duration>,
}

/// Content of one document version, indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    limits: Option<CallerLimits>,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    accounts: BTreeMap<ClientAccountName, Arc<AccountSpec>>,
    keys: HashMap<Arc<str>, Arc<AccountSpec>>,
}

impl RouteTable {
    /// Creates an empty table.
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        Self { version, limits: Some(limits), ..Self::default() }
    }

    /// Adds a route, replacing one with the same host and prefix.
    pub fn add_route(&mut self, route: Route) {
        let host = self.hosts.entry(Arc::clone(&route.host)).or_default();
        host.insert(Arc::clone(&route.prefix), Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: ServiceSpec) {
        self.services.insert(service.name.clone(), Arc::new(service));
    }

    /// Adds a client account with its API keys.
    pub fn add_account(&mut self, account: AccountSpec, keys: impl IntoIterator<Item = Arc<str>>) {
        let account = Arc::new(account);
        self.keys.extend(keys.into_iter().map(|key| (key, Arc::clone(&account))));
        self.accounts.insert(account.name.clone(), account);
    }

    /// Returns the version, which increases with every change.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    pub const fn limits(&self) -> Option<CallerLimits> {
        self.limits
    }

    /// Returns whether requests must carry an API key, which is so as soon as there is a client account.
    pub fn needs_keys(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        path.rmatch_indices('/').find_map(|(at, _)| prefixes.get(&path[..=at]))
    }

    /// Returns the client account that `key` belongs to.
    pub fn account_of(&self, key: &str) -> Option<&Arc<AccountSpec>> {
        self.keys.get(key)
    }

    /// Returns the client account with this name.
    pub fn account(&self, name: &ClientAccountName) -> Option<&Arc<AccountSpec>> {
        self.accounts.get(name)
    }

    /// Returns the tokens that a client account paid for; `None` if its use is not limited or it is unknown.
    pub fn prepaid(&self, name: &ClientAccountName) -> Option<Tokens> {
        self.account(name)?.prepaid
    }

    /// Iterates over the client accounts in the order of their names.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<AccountSpec>> {
        self.accounts.values()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }
}
