//! Credit of one holder: before an instance uses credit, it writes to the log how much it may use.
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

use crate::account_credit::{AccountCredit, Limit};
use crate::ceilings::{AccountCeiling, CeilingTable, HolderRecord, ISOLATION_TIMEOUT, OtherHolders};
use crate::forgotten_use::ForgottenUse;
use crate::headroom::{CeilingPolicy, HeadroomInput, PERCENT, TargetHeadroom};
use crate::lenders::{CreditRole, LENDERS_PER_ACCOUNT};
use crate::names::ClientAccountName;
use crate::quarantine::SuspectReport;
use crate::units::{Instant, Tokens};

/// Contents of a record other than its ceilings.
#[derive(Clone, Debug, Default)]
pub struct RecordMetadata {
    /// Era of the store as the holder knows it.
    pub era: u64,
    /// Version of the document in force at the holder.
    pub document: u64,
    /// Wall-clock time of the holder, in milliseconds since 1970.
    pub timestamp: u64,
    /// Requests that the holder suspects of crashing backend servers.
    pub suspects: Vec<SuspectReport>,
}

/// A ceiling is raised once its headroom is below this many percent of the target.
const RAISE_BELOW_PERCENT: u64 = 50;

/// A ceiling is lowered once its headroom is above this many percent of the target.
const LOWER_ABOVE_PERCENT: u64 = 200;

/// Account whose ceiling is planned.
#[derive(Clone, Copy, Debug)]
pub struct PlannedAccount<'a> {
    /// Name of the account.
    pub name: &'a ClientAccountName,
    /// Tokens that the account paid for.
    pub prepaid: Tokens,
    /// Role of this holder in the account's credit.
    pub role: CreditRole,
}

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

/// Credit of one holder for all accounts.
#[derive(Debug)]
pub struct HolderCredit {
    holder: Arc<str>,
    policy: CeilingPolicy,
    accounts: BTreeMap<ClientAccountName, AccountCredit>,
    last_written: Option<Instant>,
    pending: Option<PendingRecord>,
    /// Number of the newest planned record, and era in which it was planned.
    planned: (u64, u64),
    /// What the newest planned record tells of other holders.
    forgotten: ForgottenUse,
    /// Number of the newest own record that was read.
    read_number: u64,
    /// Whether an older own record was written after the newest one.
    is_covered: bool,
}

/// Planned record that was not read back from the log yet.
#[derive(Clone, Debug)]
struct PendingRecord {
    record: HolderRecord,
    /// Record that is written with it and holds what it no longer does, by its holder name.
    archive: Option<(Arc<str>, HolderRecord)>,
    /// Time of the last write before this record.
    previous_write: Option<Instant>,
}

impl PendingRecord {
    /// Whether `record`, as read from the log, is this one.
    fn matches(&self, record: &HolderRecord) -> bool {
        self.record.number == record.number
    }
}

impl HolderCredit {
    /// Starts a holder without any credit.
    pub const fn new(holder: Arc<str>, policy: CeilingPolicy) -> Self {
        let accounts = BTreeMap::new();
        Self {
            holder,
            policy,
            accounts,
            last_written: None,
            pending: None,
            planned: (0, 0),
            forgotten: ForgottenUse::new(),
            read_number: 0,
            is_covered: false,
        }
    }

    /// Name of this holder in the log.
    pub const fn holder(&self) -> &Arc<str> {
        &self.holder
    }

