//! Encoded record of the streams that one run of an instance began, by the software version of their servers.

use coltsfootpick_core::stream_origins::{OriginReport, StreamKey, StreamOrigin};
use prost::Message;

/// Newest record of one run; it replaces the earlier one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamRecordMessage {
    /// Time of day in milliseconds since 1970.
    #[prost(uint64, tag = "1")]
    pub at: u64,
    /// Streams by service and software version, of services with several versions.
    #[prost(message, repeated, tag = "2")]
    pub reports: Vec<OriginReportMessage>,
}

/// Streams that servers of one software version began.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OriginReportMessage {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Version of the software, an opaque text.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Keys of the streams.
    #[prost(fixed64, repeated, tag = "3")]
    pub streams: Vec<u64>,
}

impl From<OriginReport> for OriginReportMessage {
    fn from(report: OriginReport) -> Self {
        let StreamOrigin { service, version } = report.origin;
        let streams = report.streams.into_iter().map(|StreamKey(key)| key).collect();
        Self { service: service.to_string(), version: version.to_string(), streams }
    }
}

impl From<OriginReportMessage> for OriginReport {
    fn from(message: OriginReportMessage) -> Self {
        let origin = StreamOrigin { service: message.service.into(), version: message.version.into() };
        Self { origin, streams: message.streams.into_iter().map(StreamKey).collect() }
    }
}
