//! Splits the byte stream of a server-sent-events response into complete events.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use event_ends::last_end;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

/// Result of reading from a server's stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamRead {
    /// One or more complete events.
    Events(Bytes),
    /// The stream ended after a complete event.
    End,
    /// The stream broke off, with the reason.
    Broken(String),
    /// The stream exceeded a size limit, with the reason.
    Oversized(String),
    /// The deadline passed before the next event was complete.
    DeadlinePassed,
}

/// Maximum length of one event.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// Error for an event that is longer than `EVENT_MAX_BYTES`.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("an event exceeds {EVENT_MAX_BYTES} bytes")]
pub struct EventTooLong;

/// Buffers a byte stream and splits it into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the part of `buffer` that contains no end of an event.
    searched: usize,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Appends `bytes` and returns all events that are now complete, if any.
    ///
    /// # Errors
    ///
    /// Fails if the incomplete event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = last_end(&self.buffer, self.searched) else {
            self.searched = self.buffer.len();
            return if self.searched > EVENT_MAX_BYTES { Err(EventTooLong) } else { Ok(None) };
        };
        let events = self.buffer.split_to(end).freeze();
        self.searched = self.buffer.len();
        for event in split_events(&events) {
            self.events += 1;
            if let Some(id) = event_id(event) {
                self.last_id = Some(id.to_owned());
            }
        }
        Ok(Some(events))
    }

    /// Whether the buffer holds part of an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards an incomplete event; the server that resumes the stream sends it again from its start.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events so far.
    pub const fn events(&self) -> u64 {
        self.events
    }
}

/// Reads from `body` until there are complete events, the stream ends or breaks off, or the deadline passes.
pub async fn read_events(body: &mut Incoming, splitter: &mut EventSplitter, deadline: Instant) -> StreamRead {
    loop {
        let frame = match tokio::time::timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return StreamRead::Broken(error.to_string()),
            Ok(None) if splitter.has_partial() => {
                return StreamRead::Broken("the stream ended within an event".to_owned());
            }
            Ok(None) => return StreamRead::End,
            Err(_) => return StreamRead::DeadlinePassed,
        };
        let Ok(data) = frame.into_data() else { continue };
        match splitter.push(&data) {
            Ok(Some(events)) => return StreamRead::Events(events),
            Ok(None) => {}
            Err(error) => return StreamRead::Oversized(error.to_string()),
        }
    }
}

/// Iterates over the events of `bytes`, which must end with a complete one.
fn split_events(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let end = event_ends::first_end(rest)?;
        let (event, tail) = rest.split_at(end);
        rest = tail;
        Some(event)
    })
}

/// Value of the last `id` field of an event.
fn event_id(event: &[u8]) -> Option<&str> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(id).ok().map(str::trim)
}

/// Finds the empty lines that end events in a byte stream.
mod event_ends {
    const END: &[u8] = b"\n\n";

    /// Offset just after the first complete event.
    pub(super) fn first_end(bytes: &[u8]) -> Option<usize> {
        bytes.windows(END.len()).position(|pair| pair == END).map(|at| at + END.len())
    }

    /// Offset just after the last complete event; the first `searched` bytes are known to contain no end.
    pub(super) fn last_end(bytes: &[u8], searched: usize) -> Option<usize> {
        // The end may lie across the border between searched and new bytes.
        let start = searched.saturating_sub(END.len() - 1);
        let at = bytes[start..].windows(END.len()).rposition(|pair| pair == END)?;
        Some(start + at + END.len())
    }
}
