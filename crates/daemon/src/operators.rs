//! HTTP interface for operators: orders are appended to the log, views are read from the replayed state.

use std::sync::Arc;
use std::time::Duration;

use axum::body::to_bytes;
use axum::extract::{Path, Query, Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use coltsfootpick_core::attempts::{Attempt, AttemptState};
use coltsfootpick_core::document::{DOCUMENT_MAX_BYTES, Document};
use coltsfootpick_core::environments::{Change, ChangeOutcome, Environment, Environments};
use coltsfootpick_core::ledger::Budget;
use coltsfootpick_core::names::{BudgetKey, EnvironmentName, Incarnation, RecordId, Stage, is_valid_name};
use coltsfootpick_core::record::{
    AttemptOutcome, Close, EnvironmentRecord, Promote, Publish, Release, ShardRecord, TopUp,
};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::shard::ShardIndex;
use coltsfootpick_core::units::{Offset, Tokens};
use coltsfootpick_wire::envelope::{encode_environment, encode_shard};
use coltsfootpick_wire::operators as view;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::events::Event;
use crate::instance::{Instance, wait_until};
use crate::platform::LogError;
use crate::{audit, credentials, event, problem, snapshotter};

/// Longest wait for an order to be appended, and again to be read back.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two attempts of an append.
const APPEND_PAUSE: Duration = Duration::from_millis(200);

/// Largest body of an order, in bytes: allows for the JSON around a document and for its escaped quotes.
const BODY_MAX_BYTES: usize = 3 * DOCUMENT_MAX_BYTES;

type AppState = State<Arc<Instance>>;

/// Builds the routes for operators.
pub fn router(instance: Arc<Instance>) -> Router {
    Router::new()
        .route("/v1/status", get(status))
        .route("/v1/environments", get(environments))
        .route("/v1/environments/{environment}/trial", post(trial))
        .route("/v1/environments/{environment}/promote", post(promote))
        .route("/v1/environments/{environment}/document", get(document))
        .route("/v1/budgets", get(budgets))
        .route("/v1/budgets/top-up", post(top_up))
        .route("/v1/budgets/release", post(release))
        .route("/v1/attempts", get(attempts))
        .route("/v1/trace", get(trace))
        .route("/v1/audit", get(audit_route))
        .route("/v1/snapshot", post(snapshot))
        .route("/v1/environments/{environment}/history", get(history))
        .route("/v1/incarnations/close", post(close))
        .route("/v1/drain", post(drain))
        .with_state(instance)
}

/// Authenticates the operator and parses the order; returns the order and the operator's name.
async fn read_order<T: DeserializeOwned>(instance: &Instance, request: Request) -> Result<(T, Arc<str>), Refusal> {
    let (parts, body) = request.into_parts();
    let operator = credentials::authenticate_operator(instance, &parts.headers)?;
    let bytes = tokio::time::timeout(instance.settings.receive_timeout, to_bytes(body, BODY_MAX_BYTES)).await;
    let bytes = match bytes {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(_)) => return Err(Refusal::not_run(Code::TooLarge, "the order is cut short or too large")),
        Err(_) => return Err(Refusal::not_run(Code::TooSlow, "the order did not arrive in time")),
    };
    let order = serde_json::from_slice(&bytes)
        .map_err(|error| Refusal::not_run(Code::BadRequest, format!("the order cannot be read: {error}")))?;
    event!(Event::OrderReceived, "operator={} path={}", operator.name, parts.uri.path());
    Ok((order, Arc::clone(&operator.name)))
}

fn answer(instance: &Instance, outcome: Result<view::OrderResponse, Refusal>) -> Response {
    match outcome {
        Ok(answer) => Json(answer).into_response(),
        Err(refusal) => problem::response(instance, &refusal),
    }
}

fn done(message: impl Into<String>) -> view::OrderResponse {
    view::OrderResponse { done: true, message: message.into() }
}

fn not_done(message: impl Into<String>) -> view::OrderResponse {
    view::OrderResponse { done: false, message: message.into() }
}

