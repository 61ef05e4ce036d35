//! Soon after one instance sees that a backend server is leaving, no instance dispatches to it any more.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, eventually};

/// Longest time from the first instance that sees the mark until all instances know it.
const PROPAGATION_MAX: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn mark_propagates() {
    let fleet = Fleet::start(3, 2).await;
    fleet.wait_for_links().await;
    fleet.top_up("registry", 100_000).await;
    // The instance list keeps the server as live, as a list that is never updated would.
    fleet.engines[0].0.set_faults(|faults| faults.leaving = true);
    let knows = |index: usize| {
        let backends = fleet.instances[index].instance.board.backends.read();
        backends.find(&"plan-review".into(), &"engine-0".into()).is_some_and(|server| server.leaving)
    };
    let mut round = 0;
    while !knows(0) {
        round += 1;
        assert_eq!(fleet.chat(0, &format!("plan {round}"), 10, false).await.status, 200);
        assert!(round < 100, "the leaving server was never tried");
    }
    let seen = Instant::now();
    for index in 1..3 {
        eventually("the mark reached the other instances", || knows(index)).await;
    }
    assert!(seen.elapsed() < PROPAGATION_MAX, "{:?}", seen.elapsed());
    // The server accepts requests again, so that any request dispatched to it is counted.
    fleet.engines[0].0.set_faults(|faults| faults.leaving = false);
    let before = fleet.engines[0].0.request_usage().len();
    for round in 0..30 {
        assert_eq!(fleet.chat(round % 3, &format!("later {round}"), 10, false).await.status, 200);
    }
    assert_eq!(fleet.engines[0].0.request_usage().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn late_link() {
    let mut fleet = Fleet::start(1, 2).await;
    let fact =
        coltsfootpick_core::gossip::GossipFact::Leaving { service: "plan-review".into(), server: "engine-0".into() };
    coltsfootpickd::peer_gossip::publish_observed(&fleet.instances[0].instance, fact);
    fleet.add_instance("late").await;
    fleet.wait_for_links().await;
    let board = &fleet.instances[1].instance.board;
    eventually("the mark is known", || {
        board.backends.read().find(&"plan-review".into(), &"engine-0".into()).is_some_and(|server| server.leaving)
    })
    .await;
}
