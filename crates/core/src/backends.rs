//! Backend servers as this instance sees them: the platform's lagging list, load reports and own dispatches.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::names::{AvailabilityZoneName, BackendServerName, RegionName, ServiceName};
use crate::units::Instant;

/// Minimum time between two entries of a server's dispatch history.
const HISTORY_STEP: Duration = Duration::from_millis(50);

/// Maximum entries of a server's dispatch history, which limits the report lag that can be corrected.
const HISTORY_MAX: usize = 40;

/// Half-life of a measured latency, so that a slow server is eventually tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);

/// Weight of a new measurement in the average latency.
const LATENCY_SMOOTHING: f64 = 0.25;

/// Aged average latency below which the server counts as unmeasured.
const LATENCY_FLOOR_MICROS: f64 = 1_000.0;

/// Ejection time after the first failure.
const EJECTION_MIN: Duration = Duration::from_secs(1);

/// Longest ejection time.
const EJECTION_MAX: Duration = Duration::from_secs(16);

/// Entry of the platform's list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerListing {
    /// Name of the server.
    pub name: BackendServerName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: AvailabilityZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Whether the server is about to leave and accepts no new work.
    pub leaving: bool,
}

/// Load reported by a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Time of the measurement.
    pub measured_at: Instant,
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests that wait for the batch.
    pub waiting: u32,
}

/// Moving average of the time to first token, which decays with its age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Latency {
    micros: f64,
    at: Instant,
}

impl Latency {
    /// Adds a measurement.
    pub fn record(&mut self, now: Instant, measured: Duration) {
        let measured = measured.as_secs_f64() * 1e6;
        self.micros = match self.micros {
            0.0 => measured,
            old => old + LATENCY_SMOOTHING * (measured - old),
        };
        self.at = now;
    }

    /// Returns the decayed average in microseconds, or 0 without a recent measurement.
    pub fn micros(&self, now: Instant) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        match self.micros * 0.5_f64.powf(halves) {
            aged if aged >= LATENCY_FLOOR_MICROS => aged,
            _ => 0.0,
        }
    }
}

/// Number of this instance's open dispatches over the last seconds.
#[derive(Clone, Debug, Default)]
struct DispatchHistory {
    entries: VecDeque<(Instant, u32)>,
}

impl DispatchHistory {
    fn record(&mut self, now: Instant, open: u32) {
        match self.entries.back_mut() {
            Some((at, last)) if now.since(*at) < HISTORY_STEP => *last = open,
            _ => self.entries.push_back((now, open)),
        }
        if self.entries.len() > HISTORY_MAX {
            self.entries.pop_front();
        }
    }

    fn open_at(&self, time: Instant) -> u32 {
        let entry = self.entries.iter().rev().find(|(at, _)| *at <= time);
        entry.map_or(0, |(_, open)| *open)
    }
}

/// Backend server with its observed load and health.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Entry of the platform's list.
    pub listed: ServerListing,
    /// Number of requests that this instance has open at the server.
    pub open: u32,
    /// Last reported number of requests, minus those of this instance at that time.
    pub other_load: u32,
    /// Number of consecutive failures.
    pub failures: u32,
    /// End of the ejection; the server gets no new work before it.
    pub ejected_until: Instant,
    /// Whether any instance has seen the server leave.
    pub leaving: bool,
    /// Time of the measurement that `other_load` is based on.
    pub reported: Option<Instant>,
    /// Number of requests in a full batch; known once a report counts requests that wait for the batch.
    pub slots: Option<u32>,
    /// Measured time to first token.
    pub latency: Latency,
    /// Sequence number of the next cache event to fetch.
    pub cache_next: u64,
    history: DispatchHistory,
}

impl BackendServer {
    /// Creates a server without any observations.
    pub fn new(listed: ServerListing) -> Self {
        Self {
            leaving: listed.leaving,
            listed,
            open: 0,
            other_load: 0,
            failures: 0,
            ejected_until: Instant::default(),
            reported: None,
            slots: None,
            latency: Latency::default(),
            cache_next: 0,
            history: DispatchHistory::default(),
        }
    }

