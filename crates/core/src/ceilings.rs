//! Prepaid credit under ceilings: what an instance may use is written down before it is used.
//!
//! The log keeps, for each holder and client account, a ceiling that the holder's use never passes. The sum of all
//! ceilings of an account stays within what it paid for, so the deaths of any holders at any moment overspend
//! nothing; they only leave the unused part below their ceilings in doubt. Ceilings are therefore kept a short
//! time of use above what was used.
//!
//! Records are appended without a condition. A holder judges its own raise where the log has it: it counts only if it
//! fits beside what the newest records of all others before it say. See `docs/CREDIT.md#order`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::names::ClientAccountName;
use crate::quarantine::SuspectReport;
use crate::rate::Rate;
use crate::units::{Instant, Offset, Tokens};
use xxhash_rust::xxh3::xxh3_64;

/// What the log keeps of one holder and account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Tokens that the holder may use in total.
    pub ceiling: Tokens,
    /// Tokens that it had used when it wrote this.
    pub settled: Tokens,
    /// Tokens above the ceiling that it may use once it could not write for [`ISOLATION`].
    pub reserve: Tokens,
}

impl Holding {
    /// Everything that the holder may ever use by this record.
    pub fn bound(&self) -> Tokens {
        self.ceiling + self.reserve
    }

    /// Whether the holder may use more than it had used when it wrote this.
    pub fn has_room(&self) -> bool {
        self.bound() > self.settled
    }
}

/// Time without a write after which a holder uses its reserve.
///
/// A run that was killed is replaced within some 1.5 s and writes every [`WRITE_EVERY`]; the rest covers the reading
/// of clocks.
pub const ISOLATION: Duration = Duration::from_secs(3);

/// Time between two records of a holder.
pub const WRITE_EVERY: Duration = Duration::from_millis(450);

/// Part of [`ISOLATION`] that is kept for the rounding and drift of clocks.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);

/// Clocks that must agree before a reserve is taken back; one of three that jumped back is outvoted.
const CLOCKS_MIN: usize = 3;

/// Time after which a holder's record no longer tells what its clock shows.
const WITNESS_AGE: Duration = Duration::from_millis(1_500);

/// Instances that hold room of one account for others in a fleet of more than [`ALL_HOLD`]; with a single one its death
/// stops the account until it is missed.
const HOMES: usize = 2;

/// Instances of a large fleet among which an account's room is first divided: homes, and some that use much.
const LARGE_PARTS: u64 = 4;

/// Part of an account's use, as a divisor, from which an instance that is no home holds room too.
const HEAVY_PART: u64 = 8;

/// Part of the amount paid for, as a divisor, below which an instance's use is no ground to hold room: the use of others
/// is not known yet.
const HEAVY_LEAST: u64 = 200;

/// Instances up to which each holds room of every account.
const ALL_HOLD: usize = 10;

/// Other holders whose clocks a record names.
const WITNESSES_MAX: usize = 8;

/// Newest record of one holder; it replaces the one before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HolderRecord {
    /// Holdings by account.
    pub holdings: BTreeMap<ClientAccountName, Holding>,
    /// Version of the document that the holder went by.
    pub document: u64,
    /// Whether the holder ended and uses nothing more.
    pub closed: bool,
    /// Time of day at the holder when it wrote this, in milliseconds since 1970.
    pub stamp: u64,
    /// Stamps of other instances' records that were written before this one, by instance.
    pub witnesses: BTreeMap<Arc<str>, u64>,
    /// Requests that the holder suspects of crashing backend servers; they ride along since every instance reads it.
    pub suspects: Vec<SuspectReport>,
}

impl HolderRecord {
    /// Longest time that can have passed since this was written, told by several clocks.
    ///
    /// `clocks` holds the present time of day by instance. Clocks may jump, so the greatest of at least
    /// three measures counts; `None` when fewer are known.
    pub fn age_at_most(&self, own: &str, clocks: &BTreeMap<Arc<str>, u64>) -> Option<Duration> {
        let stamps = self.witnesses.iter().map(|(name, stamp)| (&**name, *stamp)).chain([(own, self.stamp)]);
        let ages: Vec<u64> = stamps.filter_map(|(name, stamp)| Some(clocks.get(name)?.saturating_sub(stamp))).collect();
        let oldest = ages.iter().max().filter(|_| ages.len() >= CLOCKS_MIN);
        oldest.map(|age| Duration::from_millis(*age))
    }

