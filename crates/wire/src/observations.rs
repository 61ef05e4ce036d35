//! Encoded record of what an instance observed of backend servers; the store keeps the newest record of each instance.

use coltsfootpick_core::brittle_servers::BrittleReport;
use coltsfootpick_core::part_evidence::{PartCrash, PartReport};
use coltsfootpick_core::server_limits::{LimitReport, ServerRun};
use prost::Message;

/// Newest observations of one instance; they replace the earlier record.
#[derive(Clone, PartialEq, Message)]
pub struct ObservationMessage {
    /// Crashes and complete answers by prompt part.
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<PartReportMessage>,
    /// Limits that servers named.
    #[prost(message, repeated, tag = "2")]
    pub limits: Vec<LimitReportMessage>,
    /// Services whose servers are brittle.
    #[prost(message, repeated, tag = "3")]
    pub brittle: Vec<BrittleReportMessage>,
}

/// Service whose servers say that they are brittle.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BrittleReportMessage {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Rejections in a second that a server bears.
    #[prost(uint32, tag = "2")]
    pub threshold: u32,
    /// Time of day of the answer in milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    pub at: u64,
}

impl From<BrittleReport> for BrittleReportMessage {
    fn from(report: BrittleReport) -> Self {
        let BrittleReport { service, threshold, at } = report;
        Self { service: service.to_string(), threshold, at }
    }
}

impl From<BrittleReportMessage> for BrittleReport {
    fn from(message: BrittleReportMessage) -> Self {
        let BrittleReportMessage { service, threshold, at } = message;
        Self { service: service.into(), threshold, at }
    }
}

/// Limit that a run of a backend server named.
#[derive(Clone, PartialEq, Message)]
pub struct LimitReportMessage {
    /// Name of the backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start time of the run in milliseconds since 1970, if known.
    #[prost(uint64, optional, tag = "2")]
    pub started_at: Option<u64>,
    /// Requests a second; absent once the server names no limit any more.
    #[prost(double, optional, tag = "3")]
    pub limit: Option<f64>,
    /// Time of day of the answer in milliseconds since 1970.
    #[prost(uint64, tag = "4")]
    pub at: u64,
}

impl From<LimitReport> for LimitReportMessage {
    fn from(report: LimitReport) -> Self {
        let LimitReport { run, limit, at } = report;
        Self { server: run.name.to_string(), started_at: run.started_at, limit, at }
    }
}

impl From<LimitReportMessage> for LimitReport {
    fn from(message: LimitReportMessage) -> Self {
        let LimitReportMessage { server, started_at, limit, at } = message;
        let limit = limit.filter(|limit| limit.is_finite() && *limit >= 0.0);
        Self { run: ServerRun { name: server.into(), started_at }, limit, at }
    }
}

/// What an instance reports of one part.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PartReportMessage {
    /// Id of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Crashes while requests with the part were open.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<PartCrashMessage>,
    /// Last complete answers, one for each version of the weights.
    #[prost(message, repeated, tag = "3")]
    pub sound: Vec<SoundAnswerMessage>,
}

/// Loss of a server while a request with the part was open there.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PartCrashMessage {
    /// Time of day in milliseconds since 1970.
    #[prost(uint64, tag = "1")]
    pub at: u64,
    /// Name of the backend server.
    #[prost(string, tag = "2")]
    pub server: String,
    /// Name of the client account.
    #[prost(string, tag = "3")]
    pub account: String,
    /// Version of the weights on the server.
    #[prost(uint64, tag = "4")]
    pub weights: u64,
    /// Whether the request had received events.
    #[prost(bool, tag = "5")]
    pub answered: bool,
}

/// Complete answer to a request with the part.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SoundAnswerMessage {
    /// Version of the weights that gave it.
    #[prost(uint64, tag = "1")]
    pub weights: u64,
    /// Time of day in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub at: u64,
}

impl From<PartCrash> for PartCrashMessage {
    fn from(crash: PartCrash) -> Self {
        let PartCrash { at, server, account, weights, is_answered } = crash;
        Self { at, server: server.to_string(), account: account.to_string(), weights, answered: is_answered }
    }
}

impl From<PartCrashMessage> for PartCrash {
    fn from(message: PartCrashMessage) -> Self {
        let PartCrashMessage { at, server, account, weights, answered } = message;
        Self { at, server: server.into(), account: account.into(), weights, is_answered: answered }
    }
}

impl From<PartReport> for PartReportMessage {
    fn from(report: PartReport) -> Self {
        let sound = report.sound.into_iter().map(|(weights, at)| SoundAnswerMessage { weights, at });
        Self {
            part: report.part,
            crashes: report.crashes.into_iter().map(Into::into).collect(),
            sound: sound.collect(),
        }
    }
}

impl From<PartReportMessage> for PartReport {
    fn from(message: PartReportMessage) -> Self {
        Self {
            part: message.part,
            crashes: message.crashes.into_iter().map(Into::into).collect(),
            sound: message.sound.into_iter().map(|answer| (answer.weights, answer.at)).collect(),
        }
    }
}
