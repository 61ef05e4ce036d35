//! Task that claims the ordering of models on the log and, as owner, carries out the plan.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::claims::{ClaimOutcome, ClaimRecord, ClaimWatch, Claims};
use coltsfootpick_core::document::ServiceKind;
use coltsfootpick_core::models::{LoadedModel, ModelOrder, ModelServer, Planner, WantedModel};
use coltsfootpick_core::names::{BackendServerName, Incarnation, ServiceName};
use coltsfootpick_core::units::{Instant, Offset};
use coltsfootpick_wire::envelope::{decode_claim, encode_claim};
use coltsfootpick_wire::platform::EngineOrder;
use http::{HeaderValue, Method, StatusCode, header};

use crate::event;
use crate::events::Event;
use crate::http::{call, read_body, request};
use crate::instance::Instance as Shared;
use crate::platform::LogError;

/// Time to read one engine's state back or to give it an order.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);

const MODELS_MAX_BYTES: usize = 64 << 10;

/// Beats of an owner within the silence after which it is replaced.
const BEATS: u32 = 4;

/// Plans and orders models until the instance stops; without a service that names a model it does nothing.
pub async fn order_models(instance: Arc<Shared>) {
    let holder = Incarnation { instance: instance.settings.name.clone(), run: instance.random_u64() };
    let mut work = Work { holder, claims: Claims::default(), watch: ClaimWatch::default(), plan: None, beat: None };
    let mut interval = tokio::time::interval(instance.settings.poll_interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        let wanted = wanted(&instance);
        if wanted.is_empty() || instance.draining.is_cancelled() {
            continue;
        }
        if work.read(&instance).await.is_ok() {
            work.round(&instance, &wanted).await;
        }
    }
}

/// What the promoted documents want loaded; of two that name one service, the first by name counts.
fn wanted(instance: &Shared) -> BTreeMap<ServiceName, WantedModel> {
    let environments = Arc::clone(&instance.board.environments.read());
    let mut all = BTreeMap::new();
    for (_, known) in environments.iter() {
        for (name, service) in known.production.iter().flat_map(|document| &document.services) {
            if let ServiceKind::Engine { wanted: Some(wanted), .. } = &service.kind {
                all.entry(name.clone()).or_insert_with(|| wanted.clone());
            }
        }
    }
    all
}

struct Work {
    holder: Incarnation,
    claims: Claims,
    watch: ClaimWatch,
    plan: Option<(Offset, Planner)>,
    beat: Option<Instant>,
}

impl Work {
    /// Reads the stream to its end, so that nothing is ordered on an old claim that could be known to be old.
    async fn read(&mut self, instance: &Shared) -> Result<(), LogError> {
        loop {
            let stream = Claims::STREAM.to_owned();
            match instance.deps.log.read(stream, self.claims.next, Duration::ZERO).await {
                Ok(records) if records.is_empty() => return Ok(()),
                Ok(records) => records.iter().for_each(|record| self.apply(record.offset, &record.bytes)),
                Err(LogError::Trimmed(first)) => self.claims.next = first,
                Err(error) => return Err(error),
            }
        }
    }

    fn apply(&mut self, offset: Offset, bytes: &[u8]) {
        match decode_claim(bytes) {
            Ok(record) => {
                let outcome = self.claims.apply(offset, &record);
                if let (ClaimRecord::Claim { holder, .. }, ClaimOutcome::Taken) = (&record, outcome) {
                    event!(Event::ModelsClaimed, "offset={offset} holder={holder}");
                }
            }
            Err(error) => {
                self.claims.skip(offset);
                event!(Event::RecordSkipped, "stream={} offset={offset} error={error}", Claims::STREAM);
            }
        }
    }

