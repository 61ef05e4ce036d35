//! `POST /v1/chat/completions`: from the caller's body to its answer.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::{Body, Bytes};
use axum::response::{IntoResponse, Response};
use coltsfootpick_core::backends::Listed;
use coltsfootpick_core::chat::ChatRequest;
use coltsfootpick_core::document::{Priority, ServiceKind};
use coltsfootpick_core::names::{IdempotencyKey, RecordId, ServiceName};
use coltsfootpick_core::quarantine::{Fingerprint, Standing};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::units::Tokens;
use coltsfootpick_wire::token::StreamToken;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, header};
use serde_json::{Map, Value, json};
use tokio::sync::mpsc;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

use crate::admission::Entrance;
use crate::callers::{deadline, idempotency_key};
use crate::credentials::Payer;
use crate::instance::Instance;
use crate::relay::{Relay, RelayEvent};
use crate::sse::{self, SseEvent};
use crate::streams::StreamGuard;
use crate::{credentials, credit, problem, suspects};

/// Chunks that wait between the engine's connection and the caller's.
const CHUNKS_WAITING: usize = 64;

/// Prompt tokens that count as much work as one generated token.
const PREFILL_TOKENS: u64 = 32;

/// Header that tells the caller the request id.
pub const REQUEST_HEADER: &str = "x-request-id";

/// Header that carries the token with which the stream is resumed.
pub const TOKEN_HEADER: &str = "x-resume-token";

/// Serves one chat request.
pub async fn serve(instance: &Arc<Instance>, headers: &HeaderMap, body: &Bytes) -> Result<Response, Refusal> {
    let payer = credentials::caller(instance, headers)?;
    let chat = ChatRequest::parse(body)?;
    let output = chat.output_cap(output_cap(&payer, &chat.model)?);
    let until = deadline(&instance.settings, headers)?;
    let id = request_id(instance, &payer, headers)?;
    let bound = chat.prompt_bound() + output;
    let service = ServiceName::new(&chat.model);
    let entrance = entrance(&payer, &service, work(chat.prompt_bound(), output), until);
    let print = Fingerprint::of(&payer.budget, &service, body);
    check_repeat(instance, print)?;
    entrance.check(instance)?;
    let credit = credit::reserve(instance, &payer.budget, bound, &id, until).await?;
    let admitted = Some(entrance.enter(instance).await?);
    let guard = StreamGuard::register(instance, &id);
    let grace = if chat.stream { instance.settings.resume_grace } else { Duration::ZERO };
    let relay = Relay {
        instance: Arc::clone(instance),
        service: service.clone(),
        id: id.clone(),
        body: engine_body(body, output)?,
        prompt: chat.prompt(),
        credit,
        admitted,
        guard,
        print,
        grace,
        until,
    };
    let (sender, mut events) = mpsc::channel(CHUNKS_WAITING);
    instance.open.spawn(instance.abort.clone().run_until_cancelled_owned(relay.run(sender)));
    let server = opened(&mut events).await?;
    let mut response = match chat.stream {
        true => stream_response(Arc::clone(instance), 0, events),
        false => whole_response(&id, &chat.model, events).await?,
    };
    let token = StreamToken { id, budget: payer.budget, service, server: server.name, address: server.address, bound };
    name_stream(instance, &mut response, &token);
    Ok(response)
}

