//! Admission to one service: bounded queues, shares by class and account, refusals by deadline.
//!
//! A request starts when a slot is free, waits when it can still make its deadline, and is refused at
//! once otherwise. See `docs/ADMISSION.md`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::document::Priority;
use crate::names::BudgetKey;
use crate::shard_credit::Ticket;
use crate::units::Instant;

/// Cost that each waiting account may spend in one round of deficit round robin.
pub const QUANTUM_COST: u64 = 64;

/// Weight of the prompt class against [`BACKGROUND_WEIGHT`] when both wait.
pub const PROMPT_WEIGHT: u64 = 8;

/// Weight of the background class, above zero so that it finishes.
pub const BACKGROUND_WEIGHT: u64 = 1;

/// Part of the measured pace that one more measurement leaves in place.
const PACE_MEMORY: f64 = 0.95;

/// Request that asks to be let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Number of the request.
    pub ticket: Ticket,
    /// Account that it counts for.
    pub account: BudgetKey,
    /// Class that it waits in.
    pub class: Priority,
    /// Expected work, in units that only compare within one service.
    pub cost: u64,
    /// Moment by which the answer must be there.
    pub deadline: Instant,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// Expected time until coming back helps.
    pub retry: Duration,
}

/// Answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The request holds a slot.
    Started,
    /// The request waits.
    Queued {
        /// Moment after which starting it would be too late.
        latest: Instant,
        /// Waiting request that lost its place.
        displaced: Option<Verdict>,
    },
    /// The request is not let in.
    Refused(Overload),
}

/// What became of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It holds a slot now.
    Started(Ticket),
    /// It lost its place.
    Refused(Ticket, Overload),
}

/// How a request left its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// Its time tells how fast the service is.
    Whole,
    /// Its time tells nothing.
    CutShort,
}

#[derive(Debug)]
struct AccountQueue {
    account: BudgetKey,
    deficit: u64,
    asks: VecDeque<Ask>,
}

impl AccountQueue {
    fn cost(&self) -> u64 {
        self.asks.iter().map(|ask| ask.cost).sum()
    }

    /// Rounds until the first request is covered by the deficit.
    fn rounds(&self) -> u64 {
        let cost = self.asks.front().map_or(0, |ask| ask.cost);
        cost.saturating_sub(self.deficit).div_ceil(QUANTUM_COST)
    }
}

/// Waiting requests of one class, in deficit round robin over accounts.
#[derive(Debug, Default)]
struct ClassQueue {
    ring: VecDeque<AccountQueue>,
    passed: u64,
}

impl ClassQueue {
    fn len(&self) -> usize {
        self.ring.iter().map(|queue| queue.asks.len()).sum()
    }

    fn cost(&self) -> u64 {
        self.ring.iter().map(AccountQueue::cost).sum()
    }

    fn push(&mut self, ask: Ask) {
        match self.ring.iter_mut().find(|queue| queue.account == ask.account) {
            Some(queue) => queue.asks.push_back(ask),
            None => {
                let account = ask.account.clone();
                self.ring.push_back(AccountQueue { account, deficit: 0, asks: VecDeque::from([ask]) });
            }
        }
    }

    fn pop(&mut self) -> Option<Ask> {
        let rounds = self.ring.iter().map(AccountQueue::rounds).min()?;
        let index = self.ring.iter().position(|queue| queue.rounds() == rounds)?;
        for queue in &mut self.ring {
            queue.deficit += rounds * QUANTUM_COST;
        }
        self.ring.rotate_left(index);
        let front = self.ring.front_mut()?;
        let ask = front.asks.pop_front()?;
        front.deficit = front.deficit.saturating_sub(ask.cost);
        self.drop_empty();
        Some(ask)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Ask> {
        let found = self.ring.iter_mut().find_map(|queue| {
            let index = queue.asks.iter().position(|ask| ask.ticket == ticket)?;
            queue.asks.remove(index)
        });
        self.drop_empty();
        found
    }

    fn drop_empty(&mut self) {
        self.ring.retain(|queue| !queue.asks.is_empty());
    }

    /// Cost that is served before a new request of `account`: each other account gets as much as it.
    fn ahead(&self, account: &BudgetKey, cost: u64) -> u64 {
        let own = self.ring.iter().find(|queue| queue.account == *account).map_or(0, AccountQueue::cost);
        let others = self.ring.iter().filter(|queue| queue.account != *account);
        own + others.map(|queue| queue.cost().min(own + cost)).sum::<u64>()
    }

    /// Takes the newest request of the account that waits with most, unless `account` itself is that one.
    fn displace(&mut self, account: &BudgetKey) -> Option<Ask> {
        let own = self.ring.iter().find(|queue| queue.account == *account).map_or(0, |queue| queue.asks.len());
        let longest = self.ring.iter_mut().max_by_key(|queue| queue.asks.len())?;
        if longest.asks.len() <= own + 1 {
            return None;
        }
        longest.asks.pop_back()
    }
}

#[derive(Clone, Copy, Debug)]
struct Running {
    cost: u64,
    since: Instant,
}

/// Measured time for one unit of cost in one slot.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    seconds: f64,
    cost: f64,
}

impl Pace {
    #[expect(clippy::cast_precision_loss, reason = "a pace needs no more than 52 bits")]
    fn add(&mut self, cost: u64, span: Duration) {
        self.seconds = self.seconds.mul_add(PACE_MEMORY, span.as_secs_f64());
        self.cost = self.cost.mul_add(PACE_MEMORY, cost as f64);
    }

