//! The path of one request: route, account, credit, server, answer.
//!
//! Each end knows whether the request has run: what was not sent, or was rejected, may be sent again or refused as
//! not run; anything else only where the route allows a repeat. See `docs/PLATFORM.md#requests`.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::routes::Account;
use coltsfootpick_core::spread::{Ask, Candidate, Spread, choose};
use tokio::time::Instant;

use crate::accepted_request::{AcceptedRequest, Usage, account_of, rank_of};
use crate::blackboard::Blackboard;
use crate::crash_detection;
use crate::credit_controller::{CreditController, CreditReservation};
use crate::dispatch::{DispatchError, DispatchGuard, ServerResponse, send};
use crate::interfaces::{BackendProtocol, DispatchContext};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::metrics::Metrics;
use crate::open_request::OpenRequest;
use crate::outcome::RequestOutcome;
use crate::relay;
use crate::request::CallerRequest;
use crate::servers::Server;

/// When a request that found no server should come back.
const SERVER_BACKOFF: Duration = Duration::from_millis(400);

/// When a request that came before the first document should come back.
const START_BACKOFF: Duration = Duration::from_millis(500);

/// When a request that came to a stopping instance should come back; another instance takes it at once.
const DRAINING_BACKOFF: Duration = Duration::from_millis(50);

/// When a request that the link cannot carry should come back; another instance takes it at once.
const LINK_BACKOFF: Duration = Duration::from_millis(50);

/// Servers tried for one request when none of them ran it.
const TRIES_MAX: usize = 4;

/// Most output tokens of an event when the document does not tell.
const STRIDE_DEFAULT: u64 = 1;

/// What every request of one instance needs.
#[derive(Clone, Debug)]
pub struct RequestHandler {
    /// Board.
    pub board: Arc<Blackboard>,
    /// Credit.
    pub credit: Arc<CreditController>,
    /// Language of the backend servers.
    pub dialect: Arc<dyn BackendProtocol>,
}

/// Request that a server answers.
#[derive(Debug)]
pub struct ServerExchange {
    /// Head of the answer, its body still to be read.
    pub reply: ServerResponse,
    /// The server.
    pub server: Arc<Server>,
    /// Its place among the server's open requests.
    pub dispatch: DispatchGuard,
}

impl RequestHandler {
    /// Serves one request to its outcome; dropped, it ends the request at its server.
    pub async fn serve(&self, request: CallerRequest) -> RequestOutcome {
        let arrived = request.arrived;
        let open_request = OpenRequest::new(&self.board, &request.id, arrived);
        let mut accepted = match self.admit(request).await {
            Ok(accepted) => accepted,
            Err(refusal) => return open_request.refuse(refusal),
        };
        let sent = match self.dispatch(&mut accepted).await {
            Ok(sent) => sent,
            Err(refusal) => return open_request.refuse(refusal),
        };
        self.board.metrics.first_byte.observe(arrived.elapsed().as_secs_f64());
        match accepted.route.streams && sent.reply.head.status.is_success() {
            true => relay::stream(self.clone(), accepted, sent, open_request).await,
            false => relay::buffered(self, accepted, sent, open_request).await,
        }
    }

