//! Harness that runs one instance's request handling over an in-memory store and scripted servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::headroom::CeilingPolicy;
use coltsfootpick_core::home_regions::HomeRegions;
use coltsfootpick_core::routes::{AccountSpec, CallerLimits, EngineSpec, RepeatPolicy, Route, RouteTable, ServiceSpec};
use coltsfootpick_core::selection::{Generation, Location};
use coltsfootpick_core::units::Tokens;
use coltsfootpick_serving::blackboard::{Blackboard, InstanceSpec};
use coltsfootpick_serving::counted_log::CountedLog;
use coltsfootpick_serving::credit_controller::CreditController;
use coltsfootpick_serving::forward_server::ForwardServer;
use coltsfootpick_serving::forwarder::Forwarder;
use coltsfootpick_serving::interfaces::{KeyedLog, Topic};
use coltsfootpick_serving::list_progress::ListProgress;
use coltsfootpick_serving::observations;
use coltsfootpick_serving::path_controller::PathController;
use coltsfootpick_serving::request::CallerRequest;
use coltsfootpick_serving::request_handler::RequestHandler;
use coltsfootpick_serving::retry_share::RetryLimit;
use coltsfootpick_serving::server_controller::ServerController;
use coltsfootpick_serving::servers::ServerEntry;
use coltsfootpick_serving::stream_registry::StreamRegistry;
use coltsfootpick_serving::topic_reader::{PollPolicy, follow};
use http::Method;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::keyed_store::KeyedStore;
use crate::plain_protocol::{PlainProtocol, test_location};

/// Client account of every request.
pub const ACCOUNT: &str = "clinic";

/// Tokens that the client account has paid for.
pub const PREPAID: u64 = 1_000_000;

/// Instance without listeners; its background tasks run until `stop` is cancelled.
#[derive(Debug)]
pub struct RequestHarness {
    /// Handles requests as the instance does.
    pub handler: RequestHandler,
    /// Ends the background tasks when it is cancelled.
    pub stop: CancellationToken,
}

/// Route of the path prefix `/NAME/`.
pub fn route(name: &str, repeat: RepeatPolicy, streams: bool, max_attempts: u32) -> Route {
    Route {
        name: name.into(),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        split: vec![("service".into(), 1)],
        repeat,
        streams,
        timeout: Duration::from_millis(1_200),
        latency_objective: Duration::from_millis(200),
        rank: 1,
        max_attempts,
        public: false,
        pause_objective: None,
        homes: HomeRegions::default(),
    }
}

/// Route table with `read` (idempotent), `apply` (at most once), `ask` (at-most-once stream) and `explain` (resumable
/// stream).
pub fn route_table(version: u64, prepaid: u64) -> RouteTable {
    let mut table = RouteTable::new(
        version,
        CallerLimits {
            body_bytes: 1 << 20,
            idle_timeout: Duration::from_secs(15),
            head_bytes: None,
            head_timeout: None,
        },
    );
    table.add_route(route("read", RepeatPolicy::Idempotent, false, 2));
    table.add_route(route("apply", RepeatPolicy::AtMostOnce, false, 1));
    table.add_route(route("ask", RepeatPolicy::AtMostOnce, true, 1));
    table.add_route(route("explain", RepeatPolicy::Resumable, true, 2));
    let engines = Some(EngineSpec { slots: 8, kv_capacity: Tokens(100_000), event_tokens: 5 });
    table.add_service(ServiceSpec { name: "service".into(), connections: 600, engines, cold: None });
    let account =
        AccountSpec { name: ACCOUNT.into(), rank: None, prepaid: Some(Tokens(prepaid)), homes: HomeRegions::default() };
    table.add_account(account, [Arc::from("key")]);
    table
}

impl RequestHarness {
    /// Starts the instance `name` over `store`, with backend servers `a`, `b` and so on at the addresses `servers`.
    pub fn start(name: &str, store: &KeyedStore, servers: &[SocketAddr]) -> Self {
        Self::with_link_rate(name, store, servers, None)
    }

    /// Starts the instance as [`Self::start`] does, with a network link that carries `link_rate` bytes per second.
    pub fn with_link_rate(name: &str, store: &KeyedStore, servers: &[SocketAddr], link_rate: Option<f64>) -> Self {
        Self::start_instance(InstanceSpec { link_rate, ..instance_spec(name, test_location()) }, store, servers)
    }

    /// Starts the instance as [`Self::start`] does, at `location`.
    pub fn at(name: &str, store: &KeyedStore, servers: &[SocketAddr], location: Location) -> Self {
        Self::start_instance(instance_spec(name, location), store, servers)
    }