    /// Whether a holder that is known to be dead cannot have used its reserve, by the age of its last record at its
    /// death.
    pub fn has_reserve_unused(&self, own: &str, clocks: &BTreeMap<Arc<str>, u64>) -> bool {
        self.age_at_most(own, clocks).is_some_and(|age| age + CLOCK_MARGIN < ISOLATION)
    }

    /// Whether no clock can prove the reserve unused, since this record was too old when its holder's successor started.
    pub fn is_stale(&self, own: &str, clocks: &BTreeMap<Arc<str>, u64>) -> bool {
        let age = clocks.get(own).map(|now| Duration::from_millis(now.saturating_sub(self.stamp)));
        age.is_some_and(|age| age + CLOCK_MARGIN >= ISOLATION)
    }

    /// Record that ends a dead holder; its reserve goes back when it cannot have been used.
    #[must_use]
    pub fn ended(&self, is_reserve_unused: bool) -> Self {
        let mut ended = Self { closed: true, ..self.clone() };
        for holding in ended.holdings.values_mut().filter(|_| is_reserve_unused) {
            holding.reserve = Tokens::ZERO;
        }
        ended
    }
}

/// Name of the instance in the name of one of its runs, `INSTANCE/RUN`.
pub fn instance_of(holder: &str) -> &str {
    holder.rsplit_once('/').map_or(holder, |(instance, _)| instance)
}

/// Newest record of every holder, as read from the log.
#[derive(Clone, Debug, Default)]
pub struct CreditBook {
    holders: BTreeMap<Arc<str>, Heard>,
    next: Offset,
}

#[derive(Clone, Debug)]
struct Heard {
    record: HolderRecord,
    at: Instant,
}

impl Heard {
    fn is_living(&self, now: Instant, silence: Duration) -> bool {
        !self.record.closed && now.since(self.at) <= silence
    }
}

/// What an instance used of an account.
#[derive(Clone, Copy, Debug)]
pub struct AccountUse<'a> {
    /// The account.
    pub account: &'a ClientAccountName,
    /// Tokens that the instance used.
    pub used: Tokens,
    /// Tokens that the account paid for.
    pub prepaid: Tokens,
}

/// How an instance stands to the room of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stake {
    /// All of the fleet's instances, of this number, hold a share.
    Share(u64),
    /// It is one of the few that hold room and lend it to the others.
    Holder,
    /// It borrows from those that hold room.
    Borrower,
}

/// Sums over all other holders of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Others {
    /// Sum of their ceilings and reserves.
    pub ceiling: Tokens,
    /// Sum of what they are known to have used; for holders that ended or fell silent, their ceilings.
    pub settled: Tokens,
    /// Sum of what they were seen to use, without what is in doubt.
    pub seen: Tokens,
    /// The part of `seen` that holders used that are still heard of.
    pub alive: Tokens,
}

impl CreditBook {
    /// Offset of the first record not yet taken in.
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Notes that every record before `next` was taken in.
    pub fn advance(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }

    /// Takes in the newest record of a holder.
    pub fn apply(&mut self, holder: &Arc<str>, record: HolderRecord, now: Instant) {
        self.holders.insert(Arc::clone(holder), Heard { record, at: now });
    }

    /// Newest record of `holder`.
    pub fn record(&self, holder: &str) -> Option<&HolderRecord> {
        self.holders.get(holder).map(|heard| &heard.record)
    }

    /// Sums of `account` over all holders but `own`.
    pub fn others(&self, own: &str, account: &ClientAccountName, now: Instant, silence: Duration) -> Others {
        let mut sums = Others::default();
        for (heard, holding) in self.holdings(own, account) {
            let is_over = !heard.is_living(now, silence);
            sums.ceiling += holding.bound();
            sums.settled += if is_over { holding.bound() } else { holding.settled };
            sums.seen += holding.settled;
            sums.alive += if is_over { Tokens::ZERO } else { holding.settled };
        }
        sums
    }

