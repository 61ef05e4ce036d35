//! Fake plain service with an at-most-once call, `apply`, and an idempotent call, `status`.

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

/// Active faults, and the body of `POST /faults`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of every response, in milliseconds.
    pub delay_ms: u64,
    /// Number of `apply` calls that take effect but are never answered.
    pub lose_answers: u32,
    /// HTTP status of every response to `apply`; 0 for the normal response.
    pub status: u16,
}

#[derive(Debug, Default)]
struct ServiceState {
    run_counts: BTreeMap<String, u64>,
    faults: Faults,
}

/// Fake plain service; its clones share one state.
#[derive(Clone, Debug, Default)]
pub struct PlainService {
    state: Arc<Mutex<ServiceState>>,
}

impl PlainService {
    /// HTTP routes of the service.
    pub fn router(&self) -> Router {
        Router::new()
            .route("/apply", post(apply))
            .route("/status", get(all_status))
            .route("/status/{key}", get(status))
            .route("/runs", get(run_counts))
            .route("/faults", post(post_faults))
            .with_state(self.clone())
    }

    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state.lock().faults);
    }

    /// Number of times that `apply` ran with the idempotency key `key`.
    pub fn run_count(&self, key: &str) -> u64 {
        self.state.lock().run_counts.get(key).copied().unwrap_or_default()
    }
}

async fn apply(State(service): State<PlainService>, headers: HeaderMap) -> Response {
    let key = headers.get("idempotency-key").and_then(|value| value.to_str().ok()).unwrap_or("none").to_owned();
    let (run, faults, is_lost) = {
        let mut state = service.state.lock();
        let count = state.run_counts.entry(key.clone()).or_default();
        *count += 1;
        let run = *count;
        let is_lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        (run, state.faults.clone(), is_lost)
    };
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    if is_lost {
        std::future::pending::<()>().await;
    }
    match StatusCode::from_u16(faults.status) {
        Ok(status) => status.into_response(),
        Err(_) => Json(json!({ "key": key, "applied": true, "run": run })).into_response(),
    }
}

async fn status(State(service): State<PlainService>, Path(key): Path<String>) -> Response {
    let faults = service.state.lock().faults.clone();
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    Json(json!({ "key": key, "applied": service.run_count(&key) > 0 })).into_response()
}

async fn all_status(State(service): State<PlainService>) -> Response {
    let count = service.state.lock().run_counts.len();
    Json(json!({ "applied": count })).into_response()
}

async fn run_counts(State(service): State<PlainService>) -> Json<BTreeMap<String, u64>> {
    Json(service.state.lock().run_counts.clone())
}

async fn post_faults(State(service): State<PlainService>, Json(faults): Json<Faults>) -> StatusCode {
    service.set_faults(|current| *current = faults);
    StatusCode::NO_CONTENT
}
