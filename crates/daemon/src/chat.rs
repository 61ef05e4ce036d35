//! `POST /v1/chat/completions`: validates a chat request, reserves credit, relays it to an engine and answers the
//! caller.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::{Body, Bytes};
use axum::response::{IntoResponse, Response};
use coltsfootpick_core::backends::ServerListing;
use coltsfootpick_core::chat::ChatRequest;
use coltsfootpick_core::document::{QueueClass, ServiceKind};
use coltsfootpick_core::names::{IdempotencyKey, RecordId, ServiceName};
use coltsfootpick_core::quarantine::{Fingerprint, QuarantineStatus};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::units::Tokens;
use coltsfootpick_wire::stream_token::StreamToken;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, header};
use serde_json::{Map, Value, json};
use tokio::sync::mpsc;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

use crate::admission::AdmissionParams;
use crate::callers::{idempotency_key, parse_deadline};
use crate::credentials::Payer;
use crate::instance::Instance;
use crate::relay::{Relay, RelayEvent};
use crate::sse::{self, SseEvent};
use crate::streams::RelayGuard;
use crate::{credentials, credit, problem, suspects};

/// Capacity of the channel between the engine's stream and the caller's response, in chunks.
const RELAY_BUFFER_CHUNKS: usize = 64;

/// Prompt tokens that an engine prefills in the time of one decoding step.
const PREFILL_TOKENS_PER_STEP: u64 = 32;

/// Response header with the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Response header with the token that resumes the stream.
pub const RESUME_TOKEN_HEADER: &str = "x-resume-token";

/// Serves one chat request, streamed or whole.
pub async fn serve(instance: &Arc<Instance>, headers: &HeaderMap, body: &Bytes) -> Result<Response, Refusal> {
    let payer = credentials::authenticate_caller(instance, headers)?;
    let chat = ChatRequest::parse(body)?;
    let output = chat.output_cap(output_cap(&payer, &chat.model)?);
    let deadline = parse_deadline(&instance.settings, headers)?;
    let id = request_id(instance, &payer, headers)?;
    let bound = chat.prompt_bound() + output;
    let service = ServiceName::new(&chat.model);
    let admission = admission_params(&payer, &service, decode_steps(chat.prompt_bound(), output), deadline);
    let fingerprint = Fingerprint::of(&payer.budget, &service, body);
    check_repeat(instance, fingerprint)?;
    admission.check(instance)?;
    let credit = credit::reserve(instance, &payer.budget, bound, &id, deadline).await?;
    let permit = Some(admission.admit(instance).await?);
    let guard = RelayGuard::register(instance, &id);
    let grace = if chat.stream { instance.settings.resume_grace } else { Duration::ZERO };
    let relay = Relay {
        instance: Arc::clone(instance),
        service: service.clone(),
        id: id.clone(),
        body: engine_body(body, output)?,
        prompt: chat.prompt(),
        credit,
        permit,
        guard,
        fingerprint,
        grace,
        deadline,
    };
    let (sender, mut events) = mpsc::channel(RELAY_BUFFER_CHUNKS);
    instance.open.spawn(instance.abort.clone().run_until_cancelled_owned(relay.run(sender)));
    let server = wait_for_open(&mut events).await?;
    let mut response = match chat.stream {
        true => stream_response(Arc::clone(instance), 0, events),
        false => whole_response(&id, &chat.model, events).await?,
    };
    let token = StreamToken { id, budget: payer.budget, service, server: server.name, address: server.address, bound };
    set_stream_headers(instance, &mut response, &token);
    Ok(response)
}

