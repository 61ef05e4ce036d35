//! Hands a request that can get no credit here, because the log is out of reach, to a peer that announced some.
//!
//! The peer checks the caller's own credential again and bills from its own credit, so the hop mark grants
//! nothing and needs no MAC. See `docs/PEERS.md#forwarding`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::response::Response;
use coltsfootpick_core::names::{BudgetKey, InstanceName};
use coltsfootpick_core::refusal::{Code, Refusal, Run};
use futures_util::stream;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::Instant;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::callers::{DEADLINE_HEADER, KEY_HEADER, deadline};
use crate::chat::REQUEST_HEADER;
use crate::event;
use crate::events::Event;
use crate::http::{CallError, call, read_body, request};
use crate::instance::Instance;
use crate::{credentials, problem};

/// Header of a request that came from a peer and goes no further.
pub const FORWARDED_HEADER: &str = "x-coltsfootpick-from";

/// Peers that one request is handed to.
const PEERS_MAX: usize = 2;

/// Multiple of the liveness after which a forwarded answer counts as silent; the peer resumes within one.
const SILENCE_FACTOR: u32 = 3;

const REFUSAL_MAX_BYTES: usize = 64 << 10;

/// Headers of the caller that go with the request.
const SENT_HEADERS: [HeaderName; 3] =
    [header::AUTHORIZATION, header::CONTENT_TYPE, HeaderName::from_static(KEY_HEADER)];

/// Headers of the peer's answer that go to the caller.
const ANSWER_HEADERS: [HeaderName; 3] =
    [header::CONTENT_TYPE, header::RETRY_AFTER, HeaderName::from_static(REQUEST_HEADER)];

#[derive(Debug, Deserialize)]
struct Problem {
    #[serde(default)]
    code: String,
    #[serde(default)]
    run: String,
}

#[derive(Debug)]
struct Target {
    peer: InstanceName,
    address: SocketAddr,
}

/// Gives what was served, or asks peers when only credit was lacking and the log is out of reach.
pub async fn or_forward(
    instance: &Arc<Instance>,
    parts: &Parts,
    body: Bytes,
    served: Result<Response, Refusal>,
) -> Result<Response, Refusal> {
    match served {
        Err(refusal) if may_forward(instance, &parts.headers, &refusal) => {
            forward(instance, parts, body, refusal).await
        }
        served => served,
    }
}

fn may_forward(instance: &Instance, headers: &HeaderMap, refusal: &Refusal) -> bool {
    refusal.code == Code::CreditUnavailable
        && refusal.run == Run::NotRun
        && !headers.contains_key(FORWARDED_HEADER)
        && !instance.peers.is_log_reached()
}

async fn forward(instance: &Arc<Instance>, parts: &Parts, body: Bytes, refusal: Refusal) -> Result<Response, Refusal> {
    let payer = credentials::caller(instance, &parts.headers)?;
    let until = deadline(&instance.settings, &parts.headers)?;
    for target in targets(instance, &payer.budget) {
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        event!(Event::Forwarded, "budget={} peer={} path={}", payer.budget, target.peer, parts.uri.path());
        let mut question = request(parts.method.clone(), target.address, path, body.clone());
        fill_headers(instance, question.headers_mut(), &parts.headers, until);
        let left = until.saturating_duration_since(Instant::now());
        match call(&instance.deps.client, target.address, question, left).await {
            Ok(answer) if is_problem(answer.headers()) => {
                if let Some(response) = read_refusal(answer, left).await? {
                    return Ok(response);
                }
            }
            Ok(answer) => return Ok(streamed(instance, answer, until)),
            Err(CallError::NotSent(_)) => {}
            Err(error @ (CallError::NoAnswer(_) | CallError::Silent(_))) => {
                return Err(Refusal::may_have_run(Code::BackendFailed, format!("the peer gave no answer: {error}")));
            }
        }
    }
    Err(refusal)
}

