//! Share of a zone's requests that is sent to servers of other zones.
//!
//! Each instance compares the pressure on the servers of its zone with that on the servers of every other zone, and moves
//! its shares in small steps. The instances of a zone need no leader: they see the same view of the fleet's load, and a
//! share loses a part of itself in each step, so that instances which began at different shares approach each other. See
//! `docs/design/ZONES.md`.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use derive_more::{Display, FromStr};

use crate::engine_placement::{has_view, pressure};
use crate::names::AvailabilityZoneName;
use crate::selection::{Candidate, Location};
use crate::units::Instant;
use crate::zone_cost::transfer_cost_ms;

/// Rule by which requests leave the zone of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum ZoneRule {
    /// Every request compares servers of all zones; distance has a fixed cost.
    #[default]
    Cost,
    /// Shares of the zone's requests leave, as [`ZoneShares`] decides.
    Shares,
}

/// Time between two steps of the shares.
pub const STEP_INTERVAL: Duration = Duration::from_millis(500);

/// Largest change of the share that leaves in one step.
pub const STEP_MAX: f64 = 0.02;

/// Largest number of steps at once. Instances with few requests would otherwise lag behind the others of their zone.
const STEPS_MAX: u128 = 3;

/// Largest change in one step while requests come back to a zone whose servers were gone: all are back after 5 s.
const RETURN_STEP_MAX: f64 = 0.1;

/// Time without a usable server in the own zone after which the shares from before are not restored. Servers that all
/// pause for a moment are under the same pressure afterwards.
const BRIEF: Duration = Duration::from_secs(2);

/// Growth of a share per step for a relative gap of 1. Streams last some seconds, so a step shows its whole effect late.
const GAIN: f64 = 0.1;

/// Part of a share that is lost in each step; half of a difference between two instances is gone after 23 s.
const LEAK: f64 = 0.015;

/// Relative gap up to which no share grows: a few engines differ by as much through chance.
const DEAD_BAND: f64 = 0.15;

/// Relative gap below zero down to which a share is only reduced by [`LEAK`].
const HYSTERESIS: f64 = 0.05;

/// Pressure that is added to that of the own zone in the relative gap, in milliseconds, so that differences between two
/// almost idle zones move nothing.
const PRESSURE_FLOOR_MS: f64 = 50.0;

/// Time constant of the smoothed pressure of a zone.
const SMOOTHING: Duration = Duration::from_secs(3);

/// Longest time between two steps for which earlier pressures still count.
const FORGOTTEN: Duration = Duration::from_secs(30);

/// Share below which nothing leaves.
const SHARE_MIN: f64 = 0.001;

/// Change of the share that leaves from which it is reported.
const REPORTED_CHANGE: f64 = 0.05;

/// Usable server of a service, as far as it counts for the shares.
#[derive(Clone, Copy, Debug)]
pub struct ZoneServer<'a> {
    /// Location of the server.
    pub location: &'a Location,
    /// Expected delay of a further request, in milliseconds.
    pub pressure_ms: f64,
    /// Relative capacity of the server: slots over slowness.
    pub capacity: f64,
}

impl<'a> ZoneServer<'a> {
    /// State of a server by the fleet's view of an engine, or by the latencies that this instance measured.
    ///
    /// Returns `None` for an ejected server, and for an engine without a current view: this instance alone sees a hundredth
    /// of its load.
    pub fn of(candidate: &Candidate<'a>, is_engine: bool, now: Instant) -> Option<Self> {
        if candidate.load.is_ejected(now) {
            return None;
        }
        let location = candidate.location;
        if is_engine {
            let (pressure_ms, capacity) = has_view(std::slice::from_ref(candidate)).then(|| pressure(candidate))?;
            return Some(Self { location, pressure_ms, capacity });
        }
        let pressure_ms = candidate.load.latency_ms(now) * f64::from(candidate.load.open() + 1);
        Some(Self { location, pressure_ms, capacity: f64::from(candidate.slots.max(1)) })
    }
}

