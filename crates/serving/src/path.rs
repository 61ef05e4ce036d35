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

use crate::accepted::{Accepted, Spent, account_of, rank_of};
use crate::answer::Answer;
use crate::blackboard::Blackboard;
use crate::credit_controller::{CreditController, CreditReservation};
use crate::ending::Ending;
use crate::events::Event;
use crate::exchange::{Dispatch, Reply, SendError, send};
use crate::fleet_event;
use crate::interfaces::{BackendProtocol, DispatchContext};
use crate::metrics::Metrics;
use crate::relay;
use crate::request::CallerRequest;
use crate::servers::Server;
use crate::suspects;

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
pub struct RequestPath {
    /// Board.
    pub board: Arc<Blackboard>,
    /// Credit.
    pub credit: Arc<CreditController>,
    /// Language of the backend servers.
    pub dialect: Arc<dyn BackendProtocol>,
}

/// Request that a server answers.
#[derive(Debug)]
pub struct Sent {
    /// Head of the answer, its body still to be read.
    pub reply: Reply,
    /// The server.
    pub server: Arc<Server>,
    /// Its place among the server's open requests.
    pub dispatch: Dispatch,
}

impl RequestPath {
    /// Serves one request to its outcome; dropped, it ends the request at its server.
    pub async fn serve(&self, request: CallerRequest) -> Answer {
        let arrived = request.arrived;
        let ending = Ending::new(&self.board, &request.id, arrived);
        let mut accepted = match self.accept(request).await {
            Ok(accepted) => accepted,
            Err(refusal) => return ending.refuse(refusal),
        };
        let sent = match self.dispatch(&mut accepted).await {
            Ok(sent) => sent,
            Err(refusal) => return ending.refuse(refusal),
        };
        self.board.metrics.first.observe(arrived.elapsed().as_secs_f64());
        match accepted.route.streams && sent.reply.head.status.is_success() {
            true => relay::stream(self.clone(), accepted, sent, ending).await,
            false => relay::whole(self, accepted, sent, ending).await,
        }
    }

