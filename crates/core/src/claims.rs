//! Who orders models to be loaded: a claim on the log whose offset fences the orders.
//!
//! Time decides only when a silent owner may be replaced. What an old owner still sends is harmless by its
//! older offset, or by the read-back of the desired state. See `docs/ROUTING.md`.

use std::time::Duration;

use crate::names::Incarnation;
use crate::units::{Instant, Offset};

/// Record of the stream that carries claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimRecord {
    /// Takes the place of the claim at `replaces`, or the free place.
    Claim {
        /// Incarnation that claims.
        holder: Incarnation,
        /// Claim that the holder saw in force.
        replaces: Option<Offset>,
    },
    /// Tells that the owner by the claim at `token` still works.
    Heartbeat {
        /// Owner.
        holder: Incarnation,
        /// Offset of the claim.
        token: Offset,
    },
}

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum ClaimOutcome {
    /// The claim is in force.
    Taken,
    /// Another claim came first.
    Lost,
    /// The owner is alive.
    Renewed,
    /// The beat is of a claim that is no longer in force.
    Stale,
}

/// Claim in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Incarnation that owns the orders.
    pub holder: Incarnation,
    /// Offset of its claim, which fences its orders.
    pub token: Offset,
}

/// Fold of the stream, the same on every instance that read the same prefix.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    /// Offset of the next record.
    pub next: Offset,
    owner: Option<Owner>,
    heartbeats: u64,
}

impl Claims {
    /// Stream that carries the claims.
    pub const STREAM: &str = "models";

    /// Applies the record at `offset`; the first claim replaces the same state wins.
    pub fn apply(&mut self, offset: Offset, record: &ClaimRecord) -> ClaimOutcome {
        self.next = offset.next();
        let token = self.owner.as_ref().map(|owner| owner.token);
        match record {
            ClaimRecord::Claim { holder, replaces } if *replaces == token => {
                self.owner = Some(Owner { holder: holder.clone(), token: offset });
                self.heartbeats += 1;
                ClaimOutcome::Taken
            }
            ClaimRecord::Claim { .. } => ClaimOutcome::Lost,
            // The claim itself was dropped from the log, and its owner still works.
            ClaimRecord::Heartbeat { holder, token: renewed } if token.is_none() => {
                self.owner = Some(Owner { holder: holder.clone(), token: *renewed });
                self.heartbeats += 1;
                ClaimOutcome::Renewed
            }
            ClaimRecord::Heartbeat { token: renewed, .. } if Some(*renewed) == token => {
                self.heartbeats += 1;
                ClaimOutcome::Renewed
            }
            ClaimRecord::Heartbeat { .. } => ClaimOutcome::Stale,
        }
    }

    /// Skips a record that cannot be read.
    pub const fn skip(&mut self, offset: Offset) {
        self.next = offset.next();
    }

    /// Claim in force.
    pub const fn owner(&self) -> Option<&Owner> {
        self.owner.as_ref()
    }
}

/// Notices on the own clock when an owner has gone silent.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClaimWatch {
    heartbeats: u64,
    at: Option<Instant>,
}

impl ClaimWatch {
    /// Claim to append now, if the place is free or its owner was silent for `silence`.
    pub fn next_claim(
        &mut self,
        claims: &Claims,
        holder: &Incarnation,
        now: Instant,
        silence: Duration,
    ) -> Option<ClaimRecord> {
        let replaces = claims.owner().map(|owner| owner.token);
        let claim = ClaimRecord::Claim { holder: holder.clone(), replaces };
        match self.at {
            _ if replaces.is_none() => Some(claim),
            Some(at) if self.heartbeats == claims.heartbeats => (now.since(at) >= silence).then_some(claim),
            _ => {
                *self = Self { heartbeats: claims.heartbeats, at: Some(now) };
                None
            }
        }
    }
}
