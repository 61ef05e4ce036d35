//! Quarantine of requests that are suspected of crashing the backend servers that run them.
//!
//! Every request that ran on a lost server is a suspect until it completes on another one. A server runs at most one
//! suspect at a time, so that a second loss incriminates a single request. See `docs/ADMISSION.md#quarantine`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use sha2::{Digest, Sha256};

use crate::names::{BackendServerName, BudgetKey, ServiceName};
use crate::units::Instant;

/// Number of lost servers from which a request is quarantined.
pub const LOSSES_MAX: usize = 2;

/// Time after the last loss at which a suspicion or a quarantine expires.
pub const SUSPICION_TTL: Duration = Duration::from_secs(3_600);

/// Maximum number of remembered suspects; those that expire first are evicted first.
pub const SUSPECTS_MAX: usize = 4_096;

const FINGERPRINT_BYTES: usize = 16;

/// Hash that identifies a request when its caller repeats it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{}", hex::encode(_0))]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Hashes a request, including the account, so that no caller can match the request of another account.
    pub fn of(account: &BudgetKey, service: &ServiceName, body: &[u8]) -> Self {
        let head = format!("{account}\n{service}\n");
        let digest = Sha256::new().chain_update(head).chain_update(body).finalize();
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        fingerprint.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(fingerprint)
    }
}

/// Loss of a server while a request ran on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Loss {
    /// Server that was lost.
    pub server: BackendServerName,
    /// Random number that distinguishes losses of the same server.
    pub number: u64,
}

/// Whether a request may run, and on which servers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum QuarantineStatus {
    /// The request may run on any server.
    Clear,
    /// The request may run on a server that runs no other suspect.
    Suspect,
    /// The request must not run again.
    Quarantined,
}

/// Report of a suspect to other instances; merging it is idempotent and independent of the order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Losses of servers while the request ran on them.
    pub losses: Vec<Loss>,
    /// Losses that no longer count, because the request completed later.
    pub excused: Vec<Loss>,
    /// Time until the suspicion expires.
    pub remaining: Duration,
}

/// Losses that a request is suspected of, until the suspicion expires.
#[derive(Clone, Debug, Default)]
struct Suspect {
    losses: BTreeSet<Loss>,
    excused: BTreeSet<Loss>,
    until: Instant,
    /// Revision of the quarantine at the last change of this suspect.
    revision: u64,
}

impl Suspect {
    fn report(&self, fingerprint: Fingerprint, now: Instant) -> SuspectReport {
        SuspectReport {
            fingerprint,
            losses: self.losses.iter().cloned().collect(),
            excused: self.excused.iter().cloned().collect(),
            remaining: self.until.since(now),
        }
    }

    /// Returns the servers whose loss the request is suspected of.
    fn suspected_servers(&self) -> BTreeSet<&BackendServerName> {
        self.losses.difference(&self.excused).map(|loss| &loss.server).collect()
    }

    fn status(&self, now: Instant) -> QuarantineStatus {
        match self.suspected_servers().len() {
            _ if self.until <= now => QuarantineStatus::Clear,
            0 => QuarantineStatus::Clear,
            count if count < LOSSES_MAX => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined,
        }
    }
}

/// Suspects known to one instance, and the suspects running on each server.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    running: BTreeMap<BackendServerName, Fingerprint>,
    /// Number of changes so far; reports to one peer continue from the revision that it knows.
    revision: u64,
}

impl Quarantine {
    /// Returns the status of the request `fingerprint`.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        self.suspects.get(&fingerprint).map_or(QuarantineStatus::Clear, |suspect| suspect.status(now))
    }

    /// Records the loss of a server on which `fingerprint` ran, and returns the new status of the request.
    pub fn record_loss(&mut self, fingerprint: Fingerprint, loss: Loss, now: Instant) -> QuarantineStatus {
        self.evict_if_full(fingerprint, now);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.losses.insert(loss);
        suspect.until = now.after(SUSPICION_TTL);
        self.revision += 1;
        suspect.revision = self.revision;
        suspect.status(now)
    }

    /// Excuses a suspect from its losses so far, because it completed; a quarantine is not lifted.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Some(suspect) =
            self.suspects.get_mut(&fingerprint).filter(|known| known.status(now) == QuarantineStatus::Suspect)
        {
            suspect.excused = suspect.losses.clone();
            self.revision += 1;
            suspect.revision = self.revision;
        }
    }

    /// Returns the servers that the suspect `fingerprint` must not run on again: those of its losses.
    pub fn barred_servers(&self, fingerprint: Fingerprint) -> Vec<BackendServerName> {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map(|known| known.suspected_servers().into_iter().cloned().collect()).unwrap_or_default()
    }

    /// Returns the servers that run a suspect.
    pub fn occupied_servers(&self) -> Vec<BackendServerName> {
        self.running.keys().cloned().collect()
    }

    /// Marks the suspect `fingerprint` as running on `server`.
    ///
    /// Returns false if the server already runs a suspect, or if the request already runs on a server.
    pub fn isolate(&mut self, fingerprint: Fingerprint, server: &BackendServerName) -> bool {
        let is_free = !self.running.contains_key(server) && !self.is_running(fingerprint);
        if is_free {
            self.running.insert(server.clone(), fingerprint);
        }
        is_free
    }

    /// Returns whether the suspect `fingerprint` is running.
    pub fn is_running(&self, fingerprint: Fingerprint) -> bool {
        self.running.values().any(|other| *other == fingerprint)
    }

    /// Ends the isolation of the suspect that ran on `server`.
    pub fn release(&mut self, server: &BackendServerName) {
        self.running.remove(server);
    }

    /// Returns reports of all suspects that have not expired.
    pub fn reports(&self, now: Instant) -> Vec<SuspectReport> {
        self.reports_since(0, usize::MAX, now).0
    }

    /// Returns reports of up to `limit` suspects that changed after `revision` and have not expired, in the order of
    /// their changes, and the revision from which to continue.
    pub fn reports_since(&self, revision: u64, limit: usize, now: Instant) -> (Vec<SuspectReport>, u64) {
        let is_new = |suspect: &&Suspect| suspect.revision > revision && suspect.until > now;
        let mut changed: Vec<_> = self.suspects.iter().filter(|(_, suspect)| is_new(suspect)).collect();
        changed.sort_by_key(|(_, suspect)| suspect.revision);
        let is_complete = changed.len() <= limit;
        changed.truncate(limit);
        let last = changed.last().map_or(self.revision, |(_, suspect)| suspect.revision);
        let reports = changed.iter().map(|(fingerprint, suspect)| suspect.report(**fingerprint, now)).collect();
        (reports, if is_complete { self.revision } else { last })
    }

    /// Number of changes so far.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Merges the reports of another instance.
    pub fn merge_reports(&mut self, reports: Vec<SuspectReport>, now: Instant) {
        for report in reports {
            self.evict_if_full(report.fingerprint, now);
            let suspect = self.suspects.entry(report.fingerprint).or_default();
            let known = (suspect.losses.len(), suspect.excused.len());
            suspect.losses.extend(report.losses);
            suspect.excused.extend(report.excused);
            suspect.until = suspect.until.max(now.after(report.remaining.min(SUSPICION_TTL)));
            if known != (suspect.losses.len(), suspect.excused.len()) {
                self.revision += 1;
                suspect.revision = self.revision;
            }
        }
    }

    /// Evicts expired suspects, or else the one that expires first, if `fingerprint` would exceed the limit.
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
