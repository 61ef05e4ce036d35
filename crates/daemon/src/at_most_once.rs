//! At-most-once calls: claimed on the log, dispatched once, with a status query when no answer arrived.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use coltsfootpick_core::attempts::AttemptStatus;
use coltsfootpick_core::blackboard::ShardCell;
use coltsfootpick_core::names::RecordId;
use coltsfootpick_core::record::{AttemptKey, AttemptOutcome};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::shard_credit::ClaimStatus;
use coltsfootpick_core::trace::{BudgetText, Step, claim_word};
use http::{Method, StatusCode};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::credit::ReservedCredit;
use crate::event;
use crate::events::Event;
use crate::http::CallError;
use crate::in_flight::{InFlightCall, Registration};
use crate::instance::Instance;
use crate::plain::{CallSpec, PlainCall, ServiceResponse, bill, choose, dispatch, reserve};

/// `Retry-After` of refusals that may succeed later.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Largest response body stored with an attempt, in bytes; of a larger one only the status is stored.
const STORED_MAX_BYTES: usize = 4 << 10;

/// Runs a call at most once in the whole fleet; duplicates on this instance wait for the first call's result.
pub async fn at_most_once(
    instance: &Arc<Instance>,
    call: &PlainCall,
    attempt: &AttemptKey,
    spec: &CallSpec,
) -> Result<ServiceResponse, Refusal> {
    let digest = digest(call);
    match instance.in_flight.register(attempt, digest) {
        Registration::First(in_flight) => run_first(instance, call, attempt, spec, in_flight).await,
        Registration::Duplicate(result) => result.wait(call.deadline).await.unwrap_or_else(|| Err(in_progress())),
        Registration::Conflict => Err(Refusal::not_run(Code::KeyReused, "the key was used for a different call")),
    }
}

async fn run_first(
    instance: &Arc<Instance>,
    call: &PlainCall,
    attempt: &AttemptKey,
    spec: &CallSpec,
    in_flight: InFlightCall,
) -> Result<ServiceResponse, Refusal> {
    let digest = in_flight.digest();
    let status_path = spec.status_path.as_deref();
    if let Some(answer) = recorded_result(instance, call, attempt, digest, status_path).await? {
        return Ok(answer);
    }
    spec.admission.check(instance)?;
    check_log(instance)?;
    let id = RecordId::from(format!("{}:{}", attempt.budget, attempt.key));
    let credit = reserve(instance, &attempt.budget, spec.price, &id, call.deadline).await?;
    match claim(instance, attempt, digest, call.deadline).await? {
        ClaimStatus::Won => {
            // A task of its own outlives the caller's connection, so that the end is always recorded.
            let (instance, call, attempt, spec) = (Arc::clone(instance), call.clone(), attempt.clone(), spec.clone());
            let tracker = instance.open.clone();
            let task = tracker.spawn(async move {
                let ended = run_claimed(&instance, &call, &attempt, credit, &spec).await;
                in_flight.finish(&ended);
                ended
            });
            task.await.unwrap_or_else(|error| Err(Refusal::may_have_run(Code::EndUnknown, error.to_string())))
        }
        _ => match recorded_result(instance, call, attempt, digest, status_path).await? {
            Some(answer) => Ok(answer),
            None => Err(in_progress()),
        },
    }
}

/// Refuses the call immediately while the log is unreachable, because the claim could not be appended.
fn check_log(instance: &Instance) -> Result<(), Refusal> {
    match instance.peers.is_log_reachable() {
        true => Ok(()),
        false => Err(Refusal::not_run(Code::LogUnavailable, "the log that takes claims is out of reach")
            .retry_after(RETRY_AFTER)),
    }
}

fn in_progress() -> Refusal {
    Refusal::may_have_run(Code::InProgress, "the same call is at work").retry_after(RETRY_AFTER)
}

fn unconfirmed() -> Refusal {
    Refusal::not_run(Code::LogUnavailable, "the claim was not confirmed in time").retry_after(RETRY_AFTER)
}

/// Digest of method, service, path and body, which detects reuse of a key for a different call.
fn digest(call: &PlainCall) -> u64 {
    let head = format!("{} {}/{}\n", call.method, call.service, call.path);
    xxh3_64(&[head.as_bytes(), &call.body].concat())
}

