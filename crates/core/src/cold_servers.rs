//! Cold servers, which sustain only a limited rate of requests from all instances together and crash well above it.
//!
//! A few instances, the same ones for all that know the same fleet list, share the rate of a cold server; the others send
//! it nothing. Half of the rate is left to the single request that each of them may have saved up. See
//! `docs/ROUTING.md#cold`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::AvailabilityZoneName;
use crate::routes::ColdSpec;
use crate::server_limits::{FleetPlace, LimitShare, ServerRun};
use crate::units::Instant;

/// Time after the first read of the fleet list before which an instance has no share. Instances of a fleet that starts at
/// once read lists that lack each other, and each would take itself for one of the few that share.
pub const FLEET_SETTLE: Duration = Duration::from_secs(1);

/// Maximum number of server runs remembered; those heard of longest ago are evicted first.
const RUNS_MAX: usize = 8_192;

/// Share of this instance in the requests that a server sustains while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdShare {
    /// The server is not cold.
    Warm,
    /// This instance has a share; it may send a request after this time.
    Own(Duration),
    /// Only other instances have a share; the server stays cold for this time.
    Others(Duration),
}

impl ColdShare {
    /// Whether a request may be sent now.
    pub fn is_free(self) -> bool {
        matches!(self, Self::Warm | Self::Own(Duration::ZERO))
    }
}

/// Server of a service whose servers can be cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdServer<'a> {
    /// Run of the server.
    pub run: &'a ServerRun,
    /// Availability zone of the server.
    pub zone: &'a AvailabilityZoneName,
    /// Limits of the service.
    pub spec: ColdSpec,
}

/// What an entry of a server tells.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryReading {
    /// Time for which the server stays cold, if the entry states it.
    pub left: Option<Duration>,
    /// Whether the server was listed with this entry, after the first complete read of the list.
    pub is_listed: bool,
    /// Time after which the entry was written, if that is known.
    pub written_after: Option<Instant>,
    /// Whether the entry comes from an older copy of the store.
    pub is_restored: bool,
}

/// Statement of how long a server stays cold, with the range of times at which it can have been made.
#[derive(Clone, Copy, Debug)]
struct Statement {
    until: Instant,
    earliest: Instant,
    latest: Instant,
}

