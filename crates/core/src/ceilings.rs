//! Prepaid credit under ceilings: before an instance uses credit, it writes to the log how much it may use.
//!
//! The log keeps a ceiling for each holder and client account, and the holder never uses more than its ceiling. The
//! sum of all ceilings of an account stays within the prepaid amount, so no account is overspent, whenever and however
//! many holders die. The unused part of a dead holder's ceiling is in doubt: no other holder can use it. Ceilings are
//! therefore kept only a few seconds of use above the amount used.
//!
//! This module has the records and the table of the newest one of each holder; `holder_credit` decides with them.
//! See `docs/CREDIT.md`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::forgotten_use::{ForgottenUse, bounded, dropped};
use crate::names::ClientAccountName;
use crate::quarantine::SuspectReport;
use crate::units::{Instant, LogPosition, Tokens};

/// Ceiling and use of one holder for one account, as the log keeps them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountCeiling {
    /// Tokens that the holder may use in total.
    pub ceiling: Tokens,
    /// Tokens that the holder had used when it wrote the record.
    pub settled: Tokens,
    /// Tokens above the ceiling that the holder may use while it cannot write, in the course of time.
    pub reserve: Tokens,
    /// Tokens of the reserve that become usable each second after [`RESERVE_DELAY`].
    pub reserve_rate: Tokens,
}

impl AccountCeiling {
    /// Tokens that the holder may ever use by this record, including the reserve.
    pub fn total(&self) -> Tokens {
        self.ceiling + self.reserve
    }

    /// Tokens of the reserve that may be used when no record was written for `isolation`.
    pub fn usable_reserve(&self, isolation: Duration) -> Tokens {
        usable_reserve(self.reserve, self.reserve_rate, isolation)
    }

    /// Tokens of the reserve that a dead holder may have used when its newest record was at most `age` old, if that is
    /// known. A holder of an earlier version states no rate and may use its whole reserve after [`ISOLATION_TIMEOUT`].
    pub(crate) fn reserve_in_doubt(&self, age: Option<Duration>) -> Tokens {
        match age.map(|age| age + CLOCK_MARGIN) {
            Some(age) if !self.reserve_rate.is_zero() => self.usable_reserve(age),
            Some(age) if age < ISOLATION_TIMEOUT => Tokens::ZERO,
            _ => self.reserve,
        }
    }

    /// Whether the holder may use more than it had used when it wrote the record.
    pub fn has_headroom(&self) -> bool {
        self.total() > self.settled
    }
}

/// Tokens of a `reserve` that may be used when no record was written for `isolation`: `rate` tokens for each second
/// after [`RESERVE_DELAY`].
///
/// What a dead holder can have used is therefore known from the age of its newest record, so a reserve may be much
/// larger than what the usual outage takes of it.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the product is positive, and it saturates"
)]
#[expect(clippy::cast_precision_loss, reason = "a rate is far below 2^52 tokens per second")]
pub(crate) fn usable_reserve(reserve: Tokens, rate: Tokens, isolation: Duration) -> Tokens {
    let seconds = isolation.saturating_sub(RESERVE_DELAY).as_secs_f64();
    reserve.min(Tokens((rate.0 as f64 * seconds) as u64))
}

/// Time without a write after which a holder may begin to use its reserve; records follow each other faster.
pub const RESERVE_DELAY: Duration = Duration::from_secs(1);

/// Time since a holder's last write after which the holder counts as isolated: it does not know the others' use.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time within which holders write again what an older copy of the store lacks: several renewals after a failed one.
const ERA_SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time between two records of a holder.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(450);

/// Part of [`ISOLATION_TIMEOUT`] that allows for rounding and drift of clocks.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);

/// Clocks that must be known before a reserve is released; with three, one clock that jumped back is outvoted.
const CLOCKS_MIN: usize = 3;

/// Time for which a new run waits for all clocks that the record of an earlier run names.
const CLOCK_PATIENCE: Duration = Duration::from_secs(1);

/// Longest wait for the clocks of other instances; after it, an earlier run is closed without taking back its reserve.
const CLOCK_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Age from which another holder's record is too old to serve as a witness of that holder's clock.
const WITNESS_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Maximum number of witnesses named in one record.
const WITNESSES_MAX: usize = 4;

