//! Keeps the table of backend servers in step with the store's list.
//!
//! Entries that lapse while the store is away say nothing about their servers: they are kept until the servers had
//! time to list themselves again. An outage lets the entries of all servers lapse, so where only a few are missing
//! after it, those servers left. See `docs/PLATFORM.md#servers`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::{BackendServerName, ServiceName};
use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::interfaces::{KeyedRecord, RecordDecoder};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::servers::EntryChange;
use crate::topic_reader::RecordSink;

/// Time after an outage within which living servers list themselves again (the users' letter says two seconds).
pub const RELIST_TIME: Duration = Duration::from_secs(2);

/// Controller of the server table.
#[derive(Debug)]
pub struct ServerController {
    board: Arc<Blackboard>,
    decoder: Arc<dyn RecordDecoder>,
    trusted: Option<Instant>,
    lapsed: BTreeMap<BackendServerName, Instant>,
}

impl ServerController {
    /// Keeper of an empty table.
    pub const fn new(board: Arc<Blackboard>, decoder: Arc<dyn RecordDecoder>) -> Self {
        Self { board, decoder, trusted: None, lapsed: BTreeMap::new() }
    }

    fn put(&mut self, record: &KeyedRecord) {
        let entry = match self.decoder.server(record) {
            Ok(entry) => entry,
            Err(error) => {
                log_event!(LogEvent::RecordSkipped, "topic=servers key={:?} reason={error}", record.key);
                return;
            }
        };
        self.lapsed.remove(&entry.name);
        let (name, service, address) = (entry.name.clone(), entry.service.clone(), entry.address);
        let event = match self.board.servers.put(entry) {
            EntryChange::Same => return,
            EntryChange::Listed => LogEvent::ServerListed,
            EntryChange::Replaced => LogEvent::ServerReplaced,
            EntryChange::Leaving => LogEvent::ServerLeaving,
        };
        log_event!(event, "server={name} service={service} address={address}");
    }

    fn drop_entry(&mut self, name: BackendServerName) {
        let now = Instant::now();
        match self.trusted {
            Some(until) if now < until => {
                log_event!(LogEvent::ServerLapsed, "server={name} kept_ms={}", (until - now).as_millis());
                self.lapsed.insert(name, until);
            }
            _ => self.remove(&name, "entry-removed"),
        }
    }

    /// Removes the lapsed servers of each service of which less than half lapsed.
    fn drop_few(&mut self) {
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
        for record in &records {
            self.put(record);
        }
        for name in self.board.servers.names() {
            if !listed.contains(&name) && !self.lapsed.contains_key(&name) {
                self.drop_entry(name);
            }
        }
        self.board.mark_servers_listed();
    }

    fn apply(&mut self, record: KeyedRecord) {
        match record.value {
            Some(_) => self.put(&record),
            None => self.drop_entry(BackendServerName::from(&*record.key)),
        }
    }

    fn note_recovery(&mut self, _outage: Duration) {
        self.trusted = Some(Instant::now() + RELIST_TIME);
    }

    fn tick(&mut self) {
        self.drop_few();
        let now = Instant::now();
        let over: Vec<BackendServerName> =
            self.lapsed.iter().filter(|(_, until)| **until <= now).map(|(name, _)| name.clone()).collect();
        for name in over {
            self.lapsed.remove(&name);
            self.remove(&name, "not-listed-again");
        }
    }
}
