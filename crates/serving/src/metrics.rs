//! Metrics of one instance in the Prometheus text format; `docs/OPERATIONS.md` lists them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use coltsfootpick_core::names::{AvailabilityZoneName, ServiceName};
use parking_lot::Mutex;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];

/// Maximum number of pairs of service and zone whose shares are shown.
const ZONE_LABELS_MAX: usize = 1_024;

/// Label set with a single label.
pub type Label = [(&'static str, String); 1];

/// Label set of a service and a destination zone.
pub type ServiceZone = [(&'static str, String); 2];

/// Counters, gauges and histograms of one instance.
#[derive(Debug)]
pub struct Metrics {
    /// Requests that ended, by outcome.
    pub requests_ended: Family<Label, Counter>,
    /// Open requests.
    pub requests_open: Gauge,
    /// Dispatches to backend servers, by outcome.
    pub dispatches: Family<Label, Counter>,
    /// Calls to the store, by outcome.
    pub store_calls: Family<Label, Counter>,
    /// Latency of store calls that do not wait for records, in seconds.
    pub store_latency: Histogram,
    /// Records that were skipped because they could not be decoded, by topic.
    pub records_skipped: Family<Label, Counter>,
    /// Tokens settled.
    pub tokens: Counter,
    /// Streams that callers took up, by what was known of their origin.
    pub streams_taken_up: Family<Label, Counter>,
    /// Changes of the paths to the servers of a service, by the new state.
    pub path_changes: Family<Label, Counter>,
    /// Requests forwarded to other instances, by outcome.
    pub forwards: Family<Label, Counter>,
    /// Pauses that servers asked for.
    pub server_pauses: Counter,
    /// Prompt parts that are convicted of crashing servers.
    pub convicted_parts: Gauge,
    /// Servers that have named a limit of requests a second.
    pub limited_servers: Gauge,
    /// Refusals for want of a server, by what excluded servers: home regions, evacuations or cold servers.
    pub servers_excluded: Family<Label, Counter>,
    /// Requests sent to cold servers.
    pub cold_sends: Counter,
    /// Availability zones whose evacuation is in force.
    pub evacuated_zones: Gauge,
    /// Age of the view of the fleet's load, in milliseconds; -1 without a current view.
    pub load_view_age: Gauge,
    /// Engines in the view of the fleet's load.
    pub load_engines: Gauge,
    /// Frames of the exchange of loads, by direction.
    pub load_frames: Family<Label, Counter>,
    /// Bytes of these frames, by direction.
    pub load_bytes: Family<Label, Counter>,
    /// Share of a service's requests that leaves the zone, by destination.
    pub zone_shares: Family<ServiceZone, Gauge<f64, AtomicU64>>,
    /// Responses that exceeded a size limit and were cut.
    pub responses_oversized: Counter,
    /// Connections of clients that were closed, by reason.
    pub connections_closed: Family<Label, Counter>,
    /// Connections of clients that were closed at once, for lack of descriptors or memory.
    pub connections_refused: Counter,
    /// Open connections of callers.
    pub caller_connections: Gauge,
    /// Bytes charged for connections, requests and answers.
    pub client_bytes: Gauge,
    /// Time from the arrival of a request to the first byte of its response, in seconds.
    pub first_byte: Histogram,
    /// Time from the arrival of a request to the end of its response, in seconds.
    pub whole_answer: Histogram,
    zone_labels: Mutex<BTreeSet<(ServiceName, AvailabilityZoneName)>>,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            requests_ended: Family::default(),
            requests_open: Gauge::default(),
            dispatches: Family::default(),
            store_calls: Family::default(),
            store_latency: Histogram::new(BUCKETS),
            records_skipped: Family::default(),
            tokens: Counter::default(),
            streams_taken_up: Family::default(),
            path_changes: Family::default(),
            forwards: Family::default(),
            server_pauses: Counter::default(),
            convicted_parts: Gauge::default(),
            limited_servers: Gauge::default(),
            servers_excluded: Family::default(),
            cold_sends: Counter::default(),
            evacuated_zones: Gauge::default(),
            load_view_age: Gauge::default(),
            load_engines: Gauge::default(),
            load_frames: Family::default(),
            load_bytes: Family::default(),
            zone_shares: Family::default(),
            responses_oversized: Counter::default(),
            connections_closed: Family::default(),
            connections_refused: Counter::default(),
            caller_connections: Gauge::default(),
            client_bytes: Gauge::default(),
            first_byte: Histogram::new(BUCKETS),
            whole_answer: Histogram::new(BUCKETS),
            zone_labels: Mutex::default(),
            registry: Registry::with_prefix("coltsfootpick"),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests_ended", "Requests that ended, by outcome", self.requests_ended.clone());
        registry.register("requests_open", "Requests under way", self.requests_open.clone());
        registry.register("sends", "Sendings to backend servers, by outcome", self.dispatches.clone());
        registry.register("store_calls", "Calls to the store, by outcome", self.store_calls.clone());
        let store = self.store_latency.clone();
        registry.register_with_unit("store_call", "Calls to the store that do not wait", Unit::Seconds, store);
        let skipped = self.records_skipped.clone();
        registry.register("records_skipped", "Records that could not be decoded, by topic", skipped);
        registry.register("settled_tokens", "Tokens settled", self.tokens.clone());
        let taken_up = self.streams_taken_up.clone();
        registry.register("streams_taken_up", "Streams that callers took up, by what was known of them", taken_up);
        let paths = self.path_changes.clone();
        registry.register("path_changes", "Changes of the paths to the servers of a service, by new state", paths);
        let forwards = self.forwards.clone();
        registry.register("forwards", "Requests forwarded to other instances, by outcome", forwards);
        registry.register("server_pauses", "Pauses that servers asked for", self.server_pauses.clone());
        let parts = self.convicted_parts.clone();
        registry.register("convicted_parts", "Prompt parts that are convicted of crashing servers", parts);
        let limited = self.limited_servers.clone();
        registry.register("limited_servers", "Servers that have named a limit of requests a second", limited);
        let excluded = self.servers_excluded.clone();
        registry.register("servers_excluded", "Refusals for want of a server, by what excluded servers", excluded);
        registry.register("cold_sends", "Requests sent to cold servers", self.cold_sends.clone());
        let evacuated = self.evacuated_zones.clone();
        registry.register("evacuated_zones", "Availability zones whose evacuation is in force", evacuated);
        self.load_view_age.set(-1);
        registry.register("load_view_age_ms", "Age of the view of the fleet's load", self.load_view_age.clone());
        registry.register("load_engines", "Engines in the view of the fleet's load", self.load_engines.clone());
        registry.register("load_frames", "Frames of the exchange of loads, by direction", self.load_frames.clone());
        registry.register("load_bytes", "Bytes of the exchange of loads, by direction", self.load_bytes.clone());
        let shares = self.zone_shares.clone();
        registry.register("zone_share", "Share of a service's requests that leaves the zone, by destination", shares);
        let oversized = self.responses_oversized.clone();
        registry.register("oversized_answers", "Answers of servers that were cut at a size limit", oversized);
        let closed = self.connections_closed.clone();
        registry.register("connections_closed", "Connections of clients that were closed, by reason", closed);
        let refused = self.connections_refused.clone();
        registry.register("connections_refused", "Connections closed at once, for lack of room", refused);
        registry.register("caller_connections", "Open connections of callers", self.caller_connections.clone());
        let held = self.client_bytes.clone();
        registry.register_with_unit("client_held", "Charged for connections, requests and answers", Unit::Bytes, held);
        let first = self.first_byte.clone();
        registry.register_with_unit("first_byte", "From arrival to the answer's first byte", Unit::Seconds, first);
        let whole = self.whole_answer.clone();
        registry.register_with_unit("whole_answer", "From arrival to the answer's end", Unit::Seconds, whole);
    }

    /// Increments the counter of `outcome` in a family.
    pub fn count(family: &Family<Label, Counter>, outcome: &str) {
        family.get_or_create(&[("outcome", outcome.to_owned())]).inc();
    }

    /// Counts a frame of the exchange of loads.
    pub fn note_load_frame(&self, direction: &'static str, bytes: usize) {
        let label = [("direction", direction.to_owned())];
        self.load_frames.get_or_create(&label).inc();
        self.load_bytes.get_or_create(&label).inc_by(bytes as u64);
    }

    /// Sets the shares of `service` that leave the zone; zones that get none any more have the share 0.
    pub fn note_zone_shares(&self, service: &ServiceName, shares: &BTreeMap<AvailabilityZoneName, f64>) {
        let label = |zone: &AvailabilityZoneName| [("service", service.to_string()), ("zone", zone.to_string())];
        let mut known = self.zone_labels.lock();
        for zone in shares.keys() {
            if known.len() < ZONE_LABELS_MAX {
                known.insert((service.clone(), zone.clone()));
            }
        }
        for (_, zone) in known.iter().filter(|(other, _)| other == service) {
            self.zone_shares.get_or_create(&label(zone)).set(shares.get(zone).copied().unwrap_or_default());
        }
    }

    /// Sets age and size of the view of the fleet's load.
    pub fn note_load_view(&self, age: Option<Duration>, engines: usize) {
        self.load_view_age.set(age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX)));
        self.load_engines.set(i64::try_from(engines).unwrap_or(i64::MAX));
    }

    /// Increments the counter of `outcome` in a family by `count`.
    pub fn count_many(family: &Family<Label, Counter>, outcome: &str, count: u64) {
        family.get_or_create(&[("outcome", outcome.to_owned())]).inc_by(count);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string succeeds");
        text
    }
}
