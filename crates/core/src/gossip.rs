//! Facts seen by one instance that all instances must know soon; each spreads over every link once.
//!
//! A fact carries its age and dies of it, so that it cannot circle. See `docs/PEERS.md#rumours`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::{BackendServerName, ServiceName};
use crate::units::Instant;

/// Age at which a fact is forgotten; the platform's list has long caught up by then.
pub const FACT_TTL: Duration = Duration::from_secs(60);

/// Most rumours held at once.
pub const FACTS_MAX: usize = 1_024;

/// Fact worth spreading.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GossipFact {
    /// A backend server is leaving and takes no new work.
    Leaving {
        /// Service that it runs.
        service: ServiceName,
        /// Name of the server.
        server: BackendServerName,
    },
}

/// A fact with its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgedFact {
    /// GossipFact.
    pub fact: GossipFact,
    /// Time since it was first seen anywhere.
    pub age: Duration,
}

/// Gossip live at one instance.
#[derive(Debug, Default)]
pub struct Gossip {
    expiries: BTreeMap<GossipFact, Instant>,
}

impl Gossip {
    /// Takes a fact in and tells whether it is new and must be passed on.
    pub fn add(&mut self, aged: AgedFact, now: Instant) -> bool {
        self.expiries.retain(|_, end| now < *end);
        let left = FACT_TTL.saturating_sub(aged.age);
        let refused = left.is_zero() || self.expiries.contains_key(&aged.fact) || self.expiries.len() >= FACTS_MAX;
        if refused {
            return false;
        }
        self.expiries.insert(aged.fact, now.after(left));
        true
    }

    /// All rumours live at `now`, for a new link.
    pub fn live(&self, now: Instant) -> Vec<AgedFact> {
        let live = self.expiries.iter().filter(|(_, end)| now < **end);
        live.map(|(fact, end)| AgedFact { fact: fact.clone(), age: FACT_TTL.saturating_sub(end.since(now)) }).collect()
    }
}
