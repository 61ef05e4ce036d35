//! Reserves credit for requests.
//!
//! Requests reserve in memory and wait only when a ceiling is too low: for a renewal (`credit_renewal`) where this
//! instance holds credit of the account, else for a loan (`credit_borrowing`). See `docs/CREDIT.md`.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use coltsfootpick_core::ceilings::CeilingTable;
use coltsfootpick_core::headroom::CeilingPolicy;
use coltsfootpick_core::holder_credit::{HeadroomOutcome, HolderCredit};
use coltsfootpick_core::lenders::CreditRole;
use coltsfootpick_core::loan_queue::LoanQueue;
use coltsfootpick_core::loans::SettlementOutbox;
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::units::Tokens;
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::credit_borrowing::LoanResult;
use crate::credit_loans::LoanRefusals;
use crate::credit_renewal::PendingWrite;
use crate::interfaces::KeyedLog;
use crate::peer_client::PeerClient;

/// Longest time that a request waits for a higher ceiling or a loan.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry delay given to a request that is refused because the store does not answer.
const STORE_BACKOFF: Duration = Duration::from_secs(1);

/// Tokens reserved for one request; dropping it settles the tokens that were used.
#[derive(Debug)]
pub struct CreditReservation {
    controller: Arc<CreditController>,
    account: ClientAccountName,
    bound: Tokens,
    used: Tokens,
}

impl CreditReservation {
    /// Sets the number of tokens that the request has used so far.
    pub const fn set_used(&mut self, used: Tokens) {
        self.used = used;
    }

    /// Adds the tokens of `other`, which ends without use.
    pub fn absorb(&mut self, mut other: Self) {
        self.bound += std::mem::take(&mut other.bound);
    }

    /// Number of tokens reserved.
    pub const fn bound(&self) -> Tokens {
        self.bound
    }

    /// Number of tokens that the request has used so far.
    pub const fn used(&self) -> Tokens {
        self.used
    }
}

impl Drop for CreditReservation {
    fn drop(&mut self) {
        let now = self.controller.board.clock.now();
        let has_excess = {
            let mut credit = self.controller.credit.lock();
            credit.settle(&self.account, self.bound, self.used, now);
            credit.has_excess_loans(&self.account, now)
        };
        if has_excess {
            self.controller.settlement_needed.notify_one();
        }
        self.controller.board.metrics.tokens.inc_by(self.used.0);
    }
}

/// Controller of this instance's credit.
#[derive(Debug)]
pub struct CreditController {
    pub(crate) board: Arc<Blackboard>,
    pub(crate) store: Arc<dyn KeyedLog>,
    pub(crate) credit: Mutex<HolderCredit>,
    pub(crate) ceilings: Mutex<CeilingTable>,
    pub(crate) policy: CeilingPolicy,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) loan_refusals: Mutex<LoanRefusals>,
    /// Requests that wait for a loan; locked before `credit`.
    pub(crate) loan_queue: Mutex<LoanQueue<oneshot::Sender<LoanResult>>>,
    pub(crate) settlements: Mutex<SettlementOutbox>,
    pub(crate) started: Instant,
    /// When an earlier run of this instance was first read from the store.
    pub(crate) earlier_seen: OnceLock<Instant>,
    /// Unix time in milliseconds at which this run started, by the clock of each peer instance.
    pub(crate) peer_starts: Mutex<BTreeMap<Arc<str>, u64>>,
    pub(crate) pending: Mutex<PendingWrite>,
    pub(crate) read_at: Mutex<Option<Instant>>,
    pub(crate) renewal_needed: Notify,
    /// Notified when idle loans are to be returned before the next settlement.
    pub(crate) settlement_needed: Notify,
    /// Counts the changes after which a request without headroom should try again.
    pub(crate) credit_changed: watch::Sender<u64>,
    pub(crate) store_reachable: AtomicBool,
}

impl CreditController {
    /// Creates a controller that writes its records under the key `holder`.
    pub fn new(board: Arc<Blackboard>, store: Arc<dyn KeyedLog>, holder: Arc<str>, policy: CeilingPolicy) -> Arc<Self> {
        Arc::new(Self {
            peers: PeerClient::new(Arc::clone(&holder), Arc::clone(&board)),
            loan_refusals: Mutex::default(),
            loan_queue: Mutex::default(),
            settlements: Mutex::default(),
            started: Instant::now(),
            earlier_seen: OnceLock::new(),
            peer_starts: Mutex::default(),
            board,
            store,
            credit: Mutex::new(HolderCredit::new(holder, policy)),
            ceilings: Mutex::default(),
            policy,
            pending: Mutex::default(),
            read_at: Mutex::default(),
            renewal_needed: Notify::new(),
            settlement_needed: Notify::new(),
            credit_changed: watch::Sender::new(0),
            store_reachable: AtomicBool::new(false),
        })
    }

