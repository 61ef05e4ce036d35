//! Fake platform: an append-only log, an instance list and a weight store, with configurable faults.

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

/// Header with the name of the client, so that a fault can apply to one client only.
pub const CLIENT_HEADER: &str = "x-client";

const READ_MAX_RECORDS: usize = 1_000;
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Active faults, and the body of `/faults`; the default of every field is no fault.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses all appends, reads and queries of the instance list.
    pub down: bool,
    /// Delay of every response, in milliseconds.
    pub delay_ms: u64,
    /// Number of appends that take effect but are never answered.
    pub lose_answers: u32,
    /// Names of the clients whose appends, reads and queries of the instance list are refused.
    pub cut_off: BTreeSet<String>,
    /// Limit of appends per second over all streams; 0 for none.
    pub append_rate: u32,
    /// Number of newest records that each stream keeps; 0 for all.
    pub retention: usize,
    /// Limit of model loads per second from the weight store; 0 for none.
    pub load_rate: u32,
    /// Delay until a change of the instance list is visible, in milliseconds.
    pub list_lag_ms: u64,
}

#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<Bytes>,
}

#[derive(Debug, Default)]
struct PlatformState {
    streams: BTreeMap<String, Stream>,
    faults: Faults,
    servers: BTreeMap<String, ListedServer>,
    /// Versions of the instance list with the time of each, oldest first.
    list_versions: Vec<(Instant, Vec<ListedServer>)>,
    /// Start of the current second of the append rate limit.
    window_start: Option<Instant>,
    window_appends: u32,
    granted_loads: Vec<Instant>,
    refused_loads: u64,
    appends: u64,
}

/// Fake platform; its clones share one state.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    state: Arc<Mutex<PlatformState>>,
    appended: Arc<Notify>,
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

enum Access {
    Granted,
    Refused,
}

impl Platform {
    /// HTTP routes of the platform.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/streams/{stream}", post(append).get(read))
            .route("/streams/{stream}/trim", post(trim))
            .route("/instances", get(instances))
            .route("/instances/{name}", put(put_server).delete(delete_server))
            .route("/faults", post(post_faults).get(get_faults))
            .route("/appends", get(count_appends))
            .with_state(self.clone())
    }

    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.lock().faults);
        self.appended.notify_waiters();
    }

    /// Adds or replaces a server of the instance list.
    pub fn list_server(&self, server: ListedServer) {
        let mut state = self.state.lock();
        state.servers.insert(server.name.clone(), server);
        publish_list(&mut state);
    }

    /// Counts a model load from the weight store; returns false if it exceeds the rate limit.
    pub fn try_load(&self) -> bool {
        let mut state = self.state.lock();
        let now = Instant::now();
        let recent = state.granted_loads.iter().filter(|at| now.duration_since(**at) < Duration::from_secs(1)).count();
        let is_granted = state.faults.load_rate == 0 || recent < state.faults.load_rate as usize;
        match is_granted {
            true => state.granted_loads.push(now),
            false => state.refused_loads += 1,
        }
        is_granted
    }

    /// Numbers of granted and of refused model loads.
    pub fn load_counts(&self) -> (usize, u64) {
        let state = self.state.lock();
        (state.granted_loads.len(), state.refused_loads)
    }

    /// Number of records appended so far.
    pub fn append_count(&self) -> u64 {
        self.state.lock().appends
    }

    /// Appends arbitrary bytes to a stream and returns their offset, for tests of malformed records.
    pub fn append_raw(&self, stream: &str, bytes: &[u8]) -> u64 {
        let offset = store(&mut self.state.lock(), stream, Bytes::copy_from_slice(bytes));
        self.appended.notify_waiters();
        offset
    }

    async fn check_access(&self, headers: &HeaderMap) -> Access {
        let client = headers.get(CLIENT_HEADER).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let (is_refused, delay) = {
            let state = self.state.lock();
            let is_refused = state.faults.down || state.faults.cut_off.contains(client);
            (is_refused, Duration::from_millis(state.faults.delay_ms))
        };
        tokio::time::sleep(delay).await;
        if is_refused { Access::Refused } else { Access::Granted }
    }
}

