//! Credit reservations: waiting for credit, and settlement when a reservation is dropped.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::{BudgetKey, RecordId};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::shard_credit::{Reservation, ReserveOutcome, Ticket};
use coltsfootpick_core::trace::{BudgetText, Step, reserve_word};
use coltsfootpick_core::units::Tokens;
use tokio::time::Instant;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;

/// `Retry-After` of a request refused for lack of credit.
const CREDIT_RETRY: Duration = Duration::from_secs(1);

/// Longest time between two checks whether the log is still reachable.
const LOG_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Credit reserved for one request; dropping it bills the used part and releases the rest.
#[derive(Debug)]
pub struct ReservedCredit {
    instance: Arc<Instance>,
    ticket: Ticket,
    reservation: Reservation,
    request: RecordId,
    used: Tokens,
}

impl ReservedCredit {
    /// Sets the tokens used so far.
    pub const fn set_used(&mut self, used: Tokens) {
        self.used = used;
    }

    /// Tokens used so far.
    pub const fn used(&self) -> Tokens {
        self.used
    }
}

impl Drop for ReservedCredit {
    fn drop(&mut self) {
        let key = &self.reservation.key;
        let used = self.used.min(self.reservation.bound);
        let sizing = self.instance.board.sizing(key);
        let now = self.instance.deps.clock.now();
        let mut cell = self.instance.board.cell(key).lock();
        if let Some(credit) = cell.credit_mut(&self.reservation.holder) {
            credit.settle(&self.reservation, &self.request, used, now, &sizing);
            let (ticket, request) = (self.ticket, self.request.clone());
            self.instance.recorder.note(now, || Step::Settle { ticket, request, used }, || None);
        }
        drop(cell);
        self.instance.shard_changed(self.instance.board.shard_of(key));
        self.instance.metrics.billed_tokens.inc_by(used.0);
        event!(Event::Settled, "request={} budget={key} tokens={used}", self.request);
    }
}

/// A request waiting for credit; dropping it ends the wait.
struct WaitingRequest<'a> {
    instance: &'a Instance,
    ticket: Ticket,
    key: &'a BudgetKey,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let mut cell = self.instance.board.cell(self.key).lock();
        cell.credit.cancel_wait(self.ticket, self.key);
        let (ticket, budget) = (self.ticket, || BudgetText(self.key.clone()));
        let now = self.instance.deps.clock.now();
        self.instance.recorder.note(now, || Step::GiveUp { ticket, budget: budget() }, || None);
    }
}

/// Reserves `bound` tokens for `request`, waiting for credit until `deadline`.
pub async fn reserve(
    instance: &Arc<Instance>,
    key: &BudgetKey,
    bound: Tokens,
    request: &RecordId,
    deadline: Instant,
) -> Result<ReservedCredit, Refusal> {
    if !instance.is_caught_up(key) {
        let refusal = Refusal::not_run(Code::CreditUnavailable, "the ledger has not been read yet");
        return Err(refusal.retry_after(CREDIT_RETRY));
    }
    let waiting = WaitingRequest { instance, ticket: instance.next_ticket(), key };
    let mut shard_change = instance.watch_shard(key);
    loop {
        let outcome = try_reserve(instance, &waiting, bound);
        match outcome {
            ReserveOutcome::Reserved(reservation) => {
                let (instance, request) = (Arc::clone(instance), request.clone());
                return Ok(ReservedCredit {
                    instance,
                    ticket: waiting.ticket,
                    reservation,
                    request,
                    used: Tokens::ZERO,
                });
            }
            ReserveOutcome::Exhausted => {
                return Err(Refusal::not_run(
                    Code::BudgetExhausted,
                    format!("the budget does not cover {bound} tokens"),
                ));
            }
            ReserveOutcome::Waiting if !instance.peers.is_log_reachable() => {
                let refusal = Refusal::not_run(Code::CreditUnavailable, "no credit here and the log is out of reach");
                return Err(refusal.retry_after(CREDIT_RETRY));
            }
            ReserveOutcome::Waiting if Instant::now() >= deadline => {
                let refusal = Refusal::not_run(Code::CreditUnavailable, "no credit within the deadline");
                return Err(refusal.retry_after(CREDIT_RETRY));
            }
            ReserveOutcome::Waiting => {
                let next_check = deadline.min(Instant::now() + LOG_CHECK_INTERVAL);
                let _ = tokio::time::timeout_at(next_check, shard_change.changed()).await;
            }
        }
    }
}

fn try_reserve(instance: &Instance, waiting: &WaitingRequest<'_>, bound: Tokens) -> ReserveOutcome {
    let mut cell = instance.board.cell(waiting.key).lock();
    let cell = &mut *cell;
    let outcome = cell.credit.reserve(waiting.ticket, waiting.key, bound, &cell.state.ledger);
    let step = || Step::Reserve { ticket: waiting.ticket, budget: BudgetText(waiting.key.clone()), bound };
    instance.recorder.note(instance.deps.clock.now(), step, || Some(reserve_word(&outcome).to_owned()));
    outcome
}
