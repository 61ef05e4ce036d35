//! Slots and queues in front of the backend servers; see `docs/ADMISSION.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::admission::{Arrival, Ask, Departure, Overload, ServiceQueue, Verdict};
use coltsfootpick_core::document::Priority;
use coltsfootpick_core::names::{BudgetKey, ServiceName};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::units;
use coltsfootpick_core::wallet::Ticket;
use parking_lot::{Mutex, RwLock};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;

/// Shortest time after which a refused caller may come back.
const RETRY_MIN: Duration = Duration::from_secs(1);

/// Queues of all services.
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
    fn of(&self, instance: &Instance, service: &ServiceName) -> Arc<ServiceSlots> {
        let known = self.queues.read().get(service).map(Arc::clone);
        known.unwrap_or_else(|| {
            let mut queues = self.queues.write();
            Arc::clone(queues.entry(service.clone()).or_insert_with(|| Arc::new(ServiceSlots::new(instance, service))))
        })
    }

    /// Starts waiting requests after the backend servers changed.
    pub fn refresh(&self, instance: &Instance) {
        let queues: Vec<_> = self.queues.read().values().map(Arc::clone).collect();
        for service in queues {
            service.advance(instance);
        }
    }

    /// Requests of `service` that wait, and those that hold a slot.
    pub fn counts(&self, service: &ServiceName) -> (usize, usize) {
        let known = self.queues.read().get(service).map(Arc::clone);
        known.map_or((0, 0), |service| {
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

    fn advance(&self, instance: &Instance) {
        let slots = slots(instance, &self.service);
        let mut state = self.state.lock();
        let verdicts = state.queue.advance(slots, instance.deps.clock.now());
        for verdict in verdicts {
            state.tell(verdict);
        }
    }
}

impl SlotState {
    /// Wakes the request that a verdict is about; one that just left frees its place by itself.
    fn tell(&mut self, verdict: Verdict) {
        let (ticket, answer) = match verdict {
            Verdict::Started(ticket) => (ticket, Ok(())),
            Verdict::Refused(ticket, overload) => (ticket, Err(overload)),
        };
        if let Some(sender) = self.waiting.remove(&ticket) {
            let _ = sender.send(answer);
        }
    }
}

/// Requests that this instance may have under way on the backend servers of `service`.
fn slots(instance: &Instance, service: &ServiceName) -> usize {
    let now = instance.deps.clock.now();
    let each = instance.settings.server_requests;
    let backends = instance.board.backends.read();
    let takers = backends.of(service).iter().filter(|server| !server.leaving && server.avoid <= now);
    takers.map(|server| each.saturating_sub(server.foreign as usize)).sum::<usize>().max(1)
}

/// What a request asks admission for.
#[derive(Clone, Debug)]
pub struct Entrance {
    /// Service asked for.
    pub service: ServiceName,
    /// Account that it counts for.
    pub account: BudgetKey,
    /// Class that it waits in.
    pub class: Priority,
    /// Expected work.
    pub cost: u64,
    /// Moment by which the answer must be there.
    pub until: Instant,
}

impl Entrance {
    fn ask(&self, instance: &Instance) -> Ask {
        let left = self.until.saturating_duration_since(Instant::now());
        let deadline = instance.deps.clock.now().after(left);
        let (account, class, cost) = (self.account.clone(), self.class, self.cost);
        Ask { ticket: instance.next_ticket(), account, class, cost, deadline }
    }

    /// Refuses a request that admission would refuse now, before anything is reserved for it.
    pub fn check(&self, instance: &Instance) -> Result<(), Refusal> {
        let service = instance.queues.of(instance, &self.service);
        let ask = self.ask(instance);
        let slots = slots(instance, &self.service);
        let checked = service.state.lock().queue.check(&ask, slots, now(instance));
        checked.map_err(|overload| refusal(&overload))
    }

    /// Waits for a slot, or tells at once that there will be none in time.
    pub async fn enter(&self, instance: &Arc<Instance>) -> Result<Admitted, Refusal> {
        let service = instance.queues.of(instance, &self.service);
        let ask = self.ask(instance);
        let slots = slots(instance, &self.service);
        let (sender, receiver) = oneshot::channel();
        let ticket = ask.ticket;
        let arrival = {
            let mut state = service.state.lock();
            let arrival = state.queue.arrive(ask, slots, now(instance));
            if let Arrival::Queued { displaced, .. } = arrival {
                state.waiting.insert(ticket, sender);
                if let Some(verdict) = displaced {
                    state.tell(verdict);
                }
            }
            arrival
        };
        let latest = match arrival {
            Arrival::Refused(overload) => return Err(refusal(&overload)),
            Arrival::Started => None,
            Arrival::Queued { latest, .. } => Some(latest),
        };
        let admitted = Admitted { instance: Arc::clone(instance), service, ticket, departure: Departure::CutShort };
        let Some(latest) = latest else { return Ok(admitted) };
        event!(Event::Queued, "service={} account={} class={}", self.service, self.account, self.class);
        let patience = latest.since(now(instance));
        match tokio::time::timeout(patience, receiver).await {
            Ok(Ok(Ok(()))) => Ok(admitted),
            Ok(Ok(Err(overload))) => Err(refusal(&overload)),
            Ok(Err(_)) | Err(_) => Err(refusal(&Overload { retry: RETRY_MIN })),
        }
    }
}

fn now(instance: &Instance) -> units::Instant {
    instance.deps.clock.now()
}

fn refusal(overload: &Overload) -> Refusal {
    let refusal = Refusal::not_run(Code::Overloaded, "the queue cannot serve the request within its deadline");
    refusal.retry_after(overload.retry.max(RETRY_MIN))
}

/// Slot, or place in the queue, of one request; dropping it lets the next one in.
#[derive(Debug)]
pub struct Admitted {
    instance: Arc<Instance>,
    service: Arc<ServiceSlots>,
    ticket: Ticket,
    departure: Departure,
}

impl Admitted {
    /// Notes that the request ran to its end, so that its time counts as a measurement.
    pub const fn mark_whole(&mut self) {
        self.departure = Departure::Whole;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let now = self.instance.deps.clock.now();
        let mut state = self.service.state.lock();
        state.waiting.remove(&self.ticket);
        state.queue.depart(self.ticket, self.departure, now);
        drop(state);
        self.service.advance(&self.instance);
    }
}
