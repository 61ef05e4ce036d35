//! Task that closes silent incarnations on the shards where they hold something.
//!
//! Closing reads clocks only to decide when; what it does to credit follows from the log alone, and a holder that
//! was merely paused stays honest by the same order. See `docs/PEERS.md#silence`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::attempts::AttemptState;
use coltsfootpick_core::membership::homes;
use coltsfootpick_core::names::Incarnation;
use coltsfootpick_core::record::{Close, ShardRecord};
use coltsfootpick_core::shard::{Shard, ShardIndex};
use coltsfootpick_core::units::Instant;
use coltsfootpick_wire::envelope::encode_shard;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;
use crate::peer_link::link_deadline;

/// Longest wait until a close was read back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Holders that were silent and held nothing, with their last batch, so that they are not looked at again.
type Idle = BTreeMap<(ShardIndex, Incarnation), u64>;

/// An incarnation to close.
#[derive(Debug)]
struct Silent {
    holder: Incarnation,
    quiet: Duration,
    rank: usize,
}

/// Closes silent incarnations until the instance stops.
pub async fn close_silent(instance: Arc<Instance>) {
    let mut interval = tokio::time::interval(instance.settings.heartbeat_interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut idle = Idle::new();
    let mut last = instance.deps.clock.now();
    let mut trusted = last.after(instance.settings.silence_timeout);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        let now = instance.deps.clock.now();
        trusted = trusted.max(trusted_from(&instance, last, now));
        last = now;
        if now < trusted {
            continue;
        }
        for shard in (0..instance.settings.shards).map(ShardIndex) {
            for silent in silent_holders(&instance, shard, now, &mut idle) {
                close(&instance, shard, silent).await;
            }
        }
    }
}

/// Moment from which silence means something: a paused or cut off instance has first to hear what it missed.
fn trusted_from(instance: &Instance, last: Instant, now: Instant) -> Instant {
    let silence = instance.settings.silence_timeout;
    let was_paused = now.since(last) > silence / 2;
    match was_paused || !instance.peers.is_log_reached() {
        true => now.after(silence),
        false => Instant::default(),
    }
}

fn silent_holders(instance: &Instance, shard: ShardIndex, now: Instant, idle: &mut Idle) -> Vec<Silent> {
    if !instance.is_shard_caught_up(shard) {
        return Vec::new();
    }
    let cell = instance.board.shards[shard.0 as usize].lock();
    let mut membership = instance.board.membership.lock();
    let silence = instance.settings.silence_timeout;
    let alive = membership.instances(now, silence);
    let mut silent = Vec::new();
    for holder in cell.fold.open_holders().filter(|holder| *holder != cell.wallet.holder()) {
        let quiet = membership.silence(holder, now);
        let sequence = cell.fold.sequence(holder);
        let known = (shard, holder.clone());
        if quiet < silence || idle.get(&known) == Some(&sequence) {
            continue;
        }
        if !holds_anything(&cell.fold, holder) {
            idle.insert(known, sequence);
            continue;
        }
        let ranked = homes(&holder.to_string(), alive.iter().chain([&instance.settings.name]));
        let rank = ranked.iter().position(|name| **name == instance.settings.name).unwrap_or_default();
        // Later homes wait longer, so that one close is usual and the death of the first home delays it only.
        if quiet >= silence + link_deadline(instance) * u32::try_from(rank).unwrap_or(u32::MAX) {
            silent.push(Silent { holder: holder.clone(), quiet, rank });
        }
    }
    silent
}

fn holds_anything(fold: &Shard, holder: &Incarnation) -> bool {
    let owns = |state: &AttemptState| matches!(state, AttemptState::Claimed { owner } if owner == holder);
    fold.ledger.accounts().any(|(_, account)| account.holdings.contains_key(holder))
        || fold.attempts.attempts().any(|(_, attempt)| owns(&attempt.state))
}

async fn close(instance: &Instance, shard: ShardIndex, silent: Silent) {
    let Silent { holder, quiet, rank } = silent;
    event!(Event::ClosingSilent, "shard={shard} holder={holder} silent_ms={} rank={rank}", quiet.as_millis());
    let closer = Arc::from(format!("silence, seen by {}", instance.settings.name));
    let record = ShardRecord::Close(Close { holder: holder.clone(), closer });
    instance.metrics.appends.inc();
    if let Err(error) = instance.deps.log.append(shard.stream(), encode_shard(&record)).await {
        event!(Event::LogUnavailable, "stream={} error={error}", shard.stream());
        return;
    }
    instance.wait_for_shard(shard, READ_BACK_TIMEOUT, |fold| fold.is_closed(&holder)).await;
}
