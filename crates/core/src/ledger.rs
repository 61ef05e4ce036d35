//! Fold of budget records: every instance computes the same balances from the same log prefix.
//!
//! No rule here reads a clock; the order of the log decides. See `docs/DESIGN.md#budgets`.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;

use crate::names::{BudgetKey, Incarnation, RecordId};
use crate::record::{Close, Release, TopUp};
use crate::units::Tokens;

/// Bills remembered for each shard, so that a second bill of a request is recognised.
pub const BILLS_REMEMBERED: usize = 200_000;

/// Credit that one incarnation holds of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Granted and neither settled nor returned.
    pub outstanding: Tokens,
    /// True once the holder is closed: what is outstanding is then in doubt.
    pub closed: bool,
}

/// Balances of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    /// Everything ever paid in.
    pub topped_up: Tokens,
    /// Not granted to anyone.
    pub free: Tokens,
    /// Billed.
    pub spent: Tokens,
    /// Billed beyond everything paid in; stays zero unless an operator released credit still in use.
    pub overspent: Tokens,
    /// Smallest amount that a holder last asked for in vain; zero when none is waiting.
    pub shortfall: Tokens,
    /// Credit by holder.
    pub holdings: BTreeMap<Incarnation, Holding>,
}

impl Budget {
    /// Credit held by open incarnations.
    pub fn granted(&self) -> Tokens {
        self.outstanding(false)
    }

    /// Credit held by closed incarnations.
    pub fn in_doubt(&self) -> Tokens {
        self.outstanding(true)
    }

    fn outstanding(&self, closed: bool) -> Tokens {
        self.holdings.values().filter(|h| h.closed == closed).map(|h| h.outstanding).sum()
    }

    /// Checks that no token was made or lost.
    pub fn is_balanced(&self) -> bool {
        self.topped_up + self.overspent == self.free + self.spent + self.granted() + self.in_doubt()
    }
}

/// What the fold made of one budget record.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum LedgerOutcome {
    /// Credit was granted; zero when too little was free.
    #[display("granted {_0}")]
    Granted(Tokens),
    /// A request was billed.
    #[display("billed {_0}")]
    Billed(Tokens),
    /// The request had been billed before, so this bill went back to the pool.
    #[display("already billed, {_0} freed")]
    AlreadyBilled(Tokens),
    /// Credit went back to the pool.
    #[display("returned {_0}")]
    Returned(Tokens),
    /// The budget was topped up.
    #[display("topped up {_0}")]
    ToppedUp(Tokens),
    /// The incarnation was closed with this much in doubt.
    #[display("closed with {_0} in doubt")]
    Closed(Tokens),
    /// Credit in doubt went back to the pool.
    #[display("released {_0}")]
    Released(Tokens),
    /// A bill exceeded everything paid in by this much.
    #[display("overspent {_0}")]
    Overspent(Tokens),
    /// The record had been applied before or has no effect.
    #[display("no effect")]
    NoEffect,
}

/// Complete state of a [`Ledger`], as a snapshot carries it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerState {
    /// Balances by budget.
    pub budgets: BTreeMap<BudgetKey, Budget>,
    /// Requests billed, the oldest first.
    pub billed: Vec<RecordId>,
    /// Payments and releases applied, the oldest first.
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

    /// Goes on from an exported state.
    pub fn import(state: LedgerState) -> Self {
        let LedgerState { budgets, billed, applied } = state;
        Self { budgets, billed: SeenIds::import(billed), applied: SeenIds::import(applied) }
    }

    /// Tells whether the payment or release `id` is remembered.
    pub fn is_applied(&self, id: &RecordId) -> bool {
        self.applied.contains(id)
    }

    /// Balances of `key`, when it was ever topped up or asked for.
    pub fn budget(&self, key: &BudgetKey) -> Option<&Budget> {
        self.budgets.get(key)
    }

    /// All balances in key order.
    pub fn budgets(&self) -> impl Iterator<Item = (&BudgetKey, &Budget)> {
        self.budgets.iter()
    }

    /// Tells whether a bill of `request` is remembered.
    pub fn is_billed(&self, request: &RecordId) -> bool {
        self.billed.contains(request)
    }

    /// Adds a payment once.
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

    /// Grants up to `most`, or nothing when less than `least` is free.
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

    /// Bills `request` once, out of the holder's credit.
    pub fn settle(
        &mut self,
        holder: &Incarnation,
        key: &BudgetKey,
        request: &RecordId,
        tokens: Tokens,
    ) -> LedgerOutcome {
        let budget = self.budgets.entry(key.clone()).or_default();
        let covered = take(budget, holder, tokens);
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

    /// Gives the holder's unused credit back to the pool.
    pub fn return_credit(&mut self, holder: &Incarnation, key: &BudgetKey, tokens: Tokens) -> LedgerOutcome {
        let budget = self.budgets.entry(key.clone()).or_default();
        let covered = take(budget, holder, tokens);
        budget.free += covered;
        LedgerOutcome::Returned(covered)
    }

    /// Puts everything that `holder` holds in doubt.
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

    /// Returns credit in doubt to the pool on an operator's word.
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

    /// Tells whether the balances of `key` do not add up.
    pub fn is_unbalanced(&self, key: &BudgetKey) -> bool {
        self.budgets.get(key).is_some_and(|budget| !budget.is_balanced())
    }

    /// First budget whose balances do not add up.
    pub fn unbalanced_budget(&self) -> Option<&BudgetKey> {
        self.budgets.iter().find(|(_, budget)| !budget.is_balanced()).map(|(key, _)| key)
    }
}

/// Takes up to `tokens` from what `holder` holds and drops a holding that is used up.
fn take(budget: &mut Budget, holder: &Incarnation, tokens: Tokens) -> Tokens {
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

/// Bounded memory of identifiers; the oldest is forgotten first, in log order, hence alike everywhere.
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

    /// Remembers `id` and tells whether it was new.
    fn insert(&mut self, id: &RecordId) -> bool {
        if !self.ids.insert(id.clone()) {
            return false;
        }
        self.order.push_back(id.clone());
        if self.order.len() > BILLS_REMEMBERED {
            let oldest = self.order.pop_front();
            oldest.map(|id| self.ids.remove(&id));
        }
        true
    }
}
