//! Compares placement policies on the same seeded load in virtual time: `routing_experiment [SECONDS]`.

#![allow(clippy::cast_precision_loss, reason = "counts of one run are far below the precision of f64")]

use std::time::Duration;

use coltsfootpick_core::placement::PolicyKind;
use coltsfootpick_testkit::routing_simulation::{FIRST_TOKEN_MAX, Fault, Plan, Report, run};

const SEEDS: [u64; 3] = [21, 22, 23];
const SATURATING_RATE: f64 = 400.0;
const WARMUP: Duration = Duration::from_secs(20);
const LOADS: [f64; 4] = [0.5, 0.9, 1.0, 1.5];
const FAULTS: [Fault; 4] = [Fault::Dies, Fault::Slows, Fault::Lies, Fault::Silent];

fn plan(policy: PolicyKind, rate: f64, seconds: u64, fault: Fault) -> Plan {
    Plan { policy, seed: SEEDS[0], rate, span: WARMUP + Duration::from_secs(seconds), warmup: WARMUP, fault }
}

/// Runs every seed and adds the reports up.
fn run_all(plan: Plan) -> Report {
    let mut reports = SEEDS.iter().map(|seed| run(Plan { seed: *seed, ..plan }));
    let first = reports.next().unwrap_or_else(|| unreachable!("there are seeds"));
    reports.fold(first, |mut sum, report| {
        let _ = sum.first.add(&report.first);
        let _ = sum.all.add(&report.all);
        let _ = sum.between.add(&report.between);
        for (window, other) in sum.windows.iter_mut().zip(&report.windows) {
            let _ = window.add(other);
        }
        sum.offered += report.offered;
        sum.refused += report.refused;
        sum.late += report.late;
        sum.good += report.good;
        sum.blocks += report.blocks;
        sum.hits += report.hits;
        sum.crossed += report.crossed;
        sum.measured += report.measured;
        sum
    })
}

fn quantiles(histogram: &hdrhistogram::Histogram<u64>) -> String {
    let at = |quantile| histogram.value_at_quantile(quantile) / 1_000;
    format!("{:>4} / {:>4} / {:>4}", at(0.5), at(0.95), at(0.99))
}

/// Seconds after the fault until the last window whose p95 missed the goal.
fn recovery(report: &Report) -> String {
    let start = usize::try_from(WARMUP.as_secs()).unwrap_or_default();
    let after = &report.windows[start..];
    let goal = u64::try_from(FIRST_TOKEN_MAX.as_micros()).unwrap_or(u64::MAX);
    match after.iter().rposition(|window| window.value_at_quantile(0.95) >= goal) {
        None => "0 s".to_owned(),
        Some(last) if last + 1 == after.len() => "not in the run".to_owned(),
        Some(last) => format!("{} s", last + 1),
    }
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(60);
    let saturated = |policy| run_all(plan(policy, SATURATING_RATE, seconds, Fault::None)).goodput();
    let mut capacity: f64 = 0.0;
    println!("goodput at {SATURATING_RATE} offered requests a second");
    for policy in PolicyKind::ALL {
        let goodput = saturated(*policy);
        println!("  {policy:13} {goodput:.1}/s");
        if *policy != PolicyKind::Scored {
            capacity = capacity.max(goodput);
        }
    }
    println!("capacity: {capacity:.1}/s, the best baseline; good means a first token within {FIRST_TOKEN_MAX:?}");
    println!(
        "load policy        first token 50/95/99 ms  95 of offered  between 50/95/99 ms  hits  crossed MB  goodput/s"
    );
    for load in LOADS {
        for policy in PolicyKind::ALL {
            let report = run_all(plan(*policy, load * capacity, seconds, Fault::None));
            println!(
                "{load:<4} {:<13} {:>18} {:>13} {:>18} {:>6.2} {:>11.1} {:>10.1}  refused {} late {} of {}",
                policy.to_string(),
                quantiles(&report.first),
                report.all.value_at_quantile(0.95) / 1_000,
                quantiles(&report.between),
                report.hit_share(),
                report.crossed as f64 / 1e6,
                report.goodput(),
                report.refused,
                report.late,
                report.offered,
            );
        }
    }
    println!("recovery after a fault of one of 12 runners at 0.5 of capacity");
    for policy in PolicyKind::ALL {
        for fault in FAULTS {
            let with = run_all(plan(*policy, 0.5 * capacity, seconds, fault));
            println!(
                "{policy:13} {fault:<7} {:>15}  first token {}  goodput {:.1}/s  late {}",
                recovery(&with),
                quantiles(&with.first),
                with.goodput(),
                with.late
            );
        }
    }
}