    async fn admit(&self, request: CallerRequest) -> Result<AcceptedRequest, Refusal> {
        let Some(table) = self.board.routes() else {
            let refusal = Refusal::not_run(Code::NoBackendServer, "no document was read yet");
            return Err(refusal.retry_after(START_BACKOFF));
        };
        let Some(route) = table.route(&request.host, request.path()).cloned() else {
            let detail = format!("host={:?} path={:?} version={}", request.host, request.path(), table.version());
            return Err(Refusal::not_run(Code::UnknownService, detail));
        };
        let account = account_of(&table, &route, &request)?;
        let Some(service) = route.service(&request.id).cloned() else {
            return Err(Refusal::not_run(Code::UnknownService, format!("route={} has no service", route.name)));
        };
        let span = request.timeout.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let until = request.arrived + span;
        if !self.board.can_finish(until) {
            return Err(Refusal::not_run(Code::Draining, "the instance is stopping").retry_after(DRAINING_BACKOFF));
        }
        self.check_link(rank_of(&route, account.as_deref()))?;
        let print = crash_detection::fingerprint(&request, account.as_ref().map(|account| &account.name), &service);
        crash_detection::check_quarantine(&self.board, print)?;
        let charge = self.reserve(&request, account.as_deref(), until).await?;
        let engines = table.service(&service).and_then(|spec| spec.engines.as_ref());
        let stride = engines.map_or(STRIDE_DEFAULT, |spec| spec.stride);
        let tried = Vec::new();
        let (sends, has_run) = (0, false);
        Ok(AcceptedRequest { request, route, service, account, stride, print, until, charge, tried, sends, has_run })
    }

