//! Credit and claims of one incarnation of this instance on one ledger shard.
//!
//! Credit is spent only after its grant was read back from the log, and a batch is appended again unchanged until
//! it is read back. So neither a lost answer nor a pause applies anything twice. See `docs/DESIGN.md#budgets`.

use std::collections::BTreeMap;

use crate::attempts::ClaimOutcome;
use crate::ledger::{Budget, Ledger, LedgerOutcome};
use crate::names::{BudgetKey, Incarnation, RecordId};
use crate::rate::Rate;
use crate::record::{AttemptKey, AttemptOutcome, Batch, Entry};
use crate::shard::{EntryOutcome, Shard};
use crate::sizing::{CreditNeed, GrantSizing};
use crate::units::{Instant, Tokens};

/// Maximum number of entries in one batch, which limits the size of a record.
pub const BATCH_MAX_ENTRIES: usize = 2_000;

/// Number that identifies a request within this process.
pub type Ticket = u64;

/// Credit set aside for one request until it is settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Budget that pays.
    pub key: BudgetKey,
    /// Maximum number of tokens that the request can cost.
    pub bound: Tokens,
    /// Incarnation whose credit is set aside.
    pub holder: Incarnation,
}

/// Result of [`ShardCredit::reserve`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The request may be dispatched.
    Reserved(Reservation),
    /// The request waits for a grant; try again when the shard changes.
    Waiting,
    /// Free credit and the credit of all open holders together do not cover the request.
    Exhausted,
}

/// Status of a claim of this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// The claim was not read back yet.
    Pending,
    /// The claim was read back and won: the call may be dispatched once.
    Won,
    /// The claim was read back and lost, or another request of this instance has claimed the key.
    Lost,
    /// The claim was given up, but the key cannot be claimed again yet.
    Renounced,
}

/// Credit of this incarnation for one budget.
#[derive(Debug, Default)]
struct BudgetCredit {
    held: Tokens,
    reserved: Tokens,
    /// Tokens billed here and not read back yet, which the shard's state still counts as granted.
    unsettled: Tokens,
    /// Bounds of the requests that wait for a grant.
    waiting: BTreeMap<Ticket, Tokens>,
    use_rate: Rate,
    /// Whether a grant was requested and not read back yet.
    is_requested: bool,
    /// Whether the last requested grant was refused.
    is_refused: bool,
}

impl BudgetCredit {
    fn available(&self) -> Tokens {
        self.held.saturating_sub(self.reserved)
    }

    fn is_idle(&self) -> bool {
        self.held.is_zero() && self.unsettled.is_zero() && self.waiting.is_empty() && !self.is_requested
    }
}

/// Credit and claims of one incarnation on one shard.
#[derive(Debug)]
pub struct ShardCredit {
    holder: Incarnation,
    budgets: BTreeMap<BudgetKey, BudgetCredit>,
    claims: BTreeMap<AttemptKey, ClaimStatus>,
    ended: BTreeMap<AttemptKey, AttemptOutcome>,
    queued: Vec<Entry>,
    queued_at: Instant,
    in_flight: Option<Batch>,
    sequence: u64,
    closed: bool,
}

impl ShardCredit {
    /// Starts with no credit.
    pub const fn new(holder: Incarnation) -> Self {
        Self {
            holder,
            budgets: BTreeMap::new(),
            claims: BTreeMap::new(),
            ended: BTreeMap::new(),
            queued: Vec::new(),
            queued_at: Instant(std::time::Duration::ZERO),
            in_flight: None,
            sequence: 0,
            closed: false,
        }
    }

    /// Incarnation that holds this credit.
    pub const fn holder(&self) -> &Incarnation {
        &self.holder
    }

    /// Tokens of `key` that may be reserved now.
    pub fn available(&self, key: &BudgetKey) -> Tokens {
        self.budgets.get(key).map(BudgetCredit::available).unwrap_or_default()
    }

    /// Tokens of `key` that open requests have set aside.
    pub fn reserved(&self, key: &BudgetKey) -> Tokens {
        self.budgets.get(key).map(|credit| credit.reserved).unwrap_or_default()
    }

    /// Budgets with available tokens, and how many; none once this incarnation is closed.
    pub fn available_by_budget(&self) -> impl Iterator<Item = (&BudgetKey, Tokens)> {
        let held = self.budgets.iter().filter(|_| !self.closed);
        held.map(|(key, credit)| (key, credit.available())).filter(|(_, tokens)| !tokens.is_zero())
    }