fn bad_request(detail: &str) -> Refusal {
    Refusal::not_run(Code::BadRequest, detail)
}

/// Appends an order's record, with retries: the record's id makes a second append harmless.
async fn append(instance: &Instance, stream: &str, bytes: &[u8]) -> Result<Offset, Refusal> {
    let deadline = tokio::time::Instant::now() + ORDER_TIMEOUT;
    let mut may_have_applied = false;
    loop {
        instance.metrics.log_appends.inc();
        let error = match instance.deps.log.append(stream.to_owned(), bytes.to_vec()).await {
            Ok(offset) => return Ok(offset),
            Err(error) => error,
        };
        may_have_applied |= matches!(error, LogError::Unknown(_));
        if tokio::time::Instant::now() + APPEND_PAUSE < deadline {
            tokio::time::sleep(APPEND_PAUSE).await;
            continue;
        }
        let detail = error.to_string();
        return Err(match may_have_applied {
            true => Refusal::may_have_run(
                Code::LogUnavailable,
                format!("{detail}; repeat the order with the same id, or run history"),
            ),
            false => Refusal::not_run(Code::LogUnavailable, detail),
        });
    }
}

/// Refuses an order that is on the log but was not read back in time.
fn confirm_read_back(is_read: bool) -> Result<(), Refusal> {
    match is_read {
        true => Ok(()),
        false => Err(Refusal::may_have_run(Code::LogUnavailable, "the record is on the log but not read back yet")),
    }
}

async fn append_shard(instance: &Instance, shard: ShardIndex, record: &ShardRecord) -> Result<(), Refusal> {
    let offset = append(instance, &shard.stream(), &encode_shard(record)).await?;
    confirm_read_back(instance.wait_for_shard(shard, ORDER_TIMEOUT, |state| state.next > offset).await)
}

async fn append_environment(
    instance: &Instance,
    id: &RecordId,
    record: &EnvironmentRecord,
) -> Result<view::OrderResponse, Refusal> {
    let offset = append(instance, Environments::STREAM, &encode_environment(record)).await?;
    let environments = &instance.board.environments;
    confirm_read_back(
        wait_until(instance.watch_environments(), ORDER_TIMEOUT, || environments.read().next > offset).await,
    )?;
    let environments = Arc::clone(&environments.read());
    Ok(match environments.outcome(id) {
        Some(outcome @ ChangeOutcome::InForce(_)) => done(outcome.to_string()),
        Some(outcome) => not_done(outcome.to_string()),
        None => not_done("the record was not read"),
    })
}

async fn trial(State(instance): AppState, Path(environment): Path<String>, request: Request) -> Response {
    let outcome = trial_order(&instance, environment, request).await;
    answer(&instance, outcome)
}

async fn trial_order(
    instance: &Instance,
    environment: String,
    request: Request,
) -> Result<view::OrderResponse, Refusal> {
    let (order, operator): (view::TrialOrder, _) = read_order(instance, request).await?;
    let environment = EnvironmentName::from(environment);
    match Document::parse(&order.document) {
        Ok(document) if document.environment == environment => {}
        Ok(document) => return Ok(not_done(format!("the document describes {}", document.environment))),
        Err(faults) => {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            return Ok(not_done(lines.join("\n")));
        }
    }
    let id = RecordId::from(order.id);
    let document = Arc::from(order.document);
    let publish = Publish { id: id.clone(), environment, expected: order.expected, document, operator };
    append_environment(instance, &id, &EnvironmentRecord::Trial(publish)).await
}

async fn promote(State(instance): AppState, Path(environment): Path<String>, request: Request) -> Response {
    let outcome = promote_order(&instance, environment, request).await;
    answer(&instance, outcome)
}

async fn promote_order(
    instance: &Instance,
    environment: String,
    request: Request,
) -> Result<view::OrderResponse, Refusal> {
    let (order, operator): (view::PromoteOrder, _) = read_order(instance, request).await?;
    let id = RecordId::from(order.id);
    let promote = Promote { id: id.clone(), environment: environment.into(), expected: order.expected, operator };
    append_environment(instance, &id, &EnvironmentRecord::Promote(promote)).await
}

