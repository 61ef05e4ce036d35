//! Requests that crash the backend servers that run them.

mod common;

use coltsfootpick_wire::platform::{ListedServer, ListedState};
use common::{Fleet, eventually, forgive, registry, server};

const POISON: &str = "poison plan";

async fn poisoned_fleet(instances: usize, engines: usize) -> Fleet {
    let fleet = Fleet::start(instances, engines).await;
    fleet.top_up("registry", 1_000_000).await;
    for (engine, _) in &fleet.engines {
        engine.set_faults(|faults| "poison".clone_into(&mut faults.crash_on));
    }
    fleet
}

fn crashed(fleet: &Fleet) -> usize {
    fleet.engines.iter().filter(|(engine, _)| engine.is_crashed()).count()
}

/// Marks crashed engines as leaving, as the platform's list does after a while.
fn list_crashed(fleet: &Fleet) {
    for (index, (engine, running)) in fleet.engines.iter().enumerate() {
        if engine.is_crashed() {
            let entry = server(&format!("engine-{index}"), "plan-review", running.address);
            fleet.platform.list_server(ListedServer { state: ListedState::Leaving, ..entry });
        }
    }
}

/// Passes the news of every instance on to every other one, as peer links do.
fn exchange_news(fleet: &Fleet) {
    for from in &fleet.instances {
        let clock = &from.instance.borders.clock;
        let news = from.instance.suspects.news(clock.now());
        for to in &fleet.instances {
            to.instance.suspects.take_news(news.clone(), to.instance.borders.clock.now());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_losses() {
    let fleet = poisoned_fleet(2, 5).await;
    let answer = fleet.chat(0, POISON, 20, false).await;
    assert_eq!((answer.code(), answer.run_status()), ("quarantined".to_owned(), "may-have-run".to_owned()));
    assert_eq!(crashed(&fleet), 2);
    exchange_news(&fleet);
    for index in [0, 1, 0, 1] {
        let again = fleet.chat(index, POISON, 20, false).await;
        assert_eq!((again.code(), again.run_status()), ("quarantined".to_owned(), "not-run".to_owned()));
    }
    assert_eq!(crashed(&fleet), 2);
    assert_eq!(fleet.chat(1, "harmless plan", 20, false).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn through_instances() {
    let fleet = poisoned_fleet(4, 6).await;
    for one in &fleet.instances {
        // Without repeats of its own, each instance loses one server at the most.
        while one.instance.retries.lock().take_token() {}
    }
    for round in 0..3 {
        for index in 0..4 {
            let answer = fleet.chat(index, POISON, 20, false).await;
            assert_ne!(answer.status, 200, "round {round}");
            exchange_news(&fleet);
        }
    }
    assert_eq!(crashed(&fleet), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn innocents() {
    const CALLS: usize = 40;
    let fleet = poisoned_fleet(1, 5).await;
    for (engine, _) in &fleet.engines {
        engine.set_faults(|faults| faults.slow_ms = 40);
    }
    let address = fleet.instances[0].callers;
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
    eventually("all run", || shared.open.len() == CALLS).await;
    let poison = fleet.chat(0, POISON, 20, false).await;
    assert_eq!(poison.code(), "quarantined");
    list_crashed(&fleet);
    for call in calls {
        assert_eq!(call.await.unwrap(), 200, "an innocent request finishes");
    }
    assert_eq!(crashed(&fleet), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn already_down() {
    let fleet = poisoned_fleet(1, 3).await;
    assert_eq!(fleet.chat(0, POISON, 20, false).await.code(), "quarantined");
    let shared = &fleet.instances[0].instance;
    for number in 0..10 {
        forgive(shared);
        fleet.chat(0, &format!("harmless {number}"), 5, false).await;
    }
    let news = shared.suspects.news(shared.borders.clock.now());
    assert_eq!(news.len(), 1, "whoever meets a dead server is no suspect: {news:?}");
}
