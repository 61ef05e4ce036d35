//! Budget state machine: every instance computes the same balances from the same log prefix.
//!
//! No rule reads a clock, since only the order of the log may decide. See `docs/DESIGN.md#budgets`.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;

use crate::names::{BudgetKey, Incarnation, RecordId};
use crate::record::{Close, Release, TopUp};
use crate::units::Tokens;

/// Maximum number of bills that a shard remembers, to recognise a second bill of a request. The same maximum applies
/// to its payments and releases together.
pub const REMEMBERED_IDS_MAX: usize = 200_000;

/// Credit of one budget that one incarnation holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Tokens granted and neither settled nor returned.
    pub outstanding: Tokens,
    /// Whether the holder is closed, so that its outstanding tokens are in doubt.
    pub closed: bool,
}

/// Balances of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    /// Tokens ever paid for.
    pub topped_up: Tokens,
    /// Tokens not granted to any holder.
    pub free: Tokens,
    /// Tokens billed.
    pub spent: Tokens,
    /// Tokens billed beyond those paid for; zero unless an operator released credit that was still in use.
    pub overspent: Tokens,
    /// Smallest useful amount of the last refused grant; zero when no holder waits.
    pub shortfall: Tokens,
    /// Credit held, by incarnation.
    pub holdings: BTreeMap<Incarnation, Holding>,
}

impl Budget {
    /// Tokens granted to open incarnations and neither settled nor returned.
    pub fn outstanding(&self) -> Tokens {
        self.sum_outstanding(false)
    }

    /// Tokens granted to closed incarnations and neither settled, returned nor released.
    pub fn in_doubt(&self) -> Tokens {
        self.sum_outstanding(true)
    }

    fn sum_outstanding(&self, closed: bool) -> Tokens {
        self.holdings.values().filter(|h| h.closed == closed).map(|h| h.outstanding).sum()
    }

    /// Whether no token was created or lost.
    pub fn is_balanced(&self) -> bool {
        self.topped_up + self.overspent == self.free + self.spent + self.outstanding() + self.in_doubt()
    }
}

/// Outcome of one budget record or entry.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum LedgerOutcome {
    /// Credit was granted; zero when too little was free.
    #[display("granted {_0}")]
    Granted(Tokens),
    /// A request was billed.
    #[display("billed {_0}")]
    Billed(Tokens),
    /// The request had been billed before, so the tokens of this bill went back to the pool.
    #[display("already billed, {_0} freed")]
    AlreadyBilled(Tokens),
    /// Credit went back to the pool.
    #[display("returned {_0}")]
    Returned(Tokens),
    /// The budget was topped up.
    #[display("topped up {_0}")]
    ToppedUp(Tokens),
    /// The incarnation was closed with this many tokens in doubt.
    #[display("closed with {_0} in doubt")]
    Closed(Tokens),
    /// Credit in doubt went back to the pool.
    #[display("released {_0}")]
    Released(Tokens),
    /// A bill exceeded the tokens paid for by this many.
    #[display("overspent {_0}")]
    Overspent(Tokens),
    /// The record had been applied before or has no effect.
    #[display("no effect")]
    NoEffect,
}

/// Complete state of a [`Ledger`], for snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerState {
    /// Balances by budget.
    pub budgets: BTreeMap<BudgetKey, Budget>,
    /// Requests billed, oldest first.
    pub billed: Vec<RecordId>,
    /// Payments and releases applied, oldest first.
    pub applied: Vec<RecordId>,
}

/// Balances of all budgets of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    budgets: BTreeMap<BudgetKey, Budget>,
    billed: SeenIds,
    applied: SeenIds,
}

impl Ledger {
    /// Copies the complete state.
    pub fn export(&self) -> LedgerState {
        let Self { budgets, billed, applied } = self;
        LedgerState { budgets: budgets.clone(), billed: billed.export(), applied: applied.export() }
    }

    /// Restores an exported state.
    pub fn import(state: LedgerState) -> Self {
        let LedgerState { budgets, billed, applied } = state;
        Self { budgets, billed: SeenIds::import(billed), applied: SeenIds::import(applied) }
    }

    /// Whether the payment or release `id` is remembered.
    pub fn is_applied(&self, id: &RecordId) -> bool {
        self.applied.contains(id)
    }

    /// Balances of `key`, or `None` when no record of it was applied.
    pub fn budget(&self, key: &BudgetKey) -> Option<&Budget> {
        self.budgets.get(key)
    }

    /// All balances in key order.
    pub fn budgets(&self) -> impl Iterator<Item = (&BudgetKey, &Budget)> {
        self.budgets.iter()
    }

    /// Whether a bill of `request` is remembered.
    pub fn is_billed(&self, request: &RecordId) -> bool {
        self.billed.contains(request)
    }

    /// Adds a payment, once for each record identifier.
    pub fn top_up(&mut self, record: &TopUp) -> LedgerOutcome {
        if !self.applied.insert(&record.id) {
            return LedgerOutcome::NoEffect;
        }
        let budget = self.budgets.entry(record.key.clone()).or_default();
        budget.topped_up += record.tokens;
        budget.free += record.tokens;
        budget.shortfall = Tokens::ZERO;
        LedgerOutcome::ToppedUp(record.tokens)
    }

