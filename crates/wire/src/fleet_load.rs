//! Frames in which instances and collectors tell each other the load of the engines.
//!
//! Parallel packed arrays hold one number for each engine. Every number is bounded when it is decoded, so that sums over
//! a fleet cannot overflow.

use coltsfootpick_core::fleet_load::{
    ENGINES_MAX, EngineId, EngineLoad, EngineSpeeds, HELD_UNIT, OPEN_MAX, RATIO_RANGE, RatioSum, TOKENS_MAX, WEIGHT_MAX,
};
use coltsfootpick_core::load_update::LoadUpdate;
use derive_more::{Display, Error};
use prost::Message;

/// Maximum length of a frame.
pub const FRAME_MAX_BYTES: usize = 64 << 10;

/// Maximum length of a name in a greeting.
const NAME_MAX_BYTES: usize = 256;

/// Resolution of ratios and weights.
const RATIO_UNIT: f64 = 1e-3;

/// Resolution of weights of samples.
const WEIGHT_UNIT: f64 = 1e-2;

/// First frame of the instance that opened a link.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadHello {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Whether the sender is a collector, which tells the sum of its zone.
    #[prost(bool, tag = "2")]
    pub is_collector: bool,
}

/// Update of a table of loads.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadUpdateMessage {
    /// Number of the update on its link.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the update replaces the table.
    #[prost(bool, tag = "2")]
    pub is_full: bool,
    /// Ids of the engines.
    #[prost(fixed32, repeated, tag = "3")]
    pub engines: Vec<u32>,
    /// Open requests of each engine.
    #[prost(uint32, repeated, tag = "4")]
    pub open: Vec<u32>,
    /// Prompt tokens of each engine that are not computed yet.
    #[prost(uint32, repeated, tag = "5")]
    pub prefill: Vec<u32>,
    /// KV cache of each engine, in units of 64 tokens.
    #[prost(uint32, repeated, tag = "6")]
    pub held: Vec<u32>,
    /// Ids of the engines with samples of their speed.
    #[prost(fixed32, repeated, tag = "7")]
    pub sampled: Vec<u32>,
    /// Mean ratio of the prefill samples of each, in thousandths.
    #[prost(uint32, repeated, tag = "8")]
    pub prefill_ratio: Vec<u32>,
    /// Weight of the prefill samples of each, in hundredths.
    #[prost(uint32, repeated, tag = "9")]
    pub prefill_weight: Vec<u32>,
    /// Mean ratio of the step samples of each, in thousandths.
    #[prost(uint32, repeated, tag = "10")]
    pub step_ratio: Vec<u32>,
    /// Weight of the step samples of each, in hundredths.
    #[prost(uint32, repeated, tag = "11")]
    pub step_weight: Vec<u32>,
    /// Whether the sender tells no table.
    #[prost(bool, tag = "12")]
    pub is_withdrawn: bool,
}

/// Frame of a link; the opener's first one has a greeting, all others an update.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadFrame {
    /// Greeting.
    #[prost(message, optional, tag = "1")]
    pub hello: Option<LoadHello>,
    /// Update.
    #[prost(message, optional, tag = "2")]
    pub update: Option<LoadUpdateMessage>,
}

/// Reason why a frame is malformed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum LoadFrameError {
    /// The bytes are no frame.
    #[display("undecodable: {reason}")]
    Undecodable {
        /// Description of the fault.
        reason: String,
    },
    /// The arrays have different lengths or too many entries.
    #[display("arrays of {engines} loads and {sampled} speeds don't fit")]
    Arrays {
        /// Number of engines with loads.
        engines: usize,
        /// Number of engines with speeds.
        sampled: usize,
    },
    /// The frame has neither a greeting nor an update where one is due.
    #[display("no greeting or update")]
    Empty,
    /// The name of the instance is empty or too long.
    #[display("a name of {length} bytes")]
    Name {
        /// Length of the name.
        length: usize,
    },
}

impl LoadFrame {
    /// Frame with a greeting.
    pub fn hello(instance: &str, is_collector: bool) -> Self {
        Self { hello: Some(LoadHello { instance: instance.to_owned(), is_collector }), update: None }
    }