/// Goes on with a stream that this or another instance opened, after the event that the caller saw last.
pub async fn resume(instance: &Arc<Instance>, headers: &HeaderMap, text: &str) -> Result<Response, Refusal> {
    let payer = credentials::caller(instance, headers)?;
    let unknown = || Refusal::not_run(Code::BadRequest, "the resume token is not valid for this caller");
    let token = StreamToken::verify(text, &instance.settings.secret).ok_or_else(unknown)?;
    if token.budget != payer.budget {
        return Err(unknown());
    }
    let from = next_event(headers)?;
    let until = deadline(&instance.settings, headers)?;
    let credit = credit::reserve(instance, &token.budget, token.bound, &token.id, until).await?;
    instance.streams.supersede(&token.id);
    let relay = Relay {
        instance: Arc::clone(instance),
        service: token.service.clone(),
        id: token.id.clone(),
        body: Bytes::new(),
        prompt: String::new(),
        credit,
        admitted: None,
        guard: StreamGuard::register(instance, &token.id),
        print: Fingerprint::of(&token.budget, &token.service, token.id.as_bytes()),
        grace: instance.settings.resume_grace,
        until,
    };
    let (sender, mut events) = mpsc::channel(CHUNKS_WAITING);
    let resumed = relay.resume_on(server_of(instance, &token), from, sender);
    instance.open.spawn(instance.abort.clone().run_until_cancelled_owned(resumed));
    let first = events.recv().await;
    let mut response = match first {
        Some(RelayEvent::Opened(_)) => stream_response(Arc::clone(instance), from, events),
        Some(RelayEvent::End) => end_response(from),
        Some(RelayEvent::Failed(refusal)) => return Err(refusal),
        Some(RelayEvent::Chunk(_)) | None => return Err(no_answer()),
    };
    name_stream(instance, &mut response, &token);
    Ok(response)
}

/// Refuses a request that lost servers before, or that comes back before its back-off without a token.
fn check_repeat(instance: &Instance, print: Fingerprint) -> Result<(), Refusal> {
    let now = instance.deps.clock.now();
    if instance.suspects.standing(print, now) == Standing::Quarantined {
        return Err(suspects::refusal(false));
    }
    let arrived = instance.retries.lock().arrive(print, now);
    arrived.map_err(|wait| Refusal::not_run(Code::Overloaded, "the same request failed just now").retry_after(wait))
}

/// Server that the stream was opened on; a refusal when it was not.
async fn opened(events: &mut mpsc::Receiver<RelayEvent>) -> Result<Listed, Refusal> {
    match events.recv().await {
        Some(RelayEvent::Opened(server)) => Ok(server),
        Some(RelayEvent::Failed(refusal)) => Err(refusal),
        _ => Err(no_answer()),
    }
}

fn no_answer() -> Refusal {
    Refusal::may_have_run(Code::BackendFailed, "the relay ended without an answer")
}

/// Entry of the stream's server as listed now, or as it was when the token was made.
fn server_of(instance: &Instance, token: &StreamToken) -> Listed {
    let backends = instance.board.backends.read();
    let known = backends.find(&token.service, &token.server).map(|server| server.listed.clone());
    known.filter(|listed| listed.address == token.address).unwrap_or_else(|| Listed {
        name: token.server.clone(),
        service: token.service.clone(),
        address: token.address,
        zone: instance.settings.zone.clone(),
        region: instance.settings.region.clone(),
        leaving: true,
    })
}

/// Number of the event after the one that the caller saw last.
fn next_event(headers: &HeaderMap) -> Result<u64, Refusal> {
    let bad = || Refusal::not_run(Code::BadRequest, "Last-Event-ID must be a whole number");
    match headers.get("last-event-id") {
        None => Ok(0),
        Some(value) => {
            let number: u64 = value.to_str().ok().and_then(|text| text.parse().ok()).ok_or_else(bad)?;
            number.checked_add(1).ok_or_else(bad)
        }
    }
}

/// Tells the caller the request id and the token with which it can resume.
fn name_stream(instance: &Instance, response: &mut Response, token: &StreamToken) {
    let id = HeaderValue::from_str(&token.id).expect("a request id is a header value");
    let text = HeaderValue::from_str(&token.sign(&instance.settings.secret)).expect("base64 is a header value");
    response.headers_mut().insert(REQUEST_HEADER, id);
    response.headers_mut().insert(TOKEN_HEADER, text);
}

fn end_response(from: u64) -> Response {
    ([(header::CONTENT_TYPE, "text/event-stream")], sse::encode(from, "[DONE]")).into_response()
}

fn output_cap(payer: &Payer, model: &str) -> Result<Tokens, Refusal> {
    match payer.caller.document.services.get(&ServiceName::new(model)).map(|service| &service.kind) {
        Some(ServiceKind::Engine { output, .. }) => Ok(*output),
        _ => Err(Refusal::not_run(Code::UnknownService, "the environment has no such model")),
    }
}

/// Work of a request in decoding steps; a step takes in many prompt tokens at once.
const fn work(prompt: Tokens, output: Tokens) -> u64 {
    output.0 + prompt.0.div_ceil(PREFILL_TOKENS)
}

