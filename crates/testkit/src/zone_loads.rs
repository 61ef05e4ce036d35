//! Loads for the simulation of the shares by which requests leave their zone.

use crate::zone_simulation::{Rule, ZONES, ZoneScenario};

/// Engines of a zone in most loads.
const ENGINES: usize = 6;
/// Requests per second of a zone in most loads: 60 % of what its engines sustain.
const RATE: f64 = 32.0;

/// Load of one test.
#[derive(Clone, Copy, Debug)]
pub struct ZoneLoad {
    /// Name in tables.
    pub name: &'static str,
    instances: usize,
    engines: [usize; ZONES],
    speeds: [f64; ZONES],
    rate: fn(usize, f64) -> f64,
    is_up: fn(usize, f64) -> bool,
    has_shared_parts: bool,
    view_age_ms: f64,
    seconds: f64,
    measured_from: f64,
}

const EVEN: ZoneLoad = ZoneLoad {
    name: "even",
    instances: 24,
    engines: [ENGINES; ZONES],
    speeds: [1.0; ZONES],
    rate: |_, _| RATE,
    is_up: |_, _| true,
    has_shared_parts: false,
    view_age_ms: 100.0,
    seconds: 40.0,
    measured_from: 20.0,
};

const THIRD: ZoneLoad = ZoneLoad { name: "third", engines: [2, ENGINES, ENGINES, ENGINES, ENGINES, ENGINES], ..EVEN };

/// All loads.
pub const LOADS: [ZoneLoad; 14] = [
    EVEN,
    THIRD,
    ZoneLoad {
        name: "burst",
        rate: |zone, at| if zone == 0 && (15.0..35.0).contains(&at) { 2.5 * RATE } else { RATE },
        measured_from: 10.0,
        ..EVEN
    },
    ZoneLoad {
        name: "waves",
        rate: |zone, at| {
            let wave = (at / 20.0 * std::f64::consts::TAU).sin() * 0.8;
            RATE * if zone % 2 == 0 { 1.0 + wave } else { 1.0 - wave }
        },
        seconds: 60.0,
        ..EVEN
    },
    ZoneLoad { name: "slow zone", speeds: [0.3, 1.0, 1.0, 1.0, 1.0, 1.0], ..EVEN },
    ZoneLoad { name: "fails", is_up: |zone, at| zone != 0 || !(15.0..25.0).contains(&at), measured_from: 10.0, ..EVEN },
    ZoneLoad { name: "view 300 ms", view_age_ms: 300.0, ..THIRD },
    ZoneLoad { name: "view 700 ms", view_age_ms: 700.0, ..THIRD },
    ZoneLoad { name: "view 1 s", view_age_ms: 900.0, ..THIRD },
    ZoneLoad { name: "view 2 s", view_age_ms: 2_000.0, ..THIRD },
    ZoneLoad { name: "300 instances", instances: 300, ..THIRD },
    ZoneLoad { name: "even, shared parts", has_shared_parts: true, seconds: 100.0, measured_from: 60.0, ..EVEN },
    ZoneLoad { name: "third, shared parts", has_shared_parts: true, seconds: 100.0, measured_from: 60.0, ..THIRD },
    ZoneLoad {
        name: "slow zone, shared parts",
        speeds: [0.3, 1.0, 1.0, 1.0, 1.0, 1.0],
        has_shared_parts: true,
        seconds: 100.0,
        measured_from: 60.0,
        ..EVEN
    },
];

/// Load by its name.
///
/// # Panics
///
/// Panics if there is no such load.
pub fn load(name: &str) -> ZoneLoad {
    LOADS.into_iter().find(|load| load.name == name).expect("the load exists")
}

/// Run of a load under a rule.
pub const fn scenario(load: ZoneLoad, rule: Rule, seed: u64) -> ZoneScenario {
    let ZoneLoad {
        instances, engines, speeds, rate, is_up, has_shared_parts, view_age_ms, seconds, measured_from, ..
    } = load;
    ZoneScenario {
        rule,
        instances,
        engines,
        speeds,
        rate,
        is_up,
        has_shared_parts,
        view_age_ms,
        seconds,
        measured_from,
        seed,
    }
}