    /// Grants up to `most` tokens, or none when fewer than `least` are free.
    pub fn grant(&mut self, holder: &Incarnation, key: &BudgetKey, least: Tokens, most: Tokens) -> LedgerOutcome {
        let budget = self.budgets.entry(key.clone()).or_default();
        if budget.free < least || budget.free.is_zero() {
            budget.shortfall = least;
            return LedgerOutcome::Granted(Tokens::ZERO);
        }
        let tokens = most.min(budget.free);
        budget.free = budget.free.saturating_sub(tokens);
        budget.shortfall = Tokens::ZERO;
        budget.holdings.entry(holder.clone()).or_default().outstanding += tokens;
        LedgerOutcome::Granted(tokens)
    }

    /// Bills `request` once, from the holder's credit and then from the free tokens.
    pub fn settle(
        &mut self,
        holder: &Incarnation,
        key: &BudgetKey,
        request: &RecordId,
        tokens: Tokens,
    ) -> LedgerOutcome {
        let budget = self.budgets.entry(key.clone()).or_default();
        let covered = withdraw(budget, holder, tokens);
        if !self.billed.insert(request) {
            budget.free += covered;
            return LedgerOutcome::AlreadyBilled(covered);
        }
        let from_pool = tokens.saturating_sub(covered).min(budget.free);
        budget.free = budget.free.saturating_sub(from_pool);
        budget.spent += tokens;
        let beyond = tokens.saturating_sub(covered + from_pool);
        budget.overspent += beyond;
        match beyond {
            Tokens::ZERO => LedgerOutcome::Billed(tokens),
            _ => LedgerOutcome::Overspent(beyond),
        }
    }

    /// Returns unused credit of the holder to the pool.
    pub fn return_credit(&mut self, holder: &Incarnation, key: &BudgetKey, tokens: Tokens) -> LedgerOutcome {
        let budget = self.budgets.entry(key.clone()).or_default();
        let covered = withdraw(budget, holder, tokens);
        budget.free += covered;
        LedgerOutcome::Returned(covered)
    }

    /// Closes the holder that `record` names, so that its outstanding credit is in doubt.
    pub fn close(&mut self, record: &Close) -> LedgerOutcome {
        let mut doubt = Tokens::ZERO;
        for budget in self.budgets.values_mut() {
            if let Some(holding) = budget.holdings.get_mut(&record.holder) {
                holding.closed = true;
                doubt += holding.outstanding;
            }
        }
        LedgerOutcome::Closed(doubt)
    }

    /// Returns credit in doubt to the pool on an operator's command.
    pub fn release(&mut self, record: &Release) -> LedgerOutcome {
        if !self.applied.insert(&record.id) {
            return LedgerOutcome::NoEffect;
        }
        let Some(budget) = self.budgets.get_mut(&record.key) else {
            return LedgerOutcome::NoEffect;
        };
        match budget.holdings.get(&record.holder).copied() {
            Some(holding) if holding.closed => {
                budget.holdings.remove(&record.holder);
                budget.free += holding.outstanding;
                LedgerOutcome::Released(holding.outstanding)
            }
            _ => LedgerOutcome::NoEffect,
        }
    }

    /// Whether the balances of `key` do not add up.
    pub fn is_unbalanced(&self, key: &BudgetKey) -> bool {
        self.budgets.get(key).is_some_and(|budget| !budget.is_balanced())
    }

    /// First budget whose balances do not add up.
    pub fn unbalanced_budget(&self) -> Option<&BudgetKey> {
        self.budgets.iter().find(|(_, budget)| !budget.is_balanced()).map(|(key, _)| key)
    }
}

/// Deducts up to `tokens` from the credit of `holder` and returns the amount deducted; an empty holding is removed.
fn withdraw(budget: &mut Budget, holder: &Incarnation, tokens: Tokens) -> Tokens {
    let Some(holding) = budget.holdings.get_mut(holder) else {
        return Tokens::ZERO;
    };
    let covered = holding.outstanding.min(tokens);
    holding.outstanding = holding.outstanding.saturating_sub(covered);
    if holding.outstanding.is_zero() {
        budget.holdings.remove(holder);
    }
    covered
}

/// Bounded set of identifiers. The oldest is removed first, in log order, so that all instances remember the same ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct SeenIds {
    order: VecDeque<RecordId>,
    ids: std::collections::BTreeSet<RecordId>,
}

impl SeenIds {
    fn export(&self) -> Vec<RecordId> {
        self.order.iter().cloned().collect()
    }

    fn import(order: Vec<RecordId>) -> Self {
        Self { ids: order.iter().cloned().collect(), order: order.into() }
    }

    fn contains(&self, id: &RecordId) -> bool {
        self.ids.contains(id)
    }

    /// Adds `id` and returns whether it was new.
    fn insert(&mut self, id: &RecordId) -> bool {
        if !self.ids.insert(id.clone()) {
            return false;
        }
        self.order.push_back(id.clone());
        if self.order.len() > REMEMBERED_IDS_MAX {
            let oldest = self.order.pop_front();
            oldest.map(|id| self.ids.remove(&id));
        }
        true
    }
}
