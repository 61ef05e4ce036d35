//! Requests that are suspected of crashing the backend servers that run them.
//!
//! Every request that ran on a lost server is a suspect until it completes elsewhere. A suspect runs
//! alone among suspects, so that a second loss names one of them. See `docs/ADMISSION.md#quarantine`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use sha2::{Digest, Sha256};

use crate::names::{BackendServerName, BudgetKey, ServiceName};
use crate::units::Instant;

/// Lost servers after which a request is not sent again.
pub const LOSSES_MAX: usize = 2;

/// Time for which a suspicion or a quarantine lasts after the last loss.
pub const SUSPICION: Duration = Duration::from_secs(3_600);

/// Suspects remembered; those about to expire are forgotten first.
pub const SUSPECTS_MAX: usize = 4_096;

const FINGERPRINT_BYTES: usize = 16;

/// Hash that recognises a request when its caller sends it again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{}", hex::encode(_0))]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Hashes a request; the account keeps one caller from naming another's request.
    pub fn of(account: &BudgetKey, service: &ServiceName, body: &[u8]) -> Self {
        let head = format!("{account}\n{service}\n");
        let digest = Sha256::new().chain_update(head).chain_update(body).finalize();
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        fingerprint.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(fingerprint)
    }
}

/// Loss of one server while a request ran on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Loss {
    /// Server that was lost.
    pub server: BackendServerName,
    /// Random number that keeps two losses of one server apart.
    pub number: u64,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum QuarantineStatus {
    /// It may run anywhere.
    Clear,
    /// It may run where no other suspect runs.
    Suspect,
    /// It is not sent again.
    Quarantined,
}

/// What one instance tells others of one suspect; taking it in twice or out of order does no harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectReport {
    /// Request.
    pub fingerprint: Fingerprint,
    /// Losses while it ran.
    pub losses: Vec<Loss>,
    /// Losses among them that it is excused for, since it completed later.
    pub excused: Vec<Loss>,
    /// Time remaining until the suspicion ends.
    pub remaining: Duration,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    losses: BTreeSet<Loss>,
    excused: BTreeSet<Loss>,
    until: Instant,
}

impl Suspect {
    /// Servers that it is suspected for.
    fn servers(&self) -> BTreeSet<&BackendServerName> {
        self.losses.difference(&self.excused).map(|loss| &loss.server).collect()
    }

    fn status(&self, now: Instant) -> QuarantineStatus {
        match self.servers().len() {
            _ if self.until <= now => QuarantineStatus::Clear,
            0 => QuarantineStatus::Clear,
            count if count < LOSSES_MAX => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined,
        }
    }
}

/// Suspects known to one instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    running: BTreeMap<BackendServerName, Fingerprint>,
}

impl Quarantine {
    /// Where `fingerprint` stands.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        self.suspects.get(&fingerprint).map_or(QuarantineStatus::Clear, |suspect| suspect.status(now))
    }

    /// Notes a loss while `fingerprint` ran on the lost server.
    pub fn record_loss(&mut self, fingerprint: Fingerprint, loss: Loss, now: Instant) -> QuarantineStatus {
        self.evict_if_full(fingerprint, now);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.losses.insert(loss);
        suspect.until = now.after(SUSPICION);
        suspect.status(now)
    }

    /// Excuses `fingerprint` for its losses so far, since it completed; a quarantine is not lifted.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(suspect) =
            self.suspects.get_mut(&fingerprint).filter(|known| known.status(now) == QuarantineStatus::Suspect)
        {
            suspect.excused = suspect.losses.clone();
        }
    }

    /// Servers that the suspect `fingerprint` must not run on: those it is suspected for.
    pub fn barred_servers(&self, fingerprint: Fingerprint) -> Vec<BackendServerName> {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map(|known| known.servers().into_iter().cloned().collect()).unwrap_or_default()
    }

    /// Servers on which a suspect runs now.
    pub fn occupied_servers(&self) -> Vec<BackendServerName> {
        self.running.keys().cloned().collect()
    }

    /// Starts the suspect `fingerprint` on `server`; false when it runs already or another suspect runs there.
    pub fn isolate(&mut self, fingerprint: Fingerprint, server: &BackendServerName) -> bool {
        let is_free = !self.running.contains_key(server) && !self.is_running(fingerprint);
        if is_free {
            self.running.insert(server.clone(), fingerprint);
        }
        is_free
    }

    /// Tells whether the suspect `fingerprint` runs now.
    pub fn is_running(&self, fingerprint: Fingerprint) -> bool {
        self.running.values().any(|other| *other == fingerprint)
    }

    /// Ends the isolation of whatever suspect runs on `server`.
    pub fn release(&mut self, server: &BackendServerName) {
        self.running.remove(server);
    }

    /// Everything worth telling other instances.
    pub fn reports(&self, now: Instant) -> Vec<SuspectReport> {
        let live = self.suspects.iter().filter(|(_, suspect)| suspect.until > now);
        live.map(|(fingerprint, suspect)| SuspectReport {
            fingerprint: *fingerprint,
            losses: suspect.losses.iter().cloned().collect(),
            excused: suspect.excused.iter().cloned().collect(),
            remaining: suspect.until.since(now),
        })
        .collect()
    }

    /// Takes in what another instance tells.
    pub fn merge_reports(&mut self, news: Vec<SuspectReport>, now: Instant) {
        for item in news {
            self.evict_if_full(item.fingerprint, now);
            let suspect = self.suspects.entry(item.fingerprint).or_default();
            suspect.losses.extend(item.losses);
            suspect.excused.extend(item.excused);
            suspect.until = suspect.until.max(now.after(item.remaining.min(SUSPICION)));
        }
    }

    fn evict_if_full(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.suspects.len() < SUSPECTS_MAX || self.suspects.contains_key(&fingerprint) {
            return;
        }
        self.suspects.retain(|_, suspect| suspect.until > now);
        let first = self.suspects.iter().min_by_key(|(_, suspect)| suspect.until).map(|(fingerprint, _)| *fingerprint);
        if self.suspects.len() >= SUSPECTS_MAX {
            first.map(|fingerprint| self.suspects.remove(&fingerprint));
        }
    }
}
