//! Blame of prompt parts that crash the backend servers which begin to answer on them.
//!
//! Requests with such a part need not be alike and arrive at any instance, so crashes are counted by part, over the
//! whole fleet. A lost server takes sound requests with it. Their parts differ from a bad one in that requests with
//! them are answered completely, so one complete answer clears a part. See `docs/ADMISSION.md#parts`.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use derive_more::Display;

use crate::names::{BackendServerName, ClientAccountName};
use crate::units::Instant;

/// Number of crashes of unanswered requests that convict a part.
pub const UNANSWERED_CRASHES: usize = 3;

/// Number of crashes that convict a part if some of the requests had received events.
pub const CRASHES: usize = 5;

/// Time after its last crash for which a part is remembered.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(3_600);

/// Time for which the first conviction of a part lasts; it doubles with each further crash.
pub const CONVICTION_MIN: Duration = Duration::from_secs(120);

/// Longest time for which a conviction lasts.
pub const CONVICTION_MAX: Duration = Duration::from_secs(3_600);

/// Time between the trials of a formerly convicted part by one instance and by the next.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(30);

/// Time after a complete answer in which a crash does not count against the parts of the request.
pub const SOUND_TIME: Duration = Duration::from_secs(30);

/// Time for which an instance remembers that it saw a complete answer.
const SOUND_TTL: Duration = Duration::from_secs(600);

/// Milliseconds between crashes of different servers that count as separate ones; servers that are lost at the same
/// moment have a common cause.
const MOMENT_MS: u64 = 100;

/// Milliseconds between two crashes of the same server; instances whose clocks differ report one crash at two times.
const RESTART_MS: u64 = 3_000;

/// Maximum number of parts with crashes that are remembered.
pub const PARTS_MAX: usize = 2_048;

/// Maximum number of crashes remembered of a part.
const CRASHES_MAX: usize = 16;

/// Maximum number of parts in one record, those with the newest evidence first.
pub const REPORTS_MAX: usize = 64;

/// Maximum number of complete answers remembered; up to twice as many are kept.
const SOUND_MAX: usize = 8_192;

/// Loss of a server while a request with the part was open there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartCrash {
    /// Time of day in milliseconds since the Unix epoch.
    pub at: u64,
    /// Server that was lost.
    pub server: BackendServerName,
    /// Client account of the request.
    pub account: ClientAccountName,
    /// Version of the weights on the server.
    pub weights: u64,
    /// Whether the request had received events.
    pub is_answered: bool,
}

/// What one instance reports of a part; merging it is idempotent and independent of the order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartReport {
    /// Id of the part.
    pub part: u64,
    /// Crashes while requests with the part were open.
    pub crashes: BTreeSet<PartCrash>,
    /// Time of day of the last complete answer in milliseconds, by the version of the weights that gave it.
    pub sound: BTreeMap<u64, u64>,
}

/// Whether requests with a part may run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PartStatus {
    /// Requests with the part may run.
    #[display("clear")]
    Clear,
    /// Requests with the part may run one at a time.
    #[display("suspect")]
    Suspect,
    /// Requests with the part must not run for this time.
    #[display("convicted")]
    Convicted(Duration),
}

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

/// Monotonic time and time of day, read at the same moment.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Monotonic time.
    pub now: Instant,
    /// Milliseconds since the Unix epoch.
    pub unix: u64,
}

/// Request of a client account, as far as it matters for the status of a part.
#[derive(Clone, Copy, Debug)]
pub struct PartUse<'a> {
    /// Client account of the request.
    pub account: &'a ClientAccountName,
    /// Version of the weights on which it would run.
    pub weights: u64,
    /// Number of instances that may try a formerly convicted part before this one.
    pub turn: u32,
}

#[derive(Clone, Debug, Default)]
struct PartRecord {
    report: PartReport,
    /// When the last crash happened.
    crashed_at: Instant,
    /// Whether this instance contributed to the evidence and so reports it.
    is_own: bool,
}

impl PartRecord {
    /// Crashes that no later complete answer on the same weights refutes.
    fn counted(&self) -> impl Iterator<Item = &PartCrash> {
        let is_refuted =
            |crash: &PartCrash| self.report.sound.get(&crash.weights).is_some_and(|answered| *answered >= crash.at);
        self.report.crashes.iter().filter(move |crash| !is_refuted(crash))
    }

