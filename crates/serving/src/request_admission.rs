//! Admits a request: finds its route, client account and service, and reserves credit.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::ServiceName;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::routes::{AccountSpec, Route, RouteTable};
use coltsfootpick_core::stream_origins::{StreamKey, StreamOrigin};
use coltsfootpick_core::units::Tokens;
use tokio::time::Instant;

use crate::admitted_request::{AdmittedRequest, account_of, name_of, rank_of};
use crate::crash_detection;
use crate::credit_controller::CreditReservation;
use crate::request::CallerRequest;
use crate::request_handler::RequestHandler;

/// Retry delay given to a request that arrives before the first document was read.
const START_BACKOFF: Duration = Duration::from_millis(500);

/// Retry delay given by a stopping instance; another instance can take the request at once.
const DRAINING_BACKOFF: Duration = Duration::from_millis(50);

/// Retry delay given while the network link is full; another instance can take the request at once.
const LINK_BACKOFF: Duration = Duration::from_millis(50);

/// Output tokens of one event if the document does not set them.
const EVENT_TOKENS_DEFAULT: u64 = 1;

/// Route of a request with what follows from it.
#[derive(Debug)]
pub struct MatchedRoute {
    /// Routes in force.
    pub table: Arc<RouteTable>,
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// Client account that pays, if the route needs one.
    pub account: Option<Arc<AccountSpec>>,
    /// Service chosen from the route's traffic split.
    pub service: ServiceName,
    /// Attempt that brought the first event of the stream that the request takes up, or the request itself.
    pub first_attempt: Arc<str>,
    /// Instant by which the response must be complete.
    pub deadline: Instant,
}

impl RequestHandler {
    /// Finds the route, client account and service of a request.
    pub fn match_route(&self, request: &CallerRequest) -> Result<MatchedRoute, Refusal> {
        let Some(table) = self.board.routes() else {
            let refusal = Refusal::not_run(Code::NoBackendServer, "no document was read yet");
            return Err(refusal.retry_after(START_BACKOFF));
        };
        let Some(route) = table.route(&request.host, request.path()).cloned() else {
            let detail = format!("host={:?} path={:?} version={}", request.host, request.path(), table.version());
            return Err(Refusal::not_run(Code::UnknownService, detail));
        };
        let account = account_of(&table, &route, request)?;
        // A stream that is taken up goes to the service that its first attempt went to.
        let first_attempt = request.resumed.as_ref().and_then(|resumed| resumed.first_attempt.clone());
        let first_attempt = first_attempt.unwrap_or_else(|| Arc::clone(&request.id));
        let Some(service) = route.service(&first_attempt).cloned() else {
            return Err(Refusal::not_run(Code::UnknownService, format!("route={} has no service", route.name)));
        };
        let timeout = request.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
        let deadline = request.arrived + timeout;
        if !self.board.can_finish(deadline) {
            return Err(Refusal::not_run(Code::Draining, "the instance is stopping").retry_after(DRAINING_BACKOFF));
        }
        self.check_link(rank_of(&route, account.as_deref()))?;
        Ok(MatchedRoute { table, route, account, service, first_attempt, deadline })
    }

    /// Reserves credit for a request, unless it or a part of its prompt is known to crash servers.
    ///
    /// A stream that the caller takes up goes on at its `origin`.
    pub async fn admit(
        &self,
        request: CallerRequest,
        matched: MatchedRoute,
        origin: Option<StreamOrigin>,
    ) -> Result<AdmittedRequest, Refusal> {
        let MatchedRoute { table, route, account, service, first_attempt, deadline } = matched;
        let fingerprint =
            crash_detection::fingerprint(&request, account.as_ref().map(|account| &account.name), &service);
        crash_detection::check_quarantine(&self.board, fingerprint)?;
        let payer = name_of(account.as_deref());
        let stream = StreamKey::of(&payer, &first_attempt);
        let service = origin.as_ref().map_or(service, |origin| origin.service.clone());
        let trial = crash_detection::check_parts(&self.board, request.generation.as_ref(), &payer, &service)?;
        let reservation = self.reserve(&request, account.as_deref(), deadline).await?;
        let engines = table.service(&service).and_then(|spec| spec.engines.as_ref());
        let event_tokens = engines.map_or(EVENT_TOKENS_DEFAULT, |spec| spec.event_tokens);
        let tried_servers = Vec::new();
        let (arrivals, dispatches, maybe_run, sent_elsewhere, is_whole) = (0, 0, false, false, false);
        Ok(AdmittedRequest {
            request,
            route,
            service,
            account,
            event_tokens,
            fingerprint,
            deadline,
            stream,
            origin,
            reservation,
            tried_servers,
            lost: Tokens::ZERO,
            trial,
            arrivals,
            dispatches,
            maybe_run,
            sent_elsewhere,
            is_whole,
        })
    }

    /// Refuses requests of ranks that a full network link does not take.
    fn check_link(&self, rank: u8) -> Result<(), Refusal> {
        let (link, now) = (*self.board.link.lock(), self.board.clock.now());
        match link.admits(rank, now) {
            true => Ok(()),
            false => {
                let detail = format!("rank={rank} link-usage={:.2}", link.usage(now));
                Err(Refusal::not_run(Code::Overloaded, detail).retry_after(LINK_BACKOFF))
            }
        }
    }

    async fn reserve(
        &self,
        request: &CallerRequest,
        account: Option<&AccountSpec>,
        deadline: Instant,
    ) -> Result<Option<CreditReservation>, Refusal> {
        match (account, &request.generation) {
            (Some(AccountSpec { name, prepaid: Some(prepaid), .. }), Some(generation)) => {
                self.credit.reserve(name, generation.bound(), *prepaid, deadline).await.map(Some)
            }
            _ => Ok(None),
        }
    }
}
