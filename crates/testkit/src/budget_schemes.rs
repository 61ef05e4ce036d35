//! Schemes for sharing budgets between instances: grants from the log, and two baselines to compare them with.

use std::collections::BTreeMap;

use coltsfootpick_core::blackboard::ShardCell;
use coltsfootpick_core::ledger::LedgerOutcome;
use coltsfootpick_core::names::{BudgetKey, Incarnation, RecordId, Stage};
use coltsfootpick_core::record::{Close, ShardRecord, TopUp};
use coltsfootpick_core::shard::{ApplyOutcome, Shard};
use coltsfootpick_core::shard_credit::{Reservation, ReserveOutcome, Ticket};
use coltsfootpick_core::sizing::GrantSizing;
use coltsfootpick_core::units::{Instant, Offset, Tokens};

/// Result of a request for credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditDecision {
    /// Credit is reserved, and the request may run.
    Reserved,
    /// No decision yet; the caller tries again later.
    Waiting,
    /// The budget has no credit left for the request.
    Refused,
}

/// Request for credit.
#[derive(Clone, Copy, Debug)]
pub struct CreditRequest {
    /// Number that identifies the request.
    pub ticket: Ticket,
    /// Index of the instance that serves the request.
    pub instance: usize,
    /// Index of the client account that pays.
    pub account: usize,
    /// Upper bound of the request's cost, in tokens.
    pub bound: u64,
}

/// Scheme for sharing budgets between instances.
pub trait BudgetScheme {
    /// Tries to reserve the upper bound of the request's cost.
    fn reserve(&mut self, request: &CreditRequest) -> CreditDecision;
    /// Cancels a request that waits for credit.
    fn cancel(&mut self, request: &CreditRequest);
    /// Ends a request that has a reservation, and bills what it used.
    fn settle(&mut self, request: &CreditRequest, used: u64, now: Instant);
    /// Adds a payment to an account's budget.
    fn top_up(&mut self, account: usize, tokens: u64);
    /// Lets the instances that can reach the log append and read records.
    fn tick(&mut self, now: Instant, reachable: &[bool]);
    /// Replaces a crashed instance with a new one.
    fn crash(&mut self, instance: usize);
    /// Closes the incarnation of `instance` that crashed last; returns false if no instance can reach the log.
    fn close(&mut self, instance: usize, reachable: &[bool]) -> bool;
    /// Number of records appended so far, without payments.
    fn append_count(&self) -> u64;
    /// Tokens in doubt after each close of a crashed incarnation.
    fn doubt_by_crash(&self) -> &[u64];
    /// Tokens billed so far.
    fn billed(&self) -> u64;
}

/// Scheme of production: grants that take effect in log order, by the shard cells of the core.
#[derive(Debug)]
pub struct GrantScheme {
    sizing: GrantSizing,
    cells: Vec<ShardCell>,
    log: Vec<ShardRecord>,
    /// State replayed from the whole log.
    observer: Shard,
    reservations: BTreeMap<Ticket, Reservation>,
    dead: BTreeMap<usize, Incarnation>,
    last_run: u64,
    appends: u64,
    doubt_by_crash: Vec<u64>,
}

impl GrantScheme {
    /// Creates `instances` instances.
    pub fn new(instances: usize, sizing: GrantSizing) -> Self {
        Self {
            sizing,
            cells: (0..instances).map(|instance| ShardCell::new(holder(instance, 0))).collect(),
            log: Vec::new(),
            observer: Shard::default(),
            reservations: BTreeMap::new(),
            dead: BTreeMap::new(),
            last_run: 0,
            appends: 0,
            doubt_by_crash: Vec::new(),
        }
    }

    fn store(&mut self, record: ShardRecord) {
        let applied = self.observer.apply(Offset(self.log.len() as u64), &record);
        if let ApplyOutcome::Single(LedgerOutcome::Closed(doubt)) = applied {
            self.doubt_by_crash.push(doubt.0);
        }
        self.log.push(record);
    }

    fn read(&mut self, instance: usize) {
        let next = usize::try_from(self.cells[instance].state.next.0).expect("the log is in memory");
        for (index, record) in self.log.iter().enumerate().skip(next) {
            self.last_run += 1;
            self.cells[instance].apply(Offset(index as u64), record, self.last_run);
        }
    }
}

impl BudgetScheme for GrantScheme {
    fn reserve(&mut self, request: &CreditRequest) -> CreditDecision {
        let cell = &mut self.cells[request.instance];
        if cell.state.next == Offset::default() {
            return CreditDecision::Waiting;
        }
        let outcome = cell.credit.reserve(
            request.ticket,
            &budget_key(request.account),
            Tokens(request.bound),
            &cell.state.ledger,
        );
        match outcome {
            ReserveOutcome::Reserved(reservation) => {
                self.reservations.insert(request.ticket, reservation);
                CreditDecision::Reserved
            }
            ReserveOutcome::Waiting => CreditDecision::Waiting,
            ReserveOutcome::Exhausted => CreditDecision::Refused,
        }
    }

    fn cancel(&mut self, request: &CreditRequest) {
        self.cells[request.instance].credit.cancel_wait(request.ticket, &budget_key(request.account));
    }

    fn settle(&mut self, request: &CreditRequest, used: u64, now: Instant) {
        let Some(reservation) = self.reservations.remove(&request.ticket) else { return };
        let id = RecordId::from(request.ticket.to_string());
        if let Some(credit) = self.cells[request.instance].credit_mut(&reservation.holder) {
            credit.settle(&reservation, &id, Tokens(used), now, &self.sizing);
        }
    }

