//! State of an admitted request: its route, client account, reserved credit, and the tokens that it may have used.

use std::sync::Arc;

use coltsfootpick_core::names::{BackendServerName, ClientAccountName, ServiceName};
use coltsfootpick_core::quarantine::Fingerprint;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::routes::{AccountSpec, RepeatPolicy, Route, RouteTable};
use coltsfootpick_core::selection::Generation;
use coltsfootpick_core::stream_origins::{StreamKey, StreamOrigin};
use coltsfootpick_core::units::Tokens;
use tokio::time::Instant;

use crate::crash_detection::PartTrial;
use crate::credit_controller::CreditReservation;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::request::CallerRequest;

/// Events that a stream may contain beyond one for each output token, such as comments and an end mark.
const EVENTS_BEYOND_OUTPUT: u64 = 1_024;

/// Progress of a generation, from which its charge is computed.
#[derive(Clone, Copy, Debug)]
pub enum GenerationProgress {
    /// The generation is proved not to have run.
    NotRun,
    /// The generation may be running or may have broken off. Sockets and links may hold any part of its output, so it is
    /// charged in full.
    Started,
    /// The generation ended with this many events.
    Complete(u64),
}

/// Admitted request with its route, client account and credit.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// Request as the caller sent it.
    pub request: CallerRequest,
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// Service chosen from the route's traffic split.
    pub service: ServiceName,
    /// Client account that pays, if the route needs one.
    pub account: Option<Arc<AccountSpec>>,
    /// Maximum number of output tokens in one event of the stream.
    pub event_tokens: u64,
    /// Hash that recognises the request when the caller sends it again.
    pub fingerprint: Fingerprint,
    /// Instant by which the response must be complete.
    pub deadline: Instant,
    /// Key under which other instances learn of the stream.
    pub stream: StreamKey,
    /// Servers at which the stream may go on; `None` until it has brought an event.
    pub origin: Option<StreamOrigin>,
    /// Reserved tokens, if the account is limited and the request is a generation.
    pub reservation: Option<CreditReservation>,
    /// Servers already tried, whether or not the request reached them.
    pub tried_servers: Vec<BackendServerName>,
    /// Tokens that runs which broke off may have sent without being relayed; they are charged beside the answer.
    pub lost: Tokens,
    /// Marks the suspected parts of the prompt as on trial, until the request is answered.
    pub trial: Option<PartTrial>,
    /// Number of dispatches that reached any server, the expected one or another at its address.
    pub arrivals: u32,
    /// Number of dispatches that reached the expected server.
    pub dispatches: u32,
    /// Whether the request may have run on a server.
    pub maybe_run: bool,
    /// Whether another instance has sent the request to a server before.
    pub sent_elsewhere: bool,
    /// Whether the generation was answered whole.
    pub is_whole: bool,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let Some(reservation) = self.reservation.as_ref().filter(|_| !self.is_whole) else { return };
        let (bound, used) = (reservation.bound(), reservation.used());
        if !used.is_zero() {
            log_event!(
                LogEvent::PartialCharge,
                "request={} account={} bound={bound} used={used} sends={}",
                self.request.id,
                self.account_name(),
                self.dispatches
            );
        }
    }
}

impl AdmittedRequest {
    /// Name of the client account, or an empty one if the route needs none.
    pub fn account_name(&self) -> ClientAccountName {
        name_of(self.account.as_deref())
    }

    /// Parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> Vec<u64> {
        self.request.generation.iter().flat_map(Generation::shared_parts).collect()
    }

    /// Priority rank of the request, 0 first.
    pub fn rank(&self) -> u8 {
        rank_of(&self.route, self.account.as_deref())
    }

    /// Sets the tokens charged for the request: an upper bound of what it can have used so far.
    pub fn update_usage(&mut self, progress: GenerationProgress) {
        self.is_whole = matches!(progress, GenerationProgress::Complete(_));
        let Some(generation) = &self.request.generation else { return };
        let used = match progress {
            GenerationProgress::NotRun => Tokens::ZERO,
            GenerationProgress::Started => generation.bound() + self.lost,
            GenerationProgress::Complete(events) => generation.prompt + self.output_of(events) + self.lost,
        };
        if let Some(reservation) = &mut self.reservation {
            reservation.set_used(used);
        }
    }

    /// Most output tokens that `events` events hold.
    fn output_of(&self, events: u64) -> Tokens {
        Tokens(events.saturating_mul(self.event_tokens))
    }

    /// Tokens that a run which broke off after `events` relayed events may have sent beyond them.
    pub fn unrelayed(&self, events: u64) -> Tokens {
        let output = self.request.generation.as_ref().map_or(Tokens::ZERO, |generation| generation.output);
        output.saturating_sub(self.output_of(events))
    }

    /// Maximum number of events that its server may send; a server that sends more is not answering this request.
    pub fn events_max(&self) -> u64 {
        let output = self.request.generation.as_ref().map_or(u64::MAX, |generation| generation.output.0);
        output.saturating_add(EVENTS_BEYOND_OUTPUT)
    }

    /// Whether the request may be dispatched again although an earlier dispatch may have run it.
    pub fn may_repeat(&self) -> bool {
        self.route.repeat != RepeatPolicy::AtMostOnce && self.dispatches < self.route.max_attempts
    }
}

/// Name of a client account, or an empty one for a route that needs none.
pub fn name_of(account: Option<&AccountSpec>) -> ClientAccountName {
    account.map_or_else(|| ClientAccountName::from(""), |account| account.name.clone())
}

/// Priority rank of a request, 0 first; the client account's rank takes precedence over the route's.
pub fn rank_of(route: &Route, account: Option<&AccountSpec>) -> u8 {
    account.and_then(|account| account.rank).unwrap_or(route.rank)
}

/// Looks up the client account that pays for a request; `None` if the route needs none.
///
/// # Errors
///
/// Refuses a request without a known API key if the route needs one.
pub fn account_of(
    table: &RouteTable,
    route: &Route,
    request: &CallerRequest,
) -> Result<Option<Arc<AccountSpec>>, Refusal> {
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
