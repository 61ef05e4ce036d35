//! Requests of one instance that wait for loans: one loan request at a time for each account.
//!
//! Requests that arrive together without headroom would each ask for a loan of their own and for the expected use on
//! top, which empties the lenders. They wait together instead: one loan request asks for the sum of their bounds, and
//! what arrives is given to them in the order of their arrival. See `docs/CREDIT.md#loans`.

use std::collections::{BTreeMap, VecDeque};

use crate::holder_credit::HeadroomOutcome;
use crate::names::ClientAccountName;
use crate::units::Tokens;

/// Maximum number of waiting requests whose bounds one loan request adds up. More would let one instance take most of
/// what a lender has left.
const REQUESTS_PER_LOAN: usize = 32;

/// What one loan request asks for, without the expected use of further requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoanDemand {
    /// Bound of the oldest waiting request; zero if none waits and the loan is asked for ahead of need.
    pub least: Tokens,
    /// Sum of the bounds of the waiting requests, oldest first, up to a maximum number.
    pub sum: Tokens,
}

/// Waiting requests of one account.
#[derive(Debug)]
struct AccountQueue<W> {
    /// Bounds and waiters, oldest first.
    waiting: VecDeque<(Tokens, W)>,
    is_asking: bool,
    is_ahead: bool,
}

impl<W> Default for AccountQueue<W> {
    fn default() -> Self {
        Self { waiting: VecDeque::new(), is_asking: false, is_ahead: false }
    }
}

/// Requests that wait for loans, by account; `W` is told the outcome of its request.
#[derive(Debug)]
pub struct LoanQueue<W> {
    accounts: BTreeMap<ClientAccountName, AccountQueue<W>>,
}

impl<W> Default for LoanQueue<W> {
    fn default() -> Self {
        Self { accounts: BTreeMap::new() }
    }
}

impl<W> LoanQueue<W> {
    /// Adds a request of `bound` tokens; true if the caller has to ask for loans until [`Self::demand`] returns none.
    #[must_use]
    pub fn join(&mut self, account: &ClientAccountName, bound: Tokens, waiter: W) -> bool {
        let queue = self.accounts.entry(account.clone()).or_default();
        queue.waiting.push_back((bound, waiter));
        !std::mem::replace(&mut queue.is_asking, true)
    }

    /// Asks for a loan ahead of need; true if the caller has to ask for it as after [`Self::join`].
    #[must_use]
    pub fn join_ahead(&mut self, account: &ClientAccountName) -> bool {
        let queue = self.accounts.entry(account.clone()).or_default();
        if queue.is_asking {
            return false;
        }
        (queue.is_asking, queue.is_ahead) = (true, true);
        true
    }

    /// What the next loan request asks for, after the waiters that are `gone` were dropped. Without any, the asking
    /// ends, and the next request to join starts it again.
    pub fn demand(&mut self, account: &ClientAccountName, gone: impl Fn(&W) -> bool) -> Option<LoanDemand> {
        let queue = self.accounts.get_mut(account)?;
        queue.waiting.retain(|(_, waiter)| !gone(waiter));
        let is_ahead = std::mem::take(&mut queue.is_ahead);
        let bounds = queue.waiting.iter().map(|(bound, _)| *bound);
        match queue.waiting.front() {
            Some((least, _)) => Some(LoanDemand { least: *least, sum: bounds.take(REQUESTS_PER_LOAN).sum() }),
            None if is_ahead => Some(LoanDemand { least: Tokens::ZERO, sum: Tokens::ZERO }),
            None => {
                self.accounts.remove(account);
                None
            }
        }
    }

    /// Lets waiting requests `reserve` their bounds in the order of their arrival, until one finds too little headroom;
    /// returns the others with their bounds and outcomes.
    pub fn serve(
        &mut self,
        account: &ClientAccountName,
        mut reserve: impl FnMut(Tokens) -> HeadroomOutcome,
    ) -> Vec<(Tokens, W, HeadroomOutcome)> {
        let mut served = Vec::new();
        let Some(queue) = self.accounts.get_mut(account) else { return served };
        while let Some((bound, waiter)) = queue.waiting.pop_front() {
            match reserve(bound) {
                HeadroomOutcome::NoHeadroom => {
                    queue.waiting.push_front((bound, waiter));
                    break;
                }
                outcome => served.push((bound, waiter, outcome)),
            }
        }
        served
    }

    /// Removes the requests of at least `least` tokens, since no lender lends as much.
    pub fn refuse(&mut self, account: &ClientAccountName, least: Tokens) -> Vec<W> {
        let Some(queue) = self.accounts.get_mut(account) else { return Vec::new() };
        let (refused, kept) = std::mem::take(&mut queue.waiting).into_iter().partition(|(bound, _)| *bound >= least);
        queue.waiting = kept;
        let refused: VecDeque<(Tokens, W)> = refused;
        refused.into_iter().map(|(_, waiter)| waiter).collect()
    }
}
