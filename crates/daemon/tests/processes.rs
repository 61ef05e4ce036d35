//! Daemon processes over loopback that are killed, paused, stopped, or lose the log.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use coltsfootpick_testkit::caller::{CallFailed, CallResponse};
use coltsfootpick_testkit::engine::{Engine, EngineConfig, token};
use coltsfootpick_testkit::plain_service::PlainService;
use coltsfootpick_testkit::platform::Platform;
use coltsfootpick_testkit::ports;
use coltsfootpick_testkit::server::{ANY_PORT, RunningServer};
use coltsfootpick_wire::operators::{BudgetView, OrderResponse};
use common::{CONDITION_TIMEOUT, DOCUMENT, SETTINGS, operator, registry, server};
use http::Method;
use serde_json::json;

struct Daemon {
    child: Child,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    settings: PathBuf,
}

impl Daemon {
    fn start(name: &str, platform: SocketAddr, drain: &str) -> Self {
        let [caller_address, operator_address, peer_address] = free_addresses();
        let text = SETTINGS
            .replace("name = tunis-1", &format!("name = {name}"))
            .replace("127.0.0.1:8080", &caller_address.to_string())
            .replace("127.0.0.1:8081", &operator_address.to_string())
            .replace("127.0.0.1:8082", &peer_address.to_string())
            .replace("127.0.0.1:9000", &platform.to_string())
            .replace("poll-ms = 500", "poll-ms = 50")
            .replace("drain-ms = 30000", &format!("drain-ms = {drain}"));
        let settings = std::env::temp_dir().join(format!("coltsfootpick-{}-{caller_address}.ini", std::process::id()));
        std::fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_coltsfootpickd"))
            .arg("--config")
            .arg(&settings)
            .stderr(Stdio::from(std::fs::File::create(settings.with_extension("log")).unwrap()))
            .spawn()
            .unwrap();
        Self { child, caller_address, operator_address, settings }
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status().unwrap();
        assert!(status.success());
    }

