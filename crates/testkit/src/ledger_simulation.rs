//! Simulation of instances that share budgets over an in-memory log, with faults from a schedule.
//!
//! Invariants are checked after every step. The simulation itself counts what engines used, which calls ran and what
//! callers were told, so that an error in the replayed ledger state cannot hide behind the ledger's own figures.
//! See `docs/BUDGETS.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::attempts::AttemptStatus;
use coltsfootpick_core::blackboard::ShardCell;
use coltsfootpick_core::ledger::Budget;
use coltsfootpick_core::names::{BudgetKey, Incarnation, RecordId, Stage};
use coltsfootpick_core::record::{AttemptKey, AttemptOutcome, Batch, Close, Entry, Release, ShardRecord, TopUp};
use coltsfootpick_core::shard::Shard;
use coltsfootpick_core::shard_credit::{ClaimStatus, Reservation, ReserveOutcome, Ticket};
use coltsfootpick_core::sizing::GrantSizing;
use coltsfootpick_core::units::{Instant, Offset, Tokens};
use derive_more::Display;

/// Number of instances in the simulation.
pub const INSTANCES: usize = 4;

const ACCOUNTS: u64 = 2;
const ATTEMPT_KEYS: u64 = 6;
const BOUND_MAX_TOKENS: u64 = 40;
const TOP_UP_MAX_TOKENS: u64 = 60;
const INITIAL_TOP_UP_TOKENS: u64 = 120;
/// A fault action starts its fault one time in this many, and otherwise ends it.
const FAULT_ONE_IN: u64 = 4;
const STEP_TIME: Duration = Duration::from_millis(100);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
const DRAIN_ROUNDS: usize = 24;

/// Kind of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A request that costs credit arrives.
    Request,
    /// An at-most-once call arrives.
    AtMostOnceCall,
    /// One open request or at-most-once call of the instance advances to its next state.
    Advance,
    /// The instance appends its batches. The append's result is ignored: a record counts once it is read back.
    Append,
    /// The instance appends its batches, which reach the log at a later [`Action::DeliverDelayed`].
    DelayAppend,
    /// A delayed record reaches the log.
    DeliverDelayed,
    /// The instance reads a few records.
    ReadSome,
    /// The instance reads all records.
    ReadAll,
    /// The instance installs a snapshot of the whole log.
    InstallSnapshot,
    /// An operator tops up a budget.
    TopUp,
    /// An operator's top-up is appended twice.
    RepeatTopUp,
    /// The instance is cut off from the log one time in four, otherwise reconnected.
    Partition,
    /// The log goes down one time in four, otherwise comes back up.
    LogOutage,
    /// The instance freezes one time in four, otherwise continues from its old state.
    Pause,
    /// The instance dies, loses its state and is replaced by a new incarnation.
    Crash,
    /// A peer closes an incarnation that has written to the log.
    CloseHolder,
    /// Another instance also resumes a stream that is open at the instance.
    ResumeElsewhere,
    /// An operator releases the credit of a dead holder after an audit of the engines.
    ReleaseCredit,
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Kind of the step.
    pub action: Action,
    /// Index of the instance on which the action is taken.
    pub instance: usize,
    /// Random number from which the action derives its other parameters.
    pub random: u64,
}

/// Defect injected on purpose, to test that the invariants detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// No defect.
    None,
    /// Requests spend credit before its grant is read back from the log.
    SpendBeforeRead,
    /// A retried append gets a new sequence number and new request ids, so that its bills count twice.
    RebillOnRetry,
    /// A call is dispatched although its claim was lost.
    DispatchLostClaim,
    /// A call is dispatched before its claim is read back.
    DispatchUnreadClaim,
    /// A dispatched call is reported as not run at its deadline.
    NotRunAfterDispatch,
    /// Closing a holder returns its credit to the budget at once, as if the credit were a lease that expires.
    LeaseExpires,
    /// One instance skips a record.
    SkipRecord,
    /// Bills are removed from batches before they reach the log.
    DropBills,
}