    /// Sets `bound` tokens aside for the request `ticket`, or registers the request as waiting for a grant.
    pub fn reserve(&mut self, ticket: Ticket, key: &BudgetKey, bound: Tokens, ledger: &Ledger) -> ReserveOutcome {
        let credit = self.budgets.entry(key.clone()).or_default();
        if !self.closed && credit.available() >= bound {
            credit.waiting.remove(&ticket);
            credit.reserved += bound;
            let reservation = Reservation { key: key.clone(), bound, holder: self.holder.clone() };
            return ReserveOutcome::Reserved(reservation);
        }
        let left = |budget: &Budget| (budget.free + budget.outstanding()).saturating_sub(credit.unsettled);
        let covered = ledger.budget(key).is_some_and(|budget| left(budget) >= bound);
        if !covered {
            credit.waiting.remove(&ticket);
            return ReserveOutcome::Exhausted;
        }
        if !self.closed {
            credit.waiting.insert(ticket, bound);
        }
        ReserveOutcome::Waiting
    }

    /// Removes a request from those that wait for a grant.
    pub fn cancel_wait(&mut self, ticket: Ticket, key: &BudgetKey) {
        if let Some(credit) = self.budgets.get_mut(key) {
            credit.waiting.remove(&ticket);
        }
    }

    /// Ends a reservation: bills `used` tokens under `request` and frees the rest. A use of zero is not billed.
    pub fn settle(
        &mut self,
        reservation: &Reservation,
        request: &RecordId,
        used: Tokens,
        now: Instant,
        sizing: &GrantSizing,
    ) {
        let used = used.min(reservation.bound);
        let credit = self.budgets.entry(reservation.key.clone()).or_default();
        credit.reserved = credit.reserved.saturating_sub(reservation.bound);
        credit.held = credit.held.saturating_sub(used);
        credit.use_rate.add(used.0, now, sizing.horizon);
        if used.is_zero() {
            return;
        }
        if self.queued.is_empty() {
            self.queued_at = now;
        }
        credit.unsettled += used;
        let key = reservation.key.clone();
        self.queued.push(Entry::Settle { key, request: request.clone(), tokens: used });
    }

    /// Claims `attempt` unless this incarnation already has an open claim of it.
    ///
    /// A claim that was given up must be read back before the next one. Otherwise its outcome could not be
    /// distinguished from that of the next claim, and the call could be dispatched under the claim given up.
    pub fn claim(&mut self, attempt: &AttemptKey, digest: u64) -> ClaimStatus {
        match self.claims.get(attempt) {
            Some(ClaimStatus::Renounced) => ClaimStatus::Renounced,
            Some(_) => ClaimStatus::Lost,
            None => {
                self.claims.insert(attempt.clone(), ClaimStatus::Pending);
                self.queued.push(Entry::Claim { attempt: attempt.clone(), digest });
                ClaimStatus::Pending
            }
        }
    }

    /// Status of this incarnation's claim of `attempt`; a lost claim is reported once and then removed.
    pub fn claim_status(&mut self, attempt: &AttemptKey) -> Option<ClaimStatus> {
        let status = self.claims.get(attempt).copied();
        if status == Some(ClaimStatus::Lost) {
            self.claims.remove(attempt);
        }
        status
    }

    /// Whether this incarnation has an open claim of `attempt`.
    pub fn has_claim(&self, attempt: &AttemptKey) -> bool {
        self.claims.contains_key(attempt)
    }

    /// Outcome of `attempt` that this incarnation reported and has not read back yet.
    pub fn ended(&self, attempt: &AttemptKey) -> Option<&AttemptOutcome> {
        self.ended.get(attempt)
    }

    /// Gives up the right to dispatch `attempt` for good, so that the caller may be answered "not run".
    pub fn renounce(&mut self, attempt: &AttemptKey) {
        let is_claim = |entry: &Entry| matches!(entry, Entry::Claim { attempt: own, .. } if own == attempt);
        let unsent = self.queued.iter().position(is_claim);
        match unsent {
            Some(index) => {
                self.queued.remove(index);
                self.claims.remove(attempt);
            }
            None => {
                self.claims.insert(attempt.clone(), ClaimStatus::Renounced);
                self.queued.push(Entry::Renounce { attempt: attempt.clone() });
            }
        }
    }

