//! In-process test fleet: simulated platform, engines and services, and instances, on free loopback ports.
#![allow(dead_code, reason = "every test file uses its own part of the helper")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_testkit::caller::{CallResponse, Caller};
use coltsfootpick_testkit::engine::{Engine, EngineConfig};
use coltsfootpick_testkit::plain_service::PlainService;
use coltsfootpick_testkit::platform::Platform;
use coltsfootpick_testkit::server::{ANY_PORT, RunningServer};
use coltsfootpick_wire::operators::{BudgetView, OrderResponse, PromoteOrder, TopUpOrder, TrialOrder};
use coltsfootpick_wire::platform::{ListedServer, ListedState};
use coltsfootpickd::clock::SystemClock;
use coltsfootpickd::http;
use coltsfootpickd::instance::{Dependencies, Instance};
use coltsfootpickd::instance_list::FLEET_SERVICE;
use coltsfootpickd::platform::HttpPlatform;
use coltsfootpickd::run::{Listeners, Tasks, start};
use coltsfootpickd::settings::Settings;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Environment document of every test fleet.
pub const DOCUMENT: &str = include_str!("../../../../samples/tahrir.ini");

/// Base settings of every test instance.
pub const SETTINGS: &str = include_str!("../../../../samples/instance.ini");

/// Longest wait for a condition, with ample tolerance for a busy machine.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Heartbeat interval of every test instance; a silent link is closed after four intervals.
pub const HEARTBEAT: Duration = Duration::from_millis(100);

/// Address that refuses connections.
pub const CLOSED_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// A started instance with its addresses and tasks.
pub struct TestInstance {
    pub instance: Arc<Instance>,
    pub caller_address: SocketAddr,
    pub operator_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub tasks: Tasks,
}

/// Simulated platform, engines and plain service, and the instances of one test.
pub struct Fleet {
    pub platform: Platform,
    pub platform_server: RunningServer,
    pub engines: Vec<(Engine, RunningServer)>,
    pub plain: PlainService,
    pub plain_server: RunningServer,
    pub instances: Vec<TestInstance>,
    settings: String,
}

impl Fleet {
    /// Starts `engines` engines, one plain service and `instances` instances, and promotes [`DOCUMENT`].
    pub async fn start(instances: usize, engines: usize) -> Self {
        Self::with_settings(instances, engines, |text| text).await
    }

    /// Like [`start`](Self::start), with the settings text passed through `change` first.
    pub async fn with_settings(instances: usize, engines: usize, change: impl Fn(String) -> String) -> Self {
        let platform = Platform::default();
        let platform_server = RunningServer::start(ANY_PORT, platform.router()).await.unwrap();
        let plain = PlainService::default();
        let plain_server = RunningServer::start(ANY_PORT, plain.router()).await.unwrap();
        let settings = change(SETTINGS.to_owned());
        let mut fleet = Self {
            platform,
            platform_server,
            engines: Vec::new(),
            plain,
            plain_server,
            instances: Vec::new(),
            settings,
        };
        fleet.platform.list_server(server("runner-1", "migration", fleet.plain_server.address));
        for index in 0..engines {
            fleet.add_engine(&format!("engine-{index}")).await;
        }
        for index in 0..instances {
            fleet.add_instance(&format!("instance-{index}")).await;
        }
        fleet.promote_environment().await;
        fleet
    }

    /// Starts an engine and adds it to the instance list.
    pub async fn add_engine(&mut self, name: &str) {
        let engine = Engine::start(EngineConfig::default());
        let running = RunningServer::start(ANY_PORT, engine.router()).await.unwrap();
        self.platform.list_server(server(name, "plan-review", running.address));
        self.engines.push((engine, running));
    }

    /// Adds an instance and waits until it is ready.
    pub async fn add_instance(&mut self, name: &str) {
        let instance = self.start_instance(name).await;
        let shared = Arc::clone(&instance.instance);
        eventually("the instance is ready", || shared.unready_reasons().is_empty()).await;
        eventually("the instance list is read", || shared.board.backends.read().iter().count() > 0).await;
        self.instances.push(instance);
    }

