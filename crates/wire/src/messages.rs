//! Protocol buffer messages of the ledger and environment streams.
//!
//! [`crate::convert`] converts them to and from the typed records of the core.

use prost::{Message, Oneof};

/// One run of an instance.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct IncarnationMessage {
    /// Instance name.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Random number drawn for the run.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
}

/// Key of a budget: environment, stage and client account.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BudgetKeyMessage {
    /// Environment name.
    #[prost(string, tag = "1")]
    pub environment: String,
    /// True for the budget of the trial stage, false for production.
    #[prost(bool, tag = "2")]
    pub trial: bool,
    /// Client account name.
    #[prost(string, tag = "3")]
    pub account: String,
}

/// Key of an at-most-once call.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AttemptKeyMessage {
    /// Budget of the client account that called.
    #[prost(message, optional, tag = "1")]
    pub budget: Option<BudgetKeyMessage>,
    /// Idempotency key that the caller sent.
    #[prost(string, tag = "2")]
    pub key: String,
}

/// Grant of credit from a budget to the writer of the batch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GrantMessage {
    /// Budget to draw on.
    #[prost(message, optional, tag = "1")]
    pub key: Option<BudgetKeyMessage>,
    /// Smallest amount to grant, in tokens; nothing is granted when less is free.
    #[prost(uint64, tag = "2")]
    pub least: u64,
    /// Largest amount to grant, in tokens.
    #[prost(uint64, tag = "3")]
    pub most: u64,
}

/// Bill for one request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SettleMessage {
    /// Budget that pays.
    #[prost(message, optional, tag = "1")]
    pub key: Option<BudgetKeyMessage>,
    /// Id of the request; a second bill for it is not charged.
    #[prost(string, tag = "2")]
    pub request: String,
    /// Tokens used.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Return of unused credit to its budget.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ReturnMessage {
    /// Budget that gets the credit back.
    #[prost(message, optional, tag = "1")]
    pub key: Option<BudgetKeyMessage>,
    /// Tokens returned.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Claim of the right to dispatch an at-most-once call.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AttemptClaimMessage {
    /// Key of the call.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptKeyMessage>,
    /// Digest of the call; another digest under the same key shows that the key was reused for another call.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// Result of a dispatched at-most-once call.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AttemptOutcomeMessage {
    /// Key of the call.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptKeyMessage>,
    /// HTTP status of the response; 0 when the call was sent and no response came.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Body of the response.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// Withdrawal of a claim to a call that was never dispatched, so that the key may be claimed again.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RenounceMessage {
    /// Key of the call.
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<AttemptKeyMessage>,
}

/// Entry of a [`BatchMessage`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EntryMessage {
    /// Content; a message without it is invalid.
    #[prost(oneof = "EntryKind", tags = "1, 2, 3, 4, 5, 6")]
    pub kind: Option<EntryKind>,
}

/// Content of a batch entry.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum EntryKind {
    /// Grant of credit.
    #[prost(message, tag = "1")]
    Grant(GrantMessage),
    /// Bill for one request.
    #[prost(message, tag = "2")]
    Settle(SettleMessage),
    /// Return of unused credit.
    #[prost(message, tag = "3")]
    Return(ReturnMessage),
    /// Claim of the right to dispatch an at-most-once call.
    #[prost(message, tag = "4")]
    Claim(AttemptClaimMessage),
    /// Result of a dispatched at-most-once call.
    #[prost(message, tag = "5")]
    Outcome(AttemptOutcomeMessage),
    /// Withdrawal of a claim to a call that was never dispatched.
    #[prost(message, tag = "6")]
    Renounce(RenounceMessage),
}

/// Entries that one incarnation appends as one record.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BatchMessage {
    /// Incarnation that wrote the batch.
    #[prost(message, optional, tag = "1")]
    pub holder: Option<IncarnationMessage>,
    /// One more than in the holder's previous batch on the shard; the first is 1.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Entries, applied in order.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<EntryMessage>,
}

/// Payment into a budget.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TopUpMessage {
    /// Id of the order; a second record with the same id has no effect.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Budget that gets the tokens.
    #[prost(message, optional, tag = "2")]
    pub key: Option<BudgetKeyMessage>,
    /// Tokens bought.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Name of the operator.
    #[prost(string, tag = "4")]
    pub operator: String,
}

/// Closing of an incarnation, which ends its right to spend credit.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CloseMessage {
    /// Incarnation to close.
    #[prost(message, optional, tag = "1")]
    pub holder: Option<IncarnationMessage>,
    /// Name of the incarnation or operator that closed it.
    #[prost(string, tag = "2")]
    pub closer: String,
}

/// An operator's return of credit in doubt: the budget gets back what a closed incarnation held.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ReleaseMessage {
    /// Id of the order; a second record with the same id has no effect.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Budget that gets the credit back.
    #[prost(message, optional, tag = "2")]
    pub key: Option<BudgetKeyMessage>,
    /// Closed incarnation that held the credit.
    #[prost(message, optional, tag = "3")]
    pub holder: Option<IncarnationMessage>,
    /// Name of the operator.
    #[prost(string, tag = "4")]
    pub operator: String,
    /// Reason, kept for the audit.
    #[prost(string, tag = "5")]
    pub reason: String,
}

/// Record of a ledger shard's stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ShardRecordMessage {
    /// Content; a message without it is invalid.
    #[prost(oneof = "ShardRecordKind", tags = "1, 2, 3, 4")]
    pub kind: Option<ShardRecordKind>,
}

/// Content of a [`ShardRecordMessage`].
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum ShardRecordKind {
    /// Batch of entries by one incarnation.
    #[prost(message, tag = "1")]
    Batch(BatchMessage),
    /// Payment into a budget.
    #[prost(message, tag = "2")]
    TopUp(TopUpMessage),
    /// Closing of an incarnation.
    #[prost(message, tag = "3")]
    Close(CloseMessage),
    /// Return of credit in doubt to its budget.
    #[prost(message, tag = "4")]
    Release(ReleaseMessage),
}

/// Publication of an environment's document to the trial stage.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PublishMessage {
    /// Id of the order; a second record with the same id has no effect.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Environment name.
    #[prost(string, tag = "2")]
    pub environment: String,
    /// Version that must be in force for the record to take effect.
    #[prost(uint64, tag = "3")]
    pub expected: u64,
    /// Text of the document.
    #[prost(string, tag = "4")]
    pub document: String,
    /// Name of the operator.
    #[prost(string, tag = "5")]
    pub operator: String,
}

/// Promotion of the document in trial to production.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PromoteMessage {
    /// Id of the order; a second record with the same id has no effect.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Environment name.
    #[prost(string, tag = "2")]
    pub environment: String,
    /// Version that must be in force for the record to take effect.
    #[prost(uint64, tag = "3")]
    pub expected: u64,
    /// Name of the operator.
    #[prost(string, tag = "4")]
    pub operator: String,
}

/// Record of the environments stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EnvironmentRecordMessage {
    /// Content; a message without it is invalid.
    #[prost(oneof = "EnvironmentRecordKind", tags = "1, 2")]
    pub kind: Option<EnvironmentRecordKind>,
}

/// Content of an [`EnvironmentRecordMessage`].
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum EnvironmentRecordKind {
    /// Publication of a document to the trial stage.
    #[prost(message, tag = "1")]
    Trial(PublishMessage),
    /// Promotion of the document in trial to production.
    #[prost(message, tag = "2")]
    Promote(PromoteMessage),
}
