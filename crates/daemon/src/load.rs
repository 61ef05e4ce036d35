//! Task that asks model engines for their load and cache events, and the count of this instance's own dispatches.

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
use crate::instance::Instance as Shared;

const REPORT_MAX_BYTES: usize = 1 << 20;
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
struct LoadBody {
    running: u32,
    waiting: u32,
    /// Age of the report; an engine that does not tell it is taken to report its present load.
    #[serde(default)]
    age_ms: u64,
}

/// Asks every backend server for its load at an interval until the instance stops.
pub async fn follow_load(instance: Arc<Shared>) {
    let mut interval = tokio::time::interval(instance.settings.poll_interval);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        let servers: Vec<_> = instance.board.backends.read().iter().map(identity).collect();
        let asks = servers.into_iter().map(|server| ask_both(&instance, server));
        futures_util::future::join_all(asks).await;
    }
}

#[derive(Debug)]
struct Asked {
    service: ServiceName,
    name: BackendServerName,
    address: SocketAddr,
    cache_next: u64,
}

fn identity(server: &BackendServer) -> Asked {
    let listed = &server.listed;
    Asked {
        service: listed.service.clone(),
        name: listed.name.clone(),
        address: listed.address,
        cache_next: server.cache_next,
    }
}

async fn ask_both(instance: &Shared, asked: Asked) {
    tokio::join!(ask_load(instance, &asked), ask_cache(instance, &asked));
}

async fn get<T: DeserializeOwned>(instance: &Shared, asked: &Asked, path: &str) -> Option<T> {
    let question = request(Method::GET, asked.address, path, Bytes::new());
    let answer = call(&instance.deps.client, asked.address, question, REPORT_TIMEOUT).await.ok()?;
    let body = read_body(answer.into_body(), REPORT_MAX_BYTES, REPORT_TIMEOUT).await.ok()?;
    serde_json::from_slice(&body).ok()
}

async fn ask_load(instance: &Shared, asked: &Asked) {
    let sent = instance.deps.clock.now();
    let Some(report) = get::<LoadBody>(instance, asked, "/load").await else {
        return;
    };
    let report = LoadReport { taken: before(sent, report.age_ms), running: report.running, waiting: report.waiting };
    if let Some(server) = instance.board.backends.write().find_mut(&asked.service, &asked.name) {
        server.note_report(&report);
    }
}

/// Hands new cache events to the policy; an engine that publishes none has its prefixes from own dispatches.
async fn ask_cache(instance: &Shared, asked: &Asked) {
    let sent = instance.deps.clock.now();
    let path = format!("/cache-events?from={}", asked.cache_next);
    let Some(changes) = get::<Vec<CacheChange>>(instance, asked, &path).await else {
        return;
    };
    let Some(last) = changes.last().map(|change| change.sequence) else {
        return;
    };
    for change in changes {
        let at = before(sent, change.age_ms);
        let blocks = |numbers: Vec<u64>| numbers.into_iter().map(BlockHash).collect();
        let (stored, evicted) = (blocks(change.stored), blocks(change.evicted));
        instance.policy.note_cache(&asked.name, &CacheEvent { sequence: change.sequence, at, stored, evicted });
    }
    if let Some(server) = instance.board.backends.write().find_mut(&asked.service, &asked.name) {
        server.cache_next = last + 1;
    }
}

fn before(sent: Instant, age_ms: u64) -> Instant {
    Instant(sent.0.saturating_sub(Duration::from_millis(age_ms)))
}

/// Counts one dispatch on a backend server while it lives.
#[derive(Debug)]
pub struct OpenDispatch {
    instance: Arc<Shared>,
    service: ServiceName,
    name: BackendServerName,
    start: Instant,
}

impl OpenDispatch {
    /// Counts a dispatch to `name`.
    pub fn new(instance: Arc<Shared>, service: ServiceName, name: BackendServerName) -> Self {
        let start = instance.deps.clock.now();
        let open = Self { instance, service, name, start };
        open.note(|server| server.note_start(start));
        open
    }

    /// Notes that the first part of the answer came.
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
