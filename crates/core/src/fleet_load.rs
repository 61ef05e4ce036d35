//! Load that all instances together have put on the engines.
//!
//! An instance sends a hundredth of an engine's requests and would otherwise see only those. Instances report their
//! load to a collector of their zone, which returns the sum over all others. See `docs/design/FLEET-LOAD.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::server_limits::ServerRun;

/// What the fleet knows of one engine beyond the requests that this instance has open there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetEngine {
    /// Requests that other instances have open at the engine.
    pub open: f64,
    /// Prompt tokens of those requests that are not computed yet.
    pub prefill: f64,
    /// Tokens of KV cache that those requests hold.
    pub held: f64,
    /// Ratio of measured to nominal prefill times, over the samples of all instances; 1 if there are none.
    ///
    /// Few samples count together with the median over the engines of the service (the service's level), which is also
    /// the value of an engine without samples. An engine of median speed therefore has the level, not 1.
    pub slowness: f64,
    /// Ratio of measured to nominal step times, estimated as [`Self::slowness`] is.
    pub step_slowness: f64,
    /// Age of the newest message that told it.
    pub age: Duration,
}

/// Shortest time between two updates on a link.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between two complete updates on a link; less than [`SILENCE_MAX`].
pub const FULL_INTERVAL: Duration = Duration::from_millis(900);

/// Silence after which what a link has told is discarded.
pub const SILENCE_MAX: Duration = Duration::from_secs(1);

/// Maximum number of engines in one table or update; with every number at its bound the frame is below 64 KiB.
pub const ENGINES_MAX: usize = 2_048;

/// Bytes that the network adds to a frame: length, TCP and IP headers of the segment and of its acknowledgement.
pub const FRAME_OVERHEAD_BYTES: usize = 108;

/// Largest number of open requests of one engine in an update.
pub const OPEN_MAX: u64 = 65_535;

/// Largest number of tokens of one engine in an update.
pub const TOKENS_MAX: u64 = 1 << 27;

/// Tokens of KV cache in which an update counts, since each event of a stream adds a few.
pub const HELD_UNIT: u64 = 64;

/// Smallest and greatest accepted ratio of a measured to a nominal time.
pub const RATIO_RANGE: (f64, f64) = (0.05, 30.0);

/// Greatest weight of the samples in a sum.
pub const WEIGHT_MAX: f64 = 600.0;

/// Time after which a sample has lost half of its weight. Engines are slowed for 600 ms now and then, which is no lasting
/// speed; all instances together bring 4 samples per second and engine.
const SAMPLE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Identifies one run of an engine in updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u32);

impl EngineId {
    /// Id of a run. Two of 2,048 engines have the same one in 1 of 2,000 fleets; they then see each other's load.
    pub fn new(run: &ServerRun) -> Self {
        let start = run.started_at.unwrap_or_default().to_le_bytes();
        let hash = xxh3_64(&[&start, run.name.as_bytes()].concat());
        Self((hash >> 32) as u32)
    }
}

/// Load of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Open requests.
    pub open: u64,
    /// Prompt tokens that are not computed yet.
    pub prefill: u64,
    /// Tokens of KV cache.
    pub held: u64,
}

impl EngineLoad {
    /// Whether there is no load.
    pub const fn is_zero(&self) -> bool {
        self.open == 0 && self.prefill == 0 && self.held == 0
    }

    /// Sum, bounded as in updates.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            open: self.open.saturating_add(other.open),
            prefill: self.prefill.saturating_add(other.prefill),
            held: self.held.saturating_add(other.held),
        }
    }

    /// Difference, zero where `other` is greater.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            open: self.open.saturating_sub(other.open),
            prefill: self.prefill.saturating_sub(other.prefill),
            held: self.held.saturating_sub(other.held),
        }
    }

    /// Load as an update tells it: bounded, and KV tokens in whole units.
    #[must_use]
    pub fn rounded(self) -> Self {
        Self {
            open: self.open.min(OPEN_MAX),
            prefill: self.prefill.min(TOKENS_MAX),
            held: self.held.min(TOKENS_MAX).div_ceil(HELD_UNIT) * HELD_UNIT,
        }
    }
}

