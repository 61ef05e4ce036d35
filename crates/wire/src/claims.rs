//! Encoded records of the stream that carries claims.

use coltsfootpick_core::claims::ClaimRecord;
use coltsfootpick_core::units::Offset;
use prost::{Message, Oneof};

use crate::convert::ConvertError;
use crate::messages::Incarnation;

/// Claim.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Claim {
    /// Incarnation that claims.
    #[prost(message, optional, tag = "1")]
    pub holder: Option<Incarnation>,
    /// Claim that the holder saw in force.
    #[prost(uint64, optional, tag = "2")]
    pub over: Option<u64>,
}

/// Sign of life of an owner.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Beat {
    /// Owner.
    #[prost(message, optional, tag = "1")]
    pub holder: Option<Incarnation>,
    /// Offset of its claim.
    #[prost(uint64, tag = "2")]
    pub token: u64,
}

/// Record of the stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimMessage {
    /// Kind of record.
    #[prost(oneof = "ClaimKind", tags = "1, 2")]
    pub kind: Option<ClaimKind>,
}

/// Kinds of records.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum ClaimKind {
    /// Claim.
    #[prost(message, tag = "1")]
    Claim(Claim),
    /// Sign of life.
    #[prost(message, tag = "2")]
    Beat(Beat),
}

impl From<&ClaimRecord> for ClaimMessage {
    fn from(record: &ClaimRecord) -> Self {
        let kind = match record {
            ClaimRecord::Claim { holder, replaces } => {
                ClaimKind::Claim(Claim { holder: Some(holder.into()), over: replaces.map(|offset| offset.0) })
            }
            ClaimRecord::Heartbeat { holder, token } => {
                ClaimKind::Beat(Beat { holder: Some(holder.into()), token: token.0 })
            }
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<ClaimMessage> for ClaimRecord {
    type Error = ConvertError;

    fn try_from(message: ClaimMessage) -> Result<Self, ConvertError> {
        let missing = ConvertError::Missing("holder");
        match message.kind {
            Some(ClaimKind::Claim(Claim { holder, over })) => {
                Ok(Self::Claim { holder: holder.ok_or(missing)?.into(), replaces: over.map(Offset) })
            }
            Some(ClaimKind::Beat(Beat { holder, token })) => {
                Ok(Self::Heartbeat { holder: holder.ok_or(missing)?.into(), token: Offset(token) })
            }
            None => Err(ConvertError::Missing("kind")),
        }
    }
}
