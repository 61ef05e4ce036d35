//! Interfaces to the store and to the backend servers, implemented by the platform adapter and by test doubles.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::names::{AvailabilityZoneName, ClientAccountName};
use coltsfootpick_core::refusal::Refusal;
use coltsfootpick_core::routes::RouteTable;
use coltsfootpick_core::units::LogPosition;
use derive_more::{Display, Error};
use futures_util::future::BoxFuture;
use http::response::Parts;
use http::{HeaderMap, Request};
use http_body_util::Full;
use tokio::time::Instant;

use crate::request::CallerRequest;
use crate::servers::ServerEntry;

/// Compacted topics of the store; it keeps at least the newest record of each key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "lowercase")]
pub enum Topic {
    /// Configuration documents that operators write.
    Documents,
    /// Entries of backend servers.
    Servers,
    /// Credit ceilings of the instances.
    Credit,
    /// Peer addresses of the instances.
    Instances,
    /// What each instance observed of backend servers and the requests that ran there.
    Observations,
    /// Streams that each run of an instance began, by the software version of their servers.
    Streams,
}

/// Record of a topic: a key with a value, or the deletion of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: Arc<str>,
    /// Value, or `None` if the record deletes its key.
    pub value: Option<Bytes>,
}

/// One page of the newest records of a topic.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// Newest record of each key, ordered by key.
    pub records: Vec<KeyedRecord>,
    /// Whether further keys follow the last one.
    pub has_more: bool,
    /// End of the topic when the page was read.
    pub end: LogPosition,
}

/// Consecutive records of a topic.
#[derive(Clone, Debug, Default)]
pub struct RecordBatch {
    /// Records in the order of their offsets.
    pub records: Vec<KeyedRecord>,
    /// Position after the last record.
    pub next: LogPosition,
    /// End of the topic when the records were read.
    pub end: LogPosition,
}

/// Error of a call to the store.
#[derive(Clone, derive_more::Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The call failed and a write took no effect.
    #[display("unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The outcome is unknown: a write may have taken effect, or may still do so.
    #[display("no answer: {_0}")]
    Unknown(#[error(not(source))] String),
    /// The requested offset is no longer kept by the store.
    #[display("records were dropped")]
    Trimmed,
    /// The store came back from an older copy, in which the requested position means nothing.
    #[display("the store came back from an older copy")]
    Restored,
    /// The sequence of a write was not the next one; it took no effect.
    #[display("out of turn: {_0}")]
    #[debug("OutOfTurn({_0:?})")]
    OutOfSequence(#[error(not(source))] String),
}

/// Position of a write in the sequence of one writer's writes to a topic, as of an idempotent producer.
///
/// Writes take effect at most once and in order. A write whose outcome is unknown is therefore sent again under the
/// same sequence, and can no longer take effect once a later one did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteSequence {
    /// Unique name of the writer.
    pub writer: Arc<str>,
    /// Epoch of the writer; a higher epoch fences lower ones.
    pub epoch: u64,
    /// Number of the write within the epoch, counted from 0 without gaps.
    pub number: u64,
}

/// Store of compacted topics with keyed records.
pub trait KeyedLog: Send + Sync + Debug {
    /// Reads one page of newest records, one per key in key order, starting after the key `after` if given.
    fn newest_page(&self, topic: Topic, after: Option<Arc<str>>) -> BoxFuture<'_, Result<NewestPage, StoreError>>;

    /// Reads records from position `from` on; if there are none, waits up to `wait` for the first.
    fn read(&self, topic: Topic, from: LogPosition, wait: Duration) -> BoxFuture<'_, Result<RecordBatch, StoreError>>;

    /// Appends all records or none, under `sequence` if given, and returns the end after them.
    fn append(
        &self,
        topic: Topic,
        sequence: Option<WriteSequence>,
        records: Vec<KeyedRecord>,
    ) -> BoxFuture<'_, Result<LogPosition, StoreError>>;
}

/// Reason why a record could not be decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason}")]
pub struct DecodeError {
    /// Description of the fault.
    pub reason: String,
}

