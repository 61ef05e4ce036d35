//! Heartbeats and gossip exchanged with peers.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::backends::ServerListing;
use coltsfootpick_core::gossip::{AgedFact, GossipFact};
use coltsfootpick_core::names::{BackendServerName, BudgetKey, ServiceName};
use coltsfootpick_core::units::{Instant, Tokens};
use coltsfootpick_wire::peer as wire;
use coltsfootpick_wire::peer::PeerBody;
use http::HeaderMap;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;
use crate::peers::{Link, PeerState};

/// Most heartbeats of other members relayed in one heartbeat on a link.
pub const RELAYED_HEARTBEATS_MAX: usize = 8;

/// Most budgets whose credit is announced in one heartbeat.
pub const ANNOUNCED_BUDGETS_MAX: usize = 32;

/// Response header of a backend server that is leaving; with status 503 it also means that the request did not run.
pub const LEAVING_HEADER: &str = "x-leaving";

/// Most gossip facts in one message.
const FACTS_IN_MESSAGE: usize = 256;

/// Builds the heartbeat for one link.
pub fn heartbeat(instance: &Instance, link: &Link, now: Instant) -> wire::PeerHeartbeat {
    let silence = instance.settings.silence_timeout;
    let relayed = instance.board.membership.lock().heartbeats_for(
        &mut link.known_heartbeats.lock(),
        RELAYED_HEARTBEATS_MAX,
        now,
        silence,
    );
    wire::PeerHeartbeat {
        members: relayed.iter().map(Into::into).collect(),
        hops: instance.peers.hops(Some(&link.peer)),
        credit: if instance.peers.is_log_reachable() { Vec::new() } else { held_credit(instance) },
        draining: instance.draining.is_cancelled(),
    }
}

/// Returns the credit that this instance can still spend, largest first, for at most [`ANNOUNCED_BUDGETS_MAX`] budgets.
fn held_credit(instance: &Instance) -> Vec<wire::BudgetCreditMessage> {
    let mut held: Vec<(Tokens, BudgetKey)> = Vec::new();
    for cell in &instance.board.shards {
        held.extend(cell.lock().credit.available_by_budget().map(|(key, tokens)| (tokens, key.clone())));
    }
    held.sort_by(|a, b| b.cmp(a));
    let announced = held.iter().take(ANNOUNCED_BUDGETS_MAX);
    announced.map(|(tokens, key)| wire::BudgetCreditMessage { key: Some(key.into()), tokens: tokens.0 }).collect()
}

/// Sends all live gossip facts on a new link.
pub fn send_known_facts(instance: &Instance, link: &Link) {
    let live = instance.board.gossip.lock().live(instance.deps.clock.now());
    for chunk in live.chunks(FACTS_IN_MESSAGE) {
        link.send(gossip_message(chunk));
    }
    instance.peers.heartbeat_now.notify_one();
}

fn gossip_message(facts: &[AgedFact]) -> PeerBody {
    PeerBody::Gossip(wire::GossipMessage { facts: facts.iter().map(Into::into).collect() })
}

/// Processes a peer's heartbeat.
pub fn handle_heartbeat(instance: &Instance, link: &Link, heartbeat: wire::PeerHeartbeat) {
    let relayed: Vec<_> =
        heartbeat.members.into_iter().filter_map(wire::MemberHeartbeatMessage::into_heartbeat).collect();
    let now = instance.deps.clock.now();
    link.known_heartbeats.lock().record(&relayed);
    instance.board.membership.lock().merge(&relayed, now);
    let credit = heartbeat.credit.into_iter().take(ANNOUNCED_BUDGETS_MAX);
    let credit = credit.filter_map(|credit| Some((credit.key?.into(), Tokens(credit.tokens)))).collect();
    let state = PeerState { hops: heartbeat.hops, credit, draining: heartbeat.draining };
    let before = instance.peers.hops(None);
    *link.state.lock() = state;
    if instance.peers.hops(None) != before {
        instance.peers.heartbeat_now.notify_one();
    }
}

/// Applies a peer's gossip and forwards the facts that are new to this instance.
pub fn handle_gossip(instance: &Instance, gossip: wire::GossipMessage) {
    let facts = gossip.facts.into_iter().take(FACTS_IN_MESSAGE).filter_map(wire::GossipFactMessage::into_fact);
    publish(instance, facts.collect());
}

/// Publishes that `server` is leaving if its response headers say so; returns whether they do.
pub fn note_leaving(instance: &Instance, headers: &HeaderMap, server: &ServerListing) -> bool {
    let is_leaving = headers.contains_key(LEAVING_HEADER);
    if is_leaving {
        publish_observed(
            instance,
            GossipFact::Leaving { service: server.service.clone(), server: server.name.clone() },
        );
    }
    is_leaving
}

/// Publishes a fact that this instance observed itself.
pub fn publish_observed(instance: &Instance, fact: GossipFact) {
    publish(instance, vec![AgedFact { fact, age: Duration::ZERO }]);
}

/// Applies the facts that are new to this instance and sends them to all peers.
fn publish(instance: &Instance, aged: Vec<AgedFact>) {
    let now = instance.deps.clock.now();
    let new_facts: Vec<AgedFact> = {
        let mut gossip = instance.board.gossip.lock();
        aged.into_iter().filter(|aged| gossip.add(aged.clone(), now)).collect()
    };
    if new_facts.is_empty() {
        return;
    }
    for AgedFact { fact, age } in &new_facts {
        apply_fact(instance, fact, *age);
    }
    for link in instance.peers.links() {
        link.send(gossip_message(&new_facts));
    }
}

fn apply_fact(instance: &Instance, fact: &GossipFact, age: Duration) {
    match fact {
        GossipFact::Leaving { service, server } => {
            event!(Event::ServerLeaving, "service={service} server={server} age_ms={}", age.as_millis());
            mark_leaving(instance, service, server);
        }
    }
}

/// Marks a server as leaving on the blackboard.
fn mark_leaving(instance: &Instance, service: &ServiceName, server: &BackendServerName) {
    if let Some(entry) = instance.board.backends.write().find_mut(service, server) {
        entry.leaving = true;
    }
    instance.queues.refresh(instance);
}

/// Repeats the leaving marks of all live gossip facts, because a stale instance list may have reset them.
pub fn reapply_leaving(instance: &Arc<Instance>) {
    let live = instance.board.gossip.lock().live(instance.deps.clock.now());
    for AgedFact { fact, .. } in live {
        let GossipFact::Leaving { service, server } = fact;
        mark_leaving(instance, &service, &server);
    }
}
