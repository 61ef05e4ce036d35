//! Borders of the request path, which an adapter or a test implements.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::routes::RouteTable;
use coltsfootpick_core::units::Offset;
use derive_more::{Display, Error};
use futures_util::future::BoxFuture;
use http::Request;
use http::response::Parts;
use http_body_util::Full;

use crate::request::CallerRequest;
use crate::servers::ServerEntry;

/// Streams of records of which the store keeps the newest of each key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "lowercase")]
pub enum Topic {
    /// Documents of the operators.
    Documents,
    /// List of backend servers.
    Servers,
    /// Ceilings of the instances.
    Credit,
    /// Where instances listen for each other.
    Instances,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key.
    pub key: Arc<str>,
    /// Value, or none when the key was dropped.
    pub value: Option<Bytes>,
}

/// One page of the newest records.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// Records by key.
    pub records: Vec<KeyedRecord>,
    /// Whether keys after the last one follow.
    pub has_more: bool,
    /// End of the stream when the page was made.
    pub end: Offset,
}

/// Records read in order.
#[derive(Clone, Debug, Default)]
pub struct RecordBatch {
    /// Records.
    pub records: Vec<KeyedRecord>,
    /// Offset after the last of them.
    pub next: Offset,
}

/// Why the store gave no result.
#[derive(Clone, derive_more::Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing took effect.
    #[display("unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// A write may have taken effect, or may still.
    #[display("no answer: {_0}")]
    Unknown(#[error(not(source))] String),
    /// The records asked for were dropped.
    #[display("records were dropped")]
    Trimmed,
    /// A write came out of its turn and took no effect.
    #[display("out of turn: {_0}")]
    #[debug("OutOfTurn({_0:?})")]
    OutOfSequence(#[error(not(source))] String),
}

/// Place of a write among all writes of one writer to a topic.
///
/// Each takes effect at most once and in order, so one whose end is unknown is sent again in the same turn, and can no
/// longer take effect once a later one did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteSequence {
    /// Name that no other writer uses.
    pub writer: Arc<str>,
    /// Sequence of turns; a higher one ends those below.
    pub epoch: u64,
    /// Number within the epoch, from 0 without gaps.
    pub number: u64,
}

/// Store of keyed records.
pub trait KeyedLog: Send + Sync + Debug {
    /// Reads one page of the newest records, of the keys after `after`.
    fn newest(&self, topic: Topic, after: Option<Arc<str>>) -> BoxFuture<'_, Result<NewestPage, StoreError>>;

    /// Reads records from `from` on, waiting up to `wait` for the first.
    fn read(&self, topic: Topic, from: Offset, wait: Duration) -> BoxFuture<'_, Result<RecordBatch, StoreError>>;

    /// Appends all records or none, in its turn if it has one, and returns the stream's end after them.
    fn append(
        &self,
        topic: Topic,
        sequence: Option<WriteSequence>,
        records: Vec<KeyedRecord>,
    ) -> BoxFuture<'_, Result<Offset, StoreError>>;
}

/// Why a record cannot be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason}")]
pub struct DecodeError {
    /// What is wrong with it.
    pub reason: String,
}

/// Meaning of the records that others write.
pub trait RecordDecoder: Send + Sync + Debug {
    /// Decodes a document; `None` when the record is not one.
    fn document(&self, record: &KeyedRecord) -> Result<Option<RouteTable>, DecodeError>;

    /// Decodes an entry of the server list.
    fn server(&self, record: &KeyedRecord) -> Result<ServerEntry, DecodeError>;
}

/// What goes to a backend server beside the caller's own request.
#[derive(Clone, Debug)]
pub struct DispatchContext<'a> {
    /// Server that must be the one to run it.
    pub server: &'a ServerEntry,
    /// Account that pays.
    pub account: Option<&'a ClientAccountName>,
    /// Time left.
    pub remaining: Duration,
    /// Rank, 0 before all others.
    pub rank: u8,
    /// Last event that the caller has, when a stream goes on.
    pub last_event: Option<&'a str>,
}

/// Meaning of the head of a backend server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// Answer to this request, to be handed on.
    Answer,
    /// The server did not run the request and never will.
    NotRun,
    /// Another server has the address; the request did not run.
    OtherServer,
    /// Answer that must not be handed on; the request may have run.
    Unusable(&'static str),
}

/// Language of the backend servers.
pub trait BackendProtocol: Send + Sync + Debug {
    /// Request for a backend server.
    fn encode(&self, request: &CallerRequest, context: &DispatchContext<'_>) -> Request<Full<Bytes>>;

    /// Meaning of the head of an answer to `request`.
    fn classify_head(&self, request: &CallerRequest, head: &Parts) -> ResponseKind;

    /// Time for which the server keeps an idle connection, if the answer tells.
    fn idle_time(&self, head: &Parts) -> Option<Duration>;
}
