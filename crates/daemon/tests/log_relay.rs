//! Instances that reach the log through peers, and the refusals when no instance reaches it.

mod common;

use std::time::{Duration, Instant};

use coltsfootpick_wire::operators::TrialOrder;
use common::{DOCUMENT, Fleet, eventually};

/// Longest time until the log is used again after an outage; an unreachable log is probed once per heartbeat
/// interval.
const RECOVERY_MAX: Duration = Duration::from_secs(2);

/// Longest time to a refusal while no instance reaches the log.
const REFUSAL_MAX: Duration = Duration::from_secs(2);

async fn disconnect_log(fleet: &Fleet, index: usize) {
    let instance = &fleet.instances[index].instance;
    let name = instance.settings.name.to_string();
    fleet.platform.set_faults(|faults| _ = faults.cut_off.insert(name));
    eventually("the instance notices that it lost the log", || !instance.peers.has_direct_log()).await;
}

/// Waits until every instance has billed exactly the tokens that the engines produced.
async fn assert_bills_agree(fleet: &Fleet) {
    for index in 0..fleet.instances.len() {
        let deadline = Instant::now() + common::CONDITION_TIMEOUT;
        while fleet.budget(index, "registry").await.spent != fleet.produced() {
            assert!(Instant::now() < deadline, "the bills of instance {index} differ from the engines' count");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(fleet.budget(index, "registry").await.overspent, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn relayed_requests() {
    let fleet = Fleet::start(3, 2).await;
    fleet.wait_for_links().await;
    fleet.top_up("registry", 50).await;
    disconnect_log(&fleet, 1).await;
    assert_eq!(fleet.chat(1, "too dear", 400, false).await.status, 402);
    fleet.top_up("registry", 100_000).await;
    for round in 0..4 {
        let answer = fleet.chat(1, &format!("plan {round}"), 20, true).await;
        assert_eq!(answer.status, 200, "{:?}", answer.json());
        assert!(answer.is_complete());
    }
    assert_eq!(fleet.apply(1, "ticket-1").await.status, 200);
    assert_eq!(fleet.plain.run_count("ticket-1"), 1);
    assert!(!fleet.instances[1].instance.peers.has_direct_log());
}

#[tokio::test(flavor = "multi_thread")]
async fn two_hops() {
    let fleet = Fleet::start(3, 1).await;
    fleet.wait_for_links().await;
    fleet.top_up("registry", 100_000).await;
    // Only the last instance reaches the log, and only the middle one has a link to the last.
    let (first, last) = (&fleet.instances[0].instance, &fleet.instances[2].instance);
    fleet.platform.list_server(common::server("instance-2", "coltsfootpick", common::CLOSED_ADDRESS));
    eventually("the instance list is read", || {
        first.peers.listed().iter().any(|peer| peer.address == common::CLOSED_ADDRESS)
    })
    .await;
    first.peers.links().iter().filter(|link| link.peer == last.settings.name).for_each(|link| link.closed.cancel());
    disconnect_log(&fleet, 0).await;
    disconnect_log(&fleet, 1).await;
    eventually("the log is two links away", || first.peers.hops(None) == 2).await;
    for round in 0..3 {
        assert_eq!(fleet.chat(0, &format!("plan {round}"), 20, false).await.status, 200);
    }
    assert_bills_agree(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers() {
    let fleet = Fleet::start(2, 1).await;
    fleet.wait_for_links().await;
    fleet.top_up("registry", 100_000).await;
    disconnect_log(&fleet, 1).await;
    fleet.platform.set_faults(|faults| faults.lose_answers = 2);
    for round in 0..3 {
        assert_eq!(fleet.chat(1, &format!("plan {round}"), 20, false).await.status, 200);
    }
    assert_bills_agree(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn relayed_environment() {
    let fleet = Fleet::start(2, 1).await;
    fleet.wait_for_links().await;
    disconnect_log(&fleet, 1).await;
    let order = TrialOrder { id: "third".to_owned(), expected: 2, document: DOCUMENT.to_owned() };
    assert!(fleet.order(0, "/v1/environments/tahrir/trial", &order).await.done);
    let board = &fleet.instances[1].instance.board;
    eventually("the change is in force", || {
        board.environments.read().get(&"tahrir".into()).is_some_and(|environment| environment.version == 3)
    })
    .await;
    assert!(!fleet.instances[1].instance.peers.has_direct_log());
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_log() {
    let fleet = Fleet::start(2, 1).await;
    fleet.wait_for_links().await;
    fleet.top_up("registry", 100_000).await;
    fleet.platform.set_faults(|faults| faults.down = true);
    for index in 0..2 {
        let peers = &fleet.instances[index].instance.peers;
        eventually("the outage is noticed", || !peers.is_log_reachable()).await;
        let start = Instant::now();
        let chat = fleet.chat(index, "plan", 20, false).await;
        assert_eq!((chat.status.as_u16(), chat.run_status().as_str()), (503, "not-run"), "{:?}", chat.json());
        let apply = fleet.apply(index, "ticket-1").await;
        assert_eq!((apply.status.as_u16(), apply.run_status().as_str()), (503, "not-run"), "{:?}", apply.json());
        assert!(chat.retry_after.is_some() && apply.retry_after.is_some());
        assert!(start.elapsed() < REFUSAL_MAX, "{:?}", start.elapsed());
    }
    assert_eq!(fleet.plain.run_count("ticket-1"), 0);
    fleet.platform.set_faults(|faults| faults.down = false);
    let back = Instant::now();
    for index in 0..2 {
        let peers = &fleet.instances[index].instance.peers;
        eventually("the log is reachable again", || peers.has_direct_log() && peers.is_log_reachable()).await;
        assert!(back.elapsed() < RECOVERY_MAX, "requests were refused for {:?} after the outage", back.elapsed());
    }
    for index in 0..2 {
        assert_eq!(fleet.chat(index, "plan", 20, false).await.status, 200);
    }
}
