//! Brittle servers: those that fall over when they have to turn away more than a few requests in a second.
//!
//! Answers fleets that overrun such servers together although no instance sends much. While a service is brittle, each
//! instance keeps to its part of every server's slots, so that all of them together need no queue. See
//! `docs/ADMISSION.md#brittle`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::names::ServiceName;
use crate::server_limits::{FleetPlace, ServerRun};
use crate::units::{ClockReading, Instant};

/// Tenths of a server's slots that the fleet uses; the rest covers new connections and abandoned requests.
const USED_TENTHS: u32 = 8;

/// Time without an answer that names a threshold, while others came, after which a service is sound again.
const LIFT_TIME: Duration = Duration::from_secs(2);

/// Time after which a threshold is forgotten of which nothing was heard.
const THRESHOLD_TTL: Duration = Duration::from_secs(30);

/// Interval at which a threshold that holds is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Range of the pause after a first rejection, in seconds.
const PAUSE_RANGE_S: (f64, f64) = (1.0, 120.0);

/// Times that the pause doubles while rejections follow each other.
const PAUSE_DOUBLINGS: u32 = 3;

/// Time after a rejection within which another one follows it.
const STREAK_TIME: Duration = Duration::from_secs(60);

/// Time after a rejection in which an instance keeps to its part of the slots.
const CAUTION_TIME: Duration = Duration::from_secs(5);

/// Maximum number of server runs remembered.
const RUNS_MAX: usize = 4_096;

/// What one instance reports of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrittleReport {
    /// The service.
    pub service: ServiceName,
    /// Rejections in a second that its servers bear.
    pub threshold: u32,
    /// Time of day of the answer that told it, in milliseconds since the Unix epoch.
    pub at: u64,
}

#[derive(Clone, Debug)]
struct BrittleService {
    threshold: u32,
    /// Time of day of the newest answer that told the threshold, in milliseconds.
    told_at: u64,
    heard_at: Instant,
    /// First answer without a threshold since the last one with it.
    denied_since: Option<Instant>,
    reported_at: Option<Instant>,
    is_own: bool,
    /// Runs whose last answer here told the threshold.
    tellers: BTreeSet<ServerRun>,
}

#[derive(Clone, Copy, Debug, Default)]
struct BrittleServer {
    place: Option<FleetPlace>,
    rejected_at: Option<Instant>,
    /// Rejections that followed each other before the last one.
    streak: u32,
    /// Whether the last request was sent beyond this instance's part of the slots.
    exceeds: bool,
    paused_until: Instant,
    seen_at: Instant,
}

/// Change of a service, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrittleChange {
    /// Name of the service.
    pub service: ServiceName,
    /// Threshold, or `None` if the service is sound again.
    pub threshold: Option<u32>,
}

/// Server of a brittle service, as one instance uses it.
#[derive(Clone, Copy, Debug)]
pub struct ServerUse<'a> {
    /// Run of the server.
    pub run: &'a ServerRun,
    /// Rejections in a second that make it fall over if there are more.
    pub threshold: u32,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Number of requests that this instance has open there.
    pub open: u32,
}

/// Room of this instance at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// A request may be sent now.
    Free,
    /// All requests that this instance may have open there are open.
    Full,
    /// The server has rejected a request; another one may be sent after this time.
    Paused(Duration),
}

/// Requests that an instance may have open at a server with `slots`.
pub fn allowance(slots: u32, place: FleetPlace) -> u32 {
    let size = u32::try_from(place.size.max(1)).unwrap_or(u32::MAX);
    let turn = u32::try_from(place.turn).unwrap_or(u32::MAX);
    let room = (slots / 10 * USED_TENTHS + slots % 10 * USED_TENTHS / 10).max(1);
    room / size + u32::from(turn < room % size)
}

/// Pause after a rejection. With it, the instances that share a server cause half of `threshold` rejections a second at
/// most; each comes back in its turn, since all may have been rejected at the same moment.
fn pause_after(threshold: u32, slots: u32, place: FleetPlace, streak: u32) -> Duration {
    let sharers = f64::from(u32::try_from(place.size).unwrap_or(u32::MAX).min(slots).max(1));
    let turn = f64::from(u32::try_from(place.turn).unwrap_or(u32::MAX)) / sharers;
    let seconds = (sharers * 2.0 / f64::from(threshold.max(1))).clamp(PAUSE_RANGE_S.0, PAUSE_RANGE_S.1);
    let doubled = seconds * f64::from(1_u32 << streak.min(PAUSE_DOUBLINGS));
    Duration::from_secs_f64(doubled * (1.0 + turn.min(1.0)))
}

/// Brittle services and their servers, as known to one instance.
#[derive(Debug, Default)]
pub struct BrittleServers {
    services: BTreeMap<ServiceName, BrittleService>,
    servers: BTreeMap<ServerRun, BrittleServer>,
    has_news: bool,
}

impl BrittleServers {
    /// Whether no service is brittle.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Threshold of a service that is brittle.
    pub fn threshold(&self, service: &ServiceName, now: Instant) -> Option<u32> {
        let known = self.services.get(service)?;
        (now.since(known.heard_at) < THRESHOLD_TTL).then_some(known.threshold)
    }