/// Why the share that leaves changed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum ShareReason {
    /// The own zone has no usable server.
    NoServer,
    /// The own zone has usable servers again.
    ServersBack,
    /// Servers of other zones are under less pressure, also after the cost of the transfer.
    Pressure,
    /// The difference no longer pays for the transfer.
    Relief,
}

/// Change of the share that leaves, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// Share that was reported before.
    pub before: f64,
    /// Share that leaves now.
    pub after: f64,
    /// Why it changed.
    pub reason: ShareReason,
    /// Shares by destination, for the log line.
    pub destinations: String,
}

/// Pressure and capacity of one zone's usable servers.
#[derive(Clone, Debug)]
struct ZoneState {
    location: Location,
    pressure_ms: f64,
    capacity: f64,
}

/// Shares of one service's requests that leave the zone of this instance.
#[derive(Clone, Debug, Default)]
pub struct ZoneShares {
    shares: BTreeMap<AvailabilityZoneName, f64>,
    /// Smoothed pressures of the zones with usable servers.
    zones: BTreeMap<AvailabilityZoneName, ZoneState>,
    stepped_at: Option<Instant>,
    /// When the own zone lost its last usable server, and the shares before that.
    lost: Option<(Instant, BTreeMap<AvailabilityZoneName, f64>)>,
    /// Whether requests come back to a zone whose servers were gone.
    is_returning: bool,
    reported: f64,
}

