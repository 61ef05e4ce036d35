//! Fake model engine with continuous batching, a prefix cache, resumable streams and configurable faults.

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

/// Header with the request id, by which a request is resumed, cancelled and accounted for.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

const CACHE_EVENTS_MAX: usize = 256;
const BYTES_PER_TOKEN: usize = 4;

/// Capacity and speed of the engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// Maximum number of requests in the batch.
    pub batch_size: usize,
    /// Duration of one decoding step.
    pub step_time: Duration,
    /// Maximum number of prompt tokens that one step processes.
    pub prefill_tokens: usize,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self { batch_size: 8, step_time: Duration::from_millis(5), prefill_tokens: 512, cache_blocks: 4_096 }
    }
}

/// Active faults, and the body of `POST /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Sends no output, while connections stay open.
    pub silent: bool,
    /// Text that crashes the engine when a prompt contains it, so that all streams break and all calls fail; empty for
    /// none.
    pub crash_on: String,
    /// Answers new requests with this HTTP status; 0 for none.
    pub status: u16,
    /// Delay until a change of the load is visible in load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Refuses new requests with status 503 and the header `x-leaving`.
    pub leaving: bool,
    /// Time added to every decoding step, in milliseconds.
    pub slow_ms: u64,
    /// Delay until a cache event is visible, in milliseconds.
    pub cache_lag_ms: u64,
    /// Refuses orders whose fencing token is older than the newest token seen.
    pub fenced: bool,
}

/// Load report of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait for a place in the batch.
    pub waiting: usize,
}

#[derive(Debug)]
struct Job {
    prefill_left: usize,
    prompt_tokens: usize,
    cached: usize,
    max_tokens: usize,
    tokens: Vec<String>,
    cancelled: bool,
}

impl Job {
    fn is_done(&self) -> bool {
        self.cancelled || self.tokens.len() >= self.max_tokens
    }
}

#[derive(Debug, Default)]
struct EngineState {
    jobs: BTreeMap<String, Job>,
    queue: VecDeque<String>,
    batch: Vec<String>,
    cache: VecDeque<BlockHash>,
    cache_changes: VecDeque<(Instant, CacheChange)>,
    next_sequence: u64,
    loaded: Option<ModelSpec>,
    fencing_token: u64,
    orders: Vec<EngineOrder>,
    weight_store: Option<Platform>,
    faults: Faults,
    reports: VecDeque<(Instant, EngineLoad)>,
    calls: u64,
    crashed: bool,
}

/// Fake model engine; its clones share one state.
#[derive(Clone, Debug)]
pub struct Engine {
    config: EngineConfig,
    state: Arc<Mutex<EngineState>>,
    /// Notified after every step.
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

/// Tokens of one request, as the engine counts them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: usize,
    /// Generated tokens.
    pub completion: usize,
    /// Prompt tokens found in the prefix cache.
    pub cached: usize,
}

