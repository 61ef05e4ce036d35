//! Prepaid credit under ceilings: before an instance uses credit, it writes to the log how much it may use.
//!
//! The log keeps a ceiling for each holder and client account, and the holder never uses more than its ceiling. The
//! sum of all ceilings of an account stays within the prepaid amount, so no account is overspent, whenever and however
//! many holders die. The unused part of a dead holder's ceiling is in doubt: no other holder can use it. Ceilings are
//! therefore kept only a few seconds of use above the amount used.
//!
//! Records are appended unconditionally. A holder decides at the log position of its own record whether a raise
//! counts: it must fit beside the newest earlier records of all other holders. See `docs/CREDIT.md#order`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::names::ClientAccountName;
use crate::quarantine::SuspectReport;
use crate::rate::Rate;
use crate::units::{Instant, Offset, Tokens};
use xxhash_rust::xxh3::xxh3_64;

/// Ceiling and use of one holder for one account, as the log keeps them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountCeiling {
    /// Tokens that the holder may use in total.
    pub ceiling: Tokens,
    /// Tokens that the holder had used when it wrote the record.
    pub settled: Tokens,
    /// Tokens above the ceiling that the holder may use after it could not write for [`ISOLATION_TIMEOUT`].
    pub reserve: Tokens,
}

impl AccountCeiling {
    /// Tokens that the holder may ever use by this record, including the reserve.
    pub fn total(&self) -> Tokens {
        self.ceiling + self.reserve
    }

    /// Whether the holder may use more than it had used when it wrote the record.
    pub fn has_headroom(&self) -> bool {
        self.total() > self.settled
    }
}

/// Time since a holder's last write after which the holder counts as isolated and may use its reserve.
///
/// A killed run wrote every [`WRITE_INTERVAL`] and is replaced within about 1.5 s; the remaining time allows its
/// successor to read the other instances' clocks.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two records of a holder.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(450);

/// Part of [`ISOLATION_TIMEOUT`] that allows for rounding and drift of clocks.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);

/// Clocks that must be known before a reserve is released; with three, one clock that jumped back is outvoted.
const CLOCKS_MIN: usize = 3;

/// Age from which another holder's record is too old to serve as a witness of that holder's clock.
const WITNESS_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Number of instances that lend an account's headroom to the others in a fleet larger than [`SHARED_FLEET_MAX`]. With
/// one lender, its death would block the account until the death is detected.
const LENDERS: usize = 2;

/// Number of parts into which an account's unused credit is first divided in a large fleet: one for each lender by
/// rendezvous hash, the others for heavy users.
const LARGE_FLEET_PARTS: u64 = 4;

/// An instance that used at least `1 / HEAVY_USE_DIVISOR` of an account's use is a lender too.
const HEAVY_USE_DIVISOR: u64 = 8;

/// An instance that used less than `1 / MIN_USE_DIVISOR` of the prepaid amount is never a heavy user, since the use of
/// the other instances is not known yet.
const MIN_USE_DIVISOR: u64 = 200;

/// Largest fleet, in instances, in which every instance holds headroom of every account.
const SHARED_FLEET_MAX: usize = 10;

/// Maximum number of witnesses named in one record.
const WITNESSES_MAX: usize = 8;

/// Newest record of one holder, which replaces the holder's earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HolderRecord {
    /// Ceilings by account.
    pub ceilings: BTreeMap<ClientAccountName, AccountCeiling>,
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

    /// Whether a dead holder cannot have used its reserve: by `clocks`, its last record was younger than
    /// [`ISOLATION_TIMEOUT`] when it died.
    pub fn is_reserve_unused(&self, instance: &str, clocks: &BTreeMap<Arc<str>, u64>) -> bool {
        self.max_age(instance, clocks).is_some_and(|age| age + CLOCK_MARGIN < ISOLATION_TIMEOUT)
    }

    /// Whether the record was already so old when the holder's successor started that no clock can prove the reserve
    /// unused.
    pub fn is_stale(&self, instance: &str, clocks: &BTreeMap<Arc<str>, u64>) -> bool {
        let age = clocks.get(instance).map(|now| Duration::from_millis(now.saturating_sub(self.timestamp)));
        age.is_some_and(|age| age + CLOCK_MARGIN >= ISOLATION_TIMEOUT)
    }

    /// Record that closes a dead holder; its reserve is released when it cannot have been used.
    #[must_use]
    pub fn to_closed(&self, is_reserve_unused: bool) -> Self {
        let mut closed = Self { closed: true, ..self.clone() };
        for entry in closed.ceilings.values_mut().filter(|_| is_reserve_unused) {
            entry.reserve = Tokens::ZERO;
        }
        closed
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
    next: Offset,
}

