//! Blackboard of one instance: what its controllers write and the request path reads.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coltsfootpick_core::link::{Link, LinkChange};
use coltsfootpick_core::names::ServiceName;
use coltsfootpick_core::quarantine::Quarantine;
use coltsfootpick_core::retry::{RetryBudget, RetryShare};
use coltsfootpick_core::routes::RouteTable;
use coltsfootpick_core::spread::Place;
use coltsfootpick_core::units::Instant;
use parking_lot::{Mutex, RwLock};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::log_event;
use crate::log_events::LogEvent;
use crate::metrics::Metrics;
use crate::servers::ServerTable;

/// Clock of one instance; tests pause it.
#[derive(Clone, Copy, Debug)]
pub struct InstanceClock {
    origin: tokio::time::Instant,
}

/// Keeps a fresh clock clear of [`Instant::default`], which means "never".
const CLOCK_START: Duration = Duration::from_secs(1);

impl Default for InstanceClock {
    fn default() -> Self {
        Self { origin: tokio::time::Instant::now() }
    }
}

impl InstanceClock {
    /// Time since the clock's origin.
    pub fn now(&self) -> Instant {
        Instant(self.origin.elapsed() + CLOCK_START)
    }

    /// Time of day in milliseconds since 1970; it may jump.
    pub fn unix_millis(&self) -> u64 {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        wall.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Who an instance is and how much of what all share it may take.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Where it stands.
    pub location: Place,
    /// Bounds of repeats over all instances.
    pub repeats: RetryLimit,
    /// Bytes a second that its network link carries in one direction, where that is known.
    pub link_rate: Option<f64>,
}

/// Bound on arrivals beyond the first of each request, over all instances, in a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats a request.
    pub ratio: f64,
    /// Repeats beside that.
    pub slack: u32,
}

/// Instances assumed until the fleet's size is known.
const FLEET_MIN: usize = 6;

/// Part of the fleet's bound that is used, so that windows that overlap stay within it.
const RETRIES_USED: f64 = 0.5;

/// Shared state.
#[derive(Debug)]
pub struct Blackboard {
    /// Who this instance is.
    pub identity: Identity,
    /// Time.
    pub clock: InstanceClock,
    /// Backend servers.
    pub servers: ServerTable,
    /// Its network link.
    pub link: Mutex<Link>,
    /// Requests that crash servers.
    pub quarantine: Mutex<Quarantine>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Cancelled once the instance takes no new connections.
    pub draining: CancellationToken,
    /// Cancelled once the instance closes idle connections and takes only requests that end before it does.
    pub closing: CancellationToken,
    /// Cancelled once the instance takes no request at all, since its process may end at any moment.
    pub stopped: CancellationToken,
    /// When the instance cuts what is still open, once it was asked to stop.
    pub cutoff: OnceLock<tokio::time::Instant>,
    table: RwLock<Option<Arc<RouteTable>>>,
    versions: watch::Sender<u64>,
    listed: AtomicBool,
    fleet: AtomicUsize,
    open: AtomicU64,
    repeats: Mutex<std::collections::BTreeMap<ServiceName, RetryBudget>>,
}

impl Blackboard {
    /// Board of a fresh instance.
    pub fn new(identity: Identity) -> Arc<Self> {
        Arc::new(Self {
            link: Mutex::new(Link::new(identity.link_rate)),
            identity,
            clock: InstanceClock::default(),
            servers: ServerTable::default(),
            quarantine: Mutex::default(),
            metrics: Metrics::default(),
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
            stopped: CancellationToken::new(),
            cutoff: OnceLock::new(),
            table: RwLock::default(),
            versions: watch::Sender::new(0),
            listed: AtomicBool::new(false),
            fleet: AtomicUsize::new(FLEET_MIN),
            open: AtomicU64::new(0),
            repeats: Mutex::default(),
        })
    }

    /// Document in force.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.table.read().clone()
    }

    /// Puts a document in force unless a newer one is.
    pub fn install_routes(&self, table: RouteTable) -> bool {
        let version = table.version();
        let mut current = self.table.write();
        if current.as_ref().is_some_and(|known| known.version() >= version) {
            return false;
        }
        *current = Some(Arc::new(table));
        drop(current);
        self.versions.send_replace(version);
        true
    }

    /// Version in force, and its changes.
    pub fn versions(&self) -> watch::Receiver<u64> {
        self.versions.subscribe()
    }

    /// Notes that the list of servers was read once.
    pub fn mark_servers_listed(&self) {
        self.listed.store(true, Ordering::Release);
    }

    /// Whether the instance can serve.
    pub fn is_ready(&self) -> bool {
        self.listed.load(Ordering::Acquire) && self.table.read().is_some() && !self.draining.is_cancelled()
    }

    /// Whether callers had better send their next request to another instance.
    pub fn is_shedding(&self) -> bool {
        self.link.lock().is_full() || self.draining.is_cancelled()
    }

    /// Notes bytes that come from one side of the instance and go on to the other.
    pub fn note_traffic(&self, bytes: usize, beside: u64) {
        self.link.lock().note(bytes as u64 + beside, self.clock.now());
    }

    /// Looks whether the link became full or open; callers are told by the next question for readiness.
    pub fn update_link_state(&self) {
        let change = self.link.lock().look(self.clock.now());
        if let Some(LinkChange { is_full, usage }) = change {
            log_event!(LogEvent::LinkChanged, "full={is_full} usage={usage:.2} open={}", self.open_requests());
        }
    }

    /// Whether a request that may take until `until` can end here.
    pub fn can_finish(&self, until: tokio::time::Instant) -> bool {
        let ends_in_time = || self.cutoff.get().is_some_and(|end| until <= *end);
        !self.stopped.is_cancelled() && (!self.closing.is_cancelled() || ends_in_time())
    }

    /// Number of instances, as far as this one knows.
    pub fn fleet_size(&self) -> usize {
        self.fleet.load(Ordering::Relaxed)
    }

    /// Notes the number of instances heard of; a smaller number may only mean that some are silent.
    pub fn note_fleet_size(&self, size: usize) {
        self.fleet.fetch_max(size, Ordering::Relaxed);
    }

    /// Requests under way.
    pub fn open_requests(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Counts a request as under way.
    pub fn request_started(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
        self.metrics.requests_open.inc();
    }

    /// Counts a request as ended.
    pub fn request_ended(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        self.metrics.requests_open.dec();
    }

    /// Notes a first sending to `service`.
    pub fn note_first_dispatch(&self, service: &ServiceName) {
        self.with_retry_budget(service, RetryBudget::first);
    }

    /// Takes the right to one repeat at `service`, if there is one.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        self.with_retry_budget(service, RetryBudget::take)
    }

    fn with_retry_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.repeats.lock();
        let share = || retry_share(self.identity.repeats, self.fleet_size());
        act(budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(share())))
    }
}

/// Share of one of `fleet` instances in the bound of all.
fn retry_share(bound: RetryLimit, fleet: usize) -> RetryShare {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "ratios lie between 0 and 1")]
    let firsts = (1.0 / (bound.ratio * RETRIES_USED).max(0.001)).ceil() as u32;
    let fleet = u32::try_from(fleet.max(1)).unwrap_or(u32::MAX);
    RetryShare { firsts, saved: (bound.slack / 2 / fleet).max(1) }
}
