//! Incremental parser and encoder for server-sent events.

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

/// Largest event, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Number from the `id` field, if present.
    pub number: Option<u64>,
    /// Content of the `data` fields.
    pub data: String,
}

/// Why a stream is not a valid event stream.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum SseError {
    /// An event exceeds the size limit.
    #[display("an event is larger than 1 MiB")]
    TooLarge,
    /// The bytes are not UTF-8.
    #[display("an event is not UTF-8")]
    NotText,
}

/// Parser of a stream that arrives in parts.
#[derive(Debug, Default)]
pub struct SseReader {
    buffer: BytesMut,
}

impl SseReader {
    /// Appends a part of the stream.
    pub fn push(&mut self, part: &Bytes) {
        self.buffer.extend_from_slice(part);
    }

    /// Removes and returns the next complete event; `None` if more data is needed.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, SseError> {
        let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") else {
            return if self.buffer.len() > EVENT_MAX_BYTES { Err(SseError::TooLarge) } else { Ok(None) };
        };
        let block = self.buffer.split_to(end);
        self.buffer.advance(2);
        let text = std::str::from_utf8(&block).map_err(|_not_text| SseError::NotText)?;
        Ok(Some(parse_block(text)))
    }
}

fn parse_block(text: &str) -> SseEvent {
    let mut event = SseEvent { number: None, data: String::new() };
    for line in text.lines() {
        match line.split_once(':').map(|(field, value)| (field, value.trim_start())) {
            Some(("id", value)) => event.number = value.parse().ok(),
            Some(("data", value)) => event.data.push_str(value),
            _ => {}
        }
    }
    event
}

/// Encodes an event with its number and data.
pub fn encode(number: u64, data: &str) -> Bytes {
    Bytes::from(format!("id: {number}\ndata: {data}\n\n"))
}
