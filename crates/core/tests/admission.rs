//! Fair queues per class and account, refusals by deadline, and goodput under overload.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootpick_core::admission::{Admission, AdmissionRequest, Departure, QueueOutcome, ServiceQueue};
use coltsfootpick_core::document::QueueClass;
use coltsfootpick_core::names::{BudgetKey, Stage};
use coltsfootpick_core::units::Instant;
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};

const SERVICE_MS: u64 = 100;
const COST: u64 = 64;

fn request(ticket: u64, account: &str, class: QueueClass, deadline_ms: u64) -> AdmissionRequest {
    let account = BudgetKey { environment: "e".into(), stage: Stage::Production, account: account.into() };
    AdmissionRequest { ticket, account, class, cost: COST, deadline: at(deadline_ms) }
}

const fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

/// Returns a queue whose only slot is occupied since 100 ms, with a measured service time of 100 ms.
fn busy_queue(limit: usize) -> ServiceQueue {
    let mut queue = ServiceQueue::new(limit);
    assert_eq!(queue.admit(request(1, "first", QueueClass::Prompt, 60_000), 1, at(0)), Admission::Started);
    queue.depart(1, Departure::Completed, at(SERVICE_MS));
    assert_eq!(queue.admit(request(2, "first", QueueClass::Prompt, 60_000), 1, at(100)), Admission::Started);
    queue
}

/// Serves all waiting requests and returns their tickets in the order of their start.
fn serve_all(queue: &mut ServiceQueue, mut running: u64, mut now: u64) -> Vec<u64> {
    let mut order = Vec::new();
    loop {
        now += SERVICE_MS;
        queue.depart(running, Departure::Completed, at(now));
        match queue.fill_slots(1, at(now)).as_slice() {
            [QueueOutcome::Started(ticket)] => running = *ticket,
            [] => return order,
            other => panic!("{other:?}"),
        }
        order.push(running);
    }
}

#[test]
fn small_accounts() {
    let mut queue = busy_queue(256);
    for ticket in 100..200 {
        let admission = queue.admit(request(ticket, "large", QueueClass::Prompt, 600_000), 1, at(100));
        assert!(matches!(admission, Admission::Queued { .. }), "{admission:?}");
    }
    for small in 0..10 {
        let admission =
            queue.admit(request(10 + small, &format!("small-{small}"), QueueClass::Prompt, 2_000), 1, at(100));
        assert!(
            matches!(admission, Admission::Queued { .. }),
            "the large account must not delay a small one: {admission:?}"
        );
    }
    let order = serve_all(&mut queue, 2, 100);
    let last_small = order.iter().rposition(|ticket| *ticket < 100).unwrap();
    assert!(last_small <= 11, "the last small account starts at position {last_small}");
    assert_eq!(order.len(), 110);
}

#[test]
fn full_queue() {
    let mut queue = busy_queue(20);
    for ticket in 100..120 {
        queue.admit(request(ticket, "large", QueueClass::Prompt, 600_000), 1, at(100));
    }
    let refused = queue.admit(request(120, "large", QueueClass::Prompt, 600_000), 1, at(100));
    assert!(matches!(refused, Admission::Refused(overload) if overload.retry_after > Duration::ZERO), "{refused:?}");
    let admission = queue.admit(request(10, "small", QueueClass::Prompt, 600_000), 1, at(100));
    let Admission::Queued { displaced: Some(QueueOutcome::Refused(119, _)), .. } = admission else {
        panic!("the longest queue must lose its newest request: {admission:?}");
    };
    assert_eq!(queue.waiting(), 20);
}

#[test]
fn missed_deadline() {
    let mut queue = busy_queue(256);
    for ticket in 10..20 {
        queue.admit(request(ticket, "one", QueueClass::Prompt, 600_000), 1, at(100));
    }
    // 100 ms for the running request, 1,000 ms for the waiting ones and 100 ms for itself are 1,200 ms; 500 ms are left.
    let Admission::Refused(overload) = queue.admit(request(30, "one", QueueClass::Prompt, 600), 1, at(100)) else {
        panic!("a request that cannot meet its deadline must be refused");
    };
    assert_eq!(overload.retry_after, Duration::from_millis(700));
    let later = queue.check(&request(31, "one", QueueClass::Prompt, 1_300), 1, at(100));
    assert_eq!(later, Ok(()), "a request that can meet its deadline is not refused");
}

