//! Admission control of one service: bounded queues, fair shares per class and account, refusals by deadline.
//!
//! A request starts at once when a slot is free, waits when it is expected to meet its deadline, and is refused
//! immediately otherwise. See `docs/ADMISSION.md`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::document::QueueClass;
use crate::names::BudgetKey;
use crate::shard_credit::Ticket;
use crate::units::Instant;

/// Quantum of deficit round robin: cost that each waiting account may start per round.
pub const QUANTUM_COST: u64 = 64;

/// Weight of the prompt class, relative to [`BACKGROUND_WEIGHT`], while both classes wait.
pub const PROMPT_WEIGHT: u64 = 8;

/// Weight of the background class; above zero, so that background requests are never starved.
pub const BACKGROUND_WEIGHT: u64 = 1;

/// Factor by which earlier measurements of the service time decay with each new one.
const SERVICE_TIME_DECAY: f64 = 0.95;

/// Request for a slot of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Identifier of the request within this instance.
    pub ticket: Ticket,
    /// Budget of the client account that called; slots are shared fairly among accounts.
    pub account: BudgetKey,
    /// Class whose queue the request waits in.
    pub class: QueueClass,
    /// Expected work, in units that are comparable only within one service.
    pub cost: u64,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}

/// Refusal because the queue is full or the deadline cannot be met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// Expected time until a retry would be admitted.
    pub retry_after: Duration,
}

/// Result of [`ServiceQueue::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot.
    Started,
    /// The request waits.
    Queued {
        /// Latest start at which the request is expected to meet its deadline.
        latest_start: Instant,
        /// Refusal of another waiting request, which was removed to make space.
        displaced: Option<QueueOutcome>,
    },
    /// The request neither started nor waits.
    Refused(Overload),
}

/// End of a request's wait in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOutcome {
    /// The request holds a slot.
    Started(Ticket),
    /// The request was removed from the queue.
    Refused(Ticket, Overload),
}

/// Whether a request that leaves the queue or its slot was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The answer is complete; its duration counts as a measurement of the service time.
    Completed,
    /// The request ended early; its duration is ignored.
    Aborted,
}

/// Waiting requests of one account in one class.
#[derive(Debug)]
struct AccountQueue {
    account: BudgetKey,
    deficit: u64,
    requests: VecDeque<AdmissionRequest>,
}

impl AccountQueue {
    fn cost(&self) -> u64 {
        self.requests.iter().map(|request| request.cost).sum()
    }

    /// Returns the number of rounds until the deficit covers the first request.
    fn rounds(&self) -> u64 {
        let cost = self.requests.front().map_or(0, |request| request.cost);
        cost.saturating_sub(self.deficit).div_ceil(QUANTUM_COST)
    }
}

/// Waiting requests of one class, served in deficit round robin over the accounts.
#[derive(Debug, Default)]
struct FairQueue {
    accounts: VecDeque<AccountQueue>,
    virtual_time: u64,
}

impl FairQueue {
    fn len(&self) -> usize {
        self.accounts.iter().map(|queue| queue.requests.len()).sum()
    }

    fn cost(&self) -> u64 {
        self.accounts.iter().map(AccountQueue::cost).sum()
    }

    fn push(&mut self, request: AdmissionRequest) {
        match self.accounts.iter_mut().find(|queue| queue.account == request.account) {
            Some(queue) => queue.requests.push_back(request),
            None => {
                let account = request.account.clone();
                self.accounts.push_back(AccountQueue { account, deficit: 0, requests: VecDeque::from([request]) });
            }
        }
    }

