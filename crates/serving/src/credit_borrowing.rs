//! Asks other instances for loans, one loan request at a time for each account.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::instance_of;
use coltsfootpick_core::holder_credit::HeadroomOutcome;
use coltsfootpick_core::lenders::LENDERS_PER_ACCOUNT;
use coltsfootpick_core::loan_queue::LoanDemand;
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::units::Tokens;
use coltsfootpick_wire::loans::LoanMessage;
use tokio::sync::oneshot;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::credit_controller::{CreditController, CreditReservation};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::peer_client::PeerRequest;

/// Time that an instance waits for one peer's loan before it asks the next peer.
const LOAN_TIMEOUT: Duration = Duration::from_millis(150);

/// Further time for the answers of peers that were slow.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of peers that are asked for one loan.
const LOAN_PEERS_MAX: usize = 3;

/// Result of waiting for a loan.
#[derive(Debug)]
pub(crate) enum LoanResult {
    /// A loan arrived, and the request's tokens are reserved.
    Reserved(CreditReservation),
    /// The known use of all holders leaves too few tokens.
    Exhausted,
    /// No peer lends.
    NoLoan,
}

/// Answer of one peer to a loan request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoanAnswer {
    /// A loan arrived, and the oldest waiting request took from it.
    Lent,
    /// A loan arrived, but the oldest waiting request needs more.
    TooSmall,
    Exhausted,
    NoLoan,
}

impl CreditController {
    /// Waits until `deadline` for a loan that covers a request of `bound` tokens, together with the other requests of the
    /// account.
    pub(crate) async fn borrow(
        self: &Arc<Self>,
        account: &ClientAccountName,
        bound: Tokens,
        deadline: Instant,
    ) -> LoanResult {
        let (sender, receiver) = oneshot::channel();
        let must_ask = self.loan_queue.lock().join(account, bound, sender);
        if must_ask {
            tokio::spawn(Arc::clone(self).ask_for_all(account.clone()));
        }
        match tokio::time::timeout_at(deadline, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => LoanResult::NoLoan,
        }
    }

    /// Asks for the next loan if this instance is about to run out of its loans of `account`.
    pub(crate) fn borrow_ahead(self: &Arc<Self>, account: &ClientAccountName) {
        let now = self.board.clock.now();
        if self.credit.lock().needs_loan_ahead(account, now) && self.loan_queue.lock().join_ahead(account) {
            tokio::spawn(Arc::clone(self).ask_for_all(account.clone()));
        }
    }

    /// Asks for one loan after another until no request of `account` waits.
    async fn ask_for_all(self: Arc<Self>, account: ClientAccountName) {
        let mut was_too_small = false;
        loop {
            let demand = self.loan_queue.lock().demand(&account, oneshot::Sender::is_closed);
            let Some(demand) = demand else { return };
            let answer = self.ask_peers(&account, demand).await;
            // The request that the loan was meant for may have left, and the next one may need more. A second loan that is
            // too small means that this instance has committed more than its limits cover.
            let is_first = answer == LoanAnswer::TooSmall && !std::mem::replace(&mut was_too_small, true);
            if answer == LoanAnswer::Lent || is_first || demand.least.is_zero() {
                was_too_small &= is_first;
                continue;
            }
            let refused = self.loan_queue.lock().refuse(&account, demand.least);
            for waiter in refused {
                let is_exhausted = answer == LoanAnswer::Exhausted;
                let _ = waiter.send(if is_exhausted { LoanResult::Exhausted } else { LoanResult::NoLoan });
            }
        }
    }

    /// Asks peers one after another until one lends.
    async fn ask_peers(self: &Arc<Self>, account: &ClientAccountName, demand: LoanDemand) -> LoanAnswer {
        let candidates = self.lender_candidates(account, demand.least);
        // Without a waiting request one peer is enough: a request that arrives meanwhile must not wait for the others.
        let peers = if demand.least.is_zero() { 1 } else { LOAN_PEERS_MAX };
        let mut unanswered = Vec::new();
        for lender in candidates.into_iter().take(peers) {
            let mut asked = self.ask(&lender, account, demand);
            match tokio::time::timeout(LOAN_TIMEOUT, &mut asked).await {
                Ok(Ok(LoanAnswer::NoLoan) | Err(_)) => {}
                Ok(Ok(answer)) => return answer,
                Err(_) => unanswered.push(asked),
            }
        }
        // Lenders answer late while they wait for their reserves at the beginning of an outage.
        let until = Instant::now() + LATE_ANSWER_TIMEOUT;
        for asked in unanswered {
            if let Ok(Ok(answer)) = tokio::time::timeout_at(until, asked).await
                && answer != LoanAnswer::NoLoan
            {
                return answer;
            }
        }
        LoanAnswer::NoLoan
    }

