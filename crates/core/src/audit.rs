//! Audit of ledger records: what was billed more than once, released, closed or topped up, record by record.
//!
//! It reads the records themselves, not the fold, so that it does not vouch for the fold with its own figures.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::names::{BudgetKey, Incarnation, RecordId};
use crate::record::{Batch, Entry, ShardRecord};
use crate::units::Tokens;

/// Bills of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bills {
    /// Budget named by the first bill.
    pub key: BudgetKey,
    /// Bills written.
    pub count: u64,
    /// Tokens of the first bill, which is the one charged.
    pub charged: Tokens,
}

/// Operator's record worth a look.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum OperatorAction {
    /// Credit in doubt was released.
    #[display("release of {key} held by {holder}, by {operator}: {reason}")]
    Release {
        /// Budget.
        key: BudgetKey,
        /// Closed holder.
        holder: Incarnation,
        /// Operator.
        operator: Arc<str>,
        /// Reason given.
        reason: Arc<str>,
    },
    /// An incarnation was closed.
    #[display("close of {holder} by {closer}")]
    Close {
        /// Incarnation.
        holder: Incarnation,
        /// Who closed it.
        closer: Arc<str>,
    },
    /// A budget was topped up.
    #[display("top-up of {key} by {tokens}, by {operator}")]
    TopUp {
        /// Budget.
        key: BudgetKey,
        /// Tokens.
        tokens: Tokens,
        /// Operator.
        operator: Arc<str>,
    },
}

/// Findings over the records taken in so far.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Records taken in.
    pub records: u64,
    /// Records that could not be decoded.
    pub skipped: u64,
    /// Operators' records in log order.
    pub operator_actions: Vec<OperatorAction>,
    bills: BTreeMap<RecordId, Bills>,
    sequences: BTreeMap<Incarnation, u64>,
}

impl Audit {
    /// Takes in one record.
    pub fn apply(&mut self, record: &ShardRecord) {
        self.records += 1;
        match record {
            ShardRecord::Batch(batch) => self.apply_batch(batch),
            ShardRecord::TopUp(top_up) => self.operator_actions.push(OperatorAction::TopUp {
                key: top_up.key.clone(),
                tokens: top_up.tokens,
                operator: Arc::clone(&top_up.operator),
            }),
            ShardRecord::Close(close) => {
                let (holder, closer) = (close.holder.clone(), Arc::clone(&close.closer));
                self.operator_actions.push(OperatorAction::Close { holder, closer });
            }
            ShardRecord::Release(release) => self.operator_actions.push(OperatorAction::Release {
                key: release.key.clone(),
                holder: release.holder.clone(),
                operator: Arc::clone(&release.operator),
                reason: Arc::clone(&release.reason),
            }),
        }
    }

    /// Counts a record that could not be decoded.
    pub const fn skip(&mut self) {
        self.records += 1;
        self.skipped += 1;
    }

    /// Requests that were billed, each charged once.
    pub fn billed(&self) -> usize {
        self.bills.len()
    }

    /// Requests with more than one bill; all but the first were handed back.
    pub fn repeated(&self) -> impl Iterator<Item = (&RecordId, &Bills)> {
        self.bills.iter().filter(|(_, bills)| bills.count > 1)
    }

    /// Takes each batch number of a holder once, as the fold does; the first seen may be any after a trim.
    fn apply_batch(&mut self, batch: &Batch) {
        let last = self.sequences.get(&batch.holder).copied();
        if last.is_some_and(|last| batch.sequence <= last) {
            return;
        }
        self.sequences.insert(batch.holder.clone(), batch.sequence);
        for entry in &batch.entries {
            if let Entry::Settle { key, request, tokens } = entry {
                let first = || Bills { key: key.clone(), count: 0, charged: *tokens };
                self.bills.entry(request.clone()).or_insert_with(first).count += 1;
            }
        }
    }
}