    /// Starts an instance without waiting until it is ready.
    pub async fn start_instance(&self, name: &str) -> TestInstance {
        let mut settings = Settings::parse(&self.settings).unwrap();
        settings.name = name.into();
        settings.caller_address = ANY_PORT;
        settings.operator_address = ANY_PORT;
        settings.peer_address = ANY_PORT;
        settings.log_address = self.platform_server.address;
        settings.list_address = self.platform_server.address;
        settings.poll_interval = Duration::from_millis(50);
        settings.heartbeat_interval = HEARTBEAT;
        let client = http::client();
        let timeout = settings.platform_timeout;
        let platform = Arc::new(HttpPlatform::new(
            client.clone(),
            settings.log_address,
            settings.list_address,
            &settings.name,
            timeout,
        ));
        let deps = Dependencies {
            log: Arc::<HttpPlatform>::clone(&platform),
            list: platform,
            client,
            clock: Arc::new(SystemClock::default()),
            seed: name.bytes().map(u64::from).sum(),
        };
        let listeners = Listeners::bind(&settings).await.unwrap();
        let caller_address = listeners.callers.local_addr().unwrap();
        let operator_address = listeners.operators.local_addr().unwrap();
        let peer_address = listeners.peers.local_addr().unwrap();
        self.platform.list_server(server(name, FLEET_SERVICE, peer_address));
        let instance = Instance::new(settings, deps);
        let tasks = start(&instance, listeners);
        TestInstance { instance, caller_address, operator_address, peer_address, tasks }
    }

    /// Closes all links to the instance `index` permanently; the instance still reaches the platform.
    pub async fn disconnect(&self, index: usize) {
        let name = self.instances[index].instance.settings.name.clone();
        self.platform.list_server(server(&name, FLEET_SERVICE, CLOSED_ADDRESS));
        for other in self.instances.iter().filter(|other| other.instance.settings.name != name) {
            let peers = &other.instance.peers;
            eventually("the instance list is read", || {
                peers.listed().iter().all(|peer| peer.name != name || peer.address == CLOSED_ADDRESS)
            })
            .await;
            peers.links().iter().filter(|link| link.peer == name).for_each(|link| link.closed.cancel());
            eventually("the link is closed", || !peers.is_linked(&name)).await;
        }
    }

    /// Waits until every two instances have a link.
    pub async fn wait_for_links(&self) {
        for one in &self.instances {
            for other in &self.instances {
                let (peers, name) = (&one.instance.peers, &other.instance.settings.name);
                if *name != one.instance.settings.name {
                    eventually("the link is open", || peers.is_linked(name)).await;
                }
            }
        }
    }

    async fn promote_environment(&self) {
        // A short settle delay, so that tests need not wait for batched bills.
        let document = DOCUMENT.replace("settle-delay-ms = 1000", "settle-delay-ms = 50");
        assert_ne!(document, DOCUMENT);
        let trial = TrialOrder { id: "open-1".to_owned(), expected: 0, document };
        assert!(self.order(0, "/v1/environments/tahrir/trial", &trial).await.done);
        let promote = PromoteOrder { id: "open-2".to_owned(), expected: 1 };
        assert!(self.order(0, "/v1/environments/tahrir/promote", &promote).await.done);
        for instance in &self.instances {
            let board = &instance.instance.board;
            eventually("the environment is promoted", || {
                board.environments.read().get(&"tahrir".into()).is_some_and(|environment| environment.version == 2)
            })
            .await;
        }
    }

