//! Offers an open-loop load to a fleet and reports it: `load --profile tahrir|swan --seconds N ADDRESS...`.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootpick_testkit::load_generator::{Kind, Part, PartReport, Plan, run};
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
    let mut parts = match profile.as_str() {
        "tahrir" => tahrir(),
        "swan" => swan(),
        other => bail!("unknown profile {other}"),
    };
    for part in &mut parts {
        part.rate *= scale;
    }
    let addresses: Vec<SocketAddr> = matches.free.iter().map(|text| text.parse()).collect::<Result<_, _>>()?;
    let span = Duration::from_secs(matches.opt_get_default("seconds", 10)?);
    let plan = Plan { addresses, parts, span, seed: matches.opt_get_default("seed", 1)? };
    let reports = run(&plan).await;
    print!("{}", table(&reports));
    if let Some(path) = matches.opt_str("json") {
        std::fs::write(path, serde_json::to_string_pretty(&reports)?)?;
    }
    Ok(())
}

fn part(name: &str, service: &str, kind: Kind, accounts: &[&str], rate: f64) -> Part {
    let credentials = accounts.iter().map(|account| (*account).to_owned()).collect();
    Part { name: name.to_owned(), service: service.to_owned(), kind, credentials, rate }
}

/// Plan reviews and explanations, applies and status reads of two accounts.
fn tahrir() -> Vec<Part> {
    let both = ["tahrir:registry:large-key", "tahrir:clinic:small-key"];
    vec![
        part("plan review", "plan-review", Kind::Chat { tokens: 160, prefix: 1_024 }, &both, 20.0),
        part("explain", "plan-review", Kind::Chat { tokens: 40, prefix: 256 }, &both, 30.0),
        part("apply", "migration", Kind::Apply, &both, 5.0),
        part("status", "migration", Kind::Status, &both, 20.0),
    ]
}

/// Room labels, full-home summaries, commits and dock lookups of two accounts.
fn swan() -> Vec<Part> {
    let both = ["swan:metro:large-key", "swan:goldfields:small-key"];
    vec![
        part("room label", "room-label", Kind::Chat { tokens: 16, prefix: 512 }, &both, 80.0),
        part("home summary", "home-summary", Kind::Chat { tokens: 300, prefix: 1_024 }, &both, 10.0),
        part("commit", "map-record", Kind::Apply, &both, 5.0),
        part("status", "map-record", Kind::Status, &both, 30.0),
    ]
}

const HEADER: &str = "part          sent  answered  broken  refused  first p50/p95/p99 ms    between p50/p95/p99 ms\n";

fn table(reports: &[PartReport]) -> String {
    let rows = reports.iter().map(|report| {
        let refused: u64 = report.refusals.values().sum();
        let first = millis([report.first_us.p50, report.first_us.p95, report.first_us.p99]);
        let between = millis([report.between_us.p50, report.between_us.p95, report.between_us.p99]);
        let PartReport { name, sent, answered, broken, .. } = report;
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
