//! Compares placement policies on the same simulated load: `routing_experiment [SECONDS]`.

#![allow(clippy::cast_precision_loss, reason = "counts of one run are far below the precision of f64")]

use std::time::Duration;

use coltsfootpick_core::placement::PolicyKind;
use coltsfootpick_testkit::routing_simulation::{FIRST_TOKEN_MAX, RoutingReport, RoutingScenario, ServerFault, run};

const SEEDS: [u64; 3] = [21, 22, 23];
/// Offered requests per second that exceed the capacity under every policy.
const SATURATING_RATE: f64 = 400.0;
const WARMUP: Duration = Duration::from_secs(20);
/// Offered loads as fractions of the measured capacity.
const LOAD_FACTORS: [f64; 4] = [0.5, 0.9, 1.0, 1.5];
const FAULTS: [ServerFault; 4] = [ServerFault::Crashed, ServerFault::Slow, ServerFault::HidesLoad, ServerFault::Silent];

fn scenario(policy: PolicyKind, request_rate: f64, seconds: u64, fault: ServerFault) -> RoutingScenario {
    RoutingScenario {
        policy,
        seed: SEEDS[0],
        request_rate,
        duration: WARMUP + Duration::from_secs(seconds),
        warmup: WARMUP,
        fault,
    }
}

/// Runs the scenario with every seed and adds up the reports.
fn run_all(scenario: RoutingScenario) -> RoutingReport {
    let mut reports = SEEDS.iter().map(|seed| run(RoutingScenario { seed: *seed, ..scenario }));
    let first = reports.next().unwrap_or_else(|| unreachable!("there are seeds"));
    reports.fold(first, |mut sum, report| {
        let _ = sum.first_token.add(&report.first_token);
        let _ = sum.offered_first_token.add(&report.offered_first_token);
        let _ = sum.inter_token.add(&report.inter_token);
        for (window, other) in sum.by_second.iter_mut().zip(&report.by_second) {
            let _ = window.add(other);
        }
        sum.offered += report.offered;
        sum.refused += report.refused;
        sum.late += report.late;
        sum.completed += report.completed;
        sum.prompt_blocks += report.prompt_blocks;
        sum.cached_blocks += report.cached_blocks;
        sum.region_bytes += report.region_bytes;
        sum.measured_time += report.measured_time;
        sum
    })
}

fn quantiles(histogram: &hdrhistogram::Histogram<u64>) -> String {
    let at = |quantile| histogram.value_at_quantile(quantile) / 1_000;
    format!("{:>4} / {:>4} / {:>4}", at(0.5), at(0.95), at(0.99))
}

/// Time from the fault to the end of the last second in which the p95 time to the first token reached the timeout.
fn recovery(report: &RoutingReport) -> String {
    let start = usize::try_from(WARMUP.as_secs()).unwrap_or_default();
    let windows = &report.by_second[start..];
    let limit = u64::try_from(FIRST_TOKEN_MAX.as_micros()).unwrap_or(u64::MAX);
    match windows.iter().rposition(|window| window.value_at_quantile(0.95) >= limit) {
        None => "0 s".to_owned(),
        Some(last) if last + 1 == windows.len() => "not in the run".to_owned(),
        Some(last) => format!("{} s", last + 1),
    }
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(60);
    let saturated_goodput = |policy| run_all(scenario(policy, SATURATING_RATE, seconds, ServerFault::None)).goodput();
    let mut capacity: f64 = 0.0;
    println!("goodput at {SATURATING_RATE} offered requests a second");
    for policy in PolicyKind::ALL {
        let goodput = saturated_goodput(*policy);
        println!("  {policy:13} {goodput:.1}/s");
        if *policy != PolicyKind::Scored {
            capacity = capacity.max(goodput);
        }
    }
    println!("capacity: {capacity:.1}/s, the best baseline; good means a first token within {FIRST_TOKEN_MAX:?}");
    println!(
        "load policy        first token 50/95/99 ms  95 of offered  between 50/95/99 ms  hits  crossed MB  goodput/s"
    );
    for load in LOAD_FACTORS {
        for policy in PolicyKind::ALL {
            let report = run_all(scenario(*policy, load * capacity, seconds, ServerFault::None));
            println!(
                "{load:<4} {:<13} {:>18} {:>13} {:>18} {:>6.2} {:>11.1} {:>10.1}  refused {} late {} of {}",
                policy.to_string(),
                quantiles(&report.first_token),
                report.offered_first_token.value_at_quantile(0.95) / 1_000,
                quantiles(&report.inter_token),
                report.hit_ratio(),
                report.region_bytes as f64 / 1e6,
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
            let report = run_all(scenario(*policy, 0.5 * capacity, seconds, fault));
            println!(
                "{policy:13} {fault:<7} {:>15}  first token {}  goodput {:.1}/s  late {}",
                recovery(&report),
                quantiles(&report.first_token),
                report.goodput(),
                report.late
            );
        }
    }
}
