//! Keeps the newest document of the operators in force; it never goes back to an older one.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::routes::RouteTable;

use crate::blackboard::Blackboard;
use crate::interfaces::{KeyedRecord, RecordDecoder};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::topic_reader::RecordSink;

/// Controller that puts documents in force.
#[derive(Debug)]
pub struct DocumentController {
    /// Board.
    pub board: Arc<Blackboard>,
    /// Meaning of the records.
    pub dialect: Arc<dyn RecordDecoder>,
}

impl RecordSink for DocumentController {
    fn replace_all(&mut self, records: Vec<KeyedRecord>) {
        for record in records {
            self.apply(record);
        }
    }

    fn apply(&mut self, record: KeyedRecord) {
        match self.dialect.document(&record) {
            Ok(None) => {}
            Ok(Some(table)) => {
                let (version, routes) = (table.version(), table.routes());
                let accounts = table.accounts().count();
                let changes = self.board.routes().map(|before| prepaid_changes(&before, &table)).unwrap_or_default();
                let is_newer = self.board.install_routes(table);
                let outcome = if is_newer { "in-force" } else { "older-skipped" };
                log_event!(
                    LogEvent::DocumentApplied,
                    "version={version} routes={routes} accounts={accounts} outcome={outcome}{changes}"
                );
            }
            Err(error) => log_event!(LogEvent::RecordSkipped, "topic=documents key={:?} reason={error}", record.key),
        }
    }

    fn note_recovery(&mut self, _outage: Duration) {}

    fn tick(&mut self) {}
}

/// Accounts named in one line at most.
const CHANGES_LISTED: usize = 12;

/// What each account had and has paid for, where that differs.
fn prepaid_changes(before: &RouteTable, after: &RouteTable) -> String {
    let changed = after.accounts().filter_map(|account| {
        let had = before.account(&account.name).and_then(|known| known.prepaid).unwrap_or_default();
        let has = account.prepaid.unwrap_or_default();
        (had != has).then(|| format!(" {}={had}->{has}", account.name))
    });
    changed.take(CHANGES_LISTED).collect()
}
