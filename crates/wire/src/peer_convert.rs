//! Conversions between peer messages and the types of the core.

use std::time::Duration;

use coltsfootpick_core::membership;
use coltsfootpick_core::quarantine::{Fingerprint, Loss, SuspectNews};
use coltsfootpick_core::rumours;

use crate::peer::{
    GossipFactKind, GossipFactMessage, LeavingServerMessage, MemberHeartbeatMessage, ServerLossMessage,
    SuspectReportMessage,
};

impl From<&membership::News> for MemberHeartbeatMessage {
    fn from(value: &membership::News) -> Self {
        Self { member: Some((&value.member).into()), counter: value.beat }
    }
}

impl MemberHeartbeatMessage {
    /// Converts to the core's type; `None` when the message names no member.
    pub fn into_heartbeat(self) -> Option<membership::News> {
        let member = self.member?.into();
        Some(membership::News { member, beat: self.counter })
    }
}

impl From<&rumours::Aged> for GossipFactMessage {
    fn from(value: &rumours::Aged) -> Self {
        let fact = match &value.rumour {
            rumours::Rumour::Leaving { service, server } => GossipFactKind::Leaving(LeavingServerMessage {
                service: service.to_string(),
                server: server.to_string(),
            }),
        };
        Self { age: u64::try_from(value.age.as_millis()).unwrap_or(u64::MAX), fact: Some(fact) }
    }
}

impl GossipFactMessage {
    /// Converts to the core's type; `None` when this version does not know the kind of fact.
    pub fn into_fact(self) -> Option<rumours::Aged> {
        let rumour = match self.fact? {
            GossipFactKind::Leaving(leaving) => {
                rumours::Rumour::Leaving { service: leaving.service.into(), server: leaving.server.into() }
            }
        };
        Some(rumours::Aged { rumour, age: Duration::from_millis(self.age) })
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

impl From<&SuspectNews> for SuspectReportMessage {
    fn from(value: &SuspectNews) -> Self {
        Self {
            fingerprint: value.print.0.to_vec(),
            losses: value.lost.iter().map(Into::into).collect(),
            excused: value.excused.iter().map(Into::into).collect(),
            remaining: u64::try_from(value.left.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl SuspectReportMessage {
    /// Converts to the core's type; `None` when the fingerprint's length is not the one of this version.
    pub fn into_report(self) -> Option<SuspectNews> {
        let print = Fingerprint(self.fingerprint.try_into().ok()?);
        let losses = |list: Vec<ServerLossMessage>| list.into_iter().map(Into::into).collect();
        let left = Duration::from_millis(self.remaining);
        Some(SuspectNews { print, lost: losses(self.losses), excused: losses(self.excused), left })
    }
}
