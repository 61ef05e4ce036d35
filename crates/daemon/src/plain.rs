//! `/v1/services/{service}/{path}`: calls of plain services, repeatable and at most once.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::response::Response;
use coltsfootpick_core::admission::QUANTUM_COST;
use coltsfootpick_core::backends::Listed;
use coltsfootpick_core::document::{Priority, ServiceKind};
use coltsfootpick_core::names::{BackendServerName, BudgetKey, IdempotencyKey, RecordId, ServiceName};
use coltsfootpick_core::quarantine::Fingerprint;
use coltsfootpick_core::record::AttemptKey;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::retry::BACKOFF_MIN;
use coltsfootpick_core::units::Tokens;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use tokio::time::Instant;

use crate::admission::Entrance;
use crate::at_most_once::at_most_once;
use crate::callers::{deadline, idempotency_key};
use crate::credit::Credit;
use crate::event;
use crate::events::Event;
use crate::http::{CallError, HttpClient, call, read_body, request};
use crate::instance::Instance;
use crate::load::OpenDispatch;
use crate::{choose, credentials, credit, peer_gossip};

/// Servers that a repeatable call is tried on.
const SERVERS_MAX: usize = 2;

/// Call as the caller sent it.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Service asked for.
    pub service: ServiceName,
    /// Path below the service, without a leading slash.
    pub path: String,
    /// Method.
    pub method: Method,
    /// Body.
    pub body: Bytes,
    /// Content type of the body.
    pub content: Option<HeaderValue>,
    /// Caller's key.
    pub key: Option<IdempotencyKey>,
    /// Moment by which the answer must be there.
    pub until: Instant,
}

/// What the document says of a call.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Price of the call.
    pub price: Tokens,
    /// Path that tells the status of an earlier call by its key.
    pub status: Option<String>,
    /// What the call asks admission for.
    pub entrance: Entrance,
}

/// Answer of the application.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
}

impl Answer {
    fn into_response(self) -> Response {
        let mut response = Response::new(Body::from(self.body));
        *response.status_mut() = self.status;
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }
}

/// Serves one call.
pub async fn serve(
    instance: &Arc<Instance>,
    service: ServiceName,
    path: String,
    method: Method,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Response, Refusal> {
    let payer = credentials::caller(instance, headers)?;
    let known = payer.caller.document.services.get(&service).map(|service| service.kind.clone());
    let class = payer.caller.document.services.get(&service).map_or(Priority::Prompt, |service| service.priority);
    let Some(ServiceKind::Plain { price, idempotent, status }) = known else {
        return Err(Refusal::not_run(Code::UnknownService, "the environment has no such service"));
    };
    let until = deadline(&instance.settings, headers)?;
    let key = idempotency_key(headers)?;
    let content = headers.get(header::CONTENT_TYPE).cloned();
    let entrance =
        Entrance { service: service.clone(), account: payer.budget.clone(), class, cost: QUANTUM_COST, until };
    let terms = Terms { price, status, entrance };
    let call = PlainCall { service, path, method, body, content, key, until };
    let first = call.path.split('/').next().unwrap_or_default();
    if idempotent.contains(first) {
        return repeatable(instance, &call, &payer.budget, &terms).await.map(Answer::into_response);
    }
    let Some(key) = call.key.clone() else {
        return Err(Refusal::not_run(Code::KeyRequired, "a call that must not repeat needs an Idempotency-Key"));
    };
    let attempt = AttemptKey { budget: payer.budget, key };
    at_most_once(instance, &call, &attempt, &terms).await.map(Answer::into_response)
}

/// Reserves the price of a call; a free call needs no credit.
pub async fn reserve(
    instance: &Arc<Instance>,
    budget: &BudgetKey,
    price: Tokens,
    id: &RecordId,
    until: Instant,
) -> Result<Option<Credit>, Refusal> {
    match price {
        Tokens::ZERO => Ok(None),
        price => credit::reserve(instance, budget, price, id, until).await.map(Some),
    }
}

/// Bills a call that ran or may have run.
pub fn bill(credit: Option<Credit>, price: Tokens) {
    if let Some(mut credit) = credit {
        credit.set_used(price);
    }
}

async fn repeatable(
    instance: &Arc<Instance>,
    call: &PlainCall,
    budget: &BudgetKey,
    terms: &Terms,
) -> Result<Answer, Refusal> {
    let print = fingerprint(call, budget);
    check_repeat(instance, print)?;
    terms.entrance.check(instance)?;
    let credit = reserve(instance, budget, terms.price, &instance.random_id(), call.until).await?;
    let mut admitted = terms.entrance.enter(instance).await?;
    let answer = try_servers(instance, call, print).await?;
    admitted.mark_whole();
    bill(credit, terms.price);
    Ok(answer)
}

/// Tries a call that may repeat on other servers, as far as the retry budget goes.
async fn try_servers(instance: &Arc<Instance>, call: &PlainCall, print: Fingerprint) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let mut last = String::from("no backend server is listed");
    let mut has_run = false;
    let mut last_server = None;
    instance.retries.lock().first();
    while tried.len() < SERVERS_MAX {
        // A repeat may go to the only server again, on a new connection.
        let Some(server) = choose(instance, call, &tried).or_else(|| last_server.take()) else { break };
        if has_run && !instance.retries.lock().take() {
            break;
        }
        let client = if has_run { &instance.unpooled } else { &instance.deps.client };
        let counter = if has_run { &instance.metrics.repeats } else { &instance.metrics.firsts };
        counter.inc();
        tried.push(server.name.clone());
        match dispatch(instance, client, call, &server, instance.settings.liveness_timeout).await {
            Ok(answer) if answer.status.is_server_error() => {
                has_run = true;
                last = format!("status {}", answer.status);
            }
            Ok(answer) => {
                instance.retries.lock().answer(print);
                return Ok(answer);
            }
            Err(error) => {
                last = error.to_string();
                if !matches!(error, CallError::NotSent(_)) {
                    has_run = true;
                    last_server = Some(server.clone());
                }
            }
        }
        event!(Event::ServerFailed, "service={} server={} reason={last:?}", call.service, server.name);
    }
    let (retries, now) = (&instance.retries, instance.deps.clock.now());
    Err(match has_run {
        true => Refusal::may_have_run(Code::NoBackendServer, last).retry_after(retries.lock().fail(print, now)),
        false => Refusal::not_run(Code::NoBackendServer, last).retry_after(BACKOFF_MIN),
    })
}

