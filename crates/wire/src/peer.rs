//! Messages between instances; after the handshake, [`crate::frame::FrameAuthenticator`] authenticates them.
//!
//! The handshake and every message are described in `docs/PEERS.md#messages`.

use prost::{Message, Oneof};
use sha2::{Digest, Sha256};

use crate::messages::{BudgetKeyMessage, IncarnationMessage};

/// Length of a handshake nonce, in bytes.
pub const NONCE_BYTES: usize = 32;

/// Largest frame accepted before the other end has proved that it knows the key, in bytes.
pub const HELLO_MAX_BYTES: usize = 1_024;

/// Hop count of an instance that cannot reach the log on any path.
pub const HOPS_UNREACHABLE: u32 = 255;

/// First message that each end of a link sends.
///
/// It carries no MAC, but the link id is a hash of both hellos, so a changed hello makes the first frame fail its MAC.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// Instance name of the sender.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Random bytes, drawn for this link.
    #[prost(bytes = "vec", tag = "2")]
    pub nonce: Vec<u8>,
    /// `IP:PORT` where the sender serves callers.
    #[prost(string, tag = "3")]
    pub caller_address: String,
    /// Availability zone of the sender.
    #[prost(string, tag = "4")]
    pub zone: String,
}

/// Returns the id of a link: a hash of both encoded hellos, so that neither end alone determines the id.
pub fn link_id(dialer: &[u8], listener: &[u8]) -> [u8; 32] {
    let mut hash = Sha256::new();
    for hello in [dialer, listener] {
        hash.update((hello.len() as u64).to_le_bytes());
        hash.update(hello);
    }
    hash.finalize().into()
}

/// Authenticated message between instances.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerMessage {
    /// Content; absent when this version does not know its kind.
    #[prost(oneof = "PeerBody", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<PeerBody>,
}

/// Content of a [`PeerMessage`].
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum PeerBody {
    /// First authenticated message of each end; proves that the sender knows the key.
    #[prost(message, tag = "1")]
    Ready(Ready),
    /// Heartbeat with the state of the sender.
    #[prost(message, tag = "2")]
    Heartbeat(PeerHeartbeat),
    /// Request to read or append to the log on behalf of the sender.
    #[prost(message, tag = "3")]
    LogRequest(LogRequest),
    /// Response to a log request.
    #[prost(message, tag = "4")]
    LogResponse(LogResponse),
    /// Facts that receivers pass on to their other peers.
    #[prost(message, tag = "5")]
    Gossip(GossipMessage),
    /// Reports of requests suspected of crashing backend servers.
    #[prost(message, tag = "6")]
    SuspectReports(SuspectReportsMessage),
}

/// Empty message whose MAC proves that the sender knows the key.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Ready {}

/// Heartbeat with the state of the sender.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerHeartbeat {
    /// Highest heartbeat counters that the sender knows; one message carries only some of them.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberHeartbeatMessage>,
    /// Number of links between the sender and the log: 0 when the sender reaches the log directly,
    /// [`HOPS_UNREACHABLE`] when no path exists.
    #[prost(uint32, tag = "2")]
    pub hops: u32,
    /// Credit that the sender can still spend; sent only while it cannot reach the log on any path.
    #[prost(message, repeated, tag = "3")]
    pub credit: Vec<BudgetCreditMessage>,
    /// True once the sender accepts no new requests.
    #[prost(bool, tag = "4")]
    pub draining: bool,
}

/// Highest heartbeat counter known of one incarnation.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberHeartbeatMessage {
    /// Incarnation that sends the heartbeats.
    #[prost(message, optional, tag = "1")]
    pub member: Option<IncarnationMessage>,
    /// Heartbeat counter of the incarnation; it only grows.
    #[prost(uint64, tag = "2")]
    pub counter: u64,
}

