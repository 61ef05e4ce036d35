//! Paths of this instance to the servers of each service, shared by request handling and the controller that probes them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use coltsfootpick_core::names::{BackendServerName, ServiceName};
use coltsfootpick_core::path_health::{ConnectFailure, PathChange, PathHealth, PathState, SUSPICION_MAX};
use parking_lot::{Mutex, RwLock};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use tokio::sync::watch;

use crate::blackboard::InstanceClock;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::metrics::{Label, Metrics};
use crate::pool::ConnectError;

/// Path of this instance to the servers of one service.
#[derive(Debug)]
pub struct ServicePath {
    service: ServiceName,
    clock: InstanceClock,
    changes: Family<Label, Counter>,
    health: Mutex<PathHealth>,
    states: watch::Sender<PathState>,
    /// Whether a probe is under way.
    probing: AtomicBool,
}

impl ServicePath {
    /// State of the path.
    pub fn state(&self) -> PathState {
        *self.states.borrow()
    }

    /// Waits while the path is suspected, and returns whether a request should use it.
    pub async fn is_usable(&self) -> bool {
        let mut states = self.states();
        let verdict = states.wait_for(|state| *state != PathState::Suspect);
        let _ = tokio::time::timeout(SUSPICION_MAX, verdict).await;
        let health = self.health.lock();
        match health.state() {
            PathState::Sound | PathState::Suspect => true,
            PathState::Lost => health.may_use_open(),
            PathState::Returning => rand::random::<f64>() < health.direct_share(self.clock.now()),
        }
    }

    /// Whether only connections that are open already may still work.
    pub fn is_lost(&self) -> bool {
        self.state() == PathState::Lost
    }

    /// Waits until the path is lost and open connections with it.
    pub async fn lost_silently(&self) {
        let mut states = self.states();
        loop {
            let is_lost = states.wait_for(|state| *state == PathState::Lost).await.is_ok();
            if !is_lost {
                return std::future::pending().await;
            }
            if !self.health.lock().may_use_open() {
                return;
            }
            if states.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Whether `server` could not be connected to since the last success.
    pub fn has_failed(&self, server: &BackendServerName) -> bool {
        self.health.lock().has_failed(server)
    }

    /// Begins a probe unless one is under way.
    pub fn begin_probe(&self) -> bool {
        !self.probing.swap(true, Ordering::AcqRel)
    }

    /// Ends a probe.
    pub fn end_probe(&self) {
        self.probing.store(false, Ordering::Release);
    }

    /// Watches the state of the path.
    pub fn states(&self) -> watch::Receiver<PathState> {
        self.states.subscribe()
    }

    /// Counts a request that is sent to a server.
    pub fn note_sent(&self) {
        self.health.lock().note_sent(self.clock.now());
    }

    /// Counts the end of a request.
    pub fn note_ended(&self) {
        self.health.lock().note_ended();
    }

    /// Records that a server sent something.
    pub fn note_heard(&self) {
        self.apply(|health| health.note_heard(self.clock.now()));
    }

    /// Records a connection to a server.
    pub fn note_connected(&self) {
        self.apply(|health| health.note_connected(self.clock.now()));
    }

    /// Records that `server`, one of `total` that take work, could not be connected to.
    pub fn note_connect_error(&self, server: &BackendServerName, error: &ConnectError, total: usize) {
        let failure = match error {
            ConnectError::Full(_) => return,
            ConnectError::Refused(_) => ConnectFailure::Refused,
            ConnectError::Failed(_) => ConnectFailure::Silent,
        };
        self.apply(|health| health.note_failed(server, failure, total, self.clock.now()));
    }

    /// Applies what only the time changes.
    pub fn update(&self) {
        self.apply(|health| health.update(self.clock.now()));
    }

    fn apply(&self, act: impl FnOnce(&mut PathHealth) -> Option<PathChange>) {
        let mut health = self.health.lock();
        let Some(PathChange { state, lasted, failed, quiet }) = act(&mut health) else { return };
        // Sent under the lock, so that the watch never lags behind a later change.
        self.states.send_replace(state);
        drop(health);
        Metrics::count(&self.changes, &state.to_string());
        log_event!(
            LogEvent::PathChanged,
            "service={} state={state} lasted_ms={} failed={failed} quiet_ms={}",
            self.service,
            lasted.as_millis(),
            quiet.as_millis()
        );
    }
}

/// Paths of this instance to all services.
#[derive(Debug)]
pub struct Paths {
    clock: InstanceClock,
    changes: Family<Label, Counter>,
    services: RwLock<BTreeMap<ServiceName, Arc<ServicePath>>>,
}

impl Paths {
    /// Creates paths of which nothing is known yet; `changes` counts their changes by the new state.
    pub fn new(clock: InstanceClock, changes: Family<Label, Counter>) -> Self {
        Self { clock, changes, services: RwLock::default() }
    }

    /// Path to the servers of `service`.
    pub fn of(&self, service: &ServiceName) -> Arc<ServicePath> {
        if let Some(path) = self.services.read().get(service) {
            return Arc::clone(path);
        }
        let mut services = self.services.write();
        let path = services.entry(service.clone()).or_insert_with(|| {
            Arc::new(ServicePath {
                service: service.clone(),
                clock: self.clock,
                changes: self.changes.clone(),
                health: Mutex::new(PathHealth::new(self.clock.now())),
                states: watch::Sender::new(PathState::Sound),
                probing: AtomicBool::new(false),
            })
        });
        Arc::clone(path)
    }

    /// Paths to all services that requests were sent to.
    pub fn all(&self) -> Vec<(ServiceName, Arc<ServicePath>)> {
        self.services.read().iter().map(|(service, path)| (service.clone(), Arc::clone(path))).collect()
    }
}
