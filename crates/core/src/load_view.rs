//! View of the fleet's load at one instance, from which the selection gets a [`FleetEngine`] for each server.

use std::time::Duration;

use crate::fleet_load::{EngineId, EngineLoad, EngineSpeeds, FleetEngine, LoadTable, RatioSum, SILENCE_MAX};
use crate::load_update::{LoadUpdate, ReceivedTable};
use crate::own_load::OwnLoad;
use crate::units::Instant;

/// Samples as many as which the service's level counts in the speed of an engine, so that one outlier decides nothing.
const LEVEL_WEIGHT: f64 = 2.0;

/// Least weight of an engine's samples from which it counts for the level of its service.
const LEVEL_SAMPLES_MIN: f64 = 0.5;

/// What the other instances have put on the engines.
#[derive(Debug, Default)]
pub struct LoadView {
    received: ReceivedTable,
}

impl LoadView {
    /// Starts with an empty table on a new link; updates of the old one no longer count.
    pub fn restart(&mut self, now: Instant) {
        self.received = ReceivedTable::new(now);
    }

    /// Applies an update of the collector; false if it doesn't count.
    pub fn apply(&mut self, update: LoadUpdate, now: Instant) -> bool {
        self.received.apply(update, now)
    }

    /// Replaces the view by a table that this instance computed as its own collector.
    pub fn replace(&mut self, table: LoadTable, now: Instant) {
        let LoadTable { loads, speeds } = table;
        let update = LoadUpdate {
            number: 1,
            is_full: true,
            is_withdrawn: false,
            loads: loads.into_iter().collect(),
            speeds: speeds.into_iter().collect(),
        };
        self.received = ReceivedTable::new(now);
        self.received.apply(update, now);
    }

    /// Age of the view, if it is recent enough to be used.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(self.received.age(now)).filter(|age| self.received.is_known() && *age <= SILENCE_MAX)
    }

    /// Number of engines with load or samples.
    pub fn len(&self) -> usize {
        let table = self.received.table();
        let only_speeds = table.speeds.keys().filter(|engine| !table.loads.contains_key(engine)).count();
        table.loads.len() + only_speeds
    }

    /// Whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Load that others have put on `engine`; `None` without a current view.
    pub fn load(&self, engine: EngineId, now: Instant) -> Option<EngineLoad> {
        self.age(now)?;
        Some(self.received.table().loads.get(&engine).copied().unwrap_or_default())
    }

    /// What the fleet knows of `engines`, all those of one service; `None` without a current view.
    pub fn engines(&self, engines: &[EngineId], own: &OwnLoad, now: Instant) -> Option<Vec<FleetEngine>> {
        let age = self.age(now)?;
        let table = self.received.table();
        let speeds: Vec<EngineSpeeds> = engines
            .iter()
            .map(|engine| {
                let others = table.speeds.get(engine).map(|speeds| speeds.decayed(age)).unwrap_or_default();
                others.plus(own.speeds(*engine, now))
            })
            .collect();
        let prefill_level = level(speeds.iter().map(|speeds| speeds.prefill));
        let step_level = level(speeds.iter().map(|speeds| speeds.step));
        let engine = |(engine, speeds): (&EngineId, &EngineSpeeds)| {
            let load = table.loads.get(engine).copied().unwrap_or_default();
            FleetEngine {
                open: count(load.open),
                prefill: count(load.prefill),
                held: count(load.held),
                slowness: estimate(speeds.prefill, prefill_level),
                step_slowness: estimate(speeds.step, step_level),
                age,
            }
        };
        Some(engines.iter().zip(&speeds).map(engine).collect())
    }
}

/// Mean of the samples and of the service's level, which counts as [`LEVEL_WEIGHT`] samples.
fn estimate(samples: RatioSum, level: f64) -> f64 {
    samples.plus(RatioSum::of_mean(level, LEVEL_WEIGHT)).mean().unwrap_or(level)
}

/// Median over the engines of a service; 1 if none has samples.
fn level(engines: impl Iterator<Item = RatioSum>) -> f64 {
    let sampled = engines.filter(|samples| samples.weight >= LEVEL_SAMPLES_MIN);
    let mut means: Vec<f64> = sampled.filter_map(|samples| samples.mean()).collect();
    means.sort_by(f64::total_cmp);
    means.get(means.len() / 2).copied().unwrap_or(1.0)
}

#[expect(clippy::cast_precision_loss, reason = "loads are bounded far below 2^52")]
const fn count(value: u64) -> f64 {
    value as f64
}