/// Returns the response recorded for the attempt; `None` if the attempt is unclaimed.
async fn recorded_result(
    instance: &Arc<Instance>,
    call: &PlainCall,
    attempt: &AttemptKey,
    digest: u64,
    status_path: Option<&str>,
) -> Result<Option<ServiceResponse>, Refusal> {
    let status = instance.board.cell(&attempt.budget).lock().attempt_status(attempt, digest);
    match status {
        AttemptStatus::Unclaimed => Ok(None),
        AttemptStatus::DifferentCall => Err(Refusal::not_run(Code::KeyReused, "the key was used for a different call")),
        AttemptStatus::InProgress => Err(in_progress()),
        AttemptStatus::Ended(AttemptOutcome::Answered { status, body }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            Ok(Some(ServiceResponse { status, body: Bytes::copy_from_slice(&body) }))
        }
        AttemptStatus::Ended(AttemptOutcome::Unknown) | AttemptStatus::OwnerGone => {
            Err(unknown_end_refusal(instance, call, attempt, status_path).await)
        }
    }
}

/// Builds the refusal of a call that may have run, with the application's status of the call if it provides one.
async fn unknown_end_refusal(
    instance: &Arc<Instance>,
    call: &PlainCall,
    attempt: &AttemptKey,
    status_path: Option<&str>,
) -> Refusal {
    let detail = match status_path {
        Some(path) => query_status(instance, call, attempt, path).await,
        None => "the application has no status to ask".to_owned(),
    };
    Refusal::may_have_run(Code::EndUnknown, format!("the call was sent and no answer came; {detail}"))
}

async fn query_status(instance: &Arc<Instance>, call: &PlainCall, attempt: &AttemptKey, path: &str) -> String {
    let status_call =
        PlainCall { path: format!("{path}/{}", attempt.key), method: Method::GET, body: Bytes::new(), ..call.clone() };
    let Some(server) = choose(instance, &status_call, &[]) else {
        return "no backend server can be asked for its status".to_owned();
    };
    match dispatch(instance, &instance.unpooled, &status_call, &server, instance.settings.liveness_timeout).await {
        Ok(answer) => format!("status: {}", String::from_utf8_lossy(&answer.body)),
        Err(error) => format!("its status cannot be had: {error}"),
    }
}

/// Appends a claim and waits until it is read back; renounces the claim at the deadline.
async fn claim(
    instance: &Arc<Instance>,
    attempt: &AttemptKey,
    digest: u64,
    deadline: Instant,
) -> Result<ClaimStatus, Refusal> {
    let mut shard_change = instance.watch_shard(&attempt.budget);
    let claimed = run_traced(instance, attempt, |cell| {
        let claimed = cell.claim(attempt, digest);
        (AttemptStep::Claim { digest, claimed }, claimed)
    });
    match claimed {
        ClaimStatus::Pending => {}
        ClaimStatus::Renounced => return Err(unconfirmed()),
        ClaimStatus::Won | ClaimStatus::Lost => return Err(in_progress()),
    }
    event!(Event::AttemptClaimed, "budget={} key={}", attempt.budget, attempt.key);
    let mut pending = PendingClaim { instance, attempt, is_decided: false };
    loop {
        let status = run_traced(instance, attempt, |cell| {
            let status = cell.claim_status(attempt);
            (AttemptStep::Checked(status), status)
        });
        match status {
            Some(status @ (ClaimStatus::Won | ClaimStatus::Lost)) => {
                pending.is_decided = true;
                return Ok(status);
            }
            None => return Err(in_progress()),
            Some(_) if tokio::time::timeout_at(deadline, shard_change.changed()).await.is_err() => {
                return Err(unconfirmed());
            }
            Some(_) => {}
        }
    }
}

/// Claim not yet decided; dropping it renounces the claim permanently.
struct PendingClaim<'a> {
    instance: &'a Instance,
    attempt: &'a AttemptKey,
    is_decided: bool,
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        renounce(self.instance, self.attempt);
    }
}

