//! Conversions between peer messages and the types of the core.

use std::time::Duration;

use coltsfootpick_core::gossip;
use coltsfootpick_core::membership;
use coltsfootpick_core::quarantine::{Fingerprint, Loss, SuspectReport};

use crate::peer as p;

impl From<&membership::Heartbeat> for p::News {
    fn from(value: &membership::Heartbeat) -> Self {
        Self { member: Some((&value.member).into()), beat: value.counter }
    }
}

impl p::News {
    /// Typed news; none when the member is missing.
    pub fn typed(self) -> Option<membership::Heartbeat> {
        let member = self.member?.into();
        Some(membership::Heartbeat { member, counter: self.beat })
    }
}

impl From<&gossip::AgedFact> for p::Rumour {
    fn from(value: &gossip::AgedFact) -> Self {
        let fact = match &value.fact {
            gossip::GossipFact::Leaving { service, server } => {
                p::Fact::Leaving(p::Leaving { service: service.to_string(), server: server.to_string() })
            }
        };
        Self { age: u64::try_from(value.age.as_millis()).unwrap_or(u64::MAX), fact: Some(fact) }
    }
}

impl p::Rumour {
    /// Typed rumour; none when it states no fact that this version knows.
    pub fn typed(self) -> Option<gossip::AgedFact> {
        let rumour = match self.fact? {
            p::Fact::Leaving(leaving) => {
                gossip::GossipFact::Leaving { service: leaving.service.into(), server: leaving.server.into() }
            }
        };
        Some(gossip::AgedFact { fact: rumour, age: Duration::from_millis(self.age) })
    }
}

impl From<&Loss> for p::Loss {
    fn from(value: &Loss) -> Self {
        Self { server: value.server.to_string(), number: value.number }
    }
}

impl From<p::Loss> for Loss {
    fn from(value: p::Loss) -> Self {
        Self { server: value.server.into(), number: value.number }
    }
}

impl From<&SuspectReport> for p::Suspect {
    fn from(value: &SuspectReport) -> Self {
        Self {
            print: value.fingerprint.0.to_vec(),
            lost: value.losses.iter().map(Into::into).collect(),
            excused: value.excused.iter().map(Into::into).collect(),
            left: u64::try_from(value.remaining.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl p::Suspect {
    /// Typed news; none when the fingerprint has another length.
    pub fn typed(self) -> Option<SuspectReport> {
        let fingerprint = Fingerprint(self.print.try_into().ok()?);
        let losses = |list: Vec<p::Loss>| list.into_iter().map(Into::into).collect();
        let remaining = Duration::from_millis(self.left);
        Some(SuspectReport { fingerprint, losses: losses(self.lost), excused: losses(self.excused), remaining })
    }
}
