//! Facts that all instances must learn soon, spread by gossip: each fact is sent once over every link.
//!
//! Every fact carries its age and expires, so that it cannot circulate forever. See `docs/PEERS.md#rumours`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::{BackendServerName, ServiceName};
use crate::units::Instant;

/// Age at which a fact expires, long after the platform's list includes it.
pub const FACT_TTL: Duration = Duration::from_secs(60);

/// Maximum number of facts kept at a time.
pub const FACTS_MAX: usize = 1_024;

/// Fact that one instance has observed and passes on to all.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GossipFact {
    /// A backend server is leaving and accepts no new work.
    Leaving {
        /// Service that it runs.
        service: ServiceName,
        /// Name of the server.
        server: BackendServerName,
    },
}

/// Fact with its age.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgedFact {
    /// Fact that was observed.
    pub fact: GossipFact,
    /// Time since an instance first observed it.
    pub age: Duration,
}

/// Facts known to one instance that have not expired.
#[derive(Debug, Default)]
pub struct Gossip {
    expiries: BTreeMap<GossipFact, Instant>,
}

impl Gossip {
    /// Adds a fact, and returns whether it is new and must be passed on.
    pub fn add(&mut self, aged: AgedFact, now: Instant) -> bool {
        self.expiries.retain(|_, end| now < *end);
        let left = FACT_TTL.saturating_sub(aged.age);
        let is_ignored = left.is_zero() || self.expiries.contains_key(&aged.fact) || self.expiries.len() >= FACTS_MAX;
        if is_ignored {
            return false;
        }
        self.expiries.insert(aged.fact, now.after(left));
        true
    }

    /// Returns all facts that have not expired, to be sent over a new link.
    pub fn live(&self, now: Instant) -> Vec<AgedFact> {
        let live = self.expiries.iter().filter(|(_, end)| now < **end);
        live.map(|(fact, end)| AgedFact { fact: fact.clone(), age: FACT_TTL.saturating_sub(end.since(now)) }).collect()
    }
}