    /// Records what an answer of a run of a server of `service` told.
    pub fn record(
        &mut self,
        service: &ServiceName,
        run: &ServerRun,
        threshold: Option<u32>,
        clock: ClockReading,
    ) -> Option<BrittleChange> {
        let Some(threshold) = threshold else { return self.deny(service, run, clock.now) };
        let known = self.services.get(service);
        let before = known.map(|known| known.threshold);
        let is_due =
            known.is_none_or(|known| known.reported_at.is_none_or(|at| clock.now.since(at) >= REPORT_INTERVAL));
        let reported_at = known.and_then(|known| known.reported_at);
        let mut tellers = known.map(|known| known.tellers.clone()).unwrap_or_default();
        if tellers.len() < RUNS_MAX {
            tellers.insert(run.clone());
        }
        let is_news = before != Some(threshold) || is_due;
        self.has_news |= is_news;
        let entry = BrittleService {
            threshold,
            told_at: clock.unix,
            heard_at: clock.now,
            denied_since: None,
            reported_at: if is_news { Some(clock.now) } else { reported_at },
            is_own: is_news || known.is_some_and(|known| known.is_own),
            tellers,
        };
        self.services.insert(service.clone(), entry);
        (before != Some(threshold)).then(|| BrittleChange { service: service.clone(), threshold: Some(threshold) })
    }

    fn deny(&mut self, service: &ServiceName, run: &ServerRun, now: Instant) -> Option<BrittleChange> {
        let known = self.services.get_mut(service)?;
        known.tellers.remove(run);
        if !known.tellers.is_empty() {
            return None;
        }
        let since = *known.denied_since.get_or_insert(now);
        if now.since(since) < LIFT_TIME {
            return None;
        }
        self.services.remove(service);
        self.has_news = true;
        Some(BrittleChange { service: service.clone(), threshold: None })
    }

    /// Merges the reports of another instance and returns the changes.
    pub fn merge(&mut self, reports: Vec<BrittleReport>, clock: ClockReading) -> Vec<BrittleChange> {
        let mut changes = Vec::new();
        for BrittleReport { service, threshold, at } in reports {
            let age = Duration::from_millis(clock.unix.saturating_sub(at));
            let is_newer = self.services.get(&service).is_none_or(|known| known.told_at < at);
            if !is_newer || age >= THRESHOLD_TTL {
                continue;
            }
            let before = self.services.get(&service).map(|known| known.threshold);
            let entry = BrittleService {
                threshold,
                told_at: at,
                heard_at: clock.now,
                denied_since: None,
                reported_at: Some(clock.now),
                is_own: false,
                tellers: BTreeSet::new(),
            };
            self.services.insert(service.clone(), entry);
            if before != Some(threshold) {
                changes.push(BrittleChange { service, threshold: Some(threshold) });
            }
        }
        changes
    }

    /// Room of this instance at a server of a brittle service.
    ///
    /// `turn` is the number of instances before this one in the server's order, of `size` in all.
    pub fn room(
        &mut self,
        ServerUse { run, threshold, slots, open }: ServerUse<'_>,
        size: usize,
        turn: impl FnOnce() -> usize,
        now: Instant,
    ) -> Room {
        if self.servers.len() >= RUNS_MAX && !self.servers.contains_key(run) {
            self.servers.retain(|_, server| now.since(server.seen_at) < THRESHOLD_TTL);
        }
        let server = self.servers.entry(run.clone()).or_default();
        server.seen_at = now;
        let place = match server.place {
            Some(place) if place.size == size => place,
            _ => FleetPlace { turn: turn(), size },
        };
        server.place = Some(place);
        let left = server.paused_until.since(now);
        if !left.is_zero() {
            return Room::Paused(left);
        }
        let part = allowance(slots, place);
        // Half of the rejections that the server bears may come from requests beyond the parts.
        let is_careful = server.rejected_at.is_some_and(|at| now.since(at) < CAUTION_TIME);
        let extra = if is_careful { 0 } else { threshold / 2 / u32::try_from(size.max(1)).unwrap_or(u32::MAX) };
        server.exceeds = open >= part;
        if open < part + extra { Room::Free } else { Room::Full }
    }

    /// Records that a server rejected a request for want of room.
    pub fn note_rejected(
        &mut self,
        ServerUse { run, threshold, slots, .. }: ServerUse<'_>,
        size: usize,
        turn: impl FnOnce() -> usize,
        now: Instant,
    ) {
        let server = self.servers.entry(run.clone()).or_default();
        let follows = server.rejected_at.is_some_and(|at| now.since(at) < STREAK_TIME);
        server.streak = if follows { server.streak.saturating_add(1) } else { 0 };
        server.rejected_at = Some(now);
        // Beyond its part an instance only learns that there is no more room.
        let place = *server.place.get_or_insert_with(|| FleetPlace { turn: turn(), size });
        if !server.exceeds {
            server.paused_until = now.after(pause_after(threshold, slots, place, server.streak));
        }
        server.seen_at = now;
    }

    /// Has the own reports written again, since they were lost.
    pub const fn repeat_reports(&mut self) {
        self.has_news = true;
    }

    /// Returns whether there is something to report since the last call.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Reports of what this instance learned itself.
    pub fn own_reports(&self, now: Instant) -> Vec<BrittleReport> {
        let is_current = |known: &&BrittleService| known.is_own && now.since(known.heard_at) < THRESHOLD_TTL;
        let own = self.services.iter().filter(|(_, known)| is_current(known));
        own.map(|(service, known)| BrittleReport {
            service: service.clone(),
            threshold: known.threshold,
            at: known.told_at,
        })
        .collect()
    }
}
