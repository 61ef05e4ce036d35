//! Prints a table of the simulated shares by which requests leave their zone, for `docs/design/ZONES.md`.

#![allow(clippy::cast_precision_loss, reason = "counts of one run are far below the precision of f64")]

use coltsfootpick_testkit::zone_loads::{LOADS, scenario};
use coltsfootpick_testkit::zone_simulation::{Rule, run};

fn main() {
    println!(
        "| load | rule | first event in time, % | zone / region, MB | units: bytes + recomputation | swing | spread | step | leaving |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let seeds: Vec<u64> = std::env::args().skip(1).filter_map(|seed| seed.parse().ok()).collect();
    let names = std::env::var("LOADS").unwrap_or_default();
    for load in LOADS.into_iter().filter(|load| names.is_empty() || names.split(';').any(|name| name == load.name)) {
        for rule in [Rule::Shares, Rule::Zero, Rule::Cost, Rule::Never, Rule::Ignored] {
            for seed in &seeds {
                let report = run(&scenario(load, rule, *seed));
                println!(
                    "| {} | {rule:?} | {:.1} of {} | {:.1} / {:.1} | {:.0} + {:.0} | {:.3} | {:.3} | {:.3} | {:.2?} |",
                    load.name,
                    report.in_time_share() * 100.0,
                    report.requests,
                    report.zone_bytes as f64 / 1e6,
                    report.region_bytes as f64 / 1e6,
                    report.units(),
                    report.recomputed as f64 / 1e3 * 0.37,
                    report.swing,
                    report.spread,
                    report.step,
                    report.leaving
                );
            }
        }
    }
}