    /// Time that `cost` takes on `slots`; zero as long as nothing was measured.
    #[expect(clippy::cast_precision_loss, reason = "a pace needs no more than 52 bits")]
    fn time(&self, cost: u64, slots: usize) -> Duration {
        if self.cost <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = self.seconds / self.cost * cost as f64 / slots.max(1) as f64;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Slots and waiting requests of one service.
#[derive(Debug)]
pub struct ServiceQueue {
    limit: usize,
    prompt: ClassQueue,
    background: ClassQueue,
    passed: u64,
    running: BTreeMap<Ticket, Running>,
    pace: Pace,
}

impl ServiceQueue {
    /// Starts empty; at most `limit` requests wait in each class.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            prompt: ClassQueue::default(),
            background: ClassQueue::default(),
            passed: 0,
            running: BTreeMap::new(),
            pace: Pace::default(),
        }
    }

    /// Requests that hold a slot.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.prompt.len() + self.background.len()
    }

    /// Tells without a change whether `ask` would be let in.
    pub fn check(&self, ask: &Ask, slots: usize, now: Instant) -> Result<(), Overload> {
        if self.has_slot(slots) {
            return Ok(());
        }
        let wait = self.wait(ask, slots, now);
        let own = self.pace.time(ask.cost, 1);
        let left = ask.deadline.since(now);
        let late = wait.saturating_add(own).saturating_sub(left).min(wait);
        match late {
            Duration::ZERO => Ok(()),
            retry => Err(Overload { retry }),
        }
    }

    /// Lets a request in, queues it or refuses it.
    pub fn arrive(&mut self, ask: Ask, slots: usize, now: Instant) -> Arrival {
        if self.has_slot(slots) {
            self.start(&ask, now);
            return Arrival::Started;
        }
        if let Err(overload) = self.check(&ask, slots, now) {
            return Arrival::Refused(overload);
        }
        let overload = Overload { retry: self.pace.time(self.class(ask.class).cost(), slots) };
        let limit = self.limit;
        let passed = self.passed;
        let class = self.class_mut(ask.class);
        let displaced = match class.len() {
            length if length < limit => None,
            _ => match class.displace(&ask.account) {
                Some(loser) => Some(Verdict::Refused(loser.ticket, overload)),
                None => return Arrival::Refused(overload),
            },
        };
        if class.ring.is_empty() {
            class.passed = class.passed.max(passed);
        }
        let latest = Instant(ask.deadline.0.saturating_sub(self.pace.time(ask.cost, 1)));
        self.class_mut(ask.class).push(ask);
        Arrival::Queued { latest, displaced }
    }

    /// Gives free slots to waiting requests and drops those that have become too late.
    pub fn advance(&mut self, slots: usize, now: Instant) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        while self.running.len() < slots.max(1) {
            let Some(ask) = self.pop() else { break };
            let is_late = ask.deadline <= now.after(self.pace.time(ask.cost, 1));
            if ask.deadline <= now || is_late && self.waiting() > 0 {
                let retry = self.pace.time(self.prompt.cost() + self.background.cost(), slots);
                verdicts.push(Verdict::Refused(ask.ticket, Overload { retry }));
                continue;
            }
            self.start(&ask, now);
            verdicts.push(Verdict::Started(ask.ticket));
        }
        verdicts
    }

    /// Takes a request off its slot or out of the queue; other requests may then [`advance`](Self::advance).
    pub fn depart(&mut self, ticket: Ticket, departure: Departure, now: Instant) {
        match self.running.remove(&ticket) {
            Some(running) if departure == Departure::Whole => {
                self.pace.add(running.cost, now.since(running.since));
            }
            Some(_) => {}
            None => {
                let _ = self.prompt.remove(ticket).or_else(|| self.background.remove(ticket));
            }
        }
    }

    fn has_slot(&self, slots: usize) -> bool {
        self.waiting() == 0 && self.running.len() < slots.max(1)
    }

    fn start(&mut self, ask: &Ask, now: Instant) {
        self.running.insert(ask.ticket, Running { cost: ask.cost, since: now });
    }

    fn wait(&self, ask: &Ask, slots: usize, now: Instant) -> Duration {
        let ahead = self.class(ask.class).ahead(&ask.account, ask.cost);
        let (other, own_weight, other_weight) = match ask.class {
            Priority::Prompt => (&self.background, PROMPT_WEIGHT, BACKGROUND_WEIGHT),
            Priority::Background => (&self.prompt, BACKGROUND_WEIGHT, PROMPT_WEIGHT),
        };
        let shared = (ahead + ask.cost).saturating_mul(other_weight) / own_weight;
        let queued = self.pace.time(ahead + other.cost().min(shared), slots);
        let left = |running: &Running| self.pace.time(running.cost, 1).saturating_sub(now.since(running.since));
        let rest: Duration = self.running.values().map(left).sum();
        queued + rest / u32::try_from(slots.max(1)).unwrap_or(u32::MAX)
    }

    fn pop(&mut self) -> Option<Ask> {
        let is_prompt = match (self.prompt.ring.is_empty(), self.background.ring.is_empty()) {
            (true, true) => return None,
            (false, true) => true,
            (true, false) => false,
            (false, false) => self.prompt.passed <= self.background.passed,
        };
        let (class, weight) = match is_prompt {
            true => (&mut self.prompt, PROMPT_WEIGHT),
            false => (&mut self.background, BACKGROUND_WEIGHT),
        };
        let ask = class.pop()?;
        self.passed = class.passed;
        class.passed += ask.cost * (PROMPT_WEIGHT * BACKGROUND_WEIGHT) / weight;
        Some(ask)
    }

    const fn class(&self, class: Priority) -> &ClassQueue {
        match class {
            Priority::Prompt => &self.prompt,
            Priority::Background => &self.background,
        }
    }

    const fn class_mut(&mut self, class: Priority) -> &mut ClassQueue {
        match class {
            Priority::Prompt => &mut self.prompt,
            Priority::Background => &mut self.background,
        }
    }
}
