//! Lends credit to other instances, and settles loans. See `credit_borrowing` for the borrower.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::RESERVE_DELAY;
use coltsfootpick_core::loans::{Loan, SETTLE_INTERVAL, SettlementBatch};
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
use crate::credit_controller::{CreditController, WaitingRequest};
use crate::peer_client::PeerRequest;
use crate::peer_server::{LoanTerms, PeerHandler};

/// Time during which a peer that refused a loan is not asked again for as much of the same account.
const REFUSED_PAUSE: Duration = Duration::from_millis(500);

/// Longest time that a lender waits for a higher ceiling before it refuses a loan.
const LEND_TIMEOUT: Duration = Duration::from_millis(250);

/// Shortest pause between two settlements, so that requests that end together share one message to each lender.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// Longest time that a lender waits for its reserve at the beginning of an outage before it refuses a loan; borrowers close
/// a connection that gives no answer for 400 ms.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(350);

/// Time of use of the reserve for which a lender waits as well, so that a request fits into it.
const RESERVE_ACCRUAL: Duration = Duration::from_millis(100);

/// Interval at which a lender that waits for its reserve checks it.
const RESERVE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Settling rounds without any request after which an instance asks a lender for reports of suspects.
const QUIET_ROUNDS: u32 = 8;

/// Longest time that a stopping instance waits for the last settlement.
const LAST_SETTLEMENT_TIMEOUT: Duration = Duration::from_millis(300);

/// Loans that peers refused recently.
#[derive(Debug, Default)]
pub(crate) struct LoanRefusals {
    /// Refused amount and end of the pause, by peer and account.
    refused: BTreeMap<(Arc<str>, ClientAccountName), (Tokens, Instant)>,
}

impl LoanRefusals {
    pub(crate) fn note(&mut self, peer: &Arc<str>, account: &ClientAccountName, amount: Tokens) {
        let now = Instant::now();
        self.refused.retain(|_, (_, until)| *until > now);
        self.refused.insert((Arc::clone(peer), account.clone()), (amount, now + REFUSED_PAUSE));
    }

    pub(crate) fn is_refused(&self, peer: &Arc<str>, account: &ClientAccountName, amount: Tokens) -> bool {
        let refused = self.refused.get(&(Arc::clone(peer), account.clone()));
        refused.is_some_and(|(least, until)| amount >= *least && *until > Instant::now())
    }
}

impl CreditController {
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
        loop {
            let pause = async {
                tokio::time::sleep(SETTLE_PAUSE).await;
                let next = tokio::time::timeout(
                    SETTLE_INTERVAL.saturating_sub(SETTLE_PAUSE),
                    self.settlement_needed.notified(),
                );
                let _ = next.await;
            };
            tokio::select! {
                () = pause => {}
                () = stop.cancelled() => return,
            }
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
    /// Whether the reserve becomes usable while a loan may wait for it, or became so only just.
    fn is_reserve_near(&self) -> bool {
        let isolation = self.credit.lock().isolation(self.board.clock.now());
        (RESERVE_DELAY.saturating_sub(RESERVE_TIMEOUT)..RESERVE_DELAY + RESERVE_ACCRUAL).contains(&isolation)
    }

    /// Lends what is there now.
    ///
    /// Whether an account is used up can be told only by the document of the borrower or a newer one: an older one may
    /// lack the account, or know a smaller amount.
    fn lend_now(&self, terms: &LoanTerms) -> Loan {
        let table = self.board.routes();
        let is_current = table.as_ref().is_some_and(|table| table.version() >= terms.document);
        let Some(prepaid) = table.and_then(|table| table.prepaid(&terms.account)) else { return Loan::default() };
        let now = self.board.clock.now();
        let loan = self.credit.lock().lend_to(&terms.borrower, &terms.account, terms.least, terms.most, prepaid, now);
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
            let reserve_deadline = Instant::now() + RESERVE_TIMEOUT;
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
                if !loan.amount.is_zero() || loan.is_exhausted || Instant::now() >= reserve_deadline {
                    return loan;
                }
                if !self.is_store_reachable() && self.is_reserve_near() {
                    // No request is registered as waiting: a record planned now would delay the use of the reserve.
                    tokio::time::sleep_until(reserve_deadline.min(Instant::now() + RESERVE_CHECK_INTERVAL)).await;
                    continue;
                }
                if !can_wait {
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
