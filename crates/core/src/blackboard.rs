//! Shared state of one instance, divided into parts with a lock each.

use std::sync::Arc;

use parking_lot::{Mutex, RwLock};

use crate::attempts::AttemptStatus;
use crate::backends::Backends;
use crate::environments::Environments;
use crate::gossip::Gossip;
use crate::membership::Membership;
use crate::names::{BudgetKey, Incarnation};
use crate::record::{AttemptKey, AttemptOutcome, Batch, ShardRecord};
use crate::shard::{ApplyOutcome, Shard, ShardIndex};
use crate::shard_credit::{ClaimStatus, ShardCredit};
use crate::sizing::GrantSizing;
use crate::units::{Instant, Offset};

/// One ledger shard: the state replayed from its stream and this instance's own credit.
#[derive(Debug)]
pub struct ShardCell {
    /// State replayed from the stream.
    pub state: Shard,
    /// Credit and claims of the open incarnation.
    pub credit: ShardCredit,
    /// Credit and claims of closed incarnations that still have requests to settle.
    pub retired: Vec<ShardCredit>,
}

impl ShardCell {
    /// Creates a shard with an empty state and no credit.
    pub fn new(holder: Incarnation) -> Self {
        Self { state: Shard::default(), credit: ShardCredit::new(holder), retired: Vec::new() }
    }

    /// Applies a record; when it closes the open incarnation, a new one with run number `new_run` replaces it.
    pub fn apply(&mut self, offset: Offset, record: &ShardRecord, new_run: u64) -> ApplyOutcome {
        let applied = self.state.apply(offset, record);
        match (record, &applied) {
            (ShardRecord::Batch(batch), ApplyOutcome::Batch(outcomes)) => {
                if let Some(credit) = self.credit_mut(&batch.holder) {
                    credit.read_back(batch.sequence, outcomes);
                }
            }
            (ShardRecord::Close(close), _) if close.holder == *self.credit.holder() => {
                self.replace_incarnation(new_run);
            }
            _ => {}
        }
        applied
    }

    /// Replaces the state by a snapshot's `state`, or returns false when that is not newer.
    ///
    /// When the open incarnation is closed in `state`, a new one with run number `new_run` replaces it.
    pub fn install(&mut self, state: Shard, new_run: u64) -> bool {
        if state.next <= self.state.next {
            return false;
        }
        self.state = state;
        let credits = std::iter::once(&mut self.credit).chain(&mut self.retired);
        credits.for_each(|credit| credit.resync(&self.state));
        if self.state.is_closed(self.credit.holder()) {
            self.replace_incarnation(new_run);
        }
        true
    }

    /// Credit of `holder`, open or retired.
    pub fn credit_mut(&mut self, holder: &Incarnation) -> Option<&mut ShardCredit> {
        std::iter::once(&mut self.credit).chain(&mut self.retired).find(|credit| credit.holder() == holder)
    }

    /// Status of `attempt`, including an outcome that this instance reported but has not read back yet.
    pub fn attempt_status(&self, attempt: &AttemptKey, digest: u64) -> AttemptStatus {
        let reported = self.credits().find_map(|credit| credit.ended(attempt));
        match (self.state.attempts.status(attempt, digest), reported) {
            (AttemptStatus::InProgress | AttemptStatus::OwnerGone, Some(outcome)) => {
                AttemptStatus::Ended(outcome.clone())
            }
            (status, _) => status,
        }
    }

    /// Claims `attempt` for the open incarnation unless this instance already has an open claim of it.
    pub fn claim(&mut self, attempt: &AttemptKey, digest: u64) -> ClaimStatus {
        self.claimant(attempt).claim(attempt, digest)
    }

    /// Status of this instance's claim of `attempt`; a lost claim is reported once and then removed.
    pub fn claim_status(&mut self, attempt: &AttemptKey) -> Option<ClaimStatus> {
        self.claimant(attempt).claim_status(attempt)
    }

    /// Gives up the claim of `attempt` on behalf of the incarnation that claimed it.
    pub fn renounce(&mut self, attempt: &AttemptKey) {
        self.claimant(attempt).renounce(attempt);
    }

    /// Reports the outcome of `attempt` on behalf of the incarnation that claimed it.
    pub fn end(&mut self, attempt: &AttemptKey, outcome: AttemptOutcome) {
        self.claimant(attempt).end(attempt, outcome);
    }

    /// Credit of the closed incarnation with an open claim of `attempt`, or else of the open incarnation.
    fn claimant(&mut self, attempt: &AttemptKey) -> &mut ShardCredit {
        match self.retired.iter_mut().find(|credit| credit.has_claim(attempt)) {
            Some(retired) => retired,
            None => &mut self.credit,
        }
    }

    fn credits(&self) -> impl Iterator<Item = &ShardCredit> {
        std::iter::once(&self.credit).chain(&self.retired)
    }

    /// Batches to append now, at most one for each incarnation of this instance.
    pub fn next_batches(&mut self, now: Instant, sizing: impl Fn(&BudgetKey) -> GrantSizing) -> Vec<Batch> {
        let ledger = &self.state.ledger;
        self.retired.retain(|credit| !credit.is_settled());
        std::iter::once(&mut self.credit)
            .chain(&mut self.retired)
            .filter_map(|credit| credit.next_batch(now, ledger, &sizing))
            .collect()
    }

    /// Whether no incarnation of this instance holds credit, waits for any or has entries to write.
    pub fn is_settled(&self) -> bool {
        self.credits().all(ShardCredit::is_settled)
    }

    fn replace_incarnation(&mut self, run: u64) {
        let holder = Incarnation { instance: self.credit.holder().instance.clone(), run };
        let mut closed = std::mem::replace(&mut self.credit, ShardCredit::new(holder));
        closed.close();
        self.retired.push(closed);
    }
}

/// State that the controllers of one instance read and write.
#[derive(Debug)]
pub struct Blackboard {
    /// Environments in force.
    pub environments: RwLock<Arc<Environments>>,
    /// Ledger shards.
    pub shards: Vec<Mutex<ShardCell>>,
    /// Backend servers.
    pub backends: RwLock<Backends>,
    /// Instances of the fleet, as reported over peer links.
    pub membership: Mutex<Membership>,
    /// Facts that peers pass on to each other.
    pub gossip: Mutex<Gossip>,
}

impl Blackboard {
    /// Creates an empty state with `shards` ledger shards.
    pub fn new(holder: &Incarnation, shards: u32) -> Self {
        Self {
            environments: RwLock::default(),
            shards: (0..shards).map(|_| Mutex::new(ShardCell::new(holder.clone()))).collect(),
            backends: RwLock::default(),
            membership: Mutex::default(),
            gossip: Mutex::default(),
        }
    }

    /// Index of the shard that keeps the budget `key`.
    pub fn shard_of(&self, key: &BudgetKey) -> ShardIndex {
        ShardIndex::of(key, u32::try_from(self.shards.len()).unwrap_or(u32::MAX))
    }

    /// Shard that keeps the budget `key`, with this instance's own credit.
    pub fn cell(&self, key: &BudgetKey) -> &Mutex<ShardCell> {
        let ShardIndex(index) = self.shard_of(key);
        &self.shards[index as usize]
    }

    /// Grant sizing of `key` by the document in force for its stage, or the default without one.
    pub fn sizing(&self, key: &BudgetKey) -> GrantSizing {
        let environments = Arc::clone(&self.environments.read());
        let document = environments.get(&key.environment).and_then(|environment| environment.document(key.stage));
        document.map(|document| document.sizing).unwrap_or_default()
    }
}