    /// Adds tokens to a production budget and waits until every instance has applied the top-up.
    pub async fn top_up(&self, account: &str, tokens: u64) {
        let id = format!("top-{account}-{tokens}-{}", self.platform.append_count());
        let order = TopUpOrder {
            id,
            environment: "tahrir".to_owned(),
            stage: coltsfootpick_core::names::Stage::Production,
            account: account.to_owned(),
            tokens,
        };
        assert!(self.order(0, "/v1/budgets/top-up", &order).await.done);
        let target = self.budget(0, account).await.topped;
        for index in 0..self.instances.len() {
            let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
            while self.budget(index, account).await.topped != target {
                assert!(tokio::time::Instant::now() < deadline, "the top-up did not reach instance {index}");
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }

    /// Sends an operator's order to one instance.
    pub async fn order(&self, index: usize, path: &str, order: &impl Serialize) -> OrderResponse {
        let body = serde_json::to_string(order).unwrap();
        let answer =
            operator().send(self.instances[index].operator_address, ::http::Method::POST, path, &[], body).await;
        let answer = answer.unwrap();
        serde_json::from_slice(&answer.body).unwrap_or_else(|_| panic!("{path}: {:?}", answer.json()))
    }

    /// Reads an operator's view from one instance.
    pub async fn view<T: DeserializeOwned>(&self, index: usize, path: &str) -> T {
        let answer = operator().send(self.instances[index].operator_address, ::http::Method::GET, path, &[], "").await;
        serde_json::from_slice(&answer.unwrap().body).unwrap()
    }

    /// Returns a production budget as replayed by one instance.
    pub async fn budget(&self, index: usize, account: &str) -> BudgetView {
        let budgets: Vec<BudgetView> = self.view(index, "/v1/budgets").await;
        let found = budgets.into_iter().find(|budget| budget.account == account);
        found.unwrap_or_else(|| empty_budget(account))
    }

    /// Sends a chat request to one instance, as the large account.
    pub async fn chat(&self, index: usize, prompt: &str, tokens: u64, stream: bool) -> CallResponse {
        registry().chat(self.instances[index].caller_address, "plan-review", prompt, tokens, stream).await.unwrap()
    }

    /// Sends an apply call to one instance, as the large account.
    pub async fn apply(&self, index: usize, key: &str) -> CallResponse {
        registry().apply(self.instances[index].caller_address, "migration", key).await.unwrap()
    }

    /// Returns the tokens that all engines have processed, prompts included.
    pub fn produced(&self) -> u64 {
        let all = self.engines.iter().flat_map(|(engine, _)| engine.request_usage().into_values());
        all.map(|produced| (produced.prompt + produced.completion) as u64).sum()
    }
}

fn empty_budget(account: &str) -> BudgetView {
    BudgetView {
        environment: "tahrir".to_owned(),
        stage: coltsfootpick_core::names::Stage::Production,
        account: account.to_owned(),
        topped: 0,
        free: 0,
        spent: 0,
        granted: 0,
        reserved: 0,
        doubt: 0,
        overspent: 0,
        holdings: Vec::new(),
    }
}

/// Returns a caller of the large account.
pub fn registry() -> Caller {
    Caller::new("tahrir:registry:large-key")
}

/// Returns the operator of the sample settings.
pub fn operator() -> Caller {
    Caller::new("nadia:operator-key")
}

/// Builds a live entry of the instance list.
pub fn server(name: &str, service: &str, address: SocketAddr) -> ListedServer {
    ListedServer {
        name: name.to_owned(),
        service: service.to_owned(),
        address,
        zone: "tunis-a".to_owned(),
        region: "tunis".to_owned(),
        state: ListedState::Live,
    }
}

/// Ends the ejection of all servers, so that only the retry budget limits dispatches.
pub fn clear_ejections(instance: &Instance) {
    let mut backends = instance.board.backends.write();
    let keys: Vec<_> = backends.iter().map(|s| (s.listed.service.clone(), s.listed.name.clone())).collect();
    for (service, name) in keys {
        if let Some(server) = backends.find_mut(&service, &name) {
            server.ejected_until = coltsfootpick_core::units::Instant::default();
        }
    }
}

/// Waits until `condition` is true.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(tokio::time::Instant::now() < deadline, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
