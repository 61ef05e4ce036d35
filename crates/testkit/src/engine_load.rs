//! Requests and engines of the two deployments for the simulation of the placement on engines.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts are positive and far below the precision of f64"
)]

use coltsfootpick_core::selection::{Generation, PromptPart};
use coltsfootpick_core::units::Tokens;
use rand_chacha::ChaCha12Rng;
use rand_core::Rng;

use crate::engine_model::EngineSpec;
use crate::engine_placement_simulation::uniform;

/// Number of kinds of requests.
pub const KINDS: usize = 3;
/// Exponent of the Zipf distribution of the shared parts.
const POPULARITY_EXPONENT: f64 = 0.9;
/// Spread of the logarithm of a prompt's own length.
const LENGTH_SPREAD: f64 = 0.9;
/// Greatest ratio of a request's value to that of its kind.
const VALUE_RATIO_MAX: f64 = 4.0;
const VALUE_RATIO_MIN: f64 = 0.25;

/// One kind of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Name of the route.
    pub name: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Mean number of shared prompt tokens.
    pub shared: f64,
    /// Number of different shared parts.
    pub shared_parts: usize,
    /// Mean number of other prompt tokens.
    pub own: f64,
    /// Greatest length of a prompt.
    pub prompt_max: f64,
    /// Events of an answer.
    pub events: u64,
    /// Objective for the first event, in milliseconds.
    pub first_ms: f64,
    /// Objective for pauses, in milliseconds.
    pub pause_ms: Option<f64>,
    /// Value of a request of average size.
    pub value: f64,
}

/// Engines and load of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct PlacementLoad {
    /// Nominal values of the engines.
    pub spec: EngineSpec,
    /// Number of engines.
    pub engines: usize,
    /// Speeds, of which each is that of an equal part of the engines.
    pub speeds: &'static [f64],
    /// Kinds of requests.
    pub kinds: [RequestKind; KINDS],
}

/// Engines of different speeds with 16 slots and tight pause objectives.
pub const SIXTEEN_SLOTS: PlacementLoad = PlacementLoad {
    spec: EngineSpec {
        step_ms: 3.82,
        per_slot_ms: 0.0227,
        context_ms: 0.00256,
        prefill_per_ms: 68.2,
        pairs_ms: 0.242,
        chunk: 1_024,
        slots: 16,
        memory: 354_793,
        first_token_ms: 36.0,
    },
    engines: 112,
    speeds: &[0.6, 1.0, 1.6],
    kinds: [
        RequestKind {
            name: "repo-explain",
            rate: 127.0,
            shared: 5_382.0,
            shared_parts: 300,
            own: 6_610.0,
            prompt_max: 54_600.0,
            events: 42,
            first_ms: 800.0,
            pause_ms: Some(300.0),
            value: 4.0,
        },
        RequestKind {
            name: "match-summary",
            rate: 150.0,
            shared: 198.0,
            shared_parts: 50,
            own: 628.0,
            prompt_max: 6_000.0,
            events: 32,
            first_ms: 400.0,
            pause_ms: Some(300.0),
            value: 2.3,
        },
        RequestKind {
            name: "rank-hint",
            rate: 229.0,
            shared: 568.0,
            shared_parts: 40,
            own: 1_800.0,
            prompt_max: 12_000.0,
            events: 3,
            first_ms: 400.0,
            pause_ms: None,
            value: 0.37,
        },
    ],
};

/// Engines of one speed with 64 slots and pause objectives of 800 ms, under the same kinds of requests.
pub const SIXTY_FOUR_SLOTS: PlacementLoad = {
    let mut load = SIXTEEN_SLOTS;
    load.spec = EngineSpec {
        step_ms: 2.6,
        per_slot_ms: 0.12,
        context_ms: 0.00384,
        prefill_per_ms: 48.2,
        pairs_ms: 0.248,
        chunk: 2_048,
        slots: 64,
        memory: 345_842,
        first_token_ms: 14.0,
    };
    load.engines = 90;
    load.speeds = &[1.0];
    load.kinds[0].pause_ms = Some(800.0);
    load.kinds[1].pause_ms = Some(800.0);
    load
};

impl PlacementLoad {
    /// Requests per second of all kinds.
    pub fn rate(&self) -> f64 {
        self.kinds.iter().map(|kind| kind.rate).sum()
    }

    /// Draws the kind, size and value of a request.
    pub fn draw(&self, rng: &mut ChaCha12Rng) -> (usize, Generation, f64) {
        let mut at = uniform(rng) * self.rate();
        let mut index = 0;
        while index + 1 < KINDS && at >= self.kinds[index].rate {
            at -= self.kinds[index].rate;
            index += 1;
        }
        let kind = self.kinds[index];
        let total: f64 = (1..=kind.shared_parts).map(|rank| (rank as f64).powf(-POPULARITY_EXPONENT)).sum();
        let mut weight = uniform(rng) * total;
        let mut rank = 1;
        while rank < kind.shared_parts && weight > (rank as f64).powf(-POPULARITY_EXPONENT) {
            weight -= (rank as f64).powf(-POPULARITY_EXPONENT);
            rank += 1;
        }
        // The length of a shared part is fixed, between half and one and a half times the mean.
        let shared = kind.shared * (0.5 + (rank * 7 % 11) as f64 / 10.0);
        let common = kind.shared * 0.1;
        let normal = (-2.0 * (1.0 - uniform(rng)).ln()).sqrt() * (std::f64::consts::TAU * uniform(rng)).cos();
        let length = (LENGTH_SPREAD * normal - LENGTH_SPREAD * LENGTH_SPREAD / 2.0).exp();
        let own = (kind.own * length).clamp(16.0, kind.prompt_max - shared);
        let part = |id: usize, tokens: f64| PromptPart { id: id as u64, tokens: tokens as u64 };
        let base = (index + 1) * 1_000_000;
        let parts = vec![
            part(base, common),
            part(base + rank, shared - common),
            PromptPart { id: rng.next_u64(), tokens: own as u64 },
        ];
        let prompt: u64 = parts.iter().map(|part| part.tokens).sum();
        let output = 1 + (kind.events - 1) * 9;
        let ratio = prompt as f64 / (kind.shared + kind.own);
        let value = kind.value * ratio.clamp(VALUE_RATIO_MIN, VALUE_RATIO_MAX);
        (index, Generation { prompt: Tokens(prompt), output: Tokens(output), parts }, value)
    }
}
