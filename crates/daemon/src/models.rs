//! Background task that claims the right to order models on the log and, as its owner, orders engines to load them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::document::ServiceKind;
use coltsfootpick_core::models::{ModelOrder, ModelServer, ModelSpec, Planner, WantedModel};
use coltsfootpick_core::names::{BackendServerName, Incarnation, ServiceName};
use coltsfootpick_core::ownership::{Ownership, OwnershipOutcome, OwnershipRecord, OwnershipWatch};
use coltsfootpick_core::units::{Instant, Offset};
use coltsfootpick_wire::envelope::{decode_ownership, encode_ownership};
use coltsfootpick_wire::platform::EngineOrder;
use http::{HeaderValue, Method, StatusCode, header};

use crate::event;
use crate::events::Event;
use crate::http::{call, read_body, request};
use crate::instance::Instance;
use crate::platform::LogError;

/// Timeout for reading one engine's loaded model, and for sending it an order.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);

const MODELS_MAX_BYTES: usize = 64 << 10;

/// Number of heartbeats that an owner of the claim writes within the silence timeout after which it is replaced.
const HEARTBEATS_PER_SILENCE: u32 = 4;

/// Plans and orders models until the instance stops. Idle while no service names a model.
pub async fn order_models(instance: Arc<Instance>) {
    let holder = Incarnation { instance: instance.settings.name.clone(), run: instance.random_u64() };
    let mut controller = ModelController {
        holder,
        ownership: Ownership::default(),
        watch: OwnershipWatch::default(),
        plan: None,
        last_heartbeat: None,
    };
    let mut interval = tokio::time::interval(instance.settings.poll_interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        let wanted = wanted(&instance);
        if wanted.is_empty() || instance.draining.is_cancelled() {
            continue;
        }
        if controller.read(&instance).await.is_ok() {
            controller.run_round(&instance, &wanted).await;
        }
    }
}

/// Returns the models that the promoted documents want loaded. If two environments define the same service, the first
/// by name applies.
fn wanted(instance: &Instance) -> BTreeMap<ServiceName, WantedModel> {
    let environments = Arc::clone(&instance.board.environments.read());
    let mut all = BTreeMap::new();
    for (_, environment) in environments.iter() {
        for (name, service) in environment.production.iter().flat_map(|document| &document.services) {
            if let ServiceKind::Engine { wanted: Some(wanted), .. } = &service.kind {
                all.entry(name.clone()).or_insert_with(|| wanted.clone());
            }
        }
    }
    all
}

/// Ownership state and plan of this instance.
struct ModelController {
    holder: Incarnation,
    ownership: Ownership,
    watch: OwnershipWatch,
    plan: Option<(Offset, Planner)>,
    last_heartbeat: Option<Instant>,
}

impl ModelController {
    /// Reads the stream to its end, so that no order is sent under a claim that is already known to be superseded.
    async fn read(&mut self, instance: &Instance) -> Result<(), LogError> {
        loop {
            let stream = Ownership::STREAM.to_owned();
            match instance.deps.log.read(stream, self.ownership.next, Duration::ZERO).await {
                Ok(records) if records.is_empty() => return Ok(()),
                Ok(records) => records.iter().for_each(|record| self.apply(record.offset, &record.bytes)),
                Err(LogError::Trimmed(first)) => self.ownership.next = first,
                Err(error) => return Err(error),
            }
        }
    }

    fn apply(&mut self, offset: Offset, bytes: &[u8]) {
        match decode_ownership(bytes) {
            Ok(record) => {
                let outcome = self.ownership.apply(offset, &record);
                if let (OwnershipRecord::Claim { holder, .. }, OwnershipOutcome::Taken) = (&record, outcome) {
                    event!(Event::ModelsClaimed, "offset={offset} holder={holder}");
                }
            }
            Err(error) => {
                self.ownership.skip(offset);
                event!(Event::RecordSkipped, "stream={} offset={offset} error={error}", Ownership::STREAM);
            }
        }
    }