/// Newest record of one holder, which replaces the holder's earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HolderRecord {
    /// Ceilings by account.
    pub ceilings: BTreeMap<ClientAccountName, AccountCeiling>,
    /// Number of the record among those of its holder; a record never replaces one of a higher number.
    pub number: u64,
    /// Era of the store in which the record was written.
    pub era: u64,
    /// Version of the document that was in force at the holder.
    pub document: u64,
    /// Whether the holder shut down or was closed and uses nothing more.
    pub closed: bool,
    /// Wall-clock time of the holder when it wrote the record, in milliseconds since 1970.
    pub timestamp: u64,
    /// Timestamps of other instances' earlier records, by instance.
    pub witnesses: BTreeMap<Arc<str>, u64>,
    /// Requests that the holder suspects of crashing backend servers; every instance reads these records anyway.
    pub suspects: Vec<SuspectReport>,
    /// Whether the holder keeps the use of accounts that its document leaves out, as earlier software does not.
    pub keeps_use: bool,
    /// What other holders have forgotten, as far as this one knows.
    pub forgotten: ForgottenUse,
}

/// Age of a dead holder's newest record when its instance started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordAge {
    /// At most this much.
    AtMost(Duration),
    /// Not known, and not needed or not to be learned.
    Unknown,
    /// Further clocks may still tell.
    Pending,
}

impl HolderRecord {
    /// Upper bound of the record's age by the clocks of several instances.
    ///
    /// `instance` wrote the record; `clocks` are the present wall-clock times by instance, in milliseconds since 1970.
    /// Clocks may jump, so this is the greatest of at least three measured ages, or `None` when fewer clocks are known.
    pub fn max_age(&self, instance: &str, clocks: &BTreeMap<Arc<str>, u64>) -> Option<Duration> {
        let written = self.witnesses.iter().map(|(name, at)| (&**name, *at)).chain([(instance, self.timestamp)]);
        let ages: Vec<u64> = written.filter_map(|(name, at)| Some(clocks.get(name)?.saturating_sub(at))).collect();
        let oldest = ages.iter().max().filter(|_| ages.len() >= CLOCKS_MIN);
        oldest.map(|age| Duration::from_millis(*age))
    }

    /// What the clocks known after `waited` tell of the record's age when the next run of `instance` started.
    ///
    /// All clocks that the record names are worth a short wait: the fewer decide, the likelier all of them have jumped.
    pub fn age_at_start(&self, instance: &str, clocks: &BTreeMap<Arc<str>, u64>, waited: Duration) -> RecordAge {
        let is_missing = |name: &str| !clocks.contains_key(name);
        let lacks_clock = is_missing(instance) || self.witnesses.keys().any(|name| is_missing(name));
        match self.max_age(instance, clocks) {
            _ if !self.has_reserve() => RecordAge::Unknown,
            _ if lacks_clock && waited < CLOCK_PATIENCE => RecordAge::Pending,
            Some(age) => RecordAge::AtMost(age),
            None if waited < CLOCK_TIMEOUT => RecordAge::Pending,
            None => RecordAge::Unknown,
        }
    }

    /// Record that closes a dead holder whose newest record was at most `age` old when it died, if that is known; the
    /// part of each reserve that it cannot have used by then is released.
    ///
    /// Nothing is released if the store is in a later `era` than the record: the holder may have raised its ceiling since,
    /// in records that the store has lost.
    #[must_use]
    pub fn to_closed(&self, age: Option<Duration>, era: u64) -> Self {
        let age = age.filter(|_| self.era == era);
        let mut closed = Self { closed: true, number: self.number.saturating_add(1), ..self.clone() };
        for entry in closed.ceilings.values_mut() {
            entry.reserve = entry.reserve_in_doubt(age);
        }
        closed
    }

    /// Whether any account has a reserve.
    pub fn has_reserve(&self) -> bool {
        self.ceilings.values().any(|entry| !entry.reserve.is_zero())
    }
}

/// Name of the instance in a holder name, which has the form `INSTANCE/RUN`.
pub fn instance_of(holder: &str) -> &str {
    holder.rsplit_once('/').map_or(holder, |(instance, _)| instance)
}

/// Newest record of every holder, as read from the log.
#[derive(Clone, Debug, Default)]
pub struct CeilingTable {
    holders: BTreeMap<Arc<str>, HolderEntry>,
    /// Use that holders of earlier software have dropped from their records; it is part of their entries.
    forgotten: ForgottenUse,
    next: LogPosition,
    /// When the present era of the store was entered; long ago if no change of era was seen.
    entered_at: Instant,
    /// When the log was read last.
    checked_at: Instant,
}

#[derive(Clone, Debug)]
struct HolderEntry {
    record: HolderRecord,
    read_at: Instant,
    /// Last era of the store in which it was seen to have this record.
    seen_era: u64,
}

impl HolderEntry {
    fn is_live(&self, now: Instant, silence: Duration) -> bool {
        !self.record.closed && now.since(self.read_at) <= silence
    }
}