async fn top_up(State(instance): AppState, request: Request) -> Response {
    let outcome = top_up_order(&instance, request).await;
    answer(&instance, outcome)
}

async fn top_up_order(instance: &Instance, request: Request) -> Result<view::OrderResponse, Refusal> {
    let (order, operator): (view::TopUpOrder, _) = read_order(instance, request).await?;
    let key = budget_key(&order.environment, order.stage, &order.account)?;
    if order.tokens == 0 || order.id.is_empty() {
        return Err(bad_request("a top-up needs an id and more than 0 tokens"));
    }
    if instance.board.cell(&key).lock().state.ledger.is_applied(&RecordId::new(&order.id)) {
        return Ok(done(format!("{key}: the top-up {} was applied before", order.id)));
    }
    let record = TopUp { id: order.id.into(), key: key.clone(), tokens: Tokens(order.tokens), operator };
    append_shard(instance, instance.board.shard_of(&key), &ShardRecord::TopUp(record)).await?;
    Ok(done(format!("{key} topped up by {}", order.tokens)))
}

async fn release(State(instance): AppState, request: Request) -> Response {
    let outcome = release_order(&instance, request).await;
    answer(&instance, outcome)
}

async fn release_order(instance: &Instance, request: Request) -> Result<view::OrderResponse, Refusal> {
    let (order, operator): (view::ReleaseOrder, _) = read_order(instance, request).await?;
    let key = budget_key(&order.environment, order.stage, &order.account)?;
    if order.reason.is_empty() || order.id.is_empty() {
        return Err(bad_request("a release needs an id and a reason"));
    }
    let holder = incarnation(&order.instance, &order.run)?;
    let cell = instance.board.cell(&key);
    if cell.lock().state.ledger.is_applied(&RecordId::new(&order.id)) {
        return Ok(done(format!("{key}: the release {} was applied before", order.id)));
    }
    let holding = cell.lock().state.ledger.budget(&key).and_then(|budget| budget.holdings.get(&holder).copied());
    let Some(holding) = holding.filter(|holding| holding.closed) else {
        return Ok(not_done(format!("{holder} is not closed or holds nothing of {key}")));
    };
    let reason = Arc::from(order.reason);
    let record = Release { id: order.id.into(), key: key.clone(), holder: holder.clone(), operator, reason };
    append_shard(instance, instance.board.shard_of(&key), &ShardRecord::Release(record)).await?;
    Ok(done(format!("released {} tokens of {key} that {holder} held", holding.outstanding)))
}

async fn close(State(instance): AppState, request: Request) -> Response {
    let outcome = close_order(&instance, request).await;
    answer(&instance, outcome)
}

async fn close_order(instance: &Instance, request: Request) -> Result<view::OrderResponse, Refusal> {
    let (order, operator): (view::CloseOrder, _) = read_order(instance, request).await?;
    let holder = incarnation(&order.instance, &order.run)?;
    for index in 0..instance.settings.shards {
        let record = Close { holder: holder.clone(), closer: Arc::clone(&operator) };
        append_shard(instance, ShardIndex(index), &ShardRecord::Close(record)).await?;
    }
    Ok(done(format!("{holder} is closed")))
}

async fn drain(State(instance): AppState, request: Request) -> Response {
    match credentials::authenticate_operator(&instance, request.headers()) {
        Ok(operator) => {
            event!(Event::OrderReceived, "operator={} path=/v1/drain", operator.name);
            instance.draining.cancel();
            Json(done(format!("{} takes no new work", instance.settings.name))).into_response()
        }
        Err(refusal) => problem::response(&instance, &refusal),
    }
}

fn budget_key(environment: &str, stage: coltsfootpick_core::names::Stage, account: &str) -> Result<BudgetKey, Refusal> {
    if !is_valid_name(environment) || !is_valid_name(account) {
        return Err(bad_request("environment and account must be names"));
    }
    Ok(BudgetKey { environment: environment.into(), stage, account: account.into() })
}

