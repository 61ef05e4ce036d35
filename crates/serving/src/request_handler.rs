//! Handles one request: finds its route and client account, reserves credit, selects a backend server and relays the
//! response.
//!
//! Every outcome tells whether the request may have run. A request that was not sent, or that the server rejected, may
//! be sent again or refused as not run; any other is sent again only if its route allows that. See
//! `docs/PLATFORM.md#requests`.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::routes::AccountSpec;
use coltsfootpick_core::selection::{Generation, Selection};
use coltsfootpick_core::stream_origins::StreamKey;
use coltsfootpick_core::units::Tokens;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::admitted_request::{AdmittedRequest, GenerationProgress, account_of, name_of, rank_of};
use crate::blackboard::Blackboard;
use crate::crash_detection;
use crate::credit_controller::{CreditController, CreditReservation};
use crate::dispatch::{DispatchError, DispatchGuard, ServerResponse, send_request};
use crate::interfaces::{BackendProtocol, DispatchContext};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::metrics::Metrics;
use crate::open_request::OpenRequest;
use crate::outcome::RequestOutcome;
use crate::relay;
use crate::request::CallerRequest;
use crate::servers::Server;
use crate::stream_registry::StreamRegistry;

/// Retry delay given to a request that found no server.
const SERVER_BACKOFF: Duration = Duration::from_millis(400);

/// Retry delay given to a request that arrives before the first document was read.
const START_BACKOFF: Duration = Duration::from_millis(500);

/// Retry delay given by a stopping instance; another instance can take the request at once.
const DRAINING_BACKOFF: Duration = Duration::from_millis(50);

/// Retry delay given while the network link is full; another instance can take the request at once.
const LINK_BACKOFF: Duration = Duration::from_millis(50);

/// Largest part by which a retry delay is lengthened at random.
const BACKOFF_SPREAD: f64 = 0.25;

/// Maximum number of servers tried for one request while none of them ran it.
const SERVERS_TRIED_MAX: usize = 4;

/// Output tokens of one event if the document does not set them.
const EVENT_TOKENS_DEFAULT: u64 = 1;

/// Handles the requests of one instance; clones share its state.
#[derive(Clone, Debug)]
pub struct RequestHandler {
    /// Shared state of the instance.
    pub board: Arc<Blackboard>,
    /// Controller that reserves credit.
    pub credit: Arc<CreditController>,
    /// Software versions that began the streams of all instances.
    pub streams: Arc<StreamRegistry>,
    /// Protocol of the backend servers.
    pub protocol: Arc<dyn BackendProtocol>,
}

/// Dispatched request whose response head was read.
#[derive(Debug)]
pub struct ServerExchange {
    /// Response whose body has not been read yet.
    pub response: ServerResponse,
    /// Server that responded.
    pub server: Arc<Server>,
    /// Counts the request in the server's load.
    pub guard: DispatchGuard,
}

/// Lengthens a retry delay by a random part, so that callers do not all return at the same moment.
fn spread(delay: Duration) -> Duration {
    delay.mul_f64(1.0 + rand::random::<f64>() * BACKOFF_SPREAD)
}

/// Whether a server on which an unanswered request ran has crashed; the request may be the cause.
pub async fn has_crashed(probe: Option<JoinHandle<bool>>) -> bool {
    match probe {
        Some(probe) => probe.await.unwrap_or(false),
        None => false,
    }
}

impl RequestHandler {
    /// Serves one request; dropping the future cancels the request at its server.
    pub async fn serve(&self, request: CallerRequest) -> RequestOutcome {
        let arrived = request.arrived;
        let open_request = OpenRequest::new(&self.board, &request.id, arrived);
        let mut admitted = match self.admit(request).await {
            Ok(admitted) => admitted,
            Err(refusal) => return open_request.refuse(refusal),
        };
        let exchange = match self.dispatch(&mut admitted).await {
            Ok(exchange) => exchange,
            Err(refusal) => return open_request.refuse(refusal),
        };
        self.board.metrics.first_byte.observe(arrived.elapsed().as_secs_f64());
        match admitted.route.streams && exchange.response.head.status.is_success() {
            true => relay::stream_events(self.clone(), admitted, exchange, open_request).await,
            false => relay::buffer_response(self, admitted, exchange, open_request).await,
        }
    }

