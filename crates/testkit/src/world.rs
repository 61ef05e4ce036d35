//! Schedules of faults over real ledger cells and a small log in memory, with invariants checked at every step.
//!
//! The world counts what engines used, what ran and what callers were told by itself, so that a wrong fold
//! cannot vouch for its own figures. See `docs/BUDGETS.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::attempts::AttemptView;
use coltsfootpick_core::blackboard::ShardCell;
use coltsfootpick_core::names::{BudgetKey, Incarnation, RecordId, Stage};
use coltsfootpick_core::record::{AttemptKey, AttemptOutcome, Batch, Close, Entry, Release, ShardRecord, TopUp};
use coltsfootpick_core::shard::Shard;
use coltsfootpick_core::shard_credit::{ClaimStatus, Reservation, ReserveOutcome, Ticket};
use coltsfootpick_core::sizing::GrantSizing;
use coltsfootpick_core::units::{Instant, Offset, Tokens};
use derive_more::Display;

/// Instances of one world.
pub const NODES: usize = 4;

const ACCOUNTS: u64 = 2;
const ATTEMPT_KEYS: u64 = 6;
const BOUND_MAX: u64 = 40;
const TOP_UP_MAX: u64 = 60;
const FIRST_TOP_UP: u64 = 120;
const FAULT_ODDS: u64 = 4;
const STEP: Duration = Duration::from_millis(100);
const PATIENCE: Duration = Duration::from_secs(8);
const SETTLING_ROUNDS: usize = 24;

/// One kind of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A request that costs credit arrives.
    Chat,
    /// A call that must not repeat arrives.
    Apply,
    /// One open request or call of the node goes one step on.
    Work,
    /// The node appends; the answer counts for nothing, since only reading back does.
    Append,
    /// The node's append takes effect only later.
    DelayAppend,
    /// A delayed append takes effect.
    Deliver,
    /// The node reads a few records.
    Read,
    /// The node reads all records.
    ReadAll,
    /// The node goes on from a snapshot of everything on the log.
    Install,
    /// An operator tops a budget up.
    TopUp,
    /// An operator's top-up is appended twice.
    RepeatTopUp,
    /// The node loses the log one time in four, else has it back.
    Cut,
    /// The log goes down one time in four, else is back.
    Outage,
    /// The node freezes one time in four, else goes on where it was.
    Pause,
    /// The node dies with all it held and a fresh run takes its place.
    Die,
    /// Someone closes an incarnation that wrote to the log.
    Close,
    /// A request open at the node is resumed at another one, too.
    TakeOver,
    /// An operator releases credit of a dead holder after comparing with the engines.
    Release,
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// What happens.
    pub action: Action,
    /// Node that it happens to.
    pub node: usize,
    /// Number that settles everything else about it.
    pub amount: u64,
}

/// Rule broken on purpose, to see that the invariants notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Every rule holds.
    None,
    /// Requests spend before the grant is read back.
    SpendUnread,
    /// A repeated append gets a new number and new request ids.
    FreshBill,
    /// A lost claim is dispatched.
    DispatchLost,
    /// A claim is dispatched before it is read back.
    DispatchUnread,
    /// A dispatched call is told to be not run at its deadline.
    NotRunAfterDispatch,
    /// Closing gives credit in doubt to others, as a lease that lapses by time would.
    LeaseLapses,
    /// One node passes over a record.
    SkipRecord,
    /// Bills are forgotten on the way to the log.
    DropBill,
}

/// Invariant that did not hold.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// Engines used more than was paid in.
    #[display("engines used more than was paid in")]
    Overspend,
    /// More was billed than engines used.
    #[display("more was billed than engines used")]
    DoubleBill,
    /// A finished request was not billed.
    #[display("a finished request was not billed")]
    MissingBill,
    /// An attempt ran twice.
    #[display("an attempt ran twice")]
    SecondRun,
    /// A caller was told "not run" of something that ran.
    #[display("a caller was told not-run of something that ran")]
    UntrueNotRun,
    /// Two folds of one prefix differ.
    #[display("two folds of one prefix differ")]
    FoldsDiffer,
    /// A budget does not add up.
    #[display("a budget does not add up")]
    Unbalanced,
    /// Credit of a live node did not come back after everything healed.
    #[display("credit did not come back after everything healed")]
    CreditLost,
}

