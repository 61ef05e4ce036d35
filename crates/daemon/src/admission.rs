//! Admission control: per-service slots and queues in front of the backend servers; see `docs/ADMISSION.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::admission::{Admission, AdmissionRequest, Departure, Overload, QueueOutcome, ServiceQueue};
use coltsfootpick_core::document::QueueClass;
use coltsfootpick_core::names::{BudgetKey, ServiceName};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::shard_credit::Ticket;
use coltsfootpick_core::units;
use parking_lot::{Mutex, RwLock};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;

/// Minimum `Retry-After` of a refused request.
const RETRY_MIN: Duration = Duration::from_secs(1);

/// Admission queues, one per service.
#[derive(Debug, Default)]
pub struct AdmissionQueues {
    queues: RwLock<BTreeMap<ServiceName, Arc<ServiceSlots>>>,
}

#[derive(Debug)]
struct ServiceSlots {
    service: ServiceName,
    state: Mutex<SlotState>,
}

#[derive(Debug)]
struct SlotState {
    queue: ServiceQueue,
    waiting: BTreeMap<Ticket, oneshot::Sender<Result<(), Overload>>>,
}

impl AdmissionQueues {
    fn get_or_create(&self, instance: &Instance, service: &ServiceName) -> Arc<ServiceSlots> {
        let existing = self.queues.read().get(service).map(Arc::clone);
        existing.unwrap_or_else(|| {
            let mut queues = self.queues.write();
            Arc::clone(queues.entry(service.clone()).or_insert_with(|| Arc::new(ServiceSlots::new(instance, service))))
        })
    }

    /// Recomputes the slots of all services after a change of the backend servers, and starts waiting requests.
    pub fn refresh(&self, instance: &Instance) {
        let queues: Vec<_> = self.queues.read().values().map(Arc::clone).collect();
        for service in queues {
            service.advance(instance);
        }
    }

    /// Returns the number of requests of `service` that wait and the number that hold a slot.
    pub fn counts(&self, service: &ServiceName) -> (usize, usize) {
        let existing = self.queues.read().get(service).map(Arc::clone);
        existing.map_or((0, 0), |service| {
            let state = service.state.lock();
            (state.queue.waiting(), state.queue.running())
        })
    }
}

impl ServiceSlots {
    fn new(instance: &Instance, service: &ServiceName) -> Self {
        let queue = ServiceQueue::new(instance.settings.queue_requests);
        let state = SlotState { queue, waiting: BTreeMap::new() };
        Self { service: service.clone(), state: Mutex::new(state) }
    }

    /// Starts the waiting requests that have a free slot, and refuses those that can no longer meet their deadline.
    fn advance(&self, instance: &Instance) {
        let slots = slot_count(instance, &self.service);
        let mut state = self.state.lock();
        let outcomes = state.queue.fill_slots(slots, instance.deps.clock.now());
        for outcome in outcomes {
            state.notify(outcome);
        }
    }
}

impl SlotState {
    /// Sends the outcome to the waiting request. A request that has just stopped waiting does not receive it; dropping
    /// its permit frees its slot.
    fn notify(&mut self, outcome: QueueOutcome) {
        let (ticket, result) = match outcome {
            QueueOutcome::Started(ticket) => (ticket, Ok(())),
            QueueOutcome::Refused(ticket, overload) => (ticket, Err(overload)),
        };
        if let Some(sender) = self.waiting.remove(&ticket) {
            let _ = sender.send(result);
        }
    }
}

/// Returns how many requests this instance may have in flight on the backend servers of `service`, at least 1.
fn slot_count(instance: &Instance, service: &ServiceName) -> usize {
    let now = instance.deps.clock.now();
    let per_server = instance.settings.server_requests;
    let backends = instance.board.backends.read();
    let available = backends.of(service).iter().filter(|server| !server.leaving && server.ejected_until <= now);
    available.map(|server| per_server.saturating_sub(server.other_load as usize)).sum::<usize>().max(1)
}

