//! Keeps the newest document of the operators in force; an older version never replaces a newer one.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::routes::RouteTable;

use crate::blackboard::Blackboard;
use crate::interfaces::{KeyedRecord, RecordDecoder, Topic};
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

impl RecordSink for DocumentController {
    fn replace_all(&mut self, records: Vec<KeyedRecord>) {
        for record in records {
            self.apply(record);
        }
    }

    fn apply(&mut self, record: KeyedRecord) {
        match self.decoder.document(&record) {
            Ok(None) => {}
            Ok(Some(table)) => {
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
            Err(error) => self.board.note_skipped(Topic::Documents, &record.key, &error),
        }
    }

    fn note_recovery(&mut self, _outage: Duration) {}

    fn note_restored(&mut self) {}

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
