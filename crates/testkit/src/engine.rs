//! Stand-in for a model engine: continuous batching, prefix cache, resumable streams, faults to order.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::{Body, Bytes};
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use coltsfootpick_core::models::ModelSpec;
use coltsfootpick_core::prefixes::{BlockHash, PREFIX_BLOCK_BYTES, block_hashes};
use coltsfootpick_wire::platform::{CacheChange, EngineOrder};
use futures_util::stream;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::platform::Platform;
use crate::sse;

/// Header that names a request for resume, cancel and accounting.
pub const REQUEST_HEADER: &str = "x-request-id";

const CACHE_EVENTS_MAX: usize = 256;
const BYTES_A_TOKEN: usize = 4;

/// Size and speed of the engine.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Requests in the batch at once.
    pub batch: usize,
    /// Time of one decoding step.
    pub step: Duration,
    /// Prompt tokens that one step can take in.
    pub prefill: usize,
    /// Cached prefix blocks.
    pub cache_blocks: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Self { batch: 8, step: Duration::from_millis(5), prefill: 512, cache_blocks: 4_096 }
    }
}

/// Faults in force.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Stops all output while connections stay open.
    pub silent: bool,
    /// Exits the process, or stops serving in a test, when a prompt holds this text; empty for none.
    pub crash_on: String,
    /// Answers new requests with this status; 0 for none.
    pub status: u16,
    /// Time by which load reports lag.
    pub load_lag_ms: u64,
    /// Refuses new requests with status 503 and the header `x-leaving`.
    pub leaving: bool,
    /// Adds this to every step.
    pub slow_ms: u64,
    /// Time by which cache events lag.
    pub cache_lag_ms: u64,
    /// Refuses orders with an old fencing number.
    pub fenced: bool,
}

/// Load as the engine reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait for the batch.
    pub waiting: usize,
}

#[derive(Debug)]
struct Job {
    cost: usize,
    prompt_tokens: usize,
    cached: usize,
    goal: usize,
    tokens: Vec<String>,
    cancelled: bool,
}

impl Job {
    fn is_done(&self) -> bool {
        self.cancelled || self.tokens.len() >= self.goal
    }
}

#[derive(Debug, Default)]
struct Inner {
    jobs: BTreeMap<String, Job>,
    queue: VecDeque<String>,
    batch: Vec<String>,
    cache: VecDeque<BlockHash>,
    changes: VecDeque<(Instant, CacheChange)>,
    sequence: u64,
    loaded: Option<ModelSpec>,
    token: u64,
    orders: Vec<EngineOrder>,
    store: Option<Platform>,
    faults: Faults,
    reports: VecDeque<(Instant, Load)>,
    calls: u64,
    crashed: bool,
}

/// Shared state of the stand-in.
#[derive(Clone, Debug)]
pub struct Engine {
    shape: Shape,
    inner: Arc<Mutex<Inner>>,
    stepped: Arc<Notify>,
}

#[derive(Debug, Deserialize)]
struct ChatBody {
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<usize>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[derive(Debug, Default, Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: usize,
}

/// Tokens and cost of one request, as the engine counted them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Produced {
    /// Prompt tokens.
    pub prompt: usize,
    /// Generated tokens.
    pub completion: usize,
    /// Prompt tokens found in the cache.
    pub cached: usize,
}

impl Engine {
    /// Starts the batching loop; must be called within a tokio runtime.
    pub fn start(shape: Shape) -> Self {
        let engine = Self { shape, inner: Arc::default(), stepped: Arc::default() };
        tokio::spawn(engine.clone().run());
        engine
    }

    /// Routes of the stand-in.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(chat))
            .route("/v1/streams/{id}", get(resume).delete(cancel))
            .route("/load", get(load))
            .route("/cache-events", get(cache_events))
            .route("/models", get(models))
            .route("/orders", post(order_models))
            .route("/produced", get(produced))
            .route("/faults", post(order_faults))
            .with_state(self.clone())
    }

