//! Admission queues in front of the engines, from the callers' side.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use coltsfootpick_testkit::caller::Caller;
use common::{Fleet, eventually};
use http::Method;
use serde_json::json;

/// Fleet of one instance with one engine, which runs at most two requests at a time.
async fn limited_fleet() -> Fleet {
    let limit = |text: String| text.replace("server-requests = 64", "server-requests = 2");
    let fleet = Fleet::with_settings(1, 1, limit).await;
    fleet.top_up("registry", 1_000_000).await;
    fleet.top_up("clinic", 1_000_000).await;
    slow(&fleet, 40);
    fleet
}

/// Delays every decoding step of the engine by `ms`, so that queues build up on a fast machine too.
fn slow(fleet: &Fleet, ms: u64) {
    fleet.engines[0].0.set_faults(|faults| faults.slow_ms = ms);
}

fn body(tokens: u64) -> String {
    json!({ "model": "plan-review", "messages": [{ "role": "user", "content": "x" }], "max_tokens": tokens })
        .to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn small_account_first() {
    const LARGE: usize = 40;
    let fleet = limited_fleet().await;
    let address = fleet.instances[0].caller_address;
    let answered = Arc::new(AtomicUsize::new(0));
    let large: Vec<_> = (0..LARGE)
        .map(|_| {
            let answered = Arc::clone(&answered);
            tokio::spawn(async move {
                let answer = common::registry().chat(address, "plan-review", "x", 20, false).await.unwrap();
                answered.fetch_add(1, Ordering::SeqCst);
                answer.status
            })
        })
        .collect();
    let queues = &fleet.instances[0].instance.queues;
    eventually("the large account's requests wait", || queues.counts(&"plan-review".into()) == (LARGE - 2, 2)).await;
    slow(&fleet, 0);
    let small = Caller::new("tahrir:clinic:small-key").chat(address, "plan-review", "x", 20, false).await.unwrap();
    assert_eq!(small.status, 200, "{:?}", small.json());
    let before = answered.load(Ordering::SeqCst);
    assert!(before <= LARGE / 4, "{before} requests of the large account were answered first");
    for call in large {
        assert_eq!(call.await.unwrap(), 200);
    }
    eventually("all slots and queues are empty", || queues.counts(&"plan-review".into()) == (0, 0)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unmeetable_deadline() {
    let fleet = limited_fleet().await;
    let address = fleet.instances[0].caller_address;
    assert_eq!(fleet.chat(0, "x", 20, false).await.status, 200);
    let busy: Vec<_> = (0..20)
        .map(|_| tokio::spawn(async move { common::registry().chat(address, "plan-review", "x", 20, false).await }))
        .collect();
    let queues = &fleet.instances[0].instance.queues;
    eventually("the queue is long", || queues.counts(&"plan-review".into()) == (18, 2)).await;
    let headers = [("x-deadline-ms", "500")];
    let start = tokio::time::Instant::now();
    let late =
        common::registry().send(address, Method::POST, "/v1/chat/completions", &headers, body(20)).await.unwrap();
    assert!(start.elapsed() < Duration::from_millis(500), "refused after {:?}", start.elapsed());
    assert_eq!(
        (late.status.as_u16(), late.code(), late.run_status()),
        (429, "overloaded".to_owned(), "not-run".to_owned())
    );
    assert!(late.retry_after >= Some(1));
    slow(&fleet, 0);
    for call in busy {
        assert_eq!(call.await.unwrap().unwrap().status, 200);
    }
    assert_eq!(fleet.engines[0].0.request_usage().len(), 21, "the refused request ran");
}

/// Waiting calls are aborted while the running ones hold their slots, so that none of them can take a freed slot in
/// between; then the running ones are aborted as well.
#[tokio::test(flavor = "multi_thread")]
async fn aborted_calls_leave() {
    let fleet = limited_fleet().await;
    let address = fleet.instances[0].caller_address;
    let start = |count: usize| -> Vec<_> {
        let call = || async move { common::registry().chat(address, "plan-review", "x", 400, false).await };
        (0..count).map(|_| tokio::spawn(call())).collect()
    };
    let queues = &fleet.instances[0].instance.queues;
    let counts = || queues.counts(&"plan-review".into());
    let running = start(2);
    eventually("two requests run", || counts() == (0, 2)).await;
    eventually("both are at the engine", || fleet.engines[0].0.request_usage().len() == 2).await;
    let waiting = start(4);
    eventually("four requests wait", || counts() == (4, 2)).await;
    waiting.iter().for_each(tokio::task::JoinHandle::abort);
    eventually("the queue is empty", || counts() == (0, 2)).await;
    running.iter().for_each(tokio::task::JoinHandle::abort);
    eventually("all slots are empty", || counts() == (0, 0)).await;
    assert_eq!(fleet.engines[0].0.request_usage().len(), 2, "an aborted call ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_apply_retried() {
    let limit = |text: String| text.replace("server-requests = 64", "server-requests = 1");
    let fleet = Fleet::with_settings(1, 1, limit).await;
    fleet.top_up("registry", 1_000).await;
    fleet.plain.set_faults(|faults| faults.delay_ms = 1_500);
    let address = fleet.instances[0].caller_address;
    let first = tokio::spawn(async move { common::registry().apply(address, "migration", "first").await });
    let queues = &fleet.instances[0].instance.queues;
    eventually("the first call runs", || queues.counts(&"migration".into()) == (0, 1)).await;
    let headers = [("idempotency-key", "second"), ("x-deadline-ms", "700")];
    let path = "/v1/services/migration/apply";
    let second = common::registry().send(address, Method::POST, path, &headers, "{}").await.unwrap();
    assert_eq!((second.code(), second.run_status()), ("overloaded".to_owned(), "not-run".to_owned()));
    assert_eq!(first.await.unwrap().unwrap().status, 200);
    fleet.plain.set_faults(|faults| faults.delay_ms = 0);
    let deadline = tokio::time::Instant::now() + common::CONDITION_TIMEOUT;
    while fleet.apply(0, "second").await.status != 200 {
        assert!(tokio::time::Instant::now() < deadline, "the refused call is not accepted again");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(fleet.plain.run_count("second"), 1);
}