/// Peers that announced credit of `key`, those with most of it first.
fn targets(instance: &Instance, key: &BudgetKey) -> Vec<Target> {
    let mut rich: Vec<_> = instance
        .peers
        .links()
        .into_iter()
        .filter_map(|link| {
            let state = link.state.lock();
            let tokens = state.credit.get(key).copied().filter(|_| !state.draining)?;
            Some((tokens, Target { peer: link.peer.clone(), address: link.callers }))
        })
        .collect();
    rich.sort_by_key(|(tokens, _)| std::cmp::Reverse(*tokens));
    rich.into_iter().take(PEERS_MAX).map(|(_, target)| target).collect()
}

fn fill_headers(instance: &Instance, headers: &mut HeaderMap, given: &HeaderMap, until: Instant) {
    for name in SENT_HEADERS {
        if let Some(value) = given.get(&name) {
            headers.insert(name, value.clone());
        }
    }
    let left = until.saturating_duration_since(Instant::now()).as_millis();
    headers.insert(DEADLINE_HEADER, HeaderValue::from(u64::try_from(left).unwrap_or(u64::MAX).max(1)));
    let name = HeaderValue::from_str(&instance.settings.name).expect("an instance name is a header value");
    headers.insert(FORWARDED_HEADER, name);
}

fn is_problem(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_TYPE).is_some_and(|value| value == problem::CONTENT_TYPE)
}

/// The peer's refusal for the caller; none when the peer did not run the request for want of credit or room.
async fn read_refusal(answer: http::Response<Incoming>, left: Duration) -> Result<Option<Response>, Refusal> {
    let (parts, body) = answer.into_parts();
    let body = read_body(body, REFUSAL_MAX_BYTES, left)
        .await
        .map_err(|error| Refusal::may_have_run(Code::BackendFailed, format!("the peer's refusal: {error}")))?;
    let problem: Option<Problem> = serde_json::from_slice(&body).ok();
    let lacking = [Code::CreditUnavailable, Code::Draining, Code::Overloaded].map(|code| code.to_string());
    let is_lacking =
        problem.is_some_and(|problem| problem.run == Run::NotRun.to_string() && lacking.contains(&problem.code));
    if is_lacking {
        return Ok(None);
    }
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = parts.status;
    copy_headers(response.headers_mut(), &parts.headers);
    Ok(Some(response))
}

fn copy_headers(to: &mut HeaderMap, from: &HeaderMap) {
    for name in ANSWER_HEADERS {
        if let Some(value) = from.get(&name) {
            to.insert(name, value.clone());
        }
    }
}

struct Passing {
    body: Incoming,
    until: Instant,
    silence: Duration,
    /// Keeps a planned stop waiting for the answer's end.
    _open: TaskTrackerToken,
}

fn streamed(instance: &Instance, answer: http::Response<Incoming>, until: Instant) -> Response {
    let (parts, body) = answer.into_parts();
    let silence = instance.settings.liveness_timeout * SILENCE_FACTOR;
    let passing = Passing { body, until, silence, _open: instance.open.token() };
    let mut response = Response::new(Body::from_stream(stream::unfold(Some(passing), next_piece)));
    *response.status_mut() = parts.status;
    copy_headers(response.headers_mut(), &parts.headers);
    response
}

/// Next piece of the peer's answer; a silent one ends with an error, so that the caller sees it cut short.
async fn next_piece(passing: Option<Passing>) -> Option<(Result<Bytes, std::io::Error>, Option<Passing>)> {
    let mut passing = passing?;
    let limit = passing.until.min(Instant::now() + passing.silence);
    match tokio::time::timeout_at(limit, passing.body.frame()).await {
        Ok(None) => None,
        Ok(Some(Ok(frame))) => Some((Ok(frame.into_data().unwrap_or_default()), Some(passing))),
        Ok(Some(Err(error))) => Some((Err(std::io::Error::other(error)), None)),
        Err(_) => Some((Err(std::io::Error::from(std::io::ErrorKind::TimedOut)), None)),
    }
}