    /// Orders faults directly.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.inner.lock().faults);
    }

    /// Loads weights from the store of `platform`, within its rate, instead of from nowhere.
    pub fn use_store(&self, platform: Platform) {
        self.inner.lock().store = Some(platform);
    }

    /// What is loaded.
    pub fn loaded(&self) -> Option<ModelSpec> {
        self.inner.lock().loaded.clone()
    }

    /// Orders obeyed so far.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.inner.lock().orders.clone()
    }

    /// What every request cost so far.
    pub fn produced(&self) -> BTreeMap<String, Produced> {
        let inner = self.inner.lock();
        inner.jobs.iter().map(|(id, job)| (id.clone(), job.produced())).collect()
    }

    /// Chat calls that reached the engine, answered or not.
    pub fn calls(&self) -> u64 {
        self.inner.lock().calls
    }

    /// True once a prompt crashed the engine.
    pub fn is_crashed(&self) -> bool {
        self.inner.lock().crashed
    }

    async fn run(self) {
        loop {
            let slow = Duration::from_millis(self.inner.lock().faults.slow_ms);
            tokio::time::sleep(self.shape.step + slow).await;
            self.step();
            self.stepped.notify_waiters();
        }
    }

    fn step(&self) {
        let inner = &mut *self.inner.lock();
        if inner.crashed {
            return;
        }
        let jobs = &inner.jobs;
        inner.batch.retain(|id| jobs.get(id).is_some_and(|job| !job.is_done()));
        inner.queue.retain(|id| jobs.get(id).is_some_and(|job| !job.is_done()));
        while inner.batch.len() < self.shape.batch {
            let Some(id) = inner.queue.pop_front() else { break };
            inner.batch.push(id);
        }
        let mut prefill = self.shape.prefill;
        for id in &inner.batch {
            let Some(job) = inner.jobs.get_mut(id) else { continue };
            let taken = job.cost.min(prefill);
            job.cost -= taken;
            prefill -= taken;
            if job.cost == 0 {
                job.tokens.push(token(id, job.tokens.len()));
            }
        }
        let load = Load { running: inner.batch.len(), waiting: inner.queue.len() };
        inner.reports.push_back((Instant::now(), load));
    }

    fn admit(&self, id: &str, body: &ChatBody) -> Result<(), StatusCode> {
        let prompt: String = body.messages.iter().flat_map(|m| [m.role.as_str(), "\n", &m.content, "\n"]).collect();
        let inner = &mut *self.inner.lock();
        inner.calls += 1;
        if let Ok(status) = StatusCode::from_u16(inner.faults.status) {
            return Err(status);
        }
        if inner.crashed {
            return Err(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if !inner.faults.crash_on.is_empty() && prompt.contains(&inner.faults.crash_on) {
            inner.crashed = true;
            return Ok(());
        }
        if inner.jobs.contains_key(id) {
            return Ok(());
        }
        let cached = cache_prompt(inner, &prompt, self.shape.cache_blocks);
        let prompt_tokens = prompt.len().div_ceil(BYTES_A_TOKEN);
        let cost = prompt_tokens.saturating_sub(cached).max(1);
        let goal = body.max_tokens.unwrap_or(16);
        let job = Job { cost, prompt_tokens, cached, goal, tokens: Vec::new(), cancelled: false };
        inner.jobs.insert(id.to_owned(), job);
        inner.queue.push_back(id.to_owned());
        Ok(())
    }

    fn stream(self, id: String, from: usize) -> Response {
        let body = Body::from_stream(stream::unfold((self, id, from), next_chunk));
        ([(header::CONTENT_TYPE, "text/event-stream")], body).into_response()
    }
}

impl Job {
    fn produced(&self) -> Produced {
        Produced { prompt: self.prompt_tokens, completion: self.tokens.len(), cached: self.cached }
    }
}

/// Text of the token `index` of a request, the same on every engine.
pub fn token(id: &str, index: usize) -> String {
    format!("{:04x}.{index} ", xxh3_64(id.as_bytes()) & 0xffff)
}

fn cache_prompt(inner: &mut Inner, prompt: &str, most: usize) -> usize {
    let blocks = block_hashes(prompt);
    let hits = blocks.iter().take_while(|block| inner.cache.contains(block)).count();
    inner.cache.retain(|block| !blocks.contains(block));
    // The end of a prompt is evicted first, so that what is left stays a prefix.
    inner.cache.extend(blocks.iter().rev());
    let excess = inner.cache.len().saturating_sub(most);
    let evicted: Vec<BlockHash> = inner.cache.drain(..excess).collect();
    let numbers = |blocks: &[BlockHash]| blocks.iter().map(|block| block.0).collect();
    let (stored, evicted) = (numbers(&blocks[hits..]), numbers(&evicted));
    inner.changes.push_back((Instant::now(), CacheChange { sequence: inner.sequence, age_ms: 0, stored, evicted }));
    inner.sequence += 1;
    if inner.changes.len() > CACHE_EVENTS_MAX {
        inner.changes.pop_front();
    }
    hits * PREFIX_BLOCK_BYTES / BYTES_A_TOKEN
}

type StreamState = (Engine, String, usize);

enum NextChunk {
    Ready(Bytes),
    NotYet,
    End,
    Broken,
}

async fn next_chunk((engine, id, from): StreamState) -> Option<(Result<Bytes, std::io::Error>, StreamState)> {
    let stepping = Arc::clone(&engine.stepped);
    loop {
        let stepped = stepping.notified();
        match chunk_at(&engine, &id, from) {
            NextChunk::Ready(bytes) => return Some((Ok(bytes), (engine, id, from + 1))),
            NextChunk::NotYet => stepped.await,
            NextChunk::End => return None,
            NextChunk::Broken => {
                let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
                return Some((Err(reset), (engine, id, from)));
            }
        }
    }
}

fn chunk_at(engine: &Engine, id: &str, from: usize) -> NextChunk {
    let inner = engine.inner.lock();
    match inner.jobs.get(id) {
        _ if inner.crashed => NextChunk::Broken,
        None => NextChunk::End,
        Some(_) if inner.faults.silent => NextChunk::NotYet,
        Some(job) if from > job.goal => NextChunk::End,
        Some(job) if from == job.goal => NextChunk::Ready(sse::event(from, "[DONE]")),
        Some(job) => match job.tokens.get(from) {
            Some(text) => NextChunk::Ready(sse::event(from, &chunk_json(id, job, from, text))),
            None if job.cancelled => NextChunk::End,
            None => NextChunk::NotYet,
        },
    }
}

fn chunk_json(id: &str, job: &Job, index: usize, text: &str) -> String {
    let finish = (index + 1 == job.goal).then_some("length");
    json!({
        "id": id,
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": finish }],
        "usage": {
            "prompt_tokens": job.prompt_tokens,
            "completion_tokens": index + 1,
            "total_tokens": job.prompt_tokens + index + 1,
            "prompt_tokens_details": { "cached_tokens": job.cached },
        },
    })
    .to_string()
}

async fn chat(State(engine): State<Engine>, headers: HeaderMap, Json(body): Json<ChatBody>) -> Response {
    let Some(id) = headers.get(REQUEST_HEADER).and_then(|value| value.to_str().ok()).map(str::to_owned) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if engine.inner.lock().faults.leaving {
        return leaving();
    }
    match engine.admit(&id, &body) {
        Ok(()) => engine.stream(id, 0),
        Err(status) => status.into_response(),
    }
}

fn leaving() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, [("x-leaving", "true")]).into_response()
}

