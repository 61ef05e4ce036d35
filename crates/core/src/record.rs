//! Records of the ledger streams and the environments stream, independent of their encoding.

use std::sync::Arc;

use crate::names::{BudgetKey, EnvironmentName, IdempotencyKey, Incarnation, RecordId};
use crate::units::Tokens;

/// Record of a ledger shard's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardRecord {
    /// Entries of one incarnation.
    Batch(Batch),
    /// Payment of a client account.
    TopUp(TopUp),
    /// Closes a silent incarnation, which gets no more grants.
    Close(Close),
    /// Returns credit in doubt to the pool on an operator's command.
    Release(Release),
}

/// Entries that one incarnation appends together.
///
/// The sequence number makes a repeated append harmless, since each number is applied once and in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Incarnation that wrote the batch.
    pub holder: Incarnation,
    /// Number of the holder's batch on this shard, counted from 1.
    pub sequence: u64,
    /// Entries, applied in order.
    pub entries: Vec<Entry>,
}

/// One entry of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// Requests credit: grants `most` tokens or all free ones, but none when fewer than `least` are free.
    Grant {
        /// Budget to draw on.
        key: BudgetKey,
        /// Smallest amount that is useful to the holder.
        least: Tokens,
        /// Largest amount requested.
        most: Tokens,
    },
    /// Bills one request from the holder's credit.
    Settle {
        /// Budget that pays.
        key: BudgetKey,
        /// Request billed; a second bill of the same request is not charged.
        request: RecordId,
        /// Tokens used.
        tokens: Tokens,
    },
    /// Returns unused credit to the pool.
    Return {
        /// Budget that the credit belongs to.
        key: BudgetKey,
        /// Tokens returned.
        tokens: Tokens,
    },
    /// Claims the right to dispatch a call that must not repeat.
    Claim {
        /// Attempt claimed.
        attempt: AttemptKey,
        /// Digest of the call; a key that is reused for a call with another digest is refused.
        digest: u64,
    },
    /// Reports how a claimed call ended.
    Outcome {
        /// Attempt that ended.
        attempt: AttemptKey,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// Gives up a claim before any dispatch, so that the key may be claimed again.
    Renounce {
        /// Attempt given up.
        attempt: AttemptKey,
    },
}

impl Entry {
    /// Budget whose balances the entry changes, if any.
    pub const fn budget(&self) -> Option<&BudgetKey> {
        match self {
            Self::Grant { key, .. } | Self::Settle { key, .. } | Self::Return { key, .. } => Some(key),
            Self::Claim { .. } | Self::Outcome { .. } | Self::Renounce { .. } => None,
        }
    }
}

/// Identity of an at-most-once call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// Budget of the client account that called.
    pub budget: BudgetKey,
    /// Idempotency key that the caller chose.
    pub key: IdempotencyKey,
}

/// How a dispatched call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The application answered.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer, kept so that a retry gets the same answer.
        body: Arc<[u8]>,
    },
    /// The call was dispatched, but no answer was received.
    Unknown,
}

/// Payment for a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TopUp {
    /// Identifier that makes a repeated append count once.
    pub id: RecordId,
    /// Budget paid for.
    pub key: BudgetKey,
    /// Tokens bought.
    pub tokens: Tokens,
    /// Operator who entered the payment.
    pub operator: Arc<str>,
}

/// Closes an incarnation on one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Close {
    /// Incarnation closed.
    pub holder: Incarnation,
    /// Incarnation or operator that closed it.
    pub closer: Arc<str>,
}

/// Release of credit in doubt, which the audit lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// Identifier that makes a repeated append count once.
    pub id: RecordId,
    /// Budget that the credit belongs to.
    pub key: BudgetKey,
    /// Closed incarnation that held the credit.
    pub holder: Incarnation,
    /// Operator who vouches that the holder no longer runs.
    pub operator: Arc<str>,
    /// Operator's reason, which the audit shows.
    pub reason: Arc<str>,
}

/// Record of the environments stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EnvironmentRecord {
    /// Publishes a document to the trial stage.
    Trial(Publish),
    /// Promotes the trial document to production.
    Promote(Promote),
}

/// Publication of a document to the trial stage, conditional on the version in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publish {
    /// Identifier that makes a repeated append count once.
    pub id: RecordId,
    /// Environment published.
    pub environment: EnvironmentName,
    /// Version that must be in force for the record to take effect.
    pub expected: u64,
    /// Text of the document.
    pub document: Arc<str>,
    /// Operator who published.
    pub operator: Arc<str>,
}

/// Promotion of the trial document to production, conditional on the version in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promote {
    /// Identifier that makes a repeated append count once.
    pub id: RecordId,
    /// Environment promoted.
    pub environment: EnvironmentName,
    /// Version that must be in force for the record to take effect.
    pub expected: u64,
    /// Operator who promoted.
    pub operator: Arc<str>,
}