    /// Reports the outcome of an attempt that this incarnation dispatched.
    pub fn end(&mut self, attempt: &AttemptKey, outcome: AttemptOutcome) {
        self.claims.remove(attempt);
        self.ended.insert(attempt.clone(), outcome.clone());
        self.queued.push(Entry::Outcome { attempt: attempt.clone(), outcome });
    }

    /// Batch to append now: the batch in flight until it is read back, or else a new one when an entry is due.
    pub fn next_batch(
        &mut self,
        now: Instant,
        ledger: &Ledger,
        sizing: impl Fn(&BudgetKey) -> GrantSizing,
    ) -> Option<Batch> {
        if self.in_flight.is_none() {
            if self.queued.is_empty() {
                self.queued_at = now;
            }
            self.plan(now, ledger, &sizing);
            if !self.is_due(now, ledger, &sizing) {
                return None;
            }
            let count = self.queued.len().min(BATCH_MAX_ENTRIES);
            let entries: Vec<Entry> = self.queued.drain(..count).collect();
            let batch = Batch { holder: self.holder.clone(), sequence: self.sequence + 1, entries };
            self.in_flight = Some(batch).filter(|batch| !batch.entries.is_empty());
        }
        self.in_flight.clone()
    }

    /// Applies the outcomes of the batch with number `sequence`, as read back from the log.
    pub fn read_back(&mut self, sequence: u64, outcomes: &[EntryOutcome]) {
        let Some(batch) = self.in_flight.take_if(|batch| batch.sequence == sequence) else {
            return;
        };
        self.sequence = sequence;
        for (entry, outcome) in batch.entries.iter().zip(outcomes) {
            self.apply_outcome(entry, outcome);
        }
    }

    /// Completes the batch in flight from a shard state that already includes it.
    ///
    /// This happens after a snapshot was installed, so that the batch itself is not read back.
    ///
    /// The outcomes of the batch follow from the state: it names the owner of each claim, and the tokens that this
    /// incarnation holds before its queued entries.
    pub fn resync(&mut self, state: &Shard) {
        let sequence = state.sequence(&self.holder);
        let Some(batch) = self.in_flight.take_if(|batch| batch.sequence <= sequence) else {
            return;
        };
        self.sequence = batch.sequence;
        for entry in &batch.entries {
            match entry {
                Entry::Grant { key, .. } => self.resync_budget(key, state),
                Entry::Claim { attempt, .. } if state.attempts.owner(attempt) == Some(&self.holder) => {
                    self.apply_claim(attempt, ClaimOutcome::Won);
                }
                Entry::Claim { attempt, .. } => self.apply_claim(attempt, ClaimOutcome::Lost),
                entry => self.apply_entry(entry),
            }
        }
    }

    fn confirm_bill(&mut self, key: &BudgetKey, tokens: Tokens) {
        if let Some(credit) = self.budgets.get_mut(key) {
            credit.unsettled = credit.unsettled.saturating_sub(tokens);
        }
    }

    fn resync_budget(&mut self, key: &BudgetKey, state: &Shard) {
        let holding = state.ledger.budget(key).and_then(|budget| budget.holdings.get(&self.holder));
        let queued = self.queued.iter().filter(|entry| entry.budget() == Some(key)).map(|entry| match entry {
            Entry::Settle { tokens, .. } | Entry::Return { tokens, .. } => *tokens,
            _ => Tokens::ZERO,
        });
        let credit = self.budgets.entry(key.clone()).or_default();
        credit.is_requested = false;
        credit.held = holding.map(|holding| holding.outstanding).unwrap_or_default().saturating_sub(queued.sum());
    }

    /// Stops new reservations after this incarnation was closed; waiting requests continue with the next incarnation.
    pub fn close(&mut self) {
        self.closed = true;
        for credit in self.budgets.values_mut() {
            credit.waiting.clear();
        }
    }

    /// Queues the return of all available credit to the pool.
    pub fn return_all(&mut self) {
        for (key, credit) in &mut self.budgets {
            queue_return(&mut self.queued, key, credit, credit.available());
        }
    }

    /// Whether nothing is held, claimed, waiting, queued or in flight.
    pub fn is_settled(&self) -> bool {
        let idle = self.claims.is_empty() && self.budgets.values().all(BudgetCredit::is_idle);
        idle && self.in_flight.is_none() && self.queued.is_empty()
    }

