//! Replays the traces of the repository, and rejects traces with a wrong outcome or a malformed line.

use coltsfootpick_testkit::replay::{ReplayError, replay};
use test_case::test_case;

#[test_case(include_str!("../traces/long-partition.trace"); "long partition")]
#[test_case(include_str!("../traces/top-up-during-outage.trace"); "top up during outage")]
#[test_case(include_str!("../traces/router-dies.trace"); "router dies")]
#[test_case(include_str!("../traces/caller-retries.trace"); "caller retries")]
#[test_case(include_str!("../traces/append-answer-lost.trace"); "append answer lost")]
#[test_case(include_str!("../traces/log-down.trace"); "log down")]
#[test_case(include_str!("../traces/log-slow.trace"); "log slow")]
#[test_case(include_str!("../traces/holder-paused.trace"); "holder paused")]
#[test_case(include_str!("../traces/operators-race.trace"); "operators race")]
#[test_case(include_str!("../traces/two-faults.trace"); "two faults")]
fn stated_outcomes(text: &str) {
    let summary = replay(text).unwrap_or_else(|error| panic!("{error}"));
    assert!(summary.outcomes > 0);
}

#[test]
fn wrong_outcome() {
    let text = include_str!("../traces/holder-paused.trace").replace("spent=120", "spent=121");
    assert!(matches!(replay(&text), Err(ReplayError::Outcome { .. })));
}

#[test_case("", "header"; "empty")]
#[test_case("trace\n", "header"; "other header")]
#[test_case("0 a starts 1", "line"; "word missing")]
#[test_case("0 a starts x 1", "line"; "run not hexadecimal")]
#[test_case("0 a starts 1 1 1", "line"; "extra word")]
#[test_case("later a read", "line"; "time no number")]
#[test_case("0 a sings", "line"; "unknown step")]
#[test_case("0 a reserve 1 m/later/x 5", "line"; "unknown stage")]
#[test_case("0 a read", "missing"; "not started")]
#[test_case("0 a starts 1 1\n0 a settle 9 r 1", "missing"; "nothing reserved")]
#[test_case("0 a starts 1 1\n0 a record ledger-7 0 0 00", "missing"; "no such shard")]
fn malformed_trace(lines: &str, kind: &str) {
    let text = if kind == "header" { lines.to_owned() } else { format!("coltsfootpick trace 1\n{lines}\n") };
    let actual = match replay(&text) {
        Err(ReplayError::Header) => "header",
        Err(ReplayError::Line { .. }) => "line",
        Err(ReplayError::InvalidStep { .. }) => "missing",
        other => panic!("{other:?}"),
    };
    assert_eq!(actual, kind);
}