    async fn admit(&self, request: CallerRequest) -> Result<AdmittedRequest, Refusal> {
        let Some(table) = self.board.routes() else {
            let refusal = Refusal::not_run(Code::NoBackendServer, "no document was read yet");
            return Err(refusal.retry_after(START_BACKOFF));
        };
        let Some(route) = table.route(&request.host, request.path()).cloned() else {
            let detail = format!("host={:?} path={:?} version={}", request.host, request.path(), table.version());
            return Err(Refusal::not_run(Code::UnknownService, detail));
        };
        let account = account_of(&table, &route, &request)?;
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
        let fingerprint =
            crash_detection::fingerprint(&request, account.as_ref().map(|account| &account.name), &service);
        crash_detection::check_quarantine(&self.board, fingerprint)?;
        let payer = name_of(account.as_deref());
        let stream = StreamKey::of(&payer, &first_attempt);
        let origin = self.find_origin(&request, &route, &service, stream).await?;
        let service = origin.as_ref().map_or(service, |origin| origin.service.clone());
        let trial = crash_detection::check_parts(&self.board, request.generation.as_ref(), &payer, &service)?;
        let reservation = self.reserve(&request, account.as_deref(), deadline).await?;
        let engines = table.service(&service).and_then(|spec| spec.engines.as_ref());
        let event_tokens = engines.map_or(EVENT_TOKENS_DEFAULT, |spec| spec.event_tokens);
        let tried_servers = Vec::new();
        let (arrivals, dispatches, maybe_run, is_whole) = (0, 0, false, false);
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

    /// Dispatches to one server after another until one responds or no further attempt is allowed.
    pub async fn dispatch(&self, admitted: &mut AdmittedRequest) -> Result<ServerExchange, Refusal> {
        loop {
            let Some((server, selection)) = self.select_server(admitted) else {
                let refusal = self.final_refusal(admitted, "no server takes it");
                return Err(match self.shortest_wait(&admitted.service) {
                    Some(wait) if refusal.retry_after.is_some() => refusal.retry_after(spread(wait)),
                    _ => refusal,
                });
            };
            let error = match self.dispatch_once(admitted, &server, &selection, None).await {
                Ok(exchange) => return Ok(exchange),
                Err(error) => error,
            };
            admitted.tried_servers.push(server.entry.name.clone());
            let probe = self.note_dispatch_error(admitted, &server, &error, 0);
            let may_continue = match &error {
                DispatchError::DeadlinePassed => false,
                DispatchError::NotSent(_) | DispatchError::OtherServer => {
                    admitted.tried_servers.len() < SERVERS_TRIED_MAX
                }
                DispatchError::Rejected => admitted.dispatches < admitted.route.max_attempts,
                DispatchError::Unknown(_) => admitted.may_repeat() && !has_crashed(probe).await,
            };
            if !may_continue
                || (admitted.arrivals > 0 && !self.board.take_retry(&admitted.service, &admitted.request.id))
                || (!error.is_not_run() && !self.cover_lost_run(admitted, 0).await)
            {
                return Err(self.final_refusal(admitted, &error.to_string()));
            }
        }
    }

    /// Reserves what a run that broke off after `events` relayed events may have sent beyond them, so that another run can
    /// follow; false if the account has too little credit for it.
    pub async fn cover_lost_run(&self, admitted: &mut AdmittedRequest, events: u64) -> bool {
        let (extra, account) = (admitted.unrelayed(events), admitted.account_name());
        let prepaid = admitted.account.as_ref().and_then(|account| account.prepaid);
        let (Some(prepaid), Some(reservation)) = (prepaid, &mut admitted.reservation) else { return true };
        match self.credit.reserve(&account, extra, prepaid, admitted.deadline).await {
            Ok(more) => reservation.absorb(more),
            Err(Refusal { detail, .. }) => {
                let (id, service) = (&admitted.request.id, &admitted.service);
                log_event!(LogEvent::RetryDenied, "request={id} service={service} {detail}");
                return false;
            }
        }
        admitted.lost += extra;
        true
    }

    /// Dispatches to one server. To resume a stream, `last_event` is the id of the last event that the caller received.
    pub async fn dispatch_once(
        &self,
        admitted: &mut AdmittedRequest,
        server: &Arc<Server>,
        selection: &Selection,
        last_event: Option<&str>,
    ) -> Result<ServerExchange, DispatchError> {
        let remaining = admitted.deadline.saturating_duration_since(Instant::now());
        let account = admitted.account.clone();
        let context = DispatchContext {
            server: &server.entry,
            account: account.as_ref().map(|account| &account.name),
            remaining,
            rank: admitted.rank(),
            last_event,
        };
        log_event!(
            LogEvent::Dispatched,
            "request={} route={} service={} server={} version={:?} left_ms={} sends={} unread={} parts={} costs=\"{}\"",
            admitted.request.id,
            admitted.route.name,
            admitted.service,
            server.entry.name,
            &*server.entry.version,
            remaining.as_millis(),
            admitted.dispatches,
            selection.uncached,
            admitted.request.generation.as_ref().map(Generation::part_list).unwrap_or_default(),
            selection.costs
        );
        let mut guard = DispatchGuard::start(&self.board, server, selection, admitted.request.generation.as_ref());
        if admitted.tried_servers.is_empty() {
            self.board.note_first_dispatch(&admitted.service);
        }
        // Charges before sending, since this future may be dropped while the server runs the request.
        admitted.update_usage(GenerationProgress::Started);
        let result =
            send_request(&self.board, &*self.protocol, &admitted.request, server, &context, admitted.deadline).await;
        match &result {
            Err(DispatchError::NotSent(_)) => {}
            Err(DispatchError::OtherServer) => admitted.arrivals += 1,
            _ => {
                admitted.arrivals += 1;
                admitted.dispatches += 1;
            }
        }
        let maybe_run = result.as_ref().is_ok() || result.as_ref().is_err_and(|error| !error.is_not_run());
        admitted.maybe_run |= maybe_run;
        if !admitted.maybe_run {
            admitted.update_usage(GenerationProgress::NotRun);
        }
        let outcome = match &result {
            Ok(response) => response.head.status.as_str().to_owned(),
            Err(error) => error.to_string().split(':').next().unwrap_or_default().to_owned(),
        };
        Metrics::count(&self.board.metrics.dispatches, &outcome);
        let response = result?;
        guard.note_first_byte();
        Ok(ServerExchange { response, server: Arc::clone(server), guard })
    }

    /// Applies a failed dispatch, of which the caller received `events` events, to the health of its server.
    ///
    /// Returns the probe of the server if the request may be what crashed it, so that it must not be sent to another one
    /// before the probe found the server alive.
    pub fn note_dispatch_error(
        &self,
        admitted: &AdmittedRequest,
        server: &Arc<Server>,
        error: &DispatchError,
        events: u64,
    ) -> Option<JoinHandle<bool>> {
        let (id, name) = (&admitted.request.id, &server.entry.name);
        log_event!(LogEvent::DispatchFailed, "request={id} server={name} error=\"{error}\" run={}", admitted.maybe_run);
        match error {
            DispatchError::OtherServer => {
                server.leave();
                None
            }
            DispatchError::Rejected | DispatchError::DeadlinePassed => None,
            DispatchError::NotSent(_) => {
                self.eject(server);
                None
            }
            DispatchError::Unknown(_) => {
                self.eject(server);
                let is_suspicious = events == 0 && crash_detection::may_be_cause(&self.board, admitted, server);
                let probe = crash_detection::probe_server(&self.board, server, admitted, events);
                Some(probe).filter(|_| is_suspicious)
            }
        }
    }

    /// Avoids a server for a while after a failure.
    fn eject(&self, server: &Server) {
        let now = self.board.clock.now();
        let until = server.load.lock().note_failure(now);
        log_event!(LogEvent::ServerEjected, "server={} rest_ms={}", server.entry.name, until.since(now).as_millis());
    }

    /// Refusal of a request for which no further server is tried.
    pub fn final_refusal(&self, admitted: &AdmittedRequest, reason: &str) -> Refusal {
        let detail = format!(
            "route={} service={} sends={} version={} reason=\"{reason}\"",
            admitted.route.name,
            admitted.service,
            admitted.dispatches,
            self.board.routes().map_or(0, |table| table.version())
        );
        let deadline_passed = Instant::now() >= admitted.deadline;
        match (admitted.maybe_run, deadline_passed) {
            (false, _) => Refusal::not_run(Code::NoBackendServer, detail).retry_after(SERVER_BACKOFF),
            (true, false) => Refusal::may_have_run(Code::BackendFailed, detail),
            (true, true) => Refusal::may_have_run(Code::DeadlinePassed, detail),
        }
    }
}