/// Dispatches a claimed call once and records its outcome.
async fn run_claimed(
    instance: &Arc<Instance>,
    call: &PlainCall,
    attempt: &AttemptKey,
    credit: Option<ReservedCredit>,
    spec: &CallSpec,
) -> Result<ServiceResponse, Refusal> {
    let mut permit = match spec.admission.admit(instance).await {
        Ok(permit) => permit,
        Err(refusal) => {
            renounce(instance, attempt);
            return Err(refusal);
        }
    };
    let mut tried = Vec::new();
    while let Some(server) = choose(instance, call, &tried) {
        match dispatch(instance, &instance.unpooled, call, &server, instance.settings.call_timeout).await {
            Ok(answer) => {
                permit.mark_complete();
                bill(credit, spec.price);
                record_end(instance, attempt, answered_outcome(&answer));
                return Ok(answer);
            }
            // Nothing was sent, so the call may still be dispatched to another server.
            Err(CallError::NotSent(_)) => tried.push(server.name),
            Err(reason) => {
                bill(credit, spec.price);
                event!(Event::ServerFailed, "service={} server={} reason=\"{reason}\"", call.service, server.name);
                record_end(instance, attempt, AttemptOutcome::Unknown);
                return Err(unknown_end_refusal(instance, call, attempt, spec.status_path.as_deref()).await);
            }
        }
    }
    renounce(instance, attempt);
    let refusal = Refusal::not_run(Code::NoBackendServer, "no backend server took the call");
    Err(refusal.retry_after(RETRY_AFTER))
}

/// Permanently gives up the right to dispatch the call, so that a refusal may state that it did not run.
fn renounce(instance: &Instance, attempt: &AttemptKey) {
    run_traced(instance, attempt, |cell| (AttemptStep::Renounced, cell.renounce(attempt)));
    event!(Event::AttemptRenounced, "budget={} key={}", attempt.budget, attempt.key);
}

fn answered_outcome(answer: &ServiceResponse) -> AttemptOutcome {
    let fits = answer.body.len() <= STORED_MAX_BYTES;
    let body = if fits { Arc::from(answer.body.as_ref()) } else { Arc::default() };
    AttemptOutcome::Answered { status: answer.status.as_u16(), body }
}

fn record_end(instance: &Instance, attempt: &AttemptKey, outcome: AttemptOutcome) {
    event!(
        Event::AttemptEnded,
        "budget={} key={} answered={}",
        attempt.budget,
        attempt.key,
        outcome != AttemptOutcome::Unknown
    );
    run_traced(instance, attempt, |cell| (AttemptStep::Ended(outcome.clone()), cell.end(attempt, outcome)));
}

/// Operation on an attempt's claim and its result, as recorded in the trace.
enum AttemptStep {
    Claim { digest: u64, claimed: ClaimStatus },
    Checked(Option<ClaimStatus>),
    Renounced,
    Ended(AttemptOutcome),
}

/// Runs `operation` on the attempt's shard and records its step in the trace under the same lock.
fn run_traced<T>(
    instance: &Instance,
    attempt: &AttemptKey,
    operation: impl FnOnce(&mut ShardCell) -> (AttemptStep, T),
) -> T {
    let mut cell = instance.board.cell(&attempt.budget).lock();
    let (step, result) = operation(&mut cell);
    let now = instance.deps.clock.now();
    instance.recorder.note(now, || step.trace_step(attempt), || step.outcome().map(str::to_owned));
    result
}

impl AttemptStep {
    fn trace_step(&self, attempt: &AttemptKey) -> Step {
        let (budget, key) = (BudgetText(attempt.budget.clone()), attempt.key.clone());
        match self {
            Self::Claim { digest, .. } => Step::Claim { budget, key, digest: *digest },
            Self::Checked(_) => Step::Claimed { budget, key },
            Self::Renounced => Step::Renounce { budget, key },
            Self::Ended(outcome) => Step::ended(budget, key, outcome),
        }
    }

    const fn outcome(&self) -> Option<&'static str> {
        match self {
            Self::Claim { claimed, .. } => Some(claim_word(Some(*claimed))),
            Self::Checked(status) => Some(claim_word(*status)),
            Self::Renounced | Self::Ended(_) => None,
        }
    }
}