async fn resume(State(engine): State<Engine>, Path(id): Path<String>, Query(query): Query<ResumeQuery>) -> Response {
    let known = engine.inner.lock().jobs.contains_key(&id);
    if !known {
        return StatusCode::NOT_FOUND.into_response();
    }
    engine.stream(id, query.from)
}

async fn cancel(State(engine): State<Engine>, Path(id): Path<String>) -> Response {
    let mut inner = engine.inner.lock();
    match inner.jobs.get_mut(&id) {
        Some(job) => {
            job.cancelled = true;
            Json(job.produced()).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn load(State(engine): State<Engine>) -> Response {
    let inner = &mut *engine.inner.lock();
    if inner.crashed {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let lag = Duration::from_millis(inner.faults.load_lag_ms);
    let old_enough = inner.reports.iter().rposition(|(at, _)| at.elapsed() >= lag);
    let report = old_enough.map(|index| inner.reports[index].1).unwrap_or_default();
    inner.reports.drain(..old_enough.unwrap_or_default());
    Json(report).into_response()
}

async fn produced(State(engine): State<Engine>) -> Json<BTreeMap<String, Produced>> {
    Json(engine.produced())
}

async fn order_faults(State(engine): State<Engine>, Json(faults): Json<Faults>) -> StatusCode {
    engine.set_faults(|current| *current = faults);
    StatusCode::NO_CONTENT
}

async fn cache_events(State(engine): State<Engine>, Query(query): Query<ResumeQuery>) -> Json<Vec<CacheChange>> {
    let inner = engine.inner.lock();
    let lag = Duration::from_millis(inner.faults.cache_lag_ms);
    // Whoever asks for more than there was knew an earlier run.
    let from = if query.from as u64 > inner.sequence { 0 } else { query.from as u64 };
    let due = inner.changes.iter().filter(|(at, change)| at.elapsed() >= lag && change.sequence >= from);
    let aged = |(at, change): &(Instant, CacheChange)| {
        let age_ms = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
        CacheChange { age_ms, ..change.clone() }
    };
    Json(due.map(aged).collect())
}

async fn models(State(engine): State<Engine>) -> Json<Option<ModelSpec>> {
    Json(engine.loaded())
}

async fn order_models(State(engine): State<Engine>, Json(order): Json<EngineOrder>) -> StatusCode {
    let mut inner = engine.inner.lock();
    if inner.faults.fenced && order.token < inner.token {
        return StatusCode::CONFLICT;
    }
    inner.token = inner.token.max(order.token);
    if inner.loaded.as_ref() == Some(&order.want) {
        return StatusCode::NO_CONTENT;
    }
    if inner.store.as_ref().is_some_and(|store| !store.take_load()) {
        return StatusCode::TOO_MANY_REQUESTS;
    }
    inner.loaded = Some(order.want.clone());
    inner.orders.push(order);
    StatusCode::NO_CONTENT
}