fn store(state: &mut PlatformState, name: &str, bytes: Bytes) -> u64 {
    state.appends += 1;
    let retention = state.faults.retention;
    let stream = state.streams.entry(name.to_owned()).or_default();
    stream.records.push_back(bytes);
    let offset = stream.first_offset + stream.records.len() as u64 - 1;
    while retention > 0 && stream.records.len() > retention {
        stream.records.pop_front();
        stream.first_offset += 1;
    }
    offset
}

fn publish_list(state: &mut PlatformState) {
    let list = state.servers.values().cloned().collect();
    state.list_versions.push((Instant::now(), list));
}

fn admit_append(state: &mut PlatformState) -> bool {
    let now = Instant::now();
    let is_expired = state.window_start.is_none_or(|start| now.duration_since(start) >= Duration::from_secs(1));
    if is_expired {
        state.window_start = Some(now);
        state.window_appends = 0;
    }
    state.window_appends += 1;
    state.faults.append_rate == 0 || state.window_appends <= state.faults.append_rate
}

async fn append(
    State(platform): State<Platform>,
    Path(stream): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if matches!(platform.check_access(&headers).await, Access::Refused) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let (offset, is_lost) = {
        let mut state = platform.state.lock();
        if !admit_append(&mut state) {
            return StatusCode::TOO_MANY_REQUESTS.into_response();
        }
        let offset = store(&mut state, &stream, body);
        let is_lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        (offset, is_lost)
    };
    platform.appended.notify_waiters();
    if is_lost {
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
        if matches!(platform.check_access(&headers).await, Access::Refused) {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let appended = platform.appended.notified();
        let response = read_now(&platform, &stream, &query);
        if query.from < response.first {
            return (StatusCode::GONE, Json(response)).into_response();
        }
        if !response.records.is_empty() || tokio::time::timeout_at(until, appended).await.is_err() {
            return Json(response).into_response();
        }
    }
}

fn read_now(platform: &Platform, name: &str, query: &ReadQuery) -> ReadResponse {
    let state = platform.state.lock();
    let Some(stream) = state.streams.get(name) else {
        return ReadResponse { first: 0, next: 0, records: Vec::new() };
    };
    let max = query.max.unwrap_or(READ_MAX_RECORDS).min(READ_MAX_RECORDS);
    let skip = usize::try_from(query.from.saturating_sub(stream.first_offset)).unwrap_or(usize::MAX);
    let selected = stream.records.iter().zip(stream.first_offset..).skip(skip).take(max);
    let records =
        selected.map(|(bytes, offset)| StoredRecord { offset, data: BASE64_STANDARD.encode(bytes) }).collect();
    ReadResponse { first: stream.first_offset, next: stream.first_offset + stream.records.len() as u64, records }
}

async fn trim(
    State(platform): State<Platform>,
    Path(stream): Path<String>,
    Query(query): Query<TrimQuery>,
) -> StatusCode {
    let mut state = platform.state.lock();
    if let Some(stream) = state.streams.get_mut(&stream) {
        while stream.first_offset < query.before && stream.records.pop_front().is_some() {
            stream.first_offset += 1;
        }
    }
    StatusCode::NO_CONTENT
}

async fn instances(State(platform): State<Platform>, headers: HeaderMap) -> Response {
    if matches!(platform.check_access(&headers).await, Access::Refused) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let mut state = platform.state.lock();
    let lag = Duration::from_millis(state.faults.list_lag_ms);
    let old_enough = state.list_versions.iter().rposition(|(at, _)| at.elapsed() >= lag);
    let list = old_enough.map(|index| state.list_versions[index].1.clone()).unwrap_or_default();
    state.list_versions.drain(..old_enough.unwrap_or_default());
    Json(list).into_response()
}

async fn put_server(State(platform): State<Platform>, Json(server): Json<ListedServer>) -> StatusCode {
    platform.list_server(server);
    StatusCode::NO_CONTENT
}

async fn delete_server(State(platform): State<Platform>, Path(name): Path<String>) -> StatusCode {
    let mut state = platform.state.lock();
    state.servers.remove(&name);
    publish_list(&mut state);
    StatusCode::NO_CONTENT
}

async fn post_faults(State(platform): State<Platform>, Json(faults): Json<Faults>) -> StatusCode {
    platform.set_faults(|current| *current = faults);
    StatusCode::NO_CONTENT
}

async fn get_faults(State(platform): State<Platform>) -> Json<Faults> {
    Json(platform.state.lock().faults.clone())
}

async fn count_appends(State(platform): State<Platform>) -> Json<u64> {
    Json(platform.append_count())
}