fn fingerprint(call: &PlainCall, budget: &BudgetKey) -> Fingerprint {
    let head = format!("{} {}\n", call.method, call.path);
    Fingerprint::of(budget, &call.service, &[head.as_bytes(), &call.body].concat())
}

/// Refuses a call that comes back before its back-off without a token.
fn check_repeat(instance: &Instance, print: Fingerprint) -> Result<(), Refusal> {
    let arrived = instance.retries.lock().arrive(print, instance.deps.clock.now());
    arrived.map_err(|wait| Refusal::not_run(Code::Overloaded, "the same call failed just now").retry_after(wait))
}

/// Chooses a backend server for a call.
pub fn choose(instance: &Instance, call: &PlainCall, tried: &[BackendServerName]) -> Option<Listed> {
    let label = format_args!("service={} path={}", call.service, call.path);
    choose::choose(instance, &call.service, "", tried, &label)
}

/// Sends a call to one server and reads its whole answer, each within `limit`.
pub async fn dispatch(
    instance: &Arc<Instance>,
    client: &HttpClient,
    plain: &PlainCall,
    server: &Listed,
    limit: Duration,
) -> Result<Answer, CallError> {
    let open = OpenDispatch::new(Arc::clone(instance), plain.service.clone(), server.name.clone());
    let mut question = request(plain.method.clone(), server.address, &format!("/{}", plain.path), plain.body.clone());
    if let Some(content) = &plain.content {
        question.headers_mut().insert(header::CONTENT_TYPE, content.clone());
    }
    if let Some(key) = plain.key.as_ref().and_then(|key| HeaderValue::from_str(key).ok()) {
        question.headers_mut().insert("idempotency-key", key);
    }
    let left = plain.until.saturating_duration_since(Instant::now()).min(limit);
    let answer = call(client, server.address, question, left).await?;
    open.note_answer();
    let status = answer.status();
    if peer_gossip::note_leaving(instance, answer.headers(), server) && status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(CallError::NotSent(server.address));
    }
    let body = read_body(answer.into_body(), instance.settings.answer_bytes, left).await?;
    Ok(Answer { status, body })
}
