//! Backend servers as this instance knows them: the lagging list, load reports and own dispatches.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::names::{AvailabilityZoneName, BackendServerName, RegionName, ServiceName};
use crate::units::Instant;

/// Distance between two entries of a server's dispatch history.
const HISTORY_STEP: Duration = Duration::from_millis(50);

/// Entries of a server's dispatch history, which bounds the lag that can be corrected.
const HISTORY_MAX: usize = 40;

/// Time in which a measured latency loses half its weight, so that a slow server is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);

/// Share of a new measurement in the average latency.
const LATENCY_SMOOTHING: f64 = 0.25;

/// Aged average below which nothing counts as measured.
const LATENCY_FLOOR_MICROS: f64 = 1_000.0;

/// Shortest time without new work after a failure.
const EJECTION_MIN: Duration = Duration::from_secs(1);

/// Longest time without new work, however many failures there were.
const EJECTION_MAX: Duration = Duration::from_secs(16);

/// Backend server as the platform's list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerListing {
    /// Name.
    pub name: BackendServerName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: AvailabilityZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// True once the server is leaving.
    pub leaving: bool,
}

/// Load as a server reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// When it was measured.
    pub taken: Instant,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for the batch.
    pub waiting: u32,
}

/// Average time to the first token, weighed down as it ages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Latency {
    micros: f64,
    at: Instant,
}

impl Latency {
    /// Takes in one measurement.
    pub fn note(&mut self, now: Instant, measured: Duration) {
        let measured = measured.as_secs_f64() * 1e6;
        self.micros = match self.micros {
            0.0 => measured,
            old => old + LATENCY_SMOOTHING * (measured - old),
        };
        self.at = now;
    }

    /// Aged average in microseconds; zero when nothing was measured lately.
    pub fn micros(&self, now: Instant) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        match self.micros * 0.5_f64.powf(halves) {
            aged if aged >= LATENCY_FLOOR_MICROS => aged,
            _ => 0.0,
        }
    }
}

/// Own dispatches under way over the last seconds, in steps.
#[derive(Clone, Debug, Default)]
struct DispatchHistory {
    entries: VecDeque<(Instant, u32)>,
}

impl DispatchHistory {
    fn note(&mut self, now: Instant, open: u32) {
        match self.entries.back_mut() {
            Some((at, last)) if now.since(*at) < HISTORY_STEP => *last = open,
            _ => self.entries.push_back((now, open)),
        }
        if self.entries.len() > HISTORY_MAX {
            self.entries.pop_front();
        }
    }

    fn open_at(&self, moment: Instant) -> u32 {
        let known = self.entries.iter().rev().find(|(at, _)| *at <= moment);
        known.map_or(0, |(_, open)| *open)
    }
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Entry of the list.
    pub listed: ServerListing,
    /// Requests of this instance under way.
    pub open: u32,
    /// Requests that the server last reported, less those of this instance at that time.
    pub other_load: u32,
    /// Failures in a row.
    pub failures: u32,
    /// No new work before this moment.
    pub ejected_until: Instant,
    /// True once any instance saw the server leave.
    pub leaving: bool,
    /// When the load behind `other_load` was measured.
    pub reported: Option<Instant>,
    /// Size of the batch, known once a report counted waiting requests.
    pub slots: Option<u32>,
    /// Measured time to the first token.
    pub latency: Latency,
    /// Number of the next cache event to ask for.
    pub cache_next: u64,
    history: DispatchHistory,
}

impl BackendServer {
    /// Starts a server of which only the list entry is known.
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

    /// Requests on the server now, as well as this instance can tell.
    pub const fn load(&self) -> u32 {
        self.open.saturating_add(self.other_load)
    }

    /// Counts a dispatch of this instance; one to a server that failed is a probe, and others wait for its end.
    pub fn note_start(&mut self, now: Instant) {
        if self.failures > 0 {
            self.ejected_until = now.after(self.ejection());
        }
        self.open = self.open.saturating_add(1);
        self.history.note(now, self.open);
    }

    /// Counts the end of a dispatch of this instance.
    pub fn note_end(&mut self, now: Instant) {
        self.open = self.open.saturating_sub(1);
        self.history.note(now, self.open);
    }

    /// Takes in a load report, and ignores one older than the last.
    ///
    /// Own dispatches are subtracted as they stood when it was taken, because `open` already counts them.
    pub fn note_report(&mut self, report: &LoadReport) {
        if self.reported.is_some_and(|last| report.taken < last) {
            return;
        }
        let total = report.running.saturating_add(report.waiting);
        self.other_load = total.saturating_sub(self.history.open_at(report.taken));
        self.reported = Some(report.taken);
        if report.waiting > 0 {
            self.slots = Some(report.running);
        }
    }

    /// Requests that have to wait for a place in the batch, as well as this instance can tell.
    pub fn waiting(&self) -> u32 {
        self.slots.map_or(0, |slots| self.load().saturating_sub(slots))
    }

    /// Takes in a first token that came `measured` after its dispatch.
    pub fn note_first_token(&mut self, now: Instant, measured: Duration) {
        self.failures = 0;
        self.ejected_until = Instant::default();
        self.latency.note(now, measured);
    }

    /// Gives the server no new work for a time that doubles with each failure in a row.
    pub fn note_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.ejected_until = now.after(self.ejection());
    }

    fn ejection(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        (EJECTION_MIN * (1 << doublings)).min(EJECTION_MAX)
    }
}

/// Position of `name` among `servers`, which are sorted by name.
pub fn position(servers: &[BackendServer], name: &BackendServerName) -> Option<usize> {
    servers.binary_search_by(|server| server.listed.name.cmp(name)).ok()
}

/// Backend servers of all services, each service's sorted by name.
#[derive(Debug, Default)]
pub struct Backends {
    servers: BTreeMap<ServiceName, Vec<BackendServer>>,
}

impl Backends {
    /// Takes in a new list and keeps what was learned of servers that stay.
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

    /// Servers of `service`.
    pub fn of(&self, service: &ServiceName) -> &[BackendServer] {
        self.servers.get(service).map_or(&[], Vec::as_slice)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = &BackendServer> {
        self.servers.values().flatten()
    }

    /// One server.
    pub fn find(&self, service: &ServiceName, name: &BackendServerName) -> Option<&BackendServer> {
        let servers = self.of(service);
        position(servers, name).map(|index| &servers[index])
    }

    /// One server, to be changed.
    pub fn find_mut(&mut self, service: &ServiceName, name: &BackendServerName) -> Option<&mut BackendServer> {
        let servers = self.servers.get_mut(service)?;
        position(servers, name).map(|index| &mut servers[index])
    }
}
