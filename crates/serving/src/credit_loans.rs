//! Borrows credit from other instances, lends it to them, and settles the loans.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::instance_of;
use coltsfootpick_core::holder_credit::HeadroomOutcome;
use coltsfootpick_core::lenders::LENDERS_PER_ACCOUNT;
use coltsfootpick_core::loans::{Loan, SettlementBatch};
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::quarantine::SuspectReport;
use coltsfootpick_core::units::Tokens;
use coltsfootpick_wire::loans::LoanMessage;
use futures_util::future::BoxFuture;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::crash_detection::SUSPECTS_PER_RECORD;
use crate::credit_controller::{CreditController, CreditReservation, WaitingRequest};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::peer_client::PeerRequest;
use crate::peer_server::{LoanTerms, PeerHandler};

/// Time that a request waits for one peer's loan before it asks the next peer.
const LOAN_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of peers that one request asks for a loan.
const LOAN_PEERS_MAX: usize = 3;

/// Time during which a peer that refused a loan is not asked again for as much of the same account.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

/// Longest time that a lender waits for a higher ceiling before it refuses a loan.
const LEND_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which loans are settled.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);

/// Settling rounds without any request after which an instance asks a lender for reports of suspects.
const QUIET_ROUNDS: u32 = 4;

/// Longest time that a stopping instance waits for the last settlement.
const LAST_SETTLEMENT_TIMEOUT: Duration = Duration::from_millis(300);

/// Loans that peers refused recently.
#[derive(Debug, Default)]
pub(crate) struct LoanRefusals {
    /// Refused amount and end of the pause, by peer and account.
    refused: BTreeMap<(Arc<str>, ClientAccountName), (Tokens, Instant)>,
}

impl LoanRefusals {
    fn note(&mut self, peer: &Arc<str>, account: &ClientAccountName, amount: Tokens) {
        let now = Instant::now();
        self.refused.retain(|_, (_, until)| *until > now);
        self.refused.insert((Arc::clone(peer), account.clone()), (amount, now + REFUSED_PAUSE));
    }

    fn is_refused(&self, peer: &Arc<str>, account: &ClientAccountName, amount: Tokens) -> bool {
        let refused = self.refused.get(&(Arc::clone(peer), account.clone()));
        refused.is_some_and(|(least, until)| amount >= *least && *until > Instant::now())
    }
}

/// Result of asking peers for a loan.
#[derive(Debug)]
pub(crate) enum LoanResult {
    /// A loan arrived, and the request's tokens are reserved.
    Reserved(CreditReservation),
    /// The known use of all holders leaves too few tokens.
    Exhausted,
    /// No peer lends.
    NoLoan,
}

