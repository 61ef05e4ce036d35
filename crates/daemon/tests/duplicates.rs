//! Duplicates of an at-most-once call while the first call is in progress.

mod common;

use std::time::Duration;

use common::{Fleet, eventually, registry};
use http::Method;

const PATH: &str = "/v1/services/migration/apply";

#[tokio::test(flavor = "multi_thread")]
async fn shared_result() {
    let fleet = Fleet::start(1, 1).await;
    fleet.top_up("registry", 1_000).await;
    fleet.plain.set_faults(|faults| faults.delay_ms = 500);
    let address = fleet.instances[0].caller_address;
    let calls: Vec<_> = (0..3)
        .map(|_| tokio::spawn(async move { registry().apply(address, "migration", "ticket").await.unwrap() }))
        .collect();
    let mut bodies = Vec::new();
    for call in calls {
        let answer = call.await.unwrap();
        assert_eq!(answer.status, 200, "{:?}", answer.json());
        bodies.push(answer.body);
    }
    assert!(bodies.iter().all(|body| *body == bodies[0]));
    assert_eq!(fleet.plain.run_count("ticket"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicate_deadline() {
    let fleet = Fleet::start(1, 1).await;
    fleet.top_up("registry", 1_000).await;
    fleet.plain.set_faults(|faults| faults.delay_ms = 1_500);
    let address = fleet.instances[0].caller_address;
    let first = tokio::spawn(async move { registry().apply(address, "migration", "ticket").await.unwrap() });
    eventually("the call runs", || fleet.plain.run_count("ticket") == 1).await;
    let headers = [("idempotency-key", "ticket"), ("x-deadline-ms", "100")];
    let start = tokio::time::Instant::now();
    let duplicate = registry().send(address, Method::POST, PATH, &headers, "{}").await.unwrap();
    assert_eq!((duplicate.code(), duplicate.run_status()), ("in-progress".to_owned(), "may-have-run".to_owned()));
    assert!(start.elapsed() < Duration::from_secs(1));
    let other = registry().send(address, Method::POST, PATH, &headers, "{ }").await.unwrap();
    assert_eq!(other.code(), "key-reused");
    assert_eq!(first.await.unwrap().status, 200);
}
