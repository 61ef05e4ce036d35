//! Membership of the fleet: beats that spread from member to member, and silence measured on one's own clock.
//!
//! Every incarnation counts beats. A member passes on the highest beat it has heard of each incarnation, so that
//! two members without a link hear of each other through a third. Nothing here is agreed: a wrong suspicion costs
//! a closed incarnation, never credit. See `docs/PEERS.md#membership`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::names::{Incarnation, InstanceName};
use crate::units::Instant;

/// Most incarnations remembered, which bounds the memory of a long life.
pub const MEMBERS_MAX: usize = 4_096;

/// Multiple of the silence after which an incarnation is forgotten.
const FORGET_FACTOR: u32 = 8;

/// Highest beat heard of one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incarnation that beats.
    pub member: Incarnation,
    /// Its beat; it only grows.
    pub counter: u64,
}

/// What this instance thinks of an incarnation.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum MemberStatus {
    /// LastSeen of lately, directly or through others.
    Alive,
    /// Not heard of for half the silence.
    Suspect,
    /// Not heard of for the whole silence.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct LastSeen {
    counter: u64,
    at: Instant,
}

/// Beats already told on one link, so that each is told once.
#[derive(Clone, Debug, Default)]
pub struct SentHeartbeats {
    salt: u64,
    beats: BTreeMap<Incarnation, u64>,
}

impl SentHeartbeats {
    /// Starts with nothing told; `salt` makes links of one neighbourhood tell different members first.
    pub fn new(salt: u64) -> Self {
        Self { salt, beats: BTreeMap::new() }
    }

    /// Notes what the other end said, which it need not be told again.
    pub fn note(&mut self, news: &[Heartbeat]) {
        for Heartbeat { member, counter } in news {
            let told = self.beats.entry(member.clone()).or_default();
            *told = (*told).max(*counter);
        }
    }

    fn order(&self, member: &Incarnation) -> u64 {
        xxh3_64_with_seed(member.instance.as_bytes(), self.salt ^ member.run)
    }

    fn gap(&self, member: &Incarnation, counter: u64) -> u64 {
        counter.saturating_sub(self.beats.get(member).copied().unwrap_or_default())
    }
}

/// Incarnations heard of by one instance.
#[derive(Debug, Default)]
pub struct Membership {
    own: BTreeSet<Incarnation>,
    counter: u64,
    heard: BTreeMap<Incarnation, LastSeen>,
}

impl Membership {
    /// Counts one beat of this instance, which now runs as `own`.
    pub fn tick(&mut self, own: BTreeSet<Incarnation>, now: Instant, silence: Duration) {
        self.counter += 1;
        for member in &own {
            self.heard.insert(member.clone(), LastSeen { counter: self.counter, at: now });
        }
        self.own = own;
        self.heard.retain(|_, heard| now.since(heard.at) < silence * FORGET_FACTOR);
    }

    /// Takes in what another member has heard.
    pub fn merge(&mut self, news: &[Heartbeat], now: Instant) {
        for Heartbeat { member, counter } in news {
            let known = self.heard.get(member).map(|heard| heard.counter);
            let is_news = match known {
                _ if self.own.contains(member) => false,
                Some(known) => known < *counter,
                None => self.heard.len() < MEMBERS_MAX,
            };
            if is_news {
                self.heard.insert(member.clone(), LastSeen { counter: *counter, at: now });
            }
        }
    }

    /// Notes a sign of life that came another way, such as a record on the log.
    pub fn mark_live(&mut self, member: &Incarnation, now: Instant) {
        if let Some(heard) = self.heard.get_mut(member) {
            heard.at = now;
        } else if self.heard.len() < MEMBERS_MAX {
            self.heard.insert(member.clone(), LastSeen { counter: 0, at: now });
        }
    }

    /// At most `max` beats for one link, those that it lags behind most first; none twice and none of the silent.
    pub fn heartbeats_for(
        &self,
        told: &mut SentHeartbeats,
        max: usize,
        now: Instant,
        silence: Duration,
    ) -> Vec<Heartbeat> {
        let fresh = self.heard.iter().filter(|(_, heard)| now.since(heard.at) < silence);
        let mut lags: Vec<_> = fresh
            .map(|(member, heard)| {
                (self.own.contains(member), told.gap(member, heard.counter), told.order(member), member, heard)
            })
            .filter(|(_, gap, ..)| *gap > 0)
            .collect();
        lags.sort_unstable_by_key(|(is_own, gap, order, ..)| std::cmp::Reverse((*is_own, *gap, *order)));
        let news: Vec<Heartbeat> = lags
            .into_iter()
            .take(max)
            .map(|(.., member, heard)| Heartbeat { member: member.clone(), counter: heard.counter })
            .collect();
        told.note(&news);
        told.beats.retain(|member, _| self.heard.contains_key(member));
        news
    }

    /// Time since `member` was last heard of; a member never heard of counts from now on.
    pub fn silence(&mut self, member: &Incarnation, now: Instant) -> Duration {
        match self.heard.get(member) {
            Some(heard) => now.since(heard.at),
            None => {
                self.mark_live(member, now);
                Duration::ZERO
            }
        }
    }

    /// What this instance thinks of `member`.
    pub fn status(&self, member: &Incarnation, now: Instant, silence: Duration) -> MemberStatus {
        match self.heard.get(member).map(|heard| now.since(heard.at)) {
            Some(quiet) if quiet < silence / 2 => MemberStatus::Alive,
            Some(quiet) if quiet < silence => MemberStatus::Suspect,
            _ => MemberStatus::Silent,
        }
    }

    /// All incarnations heard of, with the time since.
    pub fn members(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, Duration)> {
        self.heard.iter().map(move |(member, heard)| (member, now.since(heard.at)))
    }

    /// Instances with an incarnation that is not silent.
    pub fn instances(&self, now: Instant, silence: Duration) -> BTreeSet<InstanceName> {
        let fresh = self.heard.iter().filter(|(_, heard)| now.since(heard.at) < silence);
        fresh.map(|(member, _)| member.instance.clone()).collect()
    }
}

/// Orders `instances` by their rendezvous weight for `key`, the home first.
///
/// An instance that comes or goes moves only the keys whose home it is or becomes.
pub fn rendezvous_order<'a>(key: &str, instances: impl IntoIterator<Item = &'a InstanceName>) -> Vec<&'a InstanceName> {
    let weight = |name: &InstanceName| xxh3_64(format!("{key}\n{name}").as_bytes());
    let mut ranked: Vec<&InstanceName> = instances.into_iter().collect();
    ranked.sort_by_key(|name| (std::cmp::Reverse(weight(name)), (*name).clone()));
    ranked
}

/// Instances that `own` opens links to: all with a greater name while the fleet is small, else its successor and
/// the first rendezvous_order of its name, so that the links of a large fleet stay bounded and connected.
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