    async fn accept(&self, request: CallerRequest) -> Result<Accepted, Refusal> {
        let Some(table) = self.board.table() else {
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
        let span = request.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        let until = request.arrived + span;
        if !self.board.can_finish(until) {
            return Err(Refusal::not_run(Code::Draining, "the instance is stopping").retry_after(DRAINING_BACKOFF));
        }
        self.check_link(rank_of(&route, account.as_deref()))?;
        let print = suspects::fingerprint(&request, account.as_ref().map(|account| &account.name), &service);
        suspects::check(&self.board, print)?;
        let charge = self.reserve(&request, account.as_deref(), until).await?;
        let engines = table.service(&service).and_then(|spec| spec.engines.as_ref());
        let stride = engines.map_or(STRIDE_DEFAULT, |spec| spec.stride);
        let tried = Vec::new();
        let (sends, has_run) = (0, false);
        Ok(Accepted { request, route, service, account, stride, print, until, charge, tried, sends, has_run })
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
    pub async fn dispatch(&self, accepted: &mut Accepted) -> Result<Sent, Refusal> {
        loop {
            let Some((server, spread)) = self.place(accepted) else {
                return Err(self.give_up(accepted, "no server takes it"));
            };
            let error = match self.send_once(accepted, &server, &spread, (None, 0)).await {
                Ok(sent) => return Ok(sent),
                Err(error) => error,
            };
            accepted.tried.push(server.entry.name.clone());
            self.note_send_error(accepted, &server, &error);
            let may_go_on = match &error {
                SendError::Late => false,
                SendError::NotSent(_) | SendError::OtherServer => accepted.tried.len() < TRIES_MAX,
                SendError::Rejected => accepted.sends < accepted.route.attempts,
                SendError::Unknown(_) => accepted.may_repeat(),
            };
            let needs_right = accepted.sends > 0;
            if !may_go_on || (needs_right && !self.board.take_retry(&accepted.service)) {
                return Err(self.give_up(accepted, &error.to_string()));
            }
        }
    }

    /// Sends to one server; `resumes` and `events` tell what the caller has of a stream that goes on.
    pub async fn send_once(
        &self,
        accepted: &mut Accepted,
        server: &Arc<Server>,
        spread: &Spread,
        (resumes, events): (Option<&str>, u64),
    ) -> Result<Sent, SendError> {
        let left = accepted.until.saturating_duration_since(Instant::now());
        let account = accepted.account.clone();
        let context = DispatchContext {
            server: &server.entry,
            account: account.as_ref().map(|account| &account.name),
            remaining: left,
            rank: accepted.rank(),
            last_event: resumes,
        };
        fleet_event!(
            Event::Sent,
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
        let mut dispatch = Dispatch::start(&self.board, server, spread, accepted.request.generation.as_ref());
        if accepted.sends == 0 {
            self.board.note_first_dispatch(&accepted.service);
        }
        // Dropped while the server is at work, the request may have run: it is charged before it is sent.
        accepted.charge_for(Spent::Open(events));
        let sent = send(&self.board, &*self.dialect, &accepted.request, server, &context, accepted.until).await;
        match &sent {
            Err(SendError::NotSent(_) | SendError::OtherServer) => {}
            _ => accepted.sends += 1,
        }
        let has_run = sent.as_ref().is_ok() || sent.as_ref().is_err_and(|error| !error.is_not_run());
        accepted.has_run |= has_run;
        accepted.charge_for(match &sent {
            Ok(_) => Spent::Open(events),
            Err(_) if !accepted.has_run => Spent::Nothing,
            Err(_) => Spent::Unknown,
        });
        let outcome = match &sent {
            Ok(reply) => reply.head.status.as_str().to_owned(),
            Err(error) => error.to_string().split(':').next().unwrap_or_default().to_owned(),
        };
        Metrics::count(&self.board.metrics.sends, &outcome);
        let reply = sent?;
        dispatch.note_first();
        Ok(Sent { reply, server: Arc::clone(server), dispatch })
    }

    /// Chooses a server that the request did not go to yet.
    pub fn place(&self, accepted: &Accepted) -> Option<(Arc<Server>, Spread)> {
        let servers = self.board.servers.of(&accepted.service);
        let is_open = |server: &&Arc<Server>| !server.is_leaving() && !accepted.tried.contains(&server.entry.name);
        let open: Vec<&Arc<Server>> = servers.iter().filter(is_open).collect();
        let loads: Vec<_> = open.iter().map(|server| server.load.lock()).collect();
        let candidates: Vec<Candidate<'_>> = open
            .iter()
            .zip(&loads)
            .map(|(server, load)| Candidate {
                name: &server.entry.name,
                place: &server.entry.place,
                load,
                slots: server.entry.slots,
            })
            .collect();
        let ask = Ask {
            generation: accepted.request.generation.as_ref(),
            place: &self.board.identity.place,
            now: self.board.clock.now(),
        };
        let spread = choose(&ask, &candidates)?;
        Some((Arc::clone(open[spread.index]), spread))
    }

    /// Notes what a failed sending tells of its server.
    pub fn note_send_error(&self, accepted: &Accepted, server: &Arc<Server>, error: &SendError) {
        let (id, name) = (&accepted.request.id, &server.entry.name);
        fleet_event!(Event::SendFailed, "request={id} server={name} error=\"{error}\" run={}", accepted.has_run);
        match error {
            SendError::OtherServer => server.leave(),
            SendError::Rejected | SendError::Late => {}
            SendError::NotSent(_) | SendError::Unknown(_) => {
                if let SendError::Unknown(_) = error {
                    suspects::look_after(&self.board, server, accepted.print);
                }
                let now = self.board.clock.now();
                let until = server.load.lock().note_failure(now);
                fleet_event!(Event::ServerRests, "server={name} rest_ms={}", until.since(now).as_millis());
            }
        }
    }

    /// Refusal of a request that goes to no further server.
    pub fn give_up(&self, accepted: &Accepted, reason: &str) -> Refusal {
        let detail = format!(
            "route={} service={} sends={} version={} reason=\"{reason}\"",
            accepted.route.name,
            accepted.service,
            accepted.sends,
            self.board.table().map_or(0, |table| table.version())
        );
        let is_late = Instant::now() >= accepted.until;
        match (accepted.has_run, is_late) {
            (false, _) => Refusal::not_run(Code::NoBackendServer, detail).retry_after(SERVER_BACKOFF),
            (true, false) => Refusal::may_have_run(Code::BackendFailed, detail),
            (true, true) => Refusal::may_have_run(Code::DeadlinePassed, detail),
        }
    }
}
