//! Admission to one service: bounded queues, shares by class and account, refusals by deadline.
//!
//! A request starts when a slot is free, waits when it can still make its deadline, and is refused at
//! once otherwise. See `docs/ADMISSION.md`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::document::Priority;
use crate::names::BudgetKey;
use crate::units::Instant;
use crate::wallet::Ticket;

/// Cost that each waiting account may spend in one round of deficit round robin.
pub const QUANTUM_COST: u64 = 64;

/// Weight of the prompt class against [`BACKGROUND_WEIGHT`] when both wait.
pub const PROMPT_WEIGHT: u64 = 8;

/// Weight of the background class, above zero so that it finishes.
pub const BACKGROUND_WEIGHT: u64 = 1;

/// Part of the measured service_time that one more measurement leaves in place.
const SERVICE_TIME_DECAY: f64 = 0.95;

/// Request that requests to be let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
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
    pub retry_after: Duration,
}

/// Answer to an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot.
    Started,
    /// The request waits.
    Queued {
        /// Moment after which starting it would be too late.
        latest: Instant,
        /// Waiting request that lost its place.
        displaced: Option<QueueOutcome>,
    },
    /// The request is not let in.
    Refused(Overload),
}

/// What became of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOutcome {
    /// It holds a slot now.
    Started(Ticket),
    /// It lost its place.
    Refused(Ticket, Overload),
}

/// How a request left its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// Its time tells how fast the service is.
    Completed,
    /// Its time tells nothing.
    Aborted,
}

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

    /// Rounds until the first request is covered by the deficit.
    fn rounds(&self) -> u64 {
        let cost = self.requests.front().map_or(0, |request| request.cost);
        cost.saturating_sub(self.deficit).div_ceil(QUANTUM_COST)
    }
}

/// Waiting requests of one class, in deficit round robin over accounts.
#[derive(Debug, Default)]
struct ClassQueue {
    accounts: VecDeque<AccountQueue>,
    virtual_time: u64,
}

impl ClassQueue {
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

    /// Cost that is served before a new request of `account`: each other account gets as much as it.
    fn ahead(&self, account: &BudgetKey, cost: u64) -> u64 {
        let own = self.accounts.iter().find(|queue| queue.account == *account).map_or(0, AccountQueue::cost);
        let others = self.accounts.iter().filter(|queue| queue.account != *account);
        own + others.map(|queue| queue.cost().min(own + cost)).sum::<u64>()
    }

    /// Takes the newest request of the account that waits with most, unless `account` itself is that one.
    fn displace(&mut self, account: &BudgetKey) -> Option<AdmissionRequest> {
        let own = self.accounts.iter().find(|queue| queue.account == *account).map_or(0, |queue| queue.requests.len());
        let longest = self.accounts.iter_mut().max_by_key(|queue| queue.requests.len())?;
        if longest.requests.len() <= own + 1 {
            return None;
        }
        longest.requests.pop_back()
    }
}

#[derive(Clone, Copy, Debug)]
struct Running {
    cost: u64,
    since: Instant,
}

/// Measured time for one unit of cost in one slot.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTime {
    seconds: f64,
    cost: f64,
}

impl ServiceTime {
    #[expect(clippy::cast_precision_loss, reason = "a service_time needs no more than 52 bits")]
    fn add(&mut self, cost: u64, span: Duration) {
        self.seconds = self.seconds.mul_add(SERVICE_TIME_DECAY, span.as_secs_f64());
        self.cost = self.cost.mul_add(SERVICE_TIME_DECAY, cost as f64);
    }

    /// Time that `cost` takes on `slots`; zero as long as nothing was measured.
    #[expect(clippy::cast_precision_loss, reason = "a service_time needs no more than 52 bits")]
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
    virtual_time: u64,
    running: BTreeMap<Ticket, Running>,
    service_time: ServiceTime,
}

impl ServiceQueue {
    /// Starts empty; at most `limit` requests wait in each class.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            prompt: ClassQueue::default(),
            background: ClassQueue::default(),
            virtual_time: 0,
            running: BTreeMap::new(),
            service_time: ServiceTime::default(),
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

