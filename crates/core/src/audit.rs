//! Audit of ledger records: repeated bills, releases, closes and payments.
//!
//! The audit reads the records themselves rather than the replayed ledger, so that its figures are independent of the
//! ledger that it checks.

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
    /// Number of bills written.
    pub count: u64,
    /// Tokens of the first bill, the only one that is charged.
    pub charged: Tokens,
}

/// Release, close or payment that an auditor should review.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum AuditEvent {
    /// Credit in doubt was released.
    #[display("release of {key} held by {holder}, by {operator}: {reason}")]
    Release {
        /// Budget that the credit belongs to.
        key: BudgetKey,
        /// Closed incarnation that held the credit.
        holder: Incarnation,
        /// Operator who ordered the release.
        operator: Arc<str>,
        /// Operator's reason.
        reason: Arc<str>,
    },
    /// An incarnation was closed.
    #[display("close of {holder} by {closer}")]
    Close {
        /// Incarnation closed.
        holder: Incarnation,
        /// Incarnation or operator that closed it.
        closer: Arc<str>,
    },
    /// A budget was topped up.
    #[display("top-up of {key} by {tokens}, by {operator}")]
    TopUp {
        /// Budget paid for.
        key: BudgetKey,
        /// Tokens bought.
        tokens: Tokens,
        /// Operator who entered the payment.
        operator: Arc<str>,
    },
}

/// Findings in the records read so far.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Number of records read.
    pub records: u64,
    /// Number of records that could not be decoded.
    pub skipped: u64,
    /// Releases, closes and payments in log order.
    pub events: Vec<AuditEvent>,
    bills: BTreeMap<RecordId, Bills>,
    sequences: BTreeMap<Incarnation, u64>,
}

impl Audit {
    /// Adds the findings of one record.
    pub fn apply(&mut self, record: &ShardRecord) {
        self.records += 1;
        match record {
            ShardRecord::Batch(batch) => self.apply_batch(batch),
            ShardRecord::TopUp(top_up) => self.events.push(AuditEvent::TopUp {
                key: top_up.key.clone(),
                tokens: top_up.tokens,
                operator: Arc::clone(&top_up.operator),
            }),
            ShardRecord::Close(close) => {
                let (holder, closer) = (close.holder.clone(), Arc::clone(&close.closer));
                self.events.push(AuditEvent::Close { holder, closer });
            }
            ShardRecord::Release(release) => self.events.push(AuditEvent::Release {
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

    /// Number of requests that were billed; each is charged once.
    pub fn billed(&self) -> usize {
        self.bills.len()
    }

    /// Requests with more than one bill; the tokens of all but the first went back to the pool.
    pub fn repeated(&self) -> impl Iterator<Item = (&RecordId, &Bills)> {
        self.bills.iter().filter(|(_, bills)| bills.count > 1)
    }

    /// Applies each batch number of a holder once, as the ledger does.
    ///
    /// The first batch read of a holder may have any number, since the log may have been trimmed.
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
