//! Bodies of the operators' HTTP interface, shared by the daemon and the command line.

use serde::{Deserialize, Serialize};

/// Order to publish a document into trial.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TrialOrder {
    /// Makes a repeated order count once.
    pub id: String,
    /// Version that must be in force; 0 for a new environment.
    pub expected: u64,
    /// Text of the document.
    pub document: String,
}

/// Order to promote the document in trial.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PromoteOrder {
    /// Makes a repeated order count once.
    pub id: String,
    /// Version that must be in force.
    pub expected: u64,
}

/// Order to top a budget up.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TopUpOrder {
    /// Makes a repeated order count once.
    pub id: String,
    /// Environment.
    pub environment: String,
    /// `trial` or `production`.
    pub stage: coltsfootpick_core::names::Stage,
    /// Client account.
    pub account: String,
    /// Tokens bought.
    pub tokens: u64,
}

/// Order to close a silent incarnation on every shard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CloseOrder {
    /// Instance name.
    pub instance: String,
    /// Run to close, in hexadecimal as `budgets` shows it.
    pub run: String,
}

/// Order to release credit in doubt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReleaseOrder {
    /// Makes a repeated order count once.
    pub id: String,
    /// Environment.
    pub environment: String,
    /// `trial` or `production`.
    pub stage: coltsfootpick_core::names::Stage,
    /// Client account.
    pub account: String,
    /// Closed instance.
    pub instance: String,
    /// Closed run, in hexadecimal.
    pub run: String,
    /// Reason, kept for the audit.
    pub reason: String,
}

/// Answer to an order: what became of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// True when the order is in force.
    pub done: bool,
    /// Sentence that says what happened.
    pub message: String,
}

/// Environment as an instance has it in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EnvironmentView {
    /// Name.
    pub name: String,
    /// Version in force.
    pub version: u64,
    /// Operator of the version.
    pub operator: String,
    /// True once a document is in production.
    pub production: bool,
    /// True when the document in trial is not the one in production.
    pub differs: bool,
}

/// One holder's credit of one budget.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HolderView {
    /// Instance.
    pub instance: String,
    /// Run, in hexadecimal.
    pub run: String,
    /// Tokens neither settled nor returned.
    pub outstanding: u64,
    /// True when the holder is closed.
    pub closed: bool,
}

/// One budget as an instance folded it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BudgetView {
    /// Environment.
    pub environment: String,
    /// Stage.
    pub stage: coltsfootpick_core::names::Stage,
    /// Client account.
    pub account: String,
    /// Everything paid in.
    pub topped: u64,
    /// Not granted.
    pub free: u64,
    /// Billed.
    pub spent: u64,
    /// Held by open incarnations.
    pub granted: u64,
    /// Set aside by open requests of the answering instance.
    pub reserved: u64,
    /// Held by closed incarnations.
    pub doubt: u64,
    /// Billed beyond everything paid in.
    pub overspent: u64,
    /// Credit by holder.
    pub holdings: Vec<HolderView>,
}

/// State of the answering instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusView {
    /// Instance name.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// True once the instance takes no new work.
    pub draining: bool,
    /// Requests under way.
    pub open: u64,
    /// Offsets read, by stream.
    pub streams: Vec<StreamView>,
    /// Environments in force.
    pub environments: Vec<EnvironmentView>,
    /// Backend servers known.
    pub servers: Vec<ServerView>,
}

/// How far one stream was read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StreamView {
    /// Stream name.
    pub stream: String,
    /// First offset not yet read.
    pub next: u64,
}

/// Backend server as the instance knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerView {
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Requests of this instance under way.
    pub open: u32,
    /// True when it takes no new work.
    pub leaving: bool,
}

/// One attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttemptView {
    /// Environment.
    pub environment: String,
    /// Stage.
    pub stage: coltsfootpick_core::names::Stage,
    /// Client account.
    pub account: String,
    /// Caller's key.
    pub key: String,
    /// `claimed`, `answered`, `unknown`, `owner-gone` or `renounced`.
    pub state: String,
    /// Incarnation that owns a claim.
    pub owner: String,
}

/// One change of an environment, in force or not.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeView {
    /// Offset on the log.
    pub offset: u64,
    /// Id of the order.
    pub id: String,
    /// `trial` or `promote`.
    pub kind: String,
    /// Version that the operator expected.
    pub expected: u64,
    /// Operator.
    pub operator: String,
    /// What became of it.
    pub outcome: String,
}

/// Findings of an audit.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AuditView {
    /// Records read.
    pub records: u64,
    /// Records that could not be decoded.
    pub skipped: u64,
    /// True when the log no longer holds the first records.
    pub trimmed: bool,
    /// Requests billed.
    pub billed: u64,
    /// Requests with more than one bill.
    pub repeated: Vec<String>,
    /// Budgets billed beyond what was paid in.
    pub overspent: Vec<String>,
    /// Calls that must not repeat and whose end is not known.
    pub unknown: Vec<String>,
    /// Top-ups, closes and releases.
    pub notable: Vec<String>,
}

/// One snapshot as written.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotView {
    /// Stream whose state it holds.
    pub stream: String,
    /// First offset that it does not cover.
    pub next: u64,
    /// Records that it takes.
    pub chunks: u64,
    /// Bytes of those records.
    pub bytes: u64,
}
