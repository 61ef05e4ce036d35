//! Selection of the instances to which one that has lost its path to the backend servers forwards requests.
//!
//! An instance asks a few others whether they take requests: those of its own availability zone and of others in turn, so
//! that the loss of a whole zone leaves somebody to ask. See `docs/FORWARDING.md#peers`.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::home_regions::RequestHomes;
use crate::names::{AvailabilityZoneName, RegionName, ServiceName};
use crate::units::Instant;

/// Instances asked in one round.
pub const ASKED_MAX: usize = 8;

/// Instances that take requests, from which no further ones are looked for.
const ACCEPTING_WANTED: usize = 4;

/// Time for which an answer counts.
const ANSWER_TTL: Duration = Duration::from_millis(1_200);

/// Requests that a nearer instance may have open more than one in another zone.
const NEAR_BONUS: u64 = 4;

/// Peers in the home regions of recent requests that are kept known in addition.
const HOME_WANTED: usize = 2;

/// Time for which peers are asked on behalf of a request that found none in its home regions.
const HOMES_TTL: Duration = Duration::from_secs(5);

/// Maximum number of different home regions for which peers are looked for at the same time.
const HOMES_MAX: usize = 8;

/// Open requests of others at a peer that weigh as much as one forwarded to it.
const OTHERS_WEIGHT: u64 = 8;

/// What a peer last told of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// Whether it takes requests of others.
    pub accepts: bool,
    /// Services to whose servers it has no path.
    pub lost: BTreeSet<ServiceName>,
    /// Version of its document.
    pub document: u64,
    /// Requests open at it.
    pub open: u64,
    /// Region of the peer, if it declares that it enforces home regions.
    pub home_region: Option<RegionName>,
    /// When it told so.
    pub at: Instant,
}

impl PeerState {
    /// Whether the peer may be given a request with these home regions.
    pub fn is_home(&self, homes: &RequestHomes) -> bool {
        homes.is_unrestricted() || self.home_region.as_ref().is_some_and(|region| homes.allows(region))
    }
}

/// Instance that may take requests.
#[derive(Clone, Debug)]
pub struct ForwardPeer {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Availability zone of the instance.
    pub zone: AvailabilityZoneName,
    /// What it last told; `None` if it did not answer when it was last asked.
    pub state: Option<PeerState>,
    /// Requests that this instance has forwarded to it and that are open.
    pub forwarded: u64,
}

impl ForwardPeer {
    fn takes(&self, service: &ServiceName, document: u64, homes: &RequestHomes, now: Instant) -> bool {
        self.state.as_ref().is_some_and(|state| {
            state.accepts
                && now.since(state.at) < ANSWER_TTL
                && state.document >= document
                && !state.lost.contains(service)
                && state.is_home(homes)
        })
    }

    fn is_accepting(&self, now: Instant) -> bool {
        self.state.as_ref().is_some_and(|state| state.accepts && now.since(state.at) < ANSWER_TTL * 2)
    }

    fn is_home(&self, homes: &RequestHomes) -> bool {
        self.state.as_ref().is_some_and(|state| state.is_home(homes))
    }
}

/// Peers as one instance knows them.
#[derive(Clone, Debug)]
pub struct ForwardPeers {
    own_name: Arc<str>,
    own_zone: AvailabilityZoneName,
    /// Peers in the order in which they are asked.
    peers: Vec<ForwardPeer>,
    /// Number of peers that were asked since all were.
    cursor: usize,
    /// Home regions of recent requests for which peers are looked for, and when the last such request came.
    sought: Vec<(RequestHomes, Instant)>,
}

impl ForwardPeers {
    /// List without peers for the instance `own_name` in `own_zone`.
    pub const fn new(own_name: Arc<str>, own_zone: AvailabilityZoneName) -> Self {
        Self { own_name, own_zone, peers: Vec::new(), cursor: 0, sought: Vec::new() }
    }

    /// Adds a peer, or replaces the one of the same name after its restart.
    pub fn insert(&mut self, name: &Arc<str>, zone: &AvailabilityZoneName) {
        if *name == self.own_name {
            return;
        }
        self.peers.retain(|peer| peer.name != *name);
        self.peers.push(ForwardPeer { name: Arc::clone(name), zone: zone.clone(), state: None, forwarded: 0 });
        self.sort();
    }

