//! Ways of sharing budgets between instances, behind one interface: grants from the log and two baselines.

use std::collections::BTreeMap;

use coltsfootpick_core::blackboard::ShardCell;
use coltsfootpick_core::ledger::LedgerOutcome;
use coltsfootpick_core::names::{BudgetKey, Incarnation, RecordId, Stage};
use coltsfootpick_core::record::{Close, ShardRecord, TopUp};
use coltsfootpick_core::shard::ApplyOutcome;
use coltsfootpick_core::shard_credit::{Reservation, ReserveOutcome, Ticket};
use coltsfootpick_core::sizing::GrantSizing;
use coltsfootpick_core::units::{Instant, Offset, Tokens};

/// Answer to a request for credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request may run.
    Reserved,
    /// Ask again.
    Waiting,
    /// Refused for good.
    Refused,
}

/// Request as a scheme sees it.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Number of the request.
    pub ticket: Ticket,
    /// Instance that serves it.
    pub node: usize,
    /// Account that pays.
    pub account: usize,
    /// Most that it can cost.
    pub bound: u64,
}

/// Way of sharing budgets between instances.
pub trait Scheme {
    /// Tries to set the bound aside.
    fn reserve(&mut self, ask: &Ask) -> Answer;
    /// Forgets a request that no longer waits.
    fn give_up(&mut self, ask: &Ask);
    /// Ends a request that was reserved.
    fn settle(&mut self, ask: &Ask, used: u64, now: Instant);
    /// Adds a payment.
    fn top_up(&mut self, account: usize, tokens: u64);
    /// Lets the instances that reach the log exchange records.
    fn tick(&mut self, now: Instant, reach: &[bool]);
    /// Replaces an instance that died by a fresh one.
    fn die(&mut self, node: usize);
    /// Closes the incarnation of `node` that died last; false while no instance reaches the log.
    fn close(&mut self, node: usize, reach: &[bool]) -> bool;
    /// Records appended so far, without payments.
    fn appends(&self) -> u64;
    /// Credit put in doubt by each death so far.
    fn doubts(&self) -> &[u64];
    /// Tokens billed so far.
    fn billed(&self) -> u64;
}

/// Grants fenced by log order, with the product's own cells.
#[derive(Debug)]
pub struct Grants {
    sizing: GrantSizing,
    cells: Vec<ShardCell>,
    log: Vec<ShardRecord>,
    observer: coltsfootpick_core::shard::Shard,
    open: BTreeMap<Ticket, Reservation>,
    dead: BTreeMap<usize, Incarnation>,
    runs: u64,
    appends: u64,
    doubts: Vec<u64>,
}

impl Grants {
    /// Starts `nodes` instances.
    pub fn new(nodes: usize, sizing: GrantSizing) -> Self {
        Self {
            sizing,
            cells: (0..nodes).map(|node| ShardCell::new(holder(node, 0))).collect(),
            log: Vec::new(),
            observer: coltsfootpick_core::shard::Shard::default(),
            open: BTreeMap::new(),
            dead: BTreeMap::new(),
            runs: 0,
            appends: 0,
            doubts: Vec::new(),
        }
    }

    fn store(&mut self, record: ShardRecord) {
        let applied = self.observer.apply(Offset(self.log.len() as u64), &record);
        if let ApplyOutcome::Single(LedgerOutcome::Closed(doubt)) = applied {
            self.doubts.push(doubt.0);
        }
        self.log.push(record);
    }

    fn read(&mut self, node: usize) {
        let next = usize::try_from(self.cells[node].state.next.0).expect("the log is in memory");
        for (index, record) in self.log.iter().enumerate().skip(next) {
            self.runs += 1;
            self.cells[node].apply(Offset(index as u64), record, self.runs);
        }
    }
}

impl Scheme for Grants {
    fn reserve(&mut self, ask: &Ask) -> Answer {
        let cell = &mut self.cells[ask.node];
        if cell.state.next == Offset::default() {
            return Answer::Waiting;
        }
        let outcome = cell.credit.reserve(ask.ticket, &budget(ask.account), Tokens(ask.bound), &cell.state.ledger);
        match outcome {
            ReserveOutcome::Reserved(reservation) => {
                self.open.insert(ask.ticket, reservation);
                Answer::Reserved
            }
            ReserveOutcome::Waiting => Answer::Waiting,
            ReserveOutcome::Exhausted => Answer::Refused,
        }
    }

    fn give_up(&mut self, ask: &Ask) {
        self.cells[ask.node].credit.cancel_wait(ask.ticket, &budget(ask.account));
    }

    fn settle(&mut self, ask: &Ask, used: u64, now: Instant) {
        let Some(reservation) = self.open.remove(&ask.ticket) else { return };
        let id = RecordId::from(ask.ticket.to_string());
        if let Some(credit) = self.cells[ask.node].credit_mut(&reservation.holder) {
            credit.settle(&reservation, &id, Tokens(used), now, &self.sizing);
        }
    }

    fn top_up(&mut self, account: usize, tokens: u64) {
        let id = RecordId::from(format!("top-up-{}", self.log.len()));
        let record = TopUp { id, key: budget(account), tokens: Tokens(tokens), operator: "ops".into() };
        self.store(ShardRecord::TopUp(record));
    }

