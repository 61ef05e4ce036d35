//! Heartbeats and rumours: what this instance tells its peers and what it takes from them.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::backends::Listed;
use coltsfootpick_core::names::{BackendServerName, BudgetKey, ServiceName};
use coltsfootpick_core::rumours::{Aged, Rumour};
use coltsfootpick_core::units::{Instant, Tokens};
use coltsfootpick_wire::peer as wire;
use coltsfootpick_wire::peer::Body;
use http::HeaderMap;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;
use crate::peers::{Link, PeerState};

/// Beats told on one link in one heartbeat.
pub const NEWS_MAX: usize = 8;

/// Budgets whose credit is announced in one heartbeat.
pub const CREDIT_MAX: usize = 32;

/// Header of a backend server that is leaving; with status 503 the request was refused and did not run.
pub const LEAVING_HEADER: &str = "x-leaving";

/// Rumours of one message.
const RUMOURS_IN_MESSAGE: usize = 256;

/// Heartbeat for one link.
pub fn heartbeat(instance: &Instance, link: &Link, now: Instant) -> wire::Heartbeat {
    let silence = instance.settings.silence_timeout;
    let news = instance.board.membership.lock().tell(&mut link.told.lock(), NEWS_MAX, now, silence);
    wire::Heartbeat {
        news: news.iter().map(Into::into).collect(),
        hops: instance.peers.hops(Some(&link.peer)),
        credit: if instance.peers.is_log_reached() { Vec::new() } else { credit(instance) },
        draining: instance.draining.is_cancelled(),
    }
}

/// Credit in this instance's hands, the largest first.
fn credit(instance: &Instance) -> Vec<wire::Credit> {
    let mut held: Vec<(Tokens, BudgetKey)> = Vec::new();
    for cell in &instance.board.shards {
        held.extend(cell.lock().wallet.credit().map(|(key, tokens)| (tokens, key.clone())));
    }
    held.sort_by(|a, b| b.cmp(a));
    let announced = held.iter().take(CREDIT_MAX);
    announced.map(|(tokens, key)| wire::Credit { key: Some(key.into()), tokens: tokens.0 }).collect()
}

/// Tells a new link all rumours alive.
pub fn greet(instance: &Instance, link: &Link) {
    let alive = instance.board.rumours.lock().alive(instance.deps.clock.now());
    for part in alive.chunks(RUMOURS_IN_MESSAGE) {
        link.send(message(part));
    }
    instance.peers.beat_now.notify_one();
}

fn message(rumours: &[Aged]) -> Body {
    Body::Rumours(wire::Rumours { rumours: rumours.iter().map(Into::into).collect() })
}

/// Takes in a heartbeat.
pub fn take_heartbeat(instance: &Instance, link: &Link, heartbeat: wire::Heartbeat) {
    let news: Vec<_> = heartbeat.news.into_iter().filter_map(wire::News::typed).collect();
    let now = instance.deps.clock.now();
    link.told.lock().note(&news);
    instance.board.membership.lock().hear(&news, now);
    let credit = heartbeat.credit.into_iter().take(CREDIT_MAX);
    let credit = credit.filter_map(|credit| Some((credit.key?.into(), Tokens(credit.tokens)))).collect();
    let state = PeerState { hops: heartbeat.hops, credit, draining: heartbeat.draining };
    let before = instance.peers.hops(None);
    *link.state.lock() = state;
    if instance.peers.hops(None) != before {
        instance.peers.beat_now.notify_one();
    }
}

/// Takes in rumours and passes the new ones on.
pub fn take_rumours(instance: &Instance, rumours: wire::Rumours) {
    let aged = rumours.rumours.into_iter().take(RUMOURS_IN_MESSAGE).filter_map(wire::Rumour::typed);
    spread(instance, aged.collect());
}

/// Spreads that `server` is leaving when its answer says so, and tells whether it does.
pub fn note_leaving(instance: &Instance, headers: &HeaderMap, server: &Listed) -> bool {
    let is_leaving = headers.contains_key(LEAVING_HEADER);
    if is_leaving {
        spread_seen(instance, Rumour::Leaving { service: server.service.clone(), server: server.name.clone() });
    }
    is_leaving
}

/// Spreads a fact that this instance saw first hand.
pub fn spread_seen(instance: &Instance, rumour: Rumour) {
    spread(instance, vec![Aged { rumour, age: Duration::ZERO }]);
}

fn spread(instance: &Instance, aged: Vec<Aged>) {
    let now = instance.deps.clock.now();
    let fresh: Vec<Aged> = {
        let mut known = instance.board.rumours.lock();
        aged.into_iter().filter(|aged| known.add(aged.clone(), now)).collect()
    };
    if fresh.is_empty() {
        return;
    }
    for Aged { rumour, age } in &fresh {
        apply(instance, rumour, *age);
    }
    for link in instance.peers.links() {
        link.send(message(&fresh));
    }
}

fn apply(instance: &Instance, rumour: &Rumour, age: Duration) {
    match rumour {
        Rumour::Leaving { service, server } => {
            event!(Event::ServerLeaving, "service={service} server={server} age_ms={}", age.as_millis());
            mark_leaving(instance, service, server);
        }
    }
}

/// Marks a server on the blackboard.
fn mark_leaving(instance: &Instance, service: &ServiceName, server: &BackendServerName) {
    if let Some(known) = instance.board.backends.write().find_mut(service, server) {
        known.leaving = true;
    }
    instance.queues.refresh(instance);
}

/// Marks all servers that are rumoured to leave, after a list that lags named them as live.
pub fn mark_rumoured(instance: &Arc<Instance>) {
    let alive = instance.board.rumours.lock().alive(instance.deps.clock.now());
    for Aged { rumour, .. } in alive {
        let Rumour::Leaving { service, server } = rumour;
        mark_leaving(instance, &service, &server);
    }
}
