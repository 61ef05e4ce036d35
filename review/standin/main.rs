//! Cases of the review, played with the programs of the deploy file against stand-ins of the platform, the runners and
//! the clients.
//!
//! `standin CASE RECORD` plays one case. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
//! run. With `TROUBLE=0` the disruption is left out.

mod case_budget;
mod case_crash;
mod case_drill;
mod case_order;
mod client;
mod fleet;
mod http;
mod record;
mod runner;
mod store;
mod world;

use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// Outcome of a case.
pub enum Verdict {
    Broken(String),
    Held(String),
    Unusable(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (case, path) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or("record.txt".to_owned()));
    let trouble = std::env::var("TROUBLE").unwrap_or("1".to_owned());
    let has_trouble = trouble != "0";
    fleet::watch(Duration::from_secs(115));
    let record = Record::create(&path);
    record.note(&format!("case={case} trouble={has_trouble}"));
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "budget" => case_budget::play(&record, has_trouble),
        "drill" => case_drill::play(&record, &trouble),
        "size" => case_crash::play_size(&record, has_trouble),
        "versions" => case_order::play_versions(&record, &trouble),
        _ => Verdict::Unusable(format!("unknown case {case:?}")),
    });
    let verdict = played.unwrap_or_else(|_| Verdict::Unusable("a stand-in failed".to_owned()));
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Unusable(text) => (2, format!("not run: {text}")),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(code)
}
