//! Quarantine of requests that crash backend servers.

mod common;

use coltsfootpick_wire::platform::{ListedServer, ListedState};
use common::{Fleet, clear_ejections, eventually, registry, server};

const POISON: &str = "poison plan";

async fn poisoned_fleet(instances: usize, engines: usize) -> Fleet {
    let fleet = Fleet::start(instances, engines).await;
    fleet.top_up("registry", 1_000_000).await;
    for (engine, _) in &fleet.engines {
        engine.set_faults(|faults| "poison".clone_into(&mut faults.crash_on));
    }
    fleet
}

fn crashed_engines(fleet: &Fleet) -> usize {
    fleet.engines.iter().filter(|(engine, _)| engine.is_crashed()).count()
}

/// Lists crashed engines as leaving, as the platform does after a while.
fn list_crashed(fleet: &Fleet) {
    for (index, (engine, running)) in fleet.engines.iter().enumerate() {
        if engine.is_crashed() {
            let entry = server(&format!("engine-{index}"), "plan-review", running.address);
            fleet.platform.list_server(ListedServer { state: ListedState::Leaving, ..entry });
        }
    }
}

/// Exchanges the suspect reports between all instances, as peer links do.
fn exchange_reports(fleet: &Fleet) {
    for from in &fleet.instances {
        let clock = &from.instance.deps.clock;
        let reports = from.instance.suspects.reports(clock.now());
        for to in &fleet.instances {
            to.instance.suspects.merge_reports(reports.clone(), to.instance.deps.clock.now());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_losses() {
    let fleet = poisoned_fleet(2, 5).await;
    let answer = fleet.chat(0, POISON, 20, false).await;
    assert_eq!((answer.code(), answer.run_status()), ("quarantined".to_owned(), "may-have-run".to_owned()));
    assert_eq!(crashed_engines(&fleet), 2);
    exchange_reports(&fleet);
    for index in [0, 1, 0, 1] {
        let again = fleet.chat(index, POISON, 20, false).await;
        assert_eq!((again.code(), again.run_status()), ("quarantined".to_owned(), "not-run".to_owned()));
    }
    assert_eq!(crashed_engines(&fleet), 2);
    assert_eq!(fleet.chat(1, "harmless plan", 20, false).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn fleet_wide_quarantine() {
    let fleet = poisoned_fleet(4, 6).await;
    for one in &fleet.instances {
        // With its retry budget spent, each instance loses at most one server.
        while one.instance.retries.lock().spend_retry() {}
    }
    for round in 0..3 {
        for index in 0..4 {
            let answer = fleet.chat(index, POISON, 20, false).await;
            assert_ne!(answer.status, 200, "round {round}");
            exchange_reports(&fleet);
        }
    }
    assert_eq!(crashed_engines(&fleet), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn unaffected_requests() {
    const CALLS: usize = 40;
    let fleet = poisoned_fleet(1, 5).await;
    for (engine, _) in &fleet.engines {
        engine.set_faults(|faults| faults.slow_ms = 40);
    }
    let address = fleet.instances[0].caller_address;
    let calls: Vec<_> = (0..CALLS)
        .map(|number| {
            tokio::spawn(async move {
                let prompt = format!("harmless {number}");
                loop {
                    let answer = registry().chat(address, "plan-review", &prompt, 30, false).await.unwrap();
                    match answer.code().as_str() {
                        "" => return answer.status.as_u16(),
                        "quarantined" => return 0,
                        _ => {
                            let wait = std::time::Duration::from_secs(answer.retry_after.unwrap_or(0));
                            tokio::time::sleep(wait).await;
                        }
                    }
                }
            })
        })
        .collect();
    let shared = std::sync::Arc::clone(&fleet.instances[0].instance);
    eventually("all requests run", || shared.open.len() == CALLS).await;
    let poison = fleet.chat(0, POISON, 20, false).await;
    assert_eq!(poison.code(), "quarantined");
    list_crashed(&fleet);
    for call in calls {
        assert_eq!(call.await.unwrap(), 200, "another request did not finish");
    }
    assert_eq!(crashed_engines(&fleet), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_server() {
    let fleet = poisoned_fleet(1, 3).await;
    assert_eq!(fleet.chat(0, POISON, 20, false).await.code(), "quarantined");
    let shared = &fleet.instances[0].instance;
    for number in 0..10 {
        clear_ejections(shared);
        fleet.chat(0, &format!("harmless {number}"), 5, false).await;
    }
    let reports = shared.suspects.reports(shared.deps.clock.now());
    assert_eq!(reports.len(), 1, "a request that met a dead server is suspect: {reports:?}");
}