/// Resumes the stream of the resume token `signed`, opened by this or another instance, after the caller's
/// `Last-Event-ID`.
pub async fn resume(instance: &Arc<Instance>, headers: &HeaderMap, signed: &str) -> Result<Response, Refusal> {
    let payer = credentials::authenticate_caller(instance, headers)?;
    let invalid_token = || Refusal::not_run(Code::BadRequest, "the resume token is not valid for this caller");
    let token = StreamToken::verify(signed, &instance.settings.secret).ok_or_else(invalid_token)?;
    if token.budget != payer.budget {
        return Err(invalid_token());
    }
    let from = next_event_number(headers)?;
    let deadline = parse_deadline(&instance.settings, headers)?;
    let credit = credit::reserve(instance, &token.budget, token.bound, &token.id, deadline).await?;
    instance.streams.supersede(&token.id);
    let relay = Relay {
        instance: Arc::clone(instance),
        service: token.service.clone(),
        id: token.id.clone(),
        body: Bytes::new(),
        prompt: String::new(),
        credit,
        permit: None,
        guard: RelayGuard::register(instance, &token.id),
        fingerprint: Fingerprint::of(&token.budget, &token.service, token.id.as_bytes()),
        grace: instance.settings.resume_grace,
        deadline,
    };
    let (sender, mut events) = mpsc::channel(RELAY_BUFFER_CHUNKS);
    let resumed = relay.resume_on(stream_server(instance, &token), from, sender);
    instance.open.spawn(instance.abort.clone().run_until_cancelled_owned(resumed));
    let first = events.recv().await;
    let mut response = match first {
        Some(RelayEvent::Opened(_)) => stream_response(Arc::clone(instance), from, events),
        Some(RelayEvent::End) => end_response(from),
        Some(RelayEvent::Failed(refusal)) => return Err(refusal),
        Some(RelayEvent::Chunk(_)) | None => return Err(no_answer()),
    };
    set_stream_headers(instance, &mut response, &token);
    Ok(response)
}

/// Refuses a quarantined request, and a retry within its back-off when the retry budget is spent.
fn check_repeat(instance: &Instance, fingerprint: Fingerprint) -> Result<(), Refusal> {
    let now = instance.deps.clock.now();
    if instance.suspects.status(fingerprint, now) == QuarantineStatus::Quarantined {
        return Err(suspects::refusal(false));
    }
    let admitted = instance.retries.lock().admit(fingerprint, now);
    admitted.map_err(|wait| Refusal::not_run(Code::Overloaded, "the same request failed just now").retry_after(wait))
}

/// Waits until the relay opened the stream and returns its server, or the refusal when no server opened it.
async fn wait_for_open(events: &mut mpsc::Receiver<RelayEvent>) -> Result<ServerListing, Refusal> {
    match events.recv().await {
        Some(RelayEvent::Opened(server)) => Ok(server),
        Some(RelayEvent::Failed(refusal)) => Err(refusal),
        _ => Err(no_answer()),
    }
}

fn no_answer() -> Refusal {
    Refusal::may_have_run(Code::BackendFailed, "the relay ended without an answer")
}

/// Returns the current list entry of the stream's server, or one built from the token when the server is no longer
/// listed at that address.
fn stream_server(instance: &Instance, token: &StreamToken) -> ServerListing {
    let backends = instance.board.backends.read();
    let current = backends.find(&token.service, &token.server).map(|server| server.listed.clone());
    current.filter(|listed| listed.address == token.address).unwrap_or_else(|| ServerListing {
        name: token.server.clone(),
        service: token.service.clone(),
        address: token.address,
        zone: instance.settings.zone.clone(),
        region: instance.settings.region.clone(),
        leaving: true,
    })
}

/// Parses `Last-Event-ID` and returns the number of the next event; 0 without the header.
fn next_event_number(headers: &HeaderMap) -> Result<u64, Refusal> {
    let bad_request = || Refusal::not_run(Code::BadRequest, "Last-Event-ID must be a whole number");
    match headers.get("last-event-id") {
        None => Ok(0),
        Some(value) => {
            let number: u64 = value.to_str().ok().and_then(|text| text.parse().ok()).ok_or_else(bad_request)?;
            number.checked_add(1).ok_or_else(bad_request)
        }
    }
}

/// Sets the response headers with the request id and the resume token.
fn set_stream_headers(instance: &Instance, response: &mut Response, token: &StreamToken) {
    let id = HeaderValue::from_str(&token.id).expect("a request id is a header value");
    let signed = HeaderValue::from_str(&token.sign(&instance.settings.secret)).expect("base64 is a header value");
    response.headers_mut().insert(REQUEST_ID_HEADER, id);
    response.headers_mut().insert(RESUME_TOKEN_HEADER, signed);
}

fn end_response(from: u64) -> Response {
    ([(header::CONTENT_TYPE, "text/event-stream")], sse::encode(from, "[DONE]")).into_response()
}

fn output_cap(payer: &Payer, model: &str) -> Result<Tokens, Refusal> {
    match payer.caller.document.services.get(&ServiceName::new(model)).map(|service| &service.kind) {
        Some(ServiceKind::Engine { max_output, .. }) => Ok(*max_output),
        _ => Err(Refusal::not_run(Code::UnknownService, "the environment has no such model")),
    }
}

/// Estimates the cost of a request in decoding steps; an engine prefills many prompt tokens in one step.
const fn decode_steps(prompt: Tokens, output: Tokens) -> u64 {
    output.0 + prompt.0.div_ceil(PREFILL_TOKENS_PER_STEP)
}

