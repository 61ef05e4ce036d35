//! Limits of requests a second that backend servers name for all instances together.
//!
//! A few instances, the same ones for everybody, share the limit of a server; the others send it nothing, since the
//! share of hundreds would be a fraction of a request in a minute, and each first request would come on top of it. See
//! `docs/ADMISSION.md#limits`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::BackendServerName;
use crate::units::{ClockReading, Instant};

/// Instances that share a limit in addition to two for each request a second.
const SHARERS_MIN: usize = 4;

/// Longest time between two requests of a sharer: one is needed to learn whether the limit still holds.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(20);

/// Time for which all sharers together may save up the limit, in addition to one request for each of [`SHARERS_MIN`].
const BURST_TIME: Duration = Duration::from_millis(1_500);

/// Time after which a limit is forgotten of which nothing was heard.
const LIMIT_TTL: Duration = Duration::from_secs(600);

/// Time after which a limit that holds is reported again, so that the fleet does not forget it.
const REPORT_INTERVAL: Duration = Duration::from_secs(120);

/// Ratio of a limit to the one known to the fleet from which it is worth a report.
const REPORTED_RATIO: f64 = 1.25;

/// Maximum number of limits remembered; those heard of longest ago are evicted first.
const LIMITS_MAX: usize = 4_096;

/// Maximum number of limits in one record, the newest ones.
pub const REPORTS_MAX: usize = 64;

/// One run of a backend server; the next one has no limit until it names one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerRun {
    /// Name of the server.
    pub name: BackendServerName,
    /// Start time of the run in milliseconds since the Unix epoch, if known.
    pub started_at: Option<u64>,
}

/// What one instance reports of a server's limit; the newest report of a run counts.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitReport {
    /// Run of the server.
    pub run: ServerRun,
    /// Requests a second that the server takes from all instances; `None` once it names no limit any more.
    pub limit: Option<f64>,
    /// Time of day of the answer that told it, in milliseconds since the Unix epoch.
    pub at: u64,
}

/// Part of an instance in the fleet, as far as it matters for one server's limit.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlace {
    /// Number of instances before this one in the server's order.
    pub turn: usize,
    /// Number of instances.
    pub size: usize,
}

/// Share of one instance in the limit of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Requests a second.
    pub rate: f64,
    /// Requests that can be saved up, at least one.
    pub burst: f64,
}

/// Share of an instance in a server's `limit` of requests a second; `None` if it is not one of those that share.
pub fn share(limit: f64, place: FleetPlace) -> Option<LimitShare> {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "limits are positive; the cast saturates"
    )]
    let by_limit = (limit * 2.0) as usize;
    let sharers = by_limit.saturating_add(SHARERS_MIN).min(place.size.max(1));
    #[expect(clippy::cast_precision_loss, reason = "fleets have less than 2^52 instances")]
    let (sharers_min, parts) = (SHARERS_MIN as f64, sharers as f64);
    let rate = (limit / parts).max(1.0 / PROBE_INTERVAL.as_secs_f64());
    let burst = ((sharers_min + limit * BURST_TIME.as_secs_f64()) / parts).max(1.0);
    (place.turn < sharers).then_some(LimitShare { rate, burst })
}

#[derive(Clone, Debug)]
struct ServerLimit {
    limit: Option<f64>,
    /// Time of day of the newest answer that told the limit, in milliseconds.
    told_at: u64,
    heard_at: Instant,
    /// Limit that the fleet knows from reports.
    reported: Option<f64>,
    reported_at: Instant,
    is_own: bool,
    /// Requests that may be sent at `refilled_at`.
    tokens: f64,
    refilled_at: Instant,
    /// Place of this instance when it was last needed.
    place: Option<FleetPlace>,
}

impl ServerLimit {
    fn new(now: Instant) -> Self {
        Self {
            limit: None,
            told_at: 0,
            heard_at: now,
            reported: None,
            reported_at: now,
            is_own: false,
            tokens: 0.0,
            refilled_at: now,
            place: None,
        }
    }

    /// Share of this instance, `None` without a limit or a share; `turn` is computed anew when the fleet has grown.
    fn share(&mut self, size: usize, turn: impl FnOnce() -> usize) -> Option<LimitShare> {
        let limit = self.limit?;
        let place = match self.place {
            Some(place) if place.size == size => place,
            _ => FleetPlace { turn: turn(), size },
        };
        self.place = Some(place);
        share(limit, place)
    }

    fn tokens_at(&self, share: LimitShare, now: Instant) -> f64 {
        (self.tokens + share.rate * now.since(self.refilled_at).as_secs_f64()).min(share.burst)
    }

    /// Whether the fleet should hear of the limit: it is new, gone, differs much from the one it knows, or was reported
    /// long ago.
    fn is_news(&self, now: Instant) -> bool {
        match (self.limit, self.reported) {
            (None, None) => false,
            (Some(_), Some(_)) if now.since(self.reported_at) >= REPORT_INTERVAL => true,
            (Some(limit), Some(known)) => {
                limit > known * REPORTED_RATIO || limit * REPORTED_RATIO < known || (known == 0.0 && limit > 0.0)
            }
            _ => true,
        }
    }
}

