//! Frames between instances: length-delimited, each with a keyed MAC over link, direction, number and payload.
//!
//! The number grows by one a frame and the link id is drawn afresh by both ends, so a replayed, reordered
//! or foreign frame fails the MAC. See `docs/DESIGN.md#peer-links`.

use bytes::Bytes;
use derive_more::{Display, Error};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame, in bytes.
pub const FRAME_MAX_BYTES: usize = 4 << 20;

const TAG_BYTES: usize = 32;

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum FrameError {
    /// Too short to carry a MAC.
    #[display("the frame is cut short")]
    Short,
    /// The MAC does not match: wrong key, foreign link, replay or corruption.
    #[display("the frame is not authentic")]
    InvalidMac,
}

/// Side of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Opened the connection.
    Dialer,
    /// Accepted the connection.
    Listener,
}

impl Side {
    const fn byte(self) -> u8 {
        match self {
            Self::Dialer => 0,
            Self::Listener => 1,
        }
    }

    /// The other end.
    #[must_use]
    pub const fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Listener,
            Self::Listener => Self::Dialer,
        }
    }
}

/// Seals or opens the frames that one side sends on one link.
#[derive(Debug)]
pub struct FrameAuthenticator {
    key: Vec<u8>,
    link: [u8; 32],
    sender: Side,
    number: u64,
}

impl FrameAuthenticator {
    /// Starts at frame number 0 for the frames that `sender` writes on `link`.
    pub fn new(key: &[u8], link: [u8; 32], sender: Side) -> Self {
        Self { key: key.to_vec(), link, sender, number: 0 }
    }

    /// Appends the MAC to `payload`.
    pub fn sign(&mut self, payload: &[u8]) -> Bytes {
        let tag = self.mac(payload).finalize().into_bytes();
        self.number += 1;
        [payload, tag.as_slice()].concat().into()
    }

    /// Checks the MAC and gives the payload.
    pub fn verify(&mut self, frame: &Bytes) -> Result<Bytes, FrameError> {
        let split = frame.len().checked_sub(TAG_BYTES).ok_or(FrameError::Short)?;
        let (payload, tag) = frame.split_at(split);
        self.mac(payload).verify_slice(tag).map_err(|_mismatch| FrameError::InvalidMac)?;
        self.number += 1;
        Ok(frame.slice(..split))
    }

    fn mac(&self, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("HMAC takes keys of any length");
        mac.update(&self.link);
        mac.update(&[self.sender.byte()]);
        mac.update(&self.number.to_le_bytes());
        mac.update(payload);
        mac
    }
}

/// Codec of a link.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec()
}
