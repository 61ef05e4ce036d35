//! Blame of prompt parts that crash the backend servers which begin to answer on them.
//!
//! Requests with such a part need not be alike and arrive at any instance, so crashes are counted by part, over the
//! whole fleet. A lost server takes sound requests with it. Their parts differ from a bad one in that requests with
//! them are answered completely, so one complete answer clears a part. See `docs/ADMISSION.md#parts`.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use crate::names::{BackendServerName, ClientAccountName};
use crate::part_evidence::{EVIDENCE_TTL, PartCrash, PartRecord, PartReport, PartStatus, PartUse};
use crate::units::{ClockReading, Instant};

/// Time after a complete answer in which a crash does not count against the parts of the request.
pub const SOUND_TIME: Duration = Duration::from_secs(30);

/// Time for which an instance remembers that it saw a complete answer.
const SOUND_TTL: Duration = Duration::from_secs(600);

/// Maximum number of parts with crashes that are remembered.
pub const PARTS_MAX: usize = 2_048;

/// Maximum number of parts in one record, those with the newest evidence first.
pub const REPORTS_MAX: usize = 64;

/// Maximum number of complete answers remembered; up to twice as many are kept.
const SOUND_MAX: usize = 8_192;

/// Change of a part's status, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartChange {
    /// Id of the part.
    pub part: u64,
    /// Status for the client account whose request crashed last.
    pub status: PartStatus,
    /// Servers whose loss counts against the part.
    pub servers: Vec<BackendServerName>,
}

/// Complete answers by part and weights, in two generations of which the older one is dropped when the newer is full.
#[derive(Debug, Default)]
struct SoundAnswers {
    newer: HashMap<(u64, u64), Instant>,
    older: HashMap<(u64, u64), Instant>,
}

impl SoundAnswers {
    fn insert(&mut self, part: u64, weights: u64, now: Instant) {
        if self.newer.len() >= SOUND_MAX {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert((part, weights), now);
    }

    fn age(&self, part: u64, weights: u64, now: Instant) -> Option<Duration> {
        let key = (part, weights);
        self.newer.get(&key).or_else(|| self.older.get(&key)).map(|at| now.since(*at))
    }
}

/// Evidence about prompt parts that is known to one instance.
#[derive(Debug, Default)]
pub struct PartBlame {
    records: BTreeMap<u64, PartRecord>,
    sound: SoundAnswers,
    /// Parts of which a request runs on trial at this instance.
    trials: HashSet<u64>,
    has_news: bool,
    /// Parts whose own evidence has changed since it was reported.
    unreported: BTreeSet<u64>,
    /// Accused parts that this instance can clear by a complete answer of its own, which others may do first.
    answers: BTreeSet<u64>,
}

impl PartBlame {
    /// Returns whether there is evidence about one of `parts`.
    pub fn knows_any(&self, parts: impl IntoIterator<Item = u64>) -> bool {
        parts.into_iter().any(|part| self.records.contains_key(&part))
    }

    /// Returns whether a request with `part` may run.
    pub fn status(&self, part: u64, request: &PartUse<'_>, now: Instant) -> PartStatus {
        self.records.get(&part).map_or(PartStatus::Clear, |record| record.status(request, now))
    }

    /// Returns whether this instance saw complete answers on all of `parts` and none stands accused since.
    pub fn are_proven(&self, parts: impl IntoIterator<Item = u64>, request: &PartUse<'_>, now: Instant) -> bool {
        parts.into_iter().all(|part| {
            let is_sound = self.sound.age(part, request.weights, now).is_some_and(|age| age < SOUND_TTL);
            is_sound && self.status(part, request, now) == PartStatus::Clear
        })
    }

    /// Marks a suspected part as on trial, and returns false if a request with it already is.
    pub fn start_trial(&mut self, part: u64) -> bool {
        self.trials.insert(part)
    }

    /// Ends the trial of a part.
    pub fn end_trial(&mut self, part: u64) {
        self.trials.remove(&part);
    }

    /// Records that a request with `parts` was answered completely.
    pub fn record_sound(
        &mut self,
        parts: impl IntoIterator<Item = u64>,
        weights: u64,
        clock: ClockReading,
    ) -> Vec<PartChange> {
        let mut changes = Vec::new();
        for part in parts {
            self.sound.insert(part, weights, clock.now);
            let Some(record) = self.records.get_mut(&part) else { continue };
            if record.add_sound(weights, clock.unix) {
                record.is_own = true;
                self.unreported.insert(part);
                self.answers.insert(part);
                changes.extend(self.change(part, clock.now));
            }
        }
        changes
    }

