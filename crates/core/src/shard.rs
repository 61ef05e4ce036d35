//! State machine of one ledger shard: budgets and attempts, with one sequence check for both.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::attempts::{AttemptTable, AttemptTableState, ClaimOutcome};
use crate::ledger::{Ledger, LedgerOutcome, LedgerState};
use crate::names::{BudgetKey, Incarnation};
use crate::record::{Batch, Entry, ShardRecord};
use crate::units::Offset;

/// Index of a ledger shard.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct ShardIndex(pub u32);

impl ShardIndex {
    /// Shard of `key` among `count` shards; all instances must use the same count.
    pub fn of(key: &BudgetKey, count: u32) -> Self {
        let hash = xxh3_64(key.to_string().as_bytes());
        let index = hash % u64::from(count.max(1));
        Self(u32::try_from(index).expect("the remainder is below a u32"))
    }

    /// Log stream that carries the shard's records.
    pub fn stream(self) -> String {
        format!("ledger-{}", self.0)
    }

    /// Log stream that carries the shard's snapshots.
    pub fn snapshot_stream(self) -> String {
        format!("snapshot-ledger-{}", self.0)
    }
}

/// Outcome of one entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryOutcome {
    /// Outcome of a budget entry.
    Ledger(LedgerOutcome),
    /// Outcome of a claim.
    Claim(ClaimOutcome),
    /// The entry was applied and has no further outcome.
    Noted,
}

/// Outcome of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// A batch was applied; the outcomes are in entry order.
    Batch(Vec<EntryOutcome>),
    /// The batch repeats an applied one, or its number is not the next, so it changes nothing.
    Skipped,
    /// Outcome of a payment, close or release.
    Single(LedgerOutcome),
}

/// Complete state of a [`Shard`], for snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardState {
    /// Budgets of the shard.
    pub ledger: LedgerState,
    /// At-most-once calls of the shard.
    pub attempts: AttemptTableState,
    /// Offset of the first record not yet applied.
    pub next: Offset,
    /// Number of the last batch applied, by incarnation.
    pub sequences: BTreeMap<Incarnation, u64>,
    /// Closed incarnations.
    pub closed: std::collections::BTreeSet<Incarnation>,
}

/// State of one shard up to an offset of its stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shard {
    /// Budgets of the shard.
    pub ledger: Ledger,
    /// At-most-once calls of the shard.
    pub attempts: AttemptTable,
    /// Offset of the first record not yet applied.
    pub next: Offset,
    sequences: BTreeMap<Incarnation, u64>,
    closed: std::collections::BTreeSet<Incarnation>,
}

impl Shard {
    /// Copies the complete state.
    pub fn export(&self) -> ShardState {
        let Self { ledger, attempts, next, sequences, closed } = self;
        let (ledger, attempts) = (ledger.export(), attempts.export());
        ShardState { ledger, attempts, next: *next, sequences: sequences.clone(), closed: closed.clone() }
    }

    /// Restores an exported state.
    pub fn import(state: ShardState) -> Self {
        let ShardState { ledger, attempts, next, sequences, closed } = state;
        let (ledger, attempts) = (Ledger::import(ledger), AttemptTable::import(attempts));
        Self { ledger, attempts, next, sequences, closed }
    }

    /// Whether `holder` was closed on this shard.
    pub fn is_closed(&self, holder: &Incarnation) -> bool {
        self.closed.contains(holder)
    }

    /// Number of the last batch of `holder` that was applied, or 0.
    pub fn sequence(&self, holder: &Incarnation) -> u64 {
        self.sequences.get(holder).copied().unwrap_or_default()
    }

    /// Incarnations that wrote to this shard and are not closed.
    pub fn open_holders(&self) -> impl Iterator<Item = &Incarnation> {
        self.sequences.keys().filter(|holder| !self.closed.contains(holder))
    }

    /// Applies the record at `offset`.
    ///
    /// # Panics
    /// Panics when the balances of a budget no longer add up, since every later decision would be wrong.
    pub fn apply(&mut self, offset: Offset, record: &ShardRecord) -> ApplyOutcome {
        self.next = offset.next();
        let applied = match record {
            ShardRecord::Batch(batch) => self.apply_batch(batch),
            ShardRecord::TopUp(top_up) => ApplyOutcome::Single(self.ledger.top_up(top_up)),
            ShardRecord::Release(release) => ApplyOutcome::Single(self.ledger.release(release)),
            ShardRecord::Close(close) => {
                self.closed.insert(close.holder.clone());
                self.attempts.close(&close.holder);
                ApplyOutcome::Single(self.ledger.close(close))
            }
        };
        self.check_balance(offset, record);
        applied
    }

    fn check_balance(&self, offset: Offset, record: &ShardRecord) {
        let broken = match record {
            ShardRecord::Batch(batch) => {
                batch.entries.iter().filter_map(Entry::budget).find(|key| self.ledger.is_unbalanced(key))
            }
            ShardRecord::TopUp(top_up) => Some(&top_up.key).filter(|key| self.ledger.is_unbalanced(key)),
            ShardRecord::Release(release) => Some(&release.key).filter(|key| self.ledger.is_unbalanced(key)),
            ShardRecord::Close(_) => self.ledger.unbalanced_budget(),
        };
        assert_eq!(broken, None, "CP0900 budget out of balance at offset {offset}");
    }

    /// Skips a record that cannot be decoded, as every other instance does.
    pub fn skip(&mut self, offset: Offset) {
        self.next = offset.next();
    }

    fn apply_batch(&mut self, batch: &Batch) -> ApplyOutcome {
        let last = self.sequences.entry(batch.holder.clone()).or_default();
        if batch.sequence != *last + 1 {
            return ApplyOutcome::Skipped;
        }
        *last = batch.sequence;
        let outcomes = batch.entries.iter().map(|entry| self.apply_entry(&batch.holder, entry)).collect();
        ApplyOutcome::Batch(outcomes)
    }

    fn apply_entry(&mut self, holder: &Incarnation, entry: &Entry) -> EntryOutcome {
        match entry {
            Entry::Grant { .. } if self.closed.contains(holder) => {
                EntryOutcome::Ledger(LedgerOutcome::Granted(crate::units::Tokens::ZERO))
            }
            Entry::Grant { key, least, most } => EntryOutcome::Ledger(self.ledger.grant(holder, key, *least, *most)),
            Entry::Settle { key, request, tokens } => {
                EntryOutcome::Ledger(self.ledger.settle(holder, key, request, *tokens))
            }
            Entry::Return { key, tokens } => EntryOutcome::Ledger(self.ledger.return_credit(holder, key, *tokens)),
            Entry::Claim { attempt, digest } => EntryOutcome::Claim(self.attempts.claim(holder, attempt, *digest)),
            Entry::Outcome { attempt, outcome } => {
                self.attempts.end(holder, attempt, outcome);
                EntryOutcome::Noted
            }
            Entry::Renounce { attempt } => {
                self.attempts.renounce(holder, attempt);
                EntryOutcome::Noted
            }
        }
    }
}
