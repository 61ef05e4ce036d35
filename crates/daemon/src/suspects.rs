//! Requests suspected of crashing backend servers: their isolation, and the reports that peers exchange about them.

use std::sync::Arc;

use coltsfootpick_core::names::BackendServerName;
use coltsfootpick_core::quarantine::{Fingerprint, Loss, Quarantine, QuarantineStatus, SuspectReport};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::units::Instant;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;

/// Quarantine state of this instance, with notifications of changes.
#[derive(Debug, Default)]
pub struct Suspects {
    state: Mutex<Quarantine>,
    server_released: Notify,
    changed: Notify,
}

/// Whether a suspect request may start now.
#[derive(Debug)]
pub enum IsolationOutcome {
    /// The request runs as the only suspect on its server while the guard lives.
    Isolated(IsolationGuard),
    /// Another suspect runs on the server, or the request itself is running already.
    Occupied,
}

impl Suspects {
    /// Returns the quarantine status of a request.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        self.state.lock().status(fingerprint, now)
    }

    /// Returns the servers that the suspect must not run on, and the servers that run another suspect.
    pub fn excluded_servers(&self, fingerprint: Fingerprint) -> (Vec<BackendServerName>, Vec<BackendServerName>) {
        let state = self.state.lock();
        (state.barred_servers(fingerprint), state.occupied_servers())
    }

    /// Returns whether the suspect request is running.
    pub fn is_running(&self, fingerprint: Fingerprint) -> bool {
        self.state.lock().is_running(fingerprint)
    }

    /// Waits until a suspect releases its server. Create the future before calling
    /// [`excluded_servers`](Self::excluded_servers), so that no release is missed.
    pub fn server_released(&self) -> tokio::sync::futures::Notified<'_> {
        self.server_released.notified()
    }

    /// Records that `server` was lost while it ran the request, and returns the request's new status.
    pub fn record_loss(
        &self,
        instance: &Instance,
        fingerprint: Fingerprint,
        server: &BackendServerName,
    ) -> QuarantineStatus {
        let loss = Loss { server: server.clone(), number: instance.random_u64() };
        let status = self.state.lock().record_loss(fingerprint, loss, instance.deps.clock.now());
        event!(Event::Suspected, "print={fingerprint} server={server} standing={status}");
        if status == QuarantineStatus::Quarantined {
            event!(Event::Quarantined, "print={fingerprint}");
        }
        self.changed.notify_waiters();
        status
    }

    /// Clears a suspect request that completed.
    pub fn record_completion(&self, fingerprint: Fingerprint, now: Instant) {
        let mut state = self.state.lock();
        if state.status(fingerprint, now) == QuarantineStatus::Suspect {
            state.record_completion(fingerprint, now);
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// Returns the reports for peers; [`changed`](Self::changed) signals when to send them.
    pub fn reports(&self, now: Instant) -> Vec<SuspectReport> {
        self.state.lock().reports(now)
    }

    /// Merges a peer's reports; merging the same report twice has no effect.
    pub fn merge_reports(&self, reports: Vec<SuspectReport>, now: Instant) {
        self.state.lock().merge_reports(reports, now);
    }

    /// Waits for the next change of the reports.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }
}

/// Reserves a server for one suspect; dropping it releases the server.
#[derive(Debug)]
pub struct IsolationGuard {
    instance: Arc<Instance>,
    server: BackendServerName,
}

impl IsolationGuard {
    /// Isolates the request on `server`, unless another suspect runs there or the request is running already.
    pub fn start(instance: &Arc<Instance>, fingerprint: Fingerprint, server: &BackendServerName) -> IsolationOutcome {
        let is_isolated = instance.suspects.state.lock().isolate(fingerprint, server);
        match is_isolated {
            true => IsolationOutcome::Isolated(Self { instance: Arc::clone(instance), server: server.clone() }),
            false => IsolationOutcome::Occupied,
        }
    }
}

impl Drop for IsolationGuard {
    fn drop(&mut self) {
        let suspects = &self.instance.suspects;
        suspects.state.lock().release(&self.server);
        suspects.server_released.notify_waiters();
    }
}

/// Builds the refusal of a quarantined request.
pub fn refusal(has_run: bool) -> Refusal {
    let detail = "backend servers were lost each time that this request ran";
    match has_run {
        true => Refusal::may_have_run(Code::Quarantined, detail),
        false => Refusal::not_run(Code::Quarantined, detail),
    }
}
