//! Updates with which a table of loads is told over a link, and both ends of the link.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet_load::{
    ENGINES_MAX, EngineId, EngineLoad, EngineSpeeds, FRAME_OVERHEAD_BYTES, FULL_INTERVAL, HELD_UNIT, LoadTable,
    SILENCE_MAX, UPDATE_INTERVAL,
};
use crate::units::Instant;

/// Time after which an empty update shows that the sender is alive. Three fit into [`SILENCE_MAX`], since an instance
/// with a tenth of a processor core may be delayed by some hundred milliseconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(300);

/// Bytes of one load or the speeds of one engine in a frame: 10 to 12 in `crates/testkit/tests/load_traffic.rs`.
const ENTRY_BYTES: usize = 12;

/// Part of what a link may carry in [`SILENCE_MAX`] that a complete update may take.
const LARGEST_PART: f64 = 0.8;

/// Message that tells a table: either all of it, or the loads that changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadUpdate {
    /// Number of the update on its link; one that is not greater than the last is discarded.
    pub number: u64,
    /// Whether the update replaces the table.
    pub is_full: bool,
    /// Loads; zero removes an engine.
    pub loads: Vec<(EngineId, EngineLoad)>,
    /// Whether the sender tells no table, since a complete one takes longer than [`SILENCE_MAX`] on the link.
    pub is_withdrawn: bool,
    /// Speeds, in complete updates only.
    pub speeds: Vec<(EngineId, EngineSpeeds)>,
}

/// Table as a link has told it.
#[derive(Clone, Debug, Default)]
pub struct ReceivedTable {
    table: LoadTable,
    number: u64,
    has_full: bool,
    heard_at: Instant,
}

impl ReceivedTable {
    /// Empty table of a link that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { heard_at: now, ..Self::default() }
    }

    /// Applies an update and returns whether it counts; late and repeated ones don't, nor changes of an unknown table.
    pub fn apply(&mut self, update: LoadUpdate, now: Instant) -> bool {
        if update.number <= self.number || !(update.is_full || update.is_withdrawn || self.has_full) {
            return false;
        }
        self.number = update.number;
        self.heard_at = now;
        if update.is_withdrawn {
            self.has_full = false;
            self.table = LoadTable::default();
            return true;
        }
        if update.is_full {
            self.has_full = true;
            let loads = update.loads.into_iter().filter(|(_, load)| !load.is_zero()).take(ENGINES_MAX);
            self.table =
                LoadTable { loads: loads.collect(), speeds: update.speeds.into_iter().take(ENGINES_MAX).collect() };
            return true;
        }
        for (engine, load) in update.loads {
            if load.is_zero() {
                self.table.loads.remove(&engine);
            } else if self.table.loads.len() < ENGINES_MAX || self.table.loads.contains_key(&engine) {
                self.table.loads.insert(engine, load);
            }
        }
        true
    }

    /// Table as of the newest update.
    pub const fn table(&self) -> &LoadTable {
        &self.table
    }

    /// Whether an update was received that counts.
    pub const fn has_message(&self) -> bool {
        self.number > 0
    }

    /// Whether a complete update was received.
    pub const fn is_known(&self) -> bool {
        self.has_full
    }

    /// Time since the newest update.
    pub const fn age(&self, now: Instant) -> Duration {
        now.since(self.heard_at)
    }
}

/// Whether a load is to be told again. A changed number of KV tokens alone waits for the next complete update unless it
/// differs by a sixteenth, since every event of every stream changes it.
fn is_news(told: Option<&EngineLoad>, load: &EngineLoad) -> bool {
    told.is_none_or(|told| {
        told.open != load.open
            || told.prefill != load.prefill
            || told.held.abs_diff(load.held) > (told.held / 16).max(HELD_UNIT)
    })
}

