//! Keeps the table of backend servers in line with the server entries in the store.
//!
//! After a store outage, a missing entry does not mean that its server is gone: the server is kept until it had time to
//! register again. An outage makes the entries of all servers lapse, so if only a few servers of a service are missing
//! after it, those are removed at once. See `docs/PLATFORM.md#servers`.
//!
//! When the store comes back from an older copy, an entry that the table no longer has may be one of a server that
//! left. It counts once it is written again, as live servers do within a heartbeat.
//!
//! The controller also records up to which position it has read the list, and since when no entry can have been missed.
//! See `docs/ROUTING.md#versions`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::cold_servers::EntryReading;
use coltsfootpick_core::names::{BackendServerName, ServiceName};
use coltsfootpick_core::units::{self, LogPosition};
use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::interfaces::{KeyedRecord, RecordDecoder, Topic};
use crate::list_progress::ListProgress;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::servers::{EntryChange, ServerEntry};
use crate::topic_reader::RecordSink;

/// Grace period after an outage in which live servers register again; the platform promises that they do within 2 s.
pub const REGISTRATION_GRACE: Duration = Duration::from_secs(2);

/// Grace period after the store came back from an older copy: live servers register again within the usual one, and
/// their heartbeat may just have been read from the older copy.
pub const RESTORED_GRACE: Duration = Duration::from_secs(4);

/// Controller that applies the server entries of the store to the server table.
#[derive(Debug)]
pub struct ServerController {
    board: Arc<Blackboard>,
    decoder: Arc<dyn RecordDecoder>,
    /// End of the grace period after the last outage.
    grace_until: Option<Instant>,
    /// Servers whose entry is missing, and when they are removed.
    lapsed: BTreeMap<BackendServerName, Instant>,
    /// Whether the next records come from an older copy of the store.
    is_restored: bool,
    /// Whether entries may be missing because the store lost them, which affects any number of servers.
    has_lost_entries: bool,
    /// Instant since which every entry was read, or will have been written again after the store lost some.
    complete_since: Option<Instant>,
    /// Time after which the entries that are read now were written, if that is known.
    written_after: Option<units::Instant>,
}

impl ServerController {
    /// Creates a controller that writes the server table of `board`.
    pub const fn new(board: Arc<Blackboard>, decoder: Arc<dyn RecordDecoder>) -> Self {
        Self {
            board,
            decoder,
            grace_until: None,
            lapsed: BTreeMap::new(),
            is_restored: false,
            has_lost_entries: false,
            complete_since: None,
            written_after: None,
        }
    }

    fn decode(&self, record: &KeyedRecord) -> Option<ServerEntry> {
        match self.decoder.server(record) {
            Ok(entry) => Some(entry),
            Err(error) => {
                self.board.note_skipped(Topic::Servers, &record.key, &error);
                None
            }
        }
    }

    /// Whether an entry of an older copy of the store tells nothing that is known to be outdated.
    fn is_current(&self, entry: &ServerEntry) -> bool {
        let known = self.board.servers.of_service(&entry.service);
        known.iter().any(|known| known.entry.name == entry.name && known.entry.started_at <= entry.started_at)
    }

    fn apply_entry(&mut self, entry: ServerEntry, is_restored: bool) {
        self.lapsed.remove(&entry.name);
        let (name, service, address) = (entry.name.clone(), entry.service.clone(), entry.address);
        let origin = entry.origin();
        let (stated, has_list) = (entry.clone(), self.complete_since.is_some());
        let change = self.board.servers.put(entry);
        let reading = EntryReading {
            left: stated.cold_left,
            is_listed: has_list && matches!(change, EntryChange::Listed | EntryChange::Replaced),
            written_after: self.written_after,
            is_restored,
        };
        self.board.note_cold_entry(&stated, reading);
        let event = match change {
            EntryChange::Same => return,
            EntryChange::Listed => LogEvent::ServerListed,
            EntryChange::Replaced => LogEvent::ServerReplaced,
            EntryChange::Leaving => LogEvent::ServerLeaving,
        };
        // The server may have left again before the table is looked at.
        self.board.stream_origins.lock().note_servers([origin], self.board.clock.now());
        log_event!(event, "server={name} service={service} address={address}");
    }