impl CreditController {
    /// Asks peers one after another for a loan that covers a request of `bound` tokens, until `deadline`.
    pub(crate) async fn borrow(
        self: &Arc<Self>,
        account: &ClientAccountName,
        bound: Tokens,
        deadline: Instant,
    ) -> LoanResult {
        for lender in self.lender_candidates(account, bound) {
            let asked = self.ask(&lender, account, bound);
            match tokio::time::timeout_at(deadline.min(Instant::now() + LOAN_TIMEOUT), asked).await {
                Ok(Ok(LoanResult::NoLoan) | Err(_)) | Err(_) => {}
                Ok(Ok(result)) => return result,
            }
            if Instant::now() >= deadline {
                break;
            }
        }
        LoanResult::NoLoan
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
        runs.into_iter().filter(is_suitable).take(LOAN_PEERS_MAX).collect()
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

    /// Asks one peer; its loan is kept even if the caller has stopped waiting.
    fn ask(
        self: &Arc<Self>,
        lender: &Arc<str>,
        account: &ClientAccountName,
        bound: Tokens,
    ) -> oneshot::Receiver<LoanResult> {
        let most = self.credit.lock().loan_target(account, bound, self.board.clock.now());
        let request = PeerRequest { loan: Some((account.clone(), bound, most)), settlements: None };
        let (sender, receiver) = oneshot::channel();
        let (controller, peer, account) = (Arc::clone(self), Arc::clone(lender), account.clone());
        let on_answer = move |answer: Option<LoanMessage>| {
            controller.note_answer(&peer, answer.as_ref());
            // A caller that no longer waits drops the reservation, which leaves the loan as headroom.
            let _ = sender.send(controller.receive_loan(&peer, &account, bound, answer));
        };
        self.peers.send(lender, request, Box::new(on_answer));
        receiver
    }

    fn receive_loan(
        self: &Arc<Self>,
        peer: &Arc<str>,
        account: &ClientAccountName,
        bound: Tokens,
        answer: Option<LoanMessage>,
    ) -> LoanResult {
        let Some(answer) = answer else { return LoanResult::NoLoan };
        log_event!(
            LogEvent::CreditBorrowed,
            "peer={peer} account={account} amount={} left={} exhausted={}",
            answer.amount,
            answer.headroom,
            answer.exhausted
        );
        if answer.amount == 0 {
            self.loan_refusals.lock().note(peer, account, bound);
            return if answer.exhausted { LoanResult::Exhausted } else { LoanResult::NoLoan };
        }
        let outcome = {
            let (prepaid, now) = (self.prepaid(account), self.board.clock.now());
            let mut credit = self.credit.lock();
            credit.borrow(account, peer, Tokens(answer.amount));
            credit.reserve(account, bound, prepaid, now)
        };
        self.notify_changed();
        match outcome {
            HeadroomOutcome::Reserved => LoanResult::Reserved(self.reservation(account, bound)),
            HeadroomOutcome::Exhausted => LoanResult::Exhausted,
            HeadroomOutcome::NoHeadroom => LoanResult::NoLoan,
        }
    }

    /// Records what any answer tells about the peer.
    pub(crate) fn note_answer(&self, peer: &str, answer: Option<&LoanMessage>) {
        if let Some(answer) = answer {
            self.note_clock(peer, answer.timestamp);
        }
    }

    /// Forgets the loans of a run that has ended; their tokens can still be used.
    pub fn forget_run(&self, run: &str) {
        self.credit.lock().forget_lender(run);
        self.settlements.lock().forget(run);
    }

    /// Settles loans until `stop` is cancelled.
    pub async fn settle_loans(self: Arc<Self>, stop: CancellationToken) {
        let mut quiet_rounds = 0;
        let mut revision = 0;
        while tokio::time::timeout(SETTLE_INTERVAL, stop.cancelled()).await.is_err() {
            let sent = self.send_settlements().len();
            quiet_rounds = if sent > 0 { 0 } else { quiet_rounds + 1 };
            let newest = self.board.quarantine.lock().revision();
            if !self.board.is_shared_fleet() && (quiet_rounds >= QUIET_ROUNDS || newest > revision) {
                self.exchange_suspects();
                (quiet_rounds, revision) = (0, newest);
            }
        }
    }

    /// Settles all loans as far as possible before this instance ends.
    pub async fn settle_last(self: &Arc<Self>) {
        let answers = futures_util::future::join_all(self.send_settlements());
        let _ = tokio::time::timeout(LAST_SETTLEMENT_TIMEOUT, answers).await;
    }

    fn send_settlements(self: &Arc<Self>) -> Vec<oneshot::Receiver<()>> {
        let now = self.board.clock.now();
        let mut batches = Vec::new();
        {
            let (mut credit, mut outbox) = (self.credit.lock(), self.settlements.lock());
            let mut lenders = credit.lenders();
            lenders.extend(outbox.unconfirmed().cloned());
            for lender in lenders.into_iter().filter(|lender| self.peers.is_available(lender)) {
                let batch = outbox.batch(&lender, || credit.collect_settlements(&lender, now));
                batches.extend(batch.map(|batch| (lender, batch)));
            }
        }
        batches.into_iter().map(|(lender, batch)| self.send_batch(&lender, batch)).collect()
    }

    fn send_batch(self: &Arc<Self>, lender: &Arc<str>, batch: SettlementBatch) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let (controller, peer, number) = (Arc::clone(self), Arc::clone(lender), batch.number);
        let on_answer = move |answer: Option<LoanMessage>| {
            if answer.is_some() {
                controller.settlements.lock().confirm(&peer, number);
            }
            controller.note_answer(&peer, answer.as_ref());
            let _ = sender.send(());
        };
        self.peers.send(lender, PeerRequest { loan: None, settlements: Some(batch) }, Box::new(on_answer));
        receiver
    }