impl Engine {
    /// Creates an engine and starts its batching loop.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start(config: EngineConfig) -> Self {
        let engine = Self { config, state: Arc::default(), stepped: Arc::default() };
        tokio::spawn(engine.clone().run());
        engine
    }

    /// HTTP routes of the engine.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(chat))
            .route("/v1/streams/{id}", get(resume).delete(cancel))
            .route("/load", get(load))
            .route("/cache-events", get(cache_events))
            .route("/models", get(models))
            .route("/orders", post(order_models))
            .route("/produced", get(produced))
            .route("/faults", post(post_faults))
            .with_state(self.clone())
    }

    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.lock().faults);
    }

    /// Makes model loads use the weight store of `platform`, which limits their rate.
    pub fn use_weight_store(&self, platform: Platform) {
        self.state.lock().weight_store = Some(platform);
    }

    /// Loaded model, if any.
    pub fn loaded(&self) -> Option<ModelSpec> {
        self.state.lock().loaded.clone()
    }

    /// Orders that loaded a model so far.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.state.lock().orders.clone()
    }

    /// Token usage of every request so far, by request id.
    pub fn request_usage(&self) -> BTreeMap<String, TokenUsage> {
        let state = self.state.lock();
        state.jobs.iter().map(|(id, job)| (id.clone(), job.usage())).collect()
    }

    /// Number of chat calls so far; calls refused while the engine is leaving do not count.
    pub fn call_count(&self) -> u64 {
        self.state.lock().calls
    }

    /// Returns whether a prompt has crashed the engine.
    pub fn is_crashed(&self) -> bool {
        self.state.lock().crashed
    }

    async fn run(self) {
        loop {
            let delay = Duration::from_millis(self.state.lock().faults.slow_ms);
            tokio::time::sleep(self.config.step_time + delay).await;
            self.step();
            self.stepped.notify_waiters();
        }
    }

    fn step(&self) {
        let state = &mut *self.state.lock();
        if state.crashed {
            return;
        }
        let jobs = &state.jobs;
        state.batch.retain(|id| jobs.get(id).is_some_and(|job| !job.is_done()));
        state.queue.retain(|id| jobs.get(id).is_some_and(|job| !job.is_done()));
        while state.batch.len() < self.config.batch_size {
            let Some(id) = state.queue.pop_front() else { break };
            state.batch.push(id);
        }
        let mut prefill_budget = self.config.prefill_tokens;
        for id in &state.batch {
            let Some(job) = state.jobs.get_mut(id) else { continue };
            let prefilled = job.prefill_left.min(prefill_budget);
            job.prefill_left -= prefilled;
            prefill_budget -= prefilled;
            if job.prefill_left == 0 {
                job.tokens.push(token(id, job.tokens.len()));
            }
        }
        let load = EngineLoad { running: state.batch.len(), waiting: state.queue.len() };
        state.reports.push_back((Instant::now(), load));
    }

    fn admit(&self, id: &str, body: &ChatBody) -> Result<(), StatusCode> {
        let prompt: String =
            body.messages.iter().flat_map(|message| [message.role.as_str(), "\n", &message.content, "\n"]).collect();
        let state = &mut *self.state.lock();
        state.calls += 1;
        if let Ok(status) = StatusCode::from_u16(state.faults.status) {
            return Err(status);
        }
        if state.crashed {
            return Err(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if !state.faults.crash_on.is_empty() && prompt.contains(&state.faults.crash_on) {
            state.crashed = true;
            return Ok(());
        }
        if state.jobs.contains_key(id) {
            return Ok(());
        }
        let cached = cache_prompt(state, &prompt, self.config.cache_blocks);
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN);
        let prefill_left = prompt_tokens.saturating_sub(cached).max(1);
        let max_tokens = body.max_tokens.unwrap_or(16);
        let job = Job { prefill_left, prompt_tokens, cached, max_tokens, tokens: Vec::new(), cancelled: false };
        state.jobs.insert(id.to_owned(), job);
        state.queue.push_back(id.to_owned());
        Ok(())
    }

    fn stream(self, id: String, from: usize) -> Response {
        let body = Body::from_stream(stream::unfold((self, id, from), next_chunk));
        ([(header::CONTENT_TYPE, "text/event-stream")], body).into_response()
    }
}

impl Job {
    fn usage(&self) -> TokenUsage {
        TokenUsage { prompt: self.prompt_tokens, completion: self.tokens.len(), cached: self.cached }
    }
}

/// Text of the token at `index` of a request's answer, which is the same on every engine.
pub fn token(id: &str, index: usize) -> String {
    format!("{:04x}.{index} ", xxh3_64(id.as_bytes()) & 0xffff)
}

fn cache_prompt(state: &mut EngineState, prompt: &str, max_blocks: usize) -> usize {
    let blocks = block_hashes(prompt);
    let hits = blocks.iter().take_while(|block| state.cache.contains(block)).count();
    state.cache.retain(|block| !blocks.contains(block));
    // Adds the last block first: eviction removes the oldest block first and so shortens prefixes from their end.
    state.cache.extend(blocks.iter().rev());
    let excess = state.cache.len().saturating_sub(max_blocks);
    let evicted: Vec<BlockHash> = state.cache.drain(..excess).collect();
    let numbers = |blocks: &[BlockHash]| blocks.iter().map(|block| block.0).collect();
    let (stored, evicted) = (numbers(&blocks[hits..]), numbers(&evicted));
    state
        .cache_changes
        .push_back((Instant::now(), CacheChange { sequence: state.next_sequence, age_ms: 0, stored, evicted }));
    state.next_sequence += 1;
    if state.cache_changes.len() > CACHE_EVENTS_MAX {
        state.cache_changes.pop_front();
    }
    hits * PREFIX_BLOCK_BYTES / BYTES_PER_TOKEN
}

type StreamPosition = (Engine, String, usize);

enum NextChunk {
    Ready(Bytes),
    Pending,
    End,
    Broken,
}