fn entrance(payer: &Payer, service: &ServiceName, cost: u64, until: Instant) -> Entrance {
    let class = payer.caller.document.services.get(service).map_or(Priority::Prompt, |service| service.priority);
    Entrance { service: service.clone(), account: payer.budget.clone(), class, cost, until }
}

/// Id under which the request is billed: the same for every retry that carries the same key.
fn request_id(instance: &Instance, payer: &Payer, headers: &HeaderMap) -> Result<RecordId, Refusal> {
    let key = idempotency_key(headers)?;
    Ok(key.map_or_else(|| instance.random_id(), |key| keyed_id(payer, &key)))
}

fn keyed_id(payer: &Payer, key: &IdempotencyKey) -> RecordId {
    let text = format!("{}\n{key}", payer.budget);
    RecordId::from(format!("{:032x}", xxh3_128(text.as_bytes())))
}

/// Body for the engine: always a stream with usage, so that it can be resumed and billed.
fn engine_body(body: &[u8], output: Tokens) -> Result<Bytes, Refusal> {
    let bad = |error: serde_json::Error| Refusal::not_run(Code::BadRequest, error.to_string());
    let mut fields: Map<String, Value> = serde_json::from_slice(body).map_err(bad)?;
    fields.remove("max_completion_tokens");
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("max_tokens".to_owned(), json!(output.0));
    let options = json!({ "include_usage": true, "continuous_usage_stats": true });
    fields.insert("stream_options".to_owned(), options);
    Ok(Bytes::from(Value::Object(fields).to_string()))
}

struct Outgoing {
    instance: Arc<Instance>,
    events: mpsc::Receiver<RelayEvent>,
    number: u64,
    is_over: bool,
}

fn stream_response(instance: Arc<Instance>, from: u64, events: mpsc::Receiver<RelayEvent>) -> Response {
    let outgoing = Outgoing { instance, events, number: from, is_over: false };
    let body = Body::from_stream(stream::unfold(outgoing, next_piece));
    ([(header::CONTENT_TYPE, "text/event-stream")], body).into_response()
}

/// Next piece of the caller's stream; a stream that is cut short ends without `[DONE]`.
async fn next_piece(mut outgoing: Outgoing) -> Option<(Result<Bytes, std::io::Error>, Outgoing)> {
    if outgoing.is_over {
        return None;
    }
    let piece = match outgoing.events.recv().await {
        Some(RelayEvent::Chunk(SseEvent { number, data })) => {
            let number = number.unwrap_or(outgoing.number);
            outgoing.number = number + 1;
            return Some((Ok(sse::encode(number, &data)), outgoing));
        }
        Some(RelayEvent::End) => Ok(sse::encode(outgoing.number, "[DONE]")),
        Some(RelayEvent::Failed(refusal)) => {
            problem::note(&outgoing.instance, &refusal);
            let error = json!({ "error": problem::body(&refusal) });
            Ok(sse::encode(outgoing.number, &error.to_string()))
        }
        Some(RelayEvent::Opened(_)) | None => Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof)),
    };
    outgoing.is_over = true;
    Some((piece, outgoing))
}

async fn whole_response(
    id: &RecordId,
    model: &str,
    mut events: mpsc::Receiver<RelayEvent>,
) -> Result<Response, Refusal> {
    let mut content = String::new();
    let mut usage = Value::Null;
    let mut finish = Value::Null;
    loop {
        match events.recv().await {
            Some(RelayEvent::Chunk(chunk)) => {
                let value: Value = serde_json::from_str(&chunk.data).unwrap_or_default();
                let choice = &value["choices"][0];
                content.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
                finish = choice["finish_reason"].clone();
                usage = value["usage"].clone();
            }
            Some(RelayEvent::End) => break,
            Some(RelayEvent::Failed(refusal)) => return Err(refusal),
            Some(RelayEvent::Opened(_)) | None => return Err(no_answer()),
        }
    }
    let message = json!({ "role": "assistant", "content": content });
    let choice = json!({ "index": 0, "message": message, "finish_reason": finish });
    let answer = json!({ "id": id, "object": "chat.completion", "model": model, "choices": [choice], "usage": usage });
    Ok(Json(answer).into_response())
}
