//! Selects the server for a dispatch among those that take the request.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootpick_core::brittle_servers::Room;
use coltsfootpick_core::routes::RepeatPolicy;
use coltsfootpick_core::selection::{Candidate, Selection, SelectionRequest, choose};
use coltsfootpick_core::server_access::Exclusion;

use tokio::time::Instant;

use crate::admitted_request::AdmittedRequest;
use crate::crash_detection;
use crate::request_handler::RequestHandler;
use crate::servers::Server;

/// Keeps the servers at which fewest requests of this instance are open, so that a crash costs few of them.
fn keep_least_used(servers: &mut Vec<&Arc<Server>>) {
    let open = |server: &Arc<Server>| server.load.lock().open();
    let least = servers.iter().map(|server| open(server)).min();
    servers.retain(|server| Some(open(server)) == least);
}

impl RequestHandler {
    /// Selects a server of the service that takes new work and was not tried yet.
    pub fn select_server(&self, admitted: &AdmittedRequest) -> Option<(Arc<Server>, Selection)> {
        let servers = self.board.servers.of_service(&admitted.service);
        let (parts, account) = (admitted.shared_parts(), admitted.account_name());
        let barred = crash_detection::barred_weights(&self.board, &parts, &account, &servers);
        // A lost path has only the connections that are open already.
        let only_open = self.board.paths.of(&admitted.service).is_lost();
        let rules = self.access_rules(admitted);
        let is_usable = |server: &&Arc<Server>| {
            let is_unsuitable = admitted.origin.as_ref().is_some_and(|origin| origin.version != server.entry.version)
                || admitted.tried_servers.contains(&server.entry.name)
                || (only_open && !server.pool.has_idle())
                || barred.iter().any(|(weights, ..)| *weights == server.entry.weights);
            self.access_of(&rules, server, is_unsuitable).exclusion.is_none()
        };
        let mut usable: Vec<&Arc<Server>> = servers.iter().filter(is_usable).collect();
        if usable.iter().any(|server| !server.is_unreached()) {
            usable.retain(|server| !server.is_unreached() || server.pool.has_idle());
        }
        self.keep_recorded(admitted, &mut usable);
        if admitted.trial.is_some() {
            keep_least_used(&mut usable);
        }
        let table = self.board.routes();
        let service = table.as_ref().and_then(|table| table.service(&admitted.service));
        let has_engines = service.is_some_and(|spec| spec.engines.is_some());
        let fleet =
            if has_engines { self.board.loads.engines(&servers, self.board.clock.now()) } else { BTreeMap::new() };
        let zone = self.draw_zone(admitted, &servers, has_engines.then_some(&fleet), &rules);
        let loads: Vec<_> = usable.iter().map(|server| server.load.lock()).collect();
        let candidates: Vec<Candidate<'_>> = usable
            .iter()
            .zip(&loads)
            .map(|(server, load)| Candidate {
                name: &server.entry.name,
                location: &server.entry.location,
                load,
                slots: server.entry.slots,
                fleet: fleet.get(&server.entry.engine_id()).copied(),
            })
            .collect();
        let request = SelectionRequest {
            generation: admitted.request.generation.as_ref(),
            location: &self.board.instance.location,
            pause_objective: admitted.route.pause_objective,
            kv_capacity: service.and_then(|spec| spec.engines.as_ref()).map(|engines| engines.kv_capacity),
            zone: zone.as_ref(),
            now: self.board.clock.now(),
        };
        let selection = choose(&request, &candidates)?;
        let server = usable[selection.index];
        if !self.board.take_cold(&server.entry, rules.cold) {
            return None;
        }
        self.board.take_limit(&server.entry);
        Some((Arc::clone(server), selection))
    }

    /// Keeps servers whose software version the store knows of, if a resumable stream begins and there are any: should all
    /// instances be killed, the stream must not be taken for one of the version that serves after the start.
    fn keep_recorded(&self, admitted: &AdmittedRequest, servers: &mut Vec<&Arc<Server>>) {
        if admitted.route.repeat != RepeatPolicy::Resumable || admitted.origin.is_some() {
            return;
        }
        let origins = self.board.stream_origins.lock();
        let is_recorded = |server: &&Arc<Server>| origins.is_recorded(&server.entry.origin());
        if servers.iter().any(is_recorded) {
            servers.retain(is_recorded);
        }
    }

    /// Selects a server as [`Self::select_server`] does. Where brittle servers have no room, waits for it for half of the
    /// latency objective at most, since a rejected request could make them fall over.
    pub async fn await_server(&self, admitted: &AdmittedRequest) -> Option<(Arc<Server>, Selection)> {
        let limit = admitted.deadline.min(Instant::now() + admitted.route.latency_objective / 2);
        loop {
            let freed = self.board.room_freed.notified();
            if let Some(found) = self.select_server(admitted) {
                return Some(found);
            }
            if !self.has_full_server(admitted) || tokio::time::timeout_at(limit, freed).await.is_err() {
                return None;
            }
        }
    }

    /// Whether this instance may send to a server that the request may use again once one of its requests there has ended.
    fn has_full_server(&self, admitted: &AdmittedRequest) -> bool {
        let rules = self.access_rules(admitted);
        let is_full = |server: &Arc<Server>| {
            let open = server.load.lock().open();
            let is_ruled_out = || self.access_of(&rules, server, false).exclusion.is_some_and(Exclusion::is_rule);
            open > 0 && self.board.brittle_room(&server.entry, open) == Room::Full && !is_ruled_out()
        };
        self.board.servers.of_service(&admitted.service).iter().any(is_full)
    }
}