impl ZoneShares {
    /// Whether the next step is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.stepped_at.is_none_or(|at| now.since(at) >= STEP_INTERVAL)
    }

    /// Share of the requests that leaves the zone.
    pub fn leaving(&self) -> f64 {
        self.shares.values().sum::<f64>().min(1.0)
    }

    /// Shares by destination.
    pub const fn shares(&self) -> &BTreeMap<AvailabilityZoneName, f64> {
        &self.shares
    }

    /// Zone that the request with this hash goes to; `None` for the own one.
    pub fn draw(&self, hash: u64) -> Option<&AvailabilityZoneName> {
        #[expect(clippy::cast_precision_loss, reason = "53 bits are kept")]
        let mut point = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        self.shares.iter().find_map(|(zone, share)| {
            point -= share;
            (point < 0.0).then_some(zone)
        })
    }

    /// Makes the steps that are due by the usable servers of all zones, and returns a change to report.
    pub fn step<'a>(
        &mut self,
        own: &Location,
        servers: impl IntoIterator<Item = ZoneServer<'a>>,
        now: Instant,
    ) -> Option<ShareChange> {
        let elapsed = self.stepped_at.map_or(STEP_INTERVAL, |at| now.since(at));
        self.stepped_at = Some(now);
        let steps = (elapsed.as_millis() / STEP_INTERVAL.as_millis()).clamp(1, STEPS_MAX);
        self.observe(servers, elapsed);
        self.shares.retain(|zone, _| self.zones.contains_key(zone));
        match self.zones.get(&own.zone).cloned() {
            None => {
                if self.lost.is_none() {
                    self.lost = Some((now, self.shares.clone()));
                }
                self.send_all_away(own);
            }
            Some(home) => {
                match self.lost.take() {
                    Some((at, shares)) if now.since(at) <= BRIEF => self.shares = shares,
                    Some(_) => self.is_returning = true,
                    None => {}
                }
                for _ in 0..steps {
                    self.adjust(&home);
                }
            }
        }
        self.change()
    }

    /// Updates the smoothed pressures; zones without usable servers are dropped at once.
    fn observe<'a>(&mut self, servers: impl IntoIterator<Item = ZoneServer<'a>>, elapsed: Duration) {
        let mut found: BTreeMap<AvailabilityZoneName, ZoneState> = BTreeMap::new();
        for ZoneServer { location, pressure_ms, capacity } in servers {
            if !pressure_ms.is_finite() || !capacity.is_finite() || capacity <= 0.0 {
                continue;
            }
            let zone = found.entry(location.zone.clone()).or_insert_with(|| ZoneState {
                location: location.clone(),
                pressure_ms: 0.0,
                capacity: 0.0,
            });
            zone.pressure_ms += pressure_ms.max(0.0) * capacity;
            zone.capacity += capacity;
        }
        let kept = if elapsed >= FORGOTTEN { 0.0 } else { (-elapsed.as_secs_f64() / SMOOTHING.as_secs_f64()).exp() };
        for (name, zone) in &mut found {
            zone.pressure_ms /= zone.capacity;
            if let Some(known) = self.zones.get(name) {
                zone.pressure_ms += (known.pressure_ms - zone.pressure_ms) * kept;
            }
        }
        self.zones = found;
    }

    /// Divides everything among the other zones by capacity, with less for the distant and the loaded.
    fn send_all_away(&mut self, own: &Location) {
        let cost = |zone: &ZoneState| zone.pressure_ms + transfer_cost_ms(own, &zone.location, None) + 1.0;
        let weights: BTreeMap<_, f64> =
            self.zones.iter().map(|(name, zone)| (name.clone(), zone.capacity / cost(zone))).collect();
        let sum: f64 = weights.values().sum();
        self.shares = weights.into_iter().map(|(name, weight)| (name, weight / sum)).collect();
    }

    fn adjust(&mut self, home: &ZoneState) {
        let others = || self.zones.iter().filter(|(name, _)| **name != home.location.zone);
        let capacity: f64 = others().map(|(_, zone)| zone.capacity).sum();
        let leaving = self.leaving().max(SHARE_MIN);
        let changes: Vec<(AvailabilityZoneName, f64)> = others()
            .map(|(name, zone)| {
                let gap = home.pressure_ms - zone.pressure_ms - transfer_cost_ms(&home.location, &zone.location, None);
                let relative = (gap / (home.pressure_ms + PRESSURE_FLOOR_MS)).clamp(-1.0, 1.0);
                let drive =
                    if relative > 0.0 { (relative - DEAD_BAND).max(0.0) } else { (relative + HYSTERESIS).min(0.0) };
                let share = self.shares.get(name).copied().unwrap_or_default();
                let part = zone.capacity / capacity;
                let change = if self.is_returning && relative <= DEAD_BAND {
                    -RETURN_STEP_MAX * share / leaving
                } else {
                    drive * GAIN * part - share * LEAK
                };
                (name.clone(), change.max(-share))
            })
            .collect();
        let total: f64 = changes.iter().map(|(_, change)| change).sum();
        self.is_returning &= total < 0.0;
        let step_max = if self.is_returning { RETURN_STEP_MAX } else { STEP_MAX };
        let scale = if total.abs() > step_max { step_max / total.abs() } else { 1.0 };
        for (name, change) in changes {
            *self.shares.entry(name).or_default() += change * scale;
        }
        self.shares.retain(|_, share| *share >= SHARE_MIN * 0.1);
        let sum: f64 = self.shares.values().sum();
        if sum > 1.0 {
            self.shares.values_mut().for_each(|share| *share /= sum);
        }
    }

    fn change(&mut self) -> Option<ShareChange> {
        let (before, after) = (self.reported, self.leaving());
        let has_ended = before > 0.0 && after < SHARE_MIN;
        if (after - before).abs() < REPORTED_CHANGE && !has_ended {
            return None;
        }
        self.reported = if has_ended { 0.0 } else { after };
        let reason = match () {
            () if self.lost.is_some() => ShareReason::NoServer,
            () if self.is_returning => ShareReason::ServersBack,
            () if after > before => ShareReason::Pressure,
            () => ShareReason::Relief,
        };
        let mut destinations = String::new();
        for (zone, share) in &self.shares {
            // Writing to a string succeeds.
            let _ = write!(destinations, "{zone}:{share:.3} ");
        }
        destinations.truncate(destinations.trim_end().len());
        Some(ShareChange { before, after: self.reported, reason, destinations })
    }
}
