//! Length-delimited frames whose bytes are charged before they are read.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::client_budget::Charge;

/// Bytes of the length that precedes a frame.
const LENGTH_BYTES: usize = 4;

/// Codec that fails if the budget does not admit the next frame.
#[derive(Debug)]
pub struct ChargedCodec {
    inner: LengthDelimitedCodec,
    charge: Charge,
}

impl ChargedCodec {
    /// Codec for frames of at most `length_max` bytes.
    pub fn new(length_max: usize, charge: Charge) -> Self {
        Self { inner: LengthDelimitedCodec::builder().max_frame_length(length_max).new_codec(), charge }
    }
}

impl Decoder for ChargedCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        if self.charge.bytes() == 0 && src.len() >= LENGTH_BYTES {
            let length = src[..LENGTH_BYTES].iter().fold(0_u64, |sum, byte| sum << 8 | u64::from(*byte));
            // The inner codec rejects a frame that is too long.
            if length <= self.inner.max_frame_length() as u64 {
                self.charge.grow(length + LENGTH_BYTES as u64).map_err(io::Error::other)?;
            }
        }
        let frame = self.inner.decode(src)?;
        if frame.is_some() {
            // A body in the frame is charged by its reader, anything else is dropped when it was applied.
            self.charge.shrink_to(0);
        }
        Ok(frame)
    }
}

impl Encoder<Bytes> for ChargedCodec {
    type Error = io::Error;

    fn encode(&mut self, item: Bytes, dst: &mut BytesMut) -> io::Result<()> {
        self.inner.encode(item, dst)
    }
}
