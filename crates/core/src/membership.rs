//! Fleet membership and failure detection by gossiped heartbeats.
//!
//! Every incarnation increments a heartbeat counter. Members forward the highest counter that they know of each
//! incarnation, so that two members without a link learn of each other through a third. Each instance measures the
//! time since the last heartbeat on its own clock. There is no consensus: a wrong suspicion can close a live
//! incarnation, but never loses credit. See `docs/PEERS.md#membership`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::names::{Incarnation, InstanceName};
use crate::units::Instant;

/// Maximum number of remembered incarnations, which limits the memory use of a long-running instance.
pub const MEMBERS_MAX: usize = 4_096;

/// Multiple of the failure timeout after which an incarnation is forgotten.
const FORGET_FACTOR: u32 = 8;

/// Highest known heartbeat counter of an incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incarnation that sent the heartbeat.
    pub member: Incarnation,
    /// Number of the heartbeat, which only increases.
    pub counter: u64,
}

/// Status of an incarnation as one instance sees it.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum MemberStatus {
    /// Its last heartbeat is recent.
    Alive,
    /// Its last heartbeat is older than half the failure timeout.
    Suspect,
    /// Its last heartbeat is older than the failure timeout, or unknown.
    Silent,
}

/// Highest heartbeat counter of an incarnation, and when this instance learned of it.
#[derive(Clone, Copy, Debug)]
struct LastSeen {
    counter: u64,
    at: Instant,
}

/// Heartbeat counters already sent over a link, so that each is sent once.
#[derive(Clone, Debug, Default)]
pub struct SentHeartbeats {
    salt: u64,
    counters: BTreeMap<Incarnation, u64>,
}

impl SentHeartbeats {
    /// Creates an empty record; a different `salt` per link makes neighbouring links send different members first.
    pub fn new(salt: u64) -> Self {
        Self { salt, counters: BTreeMap::new() }
    }

    /// Records heartbeats received from the other end, which need not be sent back.
    pub fn record(&mut self, heartbeats: &[Heartbeat]) {
        for Heartbeat { member, counter } in heartbeats {
            let sent = self.counters.entry(member.clone()).or_default();
            *sent = (*sent).max(*counter);
        }
    }

    /// Returns the hash that orders members with an equal lag.
    fn order(&self, member: &Incarnation) -> u64 {
        xxh3_64_with_seed(member.instance.as_bytes(), self.salt ^ member.run)
    }

    /// Returns how far the other end is behind `counter`.
    fn lag(&self, member: &Incarnation, counter: u64) -> u64 {
        counter.saturating_sub(self.counters.get(member).copied().unwrap_or_default())
    }
}

/// Incarnations known to one instance.
#[derive(Debug, Default)]
pub struct Membership {
    own: BTreeSet<Incarnation>,
    counter: u64,
    seen: BTreeMap<Incarnation, LastSeen>,
}

impl Membership {
    /// Increments the heartbeat counter of this instance, which runs as the incarnations `own`, and drops old members.
    pub fn tick(&mut self, own: BTreeSet<Incarnation>, now: Instant, timeout: Duration) {
        self.counter += 1;
        for member in &own {
            self.seen.insert(member.clone(), LastSeen { counter: self.counter, at: now });
        }
        self.own = own;
        self.seen.retain(|_, seen| now.since(seen.at) < timeout * FORGET_FACTOR);
    }

    /// Merges heartbeats received from another member.
    pub fn merge(&mut self, heartbeats: &[Heartbeat], now: Instant) {
        for Heartbeat { member, counter } in heartbeats {
            let known = self.seen.get(member).map(|seen| seen.counter);
            let is_newer = match known {
                _ if self.own.contains(member) => false,
                Some(known) => known < *counter,
                None => self.seen.len() < MEMBERS_MAX,
            };
            if is_newer {
                self.seen.insert(member.clone(), LastSeen { counter: *counter, at: now });
            }
        }
    }

    /// Marks `member` as seen now for another reason than a heartbeat, such as a record on the log.
    pub fn mark_live(&mut self, member: &Incarnation, now: Instant) {
        if let Some(seen) = self.seen.get_mut(member) {
            seen.at = now;
        } else if self.seen.len() < MEMBERS_MAX {
            self.seen.insert(member.clone(), LastSeen { counter: 0, at: now });
        }
    }

