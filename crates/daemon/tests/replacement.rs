//! All instances are replaced under load while the log retains few records; no written record may be lost.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coltsfootpick_process::exit::Exit;
use coltsfootpickd::run::stop;
use common::{CONDITION_TIMEOUT, Fleet, registry};
use parking_lot::Mutex;
use test_case::test_case;
use tokio::task::JoinHandle;

const INSTANCES: usize = 6;
const CALLERS: usize = 8;
const PREPAID: u64 = 10_000_000;
const RETAINED_RECORDS: usize = 400;

/// Concurrent callers that cycle through the instances in service.
struct LoadGenerator {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    ended: Arc<AtomicBool>,
    callers: Vec<JoinHandle<u64>>,
}

impl LoadGenerator {
    fn start(addresses: Vec<SocketAddr>) -> Self {
        let addresses = Arc::new(Mutex::new(addresses));
        let ended = Arc::new(AtomicBool::new(false));
        let caller = |number| tokio::spawn(call_in_loop(number, Arc::clone(&addresses), Arc::clone(&ended)));
        let callers = (0..CALLERS).map(caller).collect();
        Self { addresses, ended, callers }
    }

    /// Stops the callers and returns how many requests were answered.
    async fn end(self) -> u64 {
        self.ended.store(true, Ordering::Release);
        let mut answered = 0;
        for caller in self.callers {
            answered += caller.await.unwrap();
        }
        answered
    }
}

async fn call_in_loop(number: usize, addresses: Arc<Mutex<Vec<SocketAddr>>>, ended: Arc<AtomicBool>) -> u64 {
    let mut answered = 0;
    let mut round = number;
    while !ended.load(Ordering::Acquire) {
        round += 1;
        let address = {
            let addresses = addresses.lock();
            addresses.get(round % addresses.len().max(1)).copied()
        };
        let Some(address) = address else {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        match registry().chat(address, "plan-review", &format!("plan {number}"), 10, false).await {
            Ok(answer) if answer.status == 200 => answered += 1,
            Ok(answer) => assert_eq!(answer.run_status(), "not-run", "{:?}", answer.json()),
            Err(_) => {}
        }
    }
    answered
}

async fn fleet() -> Fleet {
    let change = |text: String| text.replace("snapshot-records = 20000", "snapshot-records = 60");
    let fleet = Fleet::with_settings(INSTANCES, 2, change).await;
    fleet.platform.set_faults(|faults| faults.retention = RETAINED_RECORDS);
    fleet.top_up("registry", PREPAID).await;
    fleet.top_up("clinic", 777).await;
    assert_eq!(fleet.apply(0, "ticket-1").await.status, 200);
    fleet
}

/// Waits until instance 0 has billed all tokens that the engines produced and the price of the apply.
async fn assert_nothing_lost(fleet: &Fleet) {
    let price = 50;
    let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
    while fleet.budget(0, "registry").await.spent != fleet.produced() + price {
        let budget = fleet.budget(0, "registry").await;
        assert!(tokio::time::Instant::now() < deadline, "{budget:?} does not agree with {}", fleet.produced());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let budget = fleet.budget(0, "registry").await;
    assert_eq!(budget.topped, PREPAID);
    assert_eq!(budget.topped + budget.overspent, budget.free + budget.granted + budget.doubt + budget.spent);
    assert_eq!(budget.overspent, 0);
    assert_eq!(fleet.budget(0, "clinic").await.topped, 777);
    let environments = Arc::clone(&fleet.instances[0].instance.board.environments.read());
    assert_eq!(environments.get(&"tahrir".into()).unwrap().version, 2);
    assert_eq!(environments.history().count(), 2);
    assert_eq!(fleet.apply(0, "ticket-1").await.status, 200);
    assert_eq!(fleet.plain.run_count("ticket-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement() {
    let mut fleet = fleet().await;
    let load = LoadGenerator::start(fleet.instances.iter().map(|instance| instance.caller_address).collect());
    for number in 0..INSTANCES {
        fleet.add_instance(&format!("next-{number}")).await;
        let new_address = fleet.instances.last().unwrap().caller_address;
        let old = fleet.instances.remove(0);
        {
            let mut addresses = load.addresses.lock();
            addresses.retain(|address| *address != old.caller_address);
            addresses.push(new_address);
        }
        assert_eq!(stop(&old.instance, old.tasks).await, Exit::Success);
    }
    assert!(load.end().await > 0);
    assert_nothing_lost(&fleet).await;
}

#[test_case(true; "planned")]
#[test_case(false; "crashed")]
#[tokio::test(flavor = "multi_thread")]
async fn full_replacement(planned: bool) {
    let mut fleet = fleet().await;
    let load = LoadGenerator::start(fleet.instances.iter().map(|instance| instance.caller_address).collect());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let old: Vec<_> = fleet.instances.drain(..).collect();
    let mut answered = 0;
    if planned {
        load.addresses.lock().clear();
        let stops = old.into_iter().map(|old| async move { stop(&old.instance, old.tasks).await });
        for exit in futures_util::future::join_all(stops).await {
            assert_eq!(exit, Exit::Success);
        }
    } else {
        // Requests in progress at a crash are in doubt by design, so the load ends and settles first.
        answered = settle_load(&fleet, &old, &load).await;
        drop(old);
    }
    for number in 0..INSTANCES {
        fleet.add_instance(&format!("next-{number}")).await;
    }
    load.addresses.lock().extend(fleet.instances.iter().map(|instance| instance.caller_address));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(load.end().await > answered);
    assert_nothing_lost(&fleet).await;
}

/// Withdraws the instances from the callers and waits until all their requests are billed on the log.
async fn settle_load(fleet: &Fleet, old: &[common::TestInstance], load: &LoadGenerator) -> u64 {
    load.addresses.lock().clear();
    let key = coltsfootpick_core::names::BudgetKey {
        environment: "tahrir".into(),
        stage: coltsfootpick_core::names::Stage::Production,
        account: "registry".into(),
    };
    let spent = || {
        let cell = old[0].instance.board.cell(&key).lock();
        cell.state.ledger.budget(&key).map_or(0, |budget| budget.spent.0)
    };
    common::eventually("all requests are billed", || {
        old.iter().all(|old| old.instance.open.is_empty()) && spent() == fleet.produced() + 50
    })
    .await;
    0
}