#[test]
fn retry_after_admitted() {
    let mut queue = busy_queue(256);
    for ticket in 10..20 {
        queue.admit(request(ticket, "one", QueueClass::Prompt, 600_000), 1, at(100));
    }
    let Admission::Refused(overload) = queue.admit(request(30, "one", QueueClass::Prompt, 600), 1, at(100)) else {
        panic!("a request that cannot meet its deadline must be refused");
    };
    let mut running = 2;
    let retry_at = 100 + u64::try_from(overload.retry_after.as_millis()).unwrap();
    for now in (200..=retry_at).step_by(100) {
        queue.depart(running, Departure::Completed, at(now));
        if let [QueueOutcome::Started(ticket)] = queue.fill_slots(1, at(now)).as_slice() {
            running = *ticket;
        }
    }
    let again = queue.admit(request(31, "one", QueueClass::Prompt, retry_at + 500), 1, at(retry_at));
    assert!(matches!(again, Admission::Queued { .. }), "{again:?}");
}

#[test]
fn background_share() {
    let mut queue = busy_queue(256);
    for ticket in 10..74 {
        queue.admit(request(ticket, "prompt", QueueClass::Prompt, 600_000), 1, at(100));
    }
    for ticket in 100..108 {
        queue.admit(request(ticket, "background", QueueClass::Background, 600_000), 1, at(100));
    }
    let order = serve_all(&mut queue, 2, 100);
    let background = order[..45].iter().filter(|ticket| **ticket >= 100).count();
    assert_eq!(background, 5, "one request in nine is of the background class");
}

#[test]
fn abandoned_request() {
    let mut queue = busy_queue(256);
    queue.admit(request(10, "one", QueueClass::Prompt, 600_000), 1, at(100));
    queue.depart(10, Departure::Aborted, at(110));
    assert_eq!(queue.waiting(), 0);
    queue.admit(request(11, "one", QueueClass::Prompt, 400), 1, at(110));
    queue.depart(2, Departure::Completed, at(500));
    assert!(
        matches!(queue.fill_slots(1, at(500)).as_slice(), [QueueOutcome::Refused(11, _)]),
        "its deadline has passed"
    );
    assert_eq!(queue.running(), 0);
}

const SLOTS: usize = 4;
const TOTAL_MS: u64 = 60_000;

/// Returns the number of answers within the deadline, for a request every `gap_ms` and four slots.
///
/// A request takes 100 ms on average.
fn goodput(gap_ms: u64) -> u64 {
    let mut random = ChaCha12Rng::seed_from_u64(5);
    let mut queue = ServiceQueue::new(256);
    let mut ends: BTreeMap<u64, u64> = BTreeMap::new();
    let mut timely = 0;
    for now in 1..TOTAL_MS {
        let done: Vec<u64> = ends.iter().filter(|(_, end)| **end == now).map(|(ticket, _)| *ticket).collect();
        for ticket in done {
            ends.remove(&ticket);
            timely += u64::from(now <= ticket + 1_000);
            queue.depart(ticket, Departure::Completed, at(now));
        }
        let mut started: Vec<u64> = Vec::new();
        if now % gap_ms == 0 {
            let account = format!("account-{}", random.next_u64() % 10);
            let admission = queue.admit(request(now, &account, QueueClass::Prompt, now + 1_000), SLOTS, at(now));
            started.extend((admission == Admission::Started).then_some(now));
        }
        for outcome in queue.fill_slots(SLOTS, at(now)) {
            started.extend(if let QueueOutcome::Started(ticket) = outcome { Some(ticket) } else { None });
        }
        for ticket in started {
            ends.insert(ticket, now + 50 + random.next_u64() % 101);
        }
    }
    timely
}

#[test]
fn overload_goodput() {
    let capacity = goodput(25);
    let overload = goodput(16);
    println!("goodput of 2400: {capacity} at capacity, {overload} at 1.56 times capacity");
    assert!(overload * 100 >= capacity * 95, "{overload} against {capacity}");
}
