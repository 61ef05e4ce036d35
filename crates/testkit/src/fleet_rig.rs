//! One instance's request path over a store in memory and scripted servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::CeilingPolicy;
use coltsfootpick_core::routes::{Account, CallerLimits, EngineSpec, RepeatPolicy, Route, RouteTable, ServiceSpec};
use coltsfootpick_core::selection::Generation;
use coltsfootpick_core::units::Tokens;
use coltsfootpick_serving::blackboard::{Blackboard, InstanceSpec, RetryLimit};
use coltsfootpick_serving::credit_controller::CreditController;
use coltsfootpick_serving::request::CallerRequest;
use coltsfootpick_serving::request_handler::RequestHandler;
use coltsfootpick_serving::servers::ServerEntry;
use http::Method;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::fleet_dialect::{PlainDialect, home};
use crate::keyed_store::KeyedStore;

/// Account of the rig.
pub const ACCOUNT: &str = "clinic";

/// What it paid for.
pub const PREPAID: u64 = 1_000_000;

/// One instance.
#[derive(Debug)]
pub struct Rig {
    /// Its request path.
    pub path: RequestHandler,
    /// Ends its tasks.
    pub stop: CancellationToken,
}

/// Route `/NAME/` of the rig.
pub fn route(name: &str, repeat: RepeatPolicy, streams: bool, attempts: u32) -> Route {
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
        max_attempts: attempts,
        public: false,
    }
}

/// Table with the routes `read` (idempotent), `apply` (once), `ask` (stream, once) and `explain` (stream, resumable).
pub fn table(version: u64, prepaid: u64) -> RouteTable {
    let mut table = RouteTable::new(version, CallerLimits { body_bytes: 1 << 20, idle: Duration::from_secs(15) });
    table.add_route(route("read", RepeatPolicy::Idempotent, false, 2));
    table.add_route(route("apply", RepeatPolicy::AtMostOnce, false, 1));
    table.add_route(route("ask", RepeatPolicy::AtMostOnce, true, 1));
    table.add_route(route("explain", RepeatPolicy::Resumable, true, 2));
    let engines = Some(EngineSpec { slots: 8, kv_capacity: Tokens(100_000), event_tokens: 5 });
    table.add_service(ServiceSpec { name: "service".into(), connections: 600, engines });
    let account = Account { name: ACCOUNT.into(), rank: None, prepaid: Some(Tokens(prepaid)) };
    table.add_account(account, [Arc::from("key")]);
    table
}

impl Rig {
    /// Instance `name` over `store`, with servers `a`, `b` and so on at `servers`.
    pub fn start(name: &str, store: &KeyedStore, servers: &[SocketAddr]) -> Self {
        Self::with_link(name, store, servers, None)
    }

    /// Same, with a network link that carries `link_rate` bytes a second.
    pub fn with_link(name: &str, store: &KeyedStore, servers: &[SocketAddr], link_rate: Option<f64>) -> Self {
        let retries = RetryLimit { ratio: 0.2, slack: 52 };
        let instance = InstanceSpec { name: name.into(), location: home(), retries, link_rate };
        let board = Blackboard::new(instance);
        board.install_routes(table(1, PREPAID));
        for (address, letter) in servers.iter().zip('a'..) {
            board.servers.put(entry(&letter.to_string(), *address));
        }
        board.mark_servers_listed();
        let holder: Arc<str> = format!("{name}/{:x}", rand::random::<u32>()).into();
        let policy = CeilingPolicy::default();
        let controller = CreditController::new(Arc::clone(&board), Arc::new(store.clone()), holder, policy);
        let stop = CancellationToken::new();
        tokio::spawn(Arc::clone(&controller).run(stop.clone()));
        Self { path: RequestHandler { board, credit: controller, protocol: Arc::new(PlainDialect) }, stop }
    }

    /// Waits until the account has room.
    pub async fn ready(&self) {
        let has_room = || !self.path.credit.account_usage(&ACCOUNT.into()).2.is_zero();
        for _ in 0..200 {
            if has_room() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the instance got no credit");
    }
}

/// Entry of a server of the rig's service.
pub fn entry(name: &str, address: SocketAddr) -> ServerEntry {
    ServerEntry {
        name: name.into(),
        service: "service".into(),
        address,
        location: home(),
        slots: 8,
        leaving: false,
        started_at: Some(1),
    }
}

/// Request for `/ROUTE/x` with the rig's key, and a generation on the routes that stream.
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
        arrived: Instant::now(),
    }
}