/// Sums over all other holders of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherHolders {
    /// Sum of their ceilings and reserves.
    pub allowed: Tokens,
    /// Upper bound of their use: tokens settled by live holders, and ceilings and reserves of closed or silent ones.
    pub max_used: Tokens,
    /// Tokens settled by all of them, excluding tokens in doubt.
    pub reported: Tokens,
    /// Tokens settled by the live ones among them.
    pub live_use: Tokens,
}

impl CeilingTable {
    /// Position of the first record that was not applied yet.
    pub const fn next(&self) -> LogPosition {
        self.next
    }

    /// Marks every record before `next` as applied.
    pub fn advance(&mut self, next: LogPosition) {
        if next.era > self.next.era || next.offset > self.next.offset {
            self.next = next;
        }
    }

    /// Begins a read of records of `era`; in a later one than before, the store may lack records that were applied earlier.
    pub fn enter_era(&mut self, era: u64, now: Instant) {
        self.checked_at = now;
        if era > self.next.era {
            self.next = LogPosition { era, ..LogPosition::default() };
            self.entered_at = now;
        }
    }

    /// Replaces the record of `holder`, unless a newer one is known: after the store came back from an older copy, the
    /// records that it lost still count.
    pub fn apply(&mut self, holder: &Arc<str>, record: HolderRecord, now: Instant) {
        let order = |record: &HolderRecord| (record.number, record.closed, record.era);
        match self.holders.get(holder) {
            Some(known) if order(&known.record) > order(&record) => {}
            known => {
                let dropped = known.map(|known| dropped(&known.record, &record, now.since(known.read_at)));
                let forgotten = self.forgotten.entry(Arc::clone(holder)).or_default();
                forgotten.extend(dropped.unwrap_or_default());
                forgotten.retain(|account, _| !record.ceilings.contains_key(account));
                let told = record.forgotten.clone();
                let seen_era = self.next.era;
                self.holders.insert(Arc::clone(holder), HolderEntry { record, read_at: now, seen_era });
                self.restore(holder);
                self.merge_forgotten(told);
            }
        }
    }

    /// Adds what another holder tells of use that was dropped, unless the record concerned has it.
    fn merge_forgotten(&mut self, told: ForgottenUse) {
        for (holder, accounts) in told {
            let known = self.holders.get(&holder).map(|entry| entry.record.ceilings.clone()).unwrap_or_default();
            let unknown = accounts.into_iter().filter(|(account, _)| !known.contains_key(account));
            self.forgotten.entry(Arc::clone(&holder)).or_default().extend(unknown);
            self.restore(&holder);
        }
    }

    /// Adds to the entry of `holder` what it has dropped.
    fn restore(&mut self, holder: &Arc<str>) {
        let Some(forgotten) = self.forgotten.get(holder) else { return };
        if forgotten.is_empty() {
            self.forgotten.remove(holder);
        } else if let Some(entry) = self.holders.get_mut(holder) {
            entry.record.ceilings.extend(forgotten.clone());
        }
    }

    /// Use that holders of earlier software have dropped, for the next record of a holder.
    pub(crate) fn forgotten(&self) -> ForgottenUse {
        bounded(&self.forgotten)
    }

    /// Whether the newest records of all open holders but `own` were written in the present era of the store, so that
    /// none of their earlier raises can be unknown.
    pub fn is_complete(&self, own: &str) -> bool {
        !self.is_settling() && !self.holders.iter().any(|(name, entry)| &**name != own && self.is_outdated(entry))
    }

    /// Whether holders that know what an older copy of the store lacks may still have to write it again.
    ///
    /// A run that started since then knows only the copy, and may not even know of those holders.
    fn is_settling(&self) -> bool {
        let has_earlier = || self.holders.values().any(|entry| entry.record.era < self.next.era);
        self.checked_at.since(self.entered_at) < ERA_SETTLE_TIME && has_earlier()
    }

    /// Whether the newest record of an open holder is of an earlier era.
    fn is_outdated(&self, entry: &HolderEntry) -> bool {
        !entry.record.closed && entry.record.era < self.next.era
    }

    /// Records of holders other than `own`, living or dead, that are to be written again in the present era: those that
    /// the store lacks, and in the end those that their open holders did not write again.
    pub fn unrepeated(&self, own: &str) -> impl Iterator<Item = (Arc<str>, HolderRecord)> {
        let (era, is_settling) = (self.next.era, self.is_settling());
        let others = self.holders.iter().filter(move |(name, _)| &***name != own);
        let lost = others.filter(move |(_, entry)| entry.seen_era < era || (!is_settling && self.is_outdated(entry)));
        lost.map(move |(name, entry)| (Arc::clone(name), HolderRecord { era, ..entry.record.clone() }))
    }