    /// Sum of everything that holders other than `own` may use of `account` by their newest records.
    fn held(&self, own: &str, account: &ClientAccountName) -> Tokens {
        self.holdings(own, account).map(|(_, holding)| holding.bound()).sum()
    }

    /// Newest records of holders other than `own` that name `account`, with what they say of it.
    fn holdings(&self, own: &str, account: &ClientAccountName) -> impl Iterator<Item = (&Heard, &Holding)> {
        let others = self.holders.iter().filter(move |(name, _)| &***name != own);
        others.filter_map(move |(_, heard)| Some((heard, heard.record.holdings.get(account)?)))
    }

    /// Holders other than `own` with the room of `account` that their newest records show, most first.
    pub fn rooms(&self, own: &str, account: &ClientAccountName) -> Vec<(Arc<str>, Tokens)> {
        let others = self.holders.iter().filter(|(name, heard)| &***name != own && !heard.record.closed);
        let room = |heard: &Heard| {
            let holding = heard.record.holdings.get(account).copied().unwrap_or_default();
            holding.bound().less(holding.settled)
        };
        let mut rooms: Vec<_> = others.map(|(name, heard)| (Arc::clone(name), room(heard))).collect();
        rooms.sort_by_key(|(name, room)| (std::cmp::Reverse(*room), Arc::clone(name)));
        rooms
    }

    /// Holders other than `own` that are still heard of.
    pub fn alive(&self, own: &str, now: Instant, silence: Duration) -> usize {
        self.living(own, now, silence).count()
    }

    fn living(&self, own: &str, now: Instant, silence: Duration) -> impl Iterator<Item = &Arc<str>> {
        let others = self.holders.iter().filter(move |(name, heard)| &***name != own && heard.is_living(now, silence));
        others.map(|(name, _)| name)
    }

    /// How `own`, which used `used` of the `prepaid` tokens of `account`, stands to its room.
    ///
    /// In a large fleet room that is spread over all instances covers no single request, and all of them write.
    pub fn stake(&self, own: &str, use_of: AccountUse<'_>, now: Instant, silence: Duration) -> Stake {
        let AccountUse { account, used, prepaid } = use_of;
        let fleet = self.alive(own, now, silence) + 1;
        if fleet <= ALL_HOLD {
            return Stake::Share(fleet as u64);
        }
        let weight = |name: &str| xxh3_64(format!("{account}\n{}", instance_of(name)).as_bytes());
        let own_weight = weight(own);
        let before = self.living(own, now, silence).filter(|name| weight(name) > own_weight).take(HOMES).count();
        let all_used = || self.others(own, account, now, silence).seen + used;
        let is_heavy = || used.0 >= prepaid.0 / HEAVY_LEAST && used.0 >= all_used().0 / HEAVY_PART;
        match before < HOMES || is_heavy() {
            true => Stake::Holder,
            false => Stake::Borrower,
        }
    }

    /// Whether no holder has any ceiling yet, as when the whole fleet starts for the first time.
    pub fn is_young(&self) -> bool {
        self.holders.values().all(|heard| heard.record.holdings.is_empty())
    }

    /// Dead runs of the instance that `own` is a run of, with their newest records.
    pub fn predecessors(&self, own: &str) -> Vec<(Arc<str>, HolderRecord)> {
        let is_dead = |name: &Arc<str>| &**name != own && instance_of(name) == instance_of(own);
        let dead = self.holders.iter().filter(|(name, heard)| is_dead(name) && !heard.record.closed);
        dead.map(|(name, heard)| (Arc::clone(name), heard.record.clone())).collect()
    }

    /// Stamps of the other instances' newest records, as far as they were heard of lately.
    fn witnesses(&self, own: &str, now: Instant) -> BTreeMap<Arc<str>, u64> {
        let is_other = |name: &str| instance_of(name) != instance_of(own);
        let others = self.holders.iter().filter(|(name, heard)| is_other(name) && heard.is_living(now, WITNESS_AGE));
        others.map(|(name, heard)| (Arc::from(instance_of(name)), heard.record.stamp)).take(WITNESSES_MAX).collect()
    }

    /// Newest version of the document that any holder went by.
    pub fn newest_document(&self) -> u64 {
        self.holders.values().map(|heard| heard.record.document).max().unwrap_or_default()
    }
}

