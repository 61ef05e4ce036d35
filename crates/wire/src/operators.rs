//! JSON bodies of the operators' HTTP interface, shared by the daemon and the command line client.

use serde::{Deserialize, Serialize};

/// Order to publish a document to the trial stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TrialOrder {
    /// Id of the order; an order repeated with the same id takes effect once.
    pub id: String,
    /// Version that must be in force for the order to take effect; 0 for a new environment.
    pub expected: u64,
    /// Text of the document.
    pub document: String,
}

/// Order to promote an environment's document in trial to production.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PromoteOrder {
    /// Id of the order; an order repeated with the same id takes effect once.
    pub id: String,
    /// Version that must be in force for the order to take effect.
    pub expected: u64,
}

/// Order to add paid tokens to a budget.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TopUpOrder {
    /// Id of the order; an order repeated with the same id takes effect once.
    pub id: String,
    /// Environment name.
    pub environment: String,
    /// `trial` or `production`.
    pub stage: coltsfootpick_core::names::Stage,
    /// Name of the client account.
    pub account: String,
    /// Tokens bought.
    pub tokens: u64,
}

/// Order to close an incarnation that sends no heartbeats, on every ledger shard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CloseOrder {
    /// Instance name.
    pub instance: String,
    /// Number of the run to close, in hexadecimal as the `budgets` command prints it.
    pub run: String,
}

/// Order to return credit in doubt, which a closed incarnation held, to its budget.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReleaseOrder {
    /// Id of the order; an order repeated with the same id takes effect once.
    pub id: String,
    /// Environment name.
    pub environment: String,
    /// `trial` or `production`.
    pub stage: coltsfootpick_core::names::Stage,
    /// Name of the client account.
    pub account: String,
    /// Instance name of the closed incarnation.
    pub instance: String,
    /// Number of the closed run, in hexadecimal.
    pub run: String,
    /// Reason, kept for the audit.
    pub reason: String,
}

/// Result of an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderResponse {
    /// True when the order has taken effect.
    pub done: bool,
    /// Description of the result, for the operator to read.
    pub message: String,
}

/// Environment that is in force at the answering instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EnvironmentView {
    /// Environment name.
    pub name: String,
    /// Version in force.
    pub version: u64,
    /// Operator whose order made the version.
    pub operator: String,
    /// True once a document is in production.
    pub production: bool,
    /// True when the document in trial is not the one in production, or none is in production.
    pub differs: bool,
}

/// Credit that one incarnation holds of one budget.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HoldingView {
    /// Instance name.
    pub instance: String,
    /// Number of the run, in hexadecimal.
    pub run: String,
    /// Tokens granted and neither settled nor returned.
    pub outstanding: u64,
    /// True when the incarnation is closed; its outstanding tokens are then in doubt.
    pub closed: bool,
}

/// Balances of one budget, computed by the answering instance from the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BudgetView {
    /// Environment name.
    pub environment: String,
    /// `trial` or `production`.
    pub stage: coltsfootpick_core::names::Stage,
    /// Name of the client account.
    pub account: String,
    /// Sum of all tokens paid in.
    pub topped: u64,
    /// Tokens not granted to any incarnation.
    pub free: u64,
    /// Tokens billed.
    pub spent: u64,
    /// Tokens that open incarnations hold.
    pub granted: u64,
    /// Tokens reserved for open requests of the answering instance.
    pub reserved: u64,
    /// Tokens in doubt: closed incarnations hold them.
    pub doubt: u64,
    /// Tokens billed beyond those paid in.
    pub overspent: u64,
    /// Credit held, one entry for each incarnation.
    pub holdings: Vec<HoldingView>,
}

/// State of the answering instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusView {
    /// Instance name.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// True once the instance accepts no new requests.
    pub draining: bool,
    /// Number of requests that the instance has open.
    pub open: u64,
    /// Read position in each stream of the log.
    pub streams: Vec<StreamView>,
    /// Environments in force at the instance.
    pub environments: Vec<EnvironmentView>,
    /// Backend servers that the instance knows.
    pub servers: Vec<ServerView>,
}

/// Read position of the answering instance in one stream of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StreamView {
    /// Stream name.
    pub stream: String,
    /// First offset not yet read.
    pub next: u64,
}

/// Backend server that the answering instance knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerView {
    /// Name of the backend server.
    pub name: String,
    /// Service that it runs.
    pub service: String,
    /// Number of requests that the answering instance has open on it.
    pub open: u32,
    /// True when it is leaving and accepts no new requests.
    pub leaving: bool,
}

/// One at-most-once call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptView {
    /// Environment name.
    pub environment: String,
    /// `trial` or `production`.
    pub stage: coltsfootpick_core::names::Stage,
    /// Name of the client account.
    pub account: String,
    /// Idempotency key that the caller sent.
    pub key: String,
    /// `claimed`, `answered`, `unknown`, `owner-gone` or `renounced`.
    pub state: String,
    /// Incarnation that claimed the call; empty once the call has ended or the claim was withdrawn.
    pub owner: String,
}

/// One recorded change of an environment, whether or not it came into force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeView {
    /// Offset of the record in its stream.
    pub offset: u64,
    /// Id of the order that made the change.
    pub id: String,
    /// `trial` or `promote`.
    pub kind: String,
    /// Version that the operator expected.
    pub expected: u64,
    /// Name of the operator who ordered the change.
    pub operator: String,
    /// Whether the change came into force, and if not, why.
    pub outcome: String,
}

/// Result of an audit of the ledger.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AuditView {
    /// Number of records read.
    pub records: u64,
    /// Number of records that could not be decoded.
    pub skipped: u64,
    /// True when the log no longer holds its oldest records, so that the audit covers only the later ones.
    pub trimmed: bool,
    /// Number of requests billed.
    pub billed: u64,
    /// One line for each request with more than one bill.
    pub repeated: Vec<String>,
    /// One line for each budget with more tokens billed than paid in.
    pub overspent: Vec<String>,
    /// One line for each at-most-once call whose result is unknown.
    pub unknown: Vec<String>,
    /// One line for each top-up, close and release.
    pub notable: Vec<String>,
}

/// Snapshot that the answering instance wrote.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotView {
    /// Stream whose state the snapshot holds.
    pub stream: String,
    /// First offset that the snapshot does not cover.
    pub next: u64,
    /// Number of log records that hold the snapshot.
    pub chunks: u64,
    /// Size of those records, in bytes.
    pub bytes: u64,
}
