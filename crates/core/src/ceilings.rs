//! Prepaid credit under ceilings: what an instance may use is written down before it is used.
//!
//! The log keeps, for each holder and client account, a ceiling that the holder's use never passes. The sum of all
//! ceilings of an account stays within what it paid for, so the deaths of any holders at any moment overspend
//! nothing; they only leave the unused part below their ceilings in doubt. Ceilings are therefore kept a short
//! time of use above what was used. See `docs/CREDIT.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::names::ClientAccountName;
use crate::sizing::Demand;
use crate::units::{Instant, Offset, Tokens};

/// What the log keeps of one holder and account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    /// Tokens that the holder may use in total.
    pub ceiling: Tokens,
    /// Tokens that it had used when it wrote this.
    pub settled: Tokens,
}

/// Newest record of one holder; it replaces the one before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HolderRecord {
    /// Holdings by account.
    pub holdings: BTreeMap<ClientAccountName, Holding>,
    /// Version of the document that the holder went by.
    pub document: u64,
    /// Whether the holder ended and uses nothing more.
    pub closed: bool,
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

/// Sums over all other holders of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Others {
    /// Sum of their ceilings.
    pub ceiling: Tokens,
    /// Sum of what they are known to have used; for holders that ended or fell silent, their ceilings.
    pub settled: Tokens,
    /// Sum of what they were seen to use, without what is in doubt.
    pub seen: Tokens,
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
        for (_, heard) in self.holders.iter().filter(|(name, _)| &***name != own) {
            let Some(holding) = heard.record.holdings.get(account) else { continue };
            let is_over = heard.record.closed || now.since(heard.at) > silence;
            sums.ceiling += holding.ceiling;
            sums.settled += if is_over { holding.ceiling } else { holding.settled };
            sums.seen += holding.settled;
        }
        sums
    }

    /// Holders other than `own` with the room of `account` that their newest records show, most first.
    pub fn rooms(&self, own: &str, account: &ClientAccountName) -> Vec<(Arc<str>, Tokens)> {
        let others = self.holders.iter().filter(|(name, heard)| &***name != own && !heard.record.closed);
        let room = |heard: &Heard| {
            let holding = heard.record.holdings.get(account).copied().unwrap_or_default();
            holding.ceiling.less(holding.settled)
        };
        let mut rooms: Vec<_> = others.map(|(name, heard)| (Arc::clone(name), room(heard))).collect();
        rooms.sort_by_key(|(name, room)| (std::cmp::Reverse(*room), Arc::clone(name)));
        rooms
    }

    /// Holders other than `own` that are still heard of.
    pub fn alive(&self, own: &str, now: Instant, silence: Duration) -> usize {
        let others = self.holders.iter().filter(|(name, _)| &***name != own);
        others.filter(|(_, heard)| !heard.record.closed && now.since(heard.at) <= silence).count()
    }

    /// Newest version of the document that any holder went by.
    pub fn newest_document(&self) -> u64 {
        self.holders.values().map(|heard| heard.record.document).max().unwrap_or_default()
    }
}

/// How far ceilings stand above what was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CeilingPolicy {
    /// Hundredths of an account's unused credit that all holders together keep below their ceilings.
    pub share: u64,
    /// Time of own use that a ceiling covers once the rate of use is known.
    pub window: Duration,
    /// Time without a record after which a holder counts as ended for sizing; its ceiling still binds.
    pub silence: Duration,
}

impl Default for CeilingPolicy {
    fn default() -> Self {
        Self { share: 40, window: Duration::from_secs(12), silence: Duration::from_secs(20) }
    }
}

/// Hundredths in a whole.
const PERCENT: u64 = 100;

/// A ceiling is raised once less than this many hundredths of its aimed room are left.
const RAISE_BELOW: u64 = 60;

/// A ceiling is lowered once more than this many hundredths of its aimed room are left.
const LOWER_ABOVE: u64 = 200;

/// Span over which the rate of use is taken, in units of [`Demand`]'s horizon.
const RATE_HORIZON: Duration = Duration::from_secs(5);

/// Time of own use that is borrowed at once, so that loans stay rare.
const LOAN_WINDOW: Duration = Duration::from_secs(2);

/// Part of its share that a holder keeps before it has used anything, in hundredths of the account.
const BASE_SHARE: u64 = 1;

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

#[derive(Clone, Copy, Debug, Default)]
struct Purse {
    ceiling: Tokens,
    used: Tokens,
    reserved: Tokens,
    borrowed: Tokens,
    lent: Tokens,
    wanted: Tokens,
    demand: Demand,
    seen: Tokens,
}

