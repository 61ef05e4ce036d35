//! The path of one request: route, account, credit, server, answer.
//!
//! Each end knows whether the request has run: what was not sent, or was rejected, may be sent again or refused as
//! not run; anything else only where the route allows a repeat. See `docs/PLATFORM.md#requests`.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::{BackendServerName, ServiceName};
use coltsfootpick_core::refusal::{Code, Refusal, Run};
use coltsfootpick_core::routes::{Account, Repeat, Route, RouteTable};
use coltsfootpick_core::spread::{Ask, Candidate, Spread, choose};
use coltsfootpick_core::units::Tokens;
use http::response::Parts;
use tokio::time::Instant;

use crate::answer::{Answer, AnswerBody, EventStream, StreamCut};
use crate::board::{Board, OpenRequest};
use crate::borders::{BackendDialect, Sending};
use crate::events::Event;
use crate::exchange::{Dispatch, Reply, SendError, send};
use crate::fleet_event;
use crate::keeper::{Charge, CreditKeeper};
use crate::metrics::Metrics;
use crate::request::CallerRequest;
use crate::servers::Server;
use crate::stream::{EventCutter, Piece, read_piece};

/// When a request that found no server should come back.
const SERVER_BACKOFF: Duration = Duration::from_millis(400);

/// When a request that came before the first document should come back.
const START_BACKOFF: Duration = Duration::from_millis(500);

/// When a request that came to a stopping instance should come back; another instance takes it at once.
const DRAINING_BACKOFF: Duration = Duration::from_millis(50);

/// Servers tried for one request when none of them ran it.
const TRIES_MAX: usize = 4;

/// Output tokens of an event when the document does not tell.
const STRIDE_DEFAULT: u64 = 1;

/// What every request of one instance needs.
#[derive(Clone, Debug)]
pub struct RequestPath {
    /// Board.
    pub board: Arc<Board>,
    /// Credit.
    pub keeper: Arc<CreditKeeper>,
    /// Language of the backend servers.
    pub dialect: Arc<dyn BackendDialect>,
}

/// Events that a server may have sent and that were not read when a stream is cut here.
const EVENTS_ON_THE_WAY: u64 = 10;

/// How much of a generation is paid for.
enum Spent {
    /// It is proved not to have run.
    Nothing,
    /// It runs and brought this many events; dropped now, a few more are on the way.
    Open(u64),
    /// It ended with this many events.
    Whole(u64),
    /// It broke off; the server may have sent more than was read.
    Unknown,
}

/// Request whose route, account and credit are settled.
struct Accepted {
    request: CallerRequest,
    route: Arc<Route>,
    service: ServiceName,
    account: Option<Arc<Account>>,
    stride: u64,
    until: Instant,
    charge: Option<Charge>,
    tried: Vec<BackendServerName>,
    sends: u32,
    has_run: bool,
    _entered: OpenRequest,
}

impl Accepted {
    fn rank(&self) -> u8 {
        self.account.as_ref().and_then(|account| account.rank).unwrap_or(self.route.rank)
    }

    /// Charges what the request has used as far as it is known; more is never used than this tells.
    fn charge_for(&mut self, spent: Spent) {
        let generation = self.request.generation.as_ref();
        let (Some(charge), Some(generation)) = (&mut self.charge, generation) else { return };
        let events = |count: u64| generation.prompt + Tokens(count.saturating_mul(self.stride));
        charge.set_used(match spent {
            Spent::Nothing => Tokens::ZERO,
            Spent::Open(count) => events(count + EVENTS_ON_THE_WAY),
            Spent::Whole(count) => events(count),
            Spent::Unknown => generation.bound(),
        });
    }

    /// Whether another server may be tried after a sending that may have run.
    fn may_repeat(&self) -> bool {
        self.route.repeat != Repeat::Once && self.sends < self.route.attempts
    }
}

/// Tells in the log when a caller leaves before its answer is whole.
struct Watch {
    path: RequestPath,
    id: Arc<str>,
    arrived: Instant,
    is_over: bool,
}

impl Watch {
    fn end(&mut self, outcome: &str) {
        self.is_over = true;
        Metrics::count(&self.path.board.metrics.ended, outcome);
        self.path.board.metrics.whole.observe(self.arrived.elapsed().as_secs_f64());
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.is_over {
            let span = self.arrived.elapsed().as_millis();
            fleet_event!(Event::CallerLeft, "request={} after_ms={span}", self.id);
            self.end("caller-left");
        }
    }
}

