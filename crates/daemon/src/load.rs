//! Background task that polls model engines for their load and cache events, and the count of this instance's open
//! dispatches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::backends::{BackendServer, LoadReport};
use coltsfootpick_core::names::{BackendServerName, ServiceName};
use coltsfootpick_core::prefixes::{BlockHash, CacheEvent};
use coltsfootpick_core::units::Instant;
use coltsfootpick_wire::platform::CacheChange;
use http::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::http::{call, read_body, request};
use crate::instance::Instance;

const REPORT_MAX_BYTES: usize = 1 << 20;
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
struct LoadBody {
    running: u32,
    waiting: u32,
    /// Age of the report, in milliseconds; 0 if the engine does not state it.
    #[serde(default)]
    age_ms: u64,
}

/// Polls every backend server until the instance stops.
pub async fn follow_load(instance: Arc<Instance>) {
    let mut interval = tokio::time::interval(instance.settings.poll_interval);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        let servers: Vec<_> = instance.board.backends.read().iter().map(report_source).collect();
        let polls = servers.into_iter().map(|server| poll_server(&instance, server));
        futures_util::future::join_all(polls).await;
    }
}

/// Server to poll, and the number of the next cache event to request from it.
#[derive(Debug)]
struct ReportSource {
    service: ServiceName,
    name: BackendServerName,
    address: SocketAddr,
    cache_next: u64,
}

fn report_source(server: &BackendServer) -> ReportSource {
    let listed = &server.listed;
    ReportSource {
        service: listed.service.clone(),
        name: listed.name.clone(),
        address: listed.address,
        cache_next: server.cache_next,
    }
}

async fn poll_server(instance: &Instance, source: ReportSource) {
    tokio::join!(poll_load(instance, &source), poll_cache_events(instance, &source));
}

async fn get_json<T: DeserializeOwned>(instance: &Instance, source: &ReportSource, path: &str) -> Option<T> {
    let request = request(Method::GET, source.address, path, Bytes::new());
    let answer = call(&instance.deps.client, source.address, request, REPORT_TIMEOUT).await.ok()?;
    let body = read_body(answer.into_body(), REPORT_MAX_BYTES, REPORT_TIMEOUT).await.ok()?;
    serde_json::from_slice(&body).ok()
}

async fn poll_load(instance: &Instance, source: &ReportSource) {
    let sent = instance.deps.clock.now();
    let Some(report) = get_json::<LoadBody>(instance, source, "/load").await else {
        return;
    };
    let report = LoadReport {
        measured_at: report_instant(sent, report.age_ms),
        running: report.running,
        waiting: report.waiting,
    };
    if let Some(server) = instance.board.backends.write().find_mut(&source.service, &source.name) {
        server.note_report(&report);
    }
}

/// Passes new cache events to the policy. For an engine that publishes none, the policy infers prefixes from this
/// instance's dispatches.
async fn poll_cache_events(instance: &Instance, source: &ReportSource) {
    let sent = instance.deps.clock.now();
    let path = format!("/cache-events?from={}", source.cache_next);
    let Some(changes) = get_json::<Vec<CacheChange>>(instance, source, &path).await else {
        return;
    };
    let Some(last) = changes.last().map(|change| change.sequence) else {
        return;
    };
    for change in changes {
        let at = report_instant(sent, change.age_ms);
        let blocks = |numbers: Vec<u64>| numbers.into_iter().map(BlockHash).collect();
        let (stored, evicted) = (blocks(change.stored), blocks(change.evicted));
        instance.policy.note_cache(&source.name, &CacheEvent { sequence: change.sequence, at, stored, evicted });
    }
    if let Some(server) = instance.board.backends.write().find_mut(&source.service, &source.name) {
        server.cache_next = last + 1;
    }
}

fn report_instant(sent: Instant, age_ms: u64) -> Instant {
    Instant(sent.0.saturating_sub(Duration::from_millis(age_ms)))
}

/// Counts one open dispatch to a backend server until it is dropped.
#[derive(Debug)]
pub struct OpenDispatch {
    instance: Arc<Instance>,
    service: ServiceName,
    name: BackendServerName,
    start: Instant,
}

impl OpenDispatch {
    /// Starts counting a dispatch to `name`.
    pub fn new(instance: Arc<Instance>, service: ServiceName, name: BackendServerName) -> Self {
        let start = instance.deps.clock.now();
        let open = Self { instance, service, name, start };
        open.note(|server| server.note_start(start));
        open
    }

    /// Records the arrival of the first part of the answer.
    pub fn note_answer(&self) {
        let now = self.instance.deps.clock.now();
        self.note(|server| server.note_first_token(now, now.since(self.start)));
    }

    fn note(&self, change: impl FnOnce(&mut BackendServer)) {
        if let Some(server) = self.instance.board.backends.write().find_mut(&self.service, &self.name) {
            change(server);
        }
    }
}

impl Drop for OpenDispatch {
    fn drop(&mut self) {
        let now = self.instance.deps.clock.now();
        self.note(|server| server.note_end(now));
    }
}