/// What a record tells beside its ceilings.
#[derive(Clone, Debug, Default)]
pub struct RecordNote {
    /// Version of the document that the holder goes by.
    pub document: u64,
    /// Time of day at the holder, in milliseconds since 1970.
    pub stamp: u64,
    /// Requests that the holder suspects of crashing backend servers.
    pub suspects: Vec<SuspectReport>,
}

/// How far ceilings stand above what was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CeilingPolicy {
    /// Hundredths of an account's unused credit that all holders together keep below their ceilings and reserves.
    pub share: u64,
    /// Hundredths of an account's unused credit that all holders together keep below their ceilings without their
    /// reserves.
    pub base: u64,
    /// Time of own use that a ceiling covers once the rate of use is known.
    pub window: Duration,
    /// Time without a record after which a holder counts as ended for sizing; its ceiling still binds.
    pub silence: Duration,
}

impl Default for CeilingPolicy {
    fn default() -> Self {
        Self { share: 40, base: 12, window: Duration::from_secs(12), silence: Duration::from_secs(20) }
    }
}

/// Hundredths in a whole.
const PERCENT: u64 = 100;

/// A ceiling is raised once less than this many hundredths of its aimed room are left.
const RAISE_BELOW: u64 = 50;

/// A ceiling is lowered once more than this many hundredths of its aimed room are left.
const LOWER_ABOVE: u64 = 200;

/// Span over which the rate of use is taken.
const RATE_HORIZON: Duration = Duration::from_secs(5);

/// Time of own use that a ceiling covers, beside the reserve: an outage up to [`ISOLATION`] and a write's delay.
const BASE_WINDOW: Duration = Duration::from_millis(3_500);

/// Time of own use that is borrowed at once, so that loans stay rare.
const LOAN_WINDOW: Duration = Duration::from_secs(2);

/// Use that a holder is credited with when shares are weighed, in hundredths of the account, so that a fresh one gets
/// its part before it has used anything.
const BASE_SHARE: u64 = 2;

/// Result of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are set aside.
    Reserved,
    /// The ceiling is too low; a renewal may raise it.
    Short,
    /// What is known to be used leaves too little, whatever anyone writes.
    Exhausted,
}

/// What a holder may use in total.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Limit {
    ceiling: Tokens,
    reserve: Tokens,
}

impl Limit {
    /// Limit that `record` asks for.
    fn of(record: &HolderRecord, account: &ClientAccountName) -> Self {
        let holding = record.holdings.get(account).copied().unwrap_or_default();
        Self { ceiling: holding.ceiling, reserve: holding.reserve }
    }

    fn bound(self) -> Tokens {
        self.ceiling + self.reserve
    }

    fn lower_of(self, other: Self) -> Self {
        Self { ceiling: self.ceiling.min(other.ceiling), reserve: self.reserve.min(other.reserve) }
    }

    /// Part of this limit that stays within `most`; the reserve gives way first.
    fn within(self, most: Tokens) -> Self {
        let ceiling = self.ceiling.min(most);
        Self { ceiling, reserve: self.reserve.min(most.less(ceiling)) }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Purse {
    /// In force; below what the log grants while a lower one is being written.
    limit: Limit,
    /// Granted by the log as far as it was read.
    granted: Limit,
    /// Whether the newest record asks for more than is granted, which others count as held.
    is_cut: bool,
    used: Tokens,
    reserved: Tokens,
    borrowed: Tokens,
    lent: Tokens,
    wanted: Tokens,
    demand: Rate,
    seen: Tokens,
}

impl Purse {
    /// What the written ceiling must cover: own use and what was lent, less what others' ceilings cover.
    fn taken(&self) -> Tokens {
        (self.used + self.reserved + self.lent).less(self.borrowed)
    }

    fn room(&self, isolated: bool) -> Tokens {
        let reserve = if isolated { self.limit.reserve } else { Tokens::ZERO };
        (self.limit.ceiling + reserve + self.borrowed).less(self.used + self.reserved + self.lent)
    }
}

/// Room that one holder passes to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Tokens passed on.
    pub amount: Tokens,
    /// Room that the giver has left.
    pub left: Tokens,
}

/// Credit of one holder.
#[derive(Debug)]
pub struct Purses {
    holder: Arc<str>,
    policy: CeilingPolicy,
    accounts: BTreeMap<ClientAccountName, Purse>,
    stamped: Option<Instant>,
    pending: Option<Pending>,
}

/// Record that was planned and was not read from the log yet.
#[derive(Clone, Debug)]
struct Pending {
    record: HolderRecord,
    /// Time of the newest record before it.
    before: Option<Instant>,
}

impl Pending {
    /// Whether `record`, as read from the log, is this one.
    fn is(&self, record: &HolderRecord) -> bool {
        self.record.stamp == record.stamp && self.record.holdings == record.holdings
    }
}

impl Purses {
    /// Empty purses of a fresh holder.
    pub const fn new(holder: Arc<str>, policy: CeilingPolicy) -> Self {
        Self { holder, policy, accounts: BTreeMap::new(), stamped: None, pending: None }
    }

