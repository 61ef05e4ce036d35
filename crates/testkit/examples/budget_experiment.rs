//! Measures ways of sharing budgets between instances; see `docs/BUDGETS.md`.

use std::time::Duration;

use coltsfootpick_core::sizing::GrantSizing;
use coltsfootpick_testkit::budget_schemes::{Grants, PerRequest, StaticSplit};
use coltsfootpick_testkit::budget_simulation::{ACCOUNTS, Faults, Load, NODES, Report, run};

const SEEDS: [u64; 3] = [1, 2, 3];
const HORIZONS_S: [u64; 5] = [5, 60, 600, 3_600, 14_400];
const HORIZON_S: u64 = 7_200;
const STOCK_H: u64 = 4;
const SHARES: [u64; 2] = [10, 50];
const DELAYS_MS: [u64; 2] = [0, 2_000];
const SHARE: u64 = 25;
const DELAY_MS: u64 = 10_000;

#[expect(clippy::cast_precision_loss, reason = "shares for reading")]
fn share(part: u64, whole: u64, scale: f64) -> f64 {
    part as f64 * scale / whole.max(1) as f64
}

fn sum(reports: &[Report]) -> Report {
    reports.iter().fold(Report::default(), |sum, report| Report {
        requests: sum.requests + report.requests,
        refused: sum.refused + report.refused,
        false_refusals: sum.false_refusals + report.false_refusals,
        overspend: sum.overspend + report.overspend,
        overbilled: sum.overbilled + report.overbilled,
        unbilled: sum.unbilled + report.unbilled,
        used: sum.used + report.used,
        appends: sum.appends + report.appends,
        deaths: sum.deaths + report.deaths,
        doubt: sum.doubt + report.doubt,
        paid: sum.paid + report.paid,
    })
}

fn line(name: &str, load: Load, run: impl Fn(u64) -> Report + Sync) {
    let run = &run;
    let reports = std::thread::scope(|scope| {
        let threads = SEEDS.map(|seed| scope.spawn(move || run(seed)));
        threads.map(|thread| thread.join().expect("a run ends"))
    });
    let total = sum(&reports);
    println!(
        "| {name} | {:?} | {} | {} | {} | {:.4} | {:.4} | {:.1} | {} | {} | {:.2} | {:.3} |",
        load.faults,
        load.stock,
        load.forward,
        total.requests,
        share(total.refused, total.requests, 100.0),
        share(total.false_refusals, total.requests, 100.0),
        share(total.appends, total.requests, 1_000.0),
        total.overspend,
        total.overbilled,
        share(total.doubt, total.paid * total.deaths / SEEDS.len() as u64, 100.0),
        share(total.unbilled, total.used, 100.0),
    );
}

fn grants(load: Load, horizon: u64, share: u64, delay: u64) {
    let sizing = GrantSizing {
        horizon: Duration::from_secs(horizon),
        share_percent: share,
        settle_delay: Duration::from_millis(delay),
    };
    let name = format!("grants {horizon} s, {share} %, delay {delay} ms");
    line(&name, load, |seed| run(&mut Grants::new(NODES, sizing), load, seed));
}

fn all_ways(load: Load) {
    line("static split", load, |seed| run(&mut StaticSplit::new(NODES, ACCOUNTS), load, seed));
    line("append a request", load, |seed| run(&mut PerRequest::new(NODES, ACCOUNTS), load, seed));
    grants(load, HORIZON_S, SHARE, DELAY_MS);
}

fn main() {
    println!(
        "| way | faults | stock, h | forward | requests | refused % | false % | appends/1,000 | overspend | overbilled \
         | doubt a death, % of paid | unbilled % |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let load = Load { faults: Faults::All, stock: STOCK_H, forward: true };
    all_ways(load);
    all_ways(Load { forward: false, ..load });
    all_ways(Load { faults: Faults::None, ..load });
    all_ways(Load { stock: 1, ..load });
    for horizon in HORIZONS_S {
        grants(load, horizon, SHARE, DELAY_MS);
    }
    for share in SHARES {
        grants(load, HORIZON_S, share, DELAY_MS);
    }
    for delay in DELAYS_MS {
        grants(load, HORIZON_S, SHARE, delay);
    }
}
