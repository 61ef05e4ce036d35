//! State machine of at-most-once calls.
//!
//! The first claim of a key in log order wins, and only its owner may dispatch the call, once it has read the claim
//! back. See `docs/DESIGN.md#at-most-once`.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;

use crate::names::Incarnation;
use crate::record::{AttemptKey, AttemptOutcome};

/// State of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The owner may dispatch or has dispatched the call.
    Claimed {
        /// Incarnation that won the claim.
        owner: Incarnation,
    },
    /// The call ended.
    Ended {
        /// How the call ended.
        outcome: AttemptOutcome,
    },
    /// The owner gave up its claim without dispatching the call.
    Renounced,
}

/// Attempt of an at-most-once call, as the log records it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Digest of the call that claimed the key.
    pub digest: u64,
    /// Present state.
    pub state: AttemptState,
}

/// Outcome of a claim.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claimant owns the attempt and may dispatch it once.
    #[display("won")]
    Won,
    /// Another claim came first.
    #[display("lost")]
    Lost,
}

/// Status of an attempt as seen by a call with a given digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The key is free to claim.
    Unclaimed,
    /// The key was used for a call with another digest.
    DifferentCall,
    /// The owner may dispatch or has dispatched the call.
    InProgress,
    /// The call ended.
    Ended(AttemptOutcome),
    /// The owner was closed before it reported an outcome, so the call may have run.
    OwnerGone,
}

/// Complete state of an [`AttemptTable`], for snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptTableState {
    /// Attempts by key.
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// Closed incarnations.
    pub closed: BTreeSet<Incarnation>,
}

/// All attempts of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptTable {
    attempts: BTreeMap<AttemptKey, Attempt>,
    closed: BTreeSet<Incarnation>,
}

impl AttemptTable {
    /// Copies the complete state.
    pub fn export(&self) -> AttemptTableState {
        let Self { attempts, closed } = self;
        AttemptTableState { attempts: attempts.clone(), closed: closed.clone() }
    }

    /// Restores an exported state.
    pub fn import(state: AttemptTableState) -> Self {
        let AttemptTableState { attempts, closed } = state;
        Self { attempts, closed }
    }

    /// Incarnation that claimed `attempt`, unless the call ended or the claim was given up.
    pub fn owner(&self, attempt: &AttemptKey) -> Option<&Incarnation> {
        match &self.attempts.get(attempt)?.state {
            AttemptState::Claimed { owner } => Some(owner),
            AttemptState::Ended { .. } | AttemptState::Renounced => None,
        }
    }

    /// All attempts in key order.
    pub fn attempts(&self) -> impl Iterator<Item = (&AttemptKey, &Attempt)> {
        self.attempts.iter()
    }

    /// Status of `attempt` for a call with `digest`.
    pub fn status(&self, attempt: &AttemptKey, digest: u64) -> AttemptStatus {
        match self.attempts.get(attempt) {
            None => AttemptStatus::Unclaimed,
            Some(existing) if existing.digest != digest => AttemptStatus::DifferentCall,
            Some(existing) => match &existing.state {
                AttemptState::Renounced => AttemptStatus::Unclaimed,
                AttemptState::Ended { outcome } => AttemptStatus::Ended(outcome.clone()),
                AttemptState::Claimed { owner } if self.closed.contains(owner) => AttemptStatus::OwnerGone,
                AttemptState::Claimed { .. } => AttemptStatus::InProgress,
            },
        }
    }

    /// Claims `attempt` for `holder`; a closed holder always loses.
    pub fn claim(&mut self, holder: &Incarnation, attempt: &AttemptKey, digest: u64) -> ClaimOutcome {
        let is_free = matches!(self.status(attempt, digest), AttemptStatus::Unclaimed);
        if !is_free || self.closed.contains(holder) {
            return ClaimOutcome::Lost;
        }
        let state = AttemptState::Claimed { owner: holder.clone() };
        self.attempts.insert(attempt.clone(), Attempt { digest, state });
        ClaimOutcome::Won
    }

    /// Records the outcome of an attempt that `holder` owns, even if `holder` is closed.
    pub fn end(&mut self, holder: &Incarnation, attempt: &AttemptKey, outcome: &AttemptOutcome) {
        if let Some(existing) = self.owned(holder, attempt) {
            existing.state = AttemptState::Ended { outcome: outcome.clone() };
        }
    }

    /// Makes an attempt that `holder` owns and will never dispatch free to claim again.
    pub fn renounce(&mut self, holder: &Incarnation, attempt: &AttemptKey) {
        if let Some(existing) = self.owned(holder, attempt) {
            existing.state = AttemptState::Renounced;
        }
    }

    /// Marks `holder` as closed; the calls that it claimed without reporting an outcome may have run.
    pub fn close(&mut self, holder: &Incarnation) {
        self.closed.insert(holder.clone());
    }

    fn owned(&mut self, holder: &Incarnation, attempt: &AttemptKey) -> Option<&mut Attempt> {
        self.attempts
            .get_mut(attempt)
            .filter(|existing| matches!(&existing.state, AttemptState::Claimed { owner } if owner == holder))
    }
}