/// Credit that the sender holds of one budget.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BudgetCreditMessage {
    /// Key of the budget.
    #[prost(message, optional, tag = "1")]
    pub key: Option<BudgetKeyMessage>,
    /// Tokens that the sender can still reserve for requests.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Facts that receivers pass on to their other peers.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GossipMessage {
    /// Facts that the sender passes on.
    #[prost(message, repeated, tag = "1")]
    pub facts: Vec<GossipFactMessage>,
}

/// One fact and its age.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GossipFactMessage {
    /// Time since the fact was first seen, in ms.
    #[prost(uint64, tag = "1")]
    pub age: u64,
    /// The fact; absent when this version does not know its kind.
    #[prost(oneof = "GossipFactKind", tags = "2")]
    pub fact: Option<GossipFactKind>,
}

/// Content of a [`GossipFactMessage`].
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum GossipFactKind {
    /// A backend server is leaving.
    #[prost(message, tag = "2")]
    Leaving(LeavingServerMessage),
}

/// Backend server that is leaving.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeavingServerMessage {
    /// Service that the server runs.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Name of the backend server.
    #[prost(string, tag = "2")]
    pub server: String,
}

/// Reports of requests suspected of crashing backend servers.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectReportsMessage {
    /// One report for each suspected request.
    #[prost(message, repeated, tag = "1")]
    pub reports: Vec<SuspectReportMessage>,
}

/// Report of one request suspected of crashing backend servers.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectReportMessage {
    /// Fingerprint of the request.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Losses of backend servers while the request ran on them.
    #[prost(message, repeated, tag = "2")]
    pub losses: Vec<ServerLossMessage>,
    /// Losses that no longer count against the request, since it completed later.
    #[prost(message, repeated, tag = "3")]
    pub excused: Vec<ServerLossMessage>,
    /// Time until the suspicion ends, in ms.
    #[prost(uint64, tag = "4")]
    pub remaining: u64,
}

/// Loss of a backend server while the request ran on it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServerLossMessage {
    /// Name of the backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Random number that tells two losses of one server apart.
    #[prost(fixed64, tag = "2")]
    pub number: u64,
}

/// Request to read or append to the log on behalf of the sender.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LogRequest {
    /// Id of the request, unique among the sender's requests on the link; the response has the same id.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Names of the instances that relayed the request; they prevent loops.
    #[prost(string, repeated, tag = "2")]
    pub through: Vec<String>,
    /// Name of the stream.
    #[prost(string, tag = "3")]
    pub stream: String,
    /// The operation; absent when this version does not know its kind.
    #[prost(oneof = "LogOperation", tags = "4, 5")]
    pub operation: Option<LogOperation>,
}

/// Operation on a stream of the log.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum LogOperation {
    /// Reads records from an offset on.
    #[prost(message, tag = "4")]
    Read(LogRead),
    /// Appends one encoded record.
    #[prost(bytes = "vec", tag = "5")]
    Append(Vec<u8>),
}

/// Parameters of a read.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LogRead {
    /// First offset to read.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Longest wait for the first record, in ms.
    #[prost(uint64, tag = "2")]
    pub wait: u64,
}

/// Response to a log request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LogResponse {
    /// Id of the request that the response belongs to.
    #[prost(uint64, tag = "1")]
    pub request_id: u64,
    /// Result of the operation; absent when this version does not know its kind.
    #[prost(oneof = "LogReply", tags = "2, 3, 4, 5, 6")]
    pub reply: Option<LogReply>,
}

/// Result of an operation on the log.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum LogReply {
    /// Records read.
    #[prost(message, tag = "2")]
    Records(RelayedRecords),
    /// Offset of the record appended.
    #[prost(uint64, tag = "3")]
    Appended(u64),
    /// The operation had no effect; holds the cause.
    #[prost(string, tag = "4")]
    Unavailable(String),
    /// The append may have taken effect; holds the cause.
    #[prost(string, tag = "5")]
    Unknown(String),
    /// The log no longer has the records from the requested offset on; holds the oldest offset that it keeps.
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

/// One record, encoded as in the log.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RelayedRecord {
    /// Offset in its stream.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Encoded record.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: bytes::Bytes,
}