    /// Returns at most `max` heartbeats to send over a link, and records them in `sent`.
    ///
    /// Own incarnations come first, then those whose counter lags most at the other end. Silent members are left out.
    pub fn heartbeats_for(
        &self,
        sent: &mut SentHeartbeats,
        max: usize,
        now: Instant,
        timeout: Duration,
    ) -> Vec<Heartbeat> {
        let live = self.seen.iter().filter(|(_, seen)| now.since(seen.at) < timeout);
        let mut lags: Vec<_> = live
            .map(|(member, seen)| {
                (self.own.contains(member), sent.lag(member, seen.counter), sent.order(member), member, seen)
            })
            .filter(|(_, lag, ..)| *lag > 0)
            .collect();
        lags.sort_unstable_by_key(|(is_own, lag, order, ..)| std::cmp::Reverse((*is_own, *lag, *order)));
        let heartbeats: Vec<Heartbeat> = lags
            .into_iter()
            .take(max)
            .map(|(.., member, seen)| Heartbeat { member: member.clone(), counter: seen.counter })
            .collect();
        sent.record(&heartbeats);
        sent.counters.retain(|member, _| self.seen.contains_key(member));
        heartbeats
    }

    /// Returns the time since `member` was last seen; an unknown member counts as seen now.
    pub fn silence(&mut self, member: &Incarnation, now: Instant) -> Duration {
        match self.seen.get(member) {
            Some(seen) => now.since(seen.at),
            None => {
                self.mark_live(member, now);
                Duration::ZERO
            }
        }
    }

    /// Returns the status of `member` with a failure timeout of `timeout`.
    pub fn status(&self, member: &Incarnation, now: Instant, timeout: Duration) -> MemberStatus {
        match self.seen.get(member).map(|seen| now.since(seen.at)) {
            Some(quiet) if quiet < timeout / 2 => MemberStatus::Alive,
            Some(quiet) if quiet < timeout => MemberStatus::Suspect,
            _ => MemberStatus::Silent,
        }
    }

    /// Iterates over the known incarnations, with the time since each was last seen.
    pub fn members(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, Duration)> {
        self.seen.iter().map(move |(member, seen)| (member, now.since(seen.at)))
    }

    /// Returns the instances that have a live incarnation, one seen within `timeout`.
    pub fn instances(&self, now: Instant, timeout: Duration) -> BTreeSet<InstanceName> {
        let live = self.seen.iter().filter(|(_, seen)| now.since(seen.at) < timeout);
        live.map(|(member, _)| member.instance.clone()).collect()
    }
}

/// Orders `instances` by their rendezvous hash weight for `key`, the highest first.
///
/// When an instance joins or leaves, the first instance changes only for the keys that rank that instance first.
pub fn rendezvous_order<'a>(key: &str, instances: impl IntoIterator<Item = &'a InstanceName>) -> Vec<&'a InstanceName> {
    let weight = |name: &InstanceName| xxh3_64(format!("{key}\n{name}").as_bytes());
    let mut ranked: Vec<&InstanceName> = instances.into_iter().collect();
    ranked.sort_by_key(|name| (std::cmp::Reverse(weight(name)), (*name).clone()));
    ranked
}

/// Returns the instances that `own` opens links to.
///
/// With at most `max` others, these are all instances with a greater name, so that each pair has one link. Otherwise
/// they are the next instance by name, which keeps the fleet connected, and the first in the rendezvous order for
/// `own`, `max / 2` in total.
pub fn neighbours<'a>(own: &InstanceName, instances: &'a BTreeSet<InstanceName>, max: usize) -> Vec<&'a InstanceName> {
    let others = instances.iter().filter(|name| *name != own);
    if others.clone().count() <= max {
        return others.filter(|name| *name > own).collect();
    }
    let dialed = (max / 2).max(1);
    let successor = instances.iter().find(|name| *name > own).or_else(|| instances.first());
    let ranked = rendezvous_order(own, others);
    let mut chosen: Vec<&InstanceName> = successor.into_iter().filter(|name| *name != own).collect();
    chosen.extend(ranked.into_iter().filter(|name| Some(*name) != successor).take(dialed - 1));
    chosen
}