/// Invariant that a schedule violated.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// Engines used more than was paid in.
    #[display("engines used more than was paid in")]
    Overspend,
    /// More was billed than engines used.
    #[display("more was billed than engines used")]
    DoubleBill,
    /// A finished request was not billed, or bills differ from what the requests cost.
    #[display("a finished request was not billed")]
    MissingBill,
    /// A call ran twice for one idempotency key.
    #[display("an attempt ran twice")]
    RepeatedRun,
    /// A caller was told "not run" about a call that ran.
    #[display("a caller was told not-run about a call that ran")]
    FalseNotRun,
    /// Two instances replayed the same log prefix to different states.
    #[display("two states replayed from one log prefix differ")]
    StatesDiffer,
    /// The balances of a budget do not add up to what was paid in.
    #[display("the balances of a budget do not add up")]
    Unbalanced,
    /// Credit of a live instance was not returned after all faults were repaired and all work had ended.
    #[display("credit was not returned after all faults were repaired")]
    CreditLost,
}

/// Counts of a schedule that violated no invariant.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Requests that engines ran.
    pub requests_run: u64,
    /// At-most-once calls that ran.
    pub calls_run: u64,
    /// Requests refused for lack of credit, and at-most-once calls refused as not run.
    pub refused: u64,
    /// At-most-once calls refused as not run although an earlier call with the same idempotency key had run.
    pub stale_refusals: u64,
    /// Records on the log.
    pub records: u64,
    /// Tokens in doubt at the end: credit still held by closed incarnations.
    pub in_doubt: u64,
}

#[derive(Clone, Debug)]
enum RequestState {
    Waiting,
    Reserved(Reservation),
    Dispatched(Reservation),
}

#[derive(Clone, Debug)]
struct Request {
    id: RecordId,
    ticket: Ticket,
    key: BudgetKey,
    bound: Tokens,
    used: Tokens,
    deadline: Instant,
    state: RequestState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    Claiming,
    Won,
    Dispatched,
}

#[derive(Clone, Debug)]
struct Call {
    id: u64,
    attempt: AttemptKey,
    deadline: Instant,
    state: CallState,
}

#[derive(Debug)]
struct SimulatedInstance {
    cell: ShardCell,
    requests: Vec<Request>,
    calls: Vec<Call>,
    finished: Vec<RecordId>,
    partitioned: bool,
    paused: bool,
}