    fn pop(&mut self) -> Option<AdmissionRequest> {
        let rounds = self.accounts.iter().map(AccountQueue::rounds).min()?;
        let index = self.accounts.iter().position(|queue| queue.rounds() == rounds)?;
        for queue in &mut self.accounts {
            queue.deficit += rounds * QUANTUM_COST;
        }
        self.accounts.rotate_left(index);
        let front = self.accounts.front_mut()?;
        let request = front.requests.pop_front()?;
        front.deficit = front.deficit.saturating_sub(request.cost);
        self.drop_empty();
        Some(request)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<AdmissionRequest> {
        let found = self.accounts.iter_mut().find_map(|queue| {
            let index = queue.requests.iter().position(|request| request.ticket == ticket)?;
            queue.requests.remove(index)
        });
        self.drop_empty();
        found
    }

    fn drop_empty(&mut self) {
        self.accounts.retain(|queue| !queue.requests.is_empty());
    }

    /// Returns the cost that is served before a new request of `account`.
    ///
    /// Round robin serves at most as much of each other account as of `account` itself.
    fn cost_ahead(&self, account: &BudgetKey, cost: u64) -> u64 {
        let own = self.accounts.iter().find(|queue| queue.account == *account).map_or(0, AccountQueue::cost);
        let others = self.accounts.iter().filter(|queue| queue.account != *account);
        own + others.map(|queue| queue.cost().min(own + cost)).sum::<u64>()
    }

    /// Removes the newest request of the account with the longest queue.
    ///
    /// Returns `None` if the longest queue is at most one request longer than the queue of `account`.
    fn displace(&mut self, account: &BudgetKey) -> Option<AdmissionRequest> {
        let own = self.accounts.iter().find(|queue| queue.account == *account).map_or(0, |queue| queue.requests.len());
        let longest = self.accounts.iter_mut().max_by_key(|queue| queue.requests.len())?;
        if longest.requests.len() <= own + 1 {
            return None;
        }
        longest.requests.pop_back()
    }
}

/// Request that holds a slot.
#[derive(Clone, Copy, Debug)]
struct Running {
    cost: u64,
    since: Instant,
}

/// Decaying average of the time that one slot needs per unit of cost.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTime {
    seconds: f64,
    cost: f64,
}

impl ServiceTime {
    #[expect(clippy::cast_precision_loss, reason = "a service time needs no more than 52 bits")]
    fn add(&mut self, cost: u64, span: Duration) {
        self.seconds = self.seconds.mul_add(SERVICE_TIME_DECAY, span.as_secs_f64());
        self.cost = self.cost.mul_add(SERVICE_TIME_DECAY, cost as f64);
    }

    /// Estimates the time to serve `cost` with `slots`; zero before the first measurement.
    #[expect(clippy::cast_precision_loss, reason = "a service time needs no more than 52 bits")]
    fn estimate(&self, cost: u64, slots: usize) -> Duration {
        if self.cost <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = self.seconds / self.cost * cost as f64 / slots.max(1) as f64;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Running and waiting requests of one service.
#[derive(Debug)]
pub struct ServiceQueue {
    limit: usize,
    prompt: FairQueue,
    background: FairQueue,
    virtual_time: u64,
    running: BTreeMap<Ticket, Running>,
    service_time: ServiceTime,
}

impl ServiceQueue {
    /// Creates an empty queue, in which at most `limit` requests of each class wait.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            prompt: FairQueue::default(),
            background: FairQueue::default(),
            virtual_time: 0,
            running: BTreeMap::new(),
            service_time: ServiceTime::default(),
        }
    }

