//! Small fleet inside the test's own process: stand-ins and instances on loopback ports of the system.
#![allow(dead_code, reason = "every test file uses its own part of the helper")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_testkit::caller::{CallResponse, Caller};
use coltsfootpick_testkit::engine::{Engine, EngineConfig};
use coltsfootpick_testkit::plain_service::PlainService;
use coltsfootpick_testkit::platform::Platform;
use coltsfootpick_testkit::server::{ANY_PORT, RunningServer};
use coltsfootpick_wire::operators::{BudgetView, OrderAnswer, PromoteOrder, TopUpOrder, TrialOrder};
use coltsfootpick_wire::platform::{ListedServer, ListedState};
use coltsfootpickd::clock::SystemClock;
use coltsfootpickd::http;
use coltsfootpickd::instance::{Borders, Instance};
use coltsfootpickd::list::FLEET_SERVICE;
use coltsfootpickd::platform::HttpPlatform;
use coltsfootpickd::run::{Listeners, Tasks, start};
use coltsfootpickd::settings::Settings;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Document that every test fleet runs.
pub const DOCUMENT: &str = include_str!("../../../../samples/tahrir.ini");

/// Settings that every test instance starts from.
pub const SETTINGS: &str = include_str!("../../../../samples/instance.ini");

/// Longest wait for a condition; far above what any condition needs on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Time between heartbeats of every test instance; a silent link ends after four.
pub const BEAT: Duration = Duration::from_millis(100);

/// Address on which nothing listens.
pub const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// One started instance.
pub struct TestInstance {
    pub instance: Arc<Instance>,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    pub tasks: Tasks,
}

