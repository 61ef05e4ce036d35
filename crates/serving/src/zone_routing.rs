//! Shares of the requests that leave the zone of this instance, by service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use coltsfootpick_core::fleet_load::{EngineId, FleetEngine};
use coltsfootpick_core::home_regions::RequestHomes;
use coltsfootpick_core::names::{AvailabilityZoneName, ServiceName};
use coltsfootpick_core::selection::Candidate;
use coltsfootpick_core::server_access::Exclusion;
use coltsfootpick_core::units::Instant;
use coltsfootpick_core::zone_shares::{ShareChange, ZoneRule, ZoneServer, ZoneShares};
use parking_lot::Mutex;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::admitted_request::AdmittedRequest;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::request_handler::RequestHandler;
use crate::server_access::AccessRules;
use crate::servers::Server;

/// Maximum number of services whose shares are kept.
const SERVICES_MAX: usize = 256;

/// Shares of every service.
#[derive(Debug, Default)]
pub struct ZoneRouting {
    is_on: AtomicBool,
    shares: Mutex<BTreeMap<ServiceName, ZoneShares>>,
    draws: AtomicU64,
}

impl ZoneRouting {
    /// Sets the rule of the settings.
    pub fn set_rule(&self, rule: ZoneRule) {
        self.is_on.store(rule == ZoneRule::Shares, Ordering::Release);
    }

    fn is_on(&self) -> bool {
        self.is_on.load(Ordering::Acquire)
    }
}

impl RequestHandler {
    /// Draws the zone of a request by the shares of its service, and updates them when a step is due.
    ///
    /// Returns `None` where zones have fixed costs: by the settings, or while the load of no engine is known.
    pub fn draw_zone(
        &self,
        admitted: &AdmittedRequest,
        servers: &[Arc<Server>],
        fleet: Option<&BTreeMap<EngineId, FleetEngine>>,
        rules: &AccessRules,
    ) -> Option<AvailabilityZoneName> {
        let (board, now) = (&self.board, self.board.clock.now());
        if !board.zones.is_on() || fleet.is_some_and(BTreeMap::is_empty) {
            return None;
        }
        let own = &board.instance.location;
        let mut all = board.zones.shares.lock();
        if all.len() >= SERVICES_MAX && !all.contains_key(&admitted.service) {
            return None;
        }
        let shares = all.entry(admitted.service.clone()).or_default();
        if shares.is_due(now) {
            let usable: Vec<ZoneServer<'_>> =
                servers.iter().filter_map(|server| self.zone_server(server, fleet, rules, now)).collect();
            let change = shares.step(own, usable, now);
            board.metrics.note_zone_shares(&admitted.service, shares.shares());
            if let Some(change) = change {
                log_change(&admitted.service, &own.zone, &change);
            }
        }
        // The seed makes instances that started together draw differently.
        let number = board.zones.draws.fetch_add(1, Ordering::Relaxed);
        let draw = xxh3_64_with_seed(&number.to_le_bytes(), xxh3_64(board.instance.name.as_bytes()));
        Some(shares.draw(draw).unwrap_or(&own.zone).clone())
    }
}

impl RequestHandler {
    /// State of a server for the shares; `None` if it takes no requests.
    fn zone_server<'a>(
        &self,
        server: &'a Server,
        fleet: Option<&BTreeMap<EngineId, FleetEngine>>,
        rules: &AccessRules,
        now: Instant,
    ) -> Option<ZoneServer<'a>> {
        // Home regions differ between requests; the selection keeps to them.
        let rules = AccessRules { homes: RequestHomes::default(), cold: rules.cold };
        // A limit or missing room lasts for parts of a second, and the zone would seem to have failed.
        let exclusion = self.access_of(&rules, server, false).exclusion;
        if server.is_unreached() || !matches!(exclusion, None | Some(Exclusion::Limited | Exclusion::Full)) {
            return None;
        }
        let (load, entry) = (server.load.lock(), &server.entry);
        let candidate = Candidate {
            name: &entry.name,
            location: &entry.location,
            load: &load,
            slots: entry.slots,
            fleet: fleet.and_then(|fleet| fleet.get(&entry.engine_id()).copied()),
        };
        let ZoneServer { pressure_ms, capacity, .. } = ZoneServer::of(&candidate, fleet.is_some(), now)?;
        Some(ZoneServer { location: &entry.location, pressure_ms, capacity })
    }
}

fn log_change(service: &ServiceName, zone: &AvailabilityZoneName, change: &ShareChange) {
    let ShareChange { before, after, reason, destinations } = change;
    log_event!(
        LogEvent::ZoneShareChanged,
        "service={service} zone={zone} share={after:.3} before={before:.3} reason={reason} to=\"{destinations}\""
    );
}
