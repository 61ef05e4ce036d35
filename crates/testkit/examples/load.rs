//! Generates open-loop load on a fleet and prints a report: `load --profile tahrir|swan --seconds N ADDRESS...`.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootpick_testkit::load_generator::{LoadPlan, RequestKind, Workload, WorkloadReport, run};
use eyre::{OptionExt, bail};
use getopts::Options;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let mut options = Options::new();
    options.reqopt("p", "profile", "users' mix of requests", "tahrir|swan");
    options.optopt("s", "seconds", "time for which requests arrive (10)", "N");
    options.optopt("x", "scale", "factor on the profile's rates (1.0)", "FACTOR");
    options.optopt("", "seed", "seed of arrivals and prompts (1)", "N");
    options.optopt("j", "json", "also write the report as JSON", "FILE");
    let matches = options.parse(std::env::args().skip(1))?;
    let scale: f64 = matches.opt_get_default("scale", 1.0)?;
    let profile = matches.opt_str("profile").ok_or_eyre("--profile is required")?;
    let mut workloads = match profile.as_str() {
        "tahrir" => tahrir(),
        "swan" => swan(),
        other => bail!("unknown profile {other}"),
    };
    for workload in &mut workloads {
        workload.rate *= scale;
    }
    let addresses: Vec<SocketAddr> = matches.free.iter().map(|text| text.parse()).collect::<Result<_, _>>()?;
    let duration = Duration::from_secs(matches.opt_get_default("seconds", 10)?);
    let plan = LoadPlan { addresses, workloads, duration, seed: matches.opt_get_default("seed", 1)? };
    let reports = run(&plan).await;
    print!("{}", table(&reports));
    if let Some(path) = matches.opt_str("json") {
        std::fs::write(path, serde_json::to_string_pretty(&reports)?)?;
    }
    Ok(())
}

fn workload(name: &str, service: &str, kind: RequestKind, accounts: &[&str], rate: f64) -> Workload {
    let credentials = accounts.iter().map(|account| (*account).to_owned()).collect();
    Workload { name: name.to_owned(), service: service.to_owned(), kind, credentials, rate }
}

/// Load of the co-operative: plan reviews, explanations, applies and status queries of two client accounts.
fn tahrir() -> Vec<Workload> {
    let both = ["tahrir:registry:large-key", "tahrir:clinic:small-key"];
    vec![
        workload("plan review", "plan-review", RequestKind::Chat { tokens: 160, prefix: 1_024 }, &both, 20.0),
        workload("explain", "plan-review", RequestKind::Chat { tokens: 40, prefix: 256 }, &both, 30.0),
        workload("apply", "migration", RequestKind::Apply, &both, 5.0),
        workload("status", "migration", RequestKind::Status, &both, 20.0),
    ]
}

/// Load of the floor plan utility: room labels, home summaries, commits and status queries of two client accounts.
fn swan() -> Vec<Workload> {
    let both = ["swan:metro:large-key", "swan:goldfields:small-key"];
    vec![
        workload("room label", "room-label", RequestKind::Chat { tokens: 16, prefix: 512 }, &both, 80.0),
        workload("home summary", "home-summary", RequestKind::Chat { tokens: 300, prefix: 1_024 }, &both, 10.0),
        workload("commit", "map-record", RequestKind::Apply, &both, 5.0),
        workload("status", "map-record", RequestKind::Status, &both, 30.0),
    ]
}

const HEADER: &str = "part          sent  answered  broken  refused  first p50/p95/p99 ms    between p50/p95/p99 ms\n";

fn table(reports: &[WorkloadReport]) -> String {
    let rows = reports.iter().map(|report| {
        let refused: u64 = report.refusals.values().sum();
        let first = millis([report.first_us.p50, report.first_us.p95, report.first_us.p99]);
        let between = millis([report.between_us.p50, report.between_us.p95, report.between_us.p99]);
        let WorkloadReport { name, sent, answered, broken, .. } = report;
        format!("{name:12}  {sent:4}  {answered:8}  {broken:6}  {refused:7}  {first:22}  {between}\n")
    });
    let refusals = reports.iter().flat_map(|report| {
        report.refusals.iter().map(|(code, count)| format!("{}: {count} refused as {code}\n", report.name))
    });
    std::iter::once(HEADER.to_owned()).chain(rows).chain(refusals).collect()
}

#[expect(clippy::cast_precision_loss, reason = "latencies are far below 52 bits of microseconds")]
fn millis(values: [u64; 3]) -> String {
    values.map(|micros| format!("{:.1}", micros as f64 / 1_000.0)).join(" / ")
}