    /// Tells without a change whether `request` would be let in.
    pub fn check(&self, request: &AdmissionRequest, slots: usize, now: Instant) -> Result<(), Overload> {
        if self.has_slot(slots) {
            return Ok(());
        }
        let wait = self.wait(request, slots, now);
        let own = self.service_time.time(request.cost, 1);
        let left = request.deadline.since(now);
        let late = wait.saturating_add(own).saturating_sub(left).min(wait);
        match late {
            Duration::ZERO => Ok(()),
            retry_after => Err(Overload { retry_after }),
        }
    }

    /// Lets a request in, queues it or refuses it.
    pub fn admit(&mut self, request: AdmissionRequest, slots: usize, now: Instant) -> Admission {
        if self.has_slot(slots) {
            self.start(&request, now);
            return Admission::Started;
        }
        if let Err(overload) = self.check(&request, slots, now) {
            return Admission::Refused(overload);
        }
        let overload = Overload { retry_after: self.service_time.time(self.class(request.class).cost(), slots) };
        let limit = self.limit;
        let virtual_time = self.virtual_time;
        let class = self.class_mut(request.class);
        let displaced = match class.len() {
            length if length < limit => None,
            _ => match class.displace(&request.account) {
                Some(loser) => Some(QueueOutcome::Refused(loser.ticket, overload)),
                None => return Admission::Refused(overload),
            },
        };
        if class.accounts.is_empty() {
            class.virtual_time = class.virtual_time.max(virtual_time);
        }
        let latest = Instant(request.deadline.0.saturating_sub(self.service_time.time(request.cost, 1)));
        self.class_mut(request.class).push(request);
        Admission::Queued { latest, displaced }
    }

    /// Gives free slots to waiting requests and drops those that have become too late.
    pub fn advance(&mut self, slots: usize, now: Instant) -> Vec<QueueOutcome> {
        let mut outcomes = Vec::new();
        while self.running.len() < slots.max(1) {
            let Some(request) = self.pop() else { break };
            let is_late = request.deadline <= now.after(self.service_time.time(request.cost, 1));
            if request.deadline <= now || is_late && self.waiting() > 0 {
                let retry_after = self.service_time.time(self.prompt.cost() + self.background.cost(), slots);
                outcomes.push(QueueOutcome::Refused(request.ticket, Overload { retry_after }));
                continue;
            }
            self.start(&request, now);
            outcomes.push(QueueOutcome::Started(request.ticket));
        }
        outcomes
    }

    /// Takes a request off its slot or out of the queue; other requests may then [`advance`](Self::advance).
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

    fn wait(&self, request: &AdmissionRequest, slots: usize, now: Instant) -> Duration {
        let ahead = self.class(request.class).ahead(&request.account, request.cost);
        let (other, own_weight, other_weight) = match request.class {
            Priority::Prompt => (&self.background, PROMPT_WEIGHT, BACKGROUND_WEIGHT),
            Priority::Background => (&self.prompt, BACKGROUND_WEIGHT, PROMPT_WEIGHT),
        };
        let shared = (ahead + request.cost).saturating_mul(other_weight) / own_weight;
        let queued = self.service_time.time(ahead + other.cost().min(shared), slots);
        let left = |running: &Running| self.service_time.time(running.cost, 1).saturating_sub(now.since(running.since));
        let rest: Duration = self.running.values().map(left).sum();
        queued + rest / u32::try_from(slots.max(1)).unwrap_or(u32::MAX)
    }

    fn pop(&mut self) -> Option<AdmissionRequest> {
        let is_prompt = match (self.prompt.accounts.is_empty(), self.background.accounts.is_empty()) {
            (true, true) => return None,
            (false, true) => true,
            (true, false) => false,
            (false, false) => self.prompt.virtual_time <= self.background.virtual_time,
        };
        let (class, weight) = match is_prompt {
            true => (&mut self.prompt, PROMPT_WEIGHT),
            false => (&mut self.background, BACKGROUND_WEIGHT),
        };
        let request = class.pop()?;
        self.virtual_time = class.virtual_time;
        class.virtual_time += request.cost * (PROMPT_WEIGHT * BACKGROUND_WEIGHT) / weight;
        Some(request)
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