#[derive(Clone, Debug)]
struct HolderEntry {
    record: HolderRecord,
    read_at: Instant,
}

impl HolderEntry {
    fn is_live(&self, now: Instant, silence: Duration) -> bool {
        !self.record.closed && now.since(self.read_at) <= silence
    }
}

/// Use of one account by one instance.
#[derive(Clone, Copy, Debug)]
pub struct AccountUsage<'a> {
    /// The account.
    pub account: &'a ClientAccountName,
    /// Tokens that the instance used.
    pub used: Tokens,
    /// Tokens that the account paid for.
    pub prepaid: Tokens,
}

/// Role of an instance in the credit of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditRole {
    /// Every live instance holds a share; the value is their number.
    Shared(u64),
    /// One of the few instances of a large fleet that hold headroom and lend it to the others.
    Lender,
    /// An instance of a large fleet that borrows from the lenders.
    Borrower,
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
    /// Offset of the first record that was not applied yet.
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Marks every record before `next` as applied.
    pub fn advance(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }

    /// Replaces the record of `holder` by a newer one.
    pub fn apply(&mut self, holder: &Arc<str>, record: HolderRecord, now: Instant) {
        self.holders.insert(Arc::clone(holder), HolderEntry { record, read_at: now });
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
    fn allowed_to_others(&self, own: &str, account: &ClientAccountName) -> Tokens {
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
        holders.sort_by_key(|(name, headroom)| (std::cmp::Reverse(*headroom), Arc::clone(name)));
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

    /// Role of `own` in the credit of the account named by `usage`.
    ///
    /// A large fleet has few lenders, chosen by rendezvous hash: headroom divided among all instances would cover no
    /// single request, and all of them would write records.
    pub fn credit_role(&self, own: &str, usage: AccountUsage<'_>, now: Instant, silence: Duration) -> CreditRole {
        let AccountUsage { account, used, prepaid } = usage;
        let fleet = self.live_count(own, now, silence) + 1;
        if fleet <= SHARED_FLEET_MAX {
            return CreditRole::Shared(fleet as u64);
        }
        let weight = |name: &str| xxh3_64(format!("{account}\n{}", instance_of(name)).as_bytes());
        let own_weight = weight(own);
        let before =
            self.live_holders(own, now, silence).filter(|name| weight(name) > own_weight).take(LENDERS).count();
        let all_used = || self.others(own, account, now, silence).reported + used;
        let is_heavy = || used.0 >= prepaid.0 / MIN_USE_DIVISOR && used.0 >= all_used().0 / HEAVY_USE_DIVISOR;
        match before < LENDERS || is_heavy() {
            true => CreditRole::Lender,
            false => CreditRole::Borrower,
        }
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

    /// Timestamps of the other instances' newest records that were read within [`WITNESS_MAX_AGE`].
    fn witnesses(&self, own: &str, now: Instant) -> BTreeMap<Arc<str>, u64> {
        let is_other = |name: &str| instance_of(name) != instance_of(own);
        let others = self.holders.iter().filter(|(name, entry)| is_other(name) && entry.is_live(now, WITNESS_MAX_AGE));
        others.map(|(name, entry)| (Arc::from(instance_of(name)), entry.record.timestamp)).take(WITNESSES_MAX).collect()
    }

    /// Newest document version in any holder's record.
    pub fn newest_document(&self) -> u64 {
        self.holders.values().map(|entry| entry.record.document).max().unwrap_or_default()
    }
}

/// Contents of a record other than its ceilings.
#[derive(Clone, Debug, Default)]
pub struct RecordMetadata {
    /// Version of the document in force at the holder.
    pub document: u64,
    /// Wall-clock time of the holder, in milliseconds since 1970.
    pub timestamp: u64,
    /// Requests that the holder suspects of crashing backend servers.
    pub suspects: Vec<SuspectReport>,
}

/// Headroom that ceilings leave above the amounts used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CeilingPolicy {
    /// Percent of an account's unused credit that all holders together keep as headroom, including their reserves.
    pub share_percent: u64,
    /// Percent of an account's unused credit that all holders together keep as headroom, without their reserves.
    pub base_percent: u64,
    /// Time of the holder's own use that its ceiling and reserve cover once its rate of use is known.
    pub window: Duration,
    /// Time without a record after which a holder counts as dead for sizing; its ceiling still counts against the
    /// account.
    pub silence: Duration,
}

impl Default for CeilingPolicy {
    fn default() -> Self {
        Self { share_percent: 40, base_percent: 12, window: Duration::from_secs(12), silence: Duration::from_secs(20) }
    }
}

/// Divisor of a percentage.
const PERCENT: u64 = 100;

/// A ceiling is raised once its headroom is below this many percent of the target.
const RAISE_BELOW_PERCENT: u64 = 50;

/// A ceiling is lowered once its headroom is above this many percent of the target.
const LOWER_ABOVE_PERCENT: u64 = 200;

/// Time span over which the rate of use is averaged.
const RATE_SPAN: Duration = Duration::from_secs(5);

/// Time of own use that a ceiling covers without the reserve: an outage of [`ISOLATION_TIMEOUT`] and the delay of one
/// write.
const BASE_WINDOW: Duration = Duration::from_millis(3_500);

/// Time of own use that a loan covers in addition to the waiting requests, so that loans stay rare.
const LOAN_WINDOW: Duration = Duration::from_secs(2);

/// Use credited to every holder when an account is divided, in percent of the prepaid amount, so that a new holder gets
/// a share before it has used anything.
const BASE_WEIGHT_PERCENT: u64 = 2;

/// Result of [`HolderCredit::reserve`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadroomOutcome {
    /// The tokens are set aside.
    Reserved,
    /// The ceiling is too low; a new record may raise it.
    NoHeadroom,
    /// The known use of all holders leaves fewer prepaid tokens than requested, so no raise can help.
    Exhausted,
}