    /// Returns the number of requests that hold a slot.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.prompt.len() + self.background.len()
    }

    /// Returns an error when `request` could not meet its deadline, without changing the queue.
    pub fn check(&self, request: &AdmissionRequest, slots: usize, now: Instant) -> Result<(), Overload> {
        if self.has_slot(slots) {
            return Ok(());
        }
        let wait = self.estimate_wait(request, slots, now);
        let own = self.service_time.estimate(request.cost, 1);
        let left = request.deadline.since(now);
        let late = wait.saturating_add(own).saturating_sub(left).min(wait);
        match late {
            Duration::ZERO => Ok(()),
            retry_after => Err(Overload { retry_after }),
        }
    }

    /// Starts a request, queues it or refuses it.
    ///
    /// When the class is full, the newest request of the account with the longest queue is displaced by a request of an
    /// account with a shorter queue.
    pub fn admit(&mut self, request: AdmissionRequest, slots: usize, now: Instant) -> Admission {
        if self.has_slot(slots) {
            self.start(&request, now);
            return Admission::Started;
        }
        if let Err(overload) = self.check(&request, slots, now) {
            return Admission::Refused(overload);
        }
        let overload =
            Overload { retry_after: self.service_time.estimate(self.class_queue(request.class).cost(), slots) };
        let limit = self.limit;
        let virtual_time = self.virtual_time;
        let queue = self.class_queue_mut(request.class);
        let displaced = match queue.len() {
            length if length < limit => None,
            _ => match queue.displace(&request.account) {
                Some(removed) => Some(QueueOutcome::Refused(removed.ticket, overload)),
                None => return Admission::Refused(overload),
            },
        };
        if queue.accounts.is_empty() {
            queue.virtual_time = queue.virtual_time.max(virtual_time);
        }
        let latest_start = Instant(request.deadline.0.saturating_sub(self.service_time.estimate(request.cost, 1)));
        self.class_queue_mut(request.class).push(request);
        Admission::Queued { latest_start, displaced }
    }

    /// Gives free slots to waiting requests and refuses those that can no longer meet their deadline.
    ///
    /// The last waiting request starts even if it is expected to miss its deadline, unless the deadline has passed.
    pub fn fill_slots(&mut self, slots: usize, now: Instant) -> Vec<QueueOutcome> {
        let mut outcomes = Vec::new();
        while self.running.len() < slots.max(1) {
            let Some(request) = self.pop() else { break };
            let is_late = request.deadline <= now.after(self.service_time.estimate(request.cost, 1));
            if request.deadline <= now || is_late && self.waiting() > 0 {
                let retry_after = self.service_time.estimate(self.prompt.cost() + self.background.cost(), slots);
                outcomes.push(QueueOutcome::Refused(request.ticket, Overload { retry_after }));
                continue;
            }
            self.start(&request, now);
            outcomes.push(QueueOutcome::Started(request.ticket));
        }
        outcomes
    }

    /// Removes a request from its slot or from the queue; call [`fill_slots`](Self::fill_slots) afterwards.
    pub fn depart(&mut self, ticket: Ticket, departure: Departure, now: Instant) {
        match self.running.remove(&ticket) {
            Some(running) if departure == Departure::Completed => {
                self.service_time.add(running.cost, now.since(running.since));
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

    fn start(&mut self, request: &AdmissionRequest, now: Instant) {
        self.running.insert(request.ticket, Running { cost: request.cost, since: now });
    }

    /// Estimates the time until `request` would get a slot.
    fn estimate_wait(&self, request: &AdmissionRequest, slots: usize, now: Instant) -> Duration {
        let ahead = self.class_queue(request.class).cost_ahead(&request.account, request.cost);
        let (other, own_weight, other_weight) = match request.class {
            QueueClass::Prompt => (&self.background, PROMPT_WEIGHT, BACKGROUND_WEIGHT),
            QueueClass::Background => (&self.prompt, BACKGROUND_WEIGHT, PROMPT_WEIGHT),
        };
        let shared = (ahead + request.cost).saturating_mul(other_weight) / own_weight;
        let queued = self.service_time.estimate(ahead + other.cost().min(shared), slots);
        let remaining =
            |running: &Running| self.service_time.estimate(running.cost, 1).saturating_sub(now.since(running.since));
        let busy: Duration = self.running.values().map(remaining).sum();
        queued + busy / u32::try_from(slots.max(1)).unwrap_or(u32::MAX)
    }

    /// Removes the next request of the class with the lower virtual time.
    ///
    /// The virtual time of a class is the cost served so far, divided by the class weight.
    fn pop(&mut self) -> Option<AdmissionRequest> {
        let is_prompt = match (self.prompt.accounts.is_empty(), self.background.accounts.is_empty()) {
            (true, true) => return None,
            (false, true) => true,
            (true, false) => false,
            (false, false) => self.prompt.virtual_time <= self.background.virtual_time,
        };
        let (queue, weight) = match is_prompt {
            true => (&mut self.prompt, PROMPT_WEIGHT),
            false => (&mut self.background, BACKGROUND_WEIGHT),
        };
        let request = queue.pop()?;
        self.virtual_time = queue.virtual_time;
        queue.virtual_time += request.cost * (PROMPT_WEIGHT * BACKGROUND_WEIGHT) / weight;
        Some(request)
    }

    const fn class_queue(&self, class: QueueClass) -> &FairQueue {
        match class {
            QueueClass::Prompt => &self.prompt,
            QueueClass::Background => &self.background,
        }
    }

    const fn class_queue_mut(&mut self, class: QueueClass) -> &mut FairQueue {
        match class {
            QueueClass::Prompt => &mut self.prompt,
            QueueClass::Background => &mut self.background,
        }
    }
}