    /// Orders own zone and others in turn, each by a hash that differs by instance, so that the load spreads.
    fn sort(&mut self) {
        let weight = |peer: &ForwardPeer| xxh3_64(format!("{}\n{}", self.own_name, peer.name).as_bytes());
        self.peers.sort_by_cached_key(weight);
        let own_zone = self.own_zone.clone();
        let (near, far): (Vec<_>, Vec<_>) = self.peers.drain(..).partition(|peer| peer.zone == own_zone);
        let (mut near, mut far) = (near.into_iter(), far.into_iter());
        loop {
            let pair = [near.next(), far.next()];
            if pair.iter().all(Option::is_none) {
                return;
            }
            self.peers.extend(pair.into_iter().flatten());
        }
    }

    /// Number of peers.
    pub const fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer is known.
    pub const fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Peers to ask now: those that take requests, and further ones until enough do.
    pub fn to_ask(&mut self, now: Instant) -> Vec<Arc<str>> {
        self.sought.retain(|(_, at)| now.since(*at) < HOMES_TTL);
        let accepting: Vec<&ForwardPeer> = self.peers.iter().filter(|peer| peer.is_accepting(now)).collect();
        let name = |peer: &&ForwardPeer| Arc::clone(&peer.name);
        let mut asked: Vec<Arc<str>> = accepting.iter().take(ACCEPTING_WANTED).map(name).collect();
        let mut has_enough = asked.len() >= ACCEPTING_WANTED;
        for (homes, _) in &self.sought {
            let found: Vec<Arc<str>> =
                accepting.iter().filter(|peer| peer.is_home(homes)).take(HOME_WANTED).map(name).collect();
            has_enough &= found.len() >= HOME_WANTED;
            asked.extend(found.into_iter().filter(|name| !asked.contains(name)).collect::<Vec<_>>());
        }
        let wanted = match has_enough {
            true => asked.len(),
            // Peers outside the home regions must not take the places of those that are looked for.
            false if !self.sought.is_empty() => (asked.len() + ASKED_MAX).min(self.peers.len()),
            false => ASKED_MAX.min(self.peers.len()),
        };
        for _ in 0..self.peers.len() {
            if asked.len() >= wanted {
                break;
            }
            let peer = &self.peers[self.cursor % self.peers.len()];
            self.cursor = (self.cursor + 1) % self.peers.len();
            if !asked.contains(&peer.name) {
                asked.push(Arc::clone(&peer.name));
            }
        }
        asked
    }

    /// Records what a peer told, or that it did not answer.
    pub fn note_state(&mut self, name: &str, state: Option<PeerState>) {
        if let Some(peer) = self.find(name) {
            peer.state = state;
        }
    }

    /// Has peers in these home regions looked for.
    pub fn seek(&mut self, homes: &RequestHomes, now: Instant) {
        if homes.is_unrestricted() {
            return;
        }
        self.sought.retain(|(known, _)| known != homes);
        if self.sought.len() >= HOMES_MAX {
            self.sought.remove(0);
        }
        self.sought.push((homes.clone(), now));
    }

    /// Peer that takes a request for `service` with these home regions handled by `document` or a newer version, and is
    /// not in `tried`.
    pub fn choose(
        &self,
        service: &ServiceName,
        document: u64,
        homes: &RequestHomes,
        tried: &[Arc<str>],
        now: Instant,
    ) -> Option<Arc<str>> {
        let takes = |peer: &&ForwardPeer| peer.takes(service, document, homes, now) && !tried.contains(&peer.name);
        let usable = self.peers.iter().filter(takes);
        let cost = |peer: &&ForwardPeer| {
            let others = peer.state.as_ref().map_or(0, |state| state.open) / OTHERS_WEIGHT;
            peer.forwarded + others + if peer.zone == self.own_zone { 0 } else { NEAR_BONUS }
        };
        usable.min_by_key(cost).map(|peer| Arc::clone(&peer.name))
    }

    /// Counts a request forwarded to a peer.
    pub fn note_started(&mut self, name: &str) {
        if let Some(peer) = self.find(name) {
            peer.forwarded += 1;
        }
    }

    /// Counts the end of a forwarded request.
    pub fn note_ended(&mut self, name: &str) {
        if let Some(peer) = self.find(name) {
            peer.forwarded = peer.forwarded.saturating_sub(1);
        }
    }

    fn find(&mut self, name: &str) -> Option<&mut ForwardPeer> {
        self.peers.iter_mut().find(|peer| *peer.name == *name)
    }
}