/// Ceiling and reserve of one holder for one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Limit {
    ceiling: Tokens,
    reserve: Tokens,
}

impl Limit {
    /// Limit that `record` requests for `account`.
    fn of(record: &HolderRecord, account: &ClientAccountName) -> Self {
        let requested = record.ceilings.get(account).copied().unwrap_or_default();
        Self { ceiling: requested.ceiling, reserve: requested.reserve }
    }

    fn total(self) -> Tokens {
        self.ceiling + self.reserve
    }

    fn lower_of(self, other: Self) -> Self {
        Self { ceiling: self.ceiling.min(other.ceiling), reserve: self.reserve.min(other.reserve) }
    }

    /// Limit reduced to at most `most` tokens in total; the reserve is reduced first.
    fn within(self, most: Tokens) -> Self {
        let ceiling = self.ceiling.min(most);
        Self { ceiling, reserve: self.reserve.min(most.saturating_sub(ceiling)) }
    }
}

/// Credit of this holder for one account.
#[derive(Clone, Copy, Debug, Default)]
struct AccountCredit {
    /// Limit in force, which is below `granted` while a lower limit is being written.
    limit: Limit,
    /// Limit granted by the log as far as it was read.
    granted: Limit,
    /// Whether the newest record requests more than `granted`; other holders count the requested amount as allowed.
    is_cut: bool,
    used: Tokens,
    reserved: Tokens,
    borrowed: Tokens,
    lent: Tokens,
    /// Sum of the bounds of waiting requests.
    waiting: Tokens,
    use_rate: Rate,
    /// Tokens that other holders reported as settled.
    others_used: Tokens,
}

impl AccountCredit {
    /// Tokens that the written ceiling must cover: own use, reservations and loans given, less loans received, which
    /// the lenders' ceilings cover.
    fn committed(&self) -> Tokens {
        (self.used + self.reserved + self.lent).saturating_sub(self.borrowed)
    }

    fn headroom(&self, isolated: bool) -> Tokens {
        let reserve = if isolated { self.limit.reserve } else { Tokens::ZERO };
        (self.limit.ceiling + reserve + self.borrowed).saturating_sub(self.used + self.reserved + self.lent)
    }
}

/// Headroom that one holder lends to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Tokens lent.
    pub amount: Tokens,
    /// Headroom that the lender has left.
    pub headroom: Tokens,
}

/// Credit of one holder for all accounts.
#[derive(Debug)]
pub struct HolderCredit {
    holder: Arc<str>,
    policy: CeilingPolicy,
    accounts: BTreeMap<ClientAccountName, AccountCredit>,
    last_written: Option<Instant>,
    pending: Option<PendingRecord>,
}

/// Planned record that was not read back from the log yet.
#[derive(Clone, Debug)]
struct PendingRecord {
    record: HolderRecord,
    /// Time of the last write before this record.
    previous_write: Option<Instant>,
}

