//! Calls that must not repeat: claimed on the log, dispatched once, and asked after when no answer came.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use coltsfootpick_core::attempts::AttemptView;
use coltsfootpick_core::blackboard::ShardCell;
use coltsfootpick_core::names::RecordId;
use coltsfootpick_core::record::{AttemptKey, AttemptOutcome};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::trace::{BudgetText, Step, claim_word};
use coltsfootpick_core::wallet::ClaimStatus;
use http::{Method, StatusCode};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::credit::Credit;
use crate::event;
use crate::events::Event;
use crate::http::CallError;
use crate::in_flight::{Copy, Run};
use crate::instance::Instance;
use crate::plain::{Answer, PlainCall, Terms, bill, choose, dispatch, reserve};

/// Time after which a caller may ask again.
const RETRY: Duration = Duration::from_secs(1);

/// Longest answer kept with an attempt, in bytes; a longer one is kept as its status alone.
const KEPT_MAX_BYTES: usize = 4 << 10;

/// Runs a call at most once in the whole fleet.
pub async fn at_most_once(
    instance: &Arc<Instance>,
    call: &PlainCall,
    attempt: &AttemptKey,
    terms: &Terms,
) -> Result<Answer, Refusal> {
    let digest = digest(call);
    match instance.in_flight.enter(attempt, digest) {
        Copy::First(run) => first(instance, call, attempt, terms, run).await,
        Copy::Second(end) => end.wait(call.until).await.unwrap_or_else(|| Err(in_progress())),
        Copy::Different => Err(Refusal::not_run(Code::KeyReused, "the key was used for a different call")),
    }
}

async fn first(
    instance: &Arc<Instance>,
    call: &PlainCall,
    attempt: &AttemptKey,
    terms: &Terms,
    run: Run,
) -> Result<Answer, Refusal> {
    let digest = run.digest();
    let status = terms.status.as_deref();
    if let Some(answer) = known_end(instance, call, attempt, digest, status).await? {
        return Ok(answer);
    }
    terms.entrance.check(instance)?;
    check_log(instance)?;
    let id = RecordId::from(format!("{}:{}", attempt.budget, attempt.key));
    let credit = reserve(instance, &attempt.budget, terms.price, &id, call.until).await?;
    match claim(instance, attempt, digest, call.until).await? {
        ClaimStatus::Won => {
            // The call goes on when its caller leaves, so that its end is always recorded.
            let (instance, call, attempt, terms) = (Arc::clone(instance), call.clone(), attempt.clone(), terms.clone());
            let tracker = instance.open.clone();
            let task = tracker.spawn(async move {
                let ended = run_claimed(&instance, &call, &attempt, credit, &terms).await;
                run.end(&ended);
                ended
            });
            task.await.unwrap_or_else(|error| Err(Refusal::may_have_run(Code::EndUnknown, error.to_string())))
        }
        _ => match known_end(instance, call, attempt, digest, status).await? {
            Some(answer) => Ok(answer),
            None => Err(in_progress()),
        },
    }
}

/// Refuses at once while no claim can be written.
fn check_log(instance: &Instance) -> Result<(), Refusal> {
    match instance.peers.is_log_reached() {
        true => Ok(()),
        false => {
            Err(Refusal::not_run(Code::LogUnavailable, "the log that takes claims is out of reach").retry_after(RETRY))
        }
    }
}

fn in_progress() -> Refusal {
    Refusal::may_have_run(Code::InProgress, "the same call is at work").retry_after(RETRY)
}

fn unconfirmed() -> Refusal {
    Refusal::not_run(Code::LogUnavailable, "the claim was not confirmed in time").retry_after(RETRY)
}

/// Digest that tells whether two calls with one key are the same call.
fn digest(call: &PlainCall) -> u64 {
    let head = format!("{} {}/{}\n", call.method, call.service, call.path);
    xxh3_64(&[head.as_bytes(), &call.body].concat())
}

