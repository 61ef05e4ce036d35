//! Compares schemes for sharing budgets between instances; see `docs/BUDGETS.md`.

use std::time::Duration;

use coltsfootpick_core::sizing::GrantSizing;
use coltsfootpick_testkit::budget_schemes::{AppendPerRequest, GrantScheme, StaticSplit};
use coltsfootpick_testkit::budget_simulation::{ACCOUNTS, BudgetReport, BudgetScenario, FaultSchedule, INSTANCES, run};

const SEEDS: [u64; 3] = [1, 2, 3];
const DEFAULT_HORIZON_S: u64 = 7_200;
const OTHER_HORIZONS_S: [u64; 5] = [5, 60, 600, 3_600, 14_400];
const DEFAULT_SHARE_PERCENT: u64 = 25;
const OTHER_SHARES_PERCENT: [u64; 2] = [10, 50];
const DEFAULT_DELAY_MS: u64 = 10_000;
const OTHER_DELAYS_MS: [u64; 2] = [0, 2_000];
const STOCK_H: u64 = 4;

#[expect(clippy::cast_precision_loss, reason = "rounded figures for a table")]
fn ratio(part: u64, whole: u64, scale: f64) -> f64 {
    part as f64 * scale / whole.max(1) as f64
}

fn sum(reports: &[BudgetReport]) -> BudgetReport {
    reports.iter().fold(BudgetReport::default(), |sum, report| BudgetReport {
        requests: sum.requests + report.requests,
        refused: sum.refused + report.refused,
        false_refusals: sum.false_refusals + report.false_refusals,
        overspend: sum.overspend + report.overspend,
        overbilled: sum.overbilled + report.overbilled,
        unbilled: sum.unbilled + report.unbilled,
        used: sum.used + report.used,
        appends: sum.appends + report.appends,
        crashes: sum.crashes + report.crashes,
        in_doubt: sum.in_doubt + report.in_doubt,
        paid: sum.paid + report.paid,
    })
}

fn print_row(name: &str, scenario: BudgetScenario, run: impl Fn(u64) -> BudgetReport + Sync) {
    let run = &run;
    let reports = std::thread::scope(|scope| {
        let threads = SEEDS.map(|seed| scope.spawn(move || run(seed)));
        threads.map(|thread| thread.join().expect("a run ends"))
    });
    let total = sum(&reports);
    println!(
        "| {name} | {:?} | {} | {} | {} | {:.4} | {:.4} | {:.1} | {} | {} | {:.2} | {:.3} |",
        scenario.faults,
        scenario.stock_hours,
        scenario.forward,
        total.requests,
        ratio(total.refused, total.requests, 100.0),
        ratio(total.false_refusals, total.requests, 100.0),
        ratio(total.appends, total.requests, 1_000.0),
        total.overspend,
        total.overbilled,
        ratio(total.in_doubt, total.paid * total.crashes / SEEDS.len() as u64, 100.0),
        ratio(total.unbilled, total.used, 100.0),
    );
}

fn run_grants(scenario: BudgetScenario, horizon: u64, share: u64, delay: u64) {
    let sizing = GrantSizing {
        horizon: Duration::from_secs(horizon),
        share_percent: share,
        settle_delay: Duration::from_millis(delay),
    };
    let name = format!("grants {horizon} s, {share} %, delay {delay} ms");
    print_row(&name, scenario, |seed| run(&mut GrantScheme::new(INSTANCES, sizing), scenario, seed));
}

fn compare_schemes(scenario: BudgetScenario) {
    print_row("static split", scenario, |seed| run(&mut StaticSplit::new(INSTANCES, ACCOUNTS), scenario, seed));
    print_row("append a request", scenario, |seed| {
        run(&mut AppendPerRequest::new(INSTANCES, ACCOUNTS), scenario, seed)
    });
    run_grants(scenario, DEFAULT_HORIZON_S, DEFAULT_SHARE_PERCENT, DEFAULT_DELAY_MS);
}

fn main() {
    println!(
        "| way | faults | stock, h | forward | requests | refused % | false % | appends/1,000 | overspend | overbilled \
         | doubt a death, % of paid | unbilled % |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let scenario = BudgetScenario { faults: FaultSchedule::All, stock_hours: STOCK_H, forward: true };
    compare_schemes(scenario);
    compare_schemes(BudgetScenario { forward: false, ..scenario });
    compare_schemes(BudgetScenario { faults: FaultSchedule::None, ..scenario });
    compare_schemes(BudgetScenario { stock_hours: 1, ..scenario });
    for horizon in OTHER_HORIZONS_S {
        run_grants(scenario, horizon, DEFAULT_SHARE_PERCENT, DEFAULT_DELAY_MS);
    }
    for share in OTHER_SHARES_PERCENT {
        run_grants(scenario, DEFAULT_HORIZON_S, share, DEFAULT_DELAY_MS);
    }
    for delay in OTHER_DELAYS_MS {
        run_grants(scenario, DEFAULT_HORIZON_S, DEFAULT_SHARE_PERCENT, delay);
    }
}