    /// Sends an empty request to one lender, since requests and answers carry reports of suspects.
    fn exchange_suspects(self: &Arc<Self>) {
        let own = &self.board.instance.name;
        let lenders = self.board.lenders();
        let runs: Vec<Arc<str>> = lenders
            .iter()
            .filter(|lender| *lender != own)
            .filter_map(|lender| self.peers.available_run(lender))
            .collect();
        if runs.is_empty() {
            return;
        }
        let at = usize::try_from(xxh3_64(own.as_bytes())).unwrap_or_default() % runs.len();
        self.peers.send(&runs[at], PeerRequest::default(), Box::new(|_| {}));
    }
}

impl CreditController {
    /// Lends what is there now.
    ///
    /// Whether an account is used up can be told only by the document of the borrower or a newer one: an older one may
    /// lack the account, or know a smaller amount.
    fn lend_now(&self, terms: &LoanTerms) -> Loan {
        let table = self.board.routes();
        let is_current = table.as_ref().is_some_and(|table| table.version() >= terms.document);
        let Some(prepaid) = table.and_then(|table| table.prepaid(&terms.account)) else { return Loan::default() };
        let now = self.board.clock.now();
        let loan = self.credit.lock().lend(&terms.account, terms.least, terms.most, prepaid, now);
        if loan.amount < terms.most {
            self.renewal_needed.notify_one();
        }
        Loan { is_exhausted: loan.is_exhausted && is_current, ..loan }
    }
}

impl PeerHandler for CreditController {
    fn lend(&self, terms: LoanTerms) -> BoxFuture<'_, Loan> {
        Box::pin(async move {
            let deadline = Instant::now() + LEND_TIMEOUT;
            let mut credit_changed = self.credit_changed.subscribe();
            let mut waiting: Option<WaitingRequest<'_>> = None;
            loop {
                credit_changed.mark_unchanged();
                if self.board.draining.is_cancelled() {
                    return Loan::default();
                }
                let loan = self.lend_now(&terms);
                let can_wait = !loan.is_exhausted
                    && self.is_store_reachable()
                    && !self.is_held_by_others(&terms.account, terms.least);
                if !loan.amount.is_zero() || !can_wait {
                    return loan;
                }
                waiting.get_or_insert_with(|| WaitingRequest::new(self, &terms.account, terms.least));
                if tokio::time::timeout_at(deadline, credit_changed.changed()).await.is_err() {
                    return loan;
                }
            }
        })
    }

    fn cancel_loan(&self, account: &ClientAccountName, amount: Tokens) {
        self.credit.lock().cancel_loan(account, amount);
    }

    fn settle(&self, batch: &SettlementBatch) {
        let now = self.board.clock.now();
        let mut credit = self.credit.lock();
        for entry in &batch.entries {
            credit.apply_settlement(entry, now);
        }
        drop(credit);
        self.notify_changed();
    }

    fn unix_millis(&self) -> u64 {
        self.board.clock.unix_millis()
    }

    fn merge_suspects(&self, reports: Vec<SuspectReport>) {
        self.board.quarantine.lock().merge_reports(reports, self.board.clock.now());
    }

    fn suspects_since(&self, revision: u64) -> (Vec<SuspectReport>, u64) {
        self.board.quarantine.lock().reports_since(revision, SUSPECTS_PER_RECORD, self.board.clock.now())
    }
}
