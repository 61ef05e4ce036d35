//! Blackboard of one instance: the state that its controllers write and request handling reads.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coltsfootpick_core::brittle_servers::{BrittleServers, Room, ServerUse};
use coltsfootpick_core::cold_servers::ColdServers;
use coltsfootpick_core::evacuations::Evacuations;
use coltsfootpick_core::lenders::{CreditRole, Fleet, FleetMember};
use coltsfootpick_core::link_load::{LinkChange, LinkLoad};
use coltsfootpick_core::names::{ClientAccountName, ServiceName};
use coltsfootpick_core::part_blame::PartBlame;
use coltsfootpick_core::quarantine::Quarantine;
use coltsfootpick_core::retry::RetryBudget;
use coltsfootpick_core::routes::RouteTable;
use coltsfootpick_core::selection::Location;
use coltsfootpick_core::server_limits::{ServerLimits, ServerRun};
use coltsfootpick_core::stream_origins::StreamOrigins;
use coltsfootpick_core::units::{ClockReading, Instant};
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::buffered_body::BufferedTotal;
use crate::client_budget::ClientBudget;
use crate::client_connections::ClientConnections;
use crate::fleet_loads::FleetLoads;
use crate::interfaces::Topic;
use crate::list_progress::ListWatch;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::metrics::Metrics;
use crate::paths::Paths;
use crate::retry_share::{RetryLimit, RetryShare};
use crate::servers::{ServerEntry, ServerTable};
use crate::zone_routing::ZoneRouting;

/// Monotonic clock of one instance; it follows tokio's time, which tests can pause.
#[derive(Clone, Copy, Debug)]
pub struct InstanceClock {
    origin: tokio::time::Instant,
}

/// Time of the clock when it is created; not zero, since [`Instant::default`] means "never".
const CLOCK_START: Duration = Duration::from_secs(1);

impl Default for InstanceClock {
    fn default() -> Self {
        Self { origin: tokio::time::Instant::now() }
    }
}

impl InstanceClock {
    /// Time since the clock was created, plus `CLOCK_START`.
    pub fn now(&self) -> Instant {
        Instant(self.origin.elapsed() + CLOCK_START)
    }

    /// Reads both clocks.
    pub fn reading(&self) -> ClockReading {
        ClockReading { now: self.now(), unix: self.unix_millis() }
    }