    fn start_instance(instance: InstanceSpec, store: &KeyedStore, servers: &[SocketAddr]) -> Self {
        let name = Arc::clone(&instance.name);
        let board = Blackboard::new(instance);
        board.install_routes(route_table(1, PREPAID));
        for (address, letter) in servers.iter().zip('a'..) {
            board.servers.put(server_entry(&letter.to_string(), *address));
        }
        board.mark_servers_listed();
        board.server_list.note(ListProgress { position: store.end(Topic::Servers), complete_since: Instant::now() });
        board.mark_fleet_listed();
        let holder: Arc<str> = format!("{name}/{:x}", rand::random::<u32>()).into();
        let policy = CeilingPolicy::default();
        let counted = CountedLog::new(store.clone(), Arc::clone(&board));
        let controller = CreditController::new(Arc::clone(&board), Arc::new(counted), holder, policy);
        let stop = CancellationToken::new();
        tokio::spawn(Arc::clone(&controller).run(stop.clone()));
        tokio::spawn(Arc::clone(&controller).settle_loans(stop.clone()));
        observations::start(&board, &(Arc::new(store.clone()) as Arc<dyn KeyedLog>), &stop);
        let shared: Arc<dyn KeyedLog> = Arc::new(CountedLog::new(store.clone(), Arc::clone(&board)));
        let streams =
            StreamRegistry::new(Arc::clone(&board), shared, Arc::new(PlainProtocol), Arc::clone(controller.holder()));
        tokio::spawn(Arc::clone(&streams).run(stop.clone()));
        let protocol = Arc::new(PlainProtocol);
        let forwarder = Forwarder::new(Arc::clone(&board), Arc::<PlainProtocol>::clone(&protocol));
        tokio::spawn(Arc::clone(&forwarder).run(stop.clone()));
        tokio::spawn(PathController::new(Arc::clone(&board), Arc::clone(&forwarder)).run(stop.clone()));
        Self { handler: RequestHandler { board, credit: controller, streams, protocol, forwarder }, stop }
    }

    /// Starts to take forwarded requests, and returns the address.
    pub async fn take_forwards(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let server = ForwardServer::new(self.handler.clone(), Arc::new(PlainProtocol));
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(server.run(listener)));
        address
    }

    /// Makes the instance know a peer that takes forwarded requests at `address`.
    pub fn add_peer(&self, name: &str, address: SocketAddr) {
        self.handler.forwarder.add(&name.into(), &test_location().zone, address);
    }

    /// Starts to follow the list of backend servers in `store`, until the token is cancelled.
    pub fn follow_servers(&self, store: &KeyedStore) -> CancellationToken {
        let stop = self.stop.child_token();
        let counted = CountedLog::new(store.clone(), Arc::clone(&self.handler.board));
        let servers = ServerController::new(Arc::clone(&self.handler.board), Arc::new(PlainProtocol));
        let policy = PollPolicy { max_wait: Duration::from_millis(500), batch_pause: Duration::from_millis(50) };
        tokio::spawn(follow(Arc::new(counted), Topic::Servers, policy, servers, stop.clone()));
        stop
    }

    /// Waits until the instance has credit for the account.
    ///
    /// # Panics
    ///
    /// Panics when there is none after 10 s.
    pub async fn wait_for_credit(&self) {
        let has_credit = || !self.handler.credit.account_usage(&ACCOUNT.into()).2.is_zero();
        for _ in 0..200 {
            if has_credit() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the instance has no credit after 10 s");
    }
}

fn instance_spec(name: &str, location: Location) -> InstanceSpec {
    let retries = RetryLimit { ratio: 0.2, slack: 52 };
    InstanceSpec { name: name.into(), location, retries, link_rate: None, capacity: 0 }
}

/// Listing of a backend server of the harness's service.
pub fn server_entry(name: &str, address: SocketAddr) -> ServerEntry {
    ServerEntry {
        name: name.into(),
        service: "service".into(),
        address,
        location: test_location(),
        slots: 8,
        leaving: false,
        started_at: Some(1),
        weights: 1,
        version: "v1".into(),
        cold_left: None,
    }
}

/// Request for `/ROUTE/x` with the account's API key; on streaming routes, it also states the size of its generation.
pub fn request(route: &str) -> CallerRequest {
    let generation = matches!(route, "ask" | "explain").then(|| Generation {
        prompt: Tokens(100),
        output: Tokens(50),
        parts: Vec::new(),
    });
    CallerRequest {
        id: format!("id-{:x}", rand::random::<u64>()).into(),
        method: Method::POST,
        host: "host".into(),
        target: format!("/{route}/x").into(),
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::from_static(b"body"),
        api_key: Some("key".into()),
        timeout: Some(Duration::from_secs(3)),
        generation,
        resumed: None,
        arrived: Instant::now(),
    }
}
