//! Frames between instances: length-delimited, each with a keyed MAC over link id, sender, sequence number and payload.
//!
//! The sequence number grows by one with each frame, and both ends contribute random bytes to the link id. A frame that
//! is replayed, reordered or copied from another link therefore fails the MAC check. See `docs/DESIGN.md#peer-links`.

use bytes::Bytes;
use derive_more::{Display, Error};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame, in bytes.
pub const FRAME_MAX_BYTES: usize = 4 << 20;

const MAC_BYTES: usize = 32;

/// Reason why a frame is dropped.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The frame is shorter than a MAC.
    #[display("the frame is cut short")]
    Truncated,
    /// The MAC does not match: wrong key, frame of another link, replay or corruption.
    #[display("the frame is not authentic")]
    InvalidMac,
}

/// End of a link between two instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that opened the connection.
    Dialer,
    /// The end that accepted the connection.
    Listener,
}

impl Side {
    /// Byte that represents the sender in the MAC.
    const fn byte(self) -> u8 {
        match self {
            Self::Dialer => 0,
            Self::Listener => 1,
        }
    }

    /// Returns the opposite end.
    #[must_use]
    pub const fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Listener,
            Self::Listener => Self::Dialer,
        }
    }
}

/// Signs or verifies the frames of one direction of a link.
///
/// Each end of a link has one authenticator for sending and one for receiving.
#[derive(Debug)]
pub struct FrameAuthenticator {
    key: Vec<u8>,
    link_id: [u8; 32],
    sender: Side,
    sequence: u64,
}

impl FrameAuthenticator {
    /// Starts with sequence number 0 for the frames that `sender` writes on the link `link_id`.
    pub fn new(key: &[u8], link_id: [u8; 32], sender: Side) -> Self {
        Self { key: key.to_vec(), link_id, sender, sequence: 0 }
    }

    /// Returns the next frame: `payload` and its MAC.
    pub fn sign(&mut self, payload: &[u8]) -> Bytes {
        let mac = self.mac(payload).finalize().into_bytes();
        self.sequence += 1;
        [payload, mac.as_slice()].concat().into()
    }

    /// Checks the MAC of the next frame and returns its payload.
    pub fn verify(&mut self, frame: &Bytes) -> Result<Bytes, FrameError> {
        let split = frame.len().checked_sub(MAC_BYTES).ok_or(FrameError::Truncated)?;
        let (payload, mac) = frame.split_at(split);
        self.mac(payload).verify_slice(mac).map_err(|_mismatch| FrameError::InvalidMac)?;
        self.sequence += 1;
        Ok(frame.slice(..split))
    }

    fn mac(&self, payload: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("HMAC takes keys of any length");
        mac.update(&self.link_id);
        mac.update(&[self.sender.byte()]);
        mac.update(&self.sequence.to_le_bytes());
        mac.update(payload);
        mac
    }
}

/// Codec that delimits the frames of a link.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_codec()
}