    /// Frame with an update.
    pub fn update(update: &LoadUpdate) -> Self {
        Self { hello: None, update: Some(update.into()) }
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no frame.
    pub fn read(bytes: &[u8]) -> Result<Self, LoadFrameError> {
        Self::decode(bytes).map_err(|error| LoadFrameError::Undecodable { reason: error.to_string() })
    }

    /// Greeting of the frame.
    ///
    /// # Errors
    ///
    /// Fails if there is none or its name is unusable.
    pub fn into_hello(self) -> Result<LoadHello, LoadFrameError> {
        let hello = self.hello.ok_or(LoadFrameError::Empty)?;
        match hello.instance.len() {
            1..=NAME_MAX_BYTES => Ok(hello),
            length => Err(LoadFrameError::Name { length }),
        }
    }

    /// Update of the frame, with bounded numbers.
    ///
    /// # Errors
    ///
    /// Fails if there is none or its arrays don't fit together.
    pub fn into_update(self) -> Result<LoadUpdate, LoadFrameError> {
        let message = self.update.ok_or(LoadFrameError::Empty)?;
        let (engines, sampled) = (message.engines.len(), message.sampled.len());
        let fit = |lengths: &[usize], expected: usize| lengths.iter().all(|length| *length == expected);
        let loads_fit = fit(&[message.open.len(), message.prefill.len(), message.held.len()], engines);
        let speeds = [&message.prefill_ratio, &message.prefill_weight, &message.step_ratio, &message.step_weight];
        let speeds_fit = fit(&speeds.map(Vec::len), sampled);
        if !loads_fit || !speeds_fit || engines > ENGINES_MAX || sampled > ENGINES_MAX {
            return Err(LoadFrameError::Arrays { engines, sampled });
        }
        let load = |at: usize| {
            let load = EngineLoad {
                open: u64::from(message.open[at]).min(OPEN_MAX),
                prefill: u64::from(message.prefill[at]).min(TOKENS_MAX),
                held: (u64::from(message.held[at]) * HELD_UNIT).min(TOKENS_MAX),
            };
            (EngineId(message.engines[at]), load)
        };
        let speed = |at: usize| {
            let speeds = EngineSpeeds {
                prefill: read_ratio(message.prefill_ratio[at], message.prefill_weight[at]),
                step: read_ratio(message.step_ratio[at], message.step_weight[at]),
            };
            (EngineId(message.sampled[at]), speeds)
        };
        Ok(LoadUpdate {
            number: message.number,
            is_full: message.is_full,
            is_withdrawn: message.is_withdrawn,
            loads: (0..engines).map(load).collect(),
            speeds: (0..sampled).map(speed).collect(),
        })
    }
}

impl From<&LoadUpdate> for LoadUpdateMessage {
    fn from(update: &LoadUpdate) -> Self {
        let loads = || update.loads.iter().map(|(_, load)| load.rounded());
        let speeds = || update.speeds.iter().map(|(_, speeds)| speeds);
        Self {
            number: update.number,
            is_full: update.is_full,
            is_withdrawn: update.is_withdrawn,
            engines: update.loads.iter().map(|(engine, _)| engine.0).collect(),
            open: loads().map(|load| narrow(load.open)).collect(),
            prefill: loads().map(|load| narrow(load.prefill)).collect(),
            held: loads().map(|load| narrow(load.held / HELD_UNIT)).collect(),
            sampled: update.speeds.iter().map(|(engine, _)| engine.0).collect(),
            prefill_ratio: speeds().map(|speeds| ratio_of(speeds.prefill)).collect(),
            prefill_weight: speeds().map(|speeds| weight_of(speeds.prefill)).collect(),
            step_ratio: speeds().map(|speeds| ratio_of(speeds.step)).collect(),
            step_weight: speeds().map(|speeds| weight_of(speeds.step)).collect(),
        }
    }
}

fn narrow(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

fn read_ratio(ratio: u32, weight: u32) -> RatioSum {
    let weight = (f64::from(weight) * WEIGHT_UNIT).min(WEIGHT_MAX);
    RatioSum::of_mean((f64::from(ratio) * RATIO_UNIT).clamp(RATIO_RANGE.0, RATIO_RANGE.1), weight)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the mean is positive and bounded")]
fn ratio_of(samples: RatioSum) -> u32 {
    (samples.mean().unwrap_or_default() / RATIO_UNIT).round() as u32
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the weight is positive and bounded")]
fn weight_of(samples: RatioSum) -> u32 {
    (samples.weight.clamp(0.0, WEIGHT_MAX) / WEIGHT_UNIT).round() as u32
}
