//! `/v1/services/{service}/{path}`: calls to plain services, idempotent or at most once.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::response::Response;
use coltsfootpick_core::admission::QUANTUM_COST;
use coltsfootpick_core::backends::ServerListing;
use coltsfootpick_core::document::{QueueClass, ServiceKind};
use coltsfootpick_core::names::{BackendServerName, BudgetKey, IdempotencyKey, RecordId, ServiceName};
use coltsfootpick_core::quarantine::Fingerprint;
use coltsfootpick_core::record::AttemptKey;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::retry::BACKOFF_MIN;
use coltsfootpick_core::units::Tokens;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use tokio::time::Instant;

use crate::admission::AdmissionParams;
use crate::at_most_once::at_most_once;
use crate::callers::{idempotency_key, parse_deadline};
use crate::credit::ReservedCredit;
use crate::event;
use crate::events::Event;
use crate::http::{CallError, HttpClient, call, read_body, request};
use crate::instance::Instance;
use crate::load::OpenDispatch;
use crate::{choose, credentials, credit, peer_gossip};

/// Most dispatches of an idempotent call.
const DISPATCHES_MAX: usize = 2;

/// A caller's call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// Requested service.
    pub service: ServiceName,
    /// Path below the service, without a leading slash.
    pub path: String,
    /// HTTP method.
    pub method: Method,
    /// Request body.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// Idempotency key, if the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Deadline for the answer.
    pub deadline: Instant,
}

/// Price and dispatch parameters of a call, from the environment's document.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// Price of the call.
    pub price: Tokens,
    /// Path of the application that returns the status of an earlier call, by its idempotency key.
    pub status_path: Option<String>,
    /// Admission parameters of the call.
    pub admission: AdmissionParams,
}

/// Response of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

impl ServiceResponse {
    fn into_response(self) -> Response {
        let mut response = Response::new(Body::from(self.body));
        *response.status_mut() = self.status;
        response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }
}