fn incarnation(instance: &str, run: &str) -> Result<Incarnation, Refusal> {
    let run = u64::from_str_radix(run, 16).map_err(|_not_hex| bad_request("run must be hexadecimal"))?;
    Ok(Incarnation { instance: instance.into(), run })
}

/// Responds with a view if the request is from an operator, and with a refusal otherwise.
fn respond<T: serde::Serialize>(instance: &Instance, request: &Request, view: impl FnOnce() -> T) -> Response {
    match credentials::authenticate_operator(instance, request.headers()) {
        Ok(_) => Json(view()).into_response(),
        Err(refusal) => problem::response(instance, &refusal),
    }
}

async fn environments(State(instance): AppState, request: Request) -> Response {
    respond(&instance, &request, || environment_views(&instance))
}

#[derive(Debug, Deserialize)]
struct StageQuery {
    stage: Stage,
}

async fn document(
    State(instance): AppState,
    Path(environment): Path<String>,
    Query(query): Query<StageQuery>,
    request: Request,
) -> Response {
    let environments = Arc::clone(&instance.board.environments.read());
    let environment = environments.get(&EnvironmentName::from(environment));
    let text = environment
        .and_then(|environment| environment.document(query.stage))
        .map(|document| Arc::clone(&document.text));
    respond(&instance, &request, || text)
}

async fn history(State(instance): AppState, Path(environment): Path<String>, request: Request) -> Response {
    let environments = Arc::clone(&instance.board.environments.read());
    let changes = environments.history().filter(|change| *change.environment == *environment);
    respond(&instance, &request, || changes.map(change_view).collect::<Vec<_>>())
}

fn change_view(change: &Change) -> view::ChangeView {
    view::ChangeView {
        offset: change.offset.0,
        id: change.id.to_string(),
        kind: change.kind.to_string(),
        expected: change.expected,
        operator: change.operator.to_string(),
        outcome: change.outcome.to_string(),
    }
}

async fn audit_route(State(instance): AppState, request: Request) -> Response {
    if let Err(refusal) = credentials::authenticate_operator(&instance, request.headers()) {
        return problem::response(&instance, &refusal);
    }
    match audit::audit(&instance).await {
        Ok(view) => Json(view).into_response(),
        Err(error) => problem::response(&instance, &Refusal::not_run(Code::LogUnavailable, error.to_string())),
    }
}

async fn snapshot(State(instance): AppState, request: Request) -> Response {
    let operator = match credentials::authenticate_operator(&instance, request.headers()) {
        Ok(operator) => operator,
        Err(refusal) => return problem::response(&instance, &refusal),
    };
    event!(Event::OrderReceived, "operator={} path=/v1/snapshot", operator.name);
    match snapshotter::write_all(&instance).await {
        Ok(written) => Json(written.iter().map(snapshot_view).collect::<Vec<_>>()).into_response(),
        Err(error) => {
            let refusal =
                Refusal::may_have_run(Code::LogUnavailable, format!("{error}; a second snapshot is harmless"));
            problem::response(&instance, &refusal)
        }
    }
}

fn snapshot_view(written: &snapshotter::WrittenSnapshot) -> view::SnapshotView {
    view::SnapshotView {
        stream: written.stream.clone(),
        next: written.next.0,
        chunks: written.chunks as u64,
        bytes: written.bytes as u64,
    }
}

fn environment_views(instance: &Instance) -> Vec<view::EnvironmentView> {
    let environments = Arc::clone(&instance.board.environments.read());
    environments.iter().map(|(name, environment)| environment_view(name, environment)).collect()
}

fn environment_view(name: &EnvironmentName, environment: &Environment) -> view::EnvironmentView {
    view::EnvironmentView {
        name: name.to_string(),
        version: environment.version,
        operator: environment.operator.to_string(),
        production: environment.production.is_some(),
        differs: environment.production.as_ref() != Some(&environment.trial),
    }
}

async fn budgets(State(instance): AppState, request: Request) -> Response {
    respond(&instance, &request, || budget_views(&instance))
}

