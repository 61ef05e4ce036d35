//! Messages between instances, sealed by [`crate::frame::FrameAuthenticator`] after the handshake.
//!
//! The handshake and every message are described in `docs/PEERS.md#messages`.

use prost::{Message, Oneof};
use sha2::{Digest, Sha256};

use crate::messages::{BudgetKey, Incarnation};

/// Length of a handshake nonce, in bytes.
pub const NONCE_BYTES: usize = 32;

/// Largest frame before the other end has proved that it knows the key, in bytes.
pub const HELLO_MAX_BYTES: usize = 1_024;

/// Distance of an instance that reaches the log over no path.
pub const HOPS_UNREACHABLE: u32 = 255;

/// First message of each end, not sealed; the link id covers it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Fresh random bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
    /// Address where the sender serves callers.
    #[prost(string, tag = "3")]
    pub callers: String,
    /// Availability zone of the sender.
    #[prost(string, tag = "4")]
    pub zone: String,
}

/// Id of the link that two hellos open: a hash of both, so that neither end alone decides it.
pub fn link_id(dialer: &[u8], listener: &[u8]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for hello in [dialer, listener] {
        hash.update((hello.len() as u64).to_le_bytes());
        hash.update(hello);
    }
    hash.finalize().into()
}

/// Sealed message.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerMessage {
    /// Content.
    #[prost(oneof = "PeerBody", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<PeerBody>,
}

/// Content of a sealed message.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum PeerBody {
    /// First sealed message of each end: proves that it knows the key.
    #[prost(message, tag = "1")]
    Ready(Ready),
    /// Sign of life with news.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Request to use the log on behalf of the sender.
    #[prost(message, tag = "3")]
    LogRequest(LogRequest),
    /// Answer to a question.
    #[prost(message, tag = "4")]
    LogResponse(LogResponse),
    /// Facts to spread at once.
    #[prost(message, tag = "5")]
    Gossip(GossipMessage),
    /// Requests suspected of crashing backend servers.
    #[prost(message, tag = "6")]
    SuspectReports(SuspectReportsMessage),
}

/// Proof of the key.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Ready {}

/// Sign of life.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Heartbeat {
    /// Highest beats that the sender has heard.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberHeartbeatMessage>,
    /// Links between the sender and the log: 0 when it reaches the log itself, [`HOPS_UNREACHABLE`] when not at all.
    #[prost(uint32, tag = "2")]
    pub hops: u32,
    /// Credit that the sender could spend; only while it reaches the log over no path.
    #[prost(message, repeated, tag = "3")]
    pub credit: Vec<BudgetCreditMessage>,
    /// True once the sender takes no new work.
    #[prost(bool, tag = "4")]
    pub draining: bool,
}

/// Highest beat heard of one incarnation.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberHeartbeatMessage {
    /// Incarnation.
    #[prost(message, optional, tag = "1")]
    pub member: Option<Incarnation>,
    /// Beat.
    #[prost(uint64, tag = "2")]
    pub heartbeat: u64,
}

/// Credit of one budget.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BudgetCreditMessage {
    /// Budget.
    #[prost(message, optional, tag = "1")]
    pub key: Option<BudgetKey>,
    /// Tokens that may be reserved.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Facts to spread.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GossipMessage {
    /// Facts.
    #[prost(message, repeated, tag = "1")]
    pub facts: Vec<GossipFactMessage>,
}

/// One fact.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GossipFactMessage {
    /// Time since it was first seen, in ms.
    #[prost(uint64, tag = "1")]
    pub age: u64,
    /// The fact.
    #[prost(oneof = "GossipFactKind", tags = "2")]
    pub fact: Option<GossipFactKind>,
}

/// Kinds of fact.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum GossipFactKind {
    /// A backend server is leaving.
    #[prost(message, tag = "2")]
    Leaving(LeavingServerMessage),
}

/// Backend server that is leaving.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeavingServerMessage {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Name.
    #[prost(string, tag = "2")]
    pub server: String,
}

/// Requests suspected of crashing backend servers.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectReportsMessage {
    /// Suspects.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<SuspectReportMessage>,
}

/// One suspected request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectReportMessage {
    /// Fingerprint.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Losses while it ran.
    #[prost(message, repeated, tag = "2")]
    pub losses: Vec<ServerLossMessage>,
    /// Losses that it is excused for.
    #[prost(message, repeated, tag = "3")]
    pub excused: Vec<ServerLossMessage>,
    /// Time left until the suspicion ends, in ms.
    #[prost(uint64, tag = "4")]
    pub remaining: u64,
}

/// Loss of one backend server.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServerLossMessage {
    /// Server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Number that keeps two losses of one server apart.
    #[prost(fixed64, tag = "2")]
    pub number: u64,
}

/// Request to read or append to the log on behalf of the sender.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LogRequest {
    /// Number, repeated by the answer.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Instances that the question came through, so that it cannot circle.
    #[prost(string, repeated, tag = "2")]
    pub through: Vec<String>,
    /// Stream asked about.
    #[prost(string, tag = "3")]
    pub stream: String,
    /// What is asked.
    #[prost(oneof = "LogOperation", tags = "4, 5")]
    pub operation: Option<LogOperation>,
}

/// Kinds of question.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum LogOperation {
    /// Read the stream.
    #[prost(message, tag = "4")]
    Read(LogRead),
    /// Append this record.
    #[prost(bytes = "vec", tag = "5")]
    Append(Vec<u8>),
}

/// Read of a stream.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LogRead {
    /// First offset wanted.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Longest wait for the first record, in ms.
    #[prost(uint64, tag = "2")]
    pub wait: u64,
}

/// Answer to a question.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LogResponse {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// What became of it.
    #[prost(oneof = "LogReply", tags = "2, 3, 4, 5, 6")]
    pub reply: Option<LogReply>,
}

/// Kinds of answer.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum LogReply {
    /// Records read.
    #[prost(message, tag = "2")]
    Records(RelayedRecords),
    /// Offset of the record appended.
    #[prost(uint64, tag = "3")]
    Appended(u64),
    /// Nothing took effect.
    #[prost(string, tag = "4")]
    Unavailable(String),
    /// The append may have taken effect.
    #[prost(string, tag = "5")]
    Unknown(String),
    /// The records were dropped; the oldest kept has this offset.
    #[prost(uint64, tag = "6")]
    Trimmed(u64),
}

/// Records read.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayedRecords {
    /// Records in offset order.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<RelayedRecord>,
}

/// One record as the log keeps it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayedRecord {
    /// Offset in its stream.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Encoded record.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: bytes::Bytes,
}
