//! Load of this instance at the engines, and speeds learned from its requests.
//!
//! Nominal prefill time: 50 prompt tokens per millisecond, 15 ms to the first event, and 0.25 ms for each million pairs
//! of prompt tokens. What is queued before a request is computed at the same unknown speed, so the ratio is the time to
//! the first event over the nominal time of the queue and the request together.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet_load::{ENGINES_MAX, EngineId, EngineLoad, EngineSpeeds, LoadTable};
use crate::units::Instant;

/// Prompt tokens that an engine of nominal speed prefills per millisecond; the selection assumes the same.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Nominal time to the first event of an empty prompt, in milliseconds.
const FIRST_EVENT_MS: f64 = 15.0;

/// Nominal time of a million pairs of prompt tokens, in milliseconds.
const MILLION_PAIRS_MS: f64 = 0.25;

/// Nominal time of a step for one running request, in milliseconds; between those of the engines known (2.6 and 3.82).
const STEP_MS: f64 = 3.2;

/// Nominal time that each further running request adds to a step, in milliseconds (0.023 and 0.12 at the engines known).
const STEP_PER_REQUEST_MS: f64 = 0.07;

/// Nominal time from sending to the first event, in milliseconds, where `queued` tokens are computed before `uncached` own
/// ones of a prompt of `prompt` tokens.
#[expect(clippy::cast_precision_loss, reason = "prompts are far shorter than 2^52 tokens")]
pub fn nominal_first_event_ms(queued: f64, uncached: u64, prompt: u64) -> f64 {
    let (uncached, prompt) = (uncached as f64, prompt as f64);
    // All ordered pairs of the prompt, without those of cached tokens among themselves.
    let pairs = uncached * (prompt - uncached / 2.0).max(0.0) * 2.0;
    FIRST_EVENT_MS + (queued.max(0.0) + uncached) / PREFILL_TOKENS_PER_MS + pairs / 1e6 * MILLION_PAIRS_MS
}

/// Nominal time of one step with `running` requests, in milliseconds.
pub fn nominal_step_ms(running: f64) -> f64 {
    STEP_MS + running.max(0.0) * STEP_PER_REQUEST_MS
}

/// Samples of one engine as of the time of the last.
#[derive(Clone, Copy, Debug, Default)]
struct OwnSpeeds {
    speeds: EngineSpeeds,
    updated_at: Instant,
}

impl OwnSpeeds {
    fn at(&self, now: Instant) -> EngineSpeeds {
        self.speeds.decayed(now.since(self.updated_at))
    }
}

/// Load of this instance at each engine.
#[derive(Clone, Debug, Default)]
pub struct OwnLoad {
    loads: BTreeMap<EngineId, EngineLoad>,
    speeds: BTreeMap<EngineId, OwnSpeeds>,
}

impl OwnLoad {
    /// Adds `load` of an engine; returns false if too many engines have load already.
    pub fn add(&mut self, engine: EngineId, load: EngineLoad) -> bool {
        if self.loads.len() >= ENGINES_MAX && !self.loads.contains_key(&engine) {
            return false;
        }
        let sum = self.loads.entry(engine).or_default();
        *sum = sum.plus(load);
        true
    }

    /// Removes `load` that was added before.
    pub fn remove(&mut self, engine: EngineId, load: EngineLoad) {
        if let Some(sum) = self.loads.get_mut(&engine) {
            *sum = sum.minus(load);
            if sum.is_zero() {
                self.loads.remove(&engine);
            }
        }
    }

    /// Own load of an engine.
    pub fn load(&self, engine: EngineId) -> EngineLoad {
        self.loads.get(&engine).copied().unwrap_or_default()
    }

    /// Adds the ratio of a measured to the nominal time to the first event.
    pub fn note_prefill(&mut self, engine: EngineId, measured: Duration, nominal_ms: f64, now: Instant) {
        self.sample(engine, now, |speeds| speeds.prefill.add(ratio(measured, nominal_ms)));
    }

    /// Adds the ratio of a measured to the nominal time of a step.
    pub fn note_step(&mut self, engine: EngineId, measured: Duration, nominal_ms: f64, now: Instant) {
        self.sample(engine, now, |speeds| speeds.step.add(ratio(measured, nominal_ms)));
    }

    fn sample(&mut self, engine: EngineId, now: Instant, add: impl FnOnce(&mut EngineSpeeds)) {
        if self.speeds.len() >= ENGINES_MAX && !self.speeds.contains_key(&engine) {
            self.speeds.retain(|_, own| !own.at(now).is_negligible());
            if self.speeds.len() >= ENGINES_MAX {
                return;
            }
        }
        let own = self.speeds.entry(engine).or_default();
        let mut speeds = own.at(now);
        add(&mut speeds);
        *own = OwnSpeeds { speeds, updated_at: now };
    }

    /// Own samples of an engine's speed.
    pub fn speeds(&self, engine: EngineId, now: Instant) -> EngineSpeeds {
        self.speeds.get(&engine).map(|own| own.at(now)).unwrap_or_default()
    }

    /// Load and speeds to report, without samples that have lost their weight.
    pub fn table(&mut self, now: Instant) -> LoadTable {
        self.speeds.retain(|_, own| !own.at(now).is_negligible());
        let speeds = self.speeds.iter().map(|(engine, own)| (*engine, own.at(now))).collect();
        LoadTable { loads: self.loads.clone(), speeds }
    }
}

fn ratio(measured: Duration, nominal_ms: f64) -> f64 {
    measured.as_secs_f64() * 1e3 / nominal_ms.max(0.1)
}
