//! Keeps the newest document and the evacuations of the operators in force; an older version of the document never
//! replaces a newer one.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::routes::RouteTable;
use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::interfaces::{KeyedRecord, OperatorRecord, RecordDecoder, Topic};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::topic_reader::RecordSink;

/// Controller that puts documents in force.
#[derive(Debug)]
pub struct DocumentController {
    /// Shared state that holds the document in force.
    pub board: Arc<Blackboard>,
    /// Decodes the records.
    pub decoder: Arc<dyn RecordDecoder>,
}

impl DocumentController {
    fn install(&self, table: RouteTable) {
        let (version, routes) = (table.version(), table.route_count());
        let accounts = table.accounts().count();
        let changes = self.board.routes().map(|before| prepaid_changes(&before, &table)).unwrap_or_default();
        let is_newer = self.board.install_routes(table);
        let outcome = if is_newer { "in-force" } else { "older-skipped" };
        log_event!(
            LogEvent::DocumentApplied,
            "version={version} routes={routes} accounts={accounts} outcome={outcome}{changes}"
        );
    }
}

impl RecordSink for DocumentController {
    fn replace_all(&mut self, records: Vec<KeyedRecord>) {
        let (mut zones, mut tables) = (BTreeSet::new(), Vec::new());
        for record in records {
            match self.decoder.operator_record(&record) {
                Ok(OperatorRecord::Document(table)) => tables.push(*table),
                Ok(OperatorRecord::Evacuation { zone, is_in_force: true }) => {
                    zones.insert(zone);
                }
                Ok(OperatorRecord::Evacuation { .. } | OperatorRecord::Other) => {}
                Err(error) => self.board.note_skipped(Topic::Documents, &record.key, &error),
            }
        }
        // Before the first document is in force, no request is served without the evacuations of the same read.
        let changes = self.board.evacuations.lock().replace_all(zones, self.board.clock.now());
        self.board.note_evacuation_changes(changes);
        for table in tables {
            self.install(table);
        }
    }

    fn apply(&mut self, record: KeyedRecord) {
        match self.decoder.operator_record(&record) {
            Ok(OperatorRecord::Document(table)) => self.install(*table),
            Ok(OperatorRecord::Evacuation { zone, is_in_force }) => {
                let change = self.board.evacuations.lock().set(zone, is_in_force);
                self.board.note_evacuation_changes(change.into_iter().collect());
            }
            Ok(OperatorRecord::Other) => {}
            Err(error) => self.board.note_skipped(Topic::Documents, &record.key, &error),
        }
    }

    fn note_recovery(&mut self, _outage: Duration) {}

    fn note_restored(&mut self) {
        self.board.evacuations.lock().note_restored();
    }

    fn note_caught_up(&mut self, began: Instant) {
        let began = self.board.clock.now().before(began.elapsed());
        let changes = self.board.evacuations.lock().note_caught_up(began);
        self.board.note_evacuation_changes(changes);
    }

    fn tick(&mut self) {}
}

/// Maximum number of accounts listed in one log line.
const CHANGES_LISTED_MAX: usize = 12;

/// Lists the old and new prepaid tokens of each account whose amount changed, as `NAME=OLD->NEW`.
fn prepaid_changes(before: &RouteTable, after: &RouteTable) -> String {
    let changed = after.accounts().filter_map(|account| {
        let old = before.account(&account.name).and_then(|known| known.prepaid).unwrap_or_default();
        let new = account.prepaid.unwrap_or_default();
        (old != new).then(|| format!(" {}={old}->{new}", account.name))
    });
    changed.take(CHANGES_LISTED_MAX).collect()
}