    /// Name under which the holder writes.
    pub const fn holder(&self) -> &Arc<str> {
        &self.holder
    }

    /// Whether no record can have been written for [`ISOLATION`], so that reserves may be used.
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.stamped.is_some_and(|at| now.since(at) > ISOLATION)
    }

    /// Sets `bound` tokens aside.
    pub fn reserve(
        &mut self,
        account: &ClientAccountName,
        bound: Tokens,
        prepaid: Tokens,
        now: Instant,
    ) -> ReserveOutcome {
        let isolated = self.is_isolated(now);
        let purse = self.accounts.entry(account.clone()).or_default();
        if purse.seen + purse.used + bound > prepaid {
            return ReserveOutcome::Exhausted;
        }
        if purse.room(isolated) < bound {
            return ReserveOutcome::Short;
        }
        purse.reserved += bound;
        ReserveOutcome::Reserved
    }

    /// Notes that a request waits for `bound` tokens, or with `false` that it no longer does.
    pub fn want(&mut self, account: &ClientAccountName, bound: Tokens, waits: bool) {
        let purse = self.accounts.entry(account.clone()).or_default();
        purse.wanted = if waits { purse.wanted + bound } else { purse.wanted.less(bound) };
    }

    /// Ends a reservation of `bound` tokens of which `used` were used.
    pub fn settle(&mut self, account: &ClientAccountName, bound: Tokens, used: Tokens, now: Instant) {
        let purse = self.accounts.entry(account.clone()).or_default();
        let used = used.min(bound);
        purse.reserved = purse.reserved.less(bound);
        purse.used += used;
        purse.demand.add(used.0, now, RATE_HORIZON);
    }

    /// Passes room to another holder: at least `least`, up to `most` or half of what there is.
    ///
    /// The giver's written ceiling covers what it lent, so the sum that the log knows does not change.
    pub fn lend(&mut self, account: &ClientAccountName, least: Tokens, most: Tokens, now: Instant) -> Loan {
        let isolated = self.is_isolated(now);
        let purse = self.accounts.entry(account.clone()).or_default();
        let room = purse.room(isolated);
        let amount = if room < least { Tokens::ZERO } else { most.min(Tokens(room.0 / 2)).max(least) };
        purse.lent += amount;
        purse.demand.add(amount.max(least).0, now, RATE_HORIZON);
        Loan { amount, left: purse.room(isolated) }
    }

    /// Takes back what was lent to a holder that never heard of it.
    pub fn take_back(&mut self, account: &ClientAccountName, amount: Tokens) {
        let purse = self.accounts.entry(account.clone()).or_default();
        purse.lent = purse.lent.less(amount);
    }

    /// Takes in room that another holder passed on.
    pub fn borrow(&mut self, account: &ClientAccountName, amount: Tokens) {
        self.accounts.entry(account.clone()).or_default().borrowed += amount;
    }

    /// Room that this holder would like to have beside `bound` tokens that are asked for now.
    pub fn wish(&self, account: &ClientAccountName, bound: Tokens, now: Instant) -> Tokens {
        let purse = self.accounts.get(account).copied().unwrap_or_default();
        bound.max(purse.wanted) + use_in(&purse, LOAN_WINDOW, now)
    }

