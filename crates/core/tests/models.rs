//! Placement of models: ownership by claims, the rate limit of the weight store, and stable orders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use coltsfootpick_core::document::{Document, ServiceKind};
use coltsfootpick_core::models::{ADAPTER_SLOTS, ModelLoadRate, ModelServer, ModelSpec, Planner, WantedModel};
use coltsfootpick_core::names::{AdapterName, Incarnation, ServiceName};
use coltsfootpick_core::ownership::{Ownership, OwnershipOutcome, OwnershipRecord, OwnershipWatch};
use coltsfootpick_core::units::{Instant, Offset};
use test_case::test_case;

const START: Instant = Instant(Duration::from_secs(100));
const RATE: ModelLoadRate = ModelLoadRate { loads: 3, window: Duration::from_secs(10) };
const TOKEN: Offset = Offset(7);

fn at(seconds: u64) -> Instant {
    START.after(Duration::from_secs(seconds))
}

fn holder(name: &str) -> Incarnation {
    Incarnation { instance: name.into(), run: 1 }
}

fn heartbeat(name: &str, token: u64) -> OwnershipRecord {
    OwnershipRecord::Heartbeat { holder: holder(name), token: Offset(token) }
}

fn wanted(version: &str, adapters: &[&str], replicas: u32) -> BTreeMap<ServiceName, WantedModel> {
    let adapters = adapters.iter().copied().map(AdapterName::new).collect();
    let model = WantedModel { model: "base".into(), version: version.into(), adapters, replicas };
    BTreeMap::from([("plan-review".into(), model)])
}

/// Planner with servers that carry out its orders between two rounds.
struct Simulation {
    planner: Planner,
    servers: Vec<ModelServer>,
    orders: Vec<usize>,
    swaps: usize,
}

impl Simulation {
    fn new(count: usize) -> Self {
        let servers = (0..count).map(|number| ModelServer {
            name: format!("engine-{number}").into(),
            service: "plan-review".into(),
            loaded: Some(None),
            load: 0,
        });
        Self { planner: Planner::new(START, RATE), servers: servers.collect(), orders: Vec::new(), swaps: 0 }
    }

    fn round(&mut self, now: Instant, wanted: &BTreeMap<ServiceName, WantedModel>) -> usize {
        let orders = self.planner.orders(now, TOKEN, wanted, &self.servers);
        self.swaps = 0;
        for order in &orders {
            assert_eq!(order.token, TOKEN);
            let server = self.servers.iter_mut().find(|server| server.name == order.server).unwrap();
            let old = server.loaded.replace(Some(order.target.clone())).flatten();
            self.swaps += usize::from(old.is_some_and(|old| old.version != order.target.version));
        }
        self.orders.push(orders.len());
        orders.len()
    }

    /// Runs rounds one second apart and returns the number of orders.
    fn rounds(&mut self, seconds: std::ops::Range<u64>, wanted: &BTreeMap<ServiceName, WantedModel>) -> usize {
        seconds.map(|second| self.round(at(second), wanted)).sum()
    }

    fn adapter_servers(&self, adapter: &str) -> usize {
        let adapter = AdapterName::new(adapter);
        let has_adapter = |loaded: &ModelSpec| loaded.adapters.contains(&adapter);
        self.servers.iter().filter(|server| server.loaded.iter().flatten().any(has_adapter)).count()
    }
}

#[test]
fn first_claim() {
    let mut ownership = Ownership::default();
    let claim = |name, replaces| OwnershipRecord::Claim { holder: holder(name), replaces };
    assert_eq!(ownership.apply(Offset(0), &claim("a", None)), OwnershipOutcome::Taken);
    assert_eq!(ownership.apply(Offset(1), &claim("b", None)), OwnershipOutcome::Lost);
    assert_eq!(ownership.apply(Offset(2), &claim("b", Some(Offset(0)))), OwnershipOutcome::Taken);
    assert_eq!(ownership.apply(Offset(3), &heartbeat("a", 0)), OwnershipOutcome::Stale);
    assert_eq!(ownership.apply(Offset(4), &heartbeat("b", 2)), OwnershipOutcome::Renewed);
    let owner = ownership.owner().unwrap();
    assert_eq!((&owner.holder, owner.token, ownership.next), (&holder("b"), Offset(2), Offset(5)));
}