    /// Records the loss of a server under a request with `parts`; parts that were just answered well are not accused.
    pub fn record_crash(
        &mut self,
        parts: impl IntoIterator<Item = u64>,
        crash: &PartCrash,
        now: Instant,
    ) -> Vec<PartChange> {
        let mut changes = Vec::new();
        for part in parts {
            if self.sound.age(part, crash.weights, now).is_some_and(|age| age < SOUND_TIME) {
                continue;
            }
            self.evict_if_full(part, now);
            let record = self.records.entry(part).or_default();
            record.report.part = part;
            record.is_own = true;
            record.add_crash(crash.clone(), now);
            self.unreported.insert(part);
            self.has_news = true;
            changes.extend(self.change(part, now));
        }
        changes
    }

    /// Merges the reports of an instance; `is_own` tells that they are those of an earlier run of this one.
    ///
    /// An instance that has just seen a complete answer on an accused part adds it.
    pub fn merge(&mut self, reports: Vec<PartReport>, is_own: bool, clock: ClockReading) -> Vec<PartChange> {
        let mut changes = Vec::new();
        for report in reports {
            self.evict_if_full(report.part, clock.now);
            let record = self.records.entry(report.part).or_default();
            record.report.part = report.part;
            record.is_own |= is_own;
            let mut is_changed = false;
            for crash in report.crashes {
                let age = Duration::from_millis(clock.unix.saturating_sub(crash.at));
                if age >= EVIDENCE_TTL {
                    continue;
                }
                let weights = crash.weights;
                is_changed |= record.add_crash(crash, clock.now.before(age));
                let sound_age = self.sound.age(report.part, weights, clock.now);
                if sound_age.is_some_and(|age| age < SOUND_TIME) && record.add_sound(weights, clock.unix) {
                    record.is_own = true;
                    self.unreported.insert(report.part);
                    self.answers.insert(report.part);
                }
            }
            for (weights, at) in report.sound {
                let known = record.report.sound.entry(weights).or_default();
                is_changed |= *known < at;
                *known = at.max(*known);
                self.answers.remove(&report.part);
            }
            if is_changed {
                changes.extend(self.change(report.part, clock.now));
            }
        }
        changes
    }

    /// Has the own evidence reported again, since the reports were lost.
    pub fn repeat_reports(&mut self) {
        self.unreported.extend(self.records.iter().filter(|(_, record)| record.is_own).map(|(part, _)| *part));
        self.has_news = true;
    }

    /// Returns whether there is something to report at once since the last call.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Returns whether complete answers are to be reported that no other instance has told yet.
    pub fn has_answers(&self) -> bool {
        !self.answers.is_empty()
    }

    /// Reports of the own evidence that has changed since the last call, and of the parts that it convicts, at most
    /// `REPORTS_MAX`, the newest ones.
    ///
    /// Hundreds of instances read each report, so what they know already is left out; an instance that has just started
    /// finds the convicted parts in the newest records.
    pub fn own_reports(&mut self, now: Instant) -> Vec<PartReport> {
        self.answers.clear();
        let unreported = std::mem::take(&mut self.unreported);
        let is_due = |record: &&PartRecord| {
            let is_needed = unreported.contains(&record.report.part) || record.is_convicted(now);
            record.is_own && is_needed && !record.has_expired(now)
        };
        let mut own: Vec<&PartRecord> = self.records.values().filter(is_due).collect();
        own.sort_by_key(|record| std::cmp::Reverse(record.crashed_at));
        own.truncate(REPORTS_MAX);
        own.into_iter().map(|record| record.report.clone()).collect()
    }

    /// Number of parts that are convicted for at least one client account.
    pub fn convicted_count(&self, now: Instant) -> usize {
        self.records.values().filter(|record| record.is_convicted(now)).count()
    }

    fn change(&self, part: u64, now: Instant) -> Option<PartChange> {
        let record = self.records.get(&part)?;
        let last = record.report.crashes.last()?;
        let request = PartUse { account: &last.account, weights: last.weights, turn: 0 };
        let servers = record.counted().map(|crash| crash.server.clone()).collect();
        Some(PartChange { part, status: record.status(&request, now), servers })
    }

    /// Makes room for `part`: evicts what has expired, or else the oldest record, without a conviction if possible, of
    /// the client account with most records, so that no account can push out the evidence of others.
    fn evict_if_full(&mut self, part: u64, now: Instant) {
        if self.records.len() < PARTS_MAX || self.records.contains_key(&part) {
            return;
        }
        self.records.retain(|_, record| !record.has_expired(now));
        if self.records.len() < PARTS_MAX {
            return;
        }
        let mut counts: BTreeMap<Option<&ClientAccountName>, usize> = BTreeMap::new();
        for record in self.records.values() {
            *counts.entry(record.first_account()).or_default() += 1;
        }
        let largest = counts.into_iter().max_by_key(|(_, count)| *count).and_then(|(account, _)| account);
        let of_largest = self.records.iter().filter(|(_, record)| record.first_account() == largest);
        let evicted = of_largest.min_by_key(|(_, record)| (record.is_convicted(now), record.crashed_at));
        if let Some(evicted) = evicted.map(|(part, _)| *part) {
            self.records.remove(&evicted);
        }
    }
}