    /// Queues the grants and returns that are due.
    fn plan(&mut self, now: Instant, ledger: &Ledger, sizing: impl Fn(&BudgetKey) -> GrantSizing) {
        if self.closed {
            return self.return_all();
        }
        self.budgets.retain(|_, credit| !credit.is_idle());
        for (key, credit) in &mut self.budgets {
            plan_budget(&mut self.queued, key, credit, now, ledger, &sizing(key));
        }
    }

    /// Whether a queued entry must be appended now; bills and returns wait so that others share their batch.
    fn is_due(&self, now: Instant, ledger: &Ledger, sizing: impl Fn(&BudgetKey) -> GrantSizing) -> bool {
        let waited = now.since(self.queued_at);
        let others_wait = |key: &BudgetKey| ledger.budget(key).is_some_and(|budget| !budget.shortfall.is_zero());
        let is_due = |entry: &Entry| match entry {
            Entry::Settle { key, .. } => waited >= sizing(key).settle_delay,
            Entry::Return { key, .. } => others_wait(key) || waited >= sizing(key).settle_delay,
            _ => true,
        };
        self.closed || self.queued.len() >= BATCH_MAX_ENTRIES || self.queued.iter().any(is_due)
    }

    fn apply_outcome(&mut self, entry: &Entry, outcome: &EntryOutcome) {
        match (entry, outcome) {
            (Entry::Grant { key, .. }, EntryOutcome::Ledger(LedgerOutcome::Granted(tokens))) => {
                let credit = self.budgets.entry(key.clone()).or_default();
                credit.is_requested = false;
                credit.is_refused = tokens.is_zero();
                credit.held += *tokens;
            }
            (Entry::Claim { attempt, .. }, EntryOutcome::Claim(outcome)) => self.apply_claim(attempt, *outcome),
            (entry, _) => self.apply_entry(entry),
        }
    }

    /// Applies an entry whose effect does not depend on its outcome.
    fn apply_entry(&mut self, entry: &Entry) {
        match entry {
            Entry::Renounce { attempt } => drop(self.claims.remove(attempt)),
            Entry::Outcome { attempt, .. } => drop(self.ended.remove(attempt)),
            Entry::Settle { key, tokens, .. } => self.confirm_bill(key, *tokens),
            Entry::Grant { .. } | Entry::Return { .. } | Entry::Claim { .. } => {}
        }
    }

    fn apply_claim(&mut self, attempt: &AttemptKey, outcome: ClaimOutcome) {
        if let Some(status) = self.claims.get_mut(attempt).filter(|status| **status == ClaimStatus::Pending) {
            *status = match outcome {
                ClaimOutcome::Won => ClaimStatus::Won,
                ClaimOutcome::Lost => ClaimStatus::Lost,
            };
        }
    }
}

fn plan_budget(
    queued: &mut Vec<Entry>,
    key: &BudgetKey,
    credit: &mut BudgetCredit,
    now: Instant,
    ledger: &Ledger,
    sizing: &GrantSizing,
) {
    let budget = ledger.budget(key);
    let need = CreditNeed {
        available: credit.available(),
        waiting: credit.waiting.values().copied().sum(),
        smallest_bound: credit.waiting.values().copied().min().unwrap_or_default(),
        rate: credit.use_rate.per_second(now, sizing.horizon),
        free: budget.map(|budget| budget.free).unwrap_or_default(),
    };
    let others_wait = budget.is_some_and(|budget| !budget.shortfall.is_zero());
    match sizing.grant(&need) {
        // The refused grant is already recorded as a shortfall, and the credit held here covers no waiting request.
        Some(size) if credit.is_refused && others_wait && need.free < size.least => {
            queue_return(queued, key, credit, need.available);
        }
        Some(size) if !credit.is_requested => {
            credit.is_requested = true;
            queued.push(Entry::Grant { key: key.clone(), least: size.least, most: size.most });
        }
        Some(_) => {}
        None => queue_return(queued, key, credit, sizing.surplus(&need, others_wait)),
    }
}

fn queue_return(queued: &mut Vec<Entry>, key: &BudgetKey, credit: &mut BudgetCredit, tokens: Tokens) {
    if tokens.is_zero() {
        return;
    }
    credit.held = credit.held.saturating_sub(tokens);
    let earlier = queued.iter_mut().find_map(|entry| match entry {
        Entry::Return { key: queued_key, tokens } if queued_key == key => Some(tokens),
        _ => None,
    });
    match earlier {
        Some(earlier) => *earlier += tokens,
        None => queued.push(Entry::Return { key: key.clone(), tokens }),
    }
}