    /// Runs of peers to ask, the most suitable first.
    fn lender_candidates(&self, account: &ClientAccountName, bound: Tokens) -> Vec<Arc<str>> {
        let own = &self.board.instance.name;
        let runs: Vec<Arc<str>> = match self.board.is_shared_fleet() {
            true => self.holders_by_headroom(account, bound),
            false => {
                let mut lenders = self.board.lenders_of(account);
                // Halves the callers of an account between its lenders.
                let rotation = usize::try_from(xxh3_64(own.as_bytes())).unwrap_or_default() % LENDERS_PER_ACCOUNT;
                lenders[..LENDERS_PER_ACCOUNT].rotate_left(rotation);
                lenders.iter().filter_map(|instance| self.peers.available_run(instance)).collect()
            }
        };
        let refusals = self.loan_refusals.lock();
        let is_suitable = |run: &Arc<str>| {
            instance_of(run) != &**own && self.peers.is_available(run) && !refusals.is_refused(run, account, bound)
        };
        runs.into_iter().filter(is_suitable).collect()
    }

    /// Holders of a small fleet with the most headroom by their newest records.
    fn holders_by_headroom(&self, account: &ClientAccountName, bound: Tokens) -> Vec<Arc<str>> {
        let mut holders = self.ceilings.lock().headroom_by_holder(self.holder(), account);
        let sufficient = holders.iter().take_while(|(_, headroom)| *headroom >= bound).count();
        if sufficient > 0 {
            // Rotates by a hash of the own name, so that instances with the same records ask different holders.
            let rotation = xxh3_64(self.holder().as_bytes()) % sufficient as u64;
            holders[..sufficient].rotate_left(usize::try_from(rotation).unwrap_or_default());
        }
        holders.into_iter().map(|(holder, _)| holder).collect()
    }

    /// Asks one peer; its loan is kept even if it arrives after the wait for it has ended.
    fn ask(
        self: &Arc<Self>,
        lender: &Arc<str>,
        account: &ClientAccountName,
        demand: LoanDemand,
    ) -> oneshot::Receiver<LoanAnswer> {
        let most = self.credit.lock().loan_target(account, demand.sum, self.board.clock.now());
        // A loan of nothing counts as a refusal, so the least loan is one token.
        let request =
            PeerRequest { loan: Some((account.clone(), demand.least.max(Tokens(1)), most)), settlements: None };
        let (sender, receiver) = oneshot::channel();
        let (controller, peer, account) = (Arc::clone(self), Arc::clone(lender), account.clone());
        let on_answer = move |answer: Option<LoanMessage>| {
            controller.note_answer(&peer, answer.as_ref());
            let _ = sender.send(controller.receive_loan(&peer, &account, demand.least, answer));
        };
        self.peers.send(lender, request, Box::new(on_answer));
        receiver
    }

    fn receive_loan(
        self: &Arc<Self>,
        peer: &Arc<str>,
        account: &ClientAccountName,
        least: Tokens,
        answer: Option<LoanMessage>,
    ) -> LoanAnswer {
        let Some(answer) = answer else { return LoanAnswer::NoLoan };
        log_event!(
            LogEvent::CreditBorrowed,
            "peer={peer} account={account} amount={} left={} exhausted={}",
            answer.amount,
            answer.headroom,
            answer.exhausted
        );
        if answer.amount == 0 {
            // A loan that was asked for ahead of need says nothing about the requests to come.
            if !least.is_zero() {
                self.loan_refusals.lock().note(peer, account, least);
            }
            return match answer.exhausted {
                true => LoanAnswer::Exhausted,
                false => LoanAnswer::NoLoan,
            };
        }
        let served = {
            let (prepaid, now) = (self.prepaid(account), self.board.clock.now());
            let (mut queue, mut credit) = (self.loan_queue.lock(), self.credit.lock());
            credit.borrow(account, peer, Tokens(answer.amount));
            queue.serve(account, |bound| credit.reserve(account, bound, prepaid, now))
        };
        let is_used = !served.is_empty();
        for (bound, waiter, outcome) in served {
            // A waiter that is gone drops the reservation, which leaves the loan as headroom.
            let _ = waiter.send(match outcome {
                HeadroomOutcome::Reserved => LoanResult::Reserved(self.reservation(account, bound)),
                HeadroomOutcome::Exhausted => LoanResult::Exhausted,
                HeadroomOutcome::NoHeadroom => LoanResult::NoLoan,
            });
        }
        self.notify_changed();
        if is_used { LoanAnswer::Lent } else { LoanAnswer::TooSmall }
    }
}
