//! Reads the body of a request within the limits on its length, its time and the memory of the instance.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::Instant;

use crate::client_budget::{BudgetFull, Charge};

/// Bytes that are charged at a time, before they are read.
const STEP_BYTES: usize = 32 << 10;

/// Capacity of the segments of a long body.
const SEGMENT_BYTES: usize = 64 << 10;

/// Least capacity of the first segment.
const SEGMENT_MIN_BYTES: usize = 2 << 10;

/// Time limit for a body, besides the time that its bytes take at the least speed.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Least speed of a body in bytes per second: the largest legal one takes 8 s beside the others on a narrow link.
const BODY_SPEED: u64 = 512 << 10;

/// Bytes beyond the limit that are still read, so that the client of a body slightly over it reads the refusal. A
/// connection that is closed while the client sends may lose its answer.
const DISCARD_BEYOND: usize = 256 << 10;

/// Reason for which a body was not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It is longer than allowed.
    TooLong,
    /// It did not arrive in time.
    TooSlow,
    /// It broke off or was malformed.
    Broken(String),
    /// The memory for requests is used up.
    NoMemory,
}

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum length.
    pub length: usize,
    /// Longest time without a byte.
    pub stall: Duration,
}

/// Reads one body.
struct BodyReader<'a, B> {
    body: &'a mut B,
    limits: BodyLimits,
    started: Instant,
    received: usize,
}

impl<B> BodyReader<'_, B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    /// Next bytes of the body, or `None` at its end.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyFault> {
        loop {
            let allowed = BODY_TIMEOUT + Duration::from_millis(self.received as u64 * 1_000 / BODY_SPEED);
            let until = (self.started + allowed).min(Instant::now() + self.limits.stall);
            let frame = tokio::time::timeout_at(until, self.body.frame()).await;
            match frame.map_err(|_elapsed| BodyFault::TooSlow)? {
                Some(Ok(frame)) => {
                    // Trailers are dropped, as servers get the body with its length.
                    if let Ok(data) = frame.into_data() {
                        self.received += data.len();
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => return Err(BodyFault::Broken(error.to_string())),
                None => return Ok(None),
            }
        }
    }

    /// Reads the rest of the body and drops it, up to a little more than its maximum length.
    async fn discard(&mut self) -> Result<(), BodyFault> {
        while self.next().await?.is_some() {
            if self.received > self.limits.length + DISCARD_BEYOND {
                return Err(BodyFault::TooLong);
            }
        }
        if self.received > self.limits.length { Err(BodyFault::TooLong) } else { Ok(()) }
    }
}

/// Reads a body and drops it.
///
/// # Errors
///
/// Fails as [`read_body`] does, except for lack of memory.
pub async fn discard_body<B>(body: &mut B, limits: BodyLimits) -> Result<(), BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    BodyReader { body, limits, started: Instant::now(), received: 0 }.discard().await
}

/// Reads a whole body; its bytes carry `charge`, grown by their number.
///
/// # Errors
///
/// Fails if the body is too long, too slow or malformed, or if the memory for requests is used up.
pub async fn read_body<B>(body: &mut B, limits: BodyLimits, mut charge: Charge) -> Result<Bytes, BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let declared = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let base = charge.bytes();
    let mut reader = BodyReader { body, limits, started: Instant::now(), received: 0 };
    let mut segments = Vec::new();
    loop {
        let ahead = declared.map_or(STEP_BYTES, |length| length.saturating_sub(reader.received).min(STEP_BYTES));
        let next = reader.received.saturating_add(ahead);
        if charge.grow_to(base + next as u64).is_err() {
            return Err(BodyFault::NoMemory);
        }
        let Some(data) = reader.next().await? else { break };
        if reader.received > limits.length {
            segments.clear();
            reader.discard().await?;
            return Err(BodyFault::TooLong);
        }
        append(&mut segments, data);
    }
    let length = reader.received as u64;
    let bytes = match segments.len() {
        0 | 1 => segments.pop().unwrap_or_default().freeze(),
        _ => {
            charge.grow_to(base + 2 * length).map_err(|BudgetFull| BodyFault::NoMemory)?;
            segments.concat().into()
        }
    };
    charge.shrink_to(base + length);
    Ok(charge.attach(bytes))
}

/// Copies `data` into segments, since the part of a buffer that a short chunk refers to would keep the whole buffer.
/// Segments do not grow, and those of long bodies have the same size, so that the heap is not fragmented.
fn append(segments: &mut Vec<BytesMut>, mut data: Bytes) {
    while !data.is_empty() {
        let room = segments.last().map_or(0, |last| last.capacity() - last.len());
        if room == 0 {
            let is_long = !segments.is_empty() || data.len() > SEGMENT_BYTES;
            let capacity = if is_long { SEGMENT_BYTES } else { data.len().max(SEGMENT_MIN_BYTES) };
            segments.push(BytesMut::with_capacity(capacity));
            continue;
        }
        let part = data.split_to(data.len().min(room));
        if let Some(last) = segments.last_mut() {
            last.extend_from_slice(&part);
        }
    }
}
