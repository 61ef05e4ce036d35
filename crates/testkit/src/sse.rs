//! Encoding of server-sent events.

use bytes::Bytes;

/// Encodes one event with an `id` and a `data` field.
pub fn event(number: usize, data: &str) -> Bytes {
    Bytes::from(format!("id: {number}\ndata: {data}\n\n"))
}