    /// Tokens used, set aside and allowed of `account`.
    pub fn view(&self, account: &ClientAccountName) -> (Tokens, Tokens, Tokens) {
        let view =
            |purse: &Purse| (purse.used, purse.reserved, (purse.limit.ceiling + purse.borrowed).less(purse.lent));
        self.accounts.get(account).map(view).unwrap_or_default()
    }

    /// Whether any request waits for a higher ceiling.
    pub fn is_short(&self) -> bool {
        self.accounts.values().any(|purse| !purse.wanted.is_zero())
    }

    /// Next record to write, when one is due; `accounts` are those that are limited, with what they paid for.
    ///
    /// Lowered ceilings bind from this moment on, raised ones once [`Self::take_own`] finds that they fit. The reserve is
    /// out of use from this moment on too, since the record's stamp may reach the log. Nothing is planned while a
    /// record is pending: until it was read, nobody knows which of two counts.
    pub fn plan<'a>(
        &mut self,
        book: &CreditBook,
        note: RecordNote,
        accounts: impl IntoIterator<Item = (&'a ClientAccountName, Tokens)>,
        now: Instant,
        force: bool,
    ) -> Option<HolderRecord> {
        if self.pending.is_some() {
            return None;
        }
        // What others used meanwhile is not read yet, so a reserve would be sized by too small a use of theirs.
        let was_isolated = self.is_isolated(now);
        let mut is_due = force;
        let witnesses = book.witnesses(&self.holder, now);
        let RecordNote { document, stamp, suspects } = note;
        let mut record = HolderRecord { document, stamp, witnesses, suspects, ..HolderRecord::default() };
        for (account, prepaid) in accounts {
            let others = book.others(&self.holder, account, now, self.policy.silence);
            let purse = self.accounts.entry(account.clone()).or_default();
            purse.seen = others.seen;
            let use_of = AccountUse { account, used: purse.used, prepaid };
            let room = match book.stake(&self.holder, use_of, now, self.policy.silence) {
                Stake::Share(fleet) => AimedRoom::new(&self.policy, purse, others, prepaid, fleet, now),
                Stake::Holder => AimedRoom::new(&self.policy, purse, others, prepaid, LARGE_PARTS, now),
                Stake::Borrower => AimedRoom::default(),
            };
            let (aim, total) = (room.base.max(purse.wanted), room.total.max(purse.wanted));
            let most = prepaid.less(others.ceiling).max(purse.taken());
            // A holder behind the others' document does not know what was paid for and must not raise.
            let kept = purse.limit.ceiling.max(purse.taken());
            let most = if document < book.newest_document() { most.min(kept) } else { most };
            let ceiling = (purse.taken() + aim).min(most);
            let reserve = if was_isolated { Tokens::ZERO } else { total.less(aim).min(most.less(ceiling)) };
            let room = purse.room(false).0;
            let raises =
                ceiling > purse.limit.ceiling && (room < aim.0 / PERCENT * RAISE_BELOW || !purse.wanted.is_zero());
            let is_wide = purse.limit.ceiling > most || room > aim.0 / PERCENT * LOWER_ABOVE + PERCENT;
            let lowers = ceiling < purse.limit.ceiling && is_wide;
            is_due |= raises || lowers || purse.is_cut;
            let holding = Holding { ceiling, settled: purse.used, reserve };
            if holding != Holding::default() {
                record.holdings.insert(account.clone(), holding);
            }
        }
        if !is_due {
            return None;
        }
        let before = self.stamped.replace(now);
        self.pending = Some(Pending { record: record.clone(), before });
        self.limit_all();
        Some(record)
    }

    /// Last record of a holder that ends: ceilings fall to what was used.
    pub fn close(&mut self, document: u64) -> HolderRecord {
        let spent = |purse: &Purse| Holding { ceiling: purse.taken(), settled: purse.used, reserve: Tokens::ZERO };
        let holdings = self.accounts.iter().map(|(account, purse)| (account.clone(), spent(purse))).collect();
        let record = HolderRecord { holdings, document, closed: true, ..HolderRecord::default() };
        self.pending = Some(Pending { record: record.clone(), before: self.stamped });
        self.limit_all();
        record
    }