    /// Sends a heartbeat and orders as the owner of the claim; otherwise claims if there is no owner or it is silent.
    async fn run_round(&mut self, instance: &Instance, wanted: &BTreeMap<ServiceName, WantedModel>) {
        let now = instance.deps.clock.now();
        let silence = instance.settings.silence_timeout;
        match self.ownership.owner() {
            Some(owner) if owner.holder == self.holder => {
                let token = owner.token;
                self.send_heartbeat(instance, token, now).await;
                self.send_orders(instance, token, now, wanted).await;
            }
            _ => {
                self.plan = None;
                if let Some(claim) = self.watch.next_claim(&self.ownership, &self.holder, now, silence) {
                    append(instance, &claim).await;
                }
            }
        }
    }

    async fn send_heartbeat(&mut self, instance: &Instance, token: Offset, now: Instant) {
        let interval = instance.settings.silence_timeout / HEARTBEATS_PER_SILENCE;
        if self.last_heartbeat.is_some_and(|last| now.since(last) < interval) {
            return;
        }
        self.last_heartbeat = Some(now);
        append(instance, &OwnershipRecord::Heartbeat { holder: self.holder.clone(), token }).await;
    }

    async fn send_orders(
        &mut self,
        instance: &Instance,
        token: Offset,
        now: Instant,
        wanted: &BTreeMap<ServiceName, WantedModel>,
    ) {
        let targets = targets(instance, wanted);
        let reads = targets.iter().map(|target| fetch_state(instance, target));
        let servers = futures_util::future::join_all(reads).await;
        let (_, planner) = match self.plan.take() {
            Some(plan) if plan.0 == token => self.plan.insert(plan),
            _ => self.plan.insert((token, Planner::new(now, instance.settings.load_rate))),
        };
        let orders = planner.orders(now, token, wanted, &servers);
        let sends = orders.iter().filter_map(|order| {
            let target = targets.iter().find(|target| target.name == order.server)?;
            Some(send_order(instance, target.address, order))
        });
        futures_util::future::join_all(sends).await;
    }
}

async fn append(instance: &Instance, record: &OwnershipRecord) {
    instance.metrics.log_appends.inc();
    let appended = instance.deps.log.append(Ownership::STREAM.to_owned(), encode_ownership(record)).await;
    if let Err(error) = appended {
        event!(Event::LogUnavailable, "stream={} error={error}", Ownership::STREAM);
    }
}

/// Engine that may receive an order.
#[derive(Debug)]
struct OrderTarget {
    name: BackendServerName,
    service: ServiceName,
    address: SocketAddr,
    load: u32,
}

fn targets(instance: &Instance, wanted: &BTreeMap<ServiceName, WantedModel>) -> Vec<OrderTarget> {
    let backends = instance.board.backends.read();
    let wanted_servers =
        backends.iter().filter(|server| !server.leaving && wanted.contains_key(&server.listed.service));
    let targets = wanted_servers.map(|server| OrderTarget {
        name: server.listed.name.clone(),
        service: server.listed.service.clone(),
        address: server.listed.address,
        load: server.load(),
    });
    targets.collect()
}

async fn fetch_state(instance: &Instance, target: &OrderTarget) -> ModelServer {
    let loaded = fetch_loaded(instance, target.address).await;
    ModelServer { name: target.name.clone(), service: target.service.clone(), loaded, load: target.load }
}

/// Returns what the engine has loaded, `Some(None)` if that is nothing; `None` if the engine gives no valid answer.
async fn fetch_loaded(instance: &Instance, address: SocketAddr) -> Option<Option<ModelSpec>> {
    let request = request(Method::GET, address, "/models", Bytes::new());
    let answer = call(&instance.deps.client, address, request, ENGINE_TIMEOUT).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    let body = read_body(answer.into_body(), MODELS_MAX_BYTES, ENGINE_TIMEOUT).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Sends one order. The answer is only logged, because the next round reads the engine's state.
async fn send_order(instance: &Instance, address: SocketAddr, order: &ModelOrder) {
    let body = EngineOrder { token: order.token.0, want: order.target.clone() };
    let Ok(bytes) = serde_json::to_vec(&body) else { return };
    let mut request = request(Method::POST, address, "/orders", bytes.into());
    request.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let answer = call(&instance.deps.client, address, request, ENGINE_TIMEOUT).await;
    let status = answer.map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
    let ModelSpec { model, version, adapters } = &order.target;
    event!(
        Event::ModelOrdered,
        "server={} token={} model={model} version={version} adapters={adapters:?} answer={status:?}",
        order.server,
        order.token
    );
}
