//! Detects requests and prompt parts that crash backend servers, and refuses them when they come again.
//!
//! A request counts as the cause of a crash if the server broke off its response and accepts no new connection right
//! after; a server that only lost its response still accepts one. Suspected requests are reported to the other
//! instances in the credit record, evidence about parts in a topic of its own. See `docs/ADMISSION.md#quarantine`.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::{BudgetKey, ClientAccountName, EnvironmentName, ServiceName, Stage};
use coltsfootpick_core::part_blame::PartChange;
use coltsfootpick_core::part_evidence::{PartCrash, PartStatus, PartUse};
use coltsfootpick_core::quarantine::{Fingerprint, Loss, QuarantineStatus};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::selection::Generation;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use tokio::task::JoinHandle;

use crate::admitted_request::AdmittedRequest;
use crate::blackboard::Blackboard;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::path_controller;
use crate::pool::ConnectError;
use crate::request::CallerRequest;
use crate::servers::Server;

/// Retry delay given to a quarantined request.
const QUARANTINE_BACKOFF: Duration = Duration::from_secs(60);

/// Retry delay given to a request with a suspected part, of which another one is on trial.
const TRIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum number of suspected requests reported in one record; the newest come first.
pub const SUSPECTS_PER_RECORD: usize = 32;

/// Hash of a request without its id, which recognises it when a caller sends it again.
pub fn fingerprint(request: &CallerRequest, account: Option<&ClientAccountName>, service: &ServiceName) -> Fingerprint {
    let owner = BudgetKey {
        environment: EnvironmentName::from(&*request.host),
        stage: Stage::Production,
        account: account.cloned().unwrap_or_else(|| ClientAccountName::from("")),
    };
    let content = [request.method.as_str().as_bytes(), request.target.as_bytes(), &request.body].join(&b'\n');
    Fingerprint::of(&owner, service, &content)
}

/// Checks that a request is not in quarantine.
///
/// # Errors
///
/// Refuses a request that is known to crash servers.
pub fn check_quarantine(board: &Blackboard, fingerprint: Fingerprint) -> Result<(), Refusal> {
    match board.quarantine.lock().status(fingerprint, board.clock.now()) {
        QuarantineStatus::Clear | QuarantineStatus::Suspect => Ok(()),
        QuarantineStatus::Quarantined => {
            let detail = format!("print={fingerprint} crashed the servers that ran it");
            Err(Refusal::not_run(Code::Quarantined, detail).retry_after(QUARANTINE_BACKOFF))
        }
    }
}

/// Suspected parts of a prompt that are on trial at this instance until this is dropped.
#[derive(Debug)]
pub struct PartTrial {
    board: Arc<Blackboard>,
    parts: Vec<u64>,
}

impl Drop for PartTrial {
    fn drop(&mut self) {
        let mut blame = self.board.part_blame.lock();
        for part in &self.parts {
            blame.end_trial(*part);
        }
    }
}

/// Status of `part` for a request of `account` on a server with `weights`.
fn part_status(board: &Blackboard, part: u64, account: &ClientAccountName, weights: u64) -> PartStatus {
    let now = board.clock.now();
    let status = |turn: u32| board.part_blame.lock().status(part, &PartUse { account, weights, turn }, now);
    // The turn takes a pass over the fleet and matters to convicted parts only.
    match status(u32::MAX) {
        PartStatus::Convicted(_) => status(board.fleet_turn(part)),
        other => other,
    }
}

/// Versions of weights, of those in `servers`, on which a part of the prompt is convicted, with the time that is left.
pub fn barred_weights(
    board: &Blackboard,
    parts: &[u64],
    account: &ClientAccountName,
    servers: &[Arc<Server>],
) -> Vec<(u64, u64, Duration)> {
    if !board.part_blame.lock().knows_any(parts.iter().copied()) {
        return Vec::new();
    }
    let versions: BTreeSet<u64> = servers.iter().map(|server| server.entry.weights).collect();
    let convicted = |weights: u64| {
        parts.iter().find_map(|part| match part_status(board, *part, account, weights) {
            PartStatus::Convicted(left) => Some((weights, *part, left)),
            PartStatus::Clear | PartStatus::Suspect => None,
        })
    };
    versions.into_iter().filter_map(convicted).collect()
}

/// Checks that the parts of a prompt do not crash servers; a suspected part is put on trial.
///
/// # Errors
///
/// Refuses a request with a part that is convicted on all servers, or with a suspected one that is on trial already.
pub fn check_parts(
    board: &Arc<Blackboard>,
    generation: Option<&Generation>,
    account: &ClientAccountName,
    service: &ServiceName,
) -> Result<Option<PartTrial>, Refusal> {
    let parts: Vec<u64> = generation.into_iter().flat_map(Generation::shared_parts).collect();
    if !board.part_blame.lock().knows_any(parts.iter().copied()) {
        return Ok(None);
    }
    let mut servers = board.servers.of_service(service);
    servers.retain(|server| !server.is_leaving());
    let barred = barred_weights(board, &parts, account, &servers);
    let is_barred = |weights: u64| barred.iter().any(|(known, ..)| *known == weights);
    let first = barred.iter().min_by_key(|(.., left)| *left);
    if let Some((_, part, left)) = first.filter(|_| servers.iter().all(|server| is_barred(server.entry.weights))) {
        let detail = format!("part={part:016x} account={account} crashed the servers that answered on it");
        return Err(Refusal::not_run(Code::Quarantined, detail).retry_after(*left));
    }
    let is_suspect = |part: u64| {
        let mut versions = servers.iter().map(|server| server.entry.weights);
        versions.any(|weights| part_status(board, part, account, weights) == PartStatus::Suspect)
    };
    let suspects = parts.into_iter().filter(|part| is_suspect(*part));
    let mut trial = PartTrial { board: Arc::clone(board), parts: Vec::new() };
    for part in suspects.collect::<BTreeSet<_>>() {
        if !board.part_blame.lock().start_trial(part) {
            let detail = format!("part={part:016x} account={account} is suspected and on trial");
            return Err(Refusal::not_run(Code::Quarantined, detail).retry_after(TRIAL_BACKOFF));
        }
        trial.parts.push(part);
    }
    Ok(Some(trial).filter(|trial| !trial.parts.is_empty()))
}

