//! What a caller gets: a backend server's answer as it came, or a refusal of our own.

use std::pin::Pin;

use bytes::Bytes;
use coltsfootpick_core::refusal::Refusal;
use derive_more::{Display, Error};
use futures_util::Stream;
use http::response::Parts;

/// The stream ended before it was whole; the caller must see that it did.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream ended before it was whole")]
pub struct StreamAborted;

/// Whole events of a streamed answer, in order.
pub type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, StreamAborted>> + Send>>;

/// Body of an answer.
pub enum ResponseBody {
    /// All of it.
    Whole(Bytes),
    /// Events as they come.
    Events(EventStream),
}

impl std::fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Whole(bytes) => write!(f, "Whole({} bytes)", bytes.len()),
            Self::Events(_) => f.write_str("Events"),
        }
    }
}

/// Outcome of one request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// Answer of a backend server, its status and headers unchanged.
    Relayed(Box<Parts>, ResponseBody),
    /// Refusal.
    Refused(Refusal),
}
