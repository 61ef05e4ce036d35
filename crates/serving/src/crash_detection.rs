//! Requests that crash the backend servers that run them: recognised when callers send them again, and not sent on.
//!
//! A server counts as lost to a request when it broke off without an answer and takes no connection right after; one
//! that only lost its answer does. What one instance learns goes to the others with its credit record. See
//! `docs/ADMISSION.md#quarantine`.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::{BudgetKey, ClientAccountName, EnvironmentName, ServiceName, Stage};
use coltsfootpick_core::quarantine::{Fingerprint, Loss, Standing};
use coltsfootpick_core::refusal::{Code, Refusal};

use crate::blackboard::Blackboard;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::request::CallerRequest;
use crate::servers::Server;

/// When the caller of a quarantined request should come back.
const QUARANTINE_BACKOFF: Duration = Duration::from_secs(60);

/// Suspects that one record tells of; the newest are told first.
pub const SUSPECTS_PER_RECORD: usize = 32;

/// Hash that recognises a request when its caller sends it again under another id.
pub fn fingerprint(request: &CallerRequest, account: Option<&ClientAccountName>, service: &ServiceName) -> Fingerprint {
    let owner = BudgetKey {
        environment: EnvironmentName::from(&*request.host),
        stage: Stage::Production,
        account: account.cloned().unwrap_or_else(|| ClientAccountName::from("")),
    };
    let whole = [request.method.as_str().as_bytes(), request.target.as_bytes(), &request.body].join(&b'\n');
    Fingerprint::of(&owner, service, &whole)
}

/// Refuses a request that is known to crash servers.
pub fn check_quarantine(board: &Blackboard, print: Fingerprint) -> Result<(), Refusal> {
    match board.quarantine.lock().standing(print, board.clock.now()) {
        Standing::Clear | Standing::Suspect => Ok(()),
        Standing::Quarantined => {
            let detail = format!("print={print} crashed the servers that ran it");
            Err(Refusal::not_run(Code::Quarantined, detail).retry_after(QUARANTINE_BACKOFF))
        }
    }
}

/// Looks whether `server` is lost, after it broke off a request without an answer.
pub fn probe_server(board: &Arc<Blackboard>, server: &Arc<Server>, print: Fingerprint) {
    let (board, server) = (Arc::clone(board), Arc::clone(server));
    tokio::spawn(async move {
        match server.pool.connect(usize::MAX).await {
            Ok(lease) => server.pool.release(lease, None),
            Err(error) => {
                let loss = Loss { server: server.entry.name.clone(), number: rand::random() };
                let standing = board.quarantine.lock().lose(print, loss, board.clock.now());
                let name = &server.entry.name;
                log_event!(LogEvent::Suspected, "print={print} server={name} standing={standing} error=\"{error}\"");
            }
        }
    });
}