impl Purse {
    /// What the written ceiling must cover: own use and what was lent, less what others' ceilings cover.
    fn taken(&self) -> Tokens {
        (self.used + self.reserved + self.lent).less(self.borrowed)
    }

    fn room(&self) -> Tokens {
        (self.ceiling + self.borrowed).less(self.used + self.reserved + self.lent)
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
    purses: BTreeMap<ClientAccountName, Purse>,
    pending: Vec<(Offset, HolderRecord)>,
}

impl Purses {
    /// Empty purses of a fresh holder.
    pub const fn new(holder: Arc<str>, policy: CeilingPolicy) -> Self {
        Self { holder, policy, purses: BTreeMap::new(), pending: Vec::new() }
    }

    /// Name under which the holder writes.
    pub const fn holder(&self) -> &Arc<str> {
        &self.holder
    }

    /// Sets `bound` tokens aside.
    pub fn reserve(&mut self, account: &ClientAccountName, bound: Tokens, prepaid: Tokens) -> ReserveOutcome {
        let purse = self.purses.entry(account.clone()).or_default();
        if purse.seen + purse.used + bound > prepaid {
            return ReserveOutcome::Exhausted;
        }
        if purse.room() < bound {
            return ReserveOutcome::Short;
        }
        purse.reserved += bound;
        ReserveOutcome::Reserved
    }

    /// Notes that a request waits for `bound` tokens, or with `false` that it no longer does.
    pub fn want(&mut self, account: &ClientAccountName, bound: Tokens, waits: bool) {
        let purse = self.purses.entry(account.clone()).or_default();
        purse.wanted = if waits { purse.wanted + bound } else { purse.wanted.less(bound) };
    }

    /// Ends a reservation of `bound` tokens of which `used` were used.
    pub fn settle(&mut self, account: &ClientAccountName, bound: Tokens, used: Tokens, now: Instant) {
        let purse = self.purses.entry(account.clone()).or_default();
        let used = used.min(bound);
        purse.reserved = purse.reserved.less(bound);
        purse.used += used;
        purse.demand.add(used, now, RATE_HORIZON);
    }

    /// Passes room to another holder: at least `least`, up to `most` or half of what there is.
    ///
    /// The giver's written ceiling covers what it lent, so the sum that the log knows does not change.
    pub fn lend(&mut self, account: &ClientAccountName, least: Tokens, most: Tokens) -> Loan {
        let purse = self.purses.entry(account.clone()).or_default();
        let room = purse.room();
        let amount = if room < least { Tokens::ZERO } else { most.min(Tokens(room.0 / 2)).max(least) };
        purse.lent += amount;
        Loan { amount, left: purse.room() }
    }

    /// Takes back what was lent to a holder that never heard of it.
    pub fn take_back(&mut self, account: &ClientAccountName, amount: Tokens) {
        let purse = self.purses.entry(account.clone()).or_default();
        purse.lent = purse.lent.less(amount);
    }

    /// Takes in room that another holder passed on.
    pub fn borrow(&mut self, account: &ClientAccountName, amount: Tokens) {
        self.purses.entry(account.clone()).or_default().borrowed += amount;
    }

    /// Room that this holder would like to have beside `bound` tokens that are asked for now.
    pub fn wish(&self, account: &ClientAccountName, bound: Tokens, now: Instant) -> Tokens {
        let purse = self.purses.get(account).copied().unwrap_or_default();
        bound.max(purse.wanted) + use_in(&purse, LOAN_WINDOW, now)
    }

    /// Tokens used, set aside and allowed of `account`.
    pub fn view(&self, account: &ClientAccountName) -> (Tokens, Tokens, Tokens) {
        let view = |purse: &Purse| (purse.used, purse.reserved, (purse.ceiling + purse.borrowed).less(purse.lent));
        self.purses.get(account).map(view).unwrap_or_default()
    }

    /// Whether any request waits for a higher ceiling.
    pub fn is_short(&self) -> bool {
        self.purses.values().any(|purse| !purse.wanted.is_zero())
    }

