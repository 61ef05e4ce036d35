//! Forwards a request that lacks credit while the log is unreachable to a peer that announced credit.
//!
//! The peer authenticates the caller's credential again and bills its own credit, so the forwarding header grants
//! nothing and needs no MAC. See `docs/PEERS.md#forwarding`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::response::Response;
use coltsfootpick_core::names::{BudgetKey, InstanceName};
use coltsfootpick_core::refusal::{Code, Refusal, RunStatus};
use futures_util::stream;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::Instant;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::callers::{DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, parse_deadline};
use crate::chat::REQUEST_ID_HEADER;
use crate::event;
use crate::events::Event;
use crate::http::{CallError, call, read_body, request};
use crate::instance::Instance;
use crate::{credentials, problem};

/// Header that marks a forwarded request; such a request is not forwarded again.
pub const FORWARDED_HEADER: &str = "x-coltsfootpick-from";

/// Most peers that one request is forwarded to.
const PEERS_MAX: usize = 2;

/// Multiple of the liveness timeout after which a forwarded answer is cut off; the peer itself resumes a silent
/// stream after one timeout.
const SILENCE_TIMEOUT_FACTOR: u32 = 3;

const REFUSAL_MAX_BYTES: usize = 64 << 10;

/// Request headers that are forwarded to the peer.
const REQUEST_HEADERS: [HeaderName; 3] =
    [header::AUTHORIZATION, header::CONTENT_TYPE, HeaderName::from_static(IDEMPOTENCY_KEY_HEADER)];

/// Response headers that are passed on to the caller.
const RESPONSE_HEADERS: [HeaderName; 3] =
    [header::CONTENT_TYPE, header::RETRY_AFTER, HeaderName::from_static(REQUEST_ID_HEADER)];

/// Fields of a peer's refusal, a problem document.
#[derive(Debug, Deserialize)]
struct Problem {
    #[serde(default)]
    code: String,
    #[serde(default)]
    run: String,
}

#[derive(Debug)]
struct ForwardTarget {
    peer: InstanceName,
    address: SocketAddr,
}

/// Returns the local result, or forwards the request if it was refused only for lack of credit while the log is
/// unreachable.
pub async fn forward_unfunded(
    instance: &Arc<Instance>,
    parts: &Parts,
    body: Bytes,
    result: Result<Response, Refusal>,
) -> Result<Response, Refusal> {
    match result {
        Err(refusal) if may_forward(instance, &parts.headers, &refusal) => {
            forward(instance, parts, body, refusal).await
        }
        result => result,
    }
}

fn may_forward(instance: &Instance, headers: &HeaderMap, refusal: &Refusal) -> bool {
    refusal.code == Code::CreditUnavailable
        && refusal.run == RunStatus::NotRun
        && !headers.contains_key(FORWARDED_HEADER)
        && !instance.peers.is_log_reachable()
}

async fn forward(instance: &Arc<Instance>, parts: &Parts, body: Bytes, refusal: Refusal) -> Result<Response, Refusal> {
    let payer = credentials::authenticate_caller(instance, &parts.headers)?;
    let deadline = parse_deadline(&instance.settings, &parts.headers)?;
    for target in targets(instance, &payer.budget) {
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        event!(Event::Forwarded, "budget={} peer={} path={}", payer.budget, target.peer, parts.uri.path());
        let mut request = request(parts.method.clone(), target.address, path, body.clone());
        set_headers(instance, request.headers_mut(), &parts.headers, deadline);
        let remaining = deadline.saturating_duration_since(Instant::now());
        match call(&instance.deps.client, target.address, request, remaining).await {
            Ok(answer) if is_problem(answer.headers()) => {
                if let Some(response) = read_refusal(answer, remaining).await? {
                    return Ok(response);
                }
            }
            Ok(answer) => return Ok(stream_answer(instance, answer, deadline)),
            Err(CallError::NotSent(_)) => {}
            Err(error @ (CallError::NoAnswer(_) | CallError::Silent(_))) => {
                return Err(Refusal::may_have_run(Code::BackendFailed, format!("the peer gave no answer: {error}")));
            }
        }
    }
    Err(refusal)
}

