//! Keeps what entries and answers tell of cold servers, and applies the changes of evacuations. See `docs/ROUTING.md#cold`.

use std::time::Duration;

use coltsfootpick_core::cold_servers::{ColdServer, ColdServers, ColdShare, EntryReading};
use coltsfootpick_core::evacuations::EvacuationChange;
use coltsfootpick_core::names::ServiceName;
use coltsfootpick_core::routes::ColdSpec;
use coltsfootpick_core::server_limits::ServerRun;
use coltsfootpick_core::units::Instant;

use crate::blackboard::Blackboard;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::servers::ServerEntry;

impl Blackboard {
    /// Limits of cold servers of `service`, if its servers can be cold.
    pub fn cold_spec(&self, service: &ServiceName) -> Option<ColdSpec> {
        self.routes()?.service(service)?.cold
    }

    /// Share of this instance in the requests that a server takes now, if it is cold.
    pub fn cold_share(&self, server: &ServerEntry, spec: Option<ColdSpec>) -> ColdShare {
        let Some(spec) = spec else { return ColdShare::Warm };
        let run = server.run();
        let cold = ColdServer { run: &run, zone: &server.location.zone, spec };
        let turn = || self.limit_turn(&run);
        self.cold_servers.lock().share(&cold, self.fleet_size(), turn, self.clock.now())
    }

    /// Counts a request that is sent to a server; false if the server is cold and takes none of this instance now.
    pub fn take_cold(&self, server: &ServerEntry, spec: Option<ColdSpec>) -> bool {
        let Some(spec) = spec else { return true };
        let (run, now) = (server.run(), self.clock.now());
        let cold = ColdServer { run: &run, zone: &server.location.zone, spec };
        let mut servers = self.cold_servers.lock();
        let is_cold = !servers.cold_left(&cold, now).is_zero();
        let is_taken = servers.take(&cold, self.fleet_size(), || self.limit_turn(&run), now);
        if is_cold && is_taken {
            self.metrics.cold_sends.inc();
        }
        is_taken
    }

    /// Applies what an entry of a server tells.
    pub fn note_cold_entry(&self, entry: &ServerEntry, reading: EntryReading) {
        self.update_cold(entry, "entry", |servers, run, now| servers.note_entry(run, reading, now));
    }

    /// Applies what an answer to a request sent at `sent` told of its server.
    pub fn note_cold_answer(&self, entry: &ServerEntry, left: Duration, sent: Instant) {
        self.update_cold(entry, "answer", |servers, run, now| servers.note_answer(run, left, sent, now));
    }

    fn update_cold(&self, entry: &ServerEntry, told_by: &str, act: impl FnOnce(&mut ColdServers, &ServerRun, Instant)) {
        let (run, now) = (entry.run(), self.clock.now());
        let spec = self.cold_spec(&entry.service);
        let mut servers = self.cold_servers.lock();
        let Some(spec) = spec else { return act(&mut servers, &run, now) };
        let cold = ColdServer { run: &run, zone: &entry.location.zone, spec };
        let before = servers.cold_left(&cold, now);
        act(&mut servers, &run, now);
        let after = servers.cold_left(&cold, now);
        drop(servers);
        if before.is_zero() != after.is_zero() {
            let (name, left) = (&entry.name, after.as_millis());
            log_event!(LogEvent::ServerCold, "server={name} cold_ms={left} told-by={told_by}");
        }
    }

    /// Logs changes of evacuations; servers of a zone whose evacuation was lifted count as cold.
    pub fn note_evacuation_changes(&self, changes: Vec<EvacuationChange>) {
        if changes.is_empty() {
            return;
        }
        for EvacuationChange { zone, is_in_force } in changes {
            log_event!(LogEvent::ZoneEvacuated, "zone={:?} in-force={is_in_force}", &*zone);
            if !is_in_force {
                self.cold_servers.lock().note_lifted(zone, self.clock.now());
            }
        }
        let count = self.evacuations.lock().len();
        self.metrics.evacuated_zones.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