/// Records that `server` ended its answer with `head`, which clears the parts of the prompt.
///
/// The end of an answer without length or chunks is that of its connection, which a crash ends as well; there the server
/// must still be alive.
pub fn note_answer_end(
    board: &Arc<Blackboard>,
    admitted: &AdmittedRequest,
    server: &Arc<Server>,
    head: &Parts,
    events: u64,
) {
    let (parts, weights) = (admitted.shared_parts(), server.entry.weights);
    if parts.is_empty() {
        return;
    }
    if is_framed(head) {
        return note_sound(board, parts, weights);
    }
    let (board, probe) = (Arc::clone(board), probe_server(board, server, admitted, events));
    tokio::spawn(async move {
        if !probe.await.unwrap_or(true) {
            note_sound(&board, parts, weights);
        }
    });
}

/// Whether a response has a length or chunks, so that its end can be told from that of its connection.
pub fn is_framed(head: &Parts) -> bool {
    head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING)
}

fn note_sound(board: &Blackboard, parts: Vec<u64>, weights: u64) {
    let changes = board.part_blame.lock().record_sound(parts, weights, board.clock.reading());
    note_changes(board, &changes, "answer");
}

/// Logs and counts changes in the status of parts, and has own evidence reported.
pub fn note_changes(board: &Blackboard, changes: &[PartChange], told_by: &str) {
    if changes.is_empty() {
        return;
    }
    for PartChange { part, status, servers } in changes {
        let event = if *status == PartStatus::Clear { LogEvent::PartCleared } else { LogEvent::PartBlamed };
        let servers = servers.iter().map(|name| &**name).collect::<Vec<_>>().join(",");
        log_event!(event, "part={part:016x} standing={status} told-by={told_by} servers={servers}");
    }
    let convicted = board.part_blame.lock().convicted_count(board.clock.now());
    board.metrics.convicted_parts.set(i64::try_from(convicted).unwrap_or(i64::MAX));
    board.observation_news.notify_one();
}

/// Whether an unanswered request may be the cause if its server is lost: this instance saw no complete answer on one of
/// the parts of its prompt.
pub fn may_be_cause(board: &Blackboard, admitted: &AdmittedRequest, server: &Server) -> bool {
    let parts = admitted.shared_parts();
    let account = admitted.account_name();
    let request = PartUse { account: &account, weights: server.entry.weights, turn: 0 };
    !board.part_blame.lock().are_proven(parts, &request, board.clock.now())
}

/// Connects to `server` after it broke off a request that had received `events` events, and returns whether the server
/// is lost; if so, reports the request and the parts of its prompt.
pub fn probe_server(
    board: &Arc<Blackboard>,
    server: &Arc<Server>,
    admitted: &AdmittedRequest,
    events: u64,
) -> JoinHandle<bool> {
    let (board, server) = (Arc::clone(board), Arc::clone(server));
    let (fingerprint, id) = (admitted.fingerprint, Arc::clone(&admitted.request.id));
    let parts = admitted.shared_parts();
    let list = admitted.request.generation.as_ref().map(Generation::part_list).unwrap_or_default();
    let crash = PartCrash {
        at: board.clock.unix_millis(),
        server: server.entry.name.clone(),
        account: admitted.account_name(),
        weights: server.entry.weights,
        is_answered: events > 0,
    };
    tokio::spawn(async move {
        let error = match server.pool.connect(usize::MAX).await {
            Ok(lease) => {
                server.pool.release(lease, None);
                return false;
            }
            Err(error) => error,
        };
        if !path_controller::confirm_path(&board, &server.entry.service, &server.entry.name).await {
            log::debug!("request {id}: server {} is not blamed, since others fail too", server.entry.name);
            return false;
        }
        let now = board.clock.now();
        let loss = Loss { server: server.entry.name.clone(), number: rand::random() };
        let status = board.quarantine.lock().record_loss(fingerprint, loss, now);
        let name = &server.entry.name;
        log_event!(
            LogEvent::Suspected,
            "request={id} print={fingerprint} server={name} standing={status} events={events} parts={list} \
             error=\"{error}\""
        );
        // A server that cannot be reached may be sound, and one that leaves ends anyway.
        let has_crashed = matches!(error, ConnectError::Refused(_)) && !server.is_leaving();
        if has_crashed {
            let changes = board.part_blame.lock().record_crash(parts, &crash, now);
            note_changes(&board, &changes, "crash");
        }
        has_crashed
    })
}