/// Returns the peers that announced credit of `key`, largest credit first.
fn targets(instance: &Instance, key: &BudgetKey) -> Vec<ForwardTarget> {
    let mut candidates: Vec<_> = instance
        .peers
        .links()
        .into_iter()
        .filter_map(|link| {
            let state = link.state.lock();
            let tokens = state.credit.get(key).copied().filter(|_| !state.draining)?;
            Some((tokens, ForwardTarget { peer: link.peer.clone(), address: link.caller_address }))
        })
        .collect();
    candidates.sort_by_key(|(tokens, _)| std::cmp::Reverse(*tokens));
    candidates.into_iter().take(PEERS_MAX).map(|(_, target)| target).collect()
}

fn set_headers(instance: &Instance, headers: &mut HeaderMap, original: &HeaderMap, deadline: Instant) {
    for name in REQUEST_HEADERS {
        if let Some(value) = original.get(&name) {
            headers.insert(name, value.clone());
        }
    }
    let remaining = deadline.saturating_duration_since(Instant::now()).as_millis();
    headers.insert(DEADLINE_HEADER, HeaderValue::from(u64::try_from(remaining).unwrap_or(u64::MAX).max(1)));
    let name = HeaderValue::from_str(&instance.settings.name).expect("an instance name is a header value");
    headers.insert(FORWARDED_HEADER, name);
}

fn is_problem(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_TYPE).is_some_and(|value| value == problem::CONTENT_TYPE)
}

/// Returns the peer's refusal for the caller, or `None` if the peer did not run the request for lack of credit or
/// capacity, so that another peer may be tried.
async fn read_refusal(answer: http::Response<Incoming>, remaining: Duration) -> Result<Option<Response>, Refusal> {
    let (parts, body) = answer.into_parts();
    let body = read_body(body, REFUSAL_MAX_BYTES, remaining)
        .await
        .map_err(|error| Refusal::may_have_run(Code::BackendFailed, format!("the peer's refusal: {error}")))?;
    let problem: Option<Problem> = serde_json::from_slice(&body).ok();
    let retryable = [Code::CreditUnavailable, Code::Draining, Code::Overloaded].map(|code| code.to_string());
    let is_retryable = problem
        .is_some_and(|problem| problem.run == RunStatus::NotRun.to_string() && retryable.contains(&problem.code));
    if is_retryable {
        return Ok(None);
    }
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = parts.status;
    copy_headers(response.headers_mut(), &parts.headers);
    Ok(Some(response))
}

fn copy_headers(to: &mut HeaderMap, from: &HeaderMap) {
    for name in RESPONSE_HEADERS {
        if let Some(value) = from.get(&name) {
            to.insert(name, value.clone());
        }
    }
}

/// Body of a peer's answer, streamed to the caller.
struct ForwardedBody {
    body: Incoming,
    deadline: Instant,
    silence_timeout: Duration,
    /// Makes a planned stop wait for the end of the answer.
    _open: TaskTrackerToken,
}

fn stream_answer(instance: &Instance, answer: http::Response<Incoming>, deadline: Instant) -> Response {
    let (parts, body) = answer.into_parts();
    let silence_timeout = instance.settings.liveness_timeout * SILENCE_TIMEOUT_FACTOR;
    let forwarded = ForwardedBody { body, deadline, silence_timeout, _open: instance.open.token() };
    let mut response = Response::new(Body::from_stream(stream::unfold(Some(forwarded), next_frame)));
    *response.status_mut() = parts.status;
    copy_headers(response.headers_mut(), &parts.headers);
    response
}

/// Reads the next part of the peer's answer; silence ends it with an error, so that the caller sees it cut short.
async fn next_frame(
    forwarded: Option<ForwardedBody>,
) -> Option<(Result<Bytes, std::io::Error>, Option<ForwardedBody>)> {
    let mut forwarded = forwarded?;
    let deadline = forwarded.deadline.min(Instant::now() + forwarded.silence_timeout);
    match tokio::time::timeout_at(deadline, forwarded.body.frame()).await {
        Ok(None) => None,
        Ok(Some(Ok(frame))) => Some((Ok(frame.into_data().unwrap_or_default()), Some(forwarded))),
        Ok(Some(Err(error))) => Some((Err(std::io::Error::other(error)), None)),
        Err(_) => Some((Err(std::io::Error::from(std::io::ErrorKind::TimedOut)), None)),
    }
}