    async fn round(&mut self, instance: &Shared, wanted: &BTreeMap<ServiceName, WantedModel>) {
        let now = instance.deps.clock.now();
        let silence = instance.settings.silence_timeout;
        match self.claims.owner() {
            Some(owner) if owner.holder == self.holder => {
                let token = owner.token;
                self.beat(instance, token, now).await;
                self.order(instance, token, now, wanted).await;
            }
            _ => {
                self.plan = None;
                if let Some(claim) = self.watch.next_claim(&self.claims, &self.holder, now, silence) {
                    append(instance, &claim).await;
                }
            }
        }
    }

    async fn beat(&mut self, instance: &Shared, token: Offset, now: Instant) {
        let pause = instance.settings.silence_timeout / BEATS;
        if self.beat.is_some_and(|last| now.since(last) < pause) {
            return;
        }
        self.beat = Some(now);
        append(instance, &ClaimRecord::Beat { holder: self.holder.clone(), token }).await;
    }

    async fn order(
        &mut self,
        instance: &Shared,
        token: Offset,
        now: Instant,
        wanted: &BTreeMap<ServiceName, WantedModel>,
    ) {
        let targets = targets(instance, wanted);
        let reads = targets.iter().map(|target| read_back(instance, target));
        let servers = futures_util::future::join_all(reads).await;
        let (_, planner) = match self.plan.take() {
            Some(plan) if plan.0 == token => self.plan.insert(plan),
            _ => self.plan.insert((token, Planner::new(now, instance.settings.load_rate))),
        };
        let orders = planner.orders(now, token, wanted, &servers);
        let given = orders.iter().filter_map(|order| {
            let target = targets.iter().find(|target| target.name == order.server)?;
            Some(give(instance, target.address, order))
        });
        futures_util::future::join_all(given).await;
    }
}

async fn append(instance: &Shared, record: &ClaimRecord) {
    instance.metrics.appends.inc();
    let appended = instance.deps.log.append(Claims::STREAM.to_owned(), encode_claim(record)).await;
    if let Err(error) = appended {
        event!(Event::LogUnavailable, "stream={} error={error}", Claims::STREAM);
    }
}

/// Server that may get an order.
#[derive(Debug)]
struct Target {
    name: BackendServerName,
    service: ServiceName,
    address: SocketAddr,
    load: u32,
}

fn targets(instance: &Shared, wanted: &BTreeMap<ServiceName, WantedModel>) -> Vec<Target> {
    let backends = instance.board.backends.read();
    let ours = backends.iter().filter(|server| !server.leaving && wanted.contains_key(&server.listed.service));
    let target = ours.map(|server| Target {
        name: server.listed.name.clone(),
        service: server.listed.service.clone(),
        address: server.listed.address,
        load: server.load(),
    });
    target.collect()
}

async fn read_back(instance: &Shared, target: &Target) -> ModelServer {
    let loaded = loaded(instance, target.address).await;
    ModelServer { name: target.name.clone(), service: target.service.clone(), loaded, load: target.load }
}

async fn loaded(instance: &Shared, address: SocketAddr) -> Option<Option<LoadedModel>> {
    let question = request(Method::GET, address, "/models", Bytes::new());
    let answer = call(&instance.deps.client, address, question, ENGINE_TIMEOUT).await.ok()?;
    if answer.status() != StatusCode::OK {
        return None;
    }
    let body = read_body(answer.into_body(), MODELS_MAX_BYTES, ENGINE_TIMEOUT).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Gives one order; whatever comes back, the next round reads its effect.
async fn give(instance: &Shared, address: SocketAddr, order: &ModelOrder) {
    let body = EngineOrder { token: order.token.0, want: order.want.clone() };
    let Ok(bytes) = serde_json::to_vec(&body) else { return };
    let mut question = request(Method::POST, address, "/orders", bytes.into());
    question.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let answer = call(&instance.deps.client, address, question, ENGINE_TIMEOUT).await;
    let status = answer.map_or_else(|error| error.to_string(), |answer| answer.status().to_string());
    let LoadedModel { model, version, adapters } = &order.want;
    event!(
        Event::ModelOrdered,
        "server={} token={} model={model} version={version} adapters={adapters:?} answer={status:?}",
        order.server,
        order.token
    );
}