    /// Takes in this holder's own record where the log has it, after the others' before it, and tells the accounts whose
    /// raise was cut.
    ///
    /// A raise counts as far as it fits beside what the newest records of the others ask for, whether theirs count or
    /// not. Of two raises that fit singly the first one in the log counts whole.
    pub fn take_own(
        &mut self,
        record: &HolderRecord,
        book: &CreditBook,
        document: u64,
        prepaid: impl Fn(&ClientAccountName) -> Option<Tokens>,
    ) -> Vec<ClientAccountName> {
        // A holder behind the others' document does not know what was paid for.
        let is_behind = document < book.newest_document();
        let holder = Arc::clone(&self.holder);
        self.settle_own(record, |account| match prepaid(account) {
            Some(prepaid) if !is_behind => prepaid.less(book.held(&holder, account)),
            _ => Tokens::ZERO,
        })
    }

    /// Takes in this holder's newest record without knowing what came before it, so that no raise counts.
    pub fn take_newest(&mut self, record: &HolderRecord) {
        self.settle_own(record, |_| Tokens::ZERO);
    }

    fn settle_own(
        &mut self,
        record: &HolderRecord,
        fitting: impl Fn(&ClientAccountName) -> Tokens,
    ) -> Vec<ClientAccountName> {
        let mut cut = Vec::new();
        for (account, purse) in &mut self.accounts {
            let asked = Limit::of(record, account);
            let kept = purse.granted.lower_of(asked);
            let raised = asked.within(fitting(account));
            purse.is_cut = asked.bound() > purse.granted.bound().max(raised.bound());
            purse.granted = match purse.is_cut {
                false => asked,
                true if raised.bound() > kept.bound() => raised,
                true => kept,
            };
            if purse.is_cut {
                cut.push(account.clone());
            }
        }
        self.pending.take_if(|pending| pending.is(record));
        self.limit_all();
        cut
    }

    /// Whether a planned record was not read from the log yet.
    pub const fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Forgets the pending record, which was not written and never will be.
    pub fn drop_pending(&mut self) {
        if let Some(pending) = self.pending.take() {
            self.stamped = pending.before;
        }
        self.limit_all();
    }

    /// Time of the newest record that may have been written.
    pub const fn stamped(&self) -> Option<Instant> {
        self.stamped
    }

    /// Puts in force what the log grants, or what a pending record asks for where that is lower.
    fn limit_all(&mut self) {
        for (account, purse) in &mut self.accounts {
            let pending = self.pending.as_ref().map(|pending| Limit::of(&pending.record, account));
            purse.limit = pending.map_or(purse.granted, |asked| purse.granted.lower_of(asked));
        }
    }
}

/// Room that a holder aims to have above what it took.
#[derive(Clone, Copy, Debug, Default)]
struct AimedRoom {
    /// Below its ceiling.
    base: Tokens,
    /// Below its ceiling and its reserve together.
    total: Tokens,
}

impl AimedRoom {
    /// Room for a window of own use, within shares of what is left of the account: the nearer its end, the less may
    /// be in doubt when a holder dies, since what is in doubt then blocks the rest.
    fn new(policy: &CeilingPolicy, purse: &Purse, others: Others, prepaid: Tokens, fleet: u64, now: Instant) -> Self {
        let unused = prepaid.less(others.settled + purse.used);
        let own = prepaid.0 / PERCENT * BASE_SHARE;
        let weight = u128::from(purse.used.0 + purse.lent.0 + own);
        let weights = u128::from(others.alive.0 + purse.used.0 + purse.lent.0 + own * fleet).max(1);
        let part = u128::from(unused.0) * weight / weights;
        let within = |window: Duration, most: u64| {
            let most = Tokens(u64::try_from(part * u128::from(most) / u128::from(PERCENT)).unwrap_or(u64::MAX));
            most.min(use_in(purse, window, now).max(Tokens(most.0 / 2)))
        };
        Self { base: within(BASE_WINDOW, policy.base), total: within(policy.window, policy.share) }
    }
}

/// Tokens that a holder uses in `span` at its present rate.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a rate is small and not negative")]
fn use_in(purse: &Purse, span: Duration, now: Instant) -> Tokens {
    Tokens((purse.demand.per_second(now, RATE_HORIZON) * span.as_secs_f64()) as u64)
}