    /// Returns the estimated number of requests on the server.
    pub const fn load(&self) -> u32 {
        self.open.saturating_add(self.other_load)
    }

    /// Counts a dispatch.
    ///
    /// A dispatch to a server that has failed is a probe, and the server is ejected again until the probe succeeds.
    pub fn note_start(&mut self, now: Instant) {
        if self.failures > 0 {
            self.ejected_until = now.after(self.ejection());
        }
        self.open = self.open.saturating_add(1);
        self.history.record(now, self.open);
    }

    /// Counts the end of a dispatch.
    pub fn note_end(&mut self, now: Instant) {
        self.open = self.open.saturating_sub(1);
        self.history.record(now, self.open);
    }

    /// Applies a load report, unless it is older than the last one.
    ///
    /// This instance's dispatches at the time of the measurement are subtracted, because `open` already counts them.
    pub fn note_report(&mut self, report: &LoadReport) {
        if self.reported.is_some_and(|last| report.measured_at < last) {
            return;
        }
        let total = report.running.saturating_add(report.waiting);
        self.other_load = total.saturating_sub(self.history.open_at(report.measured_at));
        self.reported = Some(report.measured_at);
        if report.waiting > 0 {
            self.slots = Some(report.running);
        }
    }

    /// Returns the estimated number of requests that wait for the batch.
    pub fn waiting(&self) -> u32 {
        self.slots.map_or(0, |slots| self.load().saturating_sub(slots))
    }

    /// Records a first token that arrived `measured` after the dispatch, which ends an ejection.
    pub fn note_first_token(&mut self, now: Instant, measured: Duration) {
        self.failures = 0;
        self.ejected_until = Instant::default();
        self.latency.record(now, measured);
    }

    /// Ejects the server for a time that doubles with each consecutive failure.
    pub fn note_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.ejected_until = now.after(self.ejection());
    }

    /// Returns the ejection time after the current number of failures.
    fn ejection(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        (EJECTION_MIN * (1 << doublings)).min(EJECTION_MAX)
    }
}

/// Returns the index of `name` in `servers`, which must be sorted by name.
pub fn position(servers: &[BackendServer], name: &BackendServerName) -> Option<usize> {
    servers.binary_search_by(|server| server.listed.name.cmp(name)).ok()
}

/// Backend servers by service, sorted by name within each.
#[derive(Debug, Default)]
pub struct Backends {
    servers: BTreeMap<ServiceName, Vec<BackendServer>>,
}

impl Backends {
    /// Replaces the list, keeping the observations of servers that remain in it.
    pub fn update(&mut self, list: Vec<ServerListing>) {
        let mut next: BTreeMap<ServiceName, Vec<BackendServer>> = BTreeMap::new();
        for listed in list {
            let known = self.find(&listed.service, &listed.name).cloned();
            let leaving = listed.leaving || known.as_ref().is_some_and(|server| server.leaving);
            let server = match known {
                Some(known) => BackendServer { listed, leaving, ..known },
                None => BackendServer::new(listed),
            };
            next.entry(server.listed.service.clone()).or_default().push(server);
        }
        for servers in next.values_mut() {
            servers.sort_by(|a, b| a.listed.name.cmp(&b.listed.name));
        }
        self.servers = next;
    }

    /// Returns the servers of `service`, sorted by name.
    pub fn of(&self, service: &ServiceName) -> &[BackendServer] {
        self.servers.get(service).map_or(&[], Vec::as_slice)
    }

    /// Iterates over the servers of all services.
    pub fn iter(&self) -> impl Iterator<Item = &BackendServer> {
        self.servers.values().flatten()
    }

    /// Returns the server with this name.
    pub fn find(&self, service: &ServiceName, name: &BackendServerName) -> Option<&BackendServer> {
        let servers = self.of(service);
        position(servers, name).map(|index| &servers[index])
    }

    /// Returns the server with this name for modification.
    pub fn find_mut(&mut self, service: &ServiceName, name: &BackendServerName) -> Option<&mut BackendServer> {
        let servers = self.servers.get_mut(service)?;
        position(servers, name).map(|index| &mut servers[index])
    }
}
