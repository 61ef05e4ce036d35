//! Election of the instance that orders engines to load models, by claims on the log.
//!
//! The offset of a claim is the fencing token of its orders. Clocks decide only when a silent owner can be replaced.
//! Late orders of an earlier owner are harmless: engines can reject their lower token, and the new owner reads back
//! and corrects the loaded models. See `docs/ROUTING.md`.

use std::time::Duration;

use crate::names::Incarnation;
use crate::units::{Instant, Offset};

/// Record of the ownership stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipRecord {
    /// Claims the ownership of the orders.
    Claim {
        /// Incarnation that claims the ownership.
        holder: Incarnation,
        /// Offset of the claim to replace: the one in force as far as the claiming incarnation has read the log.
        replaces: Option<Offset>,
    },
    /// Shows that the owner is alive.
    Heartbeat {
        /// Incarnation that owns the orders.
        holder: Incarnation,
        /// Offset of its claim.
        token: Offset,
    },
}

/// Effect of an ownership record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum OwnershipOutcome {
    /// The claim is now in force.
    Taken,
    /// The claim has no effect, because the claim that it replaces is not the one in force.
    Lost,
    /// The heartbeat comes from the owner.
    Renewed,
    /// The heartbeat belongs to a claim that is no longer in force.
    Stale,
}

/// Incarnation whose claim is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Incarnation that owns the orders.
    pub holder: Incarnation,
    /// Offset of its claim, the fencing token of its orders.
    pub token: Offset,
}

/// State machine of the ownership stream; every instance that applied the same records is in the same state.
#[derive(Clone, Debug, Default)]
pub struct Ownership {
    /// Offset of the next record.
    pub next: Offset,
    owner: Option<Owner>,
    heartbeats: u64,
}

impl Ownership {
    /// Log stream that carries the ownership records.
    pub const STREAM: &str = "models";

    /// Applies the record at `offset`; of several claims that replace the same one, the first wins.
    pub fn apply(&mut self, offset: Offset, record: &OwnershipRecord) -> OwnershipOutcome {
        self.next = offset.next();
        let token = self.owner.as_ref().map(|owner| owner.token);
        match record {
            OwnershipRecord::Claim { holder, replaces } if *replaces == token => {
                self.owner = Some(Owner { holder: holder.clone(), token: offset });
                self.heartbeats += 1;
                OwnershipOutcome::Taken
            }
            OwnershipRecord::Claim { .. } => OwnershipOutcome::Lost,
            // The log no longer contains the claim itself, but its owner is alive.
            OwnershipRecord::Heartbeat { holder, token: renewed } if token.is_none() => {
                self.owner = Some(Owner { holder: holder.clone(), token: *renewed });
                self.heartbeats += 1;
                OwnershipOutcome::Renewed
            }
            OwnershipRecord::Heartbeat { token: renewed, .. } if Some(*renewed) == token => {
                self.heartbeats += 1;
                OwnershipOutcome::Renewed
            }
            OwnershipRecord::Heartbeat { .. } => OwnershipOutcome::Stale,
        }
    }

    /// Skips a record that cannot be read.
    pub const fn skip(&mut self, offset: Offset) {
        self.next = offset.next();
    }

    /// Returns the owner whose claim is in force, if any.
    pub const fn owner(&self) -> Option<&Owner> {
        self.owner.as_ref()
    }
}

/// Detects that the owner has sent no heartbeat for some time, by this instance's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnershipWatch {
    heartbeats: u64,
    changed_at: Option<Instant>,
}

impl OwnershipWatch {
    /// Returns the claim to append now, if there is no owner or it has sent no heartbeat for `timeout`.
    pub fn next_claim(
        &mut self,
        ownership: &Ownership,
        holder: &Incarnation,
        now: Instant,
        timeout: Duration,
    ) -> Option<OwnershipRecord> {
        let replaces = ownership.owner().map(|owner| owner.token);
        let claim = OwnershipRecord::Claim { holder: holder.clone(), replaces };
        match self.changed_at {
            _ if replaces.is_none() => Some(claim),
            Some(changed_at) if self.heartbeats == ownership.heartbeats => {
                (now.since(changed_at) >= timeout).then_some(claim)
            }
            _ => {
                *self = Self { heartbeats: ownership.heartbeats, changed_at: Some(now) };
                None
            }
        }
    }
}
