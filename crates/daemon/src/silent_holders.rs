//! Background task that closes incarnations without heartbeats on the shards where they hold credit or claims.
//!
//! Clocks only decide when to close. The effect on credit follows from the order of the log alone, which also keeps
//! a holder that was only paused from overspending. See `docs/PEERS.md#silence`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::attempts::AttemptState;
use coltsfootpick_core::membership::rendezvous_order;
use coltsfootpick_core::names::Incarnation;
use coltsfootpick_core::record::{Close, ShardRecord};
use coltsfootpick_core::shard::{Shard, ShardIndex};
use coltsfootpick_core::units::Instant;
use coltsfootpick_wire::envelope::encode_shard;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;
use crate::peer_link::link_timeout;

/// Longest wait for a close record to be read back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Silent holders that held nothing, with the sequence of their last batch; not checked again until they write another.
type IdleHolders = BTreeMap<(ShardIndex, Incarnation), u64>;

/// A silent incarnation that is due to be closed.
#[derive(Debug)]
struct SilentHolder {
    holder: Incarnation,
    silent_for: Duration,
    rank: usize,
}

/// Closes silent incarnations until the instance stops.
pub async fn close_silent(instance: Arc<Instance>) {
    let mut interval = tokio::time::interval(instance.settings.heartbeat_interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut idle = IdleHolders::new();
    let mut last_check = instance.deps.clock.now();
    let mut valid_from = last_check.after(instance.settings.silence_timeout);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        let now = instance.deps.clock.now();
        valid_from = valid_from.max(silence_valid_from(&instance, last_check, now));
        last_check = now;
        if now < valid_from {
            continue;
        }
        for shard in (0..instance.settings.shards).map(ShardIndex) {
            for silent in silent_holders(&instance, shard, now, &mut idle) {
                close(&instance, shard, silent).await;
            }
        }
    }
}

/// Returns the time from which this instance trusts the silence of others. After a pause of its own, or while it cannot
/// reach the log, it may have missed heartbeats and first waits one silence timeout for new ones.
fn silence_valid_from(instance: &Instance, last_check: Instant, now: Instant) -> Instant {
    let silence = instance.settings.silence_timeout;
    let was_paused = now.since(last_check) > silence / 2;
    match was_paused || !instance.peers.is_log_reachable() {
        true => now.after(silence),
        false => Instant::default(),
    }
}

fn silent_holders(instance: &Instance, shard: ShardIndex, now: Instant, idle: &mut IdleHolders) -> Vec<SilentHolder> {
    if !instance.is_shard_caught_up(shard) {
        return Vec::new();
    }
    let cell = instance.board.shards[shard.0 as usize].lock();
    let mut membership = instance.board.membership.lock();
    let silence = instance.settings.silence_timeout;
    let live = membership.instances(now, silence);
    let mut silent = Vec::new();
    for holder in cell.state.open_holders().filter(|holder| *holder != cell.credit.holder()) {
        let silent_for = membership.silence(holder, now);
        let sequence = cell.state.sequence(holder);
        let key = (shard, holder.clone());
        if silent_for < silence || idle.get(&key) == Some(&sequence) {
            continue;
        }
        if !holds_anything(&cell.state, holder) {
            idle.insert(key, sequence);
            continue;
        }
        let ranked = rendezvous_order(&holder.to_string(), live.iter().chain([&instance.settings.name]));
        let rank = ranked.iter().position(|name| **name == instance.settings.name).unwrap_or_default();
        // Instances of a later rank wait longer, so that usually one instance closes the holder, and the failure of
        // the first only delays the close.
        if silent_for >= silence + link_timeout(instance) * u32::try_from(rank).unwrap_or(u32::MAX) {
            silent.push(SilentHolder { holder: holder.clone(), silent_for, rank });
        }
    }
    silent
}

/// Returns whether `holder` holds credit or claims on the shard.
fn holds_anything(state: &Shard, holder: &Incarnation) -> bool {
    let owns = |attempt: &AttemptState| matches!(attempt, AttemptState::Claimed { owner } if owner == holder);
    state.ledger.budgets().any(|(_, budget)| budget.holdings.contains_key(holder))
        || state.attempts.attempts().any(|(_, attempt)| owns(&attempt.state))
}

async fn close(instance: &Instance, shard: ShardIndex, silent: SilentHolder) {
    let SilentHolder { holder, silent_for, rank } = silent;
    event!(
        Event::ClosingSilentHolder,
        "shard={shard} holder={holder} silent_ms={} rank={rank}",
        silent_for.as_millis()
    );
    let closer = Arc::from(format!("silence, seen by {}", instance.settings.name));
    let record = ShardRecord::Close(Close { holder: holder.clone(), closer });
    instance.metrics.log_appends.inc();
    if let Err(error) = instance.deps.log.append(shard.stream(), encode_shard(&record)).await {
        event!(Event::LogUnavailable, "stream={} error={error}", shard.stream());
        return;
    }
    instance.wait_for_shard(shard, READ_BACK_TIMEOUT, |state| state.is_closed(&holder)).await;
}