    /// Wall-clock time in milliseconds since the Unix epoch; it may jump.
    pub fn unix_millis(&self) -> u64 {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        wall.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Name and location of an instance, its retry limit and the capacity of its network link.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Availability zone and region of the instance.
    pub location: Location,
    /// Retry limit of the whole fleet.
    pub retries: RetryLimit,
    /// Capacity of the network link in bytes per second and direction, if known.
    pub link_rate: Option<f64>,
    /// Share of a processor core that the instance may use, in thousandths; 0 if unknown.
    pub capacity: u32,
}

/// Number of instances assumed until more are known.
const FLEET_SIZE_MIN: usize = 6;

/// Shared state of one instance.
#[derive(Debug)]
pub struct Blackboard {
    /// Name, location and limits of this instance.
    pub instance: InstanceSpec,
    /// Clock of this instance.
    pub clock: InstanceClock,
    /// Backend servers.
    pub servers: ServerTable,
    /// How far the list of backend servers was read.
    pub server_list: ListWatch,
    /// Paths of this instance to the servers of each service.
    pub paths: Paths,
    /// Utilization of the network link.
    pub link: Mutex<LinkLoad>,
    /// Requests that are suspected of crashing servers.
    pub quarantine: Mutex<Quarantine>,
    /// Evidence about prompt parts that crash servers.
    pub part_blame: Mutex<PartBlame>,
    /// Software versions that began the recent streams.
    pub stream_origins: Mutex<StreamOrigins>,
    /// Services whose servers fall over when they reject too many requests.
    pub brittle_servers: Mutex<BrittleServers>,
    /// Notified when a request at a server ends.
    pub room_freed: Arc<Notify>,
    /// Limits of requests a second that servers named.
    pub server_limits: Mutex<ServerLimits>,
    /// Servers that sustain only few requests for some time after their start.
    pub cold_servers: Mutex<ColdServers>,
    /// Availability zones to whose servers nothing more is sent.
    pub evacuations: Mutex<Evacuations>,
    /// Load of the engines that instances exchange.
    pub loads: Arc<FleetLoads>,
    /// Shares of the requests that leave the zone.
    pub zones: ZoneRouting,
    /// Notified when there are observations to report.
    pub observation_news: Notify,
    /// Bytes of response bodies that are being buffered.
    pub buffered: BufferedTotal,
    /// Bytes and sockets that clients make the instance hold.
    pub clients: Arc<ClientBudget>,
    /// Connections of clients.
    pub connections: ClientConnections,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Cancelled when the instance reports itself as not ready, so that callers go to other instances.
    pub draining: CancellationToken,
    /// Cancelled when the instance closes idle connections and takes only requests that end before `cutoff`.
    pub closing: CancellationToken,
    /// Cancelled when the instance takes no request at all, since the process may end at any moment.
    pub stopped: CancellationToken,
    /// Instant at which a stopping instance aborts requests that are still open.
    pub cutoff: OnceLock<tokio::time::Instant>,
    routes: RwLock<Option<Arc<RouteTable>>>,
    document_versions: watch::Sender<u64>,
    servers_listed: AtomicBool,
    store_answers: AtomicBool,
    store_answered_at: Mutex<Instant>,
    fleet: RwLock<Fleet>,
    fleet_listed: CancellationToken,
    fleet_size: AtomicUsize,
    open_requests: AtomicU64,
    retry_shares: Mutex<BTreeMap<ServiceName, RetryShare>>,
}

impl Blackboard {
    /// Creates the state of an instance that has just started.
    pub fn new(instance: InstanceSpec) -> Arc<Self> {
        let (clock, metrics) = (InstanceClock::default(), Metrics::default());
        Arc::new(Self {
            link: Mutex::new(LinkLoad::new(instance.link_rate)),
            instance,
            clock,
            paths: Paths::new(clock, metrics.path_changes.clone()),
            servers: ServerTable::default(),
            server_list: ListWatch::default(),
            quarantine: Mutex::default(),
            part_blame: Mutex::default(),
            stream_origins: Mutex::default(),
            brittle_servers: Mutex::default(),
            room_freed: Arc::default(),
            server_limits: Mutex::default(),
            cold_servers: Mutex::default(),
            evacuations: Mutex::default(),
            loads: Arc::default(),
            zones: ZoneRouting::default(),
            observation_news: Notify::new(),
            buffered: BufferedTotal::default(),
            clients: Arc::default(),
            connections: ClientConnections::default(),
            metrics,
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
            stopped: CancellationToken::new(),
            cutoff: OnceLock::new(),
            routes: RwLock::default(),
            document_versions: watch::Sender::new(0),
            servers_listed: AtomicBool::new(false),
            store_answers: AtomicBool::new(true),
            store_answered_at: Mutex::default(),
            fleet: RwLock::default(),
            fleet_listed: CancellationToken::new(),
            fleet_size: AtomicUsize::new(FLEET_SIZE_MIN),
            open_requests: AtomicU64::new(0),
            retry_shares: Mutex::default(),
        })
    }

    /// Route table of the document in force, if any was read.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.read().clone()
    }

    /// Puts `table` in force and returns true, unless the current version is the same or newer.
    pub fn install_routes(&self, table: RouteTable) -> bool {
        let version = table.version();
        let mut current = self.routes.write();
        if current.as_ref().is_some_and(|known| known.version() >= version) {
            return false;
        }
        *current = Some(Arc::new(table));
        drop(current);
        self.document_versions.send_replace(version);
        true
    }

    /// Version of the document in force, 0 before the first one.
    pub fn document_version(&self) -> u64 {
        *self.document_versions.borrow()
    }

    /// Watches the version of the document in force.
    pub fn document_versions(&self) -> watch::Receiver<u64> {
        self.document_versions.subscribe()
    }

    /// Records that the list of backend servers was read at least once.
    pub fn mark_servers_listed(&self) {
        self.servers_listed.store(true, Ordering::Release);
    }

    /// Whether the instance has a document and the server list, and is not draining.
    pub fn is_ready(&self) -> bool {
        self.servers_listed.load(Ordering::Acquire) && self.routes.read().is_some() && !self.draining.is_cancelled()
    }