    /// Counted crashes that bear on `account`: those of its own requests, or all if several accounts met them, so that
    /// no account can have a part of another one convicted.
    fn bearing_on(&self, account: &ClientAccountName) -> Vec<&PartCrash> {
        let accounts: BTreeSet<_> = self.counted().map(|crash| &crash.account).collect();
        self.counted().filter(|crash| accounts.len() > 1 || crash.account == *account).collect()
    }

    fn status(&self, request: &PartUse<'_>, now: Instant) -> PartStatus {
        let crashes = self.bearing_on(request.account);
        let is_read_well = self.report.sound.contains_key(&request.weights)
            && crashes.iter().all(|crash| crash.weights != request.weights);
        let total = separate_crashes(crashes.iter().copied());
        let unanswered = separate_crashes(crashes.iter().copied().filter(|crash| !crash.is_answered));
        let is_convicted = unanswered >= UNANSWERED_CRASHES || total >= CRASHES;
        let doublings = u32::try_from(total.saturating_sub(UNANSWERED_CRASHES)).unwrap_or(u32::MAX).min(8);
        let conviction = CONVICTION_MIN.saturating_mul(1 << doublings).min(CONVICTION_MAX);
        let until = self.crashed_at.after(conviction + TRIAL_INTERVAL.saturating_mul(request.turn));
        match total {
            0 => PartStatus::Clear,
            _ if is_read_well || self.has_expired(now) => PartStatus::Clear,
            _ if is_convicted && now < until => PartStatus::Convicted(until.since(now)),
            _ => PartStatus::Suspect,
        }
    }

    fn has_expired(&self, now: Instant) -> bool {
        now.since(self.crashed_at) >= EVIDENCE_TTL
    }

    fn first_account(&self) -> Option<&ClientAccountName> {
        self.report.crashes.first().map(|crash| &crash.account)
    }

    /// Adds a crash that happened at `crashed_at`, and returns whether it is new.
    fn add_crash(&mut self, crash: PartCrash, crashed_at: Instant) -> bool {
        if !self.report.crashes.insert(crash) {
            return false;
        }
        self.crashed_at = self.crashed_at.max(crashed_at);
        if self.report.crashes.len() > CRASHES_MAX {
            self.report.crashes.pop_first();
        }
        true
    }

    /// Records a complete answer at `unix`, and returns whether it is news to a part that stands accused.
    fn add_sound(&mut self, weights: u64, unix: u64) -> bool {
        let is_news = self.counted().next().is_some() && self.report.sound.get(&weights).is_none_or(|at| *at < unix);
        if is_news {
            self.report.sound.insert(weights, unix);
        }
        is_news
    }
}

/// Counts crashes, of which those at the same moment are one.
fn separate_crashes<'a>(crashes: impl Iterator<Item = &'a PartCrash>) -> usize {
    let mut counted: Vec<&PartCrash> = Vec::new();
    for crash in crashes {
        let is_same = |other: &&PartCrash| {
            let gap = if other.server == crash.server { RESTART_MS } else { MOMENT_MS };
            crash.at.abs_diff(other.at) < gap
        };
        if !counted.iter().any(is_same) {
            counted.push(crash);
        }
    }
    counted.len()
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
    pub const fn repeat_reports(&mut self) {
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

    /// Reports of the parts to whose evidence this instance contributed, at most `REPORTS_MAX`, the newest ones.
    pub fn own_reports(&mut self, now: Instant) -> Vec<PartReport> {
        self.answers.clear();
        let is_current = |record: &&PartRecord| record.is_own && !record.has_expired(now);
        let mut own: Vec<&PartRecord> = self.records.values().filter(is_current).collect();
        own.sort_by_key(|record| std::cmp::Reverse(record.crashed_at));
        own.truncate(REPORTS_MAX);
        own.into_iter().map(|record| record.report.clone()).collect()
    }

    /// Number of parts that are convicted for at least one client account.
    pub fn convicted_count(&self, now: Instant) -> usize {
        self.records.values().filter(|record| is_convicted(record, now)).count()
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
        let evicted = of_largest.min_by_key(|(_, record)| (is_convicted(record, now), record.crashed_at));
        if let Some(evicted) = evicted.map(|(part, _)| *part) {
            self.records.remove(&evicted);
        }
    }
}

fn is_convicted(record: &PartRecord, now: Instant) -> bool {
    let uses =
        record.report.crashes.iter().map(|crash| PartUse { account: &crash.account, weights: crash.weights, turn: 0 });
    uses.into_iter().any(|request| matches!(record.status(&request, now), PartStatus::Convicted(_)))
}
