//! Stand-in for the platform: the append-only log and the instance list, with faults to order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post, put};
use axum::{Json, Router};
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use coltsfootpick_wire::platform::{AppendResponse, ListedServer, ReadResponse, StoredRecord};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Header by which a client names itself, so that faults can be ordered for it alone.
pub const CLIENT_HEADER: &str = "x-client";

const READ_MAX_RECORDS: usize = 1_000;
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Faults in force; every field has a harmless default.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses everything.
    pub down: bool,
    /// Delays every answer.
    pub delay_ms: u64,
    /// Drops the answers of this many appends after they took effect.
    pub lose_answers: u32,
    /// Clients that reach nothing.
    pub cut_off: BTreeSet<String>,
    /// Appends a second over all streams; 0 for no limit.
    pub append_rate: u32,
    /// Records kept a stream; 0 for all.
    pub retention: usize,
    /// Loads a second that the weight store gives; 0 for no limit.
    pub load_rate: u32,
    /// Age at which a change of the instance list becomes visible.
    pub list_lag_ms: u64,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<Bytes>,
}

#[derive(Debug, Default)]
struct Inner {
    streams: BTreeMap<String, Stream>,
    faults: Faults,
    listed: BTreeMap<String, ListedServer>,
    visible: Vec<(Instant, Vec<ListedServer>)>,
    window: Option<Instant>,
    in_window: u32,
    loads: Vec<Instant>,
    refused_loads: u64,
    appends: u64,
}

/// Shared state of the stand-in.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
    grown: Arc<Notify>,
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default)]
    max: Option<usize>,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct TrimQuery {
    before: u64,
}

enum Admit {
    Yes,
    Refused,
}

impl Platform {
    /// Routes of the stand-in.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/streams/{stream}", post(append).get(read))
            .route("/streams/{stream}/trim", post(trim))
            .route("/instances", get(instances))
            .route("/instances/{name}", put(list).delete(unlist))
            .route("/faults", post(order_faults).get(show_faults))
            .route("/appends", get(count_appends))
            .with_state(self.clone())
    }

    /// Orders faults directly.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.inner.lock().faults);
        self.grown.notify_waiters();
    }

    /// Adds or replaces a server of the instance list.
    pub fn list_server(&self, server: ListedServer) {
        let mut inner = self.inner.lock();
        inner.listed.insert(server.name.clone(), server);
        publish_list(&mut inner);
    }

    /// Takes weights out of the store; false beyond its rate.
    pub fn try_load(&self) -> bool {
        let mut inner = self.inner.lock();
        let now = Instant::now();
        let recent = inner.loads.iter().filter(|at| now.duration_since(**at) < Duration::from_secs(1)).count();
        let is_free = inner.faults.load_rate == 0 || recent < inner.faults.load_rate as usize;
        match is_free {
            true => inner.loads.push(now),
            false => inner.refused_loads += 1,
        }
        is_free
    }

    /// Loads that were given and refused.
    pub fn load_counts(&self) -> (usize, u64) {
        let inner = self.inner.lock();
        (inner.loads.len(), inner.refused_loads)
    }

    /// Number of records appended since the start.
    pub fn appends(&self) -> u64 {
        self.inner.lock().appends
    }

    /// Appends bytes as any client could, for malformed records.
    pub fn append_raw(&self, stream: &str, bytes: &[u8]) -> u64 {
        let offset = store(&mut self.inner.lock(), stream, Bytes::copy_from_slice(bytes));
        self.grown.notify_waiters();
        offset
    }

    async fn admit(&self, headers: &HeaderMap) -> Admit {
        let client = headers.get(CLIENT_HEADER).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let (refused, delay) = {
            let inner = self.inner.lock();
            let refused = inner.faults.down || inner.faults.cut_off.contains(client);
            (refused, Duration::from_millis(inner.faults.delay_ms))
        };
        tokio::time::sleep(delay).await;
        if refused { Admit::Refused } else { Admit::Yes }
    }
}

fn store(inner: &mut Inner, name: &str, bytes: Bytes) -> u64 {
    inner.appends += 1;
    let retention = inner.faults.retention;
    let stream = inner.streams.entry(name.to_owned()).or_default();
    stream.records.push_back(bytes);
    let offset = stream.first + stream.records.len() as u64 - 1;
    while retention > 0 && stream.records.len() > retention {
        stream.records.pop_front();
        stream.first += 1;
    }
    offset
}

