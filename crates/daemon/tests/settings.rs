//! Settings: the sample file, every kind of fault, and the page that lists the keys.

use coltsfootpick_process::args::Command;
use coltsfootpickd::args::PROGRAM;
use coltsfootpickd::settings::Settings;
use test_case::test_case;

const SAMPLE: &str = include_str!("../../../samples/instance.ini");
const PAGE: &str = include_str!("../../../docs/SETTINGS.md");

#[test]
fn valid_sample() {
    let settings = Settings::parse(SAMPLE).unwrap();
    assert_eq!(&*settings.name, "tunis-1");
    assert_eq!(settings.operator_keys.len(), 1);
}

#[test_case("name = tunis-1", "name = tunis 1", "name"; "name with space")]
#[test_case("zone = tunis-a\n", "", "zone"; "zone missing")]
#[test_case("callers = 127.0.0.1:8080", "callers = localhost:8080", "callers"; "host name")]
#[test_case("operators = 127.0.0.1:8081", "operators = 127.0.0.1", "operators"; "port missing")]
#[test_case("peer-key = 6b", "peer-key = zz", "peer-key"; "key not hexadecimal")]
#[test_case("threads = 2", "threads = 0", "threads"; "no threads")]
#[test_case("poll-ms = 500", "poll-ms = 5", "poll-ms"; "poll too short")]
#[test_case("shards = 4", "shards = four", "shards"; "shards no number")]
#[test_case("batch-ms = 50", "batch-ms = -1", "batch-ms"; "negative batch")]
#[test_case("body-bytes = 1048576", "body-bytes = 1", "body-bytes"; "body too small")]
#[test_case("drain-ms = 30000", "drain-ms = 30000\ncolour = red", "colour"; "unknown key")]
#[test_case("policy = scored", "policy = best", "policy"; "unknown policy")]
#[test_case("level = info", "level = loud", "level"; "unknown level")]
#[test_case("[logs]", "[colours]", ""; "unknown section")]
#[test_case("[limits]", "[ledger]", ""; "section twice")]
#[test_case("[operator nadia]\nkey-sha256 = ", "[operator nadia]\nkey-sha256 = x", "key-sha256"; "operator key")]
fn listed_faults(from: &str, to: &str, key: &str) {
    assert!(SAMPLE.contains(from), "the sample no longer holds {from}");
    let faults = Settings::parse(&SAMPLE.replacen(from, to, 1)).unwrap_err();
    assert!(faults.iter().any(|fault| fault.key == key), "{faults:#?}");
}

#[test]
fn all_faults() {
    let text = SAMPLE.replace("threads = 2", "threads = 0").replace("poll-ms = 500", "poll-ms = x");
    assert_eq!(Settings::parse(&text).unwrap_err().len(), 2);
}

#[test]
fn hidden_secret() {
    let settings = Settings::parse(SAMPLE).unwrap();
    assert!(!format!("{settings:?}").contains("107, 15"), "the peer key is printed");
}

#[test]
fn listed_keys() {
    let keys = SAMPLE.lines().filter_map(|line| line.split_once(" = ").map(|(key, _)| key));
    for key in keys {
        assert!(PAGE.contains(&format!("`{key}`")), "docs/SETTINGS.md lacks {key}");
    }
}

#[test_case(&["--config"]; "config without file")]
#[test_case(&["--config", "a", "b"]; "extra argument")]
#[test_case(&["--colour"]; "unknown option")]
#[test_case(&[]; "no arguments")]
fn bad_arguments(args: &[&str]) {
    assert!(PROGRAM.parse(args.iter().map(ToString::to_string), None).is_err());
}

#[test]
fn check_only() {
    let args = ["--config", "a.ini", "--check"].map(str::to_owned);
    assert_eq!(PROGRAM.parse(args.into_iter(), None).unwrap(), Command::Check("a.ini".into()));
}
