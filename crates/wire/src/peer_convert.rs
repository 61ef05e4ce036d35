//! Conversions between peer messages and the types of the core.

use std::time::Duration;

use coltsfootpick_core::gossip;
use coltsfootpick_core::membership;
use coltsfootpick_core::quarantine::{Fingerprint, Loss, SuspectReport};

use crate::peer::{
    GossipFactKind, GossipFactMessage, LeavingServerMessage, MemberHeartbeatMessage, ServerLossMessage,
    SuspectReportMessage,
};

impl From<&membership::Heartbeat> for MemberHeartbeatMessage {
    fn from(value: &membership::Heartbeat) -> Self {
        Self { member: Some((&value.member).into()), counter: value.counter }
    }
}

impl MemberHeartbeatMessage {
    /// Converts to the core's type; `None` when the message names no member.
    pub fn into_heartbeat(self) -> Option<membership::Heartbeat> {
        let member = self.member?.into();
        Some(membership::Heartbeat { member, counter: self.counter })
    }
}

impl From<&gossip::AgedFact> for GossipFactMessage {
    fn from(value: &gossip::AgedFact) -> Self {
        let fact = match &value.fact {
            gossip::GossipFact::Leaving { service, server } => GossipFactKind::Leaving(LeavingServerMessage {
                service: service.to_string(),
                server: server.to_string(),
            }),
        };
        Self { age: u64::try_from(value.age.as_millis()).unwrap_or(u64::MAX), fact: Some(fact) }
    }
}

impl GossipFactMessage {
    /// Converts to the core's type; `None` when this version does not know the kind of fact.
    pub fn into_fact(self) -> Option<gossip::AgedFact> {
        let fact = match self.fact? {
            GossipFactKind::Leaving(leaving) => {
                gossip::GossipFact::Leaving { service: leaving.service.into(), server: leaving.server.into() }
            }
        };
        Some(gossip::AgedFact { fact, age: Duration::from_millis(self.age) })
    }
}

impl From<&Loss> for ServerLossMessage {
    fn from(value: &Loss) -> Self {
        Self { server: value.server.to_string(), number: value.number }
    }
}

impl From<ServerLossMessage> for Loss {
    fn from(value: ServerLossMessage) -> Self {
        Self { server: value.server.into(), number: value.number }
    }
}

impl From<&SuspectReport> for SuspectReportMessage {
    fn from(value: &SuspectReport) -> Self {
        Self {
            fingerprint: value.fingerprint.0.to_vec(),
            losses: value.losses.iter().map(Into::into).collect(),
            excused: value.excused.iter().map(Into::into).collect(),
            remaining: u64::try_from(value.remaining.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl SuspectReportMessage {
    /// Converts to the core's type; `None` when the fingerprint has another length than in this version.
    pub fn into_report(self) -> Option<SuspectReport> {
        let fingerprint = Fingerprint(self.fingerprint.try_into().ok()?);
        let losses = |list: Vec<ServerLossMessage>| list.into_iter().map(Into::into).collect();
        let remaining = Duration::from_millis(self.remaining);
        Some(SuspectReport { fingerprint, losses: losses(self.losses), excused: losses(self.excused), remaining })
    }
}