#[test]
fn dropped_claim() {
    let mut ownership = Ownership::default();
    assert_eq!(ownership.apply(Offset(90), &heartbeat("a", 3)), OwnershipOutcome::Renewed);
    assert_eq!(
        ownership.owner().unwrap().token,
        Offset(3),
        "the owner is known by heartbeats after the log has dropped its claim"
    );
}

#[test]
fn silent_owner() {
    let mut ownership = Ownership::default();
    let mut watch = OwnershipWatch::default();
    let timeout = Duration::from_secs(5);
    let mut next = |ownership: &Ownership, second| watch.next_claim(ownership, &holder("b"), at(second), timeout);
    assert!(next(&ownership, 0).is_some(), "a claim is made at once while there is no owner");
    ownership.apply(Offset(0), &OwnershipRecord::Claim { holder: holder("a"), replaces: None });
    assert_eq!(next(&ownership, 1), None);
    assert_eq!(next(&ownership, 5), None);
    ownership.apply(Offset(1), &heartbeat("a", 0));
    assert_eq!(next(&ownership, 6), None, "a heartbeat restarts the timeout");
    assert_eq!(next(&ownership, 10), None);
    let replaces = Some(Offset(0));
    assert_eq!(next(&ownership, 11), Some(OwnershipRecord::Claim { holder: holder("b"), replaces }));
}

#[test]
fn rate_limit() {
    let mut simulation = Simulation::new(20);
    let wanted = wanted("1", &[], 1);
    assert_eq!(simulation.rounds(0..10, &wanted), 0, "a new owner waits for one window of the rate limit");
    simulation.rounds(10..100, &wanted);
    assert!(simulation.orders.windows(10).all(|window| window.iter().sum::<usize>() <= RATE.loads));
    assert!(simulation.servers.iter().all(|server| matches!(server.loaded, Some(Some(_)))));
    assert_eq!(simulation.rounds(100..200, &wanted), 0, "a server with the wanted model gets no order");
}

#[test]
fn rolling_update() {
    let mut simulation = Simulation::new(6);
    simulation.rounds(0..60, &wanted("1", &["a"], 2));
    let next = wanted("2", &["a"], 2);
    for second in 60..160 {
        simulation.round(at(second), &next);
        assert!(simulation.swaps <= 1, "one server of a service changes its version at a time");
    }
    assert!(simulation.servers.iter().flat_map(|server| &server.loaded).flatten().all(|it| &*it.version == "2"));
}

#[test]
fn flapping_load() {
    let mut simulation = Simulation::new(6);
    let wanted = wanted("1", &["a", "b"], 2);
    simulation.rounds(0..60, &wanted);
    let mut orders = 0;
    for second in 60..360 {
        let load = if second % 6 < 3 { 40 } else { 0 };
        simulation.servers.iter_mut().for_each(|server| server.load = load);
        orders += simulation.round(at(second), &wanted);
    }
    assert_eq!(orders, 0, "load that alternates every 3 s changes no replicas");
    simulation.servers.iter_mut().for_each(|server| server.load = 40);
    simulation.rounds(360..420, &wanted);
    assert_eq!(simulation.adapter_servers("a"), 6, "load that stays high adds replicas of the adapters");
}

