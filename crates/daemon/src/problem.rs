//! Refusals as RFC 9457 problem documents.

use std::time::Duration;

use axum::Json;
use axum::response::{IntoResponse, Response};
use coltsfootpick_core::refusal::Refusal;
use http::{HeaderValue, StatusCode, header};
use serde_json::{Value, json};

use crate::event;
use crate::events::Event;
use crate::instance::Instance;
use crate::metrics::CodeLabel;

const MILLIS_A_SECOND: u128 = 1_000;

/// Content type of a problem document.
pub const CONTENT_TYPE: &str = "application/problem+json";

/// Builds the body of a problem document.
pub fn body(refusal: &Refusal) -> Value {
    json!({
        "type": format!("about:coltsfootpick:{}", refusal.code),
        "title": refusal.code.to_string(),
        "status": refusal.code.status(),
        "detail": refusal.detail,
        "code": refusal.code.to_string(),
        "run": refusal.run.to_string(),
    })
}

/// Builds a response with a problem document, and counts and logs the refusal.
pub fn response(instance: &Instance, refusal: &Refusal) -> Response {
    note(instance, refusal);
    let status = StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, Json(body(refusal))).into_response();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE));
    if let Some(wait) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(wait)));
    }
    response
}

/// Converts to the seconds of `Retry-After`, rounded up so that no caller retries too early.
fn whole_seconds(wait: Duration) -> u64 {
    u64::try_from(wait.as_millis().div_ceil(MILLIS_A_SECOND)).unwrap_or(u64::MAX).max(1)
}

/// Counts and logs a refusal.
pub fn note(instance: &Instance, refusal: &Refusal) {
    instance.metrics.refusals.get_or_create(&CodeLabel { code: refusal.code.to_string() }).inc();
    event!(Event::Refused, "code={} run={} detail={:?}", refusal.code, refusal.run, refusal.detail);
}
