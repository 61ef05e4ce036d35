//! Metrics in the Prometheus text format.

use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of the refusal counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabel {
    /// Refusal code.
    pub code: String,
}

/// Metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    /// Requests received.
    pub requests: Counter,
    /// Requests in progress.
    pub open_requests: Gauge,
    /// Refusals by code.
    pub refusals: Family<CodeLabel, Counter>,
    /// Tokens billed.
    pub billed_tokens: Counter,
    /// Records appended to the log.
    pub log_appends: Counter,
    /// Records read from the log.
    pub log_records: Counter,
    /// First dispatches of requests to a backend server.
    pub first_dispatches: Counter,
    /// Repeated dispatches of requests.
    pub repeat_dispatches: Counter,
    /// Failed dispatches to backend servers.
    pub backend_failures: Counter,
    /// Forged, replayed, malformed and foreign frames of peer links.
    pub frames_dropped: Counter,
    /// Bytes written to peer links.
    pub peer_sent_bytes: Counter,
    /// Bytes read from peer links.
    pub peer_received_bytes: Counter,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            requests: Counter::default(),
            open_requests: Gauge::default(),
            refusals: Family::default(),
            billed_tokens: Counter::default(),
            log_appends: Counter::default(),
            log_records: Counter::default(),
            first_dispatches: Counter::default(),
            repeat_dispatches: Counter::default(),
            backend_failures: Counter::default(),
            frames_dropped: Counter::default(),
            peer_sent_bytes: Counter::default(),
            peer_received_bytes: Counter::default(),
            registry: Registry::with_prefix("coltsfootpick"),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests taken in", self.requests.clone());
        registry.register("open_requests", "Requests under way", self.open_requests.clone());
        registry.register("refusals", "Refusals by code", self.refusals.clone());
        registry.register("billed_tokens", "Tokens billed", self.billed_tokens.clone());
        registry.register("log_appends", "Records appended to the log", self.log_appends.clone());
        registry.register("log_records", "Records read from the log", self.log_records.clone());
        registry.register("first_dispatches", "First dispatches of requests", self.first_dispatches.clone());
        registry.register("repeat_dispatches", "Repeated dispatches of requests", self.repeat_dispatches.clone());
        registry.register("peer_frames_dropped", "Forged, replayed and foreign frames", self.frames_dropped.clone());
        registry.register("peer_sent_bytes", "Bytes written to peer links", self.peer_sent_bytes.clone());
        registry.register("peer_received_bytes", "Bytes read from peer links", self.peer_received_bytes.clone());
        registry.register("backend_failures", "Failures of backend servers", self.backend_failures.clone());
    }

    /// Renders the metrics as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string succeeds");
        text
    }
}