/// Answers from what the log already knows of the attempt; `None` when it is free to claim.
async fn known_end(
    instance: &Arc<Instance>,
    call: &PlainCall,
    attempt: &AttemptKey,
    digest: u64,
    status: Option<&str>,
) -> Result<Option<Answer>, Refusal> {
    let view = instance.board.cell(&attempt.budget).lock().attempt_view(attempt, digest);
    match view {
        AttemptView::Unclaimed => Ok(None),
        AttemptView::DifferentCall => Err(Refusal::not_run(Code::KeyReused, "the key was used for a different call")),
        AttemptView::InProgress => Err(in_progress()),
        AttemptView::Ended(AttemptOutcome::Answered { status, body }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            Ok(Some(Answer { status, body: Bytes::copy_from_slice(&body) }))
        }
        AttemptView::Ended(AttemptOutcome::Unknown) | AttemptView::OwnerGone => {
            Err(unknown_end(instance, call, attempt, status).await)
        }
    }
}

/// Honest refusal of a call that may have run, with the application's own status where it can be asked.
async fn unknown_end(
    instance: &Arc<Instance>,
    call: &PlainCall,
    attempt: &AttemptKey,
    status: Option<&str>,
) -> Refusal {
    let told = match status {
        Some(path) => ask_status(instance, call, attempt, path).await,
        None => "the application has no status to ask".to_owned(),
    };
    Refusal::may_have_run(Code::EndUnknown, format!("the call was sent and no answer came; {told}"))
}

async fn ask_status(instance: &Arc<Instance>, call: &PlainCall, attempt: &AttemptKey, path: &str) -> String {
    let question =
        PlainCall { path: format!("{path}/{}", attempt.key), method: Method::GET, body: Bytes::new(), ..call.clone() };
    let Some(server) = choose(instance, &question, &[]) else {
        return "no backend server can be asked for its status".to_owned();
    };
    match dispatch(instance, &instance.unpooled, &question, &server, instance.settings.liveness_timeout).await {
        Ok(answer) => format!("status: {}", String::from_utf8_lossy(&answer.body)),
        Err(error) => format!("its status cannot be had: {error}"),
    }
}

/// Appends a claim and waits until it is read back; gives it up at the deadline.
async fn claim(
    instance: &Arc<Instance>,
    attempt: &AttemptKey,
    digest: u64,
    until: Instant,
) -> Result<ClaimStatus, Refusal> {
    let mut change = instance.watch_shard(&attempt.budget);
    let claimed = change_attempt(instance, attempt, |cell| {
        let claimed = cell.claim(attempt, digest);
        (Change::Claim { digest, claimed }, claimed)
    });
    match claimed {
        ClaimStatus::Pending => {}
        ClaimStatus::Renounced => return Err(unconfirmed()),
        ClaimStatus::Won | ClaimStatus::Lost => return Err(in_progress()),
    }
    event!(Event::AttemptClaimed, "budget={} key={}", attempt.budget, attempt.key);
    let mut pending = PendingClaim { instance, attempt, is_over: false };
    loop {
        let status = change_attempt(instance, attempt, |cell| {
            let status = cell.claim_status(attempt);
            (Change::Looked(status), status)
        });
        match status {
            Some(status @ (ClaimStatus::Won | ClaimStatus::Lost)) => {
                pending.is_over = true;
                return Ok(status);
            }
            None => return Err(in_progress()),
            Some(_) if tokio::time::timeout_at(until, change.changed()).await.is_err() => {
                return Err(unconfirmed());
            }
            Some(_) => {}
        }
    }
}

/// Claim under way; dropping it before its end gives the claim up for good.
struct PendingClaim<'a> {
    instance: &'a Instance,
    attempt: &'a AttemptKey,
    is_over: bool,
}

impl Drop for PendingClaim<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        renounce(self.instance, self.attempt);
    }
}

