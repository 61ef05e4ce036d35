//! Keeps the newest document of the operators in force; it never goes back to an older one.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::routes::RouteTable;

use crate::board::Board;
use crate::borders::{KeyedRecord, RecordDialect};
use crate::events::Event;
use crate::feed::FeedSink;
use crate::fleet_event;

/// Controller that puts documents in force.
#[derive(Debug)]
pub struct DocumentKeeper {
    /// Board.
    pub board: Arc<Board>,
    /// Meaning of the records.
    pub dialect: Arc<dyn RecordDialect>,
}

impl FeedSink for DocumentKeeper {
    fn take_list(&mut self, records: Vec<KeyedRecord>) {
        for record in records {
            self.take(record);
        }
    }

    fn take(&mut self, record: KeyedRecord) {
        match self.dialect.document(&record) {
            Ok(None) => {}
            Ok(Some(table)) => {
                let (version, routes) = (table.version(), table.route_count());
                let accounts = table.accounts().count();
                let changes = self.board.table().map(|before| prepaid_changes(&before, &table)).unwrap_or_default();
                let is_newer = self.board.put_table(table);
                let outcome = if is_newer { "in-force" } else { "older-skipped" };
                fleet_event!(
                    Event::DocumentApplied,
                    "version={version} routes={routes} accounts={accounts} outcome={outcome}{changes}"
                );
            }
            Err(error) => fleet_event!(Event::RecordSkipped, "topic=documents key={:?} reason={error}", record.key),
        }
    }

    fn note_back(&mut self, _outage: Duration) {}

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