/// Decides what is sent on one link and when.
#[derive(Clone, Debug)]
pub struct UpdateSender {
    bytes_per_second: f64,
    told: BTreeMap<EngineId, EngineLoad>,
    number: u64,
    full_at: Option<Instant>,
    sent_at: Instant,
    next_at: Instant,
}

impl UpdateSender {
    /// Sender of a new link that may use `bytes_per_second`.
    pub const fn new(bytes_per_second: f64) -> Self {
        let never = Instant(Duration::ZERO);
        Self { bytes_per_second, told: BTreeMap::new(), number: 0, full_at: None, sent_at: never, next_at: never }
    }

    /// Whether an update may be sent at `now`.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next_at
    }

    /// Update that tells `table`, if one is due.
    pub fn next(&mut self, table: &LoadTable, now: Instant) -> Option<LoadUpdate> {
        if !self.is_due(now) {
            return None;
        }
        let is_withdrawn = self.is_too_large(table);
        let is_full = !is_withdrawn && self.full_at.is_none_or(|at| now.since(at) >= FULL_INTERVAL);
        let rounded = |load: &EngineLoad| load.rounded();
        let mut update = LoadUpdate { is_full, is_withdrawn, ..LoadUpdate::default() };
        if is_withdrawn {
            if now.since(self.sent_at) < KEEPALIVE_INTERVAL {
                return None;
            }
            self.full_at = None;
            self.told.clear();
        } else if is_full {
            self.told = table.loads.iter().take(ENGINES_MAX).map(|(engine, load)| (*engine, rounded(load))).collect();
            update.loads = self.told.iter().map(|(engine, load)| (*engine, *load)).collect();
            update.speeds = table.speeds.iter().take(ENGINES_MAX).map(|(engine, speed)| (*engine, *speed)).collect();
            self.full_at = Some(now);
        } else {
            let ended = self.told.keys().filter(|engine| !table.loads.contains_key(engine));
            update.loads = ended.map(|engine| (*engine, EngineLoad::default())).collect();
            let current = table.loads.iter().take(ENGINES_MAX).map(|(engine, load)| (*engine, rounded(load)));
            update.loads.extend(current.filter(|(engine, load)| is_news(self.told.get(engine), load)));
            update.loads.truncate(ENGINES_MAX);
            if update.loads.is_empty() && now.since(self.sent_at) < KEEPALIVE_INTERVAL {
                return None;
            }
            for (engine, load) in &update.loads {
                match load.is_zero() {
                    true => self.told.remove(engine),
                    false => self.told.insert(*engine, *load),
                };
            }
        }
        self.number += 1;
        update.number = self.number;
        self.sent_at = now;
        Some(update)
    }

    /// Whether a complete update takes so long on the link that the receiver would discard it before the next one. The
    /// selection would then change between two rules each second.
    #[expect(clippy::cast_precision_loss, reason = "tables have some thousand entries")]
    fn is_too_large(&self, table: &LoadTable) -> bool {
        let entries = table.loads.len().min(ENGINES_MAX) + table.speeds.len().min(ENGINES_MAX);
        (entries * ENTRY_BYTES) as f64 > self.bytes_per_second * SILENCE_MAX.as_secs_f64() * LARGEST_PART
    }

    /// Records that the frame of the last update has `bytes`; the next one follows when the link may carry it.
    #[expect(clippy::cast_precision_loss, reason = "frames are below 64 KiB")]
    pub fn note_sent(&mut self, bytes: usize, now: Instant) {
        let cost = Duration::from_secs_f64((bytes + FRAME_OVERHEAD_BYTES) as f64 / self.bytes_per_second);
        // Counts from when this update was allowed, so that callers that ask once in an interval use the whole rate.
        let allowed_at = self.next_at.max(now.before(UPDATE_INTERVAL));
        self.next_at = allowed_at.after(cost.max(UPDATE_INTERVAL));
    }

    /// Records that the last update was not sent, so that the next one is complete.
    pub const fn note_dropped(&mut self) {
        self.full_at = None;
    }
}
