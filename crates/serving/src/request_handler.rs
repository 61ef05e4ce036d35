//! Handles one request: finds its route and client account, reserves credit, selects a backend server and relays the
//! response.
//!
//! Every outcome tells whether the request may have run. A request that was not sent, or that the server rejected, may
//! be sent again or refused as not run; any other is sent again only if its route allows that. See
//! `docs/PLATFORM.md#requests`.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::ServiceName;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::routes::{RepeatPolicy, Route};
use coltsfootpick_core::selection::{Generation, Selection};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::admitted_request::{AdmittedRequest, GenerationProgress};
use crate::blackboard::Blackboard;
use crate::crash_detection;
use crate::credit_controller::CreditController;
use crate::dispatch::{DispatchError, DispatchGuard, ServerResponse, send_request};
use crate::forwarder::{ForwardedRequest, Forwarder};
use crate::interfaces::{BackendProtocol, DispatchContext};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::metrics::Metrics;
use crate::open_request::OpenRequest;
use crate::outcome::RequestOutcome;
use crate::relay;
use crate::request::CallerRequest;
use crate::request_admission::MatchedRoute;
use crate::servers::Server;
use crate::stream_registry::StreamRegistry;

/// Retry delay given to a request that found no server.
const SERVER_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum number of servers tried for one request while none of them ran it.
const SERVERS_TRIED_MAX: usize = 4;

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
    /// Client for requests that other instances handle.
    pub forwarder: Arc<Forwarder>,
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