    /// Reserves `bound` tokens of `account`; waits for a renewal or a loan if the headroom is too low.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if the account is used up, or if no credit arrives before `deadline` or within
    /// `RESERVE_TIMEOUT`.
    pub async fn reserve(
        self: &Arc<Self>,
        account: &ClientAccountName,
        bound: Tokens,
        prepaid: Tokens,
        deadline: Instant,
    ) -> Result<CreditReservation, Refusal> {
        let deadline = deadline.min(Instant::now() + RESERVE_TIMEOUT);
        let mut credit_changed = self.credit_changed.subscribe();
        let mut waiting: Option<WaitingRequest<'_>> = None;
        // Peers are asked once; after that only the store can help.
        let mut may_borrow = true;
        loop {
            credit_changed.mark_unchanged();
            match self.try_reserve(account, bound, prepaid) {
                HeadroomOutcome::Reserved => {
                    self.borrow_ahead(account);
                    return Ok(self.reservation(account, bound));
                }
                HeadroomOutcome::Exhausted => return Err(self.refusal(Code::BudgetExhausted, account, bound)),
                HeadroomOutcome::NoHeadroom => {}
            }
            if may_borrow && !self.can_raise(account, bound) {
                may_borrow = false;
                match self.borrow(account, bound, deadline).await {
                    LoanResult::Reserved(reservation) => return Ok(reservation),
                    LoanResult::Exhausted => return Err(self.refusal(Code::BudgetExhausted, account, bound)),
                    LoanResult::NoLoan => continue,
                }
            }
            if !may_borrow && (!self.is_store_reachable() || self.is_held_by_others(account, bound)) {
                return Err(self.refusal(Code::CreditUnavailable, account, bound).retry_after(STORE_BACKOFF));
            }
            waiting.get_or_insert_with(|| WaitingRequest::new(self, account, bound));
            self.renewal_needed.notify_one();
            if tokio::time::timeout_at(deadline, credit_changed.changed()).await.is_err() {
                return Err(self.refusal(Code::CreditUnavailable, account, bound).retry_after(STORE_BACKOFF));
            }
        }
    }

    fn try_reserve(&self, account: &ClientAccountName, bound: Tokens, prepaid: Tokens) -> HeadroomOutcome {
        self.credit.lock().reserve(account, bound, prepaid, self.board.clock.now())
    }

    /// Guard of `bound` tokens that were set aside.
    pub(crate) fn reservation(self: &Arc<Self>, account: &ClientAccountName, bound: Tokens) -> CreditReservation {
        CreditReservation { controller: Arc::clone(self), account: account.clone(), bound, used: Tokens::ZERO }
    }

    /// Whether this instance holds credit of `account` itself and the store can grant it `bound` tokens more.
    pub(crate) fn can_raise(&self, account: &ClientAccountName, bound: Tokens) -> bool {
        self.role(account) != CreditRole::Borrower
            && self.is_store_reachable()
            && !self.is_held_by_others(account, bound)
    }

    /// Whether the store answers, as far as known. An instance without credit makes no calls about it, so that its other
    /// calls decide.
    pub(crate) fn is_store_reachable(&self) -> bool {
        self.board.store_answers() && (self.store_reachable.load(Ordering::Relaxed) || !self.holds_credit())
    }

    /// Role of this instance in the credit of `account`.
    pub(crate) fn role(&self, account: &ClientAccountName) -> CreditRole {
        let live = match self.board.is_shared_fleet() {
            true => self.ceilings.lock().live_count(self.holder(), self.board.clock.now(), self.policy.silence) + 1,
            false => 0,
        };
        self.board.credit_role(account, live as u64)
    }

    pub(crate) fn prepaid(&self, account: &ClientAccountName) -> Tokens {
        self.board.routes().and_then(|table| table.prepaid(account)).unwrap_or_default()
    }

    /// Whether the ceilings of other holders leave fewer than `bound` prepaid tokens to this one.
    pub(crate) fn is_held_by_others(&self, account: &ClientAccountName, bound: Tokens) -> bool {
        let prepaid = self.prepaid(account);
        let others = self.ceilings.lock().others(self.holder(), account, self.board.clock.now(), self.policy.silence);
        prepaid.saturating_sub(others.allowed) < self.credit.lock().committed(account) + bound
    }

    /// Name of this run as a holder of credit, `INSTANCE/RUN`.
    pub fn holder(&self) -> &Arc<str> {
        self.peers.holder()
    }

    /// Tokens of `account` that this instance has used, has reserved and may use, in this order.
    pub fn account_usage(&self, account: &ClientAccountName) -> (Tokens, Tokens, Tokens) {
        self.credit.lock().usage(account)
    }

    /// Client for loans from other instances.
    pub const fn peers(&self) -> &Arc<PeerClient> {
        &self.peers
    }

    fn refusal(&self, code: Code, account: &ClientAccountName, bound: Tokens) -> Refusal {
        let others = self.ceilings.lock().others(self.holder(), account, self.board.clock.now(), self.policy.silence);
        let (used, reserved, allowed) = self.credit.lock().usage(account);
        let prepaid = self.prepaid(account);
        let detail = format!(
            "account={account} bound={bound} used={used} reserved={reserved} allowed={allowed} prepaid={prepaid} \
             others-ceiling={} others-seen={} store-reached={}",
            others.allowed,
            others.reported,
            self.is_store_reachable()
        );
        Refusal::not_run(code, detail)
    }

    /// Wakes the requests that wait for credit.
    pub(crate) fn notify_changed(&self) {
        self.credit_changed.send_modify(|count| *count += 1);
    }
}

/// Registers a request as waiting for a higher ceiling until it is dropped.
pub(crate) struct WaitingRequest<'a> {
    controller: &'a CreditController,
    account: &'a ClientAccountName,
    bound: Tokens,
}

impl<'a> WaitingRequest<'a> {
    pub(crate) fn new(controller: &'a CreditController, account: &'a ClientAccountName, bound: Tokens) -> Self {
        controller.credit.lock().count_waiting(account, bound, true);
        Self { controller, account, bound }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.controller.credit.lock().count_waiting(self.account, self.bound, false);
    }
}