impl SimulatedInstance {
    fn new(holder: Incarnation) -> Self {
        Self {
            cell: ShardCell::new(holder),
            requests: Vec::new(),
            calls: Vec::new(),
            finished: Vec::new(),
            partitioned: false,
            paused: false,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    paid: u64,
    used: u64,
}

/// State of one run of a schedule.
#[derive(Debug)]
pub struct LedgerSimulation {
    mutation: Mutation,
    sizing: GrantSizing,
    now: Instant,
    instances: Vec<SimulatedInstance>,
    log: Vec<ShardRecord>,
    /// State replayed from the whole log.
    observer: Shard,
    delayed: Vec<ShardRecord>,
    log_down: bool,
    last_number: u64,
    totals: BTreeMap<BudgetKey, Totals>,
    costs: BTreeMap<RecordId, (BudgetKey, Tokens)>,
    run_counts: BTreeMap<AttemptKey, u64>,
    dispatched_calls: BTreeSet<u64>,
    dead: BTreeSet<Incarnation>,
    /// Requests that engines ran and that no batch on the log bills, by holder.
    unbilled: BTreeMap<Incarnation, BTreeSet<RecordId>>,
    summary: Summary,
}

impl LedgerSimulation {
    /// Creates a simulation in which every budget has been topped up once and all instances have read the log.
    pub fn new(sizing: GrantSizing, mutation: Mutation) -> Self {
        let instances = (0..INSTANCES).map(|index| SimulatedInstance::new(holder(index, index as u64))).collect();
        let mut simulation = Self {
            mutation,
            sizing,
            now: Instant::default(),
            instances,
            log: Vec::new(),
            observer: Shard::default(),
            delayed: Vec::new(),
            log_down: false,
            last_number: INSTANCES as u64,
            totals: BTreeMap::new(),
            costs: BTreeMap::new(),
            run_counts: BTreeMap::new(),
            dispatched_calls: BTreeSet::new(),
            dead: BTreeSet::new(),
            unbilled: BTreeMap::new(),
            summary: Summary::default(),
        };
        for account in 0..ACCOUNTS {
            simulation.pay(budget_key(account), INITIAL_TOP_UP_TOKENS, 1);
        }
        let initial_records = simulation.log.clone();
        for instance in &mut simulation.instances {
            for (offset, record) in (0..).zip(&initial_records) {
                instance.cell.apply(Offset(offset), record, 0);
            }
        }
        simulation
    }

    /// Runs `steps`, then repairs all faults and checks that every request is billed and all credit returned.
    pub fn run(mut self, steps: &[Step]) -> Result<Summary, Violation> {
        for step in steps {
            self.now = self.now.after(STEP_TIME);
            self.step(*step)?;
            self.check_invariants()?;
        }
        self.repair_and_drain()?;
        self.summary.records = self.log.len() as u64;
        self.summary.in_doubt = self.observer.ledger.budgets().map(|(_, budget)| budget.in_doubt().0).sum();
        Ok(self.summary)
    }

    fn step(&mut self, step: Step) -> Result<(), Violation> {
        let instance = step.instance % INSTANCES;
        let is_paused = self.instances[instance].paused;
        match step.action {
            Action::DeliverDelayed => self.deliver(step.random),
            Action::TopUp => self.top_up(step.random, 1),
            Action::RepeatTopUp => self.top_up(step.random, 2),
            Action::Partition => self.instances[instance].partitioned = step.random.is_multiple_of(FAULT_ONE_IN),
            Action::LogOutage => self.log_down = step.random.is_multiple_of(FAULT_ONE_IN),
            Action::Pause => self.instances[instance].paused = step.random.is_multiple_of(FAULT_ONE_IN),
            Action::Crash => self.crash(instance),
            Action::CloseHolder => self.close(step.random),
            Action::ResumeElsewhere => self.resume_elsewhere(instance, step.random),
            Action::ReleaseCredit => self.release(step.random),
            _ if is_paused => {}
            Action::Request => self.start_request(instance, step.random),
            Action::AtMostOnceCall => self.start_call(instance, step.random),
            Action::Advance => return self.advance(instance, step.random),
            Action::Append => self.append(instance, false),
            Action::DelayAppend => self.append(instance, true),
            Action::ReadSome => return self.read(instance, 1 + index_of(step.random, 4)),
            Action::InstallSnapshot => self.install(instance),
            Action::ReadAll => return self.read(instance, usize::MAX),
        }
        Ok(())
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn is_reachable(&self, instance: usize) -> bool {
        !self.log_down && !self.instances[instance].partitioned
    }

    fn start_request(&mut self, instance: usize, random: u64) {
        let number = self.next_number();
        let bound = 1 + random / ACCOUNTS % BOUND_MAX_TOKENS;
        let request = Request {
            id: RecordId::from(format!("chat-{number}")),
            ticket: number,
            key: budget_key(random),
            bound: Tokens(bound),
            used: Tokens(random / 7 % (bound + 1)),
            deadline: self.now.after(REQUEST_TIMEOUT),
            state: RequestState::Waiting,
        };
        self.costs.insert(request.id.clone(), (request.key.clone(), request.used));
        let still_open = self.reserve(instance, request);
        self.instances[instance].requests.extend(still_open);
    }

    /// Tries to reserve credit; returns the request unless it was refused.
    fn reserve(&mut self, instance: usize, mut request: Request) -> Option<Request> {
        let cell = &mut self.instances[instance].cell;
        let outcome = cell.credit.reserve(request.ticket, &request.key, request.bound, &cell.state.ledger);
        match outcome {
            ReserveOutcome::Reserved(reservation) => request.state = RequestState::Reserved(reservation),
            _ if self.mutation == Mutation::SpendBeforeRead => {
                let holder = cell.credit.holder().clone();
                request.state =
                    RequestState::Reserved(Reservation { key: request.key.clone(), bound: request.bound, holder });
            }
            ReserveOutcome::Exhausted => {
                self.summary.refused += 1;
                return None;
            }
            ReserveOutcome::Waiting if self.now >= request.deadline => {
                cell.credit.cancel_wait(request.ticket, &request.key);
                self.summary.refused += 1;
                return None;
            }
            ReserveOutcome::Waiting => {}
        }
        Some(request)
    }

    fn start_call(&mut self, instance: usize, random: u64) {
        let key = format!("key-{}", random / ACCOUNTS % ATTEMPT_KEYS);
        let attempt = AttemptKey { budget: budget_key(random), key: key.into() };
        let cell = &mut self.instances[instance].cell;
        if cell.attempt_status(&attempt, 0) != AttemptStatus::Unclaimed {
            return;
        }
        if cell.claim(&attempt, 0) != ClaimStatus::Pending {
            return;
        }
        let (id, deadline) = (self.next_number(), self.now.after(REQUEST_TIMEOUT));
        self.instances[instance].calls.push(Call { id, attempt, deadline, state: CallState::Claiming });
    }

    fn advance(&mut self, instance: usize, random: u64) -> Result<(), Violation> {
        let (requests, calls) = (self.instances[instance].requests.len(), self.instances[instance].calls.len());
        if requests + calls == 0 {
            return Ok(());
        }
        let index = index_of(random, requests + calls);
        if index < requests {
            let request = self.instances[instance].requests.swap_remove(index);
            let still_open = self.advance_request(instance, request);
            self.instances[instance].requests.extend(still_open);
            return Ok(());
        }
        let call = self.instances[instance].calls.swap_remove(index - requests);
        let still_open = self.advance_call(instance, call, random)?;
        self.instances[instance].calls.extend(still_open);
        Ok(())
    }

    fn advance_request(&mut self, instance: usize, mut request: Request) -> Option<Request> {
        match request.state {
            RequestState::Waiting => return self.reserve(instance, request),
            RequestState::Reserved(reservation) => {
                self.totals.entry(request.key.clone()).or_default().used += request.used.0;
                self.unbilled.entry(reservation.holder.clone()).or_default().insert(request.id.clone());
                self.summary.requests_run += 1;
                request.state = RequestState::Dispatched(reservation);
                return Some(request);
            }
            RequestState::Dispatched(reservation) => {
                let (now, sizing) = (self.now, self.sizing);
                let SimulatedInstance { cell, finished, .. } = &mut self.instances[instance];
                if let Some(credit) = cell.credit_mut(&reservation.holder) {
                    credit.settle(&reservation, &request.id, request.used, now, &sizing);
                }
                if !request.used.is_zero() {
                    finished.push(request.id);
                }
            }
        }
        None
    }

    fn advance_call(&mut self, instance: usize, mut call: Call, random: u64) -> Result<Option<Call>, Violation> {
        let is_late = self.now >= call.deadline;
        let status = self.instances[instance].cell.claim_status(&call.attempt);
        match (call.state, status) {
            (CallState::Claiming, Some(ClaimStatus::Won)) => call.state = CallState::Won,
            (CallState::Claiming, Some(ClaimStatus::Lost)) if self.mutation == Mutation::DispatchLostClaim => {
                call.state = CallState::Won;
            }
            (CallState::Claiming, Some(ClaimStatus::Pending)) if self.mutation == Mutation::DispatchUnreadClaim => {
                call.state = CallState::Won;
            }
            (CallState::Claiming, Some(ClaimStatus::Lost)) => return Ok(None),
            (CallState::Claiming, None) => {
                self.instances[instance].cell.renounce(&call.attempt);
                return Ok(None);
            }
            (CallState::Claiming, _) if is_late => return self.renounce(instance, &call),
            (CallState::Claiming, _) => {}
            (CallState::Won, _) if random.is_multiple_of(5) => return self.renounce(instance, &call),
            (CallState::Won, _) => {
                self.dispatched_calls.insert(call.id);
                self.summary.calls_run += 1;
                let runs = self.run_counts.entry(call.attempt.clone()).or_default();
                *runs += 1;
                if *runs > 1 {
                    return Err(Violation::RepeatedRun);
                }
                call.state = CallState::Dispatched;
            }
            (CallState::Dispatched, _) if is_late && self.mutation == Mutation::NotRunAfterDispatch => {
                return self.renounce(instance, &call);
            }
            (CallState::Dispatched, _) => {
                let outcome = match random % 3 {
                    0 => AttemptOutcome::Unknown,
                    _ => AttemptOutcome::Answered { status: 200, body: Arc::default() },
                };
                self.instances[instance].cell.end(&call.attempt, outcome);
                return Ok(None);
            }
        }
        Ok(Some(call))
    }

    /// Renounces the claim and tells the caller "not run".
    fn renounce(&mut self, instance: usize, call: &Call) -> Result<Option<Call>, Violation> {
        self.instances[instance].cell.renounce(&call.attempt);
        self.summary.refused += 1;
        self.summary.stale_refusals += u64::from(self.run_counts.contains_key(&call.attempt));
        match self.dispatched_calls.contains(&call.id) {
            true => Err(Violation::FalseNotRun),
            false => Ok(None),
        }
    }

    fn append(&mut self, instance: usize, is_delayed: bool) {
        let (now, sizing) = (self.now, self.sizing);
        let batches = self.instances[instance].cell.next_batches(now, |_| sizing);
        for batch in batches {
            let batch = self.mutate(batch);
            let record = ShardRecord::Batch(batch);
            match (self.is_reachable(instance), is_delayed) {
                (false, _) => {}
                (true, true) => self.delayed.push(record),
                (true, false) => self.store(record),
            }
        }
    }

    fn mutate(&mut self, mut batch: Batch) -> Batch {
        let known = self.observer.sequence(&batch.holder);
        match self.mutation {
            Mutation::RebillOnRetry if batch.sequence <= known => {
                batch.sequence = known + 1;
                for entry in &mut batch.entries {
                    if let Entry::Settle { request, .. } = entry {
                        *request = RecordId::from(format!("{request}-again"));
                    }
                }
            }
            Mutation::DropBills => batch.entries.retain(|entry| !matches!(entry, Entry::Settle { .. })),
            _ => {}
        }
        batch
    }

    fn store(&mut self, record: ShardRecord) {
        let offset = Offset(self.log.len() as u64);
        if let ShardRecord::Batch(batch) = &record {
            for entry in &batch.entries {
                if let Entry::Settle { request, .. } = entry {
                    self.unbilled.entry(batch.holder.clone()).or_default().remove(request);
                }
            }
        }
        self.observer.apply(offset, &record);
        self.log.push(record);
    }

    fn deliver(&mut self, random: u64) {
        if !self.delayed.is_empty() {
            let record = self.delayed.swap_remove(index_of(random, self.delayed.len()));
            self.store(record);
        }
    }

    fn read(&mut self, instance: usize, count: usize) -> Result<(), Violation> {
        if !self.is_reachable(instance) {
            return Ok(());
        }
        let next = index_of_offset(self.instances[instance].cell.state.next);
        let end = next.saturating_add(count).min(self.log.len());
        if next == end {
            return Ok(());
        }
        for index in next..end {
            let run = self.next_number();
            let (record, cell) = (&self.log[index], &mut self.instances[instance].cell);
            match self.mutation {
                Mutation::SkipRecord if instance == 0 && index == 5 => cell.state.skip(Offset(index as u64)),
                _ => _ = cell.apply(Offset(index as u64), record, run),
            }
        }
        let state = &self.instances[instance].cell.state;
        let is_different = |other: &Shard| other.next == state.next && other != state;
        match is_different(&self.observer) || self.instances.iter().any(|other| is_different(&other.cell.state)) {
            true => Err(Violation::StatesDiffer),
            false => Ok(()),
        }
    }

    fn install(&mut self, instance: usize) {
        let run = self.next_number();
        if self.is_reachable(instance) {
            let snapshot = Shard::import(self.observer.export());
            self.instances[instance].cell.install(snapshot, run);
        }
    }

    fn top_up(&mut self, random: u64, copies: usize) {
        if !self.log_down {
            self.pay(budget_key(random), 1 + random / ACCOUNTS % TOP_UP_MAX_TOKENS, copies);
        }
    }

    fn pay(&mut self, key: BudgetKey, tokens: u64, copies: usize) {
        let id = RecordId::from(format!("top-up-{}", self.next_number()));
        self.totals.entry(key.clone()).or_default().paid += tokens;
        let record = ShardRecord::TopUp(TopUp { id, key, tokens: Tokens(tokens), operator: "ops".into() });
        for _ in 0..copies {
            self.store(record.clone());
        }
    }

    fn crash(&mut self, instance: usize) {
        let run = self.next_number();
        let dead = std::mem::replace(&mut self.instances[instance], SimulatedInstance::new(holder(instance, run)));
        self.dead.insert(dead.cell.credit.holder().clone());
        self.dead.extend(dead.cell.retired.iter().map(|credit| credit.holder().clone()));
    }

    fn close(&mut self, random: u64) {
        let open: Vec<Incarnation> = self.observer.open_holders().cloned().collect();
        if self.log_down || open.is_empty() {
            return;
        }
        let holder = open[index_of(random, open.len())].clone();
        self.store(ShardRecord::Close(Close { holder: holder.clone(), closer: "peer".into() }));
        if self.mutation == Mutation::LeaseExpires {
            self.release_credit(&holder);
        }
    }

    /// Releases the credit of a dead holder. It must have no unbilled requests, as an audit of the engines establishes.
    fn release(&mut self, random: u64) {
        let is_audited = |holder: &&Incarnation| {
            self.observer.is_closed(holder)
                && self.unbilled.get(*holder).is_none_or(BTreeSet::is_empty)
                && !self.delayed.iter().any(|record| is_batch_of(record, holder))
        };
        let releasable: Vec<Incarnation> = self.dead.iter().filter(is_audited).cloned().collect();
        if !self.log_down && !releasable.is_empty() {
            self.release_credit(&releasable[index_of(random, releasable.len())]);
        }
    }

    fn release_credit(&mut self, holder: &Incarnation) {
        let key_if_held =
            |(key, budget): (&BudgetKey, &Budget)| budget.holdings.contains_key(holder).then(|| key.clone());
        let keys: Vec<BudgetKey> = self.observer.ledger.budgets().filter_map(key_if_held).collect();
        for key in keys {
            let id = RecordId::from(format!("release-{}", self.next_number()));
            let (holder, operator, reason) = (holder.clone(), "ops".into(), "audited".into());
            self.store(ShardRecord::Release(Release { id, key, holder, operator, reason }));
        }
    }

    /// Lets another instance also resume a stream that is open at `instance`; either of the two may finish and bill it.
    fn resume_elsewhere(&mut self, instance: usize, random: u64) {
        let target = (instance + 1 + index_of(random, INSTANCES - 1)) % INSTANCES;
        let is_open = |request: &&Request| matches!(request.state, RequestState::Dispatched(_));
        let Some(request) = self.instances[instance].requests.iter().find(is_open).cloned() else {
            return;
        };
        if self.instances[target].paused {
            return;
        }
        let cell = &mut self.instances[target].cell;
        let outcome = cell.credit.reserve(request.ticket, &request.key, request.bound, &cell.state.ledger);
        match outcome {
            ReserveOutcome::Reserved(reservation) => {
                self.instances[target]
                    .requests
                    .push(Request { state: RequestState::Dispatched(reservation), ..request });
            }
            _ => cell.credit.cancel_wait(request.ticket, &request.key),
        }
    }

    fn check_invariants(&self) -> Result<(), Violation> {
        for (key, totals) in &self.totals {
            if totals.used > totals.paid {
                return Err(Violation::Overspend);
            }
            let budget = self.observer.ledger.budget(key);
            if budget.is_some_and(|budget| budget.spent.0 > totals.used) {
                return Err(Violation::DoubleBill);
            }
            let is_balanced = |budget: &Budget| {
                let parts = budget.spent + budget.outstanding() + budget.in_doubt() + budget.free;
                parts == budget.topped_up + budget.overspent && budget.topped_up.0 == totals.paid
            };
            if budget.is_some_and(|budget| !is_balanced(budget)) {
                return Err(Violation::Unbalanced);
            }
        }
        Ok(())
    }

    /// Repairs all faults, lets all work end and drains every instance.
    fn repair_and_drain(&mut self) -> Result<(), Violation> {
        self.log_down = false;
        for instance in &mut self.instances {
            instance.partitioned = false;
            instance.paused = false;
        }
        while !self.delayed.is_empty() {
            self.deliver(0);
        }
        for round in 0..DRAIN_ROUNDS {
            self.now = self.now.after(REQUEST_TIMEOUT);
            for instance in 0..INSTANCES {
                let open = self.instances[instance].requests.len() + self.instances[instance].calls.len();
                for index in 0..open {
                    self.advance(instance, index as u64)?;
                }
                if round > DRAIN_ROUNDS / 2 {
                    self.instances[instance].cell.credit.close();
                }
                self.append(instance, false);
                self.read(instance, usize::MAX)?;
                self.check_invariants()?;
            }
        }
        self.check_bills()?;
        self.check_credit()
    }

    /// Checks that requests finished by live instances are billed, and that each budget paid the cost of its requests.
    fn check_bills(&self) -> Result<(), Violation> {
        let batches = self.log.iter().filter_map(|record| match record {
            ShardRecord::Batch(batch) => Some(batch),
            _ => None,
        });
        let entries = batches.flat_map(|batch| &batch.entries);
        let billed: BTreeSet<&RecordId> = entries
            .filter_map(|entry| match entry {
                Entry::Settle { request, .. } => Some(request),
                _ => None,
            })
            .collect();
        let finished = self.instances.iter().flat_map(|instance| &instance.finished);
        if finished.into_iter().any(|id| !billed.contains(id)) {
            return Err(Violation::MissingBill);
        }
        let mut expected: BTreeMap<&BudgetKey, u64> = BTreeMap::new();
        for (key, used) in billed.iter().filter_map(|id| self.costs.get(*id)) {
            *expected.entry(key).or_default() += used.0;
        }
        let is_exact =
            |(key, budget): (&BudgetKey, &Budget)| budget.spent.0 == expected.get(key).copied().unwrap_or_default();
        match self.observer.ledger.budgets().all(is_exact) {
            true => Ok(()),
            false => Err(Violation::MissingBill),
        }
    }

    /// Checks that only dead holders still hold credit, and that no budget was billed beyond what was paid in.
    fn check_credit(&self) -> Result<(), Violation> {
        if self.observer.ledger.budgets().any(|(_, budget)| !budget.overspent.is_zero()) {
            return Err(Violation::Overspend);
        }
        let holders = self.observer.ledger.budgets().flat_map(|(_, budget)| budget.holdings.keys());
        match holders.into_iter().all(|holder| self.dead.contains(holder)) {
            true => Ok(()),
            false => Err(Violation::CreditLost),
        }
    }
}

fn is_batch_of(record: &ShardRecord, holder: &Incarnation) -> bool {
    matches!(record, ShardRecord::Batch(batch) if batch.holder == *holder)
}

fn holder(instance: usize, run: u64) -> Incarnation {
    Incarnation { instance: format!("node-{instance}").into(), run }
}

fn budget_key(random: u64) -> BudgetKey {
    let account = format!("account-{}", random % ACCOUNTS).into();
    BudgetKey { environment: "tunis".into(), stage: Stage::Production, account }
}

fn index_of(random: u64, count: usize) -> usize {
    usize::try_from(random % count as u64).expect("the remainder is below a usize")
}

fn index_of_offset(offset: Offset) -> usize {
    usize::try_from(offset.0).expect("the log is in memory")
}
