//! Encoded records of the ownership stream, which elects the incarnation that orders engines to load models.

use coltsfootpick_core::ownership::OwnershipRecord;
use coltsfootpick_core::units::Offset;
use prost::{Message, Oneof};

use crate::convert::ConvertError;
use crate::messages::IncarnationMessage;

/// Claim of the right to order engines to load models.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OwnershipClaimMessage {
    /// Incarnation that claims.
    #[prost(message, optional, tag = "1")]
    pub holder: Option<IncarnationMessage>,
    /// Offset of the claim in force that this claim replaces; absent when the claimant knows of none.
    #[prost(uint64, optional, tag = "2")]
    pub replaces: Option<u64>,
}

/// Heartbeat of the owner, the incarnation whose claim is in force.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OwnerHeartbeatMessage {
    /// Incarnation that owns the right.
    #[prost(message, optional, tag = "1")]
    pub holder: Option<IncarnationMessage>,
    /// Offset of its claim, which is also its fencing token.
    #[prost(uint64, tag = "2")]
    pub token: u64,
}

/// Record of the ownership stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OwnershipRecordMessage {
    /// Content; a message without it is invalid.
    #[prost(oneof = "OwnershipRecordKind", tags = "1, 2")]
    pub kind: Option<OwnershipRecordKind>,
}

/// Content of an ownership record.
#[derive(Clone, PartialEq, Eq, Oneof)]
pub enum OwnershipRecordKind {
    /// Claim of the right to order engines to load models.
    #[prost(message, tag = "1")]
    Claim(OwnershipClaimMessage),
    /// Heartbeat of the owner.
    #[prost(message, tag = "2")]
    Heartbeat(OwnerHeartbeatMessage),
}

impl From<&OwnershipRecord> for OwnershipRecordMessage {
    fn from(record: &OwnershipRecord) -> Self {
        let kind = match record {
            OwnershipRecord::Claim { holder, replaces } => OwnershipRecordKind::Claim(OwnershipClaimMessage {
                holder: Some(holder.into()),
                replaces: replaces.map(|offset| offset.0),
            }),
            OwnershipRecord::Heartbeat { holder, token } => {
                OwnershipRecordKind::Heartbeat(OwnerHeartbeatMessage { holder: Some(holder.into()), token: token.0 })
            }
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<OwnershipRecordMessage> for OwnershipRecord {
    type Error = ConvertError;

    fn try_from(message: OwnershipRecordMessage) -> Result<Self, ConvertError> {
        let missing = ConvertError::Missing("holder");
        match message.kind {
            Some(OwnershipRecordKind::Claim(OwnershipClaimMessage { holder, replaces })) => {
                Ok(Self::Claim { holder: holder.ok_or(missing)?.into(), replaces: replaces.map(Offset) })
            }
            Some(OwnershipRecordKind::Heartbeat(OwnerHeartbeatMessage { holder, token })) => {
                Ok(Self::Heartbeat { holder: holder.ok_or(missing)?.into(), token: Offset(token) })
            }
            None => Err(ConvertError::Missing("kind")),
        }
    }
}