/// Admission parameters of a request.
#[derive(Clone, Debug)]
pub struct AdmissionParams {
    /// Requested service.
    pub service: ServiceName,
    /// Client account that the request counts against.
    pub account: BudgetKey,
    /// Priority class of the request, which selects its queue.
    pub class: QueueClass,
    /// Estimated cost; decoding steps for a chat request.
    pub cost: u64,
    /// Deadline for the answer.
    pub deadline: Instant,
}

impl AdmissionParams {
    fn request(&self, instance: &Instance) -> AdmissionRequest {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let deadline = instance.deps.clock.now().after(remaining);
        let (account, class, cost) = (self.account.clone(), self.class, self.cost);
        AdmissionRequest { ticket: instance.next_ticket(), account, class, cost, deadline }
    }

    /// Refuses a request that would not be admitted now, before credit is reserved for it.
    pub fn check(&self, instance: &Instance) -> Result<(), Refusal> {
        let service = instance.queues.get_or_create(instance, &self.service);
        let request = self.request(instance);
        let slots = slot_count(instance, &self.service);
        let checked = service.state.lock().queue.check(&request, slots, now(instance));
        checked.map_err(|overload| refusal(&overload))
    }

    /// Waits for a slot; refuses immediately if none will be free in time.
    pub async fn admit(&self, instance: &Arc<Instance>) -> Result<AdmissionPermit, Refusal> {
        let service = instance.queues.get_or_create(instance, &self.service);
        let request = self.request(instance);
        let slots = slot_count(instance, &self.service);
        let (sender, receiver) = oneshot::channel();
        let ticket = request.ticket;
        let admission = {
            let mut state = service.state.lock();
            let admission = state.queue.admit(request, slots, now(instance));
            if let Admission::Queued { displaced, .. } = admission {
                state.waiting.insert(ticket, sender);
                if let Some(outcome) = displaced {
                    state.notify(outcome);
                }
            }
            admission
        };
        let latest = match admission {
            Admission::Refused(overload) => return Err(refusal(&overload)),
            Admission::Started => None,
            Admission::Queued { latest_start, .. } => Some(latest_start),
        };
        let permit = AdmissionPermit { instance: Arc::clone(instance), service, ticket, departure: Departure::Aborted };
        let Some(latest) = latest else { return Ok(permit) };
        event!(Event::Queued, "service={} account={} class={}", self.service, self.account, self.class);
        let max_wait = latest.since(now(instance));
        match tokio::time::timeout(max_wait, receiver).await {
            Ok(Ok(Ok(()))) => Ok(permit),
            Ok(Ok(Err(overload))) => Err(refusal(&overload)),
            Ok(Err(_)) | Err(_) => Err(refusal(&Overload { retry_after: RETRY_MIN })),
        }
    }
}

fn now(instance: &Instance) -> units::Instant {
    instance.deps.clock.now()
}

fn refusal(overload: &Overload) -> Refusal {
    let refusal = Refusal::not_run(Code::Overloaded, "the queue cannot serve the request within its deadline");
    refusal.retry_after(overload.retry_after.max(RETRY_MIN))
}

/// Slot or queue position of one request; dropping it frees the slot or position for the next request.
#[derive(Debug)]
pub struct AdmissionPermit {
    instance: Arc<Instance>,
    service: Arc<ServiceSlots>,
    ticket: Ticket,
    departure: Departure,
}

impl AdmissionPermit {
    /// Marks the request as completed, so that its duration counts as a service time sample.
    pub const fn mark_complete(&mut self) {
        self.departure = Departure::Completed;
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let now = self.instance.deps.clock.now();
        let mut state = self.service.state.lock();
        state.waiting.remove(&self.ticket);
        state.queue.depart(self.ticket, self.departure, now);
        drop(state);
        self.service.advance(&self.instance);
    }
}