    fn top_up(&mut self, account: usize, tokens: u64) {
        let id = RecordId::from(format!("top-up-{}", self.log.len()));
        let record = TopUp { id, key: budget_key(account), tokens: Tokens(tokens), operator: "ops".into() };
        self.store(ShardRecord::TopUp(record));
    }

    fn tick(&mut self, now: Instant, reachable: &[bool]) {
        let connected: Vec<usize> = (0..self.cells.len()).filter(|instance| reachable[*instance]).collect();
        for instance in &connected {
            let sizing = self.sizing;
            for batch in self.cells[*instance].next_batches(now, |_| sizing) {
                self.appends += 1;
                self.store(ShardRecord::Batch(batch));
            }
        }
        for instance in connected {
            self.read(instance);
        }
    }

    fn crash(&mut self, instance: usize) {
        self.last_run += 1;
        let replacement = ShardCell::new(holder(instance, self.last_run));
        let dead = std::mem::replace(&mut self.cells[instance], replacement);
        self.dead.insert(instance, dead.credit.holder().clone());
    }

    fn close(&mut self, instance: usize, reachable: &[bool]) -> bool {
        let Some(holder) = self.dead.get(&instance).cloned().filter(|_| reachable.contains(&true)) else {
            return false;
        };
        self.dead.remove(&instance);
        self.appends += 1;
        self.store(ShardRecord::Close(Close { holder, closer: "peer".into() }));
        true
    }

    fn append_count(&self) -> u64 {
        self.appends
    }

    fn doubt_by_crash(&self) -> &[u64] {
        &self.doubt_by_crash
    }

    fn billed(&self) -> u64 {
        self.observer.ledger.budgets().map(|(_, budget)| budget.spent.0).sum()
    }
}

/// Baseline that splits every payment equally between the instances, without later transfers between them.
#[derive(Debug)]
pub struct StaticSplit {
    shares: Vec<Vec<u64>>,
    unread: Vec<Vec<u64>>,
    billed: u64,
}

impl StaticSplit {
    /// Creates `instances` instances and `accounts` empty budgets.
    pub fn new(instances: usize, accounts: usize) -> Self {
        let empty = vec![vec![0; accounts]; instances];
        Self { shares: empty.clone(), unread: empty, billed: 0 }
    }
}

impl BudgetScheme for StaticSplit {
    fn reserve(&mut self, request: &CreditRequest) -> CreditDecision {
        let share = &mut self.shares[request.instance][request.account];
        if *share < request.bound {
            return CreditDecision::Waiting;
        }
        *share -= request.bound;
        CreditDecision::Reserved
    }

    fn cancel(&mut self, _: &CreditRequest) {}

    fn settle(&mut self, request: &CreditRequest, used: u64, _: Instant) {
        self.shares[request.instance][request.account] += request.bound - used;
        self.billed += used;
    }

    fn top_up(&mut self, account: usize, tokens: u64) {
        let instances = self.unread.len() as u64;
        for instance in &mut self.unread {
            instance[account] += tokens / instances;
        }
    }

    fn tick(&mut self, _: Instant, reachable: &[bool]) {
        for (instance, _) in reachable.iter().enumerate().filter(|(_, reachable)| **reachable) {
            for (share, unread) in self.shares[instance].iter_mut().zip(&mut self.unread[instance]) {
                *share += std::mem::take(unread);
            }
        }
    }

    /// Keeps the share of the crashed instance, which favours this baseline.
    fn crash(&mut self, _: usize) {}

    fn close(&mut self, _: usize, _: &[bool]) -> bool {
        true
    }

    fn append_count(&self) -> u64 {
        0
    }

    fn doubt_by_crash(&self) -> &[u64] {
        &[]
    }

    fn billed(&self) -> u64 {
        self.billed
    }
}

/// Baseline in which every request appends its reservation to the log; appends of bills are not counted.
#[derive(Debug)]
pub struct AppendPerRequest {
    balances: Vec<u64>,
    reachable: Vec<bool>,
    appends: u64,
    billed: u64,
}

impl AppendPerRequest {
    /// Creates `instances` instances and `accounts` empty budgets.
    pub fn new(instances: usize, accounts: usize) -> Self {
        Self { balances: vec![0; accounts], reachable: vec![true; instances], appends: 0, billed: 0 }
    }
}

impl BudgetScheme for AppendPerRequest {
    fn reserve(&mut self, request: &CreditRequest) -> CreditDecision {
        let balance = &mut self.balances[request.account];
        match self.reachable[request.instance] {
            false => CreditDecision::Waiting,
            true if *balance < request.bound => CreditDecision::Refused,
            true => {
                *balance -= request.bound;
                self.appends += 1;
                CreditDecision::Reserved
            }
        }
    }

    fn cancel(&mut self, _: &CreditRequest) {}

    fn settle(&mut self, request: &CreditRequest, used: u64, _: Instant) {
        self.balances[request.account] += request.bound - used;
        self.billed += used;
    }

    fn top_up(&mut self, account: usize, tokens: u64) {
        self.balances[account] += tokens;
    }

    fn tick(&mut self, _: Instant, reachable: &[bool]) {
        self.reachable.copy_from_slice(reachable);
    }

    fn crash(&mut self, _: usize) {}

    fn close(&mut self, _: usize, _: &[bool]) -> bool {
        true
    }

    fn append_count(&self) -> u64 {
        self.appends
    }

    fn doubt_by_crash(&self) -> &[u64] {
        &[]
    }

    fn billed(&self) -> u64 {
        self.billed
    }
}

fn holder(instance: usize, run: u64) -> Incarnation {
    Incarnation { instance: format!("node-{instance}").into(), run }
}

fn budget_key(account: usize) -> BudgetKey {
    BudgetKey { environment: "tunis".into(), stage: Stage::Production, account: format!("account-{account}").into() }
}