impl PendingRecord {
    /// Whether `record`, as read from the log, is this one.
    fn matches(&self, record: &HolderRecord) -> bool {
        self.record.timestamp == record.timestamp && self.record.ceilings == record.ceilings
    }
}

impl HolderCredit {
    /// Starts a holder without any credit.
    pub const fn new(holder: Arc<str>, policy: CeilingPolicy) -> Self {
        Self { holder, policy, accounts: BTreeMap::new(), last_written: None, pending: None }
    }

    /// Name of this holder in the log.
    pub const fn holder(&self) -> &Arc<str> {
        &self.holder
    }

    /// Whether this holder wrote nothing for [`ISOLATION_TIMEOUT`], so that it may use its reserves.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.last_written.is_some_and(|at| now.since(at) > ISOLATION_TIMEOUT)
    }

    /// Sets aside `bound` tokens, the most that a request may use.
    pub fn reserve(
        &mut self,
        account: &ClientAccountName,
        bound: Tokens,
        prepaid: Tokens,
        now: Instant,
    ) -> HeadroomOutcome {
        let isolated = self.is_isolated(now);
        let credit = self.accounts.entry(account.clone()).or_default();
        if credit.others_used + credit.used + bound > prepaid {
            return HeadroomOutcome::Exhausted;
        }
        if credit.headroom(isolated) < bound {
            return HeadroomOutcome::NoHeadroom;
        }
        credit.reserved += bound;
        HeadroomOutcome::Reserved
    }

    /// Counts a request that waits for `bound` tokens, or no longer counts it when `waits` is false.
    pub fn count_waiting(&mut self, account: &ClientAccountName, bound: Tokens, waits: bool) {
        let credit = self.accounts.entry(account.clone()).or_default();
        credit.waiting = if waits { credit.waiting + bound } else { credit.waiting.saturating_sub(bound) };
    }

    /// Ends a reservation of `bound` tokens, of which the request used `used`.
    pub fn settle(&mut self, account: &ClientAccountName, bound: Tokens, used: Tokens, now: Instant) {
        let credit = self.accounts.entry(account.clone()).or_default();
        let used = used.min(bound);
        credit.reserved = credit.reserved.saturating_sub(bound);
        credit.used += used;
        credit.use_rate.add(used.0, now, RATE_SPAN);
    }

    /// Lends headroom to another holder: the smaller of `most` and half of the headroom, but not less than `least`.
    ///
    /// Nothing is lent when the headroom is below `least`. The lender's written ceiling covers the loan, so the sum of
    /// all ceilings in the log does not change.
    pub fn lend(&mut self, account: &ClientAccountName, least: Tokens, most: Tokens, now: Instant) -> Loan {
        let isolated = self.is_isolated(now);
        let credit = self.accounts.entry(account.clone()).or_default();
        let headroom = credit.headroom(isolated);
        let amount = if headroom < least { Tokens::ZERO } else { most.min(Tokens(headroom.0 / 2)).max(least) };
        credit.lent += amount;
        credit.use_rate.add(amount.max(least).0, now, RATE_SPAN);
        Loan { amount, headroom: credit.headroom(isolated) }
    }

    /// Cancels a loan that the borrower never received.
    pub fn cancel_loan(&mut self, account: &ClientAccountName, amount: Tokens) {
        let credit = self.accounts.entry(account.clone()).or_default();
        credit.lent = credit.lent.saturating_sub(amount);
    }

    /// Adds a loan received from another holder.
    pub fn borrow(&mut self, account: &ClientAccountName, amount: Tokens) {
        self.accounts.entry(account.clone()).or_default().borrowed += amount;
    }

    /// Tokens to borrow when a request of `bound` tokens finds too little headroom.
    ///
    /// The loan covers all waiting requests and the expected use for a short time, so that loans stay rare.
    pub fn loan_target(&self, account: &ClientAccountName, bound: Tokens, now: Instant) -> Tokens {
        let credit = self.accounts.get(account).copied().unwrap_or_default();
        bound.max(credit.waiting) + expected_use(&credit, LOAN_WINDOW, now)
    }

    /// Tokens of `account` that are used, reserved and allowed at this holder.
    pub fn usage(&self, account: &ClientAccountName) -> (Tokens, Tokens, Tokens) {
        let view = |credit: &AccountCredit| {
            (credit.used, credit.reserved, (credit.limit.ceiling + credit.borrowed).saturating_sub(credit.lent))
        };
        self.accounts.get(account).map(view).unwrap_or_default()
    }

    /// Whether any request waits for a higher ceiling.
    pub fn has_waiting(&self) -> bool {
        self.accounts.values().any(|credit| !credit.waiting.is_zero())
    }

    /// Plans the next record and returns it when one is due or `force` is set; `accounts` are the prepaid accounts with
    /// their prepaid amounts.
    ///
    /// Lowered ceilings are in force at once, raised ones once [`Self::apply_own`] finds that they fit. Reserves cannot
    /// be used from now on: the record may reach the log, and its timestamp shows that the holder is not isolated.
    /// Nothing is planned while a record is pending, since it is unknown which of two unread records would count.
    pub fn plan_record<'a>(
        &mut self,
        table: &CeilingTable,
        metadata: RecordMetadata,
        accounts: impl IntoIterator<Item = (&'a ClientAccountName, Tokens)>,
        now: Instant,
        force: bool,
    ) -> Option<HolderRecord> {
        if self.pending.is_some() {
            return None;
        }
        // The other holders' use during the isolation was not read yet, so a reserve sized now would be too large.
        let was_isolated = self.is_isolated(now);
        let mut is_due = force;
        let witnesses = table.witnesses(&self.holder, now);
        let RecordMetadata { document, timestamp, suspects } = metadata;
        let mut record = HolderRecord { document, timestamp, witnesses, suspects, ..HolderRecord::default() };
        for (account, prepaid) in accounts {
            let others = table.others(&self.holder, account, now, self.policy.silence);
            let credit = self.accounts.entry(account.clone()).or_default();
            credit.others_used = others.reported;
            let usage = AccountUsage { account, used: credit.used, prepaid };
            let target = match table.credit_role(&self.holder, usage, now, self.policy.silence) {
                CreditRole::Shared(fleet) => TargetHeadroom::new(&self.policy, credit, others, prepaid, fleet, now),
                CreditRole::Lender => {
                    TargetHeadroom::new(&self.policy, credit, others, prepaid, LARGE_FLEET_PARTS, now)
                }
                CreditRole::Borrower => TargetHeadroom::default(),
            };
            let (base, total) = (target.base.max(credit.waiting), target.total.max(credit.waiting));
            let most = prepaid.saturating_sub(others.allowed).max(credit.committed());
            // A holder with an older document than the others does not know the prepaid amount and must not raise.
            let kept = credit.limit.ceiling.max(credit.committed());
            let most = if document < table.newest_document() { most.min(kept) } else { most };
            let ceiling = (credit.committed() + base).min(most);
            let reserve =
                if was_isolated { Tokens::ZERO } else { total.saturating_sub(base).min(most.saturating_sub(ceiling)) };
            let headroom = credit.headroom(false).0;
            let must_raise = ceiling > credit.limit.ceiling
                && (headroom < base.0 / PERCENT * RAISE_BELOW_PERCENT || !credit.waiting.is_zero());
            let is_excessive =
                credit.limit.ceiling > most || headroom > base.0 / PERCENT * LOWER_ABOVE_PERCENT + PERCENT;
            let must_lower = ceiling < credit.limit.ceiling && is_excessive;
            is_due |= must_raise || must_lower || credit.is_cut;
            let planned = AccountCeiling { ceiling, settled: credit.used, reserve };
            if planned != AccountCeiling::default() {
                record.ceilings.insert(account.clone(), planned);
            }
        }
        if !is_due {
            return None;
        }
        let previous_write = self.last_written.replace(now);
        self.pending = Some(PendingRecord { record: record.clone(), previous_write });
        self.update_limits();
        Some(record)
    }

    /// Last record of a holder that shuts down; it lowers the ceilings to the tokens committed.
    pub fn close(&mut self, document: u64) -> HolderRecord {
        let final_ceiling = |credit: &AccountCredit| AccountCeiling {
            ceiling: credit.committed(),
            settled: credit.used,
            reserve: Tokens::ZERO,
        };
        let ceilings = self.accounts.iter().map(|(account, credit)| (account.clone(), final_ceiling(credit))).collect();
        let record = HolderRecord { ceilings, document, closed: true, ..HolderRecord::default() };
        self.pending = Some(PendingRecord { record: record.clone(), previous_write: self.last_written });
        self.update_limits();
        record
    }

    /// Applies this holder's own record at its log position, after all earlier records of other holders, and returns
    /// the accounts whose raise was cut.
    ///
    /// A raise counts as far as it fits beside the amounts that the other holders' newest records request, whether
    /// those were granted or not. Of two raises that fit only one at a time, the first in the log counts in full.
    pub fn apply_own(
        &mut self,
        record: &HolderRecord,
        table: &CeilingTable,
        document: u64,
        prepaid: impl Fn(&ClientAccountName) -> Option<Tokens>,
    ) -> Vec<ClientAccountName> {
        // A holder with an older document than the others does not know the prepaid amount.
        let is_behind = document < table.newest_document();
        let holder = Arc::clone(&self.holder);
        self.apply_limits(record, |account| match prepaid(account) {
            Some(prepaid) if !is_behind => prepaid.saturating_sub(table.allowed_to_others(&holder, account)),
            _ => Tokens::ZERO,
        })
    }

    /// Applies this holder's newest record when the other holders' earlier records are unknown.
    ///
    /// No raise counts, since it may not fit beside those records.
    pub fn apply_newest(&mut self, record: &HolderRecord) {
        self.apply_limits(record, |_| Tokens::ZERO);
    }

    fn apply_limits(
        &mut self,
        record: &HolderRecord,
        fits: impl Fn(&ClientAccountName) -> Tokens,
    ) -> Vec<ClientAccountName> {
        let mut cut = Vec::new();
        for (account, credit) in &mut self.accounts {
            let requested = Limit::of(record, account);
            let kept = credit.granted.lower_of(requested);
            let raised = requested.within(fits(account));
            credit.is_cut = requested.total() > credit.granted.total().max(raised.total());
            credit.granted = match credit.is_cut {
                false => requested,
                true if raised.total() > kept.total() => raised,
                true => kept,
            };
            if credit.is_cut {
                cut.push(account.clone());
            }
        }
        self.pending.take_if(|pending| pending.matches(record));
        self.update_limits();
        cut
    }

    /// Whether a planned record was not read back from the log yet.
    pub const fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Discards the pending record, which was not written and never will be.
    pub fn discard_pending(&mut self) {
        if let Some(pending) = self.pending.take() {
            self.last_written = pending.previous_write;
        }
        self.update_limits();
    }

    /// Time of the newest record that may have reached the log.
    pub const fn last_written(&self) -> Option<Instant> {
        self.last_written
    }

    /// Sets every limit to the lower of the granted one and the one that the pending record requests.
    fn update_limits(&mut self) {
        for (account, credit) in &mut self.accounts {
            let pending = self.pending.as_ref().map(|pending| Limit::of(&pending.record, account));
            credit.limit = pending.map_or(credit.granted, |requested| credit.granted.lower_of(requested));
        }
    }
}