#[test]
fn flapping_list() {
    let mut simulation = Simulation::new(6);
    let wanted = wanted("1", &["a", "b", "c"], 2);
    simulation.rounds(0..60, &wanted);
    let mut orders = 0;
    for second in 60..160 {
        let gone = (second % 4 == 0).then(|| simulation.servers.remove(0));
        orders += simulation.round(at(second), &wanted);
        simulation.servers.splice(0..0, gone);
    }
    assert_eq!(orders, 0, "a server that is missing for a second causes no orders");
    simulation.servers.remove(0);
    simulation.rounds(160..220, &wanted);
    assert!(
        ["a", "b", "c"].iter().all(|adapter| simulation.adapter_servers(adapter) >= 2),
        "a server that stays missing is replaced"
    );
}

#[test]
fn repeated_order() {
    let mut simulation = Simulation::new(1);
    let wanted = wanted("1", &[], 1);
    let mut order_count = |second| simulation.planner.orders(at(second), TOKEN, &wanted, &simulation.servers).len();
    assert_eq!(
        [order_count(10), order_count(11), order_count(19), order_count(20)],
        [1, 0, 0, 1],
        "an order without effect is repeated after its timeout"
    );
}

#[test]
fn unknown_state() {
    let mut simulation = Simulation::new(2);
    simulation.servers[0].loaded = None;
    let orders = simulation.planner.orders(at(20), TOKEN, &wanted("1", &[], 1), &simulation.servers);
    assert_eq!(orders.len(), 1, "a server whose state is unknown gets no order");
}

#[test]
fn late_order() {
    let mut simulation = Simulation::new(3);
    let (old, new) = (wanted("1", &[], 1), wanted("2", &[], 1));
    simulation.rounds(0..60, &new);
    let late = Planner::new(START, RATE).orders(at(60), Offset(1), &old, &simulation.servers);
    assert_eq!(late.len(), 1, "an earlier owner still gives orders");
    simulation.servers[0].loaded = Some(Some(late[0].target.clone()));
    simulation.rounds(60..80, &new);
    let versions: BTreeSet<_> =
        simulation.servers.iter().flat_map(|it| &it.loaded).flatten().map(|it| &*it.version).collect();
    assert_eq!(versions, BTreeSet::from(["2"]), "the new owner corrects an engine that obeyed the earlier one");
}

#[test]
fn adapter_slots() {
    let mut simulation = Simulation::new(3);
    let names: Vec<String> = (0..12).map(|number| format!("a{number:02}")).collect();
    let adapters: Vec<&str> = names.iter().map(String::as_str).collect();
    simulation.rounds(0..60, &wanted("1", &adapters, 3));
    assert!(adapters.iter().all(|adapter| simulation.adapter_servers(adapter) == 3), "all wanted adapters are loaded");
    simulation.rounds(60..300, &wanted("1", &adapters, 1));
    assert!(adapters.iter().all(|adapter| simulation.adapter_servers(adapter) >= 1));
    for loaded in simulation.servers.iter().flat_map(|server| &server.loaded).flatten() {
        assert!(loaded.adapters.len() <= ADAPTER_SLOTS, "{:?}", loaded.adapters);
    }
}

const ENGINE: &str = "[environment m]\n[service s]\nkind = engine\n";

#[test_case("model = base\nversion = 3\nadapters = a, b\nreplicas = 2\n", Some(2); "all")]
#[test_case("", None; "none")]
fn wanted_model(lines: &str, replicas: Option<u32>) {
    let document = Document::parse(&format!("{ENGINE}{lines}")).unwrap();
    let ServiceKind::Engine { wanted, .. } = &document.services[&ServiceName::new("s")].kind else { panic!() };
    assert_eq!(wanted.as_ref().map(|wanted| wanted.replicas), replicas);
}

#[test_case("model = base\n"; "no version")]
#[test_case("version = 3\n"; "no model")]
#[test_case("adapters = a\n"; "adapters alone")]
#[test_case("model = b c\nversion = 3\n"; "space in name")]
#[test_case("model = b\nversion = 3\nreplicas = 0\n"; "no replicas")]
fn invalid_model(lines: &str) {
    assert!(Document::parse(&format!("{ENGINE}{lines}")).is_err());
}