    /// Refuses what the link cannot carry; another instance can.
    fn check_link(&self, rank: u8) -> Result<(), Refusal> {
        let (link, now) = (*self.board.link.lock(), self.board.clock.now());
        match link.takes(rank, now) {
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
        account: Option<&Account>,
        until: Instant,
    ) -> Result<Option<CreditReservation>, Refusal> {
        match (account, &request.generation) {
            (Some(Account { name, prepaid: Some(prepaid), .. }), Some(generation)) => {
                self.credit.reserve(name, generation.bound(), *prepaid, until).await.map(Some)
            }
            _ => Ok(None),
        }
    }

    /// Sends to one server after another until one answers or the route's rules end it.
    pub async fn dispatch(&self, accepted: &mut AcceptedRequest) -> Result<ServerExchange, Refusal> {
        loop {
            let Some((server, spread)) = self.select_server(accepted) else {
                return Err(self.final_refusal(accepted, "no server takes it"));
            };
            let error = match self.dispatch_once(accepted, &server, &spread, (None, 0)).await {
                Ok(sent) => return Ok(sent),
                Err(error) => error,
            };
            accepted.tried.push(server.entry.name.clone());
            self.note_dispatch_error(accepted, &server, &error);
            let may_go_on = match &error {
                DispatchError::Late => false,
                DispatchError::NotSent(_) | DispatchError::OtherServer => accepted.tried.len() < TRIES_MAX,
                DispatchError::Rejected => accepted.sends < accepted.route.attempts,
                DispatchError::Unknown(_) => accepted.may_repeat(),
            };
            let needs_right = accepted.sends > 0;
            if !may_go_on || (needs_right && !self.board.take_retry(&accepted.service)) {
                return Err(self.final_refusal(accepted, &error.to_string()));
            }
        }
    }

    /// Sends to one server; `resumes` and `events` tell what the caller has of a stream that goes on.
    pub async fn dispatch_once(
        &self,
        accepted: &mut AcceptedRequest,
        server: &Arc<Server>,
        spread: &Spread,
        (resumes, events): (Option<&str>, u64),
    ) -> Result<ServerExchange, DispatchError> {
        let left = accepted.until.saturating_duration_since(Instant::now());
        let account = accepted.account.clone();
        let context = DispatchContext {
            server: &server.entry,
            account: account.as_ref().map(|account| &account.name),
            remaining: left,
            rank: accepted.rank(),
            last_event: resumes,
        };
        log_event!(
            LogEvent::Dispatched,
            "request={} route={} service={} server={} left_ms={} sends={} unread={} costs=\"{}\"",
            accepted.request.id,
            accepted.route.name,
            accepted.service,
            server.entry.name,
            left.as_millis(),
            accepted.sends,
            spread.unread,
            spread.costs
        );
        let mut dispatch = DispatchGuard::start(&self.board, server, spread, accepted.request.generation.as_ref());
        if accepted.sends == 0 {
            self.board.note_first_dispatch(&accepted.service);
        }
        // Dropped while the server is at work, the request may have run: it is charged before it is sent.
        accepted.update_usage(Usage::Open(events));
        let sent = send(&self.board, &*self.dialect, &accepted.request, server, &context, accepted.until).await;
        match &sent {
            Err(DispatchError::NotSent(_) | DispatchError::OtherServer) => {}
            _ => accepted.sends += 1,
        }
        let has_run = sent.as_ref().is_ok() || sent.as_ref().is_err_and(|error| !error.is_not_run());
        accepted.has_run |= has_run;
        accepted.update_usage(match &sent {
            Ok(_) => Usage::Open(events),
            Err(_) if !accepted.has_run => Usage::NotRun,
            Err(_) => Usage::Unknown,
        });
        let outcome = match &sent {
            Ok(reply) => reply.head.status.as_str().to_owned(),
            Err(error) => error.to_string().split(':').next().unwrap_or_default().to_owned(),
        };
        Metrics::count(&self.board.metrics.dispatches, &outcome);
        let reply = sent?;
        dispatch.note_first();
        Ok(ServerExchange { reply, server: Arc::clone(server), dispatch })
    }

    /// Chooses a server that the request did not go to yet.
    pub fn select_server(&self, accepted: &AcceptedRequest) -> Option<(Arc<Server>, Spread)> {
        let servers = self.board.servers.of_service(&accepted.service);
        let is_open = |server: &&Arc<Server>| !server.is_leaving() && !accepted.tried.contains(&server.entry.name);
        let open: Vec<&Arc<Server>> = servers.iter().filter(is_open).collect();
        let loads: Vec<_> = open.iter().map(|server| server.load.lock()).collect();
        let candidates: Vec<Candidate<'_>> = open
            .iter()
            .zip(&loads)
            .map(|(server, load)| Candidate {
                name: &server.entry.name,
                place: &server.entry.location,
                load,
                slots: server.entry.slots,
            })
            .collect();
        let ask = Ask {
            generation: accepted.request.generation.as_ref(),
            place: &self.board.identity.location,
            now: self.board.clock.now(),
        };
        let spread = choose(&ask, &candidates)?;
        Some((Arc::clone(open[spread.index]), spread))
    }

    /// Notes what a failed sending tells of its server.
    pub fn note_dispatch_error(&self, accepted: &AcceptedRequest, server: &Arc<Server>, error: &DispatchError) {
        let (id, name) = (&accepted.request.id, &server.entry.name);
        log_event!(LogEvent::DispatchFailed, "request={id} server={name} error=\"{error}\" run={}", accepted.has_run);
        match error {
            DispatchError::OtherServer => server.leave(),
            DispatchError::Rejected | DispatchError::Late => {}
            DispatchError::NotSent(_) | DispatchError::Unknown(_) => {
                if let DispatchError::Unknown(_) = error {
                    crash_detection::probe_server(&self.board, server, accepted.print);
                }
                let now = self.board.clock.now();
                let until = server.load.lock().note_failure(now);
                log_event!(LogEvent::ServerEjected, "server={name} rest_ms={}", until.since(now).as_millis());
            }
        }
    }

    /// Refusal of a request that goes to no further server.
    pub fn final_refusal(&self, accepted: &AcceptedRequest, reason: &str) -> Refusal {
        let detail = format!(
            "route={} service={} sends={} version={} reason=\"{reason}\"",
            accepted.route.name,
            accepted.service,
            accepted.sends,
            self.board.routes().map_or(0, |table| table.version())
        );
        let is_late = Instant::now() >= accepted.until;
        match (accepted.has_run, is_late) {
            (false, _) => Refusal::not_run(Code::NoBackendServer, detail).retry_after(SERVER_BACKOFF),
            (true, false) => Refusal::may_have_run(Code::BackendFailed, detail),
            (true, true) => Refusal::may_have_run(Code::DeadlinePassed, detail),
        }
    }
}