/// Dispatches a claimed call once and records its end.
async fn run_claimed(
    instance: &Arc<Instance>,
    call: &PlainCall,
    attempt: &AttemptKey,
    credit: Option<Credit>,
    terms: &Terms,
) -> Result<Answer, Refusal> {
    let mut admitted = match terms.entrance.enter(instance).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            renounce(instance, attempt);
            return Err(refusal);
        }
    };
    let mut tried = Vec::new();
    while let Some(server) = choose(instance, call, &tried) {
        match dispatch(instance, &instance.unpooled, call, &server, instance.settings.call_timeout).await {
            Ok(answer) => {
                admitted.mark_whole();
                bill(credit, terms.price);
                end(instance, attempt, kept(&answer));
                return Ok(answer);
            }
            // Without a connection nothing was sent, so the one dispatch is still open.
            Err(CallError::NotSent(_)) => tried.push(server.name),
            Err(reason) => {
                bill(credit, terms.price);
                event!(Event::ServerFailed, "service={} server={} reason=\"{reason}\"", call.service, server.name);
                end(instance, attempt, AttemptOutcome::Unknown);
                return Err(unknown_end(instance, call, attempt, terms.status.as_deref()).await);
            }
        }
    }
    renounce(instance, attempt);
    let refusal = Refusal::not_run(Code::NoBackendServer, "no backend server took the call");
    Err(refusal.retry_after(RETRY))
}

/// Gives up the right to dispatch for good, which makes "not run" true.
fn renounce(instance: &Instance, attempt: &AttemptKey) {
    change_attempt(instance, attempt, |cell| (Change::Renounced, cell.renounce(attempt)));
    event!(Event::AttemptRenounced, "budget={} key={}", attempt.budget, attempt.key);
}

fn kept(answer: &Answer) -> AttemptOutcome {
    let whole = answer.body.len() <= KEPT_MAX_BYTES;
    let body = if whole { Arc::from(answer.body.as_ref()) } else { Arc::default() };
    AttemptOutcome::Answered { status: answer.status.as_u16(), body }
}

fn end(instance: &Instance, attempt: &AttemptKey, outcome: AttemptOutcome) {
    event!(
        Event::AttemptEnded,
        "budget={} key={} answered={}",
        attempt.budget,
        attempt.key,
        outcome != AttemptOutcome::Unknown
    );
    change_attempt(instance, attempt, |cell| (Change::Ended(outcome.clone()), cell.end(attempt, outcome)));
}

/// Change of an attempt's claim, for the trace.
enum Change {
    Claim { digest: u64, claimed: ClaimStatus },
    Looked(Option<ClaimStatus>),
    Renounced,
    Ended(AttemptOutcome),
}

/// Changes the attempt's cell and notes the change in the trace under the same lock.
fn change_attempt<T>(
    instance: &Instance,
    attempt: &AttemptKey,
    change: impl FnOnce(&mut ShardCell) -> (Change, T),
) -> T {
    let mut cell = instance.board.cell(&attempt.budget).lock();
    let (change, result) = change(&mut cell);
    let now = instance.deps.clock.now();
    instance.recorder.note(now, || change.step(attempt), || change.word().map(str::to_owned));
    result
}

impl Change {
    fn step(&self, attempt: &AttemptKey) -> Step {
        let (budget, key) = (BudgetText(attempt.budget.clone()), attempt.key.clone());
        match self {
            Self::Claim { digest, .. } => Step::Claim { budget, key, digest: *digest },
            Self::Looked(_) => Step::Claimed { budget, key },
            Self::Renounced => Step::Renounce { budget, key },
            Self::Ended(outcome) => Step::ended(budget, key, outcome),
        }
    }

    const fn word(&self) -> Option<&'static str> {
        match self {
            Self::Claim { claimed, .. } => Some(claim_word(Some(*claimed))),
            Self::Looked(status) => Some(claim_word(*status)),
            Self::Renounced | Self::Ended(_) => None,
        }
    }
}
