//! Document in force: which request goes to which service, and which client account a key belongs to.
//!
//! A table is immutable; a newer version replaces it whole, so that one request sees one version. See
//! `docs/PLATFORM.md#documents`.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::{ClientAccountName, ServiceName};
use crate::units::Tokens;

/// What may be repeated of a request that may have run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum RepeatPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It runs once at most.
    #[display("once")]
    AtMostOnce,
    /// Its answer is a stream that another backend server may go on with.
    Resumable,
}

/// One route of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name that operators gave it.
    pub name: Arc<str>,
    /// Host that requests name.
    pub host: Arc<str>,
    /// Start of the path, from slash to slash.
    pub prefix: Arc<str>,
    /// Services with their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// Whether the answer is a stream of events.
    pub streams: bool,
    /// Longest time that a request waits for its answer.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_objective: Duration,
    /// Rank, 0 before all others.
    pub rank: u8,
    /// Backend servers that one request is sent to at most.
    pub max_attempts: u32,
    /// Whether a request needs no key.
    pub public: bool,
}

impl Route {
    /// Service of the request named `id`; the same id always gets the same service.
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

/// What the document tells of a service's model engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that one engine serves at once.
    pub slots: u32,
    /// Tokens that fit into one engine's memory.
    pub kv_capacity: Tokens,
    /// Output tokens that one event of a stream holds at most.
    pub event_tokens: u64,
}

/// One service of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name.
    pub name: ServiceName,
    /// Connections that one backend server accepts from all callers together.
    pub connections: u32,
    /// Model engines behind it, or none for a plain service.
    pub engines: Option<EngineSpec>,
}

/// One client account of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name.
    pub name: ClientAccountName,
    /// Rank that goes before the route's.
    pub rank: Option<u8>,
    /// Tokens that it may use in total, or none when it is not limited.
    pub prepaid: Option<Tokens>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time that a connection may stay idle.
    pub idle: Duration,
}

/// Everything one version of the document says.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    limits: Option<CallerLimits>,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    accounts: BTreeMap<ClientAccountName, Arc<Account>>,
    keys: HashMap<Arc<str>, Arc<Account>>,
}

impl RouteTable {
    /// Empty table of a version.
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        Self { version, limits: Some(limits), ..Self::default() }
    }

    /// Adds a route; the last one of a host and prefix counts.
    pub fn add_route(&mut self, route: Route) {
        let host = self.hosts.entry(Arc::clone(&route.host)).or_default();
        host.insert(Arc::clone(&route.prefix), Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: ServiceSpec) {
        self.services.insert(service.name.clone(), Arc::new(service));
    }

    /// Adds a client account with its keys.
    pub fn add_account(&mut self, account: Account, keys: impl IntoIterator<Item = Arc<str>>) {
        let account = Arc::new(account);
        self.keys.extend(keys.into_iter().map(|key| (key, Arc::clone(&account))));
        self.accounts.insert(account.name.clone(), account);
    }

    /// Version, which grows with every change.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on callers.
    pub const fn limits(&self) -> Option<CallerLimits> {
        self.limits
    }

    /// Whether requests must carry a key.
    pub fn needs_keys(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Route with the longest prefix of `path` on `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(host)?;
        path.rmatch_indices('/').find_map(|(at, _)| prefixes.get(&path[..=at]))
    }

    /// Account that holds `key`.
    pub fn account_of(&self, key: &str) -> Option<&Arc<Account>> {
        self.keys.get(key)
    }

    /// Account by name.
    pub fn account(&self, name: &ClientAccountName) -> Option<&Arc<Account>> {
        self.accounts.get(name)
    }

    /// Tokens that an account paid for; none for one that is not limited.
    pub fn prepaid(&self, name: &ClientAccountName) -> Option<Tokens> {
        self.account(name)?.prepaid
    }

    /// All accounts, by name.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.values()
    }

    /// Service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Number of routes.
    pub fn routes(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }
}