    /// Whether the platform should send new connections to other instances.
    pub fn is_shedding(&self) -> bool {
        self.link.lock().is_full() || self.draining.is_cancelled() || self.clients.is_pressed()
    }

    /// Adds relayed bytes and their protocol `overhead` in bytes to the utilization of the link.
    pub fn note_traffic(&self, bytes: usize, overhead: u64) {
        self.link.lock().record(bytes as u64 + overhead, self.clock.now());
    }

    /// Updates whether the link is full and logs a change; the next readiness probe reports it.
    pub fn update_link_state(&self) {
        let change = self.link.lock().update(self.clock.now());
        if let Some(LinkChange { is_full, usage }) = change {
            log_event!(LogEvent::LinkChanged, "full={is_full} usage={usage:.2} open={}", self.open_requests());
        }
    }

    /// Whether a request with this deadline is sure to end before the instance stops.
    pub fn can_finish(&self, deadline: tokio::time::Instant) -> bool {
        let ends_in_time = || self.cutoff.get().is_some_and(|cutoff| deadline <= *cutoff);
        !self.stopped.is_cancelled() && (!self.closing.is_cancelled() || ends_in_time())
    }

    /// Number of instances in the fleet, as far as known.
    pub fn fleet_size(&self) -> usize {
        self.fleet_size.load(Ordering::Relaxed)
    }

    /// Raises the known fleet size; a smaller `size` is ignored, since some instances may only be unreachable.
    pub fn note_fleet_size(&self, size: usize) {
        self.fleet_size.fetch_max(size, Ordering::Relaxed);
    }

    /// Adds an instance to the fleet list.
    pub fn note_member(&self, instance: &Arc<str>, member: FleetMember) {
        let size = {
            let mut fleet = self.fleet.write();
            fleet.insert(instance, member);
            fleet.len()
        };
        self.note_fleet_size(size);
    }

    /// Records that the fleet list was read at least once.
    pub fn mark_fleet_listed(&self) {
        self.fleet_listed.cancel();
        self.cold_servers.lock().note_fleet_listed(self.clock.now());
    }

