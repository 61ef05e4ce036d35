//! Evidence about one prompt part: the crashes of servers under requests with it, the complete answers that refute them,
//! and the verdict that follows. See `docs/ADMISSION.md#parts`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;

use crate::names::{BackendServerName, ClientAccountName};
use crate::units::Instant;

/// Number of crashes of unanswered requests that convict a part.
pub const UNANSWERED_CRASHES: usize = 3;

/// Number of crashes that convict a part if some of the requests had received events.
pub const CRASHES: usize = 5;

/// Time after its last crash for which a part is remembered.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(3_600);

/// Time for which the first conviction of a part lasts; it doubles with each further crash.
pub const CONVICTION_MIN: Duration = Duration::from_secs(120);

/// Longest time for which a conviction lasts.
pub const CONVICTION_MAX: Duration = Duration::from_secs(3_600);

/// Time between the trials of a formerly convicted part by one instance and by the next.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(30);

/// Milliseconds between crashes of different servers that count as separate ones; servers that are lost at the same
/// moment have a common cause.
const MOMENT_MS: u64 = 100;

/// Milliseconds between two crashes of the same server; instances whose clocks differ report one crash at two times.
const RESTART_MS: u64 = 3_000;

/// Maximum number of crashes remembered of a part.
const CRASHES_MAX: usize = 16;

/// Loss of a server while a request with the part was open there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartCrash {
    /// Time of day in milliseconds since the Unix epoch.
    pub at: u64,
    /// Server that was lost.
    pub server: BackendServerName,
    /// Client account of the request.
    pub account: ClientAccountName,
    /// Version of the weights on the server.
    pub weights: u64,
    /// Whether the request had received events.
    pub is_answered: bool,
}

/// What one instance reports of a part; merging it is idempotent and independent of the order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartReport {
    /// Id of the part.
    pub part: u64,
    /// Crashes while requests with the part were open.
    pub crashes: BTreeSet<PartCrash>,
    /// Time of day of the last complete answer in milliseconds, by the version of the weights that gave it.
    pub sound: BTreeMap<u64, u64>,
}

/// Whether requests with a part may run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PartStatus {
    /// Requests with the part may run.
    #[display("clear")]
    Clear,
    /// Requests with the part may run one at a time.
    #[display("suspect")]
    Suspect,
    /// Requests with the part must not run for this time.
    #[display("convicted")]
    Convicted(Duration),
}

/// Request of a client account, as far as it matters for the status of a part.
#[derive(Clone, Copy, Debug)]
pub struct PartUse<'a> {
    /// Client account of the request.
    pub account: &'a ClientAccountName,
    /// Version of the weights on which it would run.
    pub weights: u64,
    /// Number of instances that may try a formerly convicted part before this one.
    pub turn: u32,
}

/// Evidence about one part.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartRecord {
    pub(crate) report: PartReport,
    /// When the last crash happened.
    pub(crate) crashed_at: Instant,
    /// Whether this instance contributed to the evidence and so reports it.
    pub(crate) is_own: bool,
}

impl PartRecord {
    /// Crashes that no later complete answer on the same weights refutes.
    pub(crate) fn counted(&self) -> impl Iterator<Item = &PartCrash> {
        let is_refuted =
            |crash: &PartCrash| self.report.sound.get(&crash.weights).is_some_and(|answered| *answered >= crash.at);
        self.report.crashes.iter().filter(move |crash| !is_refuted(crash))
    }

    /// Counted crashes that bear on `account`: those of its own requests, or all if several accounts met them, so that
    /// no account can have a part of another one convicted.
    fn bearing_on(&self, account: &ClientAccountName) -> Vec<&PartCrash> {
        let accounts: BTreeSet<_> = self.counted().map(|crash| &crash.account).collect();
        self.counted().filter(|crash| accounts.len() > 1 || crash.account == *account).collect()
    }

    /// Whether `request` may run.
    pub(crate) fn status(&self, request: &PartUse<'_>, now: Instant) -> PartStatus {
        let crashes = self.bearing_on(request.account);
        let is_read_well = self.report.sound.contains_key(&request.weights)
            && crashes.iter().all(|crash| crash.weights != request.weights);
        let total = separate_crashes(crashes.iter().copied());
        let unanswered = separate_crashes(crashes.iter().copied().filter(|crash| !crash.is_answered));
        let is_convicted = unanswered >= UNANSWERED_CRASHES || total >= CRASHES;
        let doublings = u32::try_from(total.saturating_sub(UNANSWERED_CRASHES)).unwrap_or(u32::MAX).min(8);
        let conviction = CONVICTION_MIN.saturating_mul(1 << doublings).min(CONVICTION_MAX);
        let until = self.crashed_at.after(conviction + TRIAL_INTERVAL.saturating_mul(request.turn));
        match total {
            0 => PartStatus::Clear,
            _ if is_read_well || self.has_expired(now) => PartStatus::Clear,
            _ if is_convicted && now < until => PartStatus::Convicted(until.since(now)),
            _ => PartStatus::Suspect,
        }
    }

    /// Whether the part is convicted for at least one client account.
    pub(crate) fn is_convicted(&self, now: Instant) -> bool {
        let uses = self.report.crashes.iter().map(|crash| PartUse {
            account: &crash.account,
            weights: crash.weights,
            turn: 0,
        });
        uses.into_iter().any(|request| matches!(self.status(&request, now), PartStatus::Convicted(_)))
    }

    /// Whether the last crash was so long ago that it counts no more.
    pub(crate) fn has_expired(&self, now: Instant) -> bool {
        now.since(self.crashed_at) >= EVIDENCE_TTL
    }

    /// Client account of the first crash.
    pub(crate) fn first_account(&self) -> Option<&ClientAccountName> {
        self.report.crashes.first().map(|crash| &crash.account)
    }

    /// Adds a crash that happened at `crashed_at`, and returns whether it is new.
    pub(crate) fn add_crash(&mut self, crash: PartCrash, crashed_at: Instant) -> bool {
        if !self.report.crashes.insert(crash) {
            return false;
        }
        self.crashed_at = self.crashed_at.max(crashed_at);
        if self.report.crashes.len() > CRASHES_MAX {
            self.report.crashes.pop_first();
        }
        true
    }

    /// Records a complete answer at `unix`, and returns whether it is news to a part that stands accused.
    pub(crate) fn add_sound(&mut self, weights: u64, unix: u64) -> bool {
        let is_news = self.counted().next().is_some() && self.report.sound.get(&weights).is_none_or(|at| *at < unix);
        if is_news {
            self.report.sound.insert(weights, unix);
        }
        is_news
    }
}

/// Counts crashes, of which those at the same moment are one.
fn separate_crashes<'a>(crashes: impl Iterator<Item = &'a PartCrash>) -> usize {
    let mut counted: Vec<&PartCrash> = Vec::new();
    for crash in crashes {
        let is_same = |other: &&PartCrash| {
            let gap = if other.server == crash.server { RESTART_MS } else { MOMENT_MS };
            crash.at.abs_diff(other.at) < gap
        };
        if !counted.iter().any(is_same) {
            counted.push(crash);
        }
    }
    counted.len()
}