/// Further runs that `route` allows a request that may have had `dispatches`.
fn repeats_of(route: &Route, dispatches: u32) -> u32 {
    match route.repeat {
        RepeatPolicy::AtMostOnce => 0,
        RepeatPolicy::Idempotent | RepeatPolicy::Resumable => route.max_attempts.saturating_sub(dispatches),
    }
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
    ///
    /// Another instance handles it if this one has no path to the servers.
    pub async fn serve(&self, request: CallerRequest) -> RequestOutcome {
        let open_request = OpenRequest::new(&self.board, &request.id, request.arrived);
        let matched = match self.match_route(&request) {
            Ok(matched) => matched,
            Err(refusal) => return open_request.refuse(refusal),
        };
        if !self.uses_own_path(&matched.service).await {
            return self.forward_unsent(request, &matched, open_request).await;
        }
        if let Err(refusal) = self.check_servers(&request, &matched) {
            return open_request.refuse(refusal);
        }
        let origin = match self.find_origin(&request, &matched).await {
            Ok(origin) => origin,
            // A peer that the store answers can prove what this instance cannot.
            Err(Refusal { code: Code::StreamUnproven, .. }) if self.forwarder.has_peers() => {
                return self.forward_unsent(request, &matched, open_request).await;
            }
            Err(refusal) => return open_request.refuse(refusal),
        };
        let mut admitted = match self.admit(request, matched, origin).await {
            Ok(admitted) => admitted,
            Err(refusal) => return open_request.refuse(refusal),
        };
        match self.dispatch(&mut admitted).await {
            Ok(exchange) => self.relay(admitted, exchange, open_request).await,
            Err(refusal) if self.may_forward(&admitted) => {
                log::debug!("forwarding request {}: {refusal}", admitted.request.id);
                let forwarded = ForwardedRequest {
                    request: admitted.request.clone(),
                    service: admitted.service.clone(),
                    deadline: admitted.deadline,
                    dispatches: admitted.dispatches,
                    repeats: repeats_of(&admitted.route, admitted.dispatches + 1),
                    homes: admitted.homes(),
                    account: admitted.account.as_ref().map(|account| account.name.clone()),
                };
                drop(admitted);
                self.forwarder.forward(forwarded, open_request).await
            }
            Err(refusal) => open_request.refuse(refusal),
        }
    }

    /// Has another instance serve a request that this one has sent to no server.
    async fn forward_unsent(
        &self,
        request: CallerRequest,
        matched: &MatchedRoute,
        open_request: OpenRequest,
    ) -> RequestOutcome {
        let (service, deadline) = (matched.service.clone(), matched.deadline);
        let repeats = repeats_of(&matched.route, 1);
        let (homes, account) = (matched.homes(), matched.account.as_ref().map(|account| account.name.clone()));
        let forwarded = ForwardedRequest { request, service, deadline, dispatches: 0, repeats, homes, account };
        self.forwarder.forward(forwarded, open_request).await
    }

    /// Serves a request that another instance forwards, after `dispatches` runs that it may have had there.
    pub async fn serve_forwarded(&self, request: CallerRequest, dispatches: u32) -> RequestOutcome {
        let open_request = OpenRequest::new(&self.board, &request.id, request.arrived);
        let admitted = match self.match_route(&request) {
            Ok(matched) => self.admit_forwarded(request, matched).await,
            Err(refusal) => Err(refusal),
        };
        let mut admitted = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => return open_request.refuse(refusal),
        };
        // The forwarding instance has taken the retry from its share.
        (admitted.arrivals, admitted.dispatches, admitted.maybe_run) = (dispatches, dispatches, dispatches > 0);
        admitted.sent_elsewhere = dispatches > 0;
        match self.dispatch(&mut admitted).await {
            Ok(exchange) => self.relay(admitted, exchange, open_request).await,
            Err(refusal) => open_request.refuse(refusal),
        }
    }

    async fn admit_forwarded(&self, request: CallerRequest, matched: MatchedRoute) -> Result<AdmittedRequest, Refusal> {
        self.check_servers(&request, &matched)?;
        let origin = self.find_origin(&request, &matched).await?;
        self.admit(request, matched, origin).await
    }

    /// Whether a request uses this instance's own path to the servers of `service`; waits while the path is suspected.
    async fn uses_own_path(&self, service: &ServiceName) -> bool {
        let path = self.board.paths.of(service);
        if self.forwarder.is_behind() || !path.is_usable().await {
            return false;
        }
        !path.is_lost() || self.board.servers.of_service(service).iter().any(|server| server.pool.has_idle())
    }

    /// Whether another instance may take a request that found no server here.
    fn may_forward(&self, admitted: &AdmittedRequest) -> bool {
        let is_lost = self.board.paths.of(&admitted.service).is_lost() || self.has_lost_homes(admitted);
        is_lost && (!admitted.maybe_run || admitted.may_repeat()) && Instant::now() < admitted.deadline
    }

    async fn relay(
        &self,
        admitted: AdmittedRequest,
        exchange: ServerExchange,
        open_request: OpenRequest,
    ) -> RequestOutcome {
        let arrived = admitted.request.arrived;
        self.board.metrics.first_byte.observe(arrived.elapsed().as_secs_f64());
        match admitted.route.streams && exchange.response.head.status.is_success() {
            true => relay::stream_events(self.clone(), admitted, exchange, open_request).await,
            false => relay::buffer_response(self, admitted, exchange, open_request).await,
        }
    }

    /// Dispatches to one server after another until one responds or no further attempt is allowed.
    pub async fn dispatch(&self, admitted: &mut AdmittedRequest) -> Result<ServerExchange, Refusal> {
        loop {
            if !admitted.tried_servers.is_empty() {
                self.board.paths.of(&admitted.service).is_usable().await;
            }
            let Some((server, selection)) = self.await_server(admitted).await else {
                return Err(self.refuse_unserved(admitted));
            };
            let error = match self.dispatch_once(admitted, &server, &selection, None).await {
                Ok(exchange) => return Ok(exchange),
                Err(error) => error,
            };
            admitted.tried_servers.push(server.entry.name.clone());
            let probe = self.note_dispatch_error(admitted, &server, &error, 0);
            let may_continue = match &error {
                DispatchError::DeadlinePassed | DispatchError::NoRoom => false,
                DispatchError::NotSent(_) | DispatchError::Withdrawn | DispatchError::OtherServer => {
                    admitted.tried_servers.len() < SERVERS_TRIED_MAX
                }
                DispatchError::Rejected => admitted.dispatches < admitted.route.max_attempts,
                DispatchError::PathLost => admitted.may_repeat(),
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
        if admitted.tried_servers.is_empty() && admitted.arrivals == 0 {
            self.board.note_first_dispatch(&admitted.service);
        }
        // Charges before sending, since this future may be dropped while the server runs the request.
        admitted.update_usage(GenerationProgress::Started);
        let result = self.send(admitted, server, &context).await;
        match &result {
            Err(DispatchError::NotSent(_) | DispatchError::Withdrawn | DispatchError::NoRoom) => {}
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

    /// Sends the request. One that may be repeated does not wait for a path that is lost.
    async fn send(
        &self,
        admitted: &AdmittedRequest,
        server: &Arc<Server>,
        context: &DispatchContext<'_>,
    ) -> Result<ServerResponse, DispatchError> {
        let (request, deadline) = (&admitted.request, admitted.deadline);
        // The refusal of an earlier sending, by another instance, cannot be told from one of this sending.
        let may_reuse = !admitted.sent_elsewhere;
        let sending = send_request(&self.board, &*self.protocol, request, server, context, deadline, may_reuse);
        if repeats_of(&admitted.route, admitted.dispatches + 1) == 0 {
            return sending.await;
        }
        let path = self.board.paths.of(&server.entry.service);
        tokio::select! {
            result = sending => result,
            () = path.lost_silently() => Err(DispatchError::PathLost),
        }
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
            DispatchError::Withdrawn
            | DispatchError::NoRoom
            | DispatchError::Rejected
            | DispatchError::DeadlinePassed
            | DispatchError::PathLost => None,
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