    /// Waits until the daemon exits, and returns its exit code and log lines.
    async fn wait_for_exit(&mut self) -> (Option<i32>, String) {
        let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
        let status = loop {
            match self.child.try_wait().unwrap() {
                Some(status) => break status,
                None => assert!(tokio::time::Instant::now() < deadline, "the daemon does not exit"),
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        let lines = std::fs::read_to_string(self.settings.with_extension("log")).unwrap();
        for secret in ["long plan", "large-key", "operator-key", "6b0f2a3c5d7e8f90"] {
            assert!(!lines.contains(secret), "the log contains {secret}");
        }
        assert!(lines.contains("CP0200"), "the log lacks the placements");
        (status.code(), lines)
    }

    /// Waits until the daemon is ready; fails with its log lines if it exits before.
    async fn wait_until_ready(&mut self) {
        let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
        while get_status(self.caller_address, "/readyz").await != Some(200) {
            let ended = self.child.try_wait().unwrap();
            let log_lines = || std::fs::read_to_string(self.settings.with_extension("log")).unwrap();
            assert!(ended.is_none(), "the daemon exited with {ended:?}: {}", log_lines());
            assert!(tokio::time::Instant::now() < deadline, "not in time: ready: {}", log_lines());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn order(&self, path: &str, body: serde_json::Value) -> CallResponse {
        operator().send(self.operator_address, Method::POST, path, &[], body.to_string()).await.unwrap()
    }

    async fn budget(&self) -> BudgetView {
        let answer = operator().send(self.operator_address, Method::GET, "/v1/budgets", &[], "").await.unwrap();
        let budgets: Vec<BudgetView> = serde_json::from_slice(&answer.body).unwrap();
        budgets.into_iter().find(|budget| budget.account == "registry").unwrap()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(self.settings.with_extension("log"));
    }
}

fn free_addresses() -> [SocketAddr; 3] {
    [(); 3].map(|()| SocketAddr::from(([127, 0, 0, 1], ports::reserve().expect("a port is free"))))
}

/// Simulated platform, one engine and one plain service, and the daemon processes of one test.
struct ProcessFleet {
    platform: Platform,
    engine: Engine,
    plain: PlainService,
    daemons: Vec<Daemon>,
    platform_server: RunningServer,
    _servers: [RunningServer; 2],
}

impl ProcessFleet {
    async fn start(daemons: usize) -> Self {
        Self::with_drain(daemons, "30000").await
    }

    async fn with_drain(daemons: usize, drain: &str) -> Self {
        let platform = Platform::default();
        let platform_server = RunningServer::start(ANY_PORT, platform.router()).await.unwrap();
        let engine = Engine::start(EngineConfig::default());
        let engine_server = RunningServer::start(ANY_PORT, engine.router()).await.unwrap();
        let plain = PlainService::default();
        let plain_server = RunningServer::start(ANY_PORT, plain.router()).await.unwrap();
        platform.list_server(server("engine-1", "plan-review", engine_server.address));
        platform.list_server(server("runner-1", "migration", plain_server.address));
        let address = platform_server.address;
        let daemons: Vec<Daemon> =
            (0..daemons).map(|index| Daemon::start(&format!("d-{index}"), address, drain)).collect();
        let mut fleet =
            Self { platform, engine, plain, daemons, platform_server, _servers: [engine_server, plain_server] };
        for daemon in &mut fleet.daemons {
            daemon.wait_until_ready().await;
        }
        fleet.prepare().await;
        fleet
    }

    /// Promotes the document, tops up the large account and waits until every daemon serves it.
    async fn prepare(&self) {
        let first = &self.daemons[0];
        let trial = json!({ "id": "1", "expected": 0, "document": DOCUMENT });
        assert_eq!(first.order("/v1/environments/tahrir/trial", trial).await.status, 200);
        let promote = json!({ "id": "2", "expected": 1 });
        assert_eq!(first.order("/v1/environments/tahrir/promote", promote).await.status, 200);
        self.top_up("3", 100_000).await;
        for daemon in &self.daemons {
            eventually("requests are served", || async {
                let answer = registry().chat(daemon.caller_address, "plan-review", "warm", 1, false).await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
    }

    async fn top_up(&self, id: &str, tokens: u64) {
        let order = json!({
            "id": id, "environment": "tahrir", "stage": "production", "account": "registry", "tokens": tokens,
        });
        let answer = self.daemons[0].order("/v1/budgets/top-up", order).await;
        let order_answer: OrderResponse = serde_json::from_slice(&answer.body).unwrap();
        assert!(order_answer.done);
    }

    fn spawn_chat(
        &self,
        index: usize,
        prompt: &str,
        tokens: u64,
    ) -> tokio::task::JoinHandle<Result<CallResponse, CallFailed>> {
        let (address, prompt) = (self.daemons[index].caller_address, prompt.to_owned());
        tokio::spawn(async move { registry().chat(address, "plan-review", &prompt, tokens, true).await })
    }

    fn produced(&self) -> u64 {
        self.engine.request_usage().values().map(|produced| (produced.prompt + produced.completion) as u64).sum()
    }
}

async fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let answer = registry().send(address, Method::GET, path, &[], "").await.ok()?;
    Some(answer.status.as_u16())
}

async fn eventually<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let deadline = tokio::time::Instant::now() + CONDITION_TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < deadline, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_mid_stream() {
    let mut fleet = ProcessFleet::start(2).await;
    let chat = fleet.spawn_chat(1, "long plan", 500);
    eventually("the engine produces tokens", || async { fleet.produced() > 60 }).await;
    fleet.daemons[1].child.kill().unwrap();
    let outcome = chat.await.unwrap();
    assert!(outcome.map_or(true, |answer| !answer.is_complete()), "the killed instance returned a complete answer");
    let before = fleet.daemons[0].budget().await;
    let holding =
        before.holdings.iter().find(|holding| holding.instance == "d-1").expect("the killed instance holds credit");
    let close = json!({ "instance": "d-1", "run": holding.run });
    assert_eq!(fleet.daemons[0].order("/v1/incarnations/close", close).await.status, 200);
    let budget = fleet.daemons[0].budget().await;
    assert!(budget.doubt > 0, "the credit of the killed instance is not in doubt");
    assert_eq!(budget.topped, budget.free + budget.granted + budget.spent + budget.doubt);
    let again = fleet.spawn_chat(0, "long plan", 20).await.unwrap().unwrap();
    assert!(again.is_complete(), "the other instance does not serve");
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_holder() {
    let fleet = ProcessFleet::start(2).await;
    let paused = &fleet.daemons[1];
    let chat = fleet.spawn_chat(1, "paused plan", 400);
    eventually("the engine produces tokens", || async { fleet.produced() > 60 }).await;
    paused.signal("STOP");
    let run = {
        let before = fleet.daemons[0].budget().await;
        let holding = before.holdings.iter().find(|holding| holding.instance == "d-1").cloned();
        holding.expect("the paused instance holds credit").run
    };
    let close = json!({ "instance": "d-1", "run": run });
    assert_eq!(fleet.daemons[0].order("/v1/incarnations/close", close).await.status, 200);
    let closed = fleet.daemons[0].budget().await;
    assert!(closed.doubt > 0, "the credit of the paused instance is not in doubt");
    paused.signal("CONT");
    let answer = chat.await.unwrap().unwrap();
    assert!(answer.is_complete(), "the paused instance did not continue with its credit");
    let request = answer.request_id.clone().unwrap();
    let text: String = (0..400).map(|index| token(&request, index)).collect();
    assert_eq!(answer.text(), text, "a token was lost, repeated or reordered");
    eventually("the late bill and the returned credit are read back", || async {
        let budget = fleet.daemons[0].budget().await;
        budget.doubt == 0 && budget.spent == fleet.produced()
    })
    .await;
    let end = fleet.daemons[0].budget().await;
    assert_eq!(end.overspent, 0);
    assert_eq!(end.topped, end.free + end.granted + end.spent);
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_under_load() {
    let mut fleet = ProcessFleet::start(2).await;
    let chats: Vec<_> = (0..8).map(|index| fleet.spawn_chat(1, &format!("plan {index}"), 120)).collect();
    eventually("the engine produces tokens", || async { fleet.engine.request_usage().len() >= 10 }).await;
    fleet.daemons[1].signal("TERM");
    eventually("the instance is no longer ready", || async {
        get_status(fleet.daemons[1].caller_address, "/readyz").await != Some(200)
    })
    .await;
    for chat in chats {
        assert!(chat.await.unwrap().unwrap().is_complete(), "a planned stop cut a request off");
    }
    let status = fleet.daemons[1].child.wait().unwrap();
    assert_eq!(status.code(), Some(0));
    let budget = fleet.daemons[0].budget().await;
    assert!(budget.holdings.iter().all(|holding| holding.instance != "d-1"), "unspent credit was not returned");
}

#[tokio::test(flavor = "multi_thread")]
async fn top_up_during_outage() {
    let fleet = ProcessFleet::start(2).await;
    fleet.platform.set_faults(|faults| faults.down = true);
    let order = json!({
        "id": "late", "environment": "tahrir", "stage": "production", "account": "registry", "tokens": 5_000,
    });
    let (address, body) = (fleet.daemons[0].operator_address, order.to_string());
    let pending =
        tokio::spawn(
            async move { operator().send(address, Method::POST, "/v1/budgets/top-up", &[], body).await.unwrap() },
        );
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.platform.set_faults(|faults| {
        faults.down = false;
        faults.lose_answers = 1;
    });
    let answer = pending.await.unwrap();
    let body = answer.json();
    assert!(body["done"] == json!(true) || body["run"] == json!("may-have-run"), "{body}");
    let again = fleet.daemons[1].order("/v1/budgets/top-up", order).await;
    assert_eq!(again.json()["done"], json!(true), "the repeat of the order was not accepted");
    eventually("the top-up is counted once", || async { fleet.daemons[1].budget().await.topped == 105_000 }).await;
    assert!(fleet.platform_server.address.port() > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_while_paused() {
    let fleet = ProcessFleet::start(2).await;
    fleet.plain.set_faults(|faults| faults.delay_ms = 300);
    let address = fleet.daemons[1].caller_address;
    let first = tokio::spawn(async move { registry().apply(address, "migration", "ticket-9").await });
    eventually("the call runs", || async { fleet.plain.run_count("ticket-9") == 1 }).await;
    fleet.daemons[1].signal("STOP");
    let second = registry().apply(fleet.daemons[0].caller_address, "migration", "ticket-9").await.unwrap();
    assert_eq!((second.status.as_u16(), second.run_status()), (409, "may-have-run".to_owned()));
    fleet.daemons[1].signal("CONT");
    assert_eq!(first.await.unwrap().unwrap().status, 200);
    eventually("the answer is known everywhere", || async {
        let again = registry().apply(fleet.daemons[0].caller_address, "migration", "ticket-9").await.unwrap();
        again.status == 200
    })
    .await;
    assert_eq!(fleet.plain.run_count("ticket-9"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_timeout() {
    let mut fleet = ProcessFleet::with_drain(1, "300").await;
    let chat = fleet.spawn_chat(0, "long plan", 500);
    eventually("the engine produces tokens", || async { fleet.produced() > 60 }).await;
    fleet.daemons[0].signal("TERM");
    let (code, lines) = fleet.daemons[0].wait_for_exit().await;
    assert_eq!(code, Some(4));
    assert!(lines.contains("CP0103 open=1"), "the log does not say how many requests were aborted");
    assert!(chat.await.unwrap().map_or(true, |answer| !answer.is_complete()));
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal() {
    let mut fleet = ProcessFleet::start(1).await;
    let chat = fleet.spawn_chat(0, "long plan", 500);
    eventually("the engine produces tokens", || async { fleet.produced() > 60 }).await;
    fleet.daemons[0].signal("TERM");
    eventually("the instance is no longer ready", || async {
        get_status(fleet.daemons[0].caller_address, "/readyz").await == Some(503)
    })
    .await;
    fleet.daemons[0].signal("TERM");
    let (code, lines) = fleet.daemons[0].wait_for_exit().await;
    assert_eq!(code, Some(4));
    assert!(lines.contains("CP0103 open=1"), "the log does not say how many requests were aborted");
    assert!(chat.await.unwrap().map_or(true, |answer| !answer.is_complete()));
}