impl RequestPath {
    /// Serves one request to its outcome; dropped, it ends the request at its server.
    pub async fn serve(&self, request: CallerRequest) -> Answer {
        let (id, arrived) = (Arc::clone(&request.id), request.arrived);
        let mut watch = Watch { path: self.clone(), id: Arc::clone(&id), arrived, is_over: false };
        let mut accepted = match self.accept(request).await {
            Ok(accepted) => accepted,
            Err(refusal) => return refuse(&mut watch, refusal),
        };
        let (reply, server, dispatch) = match self.dispatch(&mut accepted).await {
            Ok(sent) => sent,
            Err(refusal) => return refuse(&mut watch, refusal),
        };
        self.board.metrics.first.observe(arrived.elapsed().as_secs_f64());
        match accepted.route.streams && reply.head.status.is_success() {
            true => self.relay_stream(accepted, reply, server, dispatch, watch).await,
            false => self.relay_whole(accepted, reply, server, dispatch, watch).await,
        }
    }

    async fn accept(&self, request: CallerRequest) -> Result<Accepted, Refusal> {
        if self.board.closing.is_cancelled() {
            return Err(Refusal::not_run(Code::Draining, "the instance is stopping").retry_after(DRAINING_BACKOFF));
        }
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
        let charge = self.reserve(&request, account.as_deref(), until).await?;
        let engines = table.service(&service).and_then(|spec| spec.engines.as_ref());
        let stride = engines.map_or(STRIDE_DEFAULT, |spec| spec.stride);
        let _entered = self.board.enter();
        let tried = Vec::new();
        let (sends, has_run) = (0, false);
        Ok(Accepted { request, route, service, account, stride, until, charge, tried, sends, has_run, _entered })
    }

    async fn reserve(
        &self,
        request: &CallerRequest,
        account: Option<&Account>,
        until: Instant,
    ) -> Result<Option<Charge>, Refusal> {
        match (account, &request.generation) {
            (Some(Account { name, prepaid: Some(prepaid), .. }), Some(generation)) => {
                self.keeper.reserve(name, generation.bound(), *prepaid, until).await.map(Some)
            }
            _ => Ok(None),
        }
    }

