//! Outcome of a request: the unchanged response of a backend server, or a refusal by this instance.

use std::pin::Pin;

use bytes::Bytes;
use coltsfootpick_core::refusal::Refusal;
use derive_more::{Display, Error};
use futures_util::Stream;
use http::response::Parts;

/// Error of a relayed stream that broke off; it must end the caller's response as incomplete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream ended before it was whole")]
pub struct StreamAborted;

/// Complete events of a streamed response, in order.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, StreamAborted>> + Send>>;

/// Body of a relayed response.
pub enum ResponseBody {
    /// Buffered body.
    Buffered(Bytes),
    /// Events as they arrive.
    Events(EventStream),
}

impl std::fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Buffered(bytes) => write!(f, "Buffered({} bytes)", bytes.len()),
            Self::Events(_) => f.write_str("Events"),
        }
    }
}

/// Outcome of a request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// Response of a backend server with its status and headers unchanged.
    Relayed(Box<Parts>, ResponseBody),
    /// Refusal by this instance.
    Refused(Refusal),
}