    /// Newest record of `holder`.
    pub fn record(&self, holder: &str) -> Option<&HolderRecord> {
        self.holders.get(holder).map(|entry| &entry.record)
    }

    /// Sums for `account` over all holders but `own`; a holder without a record for `silence` is not live.
    pub fn others(&self, own: &str, account: &ClientAccountName, now: Instant, silence: Duration) -> OtherHolders {
        let mut sums = OtherHolders::default();
        for (holder, ceiling) in self.ceilings(own, account) {
            let is_dead = !holder.is_live(now, silence);
            sums.allowed += ceiling.total();
            sums.max_used += if is_dead { ceiling.total() } else { ceiling.settled };
            sums.reported += ceiling.settled;
            sums.live_use += if is_dead { Tokens::ZERO } else { ceiling.settled };
        }
        sums
    }

    /// Tokens of `account` that holders other than `own` may use by their newest records.
    pub(crate) fn allowed_to_others(&self, own: &str, account: &ClientAccountName) -> Tokens {
        self.ceilings(own, account).map(|(_, ceiling)| ceiling.total()).sum()
    }

    /// Newest records of holders other than `own` that contain a ceiling of `account`, with that ceiling.
    fn ceilings(
        &self,
        own: &str,
        account: &ClientAccountName,
    ) -> impl Iterator<Item = (&HolderEntry, &AccountCeiling)> {
        let others = self.holders.iter().filter(move |(name, _)| &***name != own);
        others.filter_map(move |(_, entry)| Some((entry, entry.record.ceilings.get(account)?)))
    }

    /// Open holders other than `own` with the headroom of `account` in their newest records, the largest first.
    pub fn headroom_by_holder(&self, own: &str, account: &ClientAccountName) -> Vec<(Arc<str>, Tokens)> {
        let others = self.holders.iter().filter(|(name, entry)| &***name != own && !entry.record.closed);
        let headroom = |entry: &HolderEntry| {
            let ceiling = entry.record.ceilings.get(account).copied().unwrap_or_default();
            ceiling.total().saturating_sub(ceiling.settled)
        };
        let mut holders: Vec<_> = others.map(|(name, entry)| (Arc::clone(name), headroom(entry))).collect();
        holders.sort_by_key(|(name, headroom)| (Reverse(*headroom), Arc::clone(name)));
        holders
    }

    /// Number of live holders other than `own`.
    pub fn live_count(&self, own: &str, now: Instant, silence: Duration) -> usize {
        self.live_holders(own, now, silence).count()
    }

    fn live_holders(&self, own: &str, now: Instant, silence: Duration) -> impl Iterator<Item = &Arc<str>> {
        let others = self.holders.iter().filter(move |(name, entry)| &***name != own && entry.is_live(now, silence));
        others.map(|(name, _)| name)
    }

    /// Whether no holder has any ceiling yet, as when the whole fleet starts for the first time.
    pub fn has_no_ceilings(&self) -> bool {
        self.holders.values().all(|entry| entry.record.ceilings.is_empty())
    }

    /// Earlier runs of `own`'s instance that were not closed, with their newest records.
    pub fn predecessors(&self, own: &str) -> Vec<(Arc<str>, HolderRecord)> {
        let is_dead = |name: &Arc<str>| &**name != own && instance_of(name) == instance_of(own);
        let dead = self.holders.iter().filter(|(name, entry)| is_dead(name) && !entry.record.closed);
        dead.map(|(name, entry)| (Arc::clone(name), entry.record.clone())).collect()
    }

    /// Timestamps of the other instances' records that were read last, within [`WITNESS_MAX_AGE`].
    ///
    /// The oldest witness bounds the age of the own record, so a few recent ones prove more than many.
    pub(crate) fn witnesses(&self, own: &str, now: Instant) -> BTreeMap<Arc<str>, u64> {
        let is_other = |name: &str| instance_of(name) != instance_of(own);
        let recent = self.holders.iter().filter(|(name, entry)| is_other(name) && entry.is_live(now, WITNESS_MAX_AGE));
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(name, entry)| (Reverse(entry.read_at), Reverse(entry.record.timestamp), *name));
        let witnesses = recent.into_iter().take(WITNESSES_MAX);
        witnesses.map(|(name, entry)| (Arc::from(instance_of(name)), entry.record.timestamp)).collect()
    }

    /// Newest document version in any holder's record.
    pub fn newest_document(&self) -> u64 {
        self.holders.values().map(|entry| entry.record.document).max().unwrap_or_default()
    }
}