    /// Sends to one server after another until one answers or the route's rules end it.
    async fn dispatch(&self, accepted: &mut Accepted) -> Result<(Reply, Arc<Server>, Dispatch), Refusal> {
        loop {
            let Some((server, spread)) = self.place(accepted) else {
                return Err(self.give_up(accepted, "no server takes it"));
            };
            let error = match self.send_once(accepted, &server, &spread, (None, 0)).await {
                Ok(sent) => return Ok((sent.0, server, sent.1)),
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
            if !may_go_on || (needs_right && !self.board.take_repeat(&accepted.service)) {
                return Err(self.give_up(accepted, &error.to_string()));
            }
        }
    }

    async fn send_once(
        &self,
        accepted: &mut Accepted,
        server: &Arc<Server>,
        spread: &Spread,
        (resumes, events): (Option<&str>, u64),
    ) -> Result<(Reply, Dispatch), SendError> {
        let left = accepted.until.saturating_duration_since(Instant::now());
        let account = accepted.account.clone();
        let sending = Sending {
            server: &server.entry,
            account: account.as_ref().map(|account| &account.name),
            left,
            rank: accepted.rank(),
            resumes,
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
            self.board.note_first_send(&accepted.service);
        }
        // Dropped while the server is at work, the request may have run: it is charged before it is sent.
        accepted.charge_for(Spent::Open(events));
        let sent = send(&self.board, &*self.dialect, &accepted.request, server, &sending, accepted.until).await;
        match &sent {
            Err(SendError::NotSent(_) | SendError::OtherServer) => {}
            _ => accepted.sends += 1,
        }
        let has_run = sent.as_ref().is_ok() || sent.as_ref().is_err_and(|error| !error.is_not_run());
        accepted.has_run |= has_run;
        if !accepted.has_run
            && let Some(charge) = &mut accepted.charge
        {
            charge.set_used(Tokens::ZERO);
        }
        let outcome = match &sent {
            Ok(reply) => reply.head.status.as_str().to_owned(),
            Err(error) => error.to_string().split(':').next().unwrap_or_default().to_owned(),
        };
        Metrics::count(&self.board.metrics.sends, &outcome);
        let reply = sent?;
        dispatch.note_first();
        Ok((reply, dispatch))
    }

    fn place(&self, accepted: &Accepted) -> Option<(Arc<Server>, Spread)> {
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

    fn note_send_error(&self, accepted: &Accepted, server: &Server, error: &SendError) {
        let (id, name) = (&accepted.request.id, &server.entry.name);
        fleet_event!(Event::SendFailed, "request={id} server={name} error=\"{error}\" run={}", accepted.has_run);
        match error {
            SendError::OtherServer => server.leave(),
            SendError::Rejected | SendError::Late => {}
            SendError::NotSent(_) | SendError::Unknown(_) => {
                let now = self.board.clock.now();
                let until = server.load.lock().note_failure(now);
                fleet_event!(Event::ServerRests, "server={name} rest_ms={}", until.since(now).as_millis());
            }
        }
    }

    fn give_up(&self, accepted: &Accepted, reason: &str) -> Refusal {
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

    async fn relay_whole(
        &self,
        mut accepted: Accepted,
        reply: Reply,
        server: Arc<Server>,
        dispatch: Dispatch,
        mut watch: Watch,
    ) -> Answer {
        let mut current = (reply, server, dispatch);
        loop {
            let (reply, server, dispatch) = current;
            let read = reply.read_whole(&server, accepted.until).await;
            let error = match read {
                Ok((head, body)) => {
                    self.note_answer(&server, &head, dispatch.elapsed());
                    let is_last = !head.status.is_server_error() || !accepted.may_repeat();
                    if is_last || !self.board.take_repeat(&accepted.service) {
                        return answered(&mut watch, &accepted, &server, head, AnswerBody::Whole(body));
                    }
                    SendError::Unknown(format!("status {}", head.status.as_u16()))
                }
                Err(error) => {
                    self.note_send_error(&accepted, &server, &error);
                    let may_go_on = error != SendError::Late && accepted.may_repeat();
                    if !may_go_on || !self.board.take_repeat(&accepted.service) {
                        return refuse(&mut watch, self.give_up(&accepted, &error.to_string()));
                    }
                    error
                }
            };
            drop(dispatch);
            accepted.tried.push(server.entry.name.clone());
            log::debug!("request {} is repeated after {error}", accepted.request.id);
            current = match self.dispatch(&mut accepted).await {
                Ok(sent) => sent,
                Err(refusal) => return refuse(&mut watch, refusal),
            };
        }
    }

    fn note_answer(&self, server: &Server, head: &Parts, took: Duration) {
        let mut load = server.load.lock();
        match head.status.is_server_error() {
            true => load.note_error(),
            false => {
                load.note_success();
                load.note_latency(took);
            }
        }
    }

    async fn relay_stream(
        &self,
        accepted: Accepted,
        reply: Reply,
        server: Arc<Server>,
        dispatch: Dispatch,
        watch: Watch,
    ) -> Answer {
        let head = reply.head.clone();
        let mut relay = StreamRelay {
            path: self.clone(),
            accepted,
            current: Some((reply, server, dispatch)),
            cutter: EventCutter::default(),
            watch,
        };
        // The head goes out with the first events, so that a break before them still has an answer of its own.
        match relay.next().await {
            Step::Events(first) => {
                let rest = futures_util::stream::unfold(Some(relay), |state| async move {
                    let mut relay = state?;
                    match relay.next().await {
                        Step::Events(events) => Some((Ok(events), Some(relay))),
                        Step::End => None,
                        Step::Cut(_) => Some((Err(StreamCut), None)),
                    }
                });
                let first = futures_util::stream::iter([Ok(first)]);
                let events: EventStream = Box::pin(futures_util::StreamExt::chain(first, rest));
                Answer::Relayed(Box::new(head), AnswerBody::Events(events))
            }
            Step::End => Answer::Relayed(Box::new(head), AnswerBody::Whole(bytes::Bytes::new())),
            Step::Cut(refusal) => Answer::Refused(refusal),
        }
    }
}

enum Step {
    Events(bytes::Bytes),
    End,
    Cut(Refusal),
}

/// Streamed answer on its way.
struct StreamRelay {
    path: RequestPath,
    accepted: Accepted,
    current: Option<(Reply, Arc<Server>, Dispatch)>,
    cutter: EventCutter,
    watch: Watch,
}

impl StreamRelay {
    async fn next(&mut self) -> Step {
        loop {
            let Some((mut reply, server, dispatch)) = self.current.take() else { return Step::End };
            let piece = read_piece(&mut reply.body, &mut self.cutter, self.accepted.until).await;
            let reason = match piece {
                Piece::Events(events) => {
                    self.accepted.charge_for(Spent::Open(self.cutter.events()));
                    self.current = Some((reply, server, dispatch));
                    return Step::Events(events);
                }
                Piece::End => {
                    let head = reply.head.clone();
                    self.path.note_answer(&server, &head, dispatch.elapsed());
                    self.note_end(&server);
                    reply.give_back(&server);
                    return Step::End;
                }
                Piece::Late => return self.cut("late"),
                Piece::Broken(reason) => reason,
            };
            drop((reply, dispatch));
            self.path.note_send_error(&self.accepted, &server, &SendError::Unknown(reason.clone()));
            self.accepted.tried.push(server.entry.name.clone());
            if !self.resume().await {
                return self.cut(&reason);
            }
        }
    }

    /// Goes on at another server after the last whole event, where the route allows it.
    async fn resume(&mut self) -> bool {
        let is_resumable = self.accepted.route.repeat == Repeat::Resumable;
        if !is_resumable || !self.accepted.may_repeat() || !self.path.board.take_repeat(&self.accepted.service) {
            return false;
        }
        self.cutter.forget_torn();
        let Some((server, spread)) = self.path.place(&self.accepted) else { return false };
        let last = self.cutter.last().map(str::to_owned);
        let (id, events) = (Arc::clone(&self.accepted.request.id), self.cutter.events());
        fleet_event!(Event::StreamResumed, "request={id} server={} events={events} last={last:?}", server.entry.name);
        match self.path.send_once(&mut self.accepted, &server, &spread, (last.as_deref(), events)).await {
            Ok((reply, dispatch)) if reply.head.status.is_success() => {
                self.current = Some((reply, server, dispatch));
                true
            }
            Ok(_) => false,
            Err(error) => {
                self.path.note_send_error(&self.accepted, &server, &error);
                false
            }
        }
    }

    fn note_end(&mut self, server: &Server) {
        self.accepted.charge_for(Spent::Whole(self.cutter.events()));
        let span = self.accepted.request.arrived.elapsed().as_millis();
        let (id, name) = (&self.accepted.request.id, &server.entry.name);
        let used = self.accepted.charge.as_ref().map_or(Tokens::ZERO, Charge::used);
        let events = self.cutter.events();
        fleet_event!(Event::Answered, "request={id} server={name} status=200 events={events} used={used} ms={span}");
        self.watch.end("answered");
    }

    fn cut(&mut self, reason: &str) -> Step {
        self.accepted.charge_for(Spent::Unknown);
        let (id, events) = (&self.accepted.request.id, self.cutter.events());
        fleet_event!(Event::StreamCut, "request={id} events={events} reason=\"{reason}\"");
        self.watch.end("cut");
        let code = if reason == "late" { Code::DeadlinePassed } else { Code::BackendFailed };
        Step::Cut(Refusal { code, run: Run::Ran, retry: None, detail: reason.to_owned() })
    }
}

fn account_of(table: &RouteTable, route: &Route, request: &CallerRequest) -> Result<Option<Arc<Account>>, Refusal> {
    let known = request.key.as_deref().and_then(|key| table.account_of(key));
    match known {
        Some(account) => Ok(Some(Arc::clone(account))),
        None if route.public || !table.needs_keys() => Ok(None),
        None => {
            let detail = format!("route={} version={} has-key={}", route.name, table.version(), request.key.is_some());
            Err(Refusal::not_run(Code::Unauthorized, detail))
        }
    }
}

fn refuse(watch: &mut Watch, refusal: Refusal) -> Answer {
    let (id, Refusal { code, run, detail, .. }) = (&watch.id, &refusal);
    let span = watch.arrived.elapsed().as_millis();
    fleet_event!(Event::Refused, "request={id} code={code} run={run} ms={span} {detail}");
    watch.end(&code.to_string());
    Answer::Refused(refusal)
}

fn answered(watch: &mut Watch, accepted: &Accepted, server: &Server, head: Parts, body: AnswerBody) -> Answer {
    let (id, name, status) = (&accepted.request.id, &server.entry.name, head.status.as_u16());
    let span = watch.arrived.elapsed().as_millis();
    fleet_event!(Event::Answered, "request={id} server={name} status={status} ms={span}");
    watch.end(if head.status.is_success() { "answered" } else { "failure-relayed" });
    Answer::Relayed(Box::new(head), body)
}