/// What a schedule came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Requests that engines ran.
    pub ran: u64,
    /// Calls that must not repeat and ran.
    pub applied: u64,
    /// Refusals that said "not run".
    pub refused: u64,
    /// Of these, calls whose key had run through an earlier call.
    pub stale_refusals: u64,
    /// Records on the log.
    pub records: u64,
    /// Tokens in doubt at the end.
    pub doubt: u64,
}

#[derive(Clone, Debug)]
enum ChatState {
    Waiting,
    Reserved(Reservation),
    Dispatched(Reservation),
}

#[derive(Clone, Debug)]
struct Chat {
    id: RecordId,
    ticket: Ticket,
    key: BudgetKey,
    bound: Tokens,
    used: Tokens,
    until: Instant,
    state: ChatState,
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
    until: Instant,
    state: CallState,
}

#[derive(Debug)]
struct Node {
    cell: ShardCell,
    chats: Vec<Chat>,
    calls: Vec<Call>,
    finished: Vec<RecordId>,
    cut: bool,
    paused: bool,
}

impl Node {
    fn new(holder: Incarnation) -> Self {
        Self {
            cell: ShardCell::new(holder),
            chats: Vec::new(),
            calls: Vec::new(),
            finished: Vec::new(),
            cut: false,
            paused: false,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Truth {
    paid: u64,
    used: u64,
}

/// One run of a schedule.
#[derive(Debug)]
pub struct World {
    mutation: Mutation,
    sizing: GrantSizing,
    now: Instant,
    nodes: Vec<Node>,
    log: Vec<ShardRecord>,
    observer: Shard,
    delayed: Vec<ShardRecord>,
    down: bool,
    numbers: u64,
    truth: BTreeMap<BudgetKey, Truth>,
    costs: BTreeMap<RecordId, (BudgetKey, Tokens)>,
    runs: BTreeMap<AttemptKey, u64>,
    dispatched: BTreeSet<u64>,
    dead: BTreeSet<Incarnation>,
    unbilled: BTreeMap<Incarnation, BTreeSet<RecordId>>,
    summary: Summary,
}

impl World {
    /// Starts with fresh nodes that have read one top-up of each budget.
    pub fn new(sizing: GrantSizing, mutation: Mutation) -> Self {
        let nodes = (0..NODES).map(|index| Node::new(incarnation(index, index as u64))).collect();
        let mut world = Self {
            mutation,
            sizing,
            now: Instant::default(),
            nodes,
            log: Vec::new(),
            observer: Shard::default(),
            delayed: Vec::new(),
            down: false,
            numbers: NODES as u64,
            truth: BTreeMap::new(),
            costs: BTreeMap::new(),
            runs: BTreeMap::new(),
            dispatched: BTreeSet::new(),
            dead: BTreeSet::new(),
            unbilled: BTreeMap::new(),
            summary: Summary::default(),
        };
        for account in 0..ACCOUNTS {
            world.pay(budget(account), FIRST_TOP_UP, 1);
        }
        let first = world.log.clone();
        for node in &mut world.nodes {
            for (offset, record) in (0..).zip(&first) {
                node.cell.apply(Offset(offset), record, 0);
            }
        }
        world
    }

    /// Runs `steps`, then heals everything and checks that all is billed and all credit came back.
    pub fn run(mut self, steps: &[Step]) -> Result<Summary, Violation> {
        for step in steps {
            self.now = self.now.after(STEP);
            self.step(*step)?;
            self.check()?;
        }
        self.settle_down()?;
        self.summary.records = self.log.len() as u64;
        self.summary.doubt = self.observer.ledger.budgets().map(|(_, account)| account.in_doubt().0).sum();
        Ok(self.summary)
    }

    fn step(&mut self, step: Step) -> Result<(), Violation> {
        let node = step.node % NODES;
        let frozen = self.nodes[node].paused;
        match step.action {
            Action::Deliver => self.deliver(step.amount),
            Action::TopUp => self.top_up(step.amount, 1),
            Action::RepeatTopUp => self.top_up(step.amount, 2),
            Action::Cut => self.nodes[node].cut = step.amount.is_multiple_of(FAULT_ODDS),
            Action::Outage => self.down = step.amount.is_multiple_of(FAULT_ODDS),
            Action::Pause => self.nodes[node].paused = step.amount.is_multiple_of(FAULT_ODDS),
            Action::Die => self.die(node),
            Action::Close => self.close(step.amount),
            Action::TakeOver => self.take_over(node, step.amount),
            Action::Release => self.release(step.amount),
            _ if frozen => {}
            Action::Chat => self.chat(node, step.amount),
            Action::Apply => self.apply(node, step.amount),
            Action::Work => return self.work(node, step.amount),
            Action::Append => self.append(node, false),
            Action::DelayAppend => self.append(node, true),
            Action::Read => return self.read(node, 1 + index_of(step.amount, 4)),
            Action::Install => self.install(node),
            Action::ReadAll => return self.read(node, usize::MAX),
        }
        Ok(())
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn is_reachable(&self, node: usize) -> bool {
        !self.down && !self.nodes[node].cut
    }

    fn chat(&mut self, node: usize, amount: u64) {
        let number = self.number();
        let bound = 1 + amount / ACCOUNTS % BOUND_MAX;
        let chat = Chat {
            id: RecordId::from(format!("chat-{number}")),
            ticket: number,
            key: budget(amount),
            bound: Tokens(bound),
            used: Tokens(amount / 7 % (bound + 1)),
            until: self.now.after(PATIENCE),
            state: ChatState::Waiting,
        };
        self.costs.insert(chat.id.clone(), (chat.key.clone(), chat.used));
        let moved = self.reserve(node, chat);
        self.nodes[node].chats.extend(moved);
    }

    /// Tries to reserve; gives the request back unless it was refused.
    fn reserve(&mut self, node: usize, mut chat: Chat) -> Option<Chat> {
        let cell = &mut self.nodes[node].cell;
        let outcome = cell.credit.reserve(chat.ticket, &chat.key, chat.bound, &cell.state.ledger);
        match outcome {
            ReserveOutcome::Reserved(reservation) => chat.state = ChatState::Reserved(reservation),
            _ if self.mutation == Mutation::SpendUnread => {
                let holder = cell.credit.holder().clone();
                chat.state = ChatState::Reserved(Reservation { key: chat.key.clone(), bound: chat.bound, holder });
            }
            ReserveOutcome::Exhausted => {
                self.summary.refused += 1;
                return None;
            }
            ReserveOutcome::Waiting if self.now >= chat.until => {
                cell.credit.cancel_wait(chat.ticket, &chat.key);
                self.summary.refused += 1;
                return None;
            }
            ReserveOutcome::Waiting => {}
        }
        Some(chat)
    }

    fn apply(&mut self, node: usize, amount: u64) {
        let key = format!("key-{}", amount / ACCOUNTS % ATTEMPT_KEYS);
        let attempt = AttemptKey { budget: budget(amount), key: key.into() };
        let cell = &mut self.nodes[node].cell;
        if cell.attempt_view(&attempt, 0) != AttemptView::Unclaimed {
            return;
        }
        if cell.claim(&attempt, 0) != ClaimStatus::Pending {
            return;
        }
        let (id, until) = (self.number(), self.now.after(PATIENCE));
        self.nodes[node].calls.push(Call { id, attempt, until, state: CallState::Claiming });
    }

    fn work(&mut self, node: usize, amount: u64) -> Result<(), Violation> {
        let (chats, calls) = (self.nodes[node].chats.len(), self.nodes[node].calls.len());
        if chats + calls == 0 {
            return Ok(());
        }
        let index = index_of(amount, chats + calls);
        if index < chats {
            let chat = self.nodes[node].chats.swap_remove(index);
            let moved = self.work_chat(node, chat);
            self.nodes[node].chats.extend(moved);
            return Ok(());
        }
        let call = self.nodes[node].calls.swap_remove(index - chats);
        let moved = self.work_call(node, call, amount)?;
        self.nodes[node].calls.extend(moved);
        Ok(())
    }

    fn work_chat(&mut self, node: usize, mut chat: Chat) -> Option<Chat> {
        match chat.state {
            ChatState::Waiting => return self.reserve(node, chat),
            ChatState::Reserved(reservation) => {
                self.truth.entry(chat.key.clone()).or_default().used += chat.used.0;
                self.unbilled.entry(reservation.holder.clone()).or_default().insert(chat.id.clone());
                self.summary.ran += 1;
                chat.state = ChatState::Dispatched(reservation);
                return Some(chat);
            }
            ChatState::Dispatched(reservation) => {
                let (now, sizing) = (self.now, self.sizing);
                let Node { cell, finished, .. } = &mut self.nodes[node];
                if let Some(credit) = cell.credit_mut(&reservation.holder) {
                    credit.settle(&reservation, &chat.id, chat.used, now, &sizing);
                }
                if !chat.used.is_zero() {
                    finished.push(chat.id);
                }
            }
        }
        None
    }

    fn work_call(&mut self, node: usize, mut call: Call, amount: u64) -> Result<Option<Call>, Violation> {
        let late = self.now >= call.until;
        let status = self.nodes[node].cell.claim_status(&call.attempt);
        match (call.state, status) {
            (CallState::Claiming, Some(ClaimStatus::Won)) => call.state = CallState::Won,
            (CallState::Claiming, Some(ClaimStatus::Lost)) if self.mutation == Mutation::DispatchLost => {
                call.state = CallState::Won;
            }
            (CallState::Claiming, Some(ClaimStatus::Pending)) if self.mutation == Mutation::DispatchUnread => {
                call.state = CallState::Won;
            }
            (CallState::Claiming, Some(ClaimStatus::Lost)) => return Ok(None),
            (CallState::Claiming, None) => {
                self.nodes[node].cell.renounce(&call.attempt);
                return Ok(None);
            }
            (CallState::Claiming, _) if late => return self.renounce(node, &call),
            (CallState::Claiming, _) => {}
            (CallState::Won, _) if amount.is_multiple_of(5) => return self.renounce(node, &call),
            (CallState::Won, _) => {
                self.dispatched.insert(call.id);
                self.summary.applied += 1;
                let runs = self.runs.entry(call.attempt.clone()).or_default();
                *runs += 1;
                if *runs > 1 {
                    return Err(Violation::SecondRun);
                }
                call.state = CallState::Dispatched;
            }
            (CallState::Dispatched, _) if late && self.mutation == Mutation::NotRunAfterDispatch => {
                return self.renounce(node, &call);
            }
            (CallState::Dispatched, _) => {
                let outcome = match amount % 3 {
                    0 => AttemptOutcome::Unknown,
                    _ => AttemptOutcome::Answered { status: 200, body: Arc::default() },
                };
                self.nodes[node].cell.end(&call.attempt, outcome);
                return Ok(None);
            }
        }
        Ok(Some(call))
    }

    /// Gives the call up and tells its caller "not run".
    fn renounce(&mut self, node: usize, call: &Call) -> Result<Option<Call>, Violation> {
        self.nodes[node].cell.renounce(&call.attempt);
        self.summary.refused += 1;
        self.summary.stale_refusals += u64::from(self.runs.contains_key(&call.attempt));
        match self.dispatched.contains(&call.id) {
            true => Err(Violation::UntrueNotRun),
            false => Ok(None),
        }
    }

    fn append(&mut self, node: usize, delay: bool) {
        let (now, sizing) = (self.now, self.sizing);
        let batches = self.nodes[node].cell.next_batches(now, |_| sizing);
        for batch in batches {
            let batch = self.mutate(batch);
            let record = ShardRecord::Batch(batch);
            match (self.is_reachable(node), delay) {
                (false, _) => {}
                (true, true) => self.delayed.push(record),
                (true, false) => self.store(record),
            }
        }
    }

    fn mutate(&mut self, mut batch: Batch) -> Batch {
        let known = self.observer.sequence(&batch.holder);
        match self.mutation {
            Mutation::FreshBill if batch.sequence <= known => {
                batch.sequence = known + 1;
                for entry in &mut batch.entries {
                    if let Entry::Settle { request, .. } = entry {
                        *request = RecordId::from(format!("{request}-again"));
                    }
                }
            }
            Mutation::DropBill => batch.entries.retain(|entry| !matches!(entry, Entry::Settle { .. })),
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

    fn deliver(&mut self, amount: u64) {
        if !self.delayed.is_empty() {
            let record = self.delayed.swap_remove(index_of(amount, self.delayed.len()));
            self.store(record);
        }
    }

    fn read(&mut self, node: usize, count: usize) -> Result<(), Violation> {
        if !self.is_reachable(node) {
            return Ok(());
        }
        let next = index_of_offset(self.nodes[node].cell.state.next);
        let end = next.saturating_add(count).min(self.log.len());
        if next == end {
            return Ok(());
        }
        for index in next..end {
            let fresh = self.number();
            let (record, cell) = (&self.log[index], &mut self.nodes[node].cell);
            match self.mutation {
                Mutation::SkipRecord if node == 0 && index == 5 => cell.state.skip(Offset(index as u64)),
                _ => _ = cell.apply(Offset(index as u64), record, fresh),
            }
        }
        let fold = &self.nodes[node].cell.state;
        let differs = |other: &Shard| other.next == fold.next && other != fold;
        match differs(&self.observer) || self.nodes.iter().any(|other| differs(&other.cell.state)) {
            true => Err(Violation::FoldsDiffer),
            false => Ok(()),
        }
    }

    fn install(&mut self, node: usize) {
        let fresh = self.number();
        if self.is_reachable(node) {
            let snapshot = Shard::import(self.observer.export());
            self.nodes[node].cell.install(snapshot, fresh);
        }
    }

    fn top_up(&mut self, amount: u64, copies: usize) {
        if !self.down {
            self.pay(budget(amount), 1 + amount / ACCOUNTS % TOP_UP_MAX, copies);
        }
    }

    fn pay(&mut self, key: BudgetKey, tokens: u64, copies: usize) {
        let id = RecordId::from(format!("top-up-{}", self.number()));
        self.truth.entry(key.clone()).or_default().paid += tokens;
        let record = ShardRecord::TopUp(TopUp { id, key, tokens: Tokens(tokens), operator: "ops".into() });
        for _ in 0..copies {
            self.store(record.clone());
        }
    }

    fn die(&mut self, node: usize) {
        let run = self.number();
        let dying = std::mem::replace(&mut self.nodes[node], Node::new(incarnation(node, run)));
        self.dead.insert(dying.cell.credit.holder().clone());
        self.dead.extend(dying.cell.retired.iter().map(|credit| credit.holder().clone()));
    }

    fn close(&mut self, amount: u64) {
        let open: Vec<Incarnation> = self.observer.open_holders().cloned().collect();
        if self.down || open.is_empty() {
            return;
        }
        let holder = open[index_of(amount, open.len())].clone();
        self.store(ShardRecord::Close(Close { holder: holder.clone(), closer: "peer".into() }));
        if self.mutation == Mutation::LeaseLapses {
            self.release_all(&holder);
        }
    }

    /// Releases only what no engine ran for, as an audit against the engines' own counts allows.
    fn release(&mut self, amount: u64) {
        let audited = |holder: &&Incarnation| {
            self.observer.is_closed(holder)
                && self.unbilled.get(*holder).is_none_or(BTreeSet::is_empty)
                && !self.delayed.iter().any(|record| is_batch_of(record, holder))
        };
        let idle: Vec<Incarnation> = self.dead.iter().filter(audited).cloned().collect();
        if !self.down && !idle.is_empty() {
            self.release_all(&idle[index_of(amount, idle.len())]);
        }
    }

    fn release_all(&mut self, holder: &Incarnation) {
        let holds = |(key, account): (&BudgetKey, &coltsfootpick_core::ledger::Budget)| {
            account.holdings.contains_key(holder).then(|| key.clone())
        };
        let keys: Vec<BudgetKey> = self.observer.ledger.budgets().filter_map(holds).collect();
        for key in keys {
            let id = RecordId::from(format!("release-{}", self.number()));
            let (holder, operator, reason) = (holder.clone(), "ops".into(), "audited".into());
            self.store(ShardRecord::Release(Release { id, key, holder, operator, reason }));
        }
    }

    /// Another node resumes a stream that this one has open; either may finish and bill it.
    fn take_over(&mut self, node: usize, amount: u64) {
        let to = (node + 1 + index_of(amount, NODES - 1)) % NODES;
        let is_open = |chat: &&Chat| matches!(chat.state, ChatState::Dispatched(_));
        let Some(chat) = self.nodes[node].chats.iter().find(is_open).cloned() else {
            return;
        };
        if self.nodes[to].paused {
            return;
        }
        let cell = &mut self.nodes[to].cell;
        let outcome = cell.credit.reserve(chat.ticket, &chat.key, chat.bound, &cell.state.ledger);
        match outcome {
            ReserveOutcome::Reserved(reservation) => {
                self.nodes[to].chats.push(Chat { state: ChatState::Dispatched(reservation), ..chat });
            }
            _ => cell.credit.cancel_wait(chat.ticket, &chat.key),
        }
    }

    fn check(&self) -> Result<(), Violation> {
        for (key, truth) in &self.truth {
            if truth.used > truth.paid {
                return Err(Violation::Overspend);
            }
            let account = self.observer.ledger.budget(key);
            if account.is_some_and(|account| account.spent.0 > truth.used) {
                return Err(Violation::DoubleBill);
            }
            let adds_up = |account: &coltsfootpick_core::ledger::Budget| {
                let parts = account.spent + account.outstanding() + account.in_doubt() + account.free;
                parts == account.topped_up + account.overspent && account.topped_up.0 == truth.paid
            };
            if account.is_some_and(|account| !adds_up(account)) {
                return Err(Violation::Unbalanced);
            }
        }
        Ok(())
    }

    /// Heals everything, lets all work end and stops every node as planned.
    fn settle_down(&mut self) -> Result<(), Violation> {
        self.down = false;
        for node in &mut self.nodes {
            node.cut = false;
            node.paused = false;
        }
        while !self.delayed.is_empty() {
            self.deliver(0);
        }
        for round in 0..SETTLING_ROUNDS {
            self.now = self.now.after(PATIENCE);
            for node in 0..NODES {
                let open = self.nodes[node].chats.len() + self.nodes[node].calls.len();
                for index in 0..open {
                    self.work(node, index as u64)?;
                }
                if round > SETTLING_ROUNDS / 2 {
                    self.nodes[node].cell.credit.close();
                }
                self.append(node, false);
                self.read(node, usize::MAX)?;
                self.check()?;
            }
        }
        self.check_bills()?;
        self.check_credit()
    }

    /// Everything that a live node finished is billed, and bills are what the requests on the log cost.
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
        let finished = self.nodes.iter().flat_map(|node| &node.finished);
        if finished.into_iter().any(|id| !billed.contains(id)) {
            return Err(Violation::MissingBill);
        }
        let mut due: BTreeMap<&BudgetKey, u64> = BTreeMap::new();
        for (key, used) in billed.iter().filter_map(|id| self.costs.get(*id)) {
            *due.entry(key).or_default() += used.0;
        }
        let agrees = |(key, account): (&BudgetKey, &coltsfootpick_core::ledger::Budget)| {
            account.spent.0 == due.get(key).copied().unwrap_or_default()
        };
        match self.observer.ledger.budgets().all(agrees) {
            true => Ok(()),
            false => Err(Violation::MissingBill),
        }
    }

    /// Only the dead still hold credit, and nothing was billed beyond what was paid in.
    fn check_credit(&self) -> Result<(), Violation> {
        if self.observer.ledger.budgets().any(|(_, account)| !account.overspent.is_zero()) {
            return Err(Violation::Overspend);
        }
        let holders = self.observer.ledger.budgets().flat_map(|(_, account)| account.holdings.keys());
        match holders.into_iter().all(|holder| self.dead.contains(holder)) {
            true => Ok(()),
            false => Err(Violation::CreditLost),
        }
    }
}

fn is_batch_of(record: &ShardRecord, holder: &Incarnation) -> bool {
    matches!(record, ShardRecord::Batch(batch) if batch.holder == *holder)
}

fn incarnation(node: usize, run: u64) -> Incarnation {
    Incarnation { instance: format!("node-{node}").into(), run }
}

fn budget(amount: u64) -> BudgetKey {
    let account = format!("account-{}", amount % ACCOUNTS).into();
    BudgetKey { environment: "tunis".into(), stage: Stage::Production, account }
}

fn index_of(amount: u64, count: usize) -> usize {
    usize::try_from(amount % count as u64).expect("the remainder is below a usize")
}

fn index_of_offset(offset: Offset) -> usize {
    usize::try_from(offset.0).expect("the log is in memory")
}