/// What a record of the operators tells.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// Document to put in force.
    Document(Box<RouteTable>),
    /// Request that nothing more be sent to the servers of an availability zone, or its end.
    Evacuation {
        /// Name of the zone.
        zone: AvailabilityZoneName,
        /// Whether the zone is evacuated.
        is_in_force: bool,
    },
    /// Neither.
    Other,
}

/// Decodes the records that operators and backend servers write.
pub trait RecordDecoder: Send + Sync + Debug {
    /// Decodes a document; `None` if the record is not a document.
    ///
    /// # Errors
    ///
    /// Fails if the document is malformed.
    fn document(&self, record: &KeyedRecord) -> Result<Option<RouteTable>, DecodeError>;

    /// Decodes a record of the operators.
    ///
    /// # Errors
    ///
    /// Fails if the record is a malformed document.
    fn operator_record(&self, record: &KeyedRecord) -> Result<OperatorRecord, DecodeError> {
        let table = self.document(record)?;
        Ok(table.map_or(OperatorRecord::Other, |table| OperatorRecord::Document(Box::new(table))))
    }

    /// Decodes the entry of a backend server.
    ///
    /// # Errors
    ///
    /// Fails if the entry is malformed.
    fn server(&self, record: &KeyedRecord) -> Result<ServerEntry, DecodeError>;
}

/// Values that a dispatch adds to the caller's request.
#[derive(Clone, Debug)]
pub struct DispatchContext<'a> {
    /// The only server that may run the request.
    pub server: &'a ServerEntry,
    /// Client account that pays, if any.
    pub account: Option<&'a ClientAccountName>,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Priority rank, 0 first.
    pub rank: u8,
    /// Id of the last event that the caller received, if the stream is resumed.
    pub last_event: Option<&'a str>,
}

/// Classification of a backend server's response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response answers this request and is relayed to the caller.
    Answer,
    /// The server did not run the request and never will.
    NotRun,
    /// The address belongs to another server; the request did not run.
    OtherServer,
    /// The response must not be relayed, for the given reason; the request may have run.
    Unusable(&'static str),
}

/// What the head of a response tells about its server, whatever becomes of the request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerNotice {
    /// Whether the server is leaving and takes no new work.
    pub is_leaving: bool,
    /// Time for which the server wants no request from this instance.
    pub pause: Option<Duration>,
    /// Value of a pause that could not be read.
    pub invalid_pause: Option<String>,
    /// Requests a second that the server takes from all instances together; `None` if it names no limit.
    pub limit: Option<f64>,
    /// Rejections in a second that the server bears; more make it fall over.
    pub brittle: Option<u32>,
    /// Value of such a number that could not be read; the one known before stays.
    pub invalid_brittle: Option<String>,
    /// Value of a limit that could not be read; the limit known before stays.
    pub invalid_limit: Option<String>,
    /// Time for which the server stays cold from now on, if it states one.
    pub cold: Option<Duration>,
}

/// Protocol spoken with callers, as far as requests are forwarded between instances in it.
pub trait CallerProtocol: Send + Sync + Debug {
    /// Headers of a request as its caller sent them, with the caller's key, and with `remaining` as the time left.
    fn encode_headers(&self, request: &CallerRequest, remaining: Duration) -> HeaderMap;

    /// Decodes a request whose body was read, and removes what callers may not set.
    ///
    /// # Errors
    ///
    /// Refuses a malformed request.
    fn decode(&self, head: http::request::Parts, body: Bytes, arrived: Instant) -> Result<CallerRequest, Refusal>;
}

/// Protocol spoken with the backend servers.
pub trait BackendProtocol: Send + Sync + Debug {
    /// Encodes a caller's request for a backend server.
    fn encode(&self, request: &CallerRequest, context: &DispatchContext<'_>) -> Request<Full<Bytes>>;

    /// Classifies the head of a response to `request`.
    ///
    /// On a `reused` connection the server may have written a refusal of an earlier request once more, so there a claim that
    /// the request did not run counts only if it names the request.
    fn classify_head(&self, request: &CallerRequest, head: &Parts, reused: bool) -> ResponseKind;

    /// Reads what the head of a response tells about its server.
    fn notice(&self, head: &Parts) -> ServerNotice;

    /// Time for which the server keeps an idle connection open, if the response states it.
    fn idle_time(&self, head: &Parts) -> Option<Duration>;
}
