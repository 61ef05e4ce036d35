//! Shared state of one instance, in shards that each have their own lock.

use std::sync::Arc;

use parking_lot::{Mutex, RwLock};

use crate::attempts::AttemptView;
use crate::backends::Backends;
use crate::environments::Environments;
use crate::gossip::Gossip;
use crate::membership::Membership;
use crate::names::{BudgetKey, Incarnation};
use crate::record::{AttemptKey, AttemptOutcome, Batch, ShardRecord};
use crate::shard::{Applied, Shard, ShardIndex};
use crate::sizing::Sizing;
use crate::units::{Instant, Offset};
use crate::wallet::{ClaimStatus, Wallet};

/// One ledger shard: the fold of its stream and this instance's own credit.
#[derive(Debug)]
pub struct ShardCell {
    /// Fold of the stream.
    pub fold: Shard,
    /// Credit and claims of the open incarnation.
    pub wallet: Wallet,
    /// Wallets of closed incarnations that still settle.
    pub retired: Vec<Wallet>,
}

impl ShardCell {
    /// Starts with an empty fold.
    pub fn new(holder: Incarnation) -> Self {
        Self { fold: Shard::default(), wallet: Wallet::new(holder), retired: Vec::new() }
    }

    /// Applies a record; when it closes the open incarnation, goes on as run `fresh`.
    pub fn apply(&mut self, offset: Offset, record: &ShardRecord, fresh: u64) -> Applied {
        let applied = self.fold.apply(offset, record);
        match (record, &applied) {
            (ShardRecord::Batch(batch), Applied::Batch(outcomes)) => {
                if let Some(wallet) = self.wallet_mut(&batch.holder) {
                    wallet.read_back(batch.sequence, outcomes);
                }
            }
            (ShardRecord::Close(close), _) if close.holder == *self.wallet.holder() => self.reincarnate(fresh),
            _ => {}
        }
        applied
    }

    /// Goes on from the fold of a snapshot, as run `fresh` when that closed this one; false unless it lies ahead.
    pub fn install(&mut self, fold: Shard, fresh: u64) -> bool {
        if fold.next <= self.fold.next {
            return false;
        }
        self.fold = fold;
        let wallets = std::iter::once(&mut self.wallet).chain(&mut self.retired);
        wallets.for_each(|wallet| wallet.resync(&self.fold));
        if self.fold.is_closed(self.wallet.holder()) {
            self.reincarnate(fresh);
        }
        true
    }

    /// Wallet of `holder`, open or retired.
    pub fn wallet_mut(&mut self, holder: &Incarnation) -> Option<&mut Wallet> {
        std::iter::once(&mut self.wallet).chain(&mut self.retired).find(|wallet| wallet.holder() == holder)
    }

    /// What is known of `attempt`, with the ends that this instance reported and has not read back.
    pub fn attempt_view(&self, attempt: &AttemptKey, digest: u64) -> AttemptView {
        let reported = self.wallets().find_map(|wallet| wallet.ended(attempt));
        match (self.fold.attempts.view(attempt, digest), reported) {
            (AttemptView::InProgress | AttemptView::OwnerGone, Some(outcome)) => AttemptView::Ended(outcome.clone()),
            (view, _) => view,
        }
    }

    /// Claims `attempt` for the open incarnation unless this instance has a claim of it under way.
    pub fn claim(&mut self, attempt: &AttemptKey, digest: u64) -> ClaimStatus {
        self.claimant(attempt).claim(attempt, digest)
    }

    /// Where this instance's claim of `attempt` stands; a lost claim is told once and then forgotten.
    pub fn claim_status(&mut self, attempt: &AttemptKey) -> Option<ClaimStatus> {
        self.claimant(attempt).claim_status(attempt)
    }

    /// Gives up the right to dispatch `attempt` under the incarnation that claimed it.
    pub fn renounce(&mut self, attempt: &AttemptKey) {
        self.claimant(attempt).renounce(attempt);
    }

    /// Reports the end of `attempt` under the incarnation that claimed it.
    pub fn end(&mut self, attempt: &AttemptKey, outcome: AttemptOutcome) {
        self.claimant(attempt).end(attempt, outcome);
    }

    /// Wallet that has a claim of `attempt` under way, or else the open one.
    fn claimant(&mut self, attempt: &AttemptKey) -> &mut Wallet {
        match self.retired.iter_mut().find(|wallet| wallet.has_claim(attempt)) {
            Some(retired) => retired,
            None => &mut self.wallet,
        }
    }

    fn wallets(&self) -> impl Iterator<Item = &Wallet> {
        std::iter::once(&self.wallet).chain(&self.retired)
    }

    /// Batches to append now, one a wallet at the most.
    pub fn next_batches(&mut self, now: Instant, sizing: impl Fn(&BudgetKey) -> Sizing) -> Vec<Batch> {
        let ledger = &self.fold.ledger;
        self.retired.retain(|wallet| !wallet.is_settled());
        std::iter::once(&mut self.wallet)
            .chain(&mut self.retired)
            .filter_map(|wallet| wallet.next_batch(now, ledger, &sizing))
            .collect()
    }

    /// True when no wallet holds, waits for or has to write anything.
    pub fn is_settled(&self) -> bool {
        self.wallets().all(Wallet::is_settled)
    }

    fn reincarnate(&mut self, run: u64) {
        let holder = Incarnation { instance: self.wallet.holder().instance.clone(), run };
        let mut closed = std::mem::replace(&mut self.wallet, Wallet::new(holder));
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
    /// Instances of the fleet as heard over peer links.
    pub membership: Mutex<Membership>,
    /// Facts that spread over peer links.
    pub rumours: Mutex<Gossip>,
}

impl Blackboard {
    /// Starts empty, with one cell for each ledger shard.
    pub fn new(holder: &Incarnation, shards: u32) -> Self {
        Self {
            environments: RwLock::default(),
            shards: (0..shards).map(|_| Mutex::new(ShardCell::new(holder.clone()))).collect(),
            backends: RwLock::default(),
            membership: Mutex::default(),
            rumours: Mutex::default(),
        }
    }

    /// Index of the shard that carries `key`.
    pub fn shard_of(&self, key: &BudgetKey) -> ShardIndex {
        ShardIndex::of(key, u32::try_from(self.shards.len()).unwrap_or(u32::MAX))
    }

    /// Cell of the shard that carries `key`.
    pub fn cell(&self, key: &BudgetKey) -> &Mutex<ShardCell> {
        let ShardIndex(index) = self.shard_of(key);
        &self.shards[index as usize]
    }

    /// How grants of `key` are sized by the document in force for its stage.
    pub fn sizing(&self, key: &BudgetKey) -> Sizing {
        let environments = Arc::clone(&self.environments.read());
        let document = environments.get(&key.environment).and_then(|known| known.document(key.stage));
        document.map(|document| document.sizing).unwrap_or_default()
    }
}
