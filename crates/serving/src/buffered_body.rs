//! Buffer for a response body, limited for each response and for the whole process, so that servers that send bytes
//! without end cannot exhaust the memory.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

use crate::client_budget::{BudgetFull, Charge};

/// Maximum length of one buffered body.
const BODY_MAX_BYTES: usize = 4 << 20;

/// Bytes of each body that do not count against the limit of the process, so that a few long bodies cannot displace
/// the usual short ones.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// Length of a full segment of a body.
const SEGMENT_BYTES: usize = 64 << 10;

/// Least capacity of a new segment.
const SEGMENT_MIN_BYTES: usize = 2 << 10;

/// Maximum number of counted bytes of all bodies together.
const TOTAL_MAX_BYTES: usize = 24 << 20;

/// Limit that a body exceeded.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BodyLimit {
    /// The body is longer than one body may be.
    #[display("the body exceeds {BODY_MAX_BYTES} bytes")]
    Body,
    /// All buffered bodies together are longer than allowed.
    #[display("the buffered bodies exceed {TOTAL_MAX_BYTES} bytes together")]
    Total,
    /// The memory for requests and answers is used up.
    #[display("{BudgetFull}")]
    Memory,
}

/// Counted bytes of all bodies that one process buffers.
#[derive(Debug, Default)]
pub struct BufferedTotal(AtomicUsize);

impl BufferedTotal {
    fn add(&self, count: usize) -> bool {
        let within = |total: usize| total.checked_add(count).filter(|sum| *sum <= TOTAL_MAX_BYTES);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, within).is_ok()
    }
}

/// Body that is being buffered; dropping it releases its bytes.
#[derive(Debug)]
pub struct BufferedBody<'a> {
    total: &'a BufferedTotal,
    /// Full segments and a last one that is being filled. Segments do not grow, which would need twice their memory.
    segments: Vec<BytesMut>,
    length: usize,
    counted: usize,
    /// Charge of the whole body, which its bytes carry on until they are freed.
    charge: Option<Charge>,
}

impl<'a> BufferedBody<'a> {
    /// Starts an empty body that counts against `total`.
    pub fn new(total: &'a BufferedTotal) -> Self {
        Self { total, segments: Vec::new(), length: 0, counted: 0, charge: None }
    }

    /// Has the bytes carry `charge`.
    #[must_use]
    pub fn charged(mut self, charge: Charge) -> Self {
        self.charge = Some(charge);
        self
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Fails if a limit would be exceeded.
    pub fn push(&mut self, mut data: Bytes) -> Result<(), BodyLimit> {
        let length = self.length + data.len();
        if length > BODY_MAX_BYTES {
            return Err(BodyLimit::Body);
        }
        let charged = self.charge.as_mut().map(|charge| charge.grow_to(length as u64));
        if charged.is_some_and(|charged| charged.is_err()) {
            return Err(BodyLimit::Memory);
        }
        let more = length.saturating_sub(UNCOUNTED_BYTES).saturating_sub(self.counted);
        if !self.total.add(more) {
            return Err(BodyLimit::Total);
        }
        self.counted += more;
        self.length = length;
        while !data.is_empty() {
            if self.segments.last().is_none_or(|last| last.len() == SEGMENT_BYTES) {
                let capacity = data.len().clamp(SEGMENT_MIN_BYTES, SEGMENT_BYTES);
                self.segments.push(BytesMut::with_capacity(capacity));
            }
            let Some(segment) = self.segments.last_mut() else { break };
            let part = data.split_to(data.len().min(SEGMENT_BYTES - segment.len()));
            segment.extend_from_slice(&part);
        }
        Ok(())
    }

    /// The complete body.
    pub fn into_bytes(mut self) -> Bytes {
        let bytes: Bytes = match std::mem::take(&mut self.segments) {
            mut segments if segments.len() <= 1 => segments.pop().unwrap_or_default().freeze(),
            segments => segments.concat().into(),
        };
        match self.charge.take() {
            Some(charge) => charge.attach(bytes),
            None => bytes,
        }
    }
}

impl Drop for BufferedBody<'_> {
    fn drop(&mut self) {
        self.total.0.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