    fn handle_missing(&mut self, name: BackendServerName) {
        let now = Instant::now();
        match self.grace_until {
            Some(until) if now < until => {
                log_event!(LogEvent::ServerLapsed, "server={name} kept_ms={}", (until - now).as_millis());
                self.lapsed.insert(name, until);
            }
            _ => self.remove(&name, "entry-removed"),
        }
    }

    /// Removes the lapsed servers of each service in which fewer than half of the servers lapsed.
    fn remove_minority(&mut self) {
        let mut by_service: BTreeMap<ServiceName, Vec<BackendServerName>> = BTreeMap::new();
        for name in self.lapsed.keys() {
            if let Some(service) = self.board.servers.service_of(name) {
                by_service.entry(service).or_default().push(name.clone());
            }
        }
        for (service, lapsed) in by_service {
            if lapsed.len() * 2 >= self.board.servers.of_service(&service).len() {
                continue;
            }
            for name in lapsed {
                self.lapsed.remove(&name);
                self.remove(&name, "few-missing");
            }
        }
    }

    fn remove(&self, name: &BackendServerName, reason: &str) {
        if let Some(server) = self.board.servers.remove(name) {
            log_event!(LogEvent::ServerGone, "server={name} service={} reason={reason}", server.entry.service);
        }
    }
}

impl RecordSink for ServerController {
    fn replace_all(&mut self, records: Vec<KeyedRecord>) {
        let listed: Vec<BackendServerName> =
            records.iter().map(|record| BackendServerName::from(&*record.key)).collect();
        let is_restored = std::mem::take(&mut self.is_restored);
        // Entries of a complete read may have been written long ago.
        self.written_after = None;
        for record in &records {
            match self.decode(record) {
                Some(entry) if is_restored && !self.is_current(&entry) => {
                    log_event!(LogEvent::ServerLapsed, "server={} unconfirmed=true", entry.name);
                }
                Some(entry) => self.apply_entry(entry, is_restored),
                None => {}
            }
        }
        for name in self.board.servers.names() {
            if !listed.contains(&name) && !self.lapsed.contains_key(&name) {
                self.handle_missing(name);
            }
        }
        let now = Instant::now();
        self.complete_since = Some(if is_restored { now + RESTORED_GRACE } else { now });
        self.board.mark_servers_listed();
    }

    fn apply(&mut self, record: KeyedRecord) {
        match record.value {
            Some(_) => {
                if let Some(entry) = self.decode(&record) {
                    self.apply_entry(entry, false);
                }
            }
            None => self.handle_missing(BackendServerName::from(&*record.key)),
        }
    }

    fn note_read(&mut self, next: LogPosition) {
        if let Some(complete_since) = self.complete_since {
            self.board.server_list.note(ListProgress { position: next, complete_since });
        }
    }

    fn note_caught_up(&mut self, began: Instant) {
        self.written_after = Some(self.board.clock.now().before(began.elapsed()));
    }

    fn note_recovery(&mut self, _outage: Duration) {
        self.grace_until = Some(Instant::now() + REGISTRATION_GRACE);
    }

    fn note_restored(&mut self) {
        self.is_restored = true;
        self.has_lost_entries = true;
        self.grace_until = Some(Instant::now() + RESTORED_GRACE);
    }

    fn tick(&mut self) {
        let now = Instant::now();
        self.has_lost_entries &= self.grace_until.is_some_and(|until| now < until);
        if !self.has_lost_entries {
            self.remove_minority();
        }
        let expired: Vec<BackendServerName> =
            self.lapsed.iter().filter(|(_, until)| **until <= now).map(|(name, _)| name.clone()).collect();
        for name in expired {
            self.lapsed.remove(&name);
            self.remove(&name, "not-listed-again");
        }
    }
}
