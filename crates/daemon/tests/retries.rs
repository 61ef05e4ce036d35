//! Repeated dispatches, for the instance's own retries and the callers', stay within 10 % of the requests.

mod common;

use common::{Fleet, clear_ejections};

fn calls(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|(engine, _)| engine.call_count()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn full_outage() {
    const REQUESTS: u64 = 400;
    let fleet = Fleet::start(2, 3).await;
    fleet.top_up("registry", 1_000_000).await;
    for (engine, _) in &fleet.engines {
        engine.set_faults(|faults| faults.status = 503);
    }
    for number in 0..REQUESTS {
        let index = usize::try_from(number % 2).unwrap();
        clear_ejections(&fleet.instances[index].instance);
        let answer = fleet.chat(index, &format!("plan {number}"), 5, false).await;
        assert_eq!(answer.code(), "no-backend-server");
        assert!(answer.retry_after >= Some(1));
    }
    println!("full outage: {} calls for {REQUESTS} requests", calls(&fleet));
    assert!(calls(&fleet) >= REQUESTS);
    assert!(calls(&fleet) * 10 <= REQUESTS * 11, "{} calls for {REQUESTS} requests", calls(&fleet));
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_retry_storm() {
    const REQUESTS: u64 = 200;
    const COPIES: u64 = 5;
    let fleet = Fleet::start(1, 3).await;
    fleet.top_up("registry", 1_000_000).await;
    for (engine, _) in &fleet.engines {
        engine.set_faults(|faults| faults.status = 503);
    }
    for number in 0..REQUESTS {
        for copy in 0..COPIES {
            clear_ejections(&fleet.instances[0].instance);
            let answer = fleet.chat(0, &format!("plan {number}"), 5, false).await;
            assert_ne!(answer.status, 200, "copy {copy}");
            assert!(answer.retry_after >= Some(1));
        }
    }
    println!("storm: {} calls for {REQUESTS} requests sent {COPIES} times", calls(&fleet));
    assert!(calls(&fleet) * 10 <= REQUESTS * 11, "{} calls for {REQUESTS} requests", calls(&fleet));
}

#[tokio::test(flavor = "multi_thread")]
async fn one_bad_server() {
    let fleet = Fleet::start(1, 2).await;
    fleet.top_up("registry", 1_000_000).await;
    fleet.engines[0].0.set_faults(|faults| faults.status = 503);
    for number in 0..40 {
        let answer = fleet.chat(0, &format!("plan {number}"), 5, false).await;
        assert_eq!(answer.status, 200, "request {number}: {:?}", answer.json());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_connections() {
    let mut fleet = Fleet::start(1, 2).await;
    fleet.top_up("registry", 1_000_000).await;
    let (_, gone) = fleet.engines.remove(0);
    drop(gone);
    for number in 0..60 {
        clear_ejections(&fleet.instances[0].instance);
        let answer = fleet.chat(0, &format!("plan {number}"), 5, false).await;
        assert_eq!(answer.status, 200, "a refused connection used up the retry budget: {number}: {:?}", answer.json());
    }
}