    fn tick(&mut self, now: Instant, reach: &[bool]) {
        let connected: Vec<usize> = (0..self.cells.len()).filter(|node| reach[*node]).collect();
        for node in &connected {
            let sizing = self.sizing;
            for batch in self.cells[*node].next_batches(now, |_| sizing) {
                self.appends += 1;
                self.store(ShardRecord::Batch(batch));
            }
        }
        for node in connected {
            self.read(node);
        }
    }

    fn die(&mut self, node: usize) {
        self.runs += 1;
        let fresh = ShardCell::new(holder(node, self.runs));
        let dead = std::mem::replace(&mut self.cells[node], fresh);
        self.dead.insert(node, dead.credit.holder().clone());
    }

    fn close(&mut self, node: usize, reach: &[bool]) -> bool {
        let Some(holder) = self.dead.get(&node).cloned().filter(|_| reach.contains(&true)) else {
            return false;
        };
        self.dead.remove(&node);
        self.appends += 1;
        self.store(ShardRecord::Close(Close { holder, closer: "peer".into() }));
        true
    }

    fn appends(&self) -> u64 {
        self.appends
    }

    fn doubts(&self) -> &[u64] {
        &self.doubts
    }

    fn billed(&self) -> u64 {
        self.observer.ledger.budgets().map(|(_, account)| account.spent.0).sum()
    }
}

/// Every payment is split equally between the instances, which never share again.
#[derive(Debug)]
pub struct StaticSplit {
    shares: Vec<Vec<u64>>,
    unread: Vec<Vec<u64>>,
    billed: u64,
}

impl StaticSplit {
    /// Starts `nodes` instances and `accounts` budgets without credit.
    pub fn new(nodes: usize, accounts: usize) -> Self {
        let empty = vec![vec![0; accounts]; nodes];
        Self { shares: empty.clone(), unread: empty, billed: 0 }
    }
}

impl Scheme for StaticSplit {
    fn reserve(&mut self, ask: &Ask) -> Answer {
        let share = &mut self.shares[ask.node][ask.account];
        if *share < ask.bound {
            return Answer::Waiting;
        }
        *share -= ask.bound;
        Answer::Reserved
    }

    fn give_up(&mut self, _: &Ask) {}

    fn settle(&mut self, ask: &Ask, used: u64, _: Instant) {
        self.shares[ask.node][ask.account] += ask.bound - used;
        self.billed += used;
    }

    fn top_up(&mut self, account: usize, tokens: u64) {
        let nodes = self.unread.len() as u64;
        for node in &mut self.unread {
            node[account] += tokens / nodes;
        }
    }

    fn tick(&mut self, _: Instant, reach: &[bool]) {
        for (node, _) in reach.iter().enumerate().filter(|(_, reach)| **reach) {
            for (share, unread) in self.shares[node].iter_mut().zip(&mut self.unread[node]) {
                *share += std::mem::take(unread);
            }
        }
    }

    /// The share outlives its instance, which favours this baseline.
    fn die(&mut self, _: usize) {}

    fn close(&mut self, _: usize, _: &[bool]) -> bool {
        true
    }

    fn appends(&self) -> u64 {
        0
    }

    fn doubts(&self) -> &[u64] {
        &[]
    }

    fn billed(&self) -> u64 {
        self.billed
    }
}

/// Every request appends its reservation to the log and reads it back; its bill rides free of charge.
#[derive(Debug)]
pub struct PerRequest {
    pools: Vec<u64>,
    reach: Vec<bool>,
    appends: u64,
    billed: u64,
}

impl PerRequest {
    /// Starts `nodes` instances and `accounts` budgets without credit.
    pub fn new(nodes: usize, accounts: usize) -> Self {
        Self { pools: vec![0; accounts], reach: vec![true; nodes], appends: 0, billed: 0 }
    }
}

impl Scheme for PerRequest {
    fn reserve(&mut self, ask: &Ask) -> Answer {
        let pool = &mut self.pools[ask.account];
        match self.reach[ask.node] {
            false => Answer::Waiting,
            true if *pool < ask.bound => Answer::Refused,
            true => {
                *pool -= ask.bound;
                self.appends += 1;
                Answer::Reserved
            }
        }
    }

    fn give_up(&mut self, _: &Ask) {}

    fn settle(&mut self, ask: &Ask, used: u64, _: Instant) {
        self.pools[ask.account] += ask.bound - used;
        self.billed += used;
    }

    fn top_up(&mut self, account: usize, tokens: u64) {
        self.pools[account] += tokens;
    }

    fn tick(&mut self, _: Instant, reach: &[bool]) {
        self.reach.copy_from_slice(reach);
    }

    fn die(&mut self, _: usize) {}

    fn close(&mut self, _: usize, _: &[bool]) -> bool {
        true
    }

    fn appends(&self) -> u64 {
        self.appends
    }

    fn doubts(&self) -> &[u64] {
        &[]
    }

    fn billed(&self) -> u64 {
        self.billed
    }
}

fn holder(node: usize, run: u64) -> Incarnation {
    Incarnation { instance: format!("node-{node}").into(), run }
}

fn budget(account: usize) -> BudgetKey {
    BudgetKey { environment: "tunis".into(), stage: Stage::Production, account: format!("account-{account}").into() }
}
