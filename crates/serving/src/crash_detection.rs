//! Detects requests that crash backend servers, and refuses them when callers send them again.
//!
//! A request counts as the cause of a crash if the server broke off without a response and accepts no new connection
//! right after; a server that only lost its response still accepts one. Suspected requests are reported to the other
//! instances in the credit record. See `docs/ADMISSION.md#quarantine`.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::{BudgetKey, ClientAccountName, EnvironmentName, ServiceName, Stage};
use coltsfootpick_core::quarantine::{Fingerprint, Loss, QuarantineStatus};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::selection::Generation;

use crate::admitted_request::AdmittedRequest;
use crate::blackboard::Blackboard;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::request::CallerRequest;
use crate::servers::Server;

/// Retry delay given to a quarantined request.
const QUARANTINE_BACKOFF: Duration = Duration::from_secs(60);

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

/// Connects to `server` after it broke off a request; if that fails, reports the request as suspect. `events` is the
/// number of events that the request had received.
pub fn probe_server(board: &Arc<Blackboard>, server: &Arc<Server>, admitted: &AdmittedRequest, events: u64) {
    let (board, server) = (Arc::clone(board), Arc::clone(server));
    let (fingerprint, id) = (admitted.fingerprint, Arc::clone(&admitted.request.id));
    let parts = admitted.request.generation.as_ref().map(Generation::part_list).unwrap_or_default();
    tokio::spawn(async move {
        match server.pool.connect(usize::MAX).await {
            Ok(lease) => server.pool.release(lease, None),
            Err(error) => {
                let loss = Loss { server: server.entry.name.clone(), number: rand::random() };
                let status = board.quarantine.lock().record_loss(fingerprint, loss, board.clock.now());
                let name = &server.entry.name;
                log_event!(
                    LogEvent::Suspected,
                    "request={id} print={fingerprint} server={name} standing={status} events={events} parts={parts} \
                     error=\"{error}\""
                );
            }
        }
    });
}