fn publish_list(inner: &mut Inner) {
    let list = inner.listed.values().cloned().collect();
    inner.visible.push((Instant::now(), list));
}

fn within_rate(inner: &mut Inner) -> bool {
    let now = Instant::now();
    let fresh = inner.window.is_none_or(|start| now.duration_since(start) >= Duration::from_secs(1));
    if fresh {
        inner.window = Some(now);
        inner.in_window = 0;
    }
    inner.in_window += 1;
    inner.faults.append_rate == 0 || inner.in_window <= inner.faults.append_rate
}

async fn append(
    State(platform): State<Platform>,
    Path(stream): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if matches!(platform.admit(&headers).await, Admit::Refused) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let (offset, lost) = {
        let mut inner = platform.inner.lock();
        if !within_rate(&mut inner) {
            return StatusCode::TOO_MANY_REQUESTS.into_response();
        }
        let offset = store(&mut inner, &stream, body);
        let lost = inner.faults.lose_answers > 0;
        inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
        (offset, lost)
    };
    platform.grown.notify_waiters();
    if lost {
        std::future::pending::<()>().await;
    }
    Json(AppendResponse { offset }).into_response()
}

async fn read(
    State(platform): State<Platform>,
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
    headers: HeaderMap,
) -> Response {
    let wait = Duration::from_millis(query.wait_ms).min(WAIT_MAX);
    let until = tokio::time::Instant::now() + wait;
    loop {
        if matches!(platform.admit(&headers).await, Admit::Refused) {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let grown = platform.grown.notified();
        let records = read_now(&platform, &stream, &query);
        if query.from < records.first {
            return (StatusCode::GONE, Json(records)).into_response();
        }
        if !records.records.is_empty() || tokio::time::timeout_at(until, grown).await.is_err() {
            return Json(records).into_response();
        }
    }
}

fn read_now(platform: &Platform, name: &str, query: &ReadQuery) -> ReadResponse {
    let inner = platform.inner.lock();
    let Some(stream) = inner.streams.get(name) else {
        return ReadResponse { first: 0, next: 0, records: Vec::new() };
    };
    let max = query.max.unwrap_or(READ_MAX_RECORDS).min(READ_MAX_RECORDS);
    let skip = usize::try_from(query.from.saturating_sub(stream.first)).unwrap_or(usize::MAX);
    let numbered = stream.records.iter().zip(stream.first..).skip(skip).take(max);
    let records =
        numbered.map(|(bytes, offset)| StoredRecord { offset, data: BASE64_STANDARD.encode(bytes) }).collect();
    ReadResponse { first: stream.first, next: stream.first + stream.records.len() as u64, records }
}

async fn trim(
    State(platform): State<Platform>,
    Path(stream): Path<String>,
    Query(query): Query<TrimQuery>,
) -> StatusCode {
    let mut inner = platform.inner.lock();
    if let Some(stream) = inner.streams.get_mut(&stream) {
        while stream.first < query.before && stream.records.pop_front().is_some() {
            stream.first += 1;
        }
    }
    StatusCode::NO_CONTENT
}

async fn instances(State(platform): State<Platform>, headers: HeaderMap) -> Response {
    if matches!(platform.admit(&headers).await, Admit::Refused) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let mut inner = platform.inner.lock();
    let lag = Duration::from_millis(inner.faults.list_lag_ms);
    let old_enough = inner.visible.iter().rposition(|(at, _)| at.elapsed() >= lag);
    let list = old_enough.map(|index| inner.visible[index].1.clone()).unwrap_or_default();
    inner.visible.drain(..old_enough.unwrap_or_default());
    Json(list).into_response()
}

async fn list(State(platform): State<Platform>, Json(server): Json<ListedServer>) -> StatusCode {
    platform.list_server(server);
    StatusCode::NO_CONTENT
}

async fn unlist(State(platform): State<Platform>, Path(name): Path<String>) -> StatusCode {
    let mut inner = platform.inner.lock();
    inner.listed.remove(&name);
    publish_list(&mut inner);
    StatusCode::NO_CONTENT
}

async fn order_faults(State(platform): State<Platform>, Json(faults): Json<Faults>) -> StatusCode {
    platform.set_faults(|current| *current = faults);
    StatusCode::NO_CONTENT
}

async fn show_faults(State(platform): State<Platform>) -> Json<Faults> {
    Json(platform.inner.lock().faults.clone())
}

async fn count_appends(State(platform): State<Platform>) -> Json<u64> {
    Json(platform.appends())
}
