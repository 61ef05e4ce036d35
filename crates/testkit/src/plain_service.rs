//! Stand-in for a plain service: `apply`, which must not repeat, and `status`, which may.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Faults in force.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delays every answer.
    pub delay_ms: u64,
    /// Never answers the next calls of this number, after they took effect.
    pub lose_answers: u32,
    /// Answers everything with this status; 0 for none.
    pub status: u16,
}

#[derive(Debug, Default)]
struct Inner {
    runs: BTreeMap<String, u64>,
    faults: Faults,
}

/// Shared state of the stand-in.
#[derive(Clone, Debug, Default)]
pub struct PlainService {
    inner: Arc<Mutex<Inner>>,
}

impl PlainService {
    /// Routes of the stand-in.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/apply", post(apply))
            .route("/status", get(status_list))
            .route("/status/{key}", get(status))
            .route("/runs", get(runs))
            .route("/faults", post(order_faults))
            .with_state(self.clone())
    }

    /// Orders faults directly.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.inner.lock().faults);
    }

    /// Number of times that the call with `key` ran.
    pub fn run_count(&self, key: &str) -> u64 {
        self.inner.lock().runs.get(key).copied().unwrap_or_default()
    }
}

async fn apply(State(plain): State<PlainService>, headers: HeaderMap) -> Response {
    let key = headers.get("idempotency-key").and_then(|value| value.to_str().ok()).unwrap_or("none").to_owned();
    let (run, faults, lost) = {
        let mut inner = plain.inner.lock();
        let count = inner.runs.entry(key.clone()).or_default();
        *count += 1;
        let run = *count;
        let lost = inner.faults.lose_answers > 0;
        inner.faults.lose_answers = inner.faults.lose_answers.saturating_sub(1);
        (run, inner.faults.clone(), lost)
    };
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if lost {
        std::future::pending::<()>().await;
    }
    match StatusCode::from_u16(faults.status) {
        Ok(status) => status.into_response(),
        Err(_) => Json(json!({ "key": key, "applied": true, "run": run })).into_response(),
    }
}

async fn status(State(plain): State<PlainService>, Path(key): Path<String>) -> Response {
    let faults = plain.inner.lock().faults.clone();
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    Json(json!({ "key": key, "applied": plain.run_count(&key) > 0 })).into_response()
}

async fn status_list(State(plain): State<PlainService>) -> Response {
    let count = plain.inner.lock().runs.len();
    Json(json!({ "applied": count })).into_response()
}

async fn runs(State(plain): State<PlainService>) -> Json<BTreeMap<String, u64>> {
    Json(plain.inner.lock().runs.clone())
}

async fn order_faults(State(plain): State<PlainService>, Json(faults): Json<Faults>) -> StatusCode {
    plain.set_faults(|current| *current = faults);
    StatusCode::NO_CONTENT
}