    /// Waits until the fleet list was read once, at most for `limit`.
    pub async fn wait_for_fleet(&self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.fleet_listed.cancelled()).await.is_ok()
    }

    /// Whether the fleet is so small that every instance holds credit of every account.
    pub fn is_shared_fleet(&self) -> bool {
        self.fleet.read().is_shared()
    }

    /// Role of this instance in the credit of `account`; a small fleet has `live` live instances.
    pub fn credit_role(&self, account: &ClientAccountName, live: u64) -> CreditRole {
        self.fleet.read().role(&self.instance.name, account, live)
    }

    /// Instances that lend credit of `account` in a large fleet, in the order in which they are asked.
    pub fn lenders_of(&self, account: &ClientAccountName) -> Vec<Arc<str>> {
        self.fleet.read().lenders_of(account)
    }

    /// All lenders of a large fleet.
    pub fn lenders(&self) -> Vec<Arc<str>> {
        self.fleet.read().lenders().to_vec()
    }

    /// Time between two credit records of a holder.
    pub fn credit_write_interval(&self) -> Duration {
        self.fleet.read().write_interval()
    }

    /// Passes the fleet list to `read`.
    pub fn with_fleet<T>(&self, read: impl FnOnce(&Fleet) -> T) -> T {
        read(&self.fleet.read())
    }

    /// Number of instances before this one among those that share the limit of a server.
    pub(crate) fn limit_turn(&self, run: &ServerRun) -> usize {
        self.fleet.read().turn(&self.instance.name, xxh3_64(run.name.as_bytes())) as usize
    }

    /// Number of instances that may share the limit of a server.
    fn sharers_max(&self) -> usize {
        if self.fleet_listed.is_cancelled() { self.fleet.read().len() } else { self.fleet_size() }
    }

    /// Time until this instance may send a request to a server that may have named a limit, zero if now; `None` if other
    /// instances share the limit.
    pub fn limit_wait(&self, server: &ServerEntry) -> Option<Duration> {
        let mut limits = self.server_limits.lock();
        if limits.is_empty() {
            return Some(Duration::ZERO);
        }
        let run = server.run();
        limits.wait(&run, self.sharers_max(), || self.limit_turn(&run), self.clock.now())
    }

    /// Counts a request that is sent to a server against the limit that the server may have named.
    pub fn take_limit(&self, server: &ServerEntry) {
        let run = server.run();
        self.server_limits.lock().take(&run, self.sharers_max(), || self.limit_turn(&run), self.clock.now());
    }

    /// Room of this instance at a server at which it has `open` requests; only brittle services are limited.
    pub fn brittle_room(&self, server: &ServerEntry, open: u32) -> Room {
        let (mut brittle, now) = (self.brittle_servers.lock(), self.clock.now());
        if brittle.is_empty() {
            return Room::Free;
        }
        let Some(threshold) = brittle.threshold(&server.service, now) else { return Room::Free };
        let run = server.run();
        let used = ServerUse { run: &run, threshold, slots: server.slots, open };
        brittle.room(used, self.sharers_max(), || self.limit_turn(&run), now)
    }

    /// Records that a server rejected a request, which counts where its service is brittle.
    pub fn note_rejected(&self, server: &ServerEntry) {
        let (mut brittle, now) = (self.brittle_servers.lock(), self.clock.now());
        if let Some(threshold) = brittle.threshold(&server.service, now) {
            let run = server.run();
            let used = ServerUse { run: &run, threshold, slots: server.slots, open: 0 };
            brittle.note_rejected(used, self.sharers_max(), || self.limit_turn(&run), now);
            log_event!(LogEvent::BrittleRejection, "server={} threshold={threshold}", server.name);
        }
    }

    /// Number of instances before this one in the order of `key`, which is the same at every instance.
    pub fn fleet_turn(&self, key: u64) -> u32 {
        self.fleet.read().turn(&self.instance.name, key)
    }

    /// Records whether the last call to the store was answered.
    pub fn note_store_answer(&self, is_answered: bool) {
        self.store_answers.store(is_answered, Ordering::Relaxed);
        if is_answered {
            *self.store_answered_at.lock() = self.clock.now();
        }
    }

    /// Whether the last call to the store was answered.
    pub fn store_answers(&self) -> bool {
        self.store_answers.load(Ordering::Relaxed)
    }

    /// Time since the last answer of the store.
    pub fn store_silence(&self) -> Duration {
        self.clock.now().since(*self.store_answered_at.lock())
    }

    /// Logs and counts a record that could not be decoded; the others of its topic hold.
    pub fn note_skipped(&self, topic: Topic, key: &str, reason: &dyn Display) {
        Metrics::count(&self.metrics.records_skipped, &topic.to_string());
        log_event!(LogEvent::RecordSkipped, "topic={topic} key={key:?} reason={reason}");
    }

    /// Number of open requests.
    pub fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Counts one more open request.
    pub fn request_started(&self) {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        self.metrics.requests_open.inc();
    }

    /// Counts one open request less.
    pub fn request_ended(&self) {
        self.open_requests.fetch_sub(1, Ordering::Relaxed);
        self.metrics.requests_open.dec();
    }

    /// Counts a first dispatch to `service`, which earns part of a retry.
    pub fn note_first_dispatch(&self, service: &ServiceName) {
        self.with_retry_budget(service, RetryBudget::record_first_attempt);
    }

    /// Takes one retry of the request `id` from the budget of `service`; false if none is left.
    pub fn take_retry(&self, service: &ServiceName, id: &str) -> bool {
        let is_taken = self.with_retry_budget(service, RetryBudget::spend_retry);
        if !is_taken {
            log_event!(LogEvent::RetryDenied, "request={id} service={service}");
        }
        is_taken
    }

    fn with_retry_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let fleet = self.fleet_listed.is_cancelled().then(|| self.fleet_size());
        let mut shares = self.retry_shares.lock();
        let known = shares.get(service).map(|share| share.fleet);
        let share = shares.entry(service.clone()).or_insert_with(|| RetryShare::new(self.instance.retries, fleet));
        share.set_fleet(self.instance.retries, fleet);
        if known != Some(fleet) {
            log_event!(LogEvent::RetryShareSet, "service={service} fleet={fleet:?} burst={}", share.ratio().burst);
        }
        act(&mut share.budget)
    }
}