/// Decaying sum of ratios of measured to nominal times, with the weight of the samples in it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RatioSum {
    /// Sum of the ratios.
    pub sum: f64,
    /// Number of samples, reduced by their age.
    pub weight: f64,
}

impl RatioSum {
    /// Sum whose samples have the mean `mean`.
    pub fn of_mean(mean: f64, weight: f64) -> Self {
        Self { sum: mean * weight, weight }
    }

    /// Mean of the ratios, if there are samples.
    pub fn mean(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| (self.sum / self.weight).clamp(RATIO_RANGE.0, RATIO_RANGE.1))
    }

    /// Sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { sum: self.sum + other.sum, weight: self.weight + other.weight }
    }

    /// This sum without the samples of `other`.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        let weight = (self.weight - other.weight).max(0.0);
        // What rounding leaves is no sample.
        if weight < 1e-6 { Self::default() } else { Self { sum: (self.sum - other.sum).max(0.0), weight } }
    }

    /// Sum after `elapsed`, in which its samples lost weight.
    #[must_use]
    pub fn decayed(self, elapsed: Duration) -> Self {
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / SAMPLE_HALF_LIFE.as_secs_f64());
        Self { sum: self.sum * factor, weight: self.weight * factor }
    }

    /// Adds a sample.
    pub fn add(&mut self, ratio: f64) {
        self.sum += ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        self.weight += 1.0;
    }
}

/// Samples of an engine's speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineSpeeds {
    /// Times to the first event.
    pub prefill: RatioSum,
    /// Pauses between events.
    pub step: RatioSum,
}

impl EngineSpeeds {
    /// Sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { prefill: self.prefill.plus(other.prefill), step: self.step.plus(other.step) }
    }

    /// These samples without those of `other`.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self { prefill: self.prefill.minus(other.prefill), step: self.step.minus(other.step) }
    }

    /// Samples after `elapsed`.
    #[must_use]
    pub fn decayed(self, elapsed: Duration) -> Self {
        Self { prefill: self.prefill.decayed(elapsed), step: self.step.decayed(elapsed) }
    }

    /// Whether the samples weigh so little that they need not be told.
    pub fn is_negligible(&self) -> bool {
        self.prefill.weight < 0.01 && self.step.weight < 0.01
    }
}

/// Loads and speeds of engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadTable {
    /// Load of each engine that has any.
    pub loads: BTreeMap<EngineId, EngineLoad>,
    /// Speeds of the engines with samples.
    pub speeds: BTreeMap<EngineId, EngineSpeeds>,
}

impl LoadTable {
    /// Adds the entries of `other`; engines beyond [`ENGINES_MAX`] are left out.
    pub fn add(&mut self, other: &Self) {
        for (engine, load) in &other.loads {
            if self.loads.len() < ENGINES_MAX || self.loads.contains_key(engine) {
                let sum = self.loads.entry(*engine).or_default();
                *sum = sum.plus(*load);
            }
        }
        for (engine, speeds) in &other.speeds {
            if self.speeds.len() < ENGINES_MAX || self.speeds.contains_key(engine) {
                let sum = self.speeds.entry(*engine).or_default();
                *sum = sum.plus(*speeds);
            }
        }
    }

    /// This table without the entries of `other`, which was added to it.
    #[must_use]
    pub fn without(&self, other: &Self) -> Self {
        let load = |(engine, load): (&EngineId, &EngineLoad)| {
            let own = other.loads.get(engine).copied().unwrap_or_default();
            Some((*engine, load.minus(own))).filter(|(_, left)| !left.is_zero())
        };
        let speeds = |(engine, speeds): (&EngineId, &EngineSpeeds)| {
            let own = other.speeds.get(engine).copied().unwrap_or_default();
            Some((*engine, speeds.minus(own))).filter(|(_, left)| !left.is_negligible())
        };
        Self {
            loads: self.loads.iter().filter_map(load).collect(),
            speeds: self.speeds.iter().filter_map(speeds).collect(),
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.loads.len() + self.speeds.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
