//! Table of the backend servers known to this instance, with their load and connections.
//!
//! A run of a server that is leaving stays so, whatever older entries of it are read later.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootpick_core::fleet_load::EngineId;
use coltsfootpick_core::names::{BackendServerName, ServiceName, SoftwareVersion};
use coltsfootpick_core::selection::{Location, ServerLoad};
use coltsfootpick_core::server_limits::ServerRun;
use coltsfootpick_core::stream_origins::StreamOrigin;
use parking_lot::{Mutex, RwLock};
use tokio::time::Instant;

use crate::pool::ConnectionPool;

/// Maximum number of leaving runs that are remembered after their removal.
const LEFT_RUNS_MAX: usize = 4_096;

/// Entry that a backend server registers in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Name of the server; it usually changes with each start.
    pub name: BackendServerName,
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address of the server; an earlier server may have used the same one.
    pub address: SocketAddr,
    /// Availability zone and region of the server.
    pub location: Location,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// Whether the server takes no new work.
    pub leaving: bool,
    /// Start time of this run of the server, in milliseconds since the Unix epoch.
    pub started_at: Option<u64>,
    /// Version of the model weights that the server runs, 0 if it states none.
    pub weights: u64,
    /// Version of the server's software; what one version began, another cannot continue.
    pub version: SoftwareVersion,
    /// Time for which the server stays cold from the writing of the entry, if it states one.
    pub cold_left: Option<Duration>,
}

impl ServerEntry {
    /// Identifies this run of the server to other instances.
    pub fn run(&self) -> ServerRun {
        ServerRun { name: self.name.clone(), started_at: self.started_at }
    }

    /// Identifies this run of the server in the loads that instances exchange.
    pub fn engine_id(&self) -> EngineId {
        EngineId::new(&self.run())
    }

    /// Service and software version, which bind the streams that the server begins.
    pub fn origin(&self) -> StreamOrigin {
        StreamOrigin { service: self.service.clone(), version: self.version.clone() }
    }

    fn is_same_run(&self, other: &Self) -> bool {
        self.address == other.address
            && self.service == other.service
            && self.started_at == other.started_at
            && self.version == other.version
    }
}

/// Backend server with its load and connections.
#[derive(Debug)]
pub struct Server {
    /// Entry with which this run of the server was first read.
    pub entry: ServerEntry,
    /// Load and health of the server, as this instance measures them.
    pub load: Mutex<ServerLoad>,
    /// Connections to the server.
    pub pool: ConnectionPool,
    leaving: AtomicBool,
    /// Whether this instance could not connect to the server, and no probe has since.
    unreached: AtomicBool,
    /// When the server takes requests of this instance again.
    paused_until: Mutex<Option<Instant>>,
}

impl Server {
    fn new(entry: ServerEntry) -> Arc<Self> {
        let pool = ConnectionPool::new(entry.address);
        let leaving = AtomicBool::new(entry.leaving);
        let unreached = AtomicBool::new(false);
        Arc::new(Self { entry, load: Mutex::default(), pool, leaving, unreached, paused_until: Mutex::default() })
    }

    /// Whether the server takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Stops sending new work to the server, and returns whether that is a change.
    pub fn leave(&self) -> bool {
        !self.leaving.swap(true, Ordering::AcqRel)
    }

    /// Whether this instance could not connect to the server, and no probe has since.
    pub fn is_unreached(&self) -> bool {
        self.unreached.load(Ordering::Relaxed)
    }

    /// Sets whether the server is avoided until a probe connects to it.
    pub fn set_unreached(&self, is_unreached: bool) {
        self.unreached.store(is_unreached, Ordering::Relaxed);
    }

    /// Sends no new work to the server for `span`; a pause that ends later stays.
    pub fn pause(&self, span: Duration) {
        let until = Instant::now() + span;
        let mut paused_until = self.paused_until.lock();
        *paused_until = Some(paused_until.map_or(until, |known| known.max(until)));
    }

    /// Rest of the server's pause, if it is paused.
    pub fn pause_left(&self) -> Option<Duration> {
        let until = (*self.paused_until.lock())?;
        Some(until.saturating_duration_since(Instant::now())).filter(|left| !left.is_zero())
    }
}

/// Effect of a new entry on the server table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The server is new.
    Listed,
    /// The server started again, or has another address or service.
    Replaced,
    /// The server takes no new work any more.
    Leaving,
    /// The entry changes nothing.
    Same,
}