/// Serves one call: paths whose first segment the document lists as idempotent may be retried, all others run at most
/// once.
pub async fn serve(
    instance: &Arc<Instance>,
    service: ServiceName,
    path: String,
    method: Method,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Response, Refusal> {
    let payer = credentials::authenticate_caller(instance, headers)?;
    let kind = payer.caller.document.services.get(&service).map(|service| service.kind.clone());
    let class = payer.caller.document.services.get(&service).map_or(QueueClass::Prompt, |service| service.class);
    let Some(ServiceKind::Plain { price, idempotent, status }) = kind else {
        return Err(Refusal::not_run(Code::UnknownService, "the environment has no such service"));
    };
    let deadline = parse_deadline(&instance.settings, headers)?;
    let key = idempotency_key(headers)?;
    let content_type = headers.get(header::CONTENT_TYPE).cloned();
    let admission = AdmissionParams {
        service: service.clone(),
        account: payer.budget.clone(),
        class,
        cost: QUANTUM_COST,
        deadline,
    };
    let spec = CallSpec { price, status_path: status, admission };
    let call = PlainCall { service, path, method, body, content_type, key, deadline };
    let first_segment = call.path.split('/').next().unwrap_or_default();
    if idempotent.contains(first_segment) {
        return serve_idempotent(instance, &call, &payer.budget, &spec).await.map(ServiceResponse::into_response);
    }
    let Some(key) = call.key.clone() else {
        return Err(Refusal::not_run(Code::KeyRequired, "a call that must not repeat needs an Idempotency-Key"));
    };
    let attempt = AttemptKey { budget: payer.budget, key };
    at_most_once(instance, &call, &attempt, &spec).await.map(ServiceResponse::into_response)
}

/// Reserves the price of a call; returns `None` for a free call.
pub async fn reserve(
    instance: &Arc<Instance>,
    budget: &BudgetKey,
    price: Tokens,
    id: &RecordId,
    deadline: Instant,
) -> Result<Option<ReservedCredit>, Refusal> {
    match price {
        Tokens::ZERO => Ok(None),
        price => credit::reserve(instance, budget, price, id, deadline).await.map(Some),
    }
}

/// Bills the price of a call that ran or may have run.
pub fn bill(credit: Option<ReservedCredit>, price: Tokens) {
    if let Some(mut credit) = credit {
        credit.set_used(price);
    }
}

async fn serve_idempotent(
    instance: &Arc<Instance>,
    call: &PlainCall,
    budget: &BudgetKey,
    spec: &CallSpec,
) -> Result<ServiceResponse, Refusal> {
    let fingerprint = fingerprint(call, budget);
    check_repeat(instance, fingerprint)?;
    spec.admission.check(instance)?;
    let credit = reserve(instance, budget, spec.price, &instance.random_id(), call.deadline).await?;
    let mut permit = spec.admission.admit(instance).await?;
    let answer = dispatch_with_retries(instance, call, fingerprint).await?;
    permit.mark_complete();
    bill(credit, spec.price);
    Ok(answer)
}

/// Dispatches an idempotent call and retries it once, if the retry budget allows it.
async fn dispatch_with_retries(
    instance: &Arc<Instance>,
    call: &PlainCall,
    fingerprint: Fingerprint,
) -> Result<ServiceResponse, Refusal> {
    let mut tried = Vec::new();
    let mut last_reason = String::from("no backend server is listed");
    let mut has_run = false;
    let mut last_server = None;
    instance.retries.lock().record_first_attempt();
    while tried.len() < DISPATCHES_MAX {
        // Without another server, a retry goes to the same server over a new connection.
        let Some(server) = choose(instance, call, &tried).or_else(|| last_server.take()) else { break };
        if has_run && !instance.retries.lock().spend_retry() {
            break;
        }
        let client = if has_run { &instance.unpooled } else { &instance.deps.client };
        let counter = if has_run { &instance.metrics.repeat_dispatches } else { &instance.metrics.first_dispatches };
        counter.inc();
        tried.push(server.name.clone());
        match dispatch(instance, client, call, &server, instance.settings.liveness_timeout).await {
            Ok(answer) if answer.status.is_server_error() => {
                has_run = true;
                last_reason = format!("status {}", answer.status);
            }
            Ok(answer) => {
                instance.retries.lock().record_answer(fingerprint);
                return Ok(answer);
            }
            Err(error) => {
                last_reason = error.to_string();
                if !matches!(error, CallError::NotSent(_)) {
                    has_run = true;
                    last_server = Some(server.clone());
                }
            }
        }
        event!(Event::ServerFailed, "service={} server={} reason={last_reason:?}", call.service, server.name);
    }
    let (retries, now) = (&instance.retries, instance.deps.clock.now());
    Err(match has_run {
        true => Refusal::may_have_run(Code::NoBackendServer, last_reason)
            .retry_after(retries.lock().record_failure(fingerprint, now)),
        false => Refusal::not_run(Code::NoBackendServer, last_reason).retry_after(BACKOFF_MIN),
    })
}

fn fingerprint(call: &PlainCall, budget: &BudgetKey) -> Fingerprint {
    let head = format!("{} {}\n", call.method, call.path);
    Fingerprint::of(budget, &call.service, &[head.as_bytes(), &call.body].concat())
}

/// Refuses a retry within its back-off when the retry budget is spent.
fn check_repeat(instance: &Instance, fingerprint: Fingerprint) -> Result<(), Refusal> {
    let admitted = instance.retries.lock().admit(fingerprint, instance.deps.clock.now());
    admitted.map_err(|wait| Refusal::not_run(Code::Overloaded, "the same call failed just now").retry_after(wait))
}

/// Chooses a backend server for a call, excluding those in `tried`.
pub fn choose(instance: &Instance, call: &PlainCall, tried: &[BackendServerName]) -> Option<ServerListing> {
    let label = format_args!("service={} path={}", call.service, call.path);
    choose::choose(instance, &call.service, "", tried, &label)
}

/// Sends a call to one server and reads its complete response; `timeout` bounds each of the two steps.
pub async fn dispatch(
    instance: &Arc<Instance>,
    client: &HttpClient,
    plain: &PlainCall,
    server: &ServerListing,
    timeout: Duration,
) -> Result<ServiceResponse, CallError> {
    let open = OpenDispatch::new(Arc::clone(instance), plain.service.clone(), server.name.clone());
    let mut request = request(plain.method.clone(), server.address, &format!("/{}", plain.path), plain.body.clone());
    if let Some(content_type) = &plain.content_type {
        request.headers_mut().insert(header::CONTENT_TYPE, content_type.clone());
    }
    if let Some(key) = plain.key.as_ref().and_then(|key| HeaderValue::from_str(key).ok()) {
        request.headers_mut().insert("idempotency-key", key);
    }
    let remaining = plain.deadline.saturating_duration_since(Instant::now()).min(timeout);
    let answer = call(client, server.address, request, remaining).await?;
    open.note_answer();
    let status = answer.status();
    if peer_gossip::note_leaving(instance, answer.headers(), server) && status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(CallError::NotSent(server.address));
    }
    let body = read_body(answer.into_body(), instance.settings.answer_bytes, remaining).await?;
    Ok(ServiceResponse { status, body })
}