/// Headroom that a holder aims to have above its committed tokens.
#[derive(Clone, Copy, Debug, Default)]
struct TargetHeadroom {
    /// Headroom below the ceiling.
    base: Tokens,
    /// Headroom below the ceiling and the reserve together.
    total: Tokens,
}

impl TargetHeadroom {
    /// Headroom for a time window of own use, limited to this holder's share of the unused credit.
    ///
    /// The less credit an account has left, the less of it may be in doubt when a holder dies, since no other holder
    /// can use the tokens in doubt.
    fn new(
        policy: &CeilingPolicy,
        credit: &AccountCredit,
        others: OtherHolders,
        prepaid: Tokens,
        parts: u64,
        now: Instant,
    ) -> Self {
        let unused = prepaid.saturating_sub(others.max_used + credit.used);
        let base = prepaid.0 / PERCENT * BASE_WEIGHT_PERCENT;
        let weight = u128::from(credit.used.0 + credit.lent.0 + base);
        let weights = u128::from(others.live_use.0 + credit.used.0 + credit.lent.0 + base * parts).max(1);
        let part = u128::from(unused.0) * weight / weights;
        let within = |window: Duration, percent: u64| {
            let most = Tokens(u64::try_from(part * u128::from(percent) / u128::from(PERCENT)).unwrap_or(u64::MAX));
            most.min(expected_use(credit, window, now).max(Tokens(most.0 / 2)))
        };
        Self { base: within(BASE_WINDOW, policy.base_percent), total: within(policy.window, policy.share_percent) }
    }
}

/// Tokens that a holder uses in `span` at its present rate of use.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a rate is small and not negative")]
fn expected_use(credit: &AccountCredit, span: Duration, now: Instant) -> Tokens {
    Tokens((credit.use_rate.per_second(now, RATE_SPAN) * span.as_secs_f64()) as u64)
}