type ServiceServers = BTreeMap<BackendServerName, Arc<Server>>;

/// Backend servers, with one lock per service.
#[derive(Debug, Default)]
pub struct ServerTable {
    services: RwLock<BTreeMap<ServiceName, Arc<RwLock<ServiceServers>>>>,
    /// Service of each server.
    service_names: Mutex<BTreeMap<BackendServerName, ServiceName>>,
    /// Names and start times of removed runs that were leaving, the oldest first.
    left_runs: Mutex<VecDeque<(BackendServerName, Option<u64>)>>,
}

impl ServerTable {
    /// Adds or updates the server of `entry`.
    pub fn put(&self, entry: ServerEntry) -> EntryChange {
        let mut service_names = self.service_names.lock();
        let previous = service_names.insert(entry.name.clone(), entry.service.clone());
        if let Some(other) = previous.filter(|service| *service != entry.service) {
            self.service_servers(&other).write().remove(&entry.name);
        }
        let service_servers = self.service_servers(&entry.service);
        let mut servers = service_servers.write();
        let (change, is_kept) = match servers.get(&entry.name) {
            None => (EntryChange::Listed, false),
            Some(known) if !known.entry.is_same_run(&entry) => (EntryChange::Replaced, false),
            Some(known) if entry.leaving && !known.is_leaving() => {
                known.leave();
                (EntryChange::Leaving, true)
            }
            Some(_) => (EntryChange::Same, true),
        };
        if !is_kept {
            let has_left = self.has_left(&entry);
            let server = Server::new(entry);
            if has_left {
                server.leave();
            }
            servers.insert(server.entry.name.clone(), server);
        }
        change
    }

    /// Whether this run of a server was known to be leaving when it was removed.
    fn has_left(&self, entry: &ServerEntry) -> bool {
        let left_runs = self.left_runs.lock();
        entry.started_at.is_some()
            && left_runs.iter().any(|(name, started)| *name == entry.name && *started == entry.started_at)
    }

    /// Removes a server; its open requests continue.
    pub fn remove(&self, name: &BackendServerName) -> Option<Arc<Server>> {
        let service = self.service_names.lock().remove(name)?;
        let removed = self.service_servers(&service).write().remove(name)?;
        if !removed.leave() {
            let mut left_runs = self.left_runs.lock();
            left_runs.push_back((name.clone(), removed.entry.started_at));
            if left_runs.len() > LEFT_RUNS_MAX {
                left_runs.pop_front();
            }
        }
        Some(removed)
    }

    /// Servers of `service`, ordered by name.
    pub fn of_service(&self, service: &ServiceName) -> Vec<Arc<Server>> {
        let service_servers = self.services.read().get(service).cloned();
        service_servers.map(|servers| servers.read().values().cloned().collect()).unwrap_or_default()
    }

    /// Number of servers of `service` that take new work.
    pub fn usable_count(&self, service: &ServiceName) -> usize {
        let service_servers = self.services.read().get(service).cloned();
        let usable = |servers: &ServiceServers| servers.values().filter(|server| !server.is_leaving()).count();
        service_servers.map_or(0, |servers| usable(&servers.read()))
    }

    /// Service and software version of every server that takes new work.
    pub fn origins(&self) -> BTreeSet<StreamOrigin> {
        let mut origins = BTreeSet::new();
        for (service, servers) in &*self.services.read() {
            let servers = servers.read();
            let versions: BTreeSet<&SoftwareVersion> =
                servers.values().filter(|server| !server.is_leaving()).map(|server| &server.entry.version).collect();
            let origin =
                |version: &SoftwareVersion| StreamOrigin { service: service.clone(), version: version.clone() };
            origins.extend(versions.into_iter().map(origin));
        }
        origins
    }

    /// Service that the server `name` belongs to, if it is known.
    pub fn service_of(&self, name: &BackendServerName) -> Option<ServiceName> {
        self.service_names.lock().get(name).cloned()
    }

    /// Names of all servers.
    pub fn names(&self) -> Vec<BackendServerName> {
        self.service_names.lock().keys().cloned().collect()
    }

    /// Closes the expired idle connections of all servers.
    pub fn close_expired(&self) {
        for service_servers in self.services.read().values() {
            for server in service_servers.read().values() {
                server.pool.close_expired();
            }
        }
    }

    fn service_servers(&self, service: &ServiceName) -> Arc<RwLock<ServiceServers>> {
        Arc::clone(self.services.write().entry(service.clone()).or_default())
    }
}
