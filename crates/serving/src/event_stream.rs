//! Streamed answers: whole events in order, each once, over as many backend servers as it takes.

use bytes::{Bytes, BytesMut};
use event_ends::end_of_events;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

/// What reading from a server's stream brought.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamRead {
    /// One or more whole events.
    Events(Bytes),
    /// The stream ended as it should.
    End,
    /// The stream broke off.
    Broken(String),
    /// Time ran out.
    Late,
}

/// Cuts a byte stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Takes in bytes and returns the whole events among what is held.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = end_of_events(&self.buffer)?;
        let whole = self.buffer.split_to(end).freeze();
        for event in split_events(&whole) {
            self.events += 1;
            if let Some(id) = event_id(event) {
                self.last = Some(id.to_owned());
            }
        }
        Some(whole)
    }

    /// Whether bytes of an unfinished event are held.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Forgets the bytes of an unfinished event, since another server sends it whole.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Identity of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whole events seen.
    pub const fn events(&self) -> u64 {
        self.events
    }
}

/// Reads from `body` until whole events, the end or a break.
pub async fn read_events(body: &mut Incoming, cutter: &mut EventSplitter, until: Instant) -> StreamRead {
    loop {
        let frame = match tokio::time::timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return StreamRead::Broken(error.to_string()),
            Ok(None) if cutter.has_partial() => {
                return StreamRead::Broken("the stream ended within an event".to_owned());
            }
            Ok(None) => return StreamRead::End,
            Err(_) => return StreamRead::Late,
        };
        let Ok(data) = frame.into_data() else { continue };
        if let Some(events) = cutter.push(&data) {
            return StreamRead::Events(events);
        }
    }
}

/// Events of `bytes`, which ends with one.
fn split_events(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        let end = event_ends::first_end(rest)?;
        let (event, tail) = rest.split_at(end);
        rest = tail;
        Some(event)
    })
}

/// Value of the event's `id` line.
fn event_id(event: &[u8]) -> Option<&str> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(id).ok().map(str::trim)
}

/// Ends of events in a byte stream: an empty line.
mod event_ends {
    const END: &[u8] = b"\n\n";

    /// Offset after the first event.
    pub(super) fn first_end(bytes: &[u8]) -> Option<usize> {
        bytes.windows(END.len()).position(|pair| pair == END).map(|at| at + END.len())
    }

    /// Offset after the last event.
    pub(super) fn end_of_events(bytes: &[u8]) -> Option<usize> {
        bytes.windows(END.len()).rposition(|pair| pair == END).map(|at| at + END.len())
    }
}