/// Stand-ins and instances of one test.
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
    /// Starts `engines` engines, one plain service and `instances` instances, and opens the market.
    pub async fn start(instances: usize, engines: usize) -> Self {
        Self::with_settings(instances, engines, |text| text).await
    }

    /// Same, with the settings text changed first.
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
        fleet.open_market().await;
        fleet
    }

    /// Adds an engine that is listed at once.
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
        eventually("the instance is ready", || shared.lacks().is_empty()).await;
        eventually("the list is read", || shared.board.backends.read().iter().count() > 0).await;
        self.instances.push(instance);
    }

    /// Starts an instance without waiting for it.
    pub async fn start_instance(&self, name: &str) -> TestInstance {
        let mut settings = Settings::parse(&self.settings).unwrap();
        settings.name = name.into();
        settings.callers = ANY_PORT;
        settings.operators = ANY_PORT;
        settings.peers = ANY_PORT;
        settings.log = self.platform_server.address;
        settings.list = self.platform_server.address;
        settings.poll = Duration::from_millis(50);
        settings.beat = BEAT;
        let client = http::client();
        let timeout = settings.platform_timeout;
        let platform =
            Arc::new(HttpPlatform::new(client.clone(), settings.log, settings.list, &settings.name, timeout));
        let borders = Borders {
            log: Arc::<HttpPlatform>::clone(&platform),
            list: platform,
            client,
            clock: Arc::new(SystemClock::default()),
            seed: name.bytes().map(u64::from).sum(),
        };
        let listeners = Listeners::bind(&settings).await.unwrap();
        let callers = listeners.callers.local_addr().unwrap();
        let operators = listeners.operators.local_addr().unwrap();
        let peers = listeners.peers.local_addr().unwrap();
        self.platform.list_server(server(name, FLEET_SERVICE, peers));
        let instance = Instance::new(settings, borders);
        let tasks = start(&instance, listeners);
        TestInstance { instance, callers, operators, peers, tasks }
    }

    /// Closes all links to `index` for good, while its way to the platform stays open.
    pub async fn unlink(&self, index: usize) {
        let name = self.instances[index].instance.settings.name.clone();
        self.platform.list_server(server(&name, FLEET_SERVICE, NOWHERE));
        for other in self.instances.iter().filter(|other| other.instance.settings.name != name) {
            let peers = &other.instance.peers;
            eventually("the list is read", || {
                peers.listed().iter().all(|peer| peer.name != name || peer.address == NOWHERE)
            })
            .await;
            peers.links().iter().filter(|link| link.peer == name).for_each(|link| link.closed.cancel());
            eventually("the link is gone", || !peers.is_linked(&name)).await;
        }
    }

    /// Waits until every instance has a link to every other.
    pub async fn linked(&self) {
        for one in &self.instances {
            for other in &self.instances {
                let (peers, name) = (&one.instance.peers, &other.instance.settings.name);
                if *name != one.instance.settings.name {
                    eventually("the link is open", || peers.is_linked(name)).await;
                }
            }
        }
    }

    async fn open_market(&self) {
        // Bills reach the log soon, so that tests need not wait for a shared append.
        let document = DOCUMENT.replace("settle-delay-ms = 1000", "settle-delay-ms = 50");
        assert_ne!(document, DOCUMENT);
        let trial = TrialOrder { id: "open-1".to_owned(), expected: 0, document };
        assert!(self.order(0, "/v1/environments/tahrir/trial", &trial).await.done);
        let promote = PromoteOrder { id: "open-2".to_owned(), expected: 1 };
        assert!(self.order(0, "/v1/environments/tahrir/promote", &promote).await.done);
        for instance in &self.instances {
            let board = &instance.instance.board;
            eventually("the market is open", || {
                board.environments.read().get(&"tahrir".into()).is_some_and(|known| known.version == 2)
            })
            .await;
        }
    }

    /// Adds tokens to a production budget and waits until every instance has read it.
    pub async fn top_up(&self, account: &str, tokens: u64) {
        let id = format!("top-{account}-{tokens}-{}", self.platform.appends());
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
            let until = tokio::time::Instant::now() + PATIENCE;
            while self.budget(index, account).await.topped != target {
                assert!(tokio::time::Instant::now() < until, "the top-up reached no instance {index}");
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }

    /// Gives an order to one instance.
    pub async fn order(&self, index: usize, path: &str, order: &impl Serialize) -> OrderAnswer {
        let body = serde_json::to_string(order).unwrap();
        let answer = operator().send(self.instances[index].operators, ::http::Method::POST, path, &[], body).await;
        let answer = answer.unwrap();
        serde_json::from_slice(&answer.body).unwrap_or_else(|_| panic!("{path}: {:?}", answer.json()))
    }

    /// Reads a view of one instance.
    pub async fn view<T: DeserializeOwned>(&self, index: usize, path: &str) -> T {
        let answer = operator().send(self.instances[index].operators, ::http::Method::GET, path, &[], "").await;
        serde_json::from_slice(&answer.unwrap().body).unwrap()
    }

    /// One production budget as an instance folded it.
    pub async fn budget(&self, index: usize, account: &str) -> BudgetView {
        let budgets: Vec<BudgetView> = self.view(index, "/v1/budgets").await;
        let found = budgets.into_iter().find(|budget| budget.account == account);
        found.unwrap_or_else(|| empty_budget(account))
    }

    /// Sends a chat request of the large account to one instance.
    pub async fn chat(&self, index: usize, prompt: &str, tokens: u64, stream: bool) -> CallResponse {
        registry().chat(self.instances[index].callers, "plan-review", prompt, tokens, stream).await.unwrap()
    }

    /// Sends an apply of the large account to one instance.
    pub async fn apply(&self, index: usize, key: &str) -> CallResponse {
        registry().apply(self.instances[index].callers, "migration", key).await.unwrap()
    }

    /// Tokens that all engines produced, prompts included.
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

/// Caller of the large account.
pub fn registry() -> Caller {
    Caller::new("tahrir:registry:large-key")
}

/// Operator of the sample settings.
pub fn operator() -> Caller {
    Caller::new("nadia:operator-key")
}

/// Entry of the instance list.
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

/// Lets every server take work at once again, which leaves the budget as the only limit.
pub fn forgive(instance: &Instance) {
    let mut backends = instance.board.backends.write();
    let known: Vec<_> = backends.iter().map(|s| (s.listed.service.clone(), s.listed.name.clone())).collect();
    for (service, name) in known {
        if let Some(server) = backends.find_mut(&service, &name) {
            server.ejected_until = coltsfootpick_core::units::Instant::default();
        }
    }
}

/// Waits until `holds` is true.
pub async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let until = tokio::time::Instant::now() + PATIENCE;
    while !holds() {
        assert!(tokio::time::Instant::now() < until, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
