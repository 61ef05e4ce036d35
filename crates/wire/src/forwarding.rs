//! Frames with which an instance that has lost its path to the backend servers forwards a request to another instance.
//!
//! A connection carries one request at a time. See `docs/FORWARDING.md`.

use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::refusal::{Code, Refusal, RunStatus};
use http::{HeaderMap, HeaderName, HeaderValue};
use prost::{Message, Oneof};

/// Maximum length of a frame in bytes; heads must fit into one.
pub const FRAME_MAX_BYTES: usize = 512 << 10;

/// Maximum number of bytes of a body in one frame.
pub const BODY_PIECE_BYTES: usize = 32 << 10;

/// Frame from the forwarding instance.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardFrame {
    /// Content; a frame without a known one ends the connection.
    #[prost(oneof = "ForwardKind", tags = "1, 2, 3")]
    pub kind: Option<ForwardKind>,
}

/// Content of a [`ForwardFrame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum ForwardKind {
    /// Asks whether the receiver takes requests.
    #[prost(message, tag = "1")]
    Inquiry(InquiryMessage),
    /// Begins a request; its body follows.
    #[prost(message, tag = "2")]
    Request(ForwardedRequestMessage),
    /// Piece of the request's body.
    #[prost(bytes = "bytes", tag = "3")]
    Body(Bytes),
}

/// Question whether the receiver takes requests.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct InquiryMessage {}

/// Head of a forwarded request, as its caller sent it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ForwardedRequestMessage {
    /// Name of the forwarding instance, for the log.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Method of the request.
    #[prost(string, tag = "2")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "3")]
    pub target: String,
    /// Headers in order, with the caller's key.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<HeaderMessage>,
    /// Length of the body in bytes.
    #[prost(uint64, tag = "5")]
    pub body_length: u64,
    /// Runs that the request may have had already.
    #[prost(uint32, tag = "6")]
    pub dispatches: u32,
    /// Version of the document at the forwarding instance; the receiver needs the same or a newer one.
    #[prost(uint64, tag = "7")]
    pub document_version: u64,
}

/// Header field.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeaderMessage {
    /// Name of the field.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value of the field.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// Frame to the forwarding instance.
#[derive(Clone, PartialEq, Message)]
pub struct AnswerFrame {
    /// Content; a frame without a known one ends the connection.
    #[prost(oneof = "AnswerKind", tags = "1, 2, 3, 4, 5")]
    pub kind: Option<AnswerKind>,
}

/// Content of an [`AnswerFrame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum AnswerKind {
    /// Answers an inquiry.
    #[prost(message, tag = "1")]
    State(PeerStateMessage),
    /// Head of the server's response; its body follows, then the end.
    #[prost(message, tag = "2")]
    Head(ResponseHeadMessage),
    /// Piece of the response's body.
    #[prost(bytes = "bytes", tag = "3")]
    Body(Bytes),
    /// The response is whole. Without this frame it is not, whatever it looks like.
    #[prost(message, tag = "4")]
    End(EndMessage),
    /// The request was refused.
    #[prost(message, tag = "5")]
    Refused(RefusalMessage),
}

/// Whether an instance takes requests of others.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PeerStateMessage {
    /// Whether it takes any.
    #[prost(bool, tag = "1")]
    pub accepts: bool,
    /// Services to whose servers it has no path.
    #[prost(string, repeated, tag = "2")]
    pub lost_services: Vec<String>,
    /// Version of its document.
    #[prost(uint64, tag = "3")]
    pub document_version: u64,
    /// Requests open at it.
    #[prost(uint64, tag = "4")]
    pub open: u64,
    /// Its region, if it enforces home regions; instances of earlier software ignore them and state none.
    #[prost(string, optional, tag = "5")]
    pub home_region: Option<String>,
}

/// Head of a server's response.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ResponseHeadMessage {
    /// Status of the response.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers in order.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<HeaderMessage>,
    /// Whether the body is a stream of events.
    #[prost(bool, tag = "3")]
    pub streams: bool,
    /// Version of the document by which the request was handled.
    #[prost(uint64, tag = "4")]
    pub document_version: u64,
}

/// End of a response.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EndMessage {}

/// Refusal of a forwarded request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RefusalMessage {
    /// Stable code.
    #[prost(string, tag = "1")]
    pub code: String,
    /// Whether the request is proved not to have run.
    #[prost(bool, tag = "2")]
    pub not_run: bool,
    /// Milliseconds after which the caller can come back.
    #[prost(uint64, optional, tag = "3")]
    pub retry_after_ms: Option<u64>,
    /// Explanation.
    #[prost(string, tag = "4")]
    pub detail: String,
    /// Whether another instance may take the request, since this one could not.
    #[prost(bool, tag = "5")]
    pub elsewhere: bool,
}

impl From<&Refusal> for RefusalMessage {
    fn from(refusal: &Refusal) -> Self {
        Self {
            code: refusal.code.to_string(),
            not_run: refusal.run == RunStatus::NotRun,
            retry_after_ms: refusal.retry_after.map(|span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX)),
            detail: refusal.detail.clone(),
            elsewhere: false,
        }
    }
}

impl From<RefusalMessage> for Refusal {
    /// Reads a refusal; an unknown code, of a newer instance, becomes the one that tells least.
    fn from(message: RefusalMessage) -> Self {
        let (run, unknown) = match message.not_run {
            true => (RunStatus::NotRun, Code::NoBackendServer),
            false => (RunStatus::MayHaveRun, Code::BackendFailed),
        };
        Self {
            code: Code::parse(&message.code).unwrap_or(unknown),
            run,
            retry_after: message.retry_after_ms.map(Duration::from_millis),
            detail: message.detail,
        }
    }
}

/// Encodes header fields in order.
pub fn encode_headers(headers: &HeaderMap) -> Vec<HeaderMessage> {
    let field = |(name, value): (&HeaderName, &HeaderValue)| HeaderMessage {
        name: name.to_string(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(field).collect()
}

/// Decodes header fields; `None` if one is not valid in HTTP.
pub fn decode_headers(fields: Vec<HeaderMessage>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for HeaderMessage { name, value } in fields {
        headers.append(HeaderName::try_from(name).ok()?, HeaderValue::from_maybe_shared(value).ok()?);
    }
    Some(headers)
}