fn admission_params(payer: &Payer, service: &ServiceName, cost: u64, deadline: Instant) -> AdmissionParams {
    let class = payer.caller.document.services.get(service).map_or(QueueClass::Prompt, |service| service.class);
    AdmissionParams { service: service.clone(), account: payer.budget.clone(), class, cost, deadline }
}

/// Returns the id under which the request is billed: derived from the idempotency key, so that retries are billed
/// once, or random without a key.
fn request_id(instance: &Instance, payer: &Payer, headers: &HeaderMap) -> Result<RecordId, Refusal> {
    let key = idempotency_key(headers)?;
    Ok(key.map_or_else(|| instance.random_id(), |key| keyed_id(payer, &key)))
}

fn keyed_id(payer: &Payer, key: &IdempotencyKey) -> RecordId {
    let text = format!("{}\n{key}", payer.budget);
    RecordId::from(format!("{:032x}", xxh3_128(text.as_bytes())))
}

/// Rewrites the body for the engine: always a stream with usage, so that it can be resumed and billed.
fn engine_body(body: &[u8], output: Tokens) -> Result<Bytes, Refusal> {
    let bad_request = |error: serde_json::Error| Refusal::not_run(Code::BadRequest, error.to_string());
    let mut fields: Map<String, Value> = serde_json::from_slice(body).map_err(bad_request)?;
    fields.remove("max_completion_tokens");
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("max_tokens".to_owned(), json!(output.0));
    let options = json!({ "include_usage": true, "continuous_usage_stats": true });
    fields.insert("stream_options".to_owned(), options);
    Ok(Bytes::from(Value::Object(fields).to_string()))
}

/// Event stream to the caller, with the number of its next event.
struct CallerStream {
    instance: Arc<Instance>,
    events: mpsc::Receiver<RelayEvent>,
    number: u64,
    is_ended: bool,
}

fn stream_response(instance: Arc<Instance>, from: u64, events: mpsc::Receiver<RelayEvent>) -> Response {
    let caller_stream = CallerStream { instance, events, number: from, is_ended: false };
    let body = Body::from_stream(stream::unfold(caller_stream, next_frame));
    ([(header::CONTENT_TYPE, "text/event-stream")], body).into_response()
}

/// Encodes the next event for the caller; a stream that is cut short ends without `[DONE]`.
async fn next_frame(mut caller_stream: CallerStream) -> Option<(Result<Bytes, std::io::Error>, CallerStream)> {
    if caller_stream.is_ended {
        return None;
    }
    let frame = match caller_stream.events.recv().await {
        Some(RelayEvent::Chunk(SseEvent { number, data })) => {
            let number = number.unwrap_or(caller_stream.number);
            caller_stream.number = number + 1;
            return Some((Ok(sse::encode(number, &data)), caller_stream));
        }
        Some(RelayEvent::End) => Ok(sse::encode(caller_stream.number, "[DONE]")),
        Some(RelayEvent::Failed(refusal)) => {
            problem::note(&caller_stream.instance, &refusal);
            let error = json!({ "error": problem::body(&refusal) });
            Ok(sse::encode(caller_stream.number, &error.to_string()))
        }
        Some(RelayEvent::Opened(_)) | None => Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof)),
    };
    caller_stream.is_ended = true;
    Some((frame, caller_stream))
}

/// Collects the chunks into one response for a caller that did not request a stream.
async fn whole_response(
    id: &RecordId,
    model: &str,
    mut events: mpsc::Receiver<RelayEvent>,
) -> Result<Response, Refusal> {
    let mut content = String::new();
    let mut usage = Value::Null;
    let mut finish_reason = Value::Null;
    loop {
        match events.recv().await {
            Some(RelayEvent::Chunk(chunk)) => {
                let value: Value = serde_json::from_str(&chunk.data).unwrap_or_default();
                let choice = &value["choices"][0];
                content.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
                finish_reason = choice["finish_reason"].clone();
                usage = value["usage"].clone();
            }
            Some(RelayEvent::End) => break,
            Some(RelayEvent::Failed(refusal)) => return Err(refusal),
            Some(RelayEvent::Opened(_)) | None => return Err(no_answer()),
        }
    }
    let message = json!({ "role": "assistant", "content": content });
    let choice = json!({ "index": 0, "message": message, "finish_reason": finish_reason });
    let answer = json!({ "id": id, "object": "chat.completion", "model": model, "choices": [choice], "usage": usage });
    Ok(Json(answer).into_response())
}