impl Statement {
    /// Statement that counts if it is not known which of the two is the later one: the server is cold if one says so.
    fn merge(self, other: Self) -> Self {
        Self {
            until: self.until.max(other.until),
            earliest: self.earliest.min(other.earliest),
            latest: self.latest.max(other.latest),
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RunState {
    /// Newest statement of an entry.
    entry: Option<Statement>,
    /// Newest statement of an answer.
    answer: Option<Statement>,
    /// When the run was listed, if it is a new one and no entry has stated anything yet.
    listed_at: Option<Instant>,
    /// When the last entry with a statement was read.
    entry_read_at: Option<Instant>,
    seen_at: Instant,
    /// Requests that may be sent, and when that was computed; `None` while the server is warm.
    tokens: Option<(f64, Instant)>,
    place: Option<FleetPlace>,
}

/// Cold servers known to one instance.
#[derive(Debug, Default)]
pub struct ColdServers {
    runs: BTreeMap<ServerRun, RunState>,
    /// When the evacuation of a zone was last lifted.
    lifted: BTreeMap<AvailabilityZoneName, Instant>,
    fleet_listed_at: Option<Instant>,
}

/// Share of an instance in the `rate` of requests that a cold server sustains; `None` if it has none.
///
/// With N sharing instances that divide half of the rate and may each have saved up one request, a second sees at most
/// N + rate / 2 requests, so N is at most half of the rate.
pub fn share(rate: f64, place: FleetPlace) -> Option<LimitShare> {
    let half = rate / 2.0;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the cast saturates")]
    let sharers = (half as usize).min(place.size).max(1);
    #[expect(clippy::cast_precision_loss, reason = "fleets have less than 2^52 instances")]
    let part = half / sharers as f64;
    (place.turn < sharers).then_some(LimitShare { rate: part, burst: 1.0 })
}

impl ColdServers {
    /// Records that the fleet list was read; only the first call counts.
    pub const fn note_fleet_listed(&mut self, now: Instant) {
        if self.fleet_listed_at.is_none() {
            self.fleet_listed_at = Some(now);
        }
    }

    /// Records that the evacuation of `zone` was lifted, whose servers count as cold from now on.
    pub fn note_lifted(&mut self, zone: AvailabilityZoneName, now: Instant) {
        self.lifted.insert(zone, now);
    }

    /// Records an entry of a server that was read at `now`.
    pub fn note_entry(&mut self, run: &ServerRun, reading: EntryReading, now: Instant) {
        let EntryReading { left, is_listed, written_after, is_restored } = reading;
        let is_known = self.runs.contains_key(run) && run.started_at.is_some();
        let state = self.state(run, now);
        if is_listed && !is_known {
            state.listed_at = Some(now);
        }
        let Some(left) = left else { return };
        state.listed_at = None;
        state.entry_read_at = Some(now);
        let earliest = written_after.unwrap_or_default();
        let made = Statement { until: now.after(left), earliest, latest: now };
        state.entry = Some(match state.entry {
            Some(known) if is_restored => known.merge(made),
            // The store keeps the order of entries.
            _ => made,
        });
        state.answer = state.answer.filter(|answer| is_restored || earliest < answer.latest);
    }

    /// Records what an answer stated that was received at `now`, to a request sent at `sent`.
    pub fn note_answer(&mut self, run: &ServerRun, left: Duration, sent: Instant, now: Instant) {
        let state = self.state(run, now);
        let made = Statement { until: now.after(left), earliest: sent, latest: now };
        state.answer = Some(match state.answer {
            Some(known) if sent < known.latest => known.merge(made),
            _ => made,
        });
        state.entry = state.entry.filter(|entry| sent < entry.latest);
    }

    /// Time for which a server stays cold, zero if it is warm.
    pub fn cold_left(&self, server: &ColdServer<'_>, now: Instant) -> Duration {
        let state = self.runs.get(server.run).copied().unwrap_or_default();
        let stated = [state.entry, state.answer].into_iter().flatten().map(|statement| statement.until).max();
        let since_lift = self.lifted.get(server.zone).filter(|at| state.entry_read_at.is_none_or(|read| read <= **at));
        let began = [state.listed_at, since_lift.copied()].into_iter().flatten().max();
        let until = [stated, began.map(|at| at.after(server.spec.duration))].into_iter().flatten().max();
        until.unwrap_or_default().since(now)
    }

    /// Share of this instance in the requests that a server takes now.
    ///
    /// `turn` is the number of instances before this one in the server's order, of `size` in all.
    pub fn share(
        &mut self,
        server: &ColdServer<'_>,
        size: usize,
        turn: impl FnOnce() -> usize,
        now: Instant,
    ) -> ColdShare {
        let left = self.cold_left(server, now);
        if left.is_zero() {
            if let Some(state) = self.runs.get_mut(server.run) {
                state.tokens = None;
            }
            return ColdShare::Warm;
        }
        if self.fleet_listed_at.is_none_or(|at| now.since(at) < FLEET_SETTLE) {
            return ColdShare::Others(left);
        }
        let state = self.state(server.run, now);
        let place = match state.place {
            Some(place) if place.size == size => place,
            _ => FleetPlace { turn: turn(), size },
        };
        state.place = Some(place);
        let Some(LimitShare { rate, burst }) = share(server.spec.rate, place) else { return ColdShare::Others(left) };
        // Nothing is saved up when a server turns cold: it may have just taken requests of all instances.
        let (saved, at) = state.tokens.unwrap_or((0.0, now));
        let saved = (saved + rate * now.since(at).as_secs_f64()).min(burst);
        state.tokens = Some((saved, now));
        let wait = Duration::try_from_secs_f64((1.0 - saved).max(0.0) / rate).unwrap_or(Duration::MAX);
        ColdShare::Own(wait.min(left))
    }

    /// Counts a request that is sent to a server; false if the server takes none of this instance now.
    pub fn take(&mut self, server: &ColdServer<'_>, size: usize, turn: impl FnOnce() -> usize, now: Instant) -> bool {
        match self.share(server, size, turn, now) {
            ColdShare::Warm => true,
            ColdShare::Own(Duration::ZERO) => {
                let state = self.state(server.run, now);
                state.tokens = Some((0.0, now));
                true
            }
            ColdShare::Own(_) | ColdShare::Others(_) => false,
        }
    }

    fn state(&mut self, run: &ServerRun, now: Instant) -> &mut RunState {
        if self.runs.len() >= RUNS_MAX && !self.runs.contains_key(run) {
            let oldest = self.runs.iter().min_by_key(|(_, state)| state.seen_at).map(|(run, _)| run.clone());
            oldest.map(|run| self.runs.remove(&run));
        }
        let state = self.runs.entry(run.clone()).or_default();
        state.seen_at = now;
        state
    }
}
