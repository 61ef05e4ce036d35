//! Planning of the model, version and adapters that each backend server loads.
//!
//! Every server of a service loads the model of the service. The number of servers that load an adapter follows the
//! load with hysteresis. Orders state the desired result, so that repeated and late orders are harmless.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::names::{AdapterName, BackendServerName, ModelName, ServiceName, VersionName};
use crate::units::{Instant, Offset};

/// Number of loaded adapters up to which a server keeps those that it no longer needs.
pub const ADAPTER_SLOTS: usize = 8;

/// Mean number of requests per server from which each adapter is loaded on one more server.
const HIGH_LOAD: u32 = 12;

/// Mean number of requests per server below which each adapter is loaded on one server fewer.
const LOW_LOAD: u32 = 4;

/// Time for which the load must stay high before a server is added.
const GROW_DELAY: Duration = Duration::from_secs(10);

/// Time for which the load must stay low before a server is removed.
const SHRINK_DELAY: Duration = Duration::from_secs(60);

/// Time for which a server that is missing from the platform's list still counts as a server of its service.
const MISSING_GRACE: Duration = Duration::from_secs(10);

/// Time after which an order without effect is repeated.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of servers per service that change their model or version at the same time.
const SWAPS_MAX: usize = 1;

/// Model that the document requests for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Adapters of the model.
    pub adapters: BTreeSet<AdapterName>,
    /// Minimum number of servers that load each adapter.
    pub replicas: u32,
}

/// Model, version and adapters that a server has loaded or is ordered to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Adapters of the model.
    pub adapters: BTreeSet<AdapterName>,
}

impl ModelSpec {
    /// Returns whether model and version, but not necessarily the adapters, are as wanted.
    fn is_same_version(&self, wanted: &WantedModel) -> bool {
        (&self.model, &self.version) == (&wanted.model, &wanted.version)
    }
}

/// Backend server with the state that was read back from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelServer {
    /// Name of the server.
    pub name: BackendServerName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Loaded model, if any; the outer `None` means that the server didn't answer.
    pub loaded: Option<Option<ModelSpec>>,
    /// Number of requests on the server.
    pub load: u32,
}

/// Order to load a model on a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelOrder {
    /// Server that is to load the model.
    pub server: BackendServerName,
    /// Fencing token: the offset of the owner's claim, so that an engine can reject orders of an earlier owner.
    pub token: Offset,
    /// Model that the server is to have loaded.
    pub target: ModelSpec,
}

/// Rate limit of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelLoadRate {
    /// Maximum number of model loads within any window.
    pub loads: usize,
    /// Length of the window.
    pub window: Duration,
}

/// Number of servers per adapter of a service, and since when the load has been high or low.
#[derive(Clone, Copy, Debug, Default)]
struct ReplicaScale {
    replicas: u32,
    high: Option<Instant>,
    low: Option<Instant>,
}

impl ReplicaScale {
    /// Adds or removes one replica after the load has been high or low for the respective delay.
    fn update(&mut self, now: Instant, min: u32, max: u32, load: u32) {
        self.replicas = self.replicas.clamp(min.min(max), max);
        self.high = (load >= HIGH_LOAD).then(|| self.high.unwrap_or(now));
        self.low = (load < LOW_LOAD).then(|| self.low.unwrap_or(now));
        if self.high.is_some_and(|since| now.since(since) >= GROW_DELAY) && self.replicas < max {
            *self = Self { replicas: self.replicas + 1, high: Some(now), low: None };
        }
        if self.low.is_some_and(|since| now.since(since) >= SHRINK_DELAY) && self.replicas > min.min(max) {
            *self = Self { replicas: self.replicas - 1, high: None, low: Some(now) };
        }
    }
}

/// Order whose effect has not been read back yet; `swap` is the service if it replaces a model or version.
#[derive(Debug)]
struct PendingOrder {
    target: ModelSpec,
    at: Instant,
    swap: Option<ServiceName>,
}

/// Plans the model orders of the whole fleet, on the instance that owns them.
#[derive(Debug)]
pub struct Planner {
    rate: ModelLoadRate,
    recent_orders: VecDeque<Instant>,
    scales: BTreeMap<ServiceName, ReplicaScale>,
    pending: BTreeMap<BackendServerName, PendingOrder>,
    seen: BTreeMap<BackendServerName, (ServiceName, Instant)>,
}

impl Planner {
    /// Creates the planner of a new owner, with a used-up rate limit because the previous owner's orders are unknown.
    pub fn new(now: Instant, rate: ModelLoadRate) -> Self {
        let recent_orders = std::iter::repeat_n(now, rate.loads).collect();
        Self { rate, recent_orders, scales: BTreeMap::new(), pending: BTreeMap::new(), seen: BTreeMap::new() }
    }

