//! Request whose route, account and credit are settled, and what it has used.

use std::sync::Arc;

use coltsfootpick_core::names::{BackendServerName, ServiceName};
use coltsfootpick_core::quarantine::Fingerprint;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::routes::{Account, Repeat, Route, RouteTable};
use coltsfootpick_core::units::Tokens;
use tokio::time::Instant;

use crate::credit_controller::CreditReservation;
use crate::request::CallerRequest;

/// Events that a server may have sent and that were not read when a stream is cut here.
const EVENTS_ON_THE_WAY: u64 = 10;

/// How much of a generation is paid for.
#[derive(Clone, Copy, Debug)]
pub enum Usage {
    /// It is proved not to have run.
    NotRun,
    /// It runs and brought this many events; dropped now, a few more are on the way.
    Open(u64),
    /// It ended with this many events.
    Complete(u64),
    /// It broke off; the server may have sent more than was read.
    Unknown,
}

/// Request whose route, account and credit are settled.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// What the caller sent.
    pub request: CallerRequest,
    /// Its route.
    pub route: Arc<Route>,
    /// Service that it goes to.
    pub service: ServiceName,
    /// Account that pays.
    pub account: Option<Arc<Account>>,
    /// Most tokens of one event.
    pub stride: u64,
    /// Hash that recognises it when it comes again.
    pub print: Fingerprint,
    /// Moment by which its answer must be whole.
    pub until: Instant,
    /// Tokens set aside.
    pub charge: Option<CreditReservation>,
    /// Servers that it went to, or tried to.
    pub tried: Vec<BackendServerName>,
    /// Servers that it reached.
    pub sends: u32,
    /// Whether it may have run.
    pub has_run: bool,
}

impl AcceptedRequest {
    /// Rank at an engine.
    pub fn rank(&self) -> u8 {
        rank_of(&self.route, self.account.as_deref())
    }

    /// Charges what the request has used as far as it is known; more is never used than this tells.
    pub fn update_usage(&mut self, spent: Usage) {
        let generation = self.request.generation.as_ref();
        let (Some(charge), Some(generation)) = (&mut self.charge, generation) else { return };
        let events = |count: u64| generation.prompt + Tokens(count.saturating_mul(self.stride));
        charge.set_used(match spent {
            Usage::NotRun => Tokens::ZERO,
            Usage::Open(count) => events(count + EVENTS_ON_THE_WAY),
            Usage::Complete(count) => events(count),
            Usage::Unknown => generation.bound(),
        });
    }

    /// Whether another server may be tried after a sending that may have run.
    pub fn may_repeat(&self) -> bool {
        self.route.repeat != Repeat::Once && self.sends < self.route.attempts
    }
}

/// Rank of a request, 0 before all others: the account's goes before the route's.
pub fn rank_of(route: &Route, account: Option<&Account>) -> u8 {
    account.and_then(|account| account.rank).unwrap_or(route.rank)
}

/// Account that pays for a request, if its route needs one.
pub fn account_of(table: &RouteTable, route: &Route, request: &CallerRequest) -> Result<Option<Arc<Account>>, Refusal> {
    let known = request.api_key.as_deref().and_then(|key| table.account_of(key));
    match known {
        Some(account) => Ok(Some(Arc::clone(account))),
        None if route.public || !table.needs_keys() => Ok(None),
        None => {
            let detail =
                format!("route={} version={} has-key={}", route.name, table.version(), request.api_key.is_some());
            Err(Refusal::not_run(Code::Unauthorized, detail))
        }
    }
}