async fn next_chunk((engine, id, from): StreamPosition) -> Option<(Result<Bytes, std::io::Error>, StreamPosition)> {
    let stepped = Arc::clone(&engine.stepped);
    loop {
        let next_step = stepped.notified();
        match chunk_at(&engine, &id, from) {
            NextChunk::Ready(bytes) => return Some((Ok(bytes), (engine, id, from + 1))),
            NextChunk::Pending => next_step.await,
            NextChunk::End => return None,
            NextChunk::Broken => {
                let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
                return Some((Err(reset), (engine, id, from)));
            }
        }
    }
}

fn chunk_at(engine: &Engine, id: &str, from: usize) -> NextChunk {
    let state = engine.state.lock();
    match state.jobs.get(id) {
        _ if state.crashed => NextChunk::Broken,
        None => NextChunk::End,
        Some(_) if state.faults.silent => NextChunk::Pending,
        Some(job) if from > job.max_tokens => NextChunk::End,
        Some(job) if from == job.max_tokens => NextChunk::Ready(sse::event(from, "[DONE]")),
        Some(job) => match job.tokens.get(from) {
            Some(text) => NextChunk::Ready(sse::event(from, &chunk_json(id, job, from, text))),
            None if job.cancelled => NextChunk::End,
            None => NextChunk::Pending,
        },
    }
}

fn chunk_json(id: &str, job: &Job, index: usize, text: &str) -> String {
    let finish = (index + 1 == job.max_tokens).then_some("length");
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
    let Some(id) = headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok()).map(str::to_owned) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if engine.state.lock().faults.leaving {
        return leaving_response();
    }
    match engine.admit(&id, &body) {
        Ok(()) => engine.stream(id, 0),
        Err(status) => status.into_response(),
    }
}

fn leaving_response() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, [("x-leaving", "true")]).into_response()
}

async fn resume(State(engine): State<Engine>, Path(id): Path<String>, Query(query): Query<ResumeQuery>) -> Response {
    let is_known = engine.state.lock().jobs.contains_key(&id);
    if !is_known {
        return StatusCode::NOT_FOUND.into_response();
    }
    engine.stream(id, query.from)
}

async fn cancel(State(engine): State<Engine>, Path(id): Path<String>) -> Response {
    let mut state = engine.state.lock();
    match state.jobs.get_mut(&id) {
        Some(job) => {
            job.cancelled = true;
            Json(job.usage()).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn load(State(engine): State<Engine>) -> Response {
    let state = &mut *engine.state.lock();
    if state.crashed {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let lag = Duration::from_millis(state.faults.load_lag_ms);
    let old_enough = state.reports.iter().rposition(|(at, _)| at.elapsed() >= lag);
    let report = old_enough.map(|index| state.reports[index].1).unwrap_or_default();
    state.reports.drain(..old_enough.unwrap_or_default());
    Json(report).into_response()
}

async fn produced(State(engine): State<Engine>) -> Json<BTreeMap<String, TokenUsage>> {
    Json(engine.request_usage())
}

async fn post_faults(State(engine): State<Engine>, Json(faults): Json<Faults>) -> StatusCode {
    engine.set_faults(|current| *current = faults);
    StatusCode::NO_CONTENT
}

async fn cache_events(State(engine): State<Engine>, Query(query): Query<ResumeQuery>) -> Json<Vec<CacheChange>> {
    let state = engine.state.lock();
    let lag = Duration::from_millis(state.faults.cache_lag_ms);
    // A client that asks for an event beyond the newest one has read events of an earlier run of the engine. It gets
    // all events of this run.
    let from = if query.from as u64 > state.next_sequence { 0 } else { query.from as u64 };
    let due = state.cache_changes.iter().filter(|(at, change)| at.elapsed() >= lag && change.sequence >= from);
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
    let mut state = engine.state.lock();
    if state.faults.fenced && order.token < state.fencing_token {
        return StatusCode::CONFLICT;
    }
    state.fencing_token = state.fencing_token.max(order.token);
    if state.loaded.as_ref() == Some(&order.want) {
        return StatusCode::NO_CONTENT;
    }
    if state.weight_store.as_ref().is_some_and(|store| !store.try_load()) {
        return StatusCode::TOO_MANY_REQUESTS;
    }
    state.loaded = Some(order.want.clone());
    state.orders.push(order);
    StatusCode::NO_CONTENT
}