    /// Returns the orders to give now, within the rate limit of the weight store.
    pub fn orders(
        &mut self,
        now: Instant,
        token: Offset,
        wanted: &BTreeMap<ServiceName, WantedModel>,
        servers: &[ModelServer],
    ) -> Vec<ModelOrder> {
        self.note_servers(now, servers);
        let mut orders = Vec::new();
        for (service, wanted) in wanted {
            let replicas = self.scale_replicas(now, service, wanted, servers);
            for server in servers.iter().filter(|server| server.service == *service) {
                let Some(loaded) = &server.loaded else { continue };
                let target = self.desired_model(service, wanted, replicas, &server.name, loaded.as_ref());
                if self.try_order(now, server, loaded.as_ref(), &target, wanted) {
                    orders.push(ModelOrder { server: server.name.clone(), token, target });
                }
            }
        }
        orders
    }

    fn note_servers(&mut self, now: Instant, servers: &[ModelServer]) {
        for server in servers {
            self.seen.insert(server.name.clone(), (server.service.clone(), now));
            let is_done =
                |pending: &PendingOrder| server.loaded.as_ref().is_some_and(|it| it.as_ref() == Some(&pending.target));
            if self.pending.get(&server.name).is_some_and(is_done) {
                self.pending.remove(&server.name);
            }
        }
        self.seen.retain(|_, (_, at)| now.since(*at) < MISSING_GRACE);
        self.pending.retain(|_, pending| now.since(pending.at) < ORDER_TIMEOUT);
        let window = self.rate.window;
        self.recent_orders.retain(|start| now.since(*start) < window);
    }

    /// Updates the number of servers per adapter of `service` by the mean load, and returns it.
    fn scale_replicas(
        &mut self,
        now: Instant,
        service: &ServiceName,
        wanted: &WantedModel,
        servers: &[ModelServer],
    ) -> usize {
        let loads = servers.iter().filter(|server| server.service == *service).map(|server| server.load);
        let max = u32::try_from(self.seen.values().filter(|(known, _)| known == service).count()).unwrap_or(u32::MAX);
        let mean = loads.sum::<u32>() / max.max(1);
        let scale = self.scales.entry(service.clone()).or_default();
        scale.update(now, wanted.replicas, max, mean);
        usize::try_from(scale.replicas).unwrap_or(usize::MAX)
    }

    /// Returns the model that a server should have loaded, with those loaded adapters that it may keep.
    fn desired_model(
        &self,
        service: &ServiceName,
        wanted: &WantedModel,
        replicas: usize,
        name: &BackendServerName,
        loaded: Option<&ModelSpec>,
    ) -> ModelSpec {
        let needed =
            wanted.adapters.iter().filter(|adapter| self.preferred_servers(service, adapter, replicas).contains(&name));
        let mut adapters: BTreeSet<AdapterName> = needed.cloned().collect();
        let kept = loaded.filter(|loaded| loaded.is_same_version(wanted)).map(|loaded| &loaded.adapters);
        for adapter in kept.into_iter().flatten().filter(|adapter| wanted.adapters.contains(*adapter)) {
            if adapters.len() < ADAPTER_SLOTS {
                adapters.insert(adapter.clone());
            }
        }
        ModelSpec { model: wanted.model.clone(), version: wanted.version.clone(), adapters }
    }

    /// Returns the servers with the highest rendezvous hash weights for `adapter`.
    ///
    /// Few of them change when servers join or leave.
    fn preferred_servers(
        &self,
        service: &ServiceName,
        adapter: &AdapterName,
        replicas: usize,
    ) -> Vec<&BackendServerName> {
        let seed = xxh3_64(adapter.as_bytes());
        let of_service = self.seen.iter().filter(|(_, (known, _))| known == service).map(|(name, _)| name);
        let mut ranked: Vec<&BackendServerName> = of_service.collect();
        ranked.sort_by_key(|name| std::cmp::Reverse(xxh3_64_with_seed(name.as_bytes(), seed)));
        ranked.truncate(replicas);
        ranked
    }

    /// Returns whether an order is needed and allowed by the rate limit and [`SWAPS_MAX`]; if so, it is now pending.
    fn try_order(
        &mut self,
        now: Instant,
        server: &ModelServer,
        loaded: Option<&ModelSpec>,
        target: &ModelSpec,
        wanted: &WantedModel,
    ) -> bool {
        let is_swap = loaded.is_some_and(|loaded| !loaded.is_same_version(wanted));
        let swaps = self.pending.values().filter(|pending| pending.swap.as_ref() == Some(&server.service)).count();
        match self.pending.get(&server.name) {
            _ if loaded == Some(target) => false,
            Some(pending) if pending.target == *target => false,
            _ if self.recent_orders.len() >= self.rate.loads => false,
            _ if is_swap && swaps >= SWAPS_MAX => false,
            _ => {
                let swap = is_swap.then(|| server.service.clone());
                self.recent_orders.push_back(now);
                self.pending.insert(server.name.clone(), PendingOrder { target: target.clone(), at: now, swap });
                true
            }
        }
    }
}
