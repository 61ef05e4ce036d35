//! Backend servers known to this instance, with their load and connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use coltsfootpick_core::names::{BackendServerName, ServiceName};
use coltsfootpick_core::spread::{Place, ServerLoad};
use parking_lot::{Mutex, RwLock};

use crate::pool::ConnectionPool;

/// Entry of the server list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Name, new at most starts.
    pub name: BackendServerName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address, which another server may have had before.
    pub address: SocketAddr,
    /// Where it stands.
    pub location: Place,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Start of this run of the server, in milliseconds since 1970.
    pub started_at: Option<u64>,
}

impl ServerEntry {
    fn is_same_run(&self, other: &Self) -> bool {
        self.address == other.address && self.service == other.service && self.started_at == other.started_at
    }
}

/// One backend server.
#[derive(Debug)]
pub struct Server {
    /// Entry as first listed.
    pub entry: ServerEntry,
    /// Load and health.
    pub load: Mutex<ServerLoad>,
    /// Connections.
    pub pool: ConnectionPool,
    leaving: AtomicBool,
}

impl Server {
    fn new(entry: ServerEntry) -> Arc<Self> {
        let pool = ConnectionPool::new(entry.address);
        let leaving = AtomicBool::new(entry.leaving);
        Arc::new(Self { entry, load: Mutex::default(), pool, leaving })
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Takes it out of use for new work.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }
}

/// What a change of an entry meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The server is new.
    Listed,
    /// The server started again, or has another address or service.
    Replaced,
    /// The server began to leave.
    Leaving,
    /// Nothing of interest changed.
    Same,
}

type Shard = BTreeMap<BackendServerName, Arc<Server>>;

/// All servers, a shard a service.
#[derive(Debug, Default)]
pub struct ServerTable {
    services: RwLock<BTreeMap<ServiceName, Arc<RwLock<Shard>>>>,
    homes: Mutex<BTreeMap<BackendServerName, ServiceName>>,
}

impl ServerTable {
    /// Takes in an entry.
    pub fn put(&self, entry: ServerEntry) -> EntryChange {
        let mut homes = self.homes.lock();
        let before = homes.insert(entry.name.clone(), entry.service.clone());
        if let Some(other) = before.filter(|service| *service != entry.service) {
            self.shard(&other).write().remove(&entry.name);
        }
        let shard = self.shard(&entry.service);
        let mut servers = shard.write();
        let (change, leaving) = match servers.get(&entry.name) {
            None => (EntryChange::Listed, false),
            Some(known) if !known.entry.is_same_run(&entry) => (EntryChange::Replaced, false),
            Some(known) if entry.leaving && !known.is_leaving() => {
                known.leave();
                (EntryChange::Leaving, true)
            }
            Some(_) => (EntryChange::Same, true),
        };
        if !leaving {
            servers.insert(entry.name.clone(), Server::new(entry));
        }
        change
    }

    /// Drops a server; work under way on it goes on.
    pub fn remove(&self, name: &BackendServerName) -> Option<Arc<Server>> {
        let service = self.homes.lock().remove(name)?;
        let removed = self.shard(&service).write().remove(name)?;
        removed.leave();
        Some(removed)
    }

    /// Servers of `service`, by name.
    pub fn of_service(&self, service: &ServiceName) -> Vec<Arc<Server>> {
        let shard = self.services.read().get(service).cloned();
        shard.map(|servers| servers.read().values().cloned().collect()).unwrap_or_default()
    }

    /// Service of a server.
    pub fn service_of(&self, name: &BackendServerName) -> Option<ServiceName> {
        self.homes.lock().get(name).cloned()
    }

    /// Names of all servers.
    pub fn names(&self) -> Vec<BackendServerName> {
        self.homes.lock().keys().cloned().collect()
    }

    /// Closes idle connections whose time is over.
    pub fn close_expired(&self) {
        for shard in self.services.read().values() {
            for server in shard.read().values() {
                server.pool.close_expired();
            }
        }
    }

    fn shard(&self, service: &ServiceName) -> Arc<RwLock<Shard>> {
        Arc::clone(self.services.write().entry(service.clone()).or_default())
    }
}