/// Change of a server's limit, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Name of the server.
    pub name: BackendServerName,
    /// Requests a second, or `None` if the limit was lifted.
    pub limit: Option<f64>,
}

/// Limits known to one instance.
#[derive(Debug, Default)]
pub struct ServerLimits {
    limits: BTreeMap<ServerRun, ServerLimit>,
    has_news: bool,
}

impl ServerLimits {
    /// Whether no server has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Number of servers that have a limit.
    pub fn limited_count(&self) -> usize {
        self.limits.values().filter(|known| known.limit.is_some()).count()
    }

    /// Records what an answer of a server told; returns a change that the fleet will hear of.
    pub fn record(&mut self, run: &ServerRun, limit: Option<f64>, clock: ClockReading) -> Option<LimitChange> {
        if limit.is_none() && !self.limits.contains_key(run) {
            return None;
        }
        self.evict_if_full(run, clock.now);
        let known = self.limits.entry(run.clone()).or_insert_with(|| ServerLimit::new(clock.now));
        (known.limit, known.told_at, known.heard_at) = (limit, clock.unix, clock.now);
        if !known.is_news(clock.now) {
            return None;
        }
        let is_changed = known.reported != limit;
        (known.is_own, known.reported, known.reported_at) = (true, limit, clock.now);
        self.has_news = true;
        is_changed.then(|| LimitChange { name: run.name.clone(), limit })
    }

    /// Merges the reports of another instance and returns the changes.
    pub fn merge(&mut self, reports: Vec<LimitReport>, clock: ClockReading) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for LimitReport { run, limit, at } in reports {
            let age = Duration::from_millis(clock.unix.saturating_sub(at));
            let is_newer = self.limits.get(&run).is_none_or(|known| known.told_at < at);
            if !is_newer || age >= LIMIT_TTL {
                continue;
            }
            self.evict_if_full(&run, clock.now);
            let known = self.limits.entry(run.clone()).or_insert_with(|| ServerLimit::new(clock.now));
            let is_changed = known.limit != limit;
            (known.limit, known.told_at, known.heard_at) = (limit, at, clock.now);
            (known.reported, known.reported_at, known.is_own) = (limit, clock.now, false);
            if is_changed {
                changes.push(LimitChange { name: run.name, limit });
            }
        }
        changes
    }

    /// Time until this instance may send a request to the server, zero if now; `None` if others share its limit.
    ///
    /// `turn` is the number of instances before this one in the server's order, of `size` in all.
    pub fn wait(
        &mut self,
        run: &ServerRun,
        size: usize,
        turn: impl FnOnce() -> usize,
        now: Instant,
    ) -> Option<Duration> {
        let is_current = |known: &&mut ServerLimit| known.limit.is_some() && now.since(known.heard_at) < LIMIT_TTL;
        let Some(known) = self.limits.get_mut(run).filter(is_current) else { return Some(Duration::ZERO) };
        let share = known.share(size, turn)?;
        let missing = (1.0 - known.tokens_at(share, now)).max(0.0);
        Some(Duration::from_secs_f64(missing / share.rate))
    }

    /// Counts a request that is sent to the server.
    pub fn take(&mut self, run: &ServerRun, size: usize, turn: impl FnOnce() -> usize, now: Instant) {
        let Some(known) = self.limits.get_mut(run) else { return };
        let Some(share) = known.share(size, turn) else { return };
        known.tokens = (known.tokens_at(share, now) - 1.0).max(0.0);
        known.refilled_at = now;
    }

    /// Has the own reports written again, since they were lost.
    pub const fn repeat_reports(&mut self) {
        self.has_news = true;
    }

    /// Returns whether there is something to report since the last call.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Reports of the limits that this instance told the fleet, at most `REPORTS_MAX`, the newest ones.
    pub fn own_reports(&self, now: Instant) -> Vec<LimitReport> {
        let is_current = |known: &&ServerLimit| known.is_own && now.since(known.heard_at) < LIMIT_TTL;
        let mut own: Vec<_> = self.limits.iter().filter(|(_, known)| is_current(known)).collect();
        own.sort_by_key(|(_, known)| std::cmp::Reverse(known.heard_at));
        own.truncate(REPORTS_MAX);
        let report = |(run, known): (&ServerRun, &ServerLimit)| LimitReport {
            run: run.clone(),
            limit: known.reported,
            at: known.told_at,
        };
        own.into_iter().map(report).collect()
    }

    fn evict_if_full(&mut self, run: &ServerRun, now: Instant) {
        if self.limits.len() < LIMITS_MAX || self.limits.contains_key(run) {
            return;
        }
        self.limits.retain(|_, known| now.since(known.heard_at) < LIMIT_TTL);
        let oldest = self.limits.iter().min_by_key(|(_, known)| known.heard_at).map(|(run, _)| run.clone());
        if self.limits.len() >= LIMITS_MAX {
            oldest.map(|run| self.limits.remove(&run));
        }
    }
}