fn budget_views(instance: &Instance) -> Vec<view::BudgetView> {
    let mut views = Vec::new();
    for cell in &instance.board.shards {
        let cell = cell.lock();
        let budgets = cell.state.ledger.budgets();
        views.extend(budgets.map(|(key, budget)| budget_view(key, budget, cell.credit.reserved(key))));
    }
    views.sort_by(|a, b| (&a.environment, a.stage, &a.account).cmp(&(&b.environment, b.stage, &b.account)));
    views
}

fn budget_view(key: &BudgetKey, budget: &Budget, reserved: Tokens) -> view::BudgetView {
    let holdings = budget.holdings.iter().map(|(holder, holding)| view::HoldingView {
        instance: holder.instance.to_string(),
        run: format!("{:x}", holder.run),
        outstanding: holding.outstanding.0,
        closed: holding.closed,
    });
    view::BudgetView {
        environment: key.environment.to_string(),
        stage: key.stage,
        account: key.account.to_string(),
        topped: budget.topped_up.0,
        free: budget.free.0,
        spent: budget.spent.0,
        granted: budget.outstanding().0,
        reserved: reserved.0,
        doubt: budget.in_doubt().0,
        overspent: budget.overspent.0,
        holdings: holdings.collect(),
    }
}

async fn attempts(State(instance): AppState, request: Request) -> Response {
    respond(&instance, &request, || {
        let mut views = Vec::new();
        for cell in &instance.board.shards {
            let cell = cell.lock();
            let attempts = cell.state.attempts.attempts();
            views
                .extend(attempts.map(|(key, attempt)| attempt_view(key, attempt, |owner| cell.state.is_closed(owner))));
        }
        views
    })
}

fn attempt_view(
    key: &coltsfootpick_core::record::AttemptKey,
    attempt: &Attempt,
    is_closed: impl Fn(&Incarnation) -> bool,
) -> view::AttemptView {
    let (state, owner) = match &attempt.state {
        AttemptState::Claimed { owner } if is_closed(owner) => ("owner-gone", owner.to_string()),
        AttemptState::Claimed { owner } => ("claimed", owner.to_string()),
        AttemptState::Ended { outcome: AttemptOutcome::Unknown } => ("unknown", String::new()),
        AttemptState::Ended { outcome: AttemptOutcome::Answered { .. } } => ("answered", String::new()),
        AttemptState::Renounced => ("renounced", String::new()),
    };
    view::AttemptView {
        environment: key.budget.environment.to_string(),
        stage: key.budget.stage,
        account: key.budget.account.to_string(),
        key: key.key.to_string(),
        state: state.to_owned(),
        owner,
    }
}

async fn trace(State(instance): AppState, request: Request) -> Response {
    match credentials::authenticate_operator(&instance, request.headers()) {
        Ok(_) => instance.recorder.render().into_response(),
        Err(refusal) => problem::response(&instance, &refusal),
    }
}

async fn status(State(instance): AppState, request: Request) -> Response {
    respond(&instance, &request, || status_view(&instance))
}

fn status_view(instance: &Instance) -> view::StatusView {
    let shards = (0u32..)
        .zip(&instance.board.shards)
        .map(|(index, cell)| view::StreamView { stream: ShardIndex(index).stream(), next: cell.lock().state.next.0 });
    let environments =
        view::StreamView { stream: Environments::STREAM.to_owned(), next: instance.board.environments.read().next.0 };
    let backends = instance.board.backends.read();
    let servers = backends.iter().map(|server| view::ServerView {
        name: server.listed.name.to_string(),
        service: server.listed.service.to_string(),
        open: server.open,
        leaving: server.leaving,
    });
    view::StatusView {
        instance: instance.settings.name.to_string(),
        zone: instance.settings.zone.to_string(),
        draining: instance.draining.is_cancelled(),
        open: instance.open.len() as u64,
        streams: shards.chain(std::iter::once(environments)).collect(),
        environments: environment_views(instance),
        servers: servers.collect(),
    }
}
