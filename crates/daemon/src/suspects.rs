//! Suspects of this instance, their isolation, and the news that peers exchange about them.

use std::sync::Arc;

use coltsfootpick_core::names::BackendServerName;
use coltsfootpick_core::quarantine::{Fingerprint, Loss, Quarantine, Standing, SuspectNews};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::units::Instant;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;

/// Suspects under one lock, with wake-ups for whoever waits or passes news on.
#[derive(Debug, Default)]
pub struct Suspects {
    state: Mutex<Quarantine>,
    released: Notify,
    changed: Notify,
}

/// Whether a suspect may start now.
#[derive(Debug)]
pub enum Isolation {
    /// It runs alone among suspects while the guard lives.
    Alone(Isolated),
    /// Another suspect came first.
    Taken,
}

impl Suspects {
    /// Where `print` stands.
    pub fn standing(&self, print: Fingerprint, now: Instant) -> Standing {
        self.state.lock().standing(print, now)
    }

    /// Servers that the suspect must not run on, and servers on which another suspect runs.
    pub fn limits(&self, print: Fingerprint) -> (Vec<BackendServerName>, Vec<BackendServerName>) {
        let state = self.state.lock();
        (state.barred(print), state.occupied())
    }

    /// Tells whether the suspect `print` runs now.
    pub fn is_running(&self, print: Fingerprint) -> bool {
        self.state.lock().is_running(print)
    }

    /// Waits until some suspect ends; create it before looking at the limits.
    pub fn released(&self) -> tokio::sync::futures::Notified<'_> {
        self.released.notified()
    }

    /// Notes that `server` was lost while `print` ran on it.
    pub fn lose(&self, instance: &Instance, print: Fingerprint, server: &BackendServerName) -> Standing {
        let loss = Loss { server: server.clone(), number: instance.random_u64() };
        let standing = self.state.lock().lose(print, loss, instance.deps.clock.now());
        event!(Event::Suspected, "print={print} server={server} standing={standing}");
        if standing == Standing::Quarantined {
            event!(Event::Quarantined, "print={print}");
        }
        self.changed.notify_waiters();
        standing
    }

    /// Excuses a request that completed.
    pub fn complete(&self, print: Fingerprint, now: Instant) {
        let mut state = self.state.lock();
        if state.standing(print, now) == Standing::Suspect {
            state.complete(print, now);
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// Everything worth telling peers; waits of [`changed`](Self::changed) tell when to send it.
    pub fn news(&self, now: Instant) -> Vec<SuspectNews> {
        self.state.lock().news(now)
    }

    /// Takes in what a peer tells; the same news again does no harm.
    pub fn take_news(&self, news: Vec<SuspectNews>, now: Instant) {
        self.state.lock().take_news(news, now);
    }

    /// Waits for the next change that is worth telling.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }
}

/// Suspect that runs alone among suspects on its server.
#[derive(Debug)]
pub struct Isolated {
    instance: Arc<Instance>,
    server: BackendServerName,
}

impl Isolated {
    /// Starts `print` on `server` unless another suspect runs there or it runs already.
    pub fn start(instance: &Arc<Instance>, print: Fingerprint, server: &BackendServerName) -> Isolation {
        let is_alone = instance.suspects.state.lock().isolate(print, server);
        match is_alone {
            true => Isolation::Alone(Self { instance: Arc::clone(instance), server: server.clone() }),
            false => Isolation::Taken,
        }
    }
}

impl Drop for Isolated {
    fn drop(&mut self) {
        let suspects = &self.instance.suspects;
        suspects.state.lock().release(&self.server);
        suspects.released.notify_waiters();
    }
}

/// Refusal of a quarantined request.
pub fn refusal(has_run: bool) -> Refusal {
    let detail = "backend servers were lost each time that this request ran";
    match has_run {
        true => Refusal::may_have_run(Code::Quarantined, detail),
        false => Refusal::not_run(Code::Quarantined, detail),
    }
}
