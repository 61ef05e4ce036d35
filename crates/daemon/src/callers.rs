//! HTTP interface for callers, described in `docs/CALLERS.md`.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes, to_bytes};
use axum::extract::{Path, Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use coltsfootpick_core::names::{IdempotencyKey, ServiceName, is_valid_name};
use coltsfootpick_core::refusal::{Code, Refusal};
use http::{HeaderMap, StatusCode};
use tokio::time::Instant;

use crate::instance::Instance;
use crate::settings::Settings;
use crate::{chat, forward, plain, problem};

/// Request header with the idempotency key: the call runs at most once and is billed once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Request header with the time limit for the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

const SERVICES_PREFIX: &str = "/v1/services/";

/// `Retry-After` of a request refused because the instance is stopping or full.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Builds the routes for callers.
pub fn router(instance: Arc<Instance>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat_route))
        .route("/v1/services/{service}/{*path}", any(plain_route))
        .route("/v1/streams/{token}", get(resume_route))
        .route("/livez", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .with_state(instance)
}

async fn ready(State(instance): State<Arc<Instance>>) -> Response {
    let reasons = instance.unready_reasons();
    match reasons.as_slice() {
        [] => "ready\n".into_response(),
        _ => (StatusCode::SERVICE_UNAVAILABLE, format!("lacks {}\n", reasons.join(", "))).into_response(),
    }
}

async fn metrics(State(instance): State<Arc<Instance>>) -> String {
    instance.metrics.open_requests.set(i64::try_from(instance.open.len()).unwrap_or(i64::MAX));
    instance.metrics.render()
}

async fn chat_route(State(instance): State<Arc<Instance>>, request: Request) -> Response {
    let _awaiting_head = instance.awaiting_head.token();
    let (parts, body) = request.into_parts();
    let outcome = match accept(&instance, body).await {
        Ok(body) => {
            let result = chat::serve(&instance, &parts.headers, &body).await;
            forward::forward_unfunded(&instance, &parts, body, result).await
        }
        Err(refusal) => Err(refusal),
    };
    outcome.unwrap_or_else(|refusal| problem::response(&instance, &refusal))
}

async fn resume_route(State(instance): State<Arc<Instance>>, Path(token): Path<String>, request: Request) -> Response {
    let _awaiting_head = instance.awaiting_head.token();
    let (parts, body) = request.into_parts();
    let outcome = match accept(&instance, body).await {
        Ok(_) => chat::resume(&instance, &parts.headers, &token).await,
        Err(refusal) => Err(refusal),
    };
    outcome.unwrap_or_else(|refusal| problem::response(&instance, &refusal))
}

async fn plain_route(
    State(instance): State<Arc<Instance>>,
    Path((service, _)): Path<(String, String)>,
    request: Request,
) -> Response {
    let _awaiting_head = instance.awaiting_head.token();
    let (parts, body) = request.into_parts();
    let path = raw_path(&parts.uri);
    let outcome = match accept(&instance, body).await {
        Ok(body) => {
            let (service, method) = (ServiceName::from(service), parts.method.clone());
            let result = plain::serve(&instance, service, path, method, &parts.headers, body.clone()).await;
            forward::forward_unfunded(&instance, &parts, body, result).await
        }
        Err(refusal) => Err(refusal),
    };
    outcome.unwrap_or_else(|refusal| problem::response(&instance, &refusal))
}

/// Returns path and query below the service, still percent-encoded, for the request to the backend server.
fn raw_path(uri: &http::Uri) -> String {
    let whole = uri.path_and_query().map_or("", |whole| whole.as_str());
    let below = whole.strip_prefix(SERVICES_PREFIX).and_then(|rest| rest.split_once('/'));
    below.map(|(_, path)| path.to_owned()).unwrap_or_default()
}

/// Accepts a request unless the instance is draining or full, and reads its body within the limits.
async fn accept(instance: &Instance, body: Body) -> Result<Bytes, Refusal> {
    instance.metrics.requests.inc();
    if instance.draining.is_cancelled() {
        return Err(Refusal::not_run(Code::Draining, "the instance is stopping").retry_after(BUSY_RETRY));
    }
    if instance.open.len() >= instance.settings.open_max {
        return Err(Refusal::not_run(Code::Overloaded, "too many requests are open").retry_after(BUSY_RETRY));
    }
    let limit = instance.settings.body_bytes;
    match tokio::time::timeout(instance.settings.receive_timeout, to_bytes(body, limit)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(_)) => Err(Refusal::not_run(Code::TooLarge, format!("the body is cut short or exceeds {limit} bytes"))),
        Err(_) => Err(Refusal::not_run(Code::TooSlow, "the body did not arrive in time")),
    }
}

/// Returns the deadline from the request's header; without the header, the default applies.
pub fn parse_deadline(settings: &Settings, headers: &HeaderMap) -> Result<Instant, Refusal> {
    let bad_request =
        || Refusal::not_run(Code::BadRequest, "X-Deadline-Ms must be a whole number of milliseconds above 0");
    let limit = match headers.get(DEADLINE_HEADER) {
        None => settings.default_deadline,
        Some(value) => {
            let text = value.to_str().map_err(|_not_text| bad_request())?;
            let millis: u64 = text.parse().map_err(|_not_number| bad_request())?;
            if millis == 0 {
                return Err(bad_request());
            }
            Duration::from_millis(millis).min(settings.deadline_max)
        }
    };
    Ok(Instant::now() + limit)
}

/// Parses the idempotency key, if the request carries one.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if is_valid_name(text) => Ok(Some(IdempotencyKey::new(text))),
        _ => {
            Err(Refusal::not_run(Code::BadRequest, "Idempotency-Key must be 1 to 64 letters, digits, '-', '_' or '.'"))
        }
    }
}