    /// Time since the last record that may have reached the log; it decides how much of a reserve may be used.
    pub fn isolation(&self, now: Instant) -> Duration {
        self.last_written.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Sets aside `bound` tokens, the most that a request may use.
    pub fn reserve(
        &mut self,
        account: &ClientAccountName,
        bound: Tokens,
        prepaid: Tokens,
        now: Instant,
    ) -> HeadroomOutcome {
        let isolation = self.isolation(now);
        let credit = self.accounts.entry(account.clone()).or_default();
        if credit.is_exhausted(bound, prepaid) {
            return HeadroomOutcome::Exhausted;
        }
        if credit.headroom(isolation) < bound {
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
        credit.note_use(used, now);
    }

    /// Tokens of `account` that are used, reserved and allowed at this holder.
    pub fn usage(&self, account: &ClientAccountName) -> (Tokens, Tokens, Tokens) {
        let view = |credit: &AccountCredit| {
            (credit.used, credit.reserved, (credit.limit.ceiling + credit.borrowed).saturating_sub(credit.lent))
        };
        self.accounts.get(account).map(view).unwrap_or_default()
    }

    /// Tokens of `account` that this holder's own ceiling must cover.
    pub fn committed(&self, account: &ClientAccountName) -> Tokens {
        self.accounts.get(account).map(AccountCredit::committed).unwrap_or_default()
    }

    /// Whether any request waits for a higher ceiling.
    pub fn has_waiting(&self) -> bool {
        self.accounts.values().any(|credit| !credit.waiting.is_zero())
    }

    /// Plans the next record of the prepaid `accounts` and returns it when one is due or `force` is set.
    ///
    /// What was used of other accounts stays on record: an account that a document leaves out may come back, and what it
    /// paid for is counted from its first use.
    ///
    /// Lowered ceilings are in force at once, raised ones once [`Self::apply_own`] finds that they fit. Reserves cannot
    /// be used from now on: the record may reach the log, and its timestamp shows that the holder is not isolated.
    /// Nothing is planned while a record is pending, since it is unknown which of two unread records would count.
    pub fn plan_record<'a>(
        &mut self,
        table: &CeilingTable,
        metadata: RecordMetadata,
        accounts: impl IntoIterator<Item = PlannedAccount<'a>>,
        now: Instant,
        force: bool,
    ) -> Option<HolderRecord> {
        if self.pending.is_some() {
            return None;
        }
        // The other holders' use during the isolation was not read yet, so a reserve sized now would be too large.
        let was_isolated = self.isolation(now) > ISOLATION_TIMEOUT;
        let mut record = self.next_record(table, metadata, now);
        let (era, document) = (record.era, record.document);
        // The store may have lost the newest record, so it is written again in each era.
        let mut is_due = force || (era > self.planned.1 && self.holds_credit()) || self.is_covered;
        is_due |= table.record(&self.holder).is_some_and(|own| own.forgotten != record.forgotten);
        for PlannedAccount { name: account, prepaid, role } in accounts {
            let others = table.others(&self.holder, account, now, self.policy.silence);
            let credit = self.accounts.entry(account.clone()).or_default();
            credit.others_used = others.reported;
            let target = target_headroom(&self.policy, credit, others, prepaid, role, now);
            let (base, total) = (target.base.max(credit.waiting), target.total.max(credit.waiting));
            let most = prepaid.saturating_sub(others.allowed).max(credit.committed());
            // A holder with an older document than the others does not know the prepaid amount and must not raise.
            let kept = credit.limit.ceiling.max(credit.committed());
            let most = if document < table.newest_document() { most.min(kept) } else { most };
            let ceiling = (credit.committed() + base).min(most);
            let reserve =
                if was_isolated { Tokens::ZERO } else { total.saturating_sub(base).min(most.saturating_sub(ceiling)) };
            let headroom = credit.headroom(Duration::ZERO).0;
            let must_raise = ceiling > credit.limit.ceiling
                && (headroom < base.0 / PERCENT * RAISE_BELOW_PERCENT || !credit.waiting.is_zero());
            let excess = (base.0 / PERCENT).saturating_mul(LOWER_ABOVE_PERCENT).saturating_add(PERCENT);
            let is_excessive = credit.limit.ceiling > most || headroom > excess;
            let must_lower = ceiling < credit.limit.ceiling && is_excessive;
            is_due |= must_raise || must_lower || credit.is_cut;
            let planned = AccountCeiling { ceiling, settled: credit.used, reserve, reserve_rate: target.reserve_rate };
            record.ceilings.insert(account.clone(), planned);
        }
        let left_out = self.left_out(&record);
        let has_unused = |(account, kept): (&ClientAccountName, &AccountCeiling)| {
            self.accounts.get(account).is_some_and(|credit| credit.limit.total() > kept.total())
        };
        is_due |= left_out.iter().any(has_unused);
        record.ceilings.extend(left_out.clone());
        record.ceilings.retain(|_, planned| !planned.total().is_zero() || !planned.settled.is_zero());
        if !is_due {
            return None;
        }
        let archive = self.archive(&mut record, &left_out);
        let previous_write = self.last_written.replace(now);
        self.planned = (record.number, era);
        self.forgotten = record.forgotten.clone();
        self.is_covered = false;
        self.pending = Some(PendingRecord { record: record.clone(), archive, previous_write });
        self.update_limits();
        Some(record)
    }

    /// Next record of this holder, without ceilings.
    fn next_record(&self, table: &CeilingTable, metadata: RecordMetadata, now: Instant) -> HolderRecord {
        let RecordMetadata { era, document, timestamp, suspects } = metadata;
        HolderRecord {
            number: self.planned.0 + 1,
            era,
            document,
            timestamp,
            witnesses: table.witnesses(&self.holder, now),
            suspects,
            keeps_use: true,
            forgotten: table.forgotten(),
            ..HolderRecord::default()
        }
    }

    /// Last record of a holder that shuts down; it lowers the ceilings to the tokens committed.
    pub fn close(&mut self, document: u64) -> HolderRecord {
        let ceilings =
            self.accounts.iter().map(|(account, credit)| (account.clone(), credit.final_ceiling())).collect();
        self.planned.0 += 1;
        let (number, era) = self.planned;
        let forgotten = self.forgotten.clone();
        let closed = HolderRecord { closed: true, keeps_use: true, ..HolderRecord::default() };
        let record = HolderRecord { ceilings, number, era, document, forgotten, ..closed };
        self.pending = Some(PendingRecord { record: record.clone(), archive: None, previous_write: self.last_written });
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
        // A holder with an older document than the others does not know the prepaid amount. In a new era of the store,
        // raises that it lost may be unknown until all others have written their records again.
        let is_behind = document < table.newest_document() || !table.is_complete(&self.holder);
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
        if record.number < self.read_number {
            // Another instance wrote an older record again, so the newest one has to follow it.
            self.is_covered = true;
            return cut;
        }
        self.read_number = record.number;
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
        if let Some((_, archive)) =
            self.pending.take_if(|pending| pending.matches(record)).and_then(|pending| pending.archive)
        {
            self.forget_archived(&archive);
        }
        self.update_limits();
        cut
    }

    /// Credit of `account`, if this holder ever dealt with it.
    pub(crate) fn account(&self, account: &ClientAccountName) -> Option<&AccountCredit> {
        self.accounts.get(account)
    }

    /// Credit of `account`, empty at first.
    pub(crate) fn account_mut(&mut self, account: &ClientAccountName) -> &mut AccountCredit {
        self.accounts.entry(account.clone()).or_default()
    }

    pub(crate) fn accounts(&self) -> impl Iterator<Item = (&ClientAccountName, &AccountCredit)> {
        self.accounts.iter()
    }

    /// Forgets `account`, of which this holder has used nothing that its records must hold.
    pub(crate) fn remove_account(&mut self, account: &ClientAccountName) {
        self.accounts.remove(account);
    }

    pub(crate) fn accounts_mut(&mut self) -> impl Iterator<Item = (&ClientAccountName, &mut AccountCredit)> {
        self.accounts.iter_mut()
    }

    /// Whether this holder may use credit by its own ceilings, or a record of it is on its way.
    pub fn holds_credit(&self) -> bool {
        self.pending.is_some() || self.accounts.values().any(|credit| !credit.granted.total().is_zero())
    }

    /// Whether a planned record was not read back from the log yet.
    pub const fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Planned records that were not read back from the log yet, to be written together, by holder.
    pub fn pending_records(&self) -> Vec<(Arc<str>, HolderRecord)> {
        let Some(PendingRecord { record, archive, .. }) = &self.pending else { return Vec::new() };
        archive.iter().cloned().chain([(Arc::clone(&self.holder), record.clone())]).collect()
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

/// Headroom that a holder in `role` aims to keep; a borrower keeps none.
fn target_headroom(
    policy: &CeilingPolicy,
    credit: &AccountCredit,
    others: OtherHolders,
    prepaid: Tokens,
    role: CreditRole,
    now: Instant,
) -> TargetHeadroom {
    let parts = match role {
        CreditRole::Shared(fleet) => fleet,
        CreditRole::Lender => LENDERS_PER_ACCOUNT as u64,
        CreditRole::Borrower => return TargetHeadroom::default(),
    };
    let is_lender = role == CreditRole::Lender;
    let (used, committed, rate) = (credit.used, credit.used + credit.lent, credit.rate(now));
    TargetHeadroom::new(policy, &HeadroomInput { prepaid, used, committed, rate, others, parts, is_lender })
}