    /// Next record to write, when one is due; `accounts` are those that are limited, with what they paid for.
    ///
    /// Lowered ceilings bind from this moment on, raised ones once [`Self::confirm`] tells that they are written.
    pub fn plan<'a>(
        &mut self,
        book: &CreditBook,
        document: u64,
        accounts: impl IntoIterator<Item = (&'a ClientAccountName, Tokens)>,
        now: Instant,
        force: bool,
    ) -> Option<HolderRecord> {
        let mut is_due = force;
        let mut record = HolderRecord { document, ..HolderRecord::default() };
        let fleet = book.alive(&self.holder, now, self.policy.silence) as u64 + 1;
        for (account, prepaid) in accounts {
            let others = book.others(&self.holder, account, now, self.policy.silence);
            let purse = self.purses.entry(account.clone()).or_default();
            purse.seen = others.seen;
            let aim = aimed_room(&self.policy, purse, others, prepaid, fleet, now).max(purse.wanted);
            let most = prepaid.less(others.ceiling).max(purse.taken());
            // A holder behind the others' document does not know what was paid for and must not raise.
            let most = if document < book.newest_document() { most.min(purse.ceiling) } else { most };
            let ceiling = (purse.taken() + aim).min(most);
            let room = purse.room().0;
            let raises = ceiling > purse.ceiling && (room < aim.0 / PERCENT * RAISE_BELOW || !purse.wanted.is_zero());
            let lowers = purse.ceiling > most || room > aim.0 / PERCENT * LOWER_ABOVE + PERCENT;
            is_due |= raises || lowers;
            record.holdings.insert(account.clone(), Holding { ceiling, settled: purse.used });
        }
        if !is_due {
            return None;
        }
        self.lower(&record);
        Some(record)
    }

    /// Last record of a holder that ends: ceilings fall to what was used.
    pub fn close(&mut self, document: u64) -> HolderRecord {
        let spent = |purse: &Purse| Holding { ceiling: purse.taken(), settled: purse.used };
        let holdings = self.purses.iter().map(|(account, purse)| (account.clone(), spent(purse))).collect();
        let record = HolderRecord { holdings, document, closed: true };
        self.lower(&record);
        record
    }

    /// Notes that `record` is the newest one of this holder in the log.
    pub fn confirm(&mut self, record: &HolderRecord) {
        self.pending.clear();
        self.set_ceilings(record);
    }

    /// Notes that `record` may have been written at `at`, or may still be until another record is written there.
    pub fn note_unknown(&mut self, at: Offset, record: HolderRecord) {
        self.pending.push((at, record));
        self.restrain();
    }

    /// Brings the ceilings in line with what was read: `newest` is this holder's record, read up to `next`.
    pub fn read_back(&mut self, newest: Option<&HolderRecord>, next: Offset) {
        if self.pending.is_empty() {
            return;
        }
        self.pending.retain(|(at, _)| *at >= next);
        if let Some(record) = newest {
            self.set_ceilings(record);
        }
        self.restrain();
    }

    /// Returns to the ceilings of `newest`, this holder's record, after a write that did not take effect.
    pub fn restore(&mut self, newest: Option<&HolderRecord>) {
        if let Some(record) = newest {
            self.set_ceilings(record);
        }
        self.restrain();
    }

    /// Whether a write has an unknown end.
    pub fn is_unsure(&self) -> bool {
        !self.pending.is_empty()
    }

    fn set_ceilings(&mut self, record: &HolderRecord) {
        for (account, purse) in &mut self.purses {
            purse.ceiling = record.holdings.get(account).map_or(Tokens::ZERO, |holding| holding.ceiling);
        }
    }

    fn lower(&mut self, record: &HolderRecord) {
        for (account, purse) in &mut self.purses {
            let ceiling = record.holdings.get(account).map_or(Tokens::ZERO, |holding| holding.ceiling);
            purse.ceiling = purse.ceiling.min(ceiling);
        }
    }

    fn restrain(&mut self) {
        for (_, record) in self.pending.clone() {
            self.lower(&record);
        }
    }
}

/// Room that a holder aims to have above what it took: its part of the shared room, or a window of its own use.
fn aimed_room(
    policy: &CeilingPolicy,
    purse: &Purse,
    others: Others,
    prepaid: Tokens,
    fleet: u64,
    now: Instant,
) -> Tokens {
    let unused = prepaid.less(others.settled + purse.used);
    let base = prepaid.0 / PERCENT * BASE_SHARE;
    let weight = u128::from(purse.used.0 + base);
    let weights = u128::from(others.seen.0 + purse.used.0 + base * fleet).max(1);
    let shared = u128::from(unused.0 / PERCENT * policy.share) * weight / weights;
    let shared = Tokens(u64::try_from(shared).unwrap_or(u64::MAX));
    shared.min(use_in(purse, policy.window, now).max(Tokens(shared.0 / 2)))
}

/// Tokens that a holder uses in `span` at its present rate.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a rate is small and not negative")]
fn use_in(purse: &Purse, span: Duration, now: Instant) -> Tokens {
    Tokens((purse.demand.rate(now, RATE_HORIZON) * span.as_secs_f64()) as u64)
}
