//! Checks that `docs/PROOFS.md` has a row for every required point and fault, and that the tests in it exist.

use std::path::Path;

const PAGE: &str = include_str!("../../../docs/PROOFS.md");

const REQUIRED_ROWS: [&str; 33] = [
    "budget-never-exceeded",
    "billed-once",
    "whole-answer",
    "not-run-is-true",
    "apply-at-most-once",
    "leaving-gets-no-work",
    "planned-stop-cuts-nothing",
    "environment-never-reverts",
    "long-partition",
    "top-up-during-outage",
    "router-dies-mid-stream",
    "caller-retries",
    "log-down",
    "log-slow",
    "append-answer-lost",
    "lease-lapsed-while-paused",
    "operators-race",
    "request-that-crashes",
    "silent-connection",
    "two-faults-at-once",
    "MIXED",
    "UNASKED",
    "TWICE, REFUSED",
    "DENIED, ROUTE",
    "BUDGET (prepaid)",
    "BUDGET (repeats)",
    "BUDGET (crashing request)",
    "GONE",
    "LOST",
    "CONFIG",
    "DRAIN",
    "ORDER",
    "RECOVER",
];

/// Splits the rows of the page's tables into cells, without the header rows.
fn rows() -> Vec<Vec<&'static str>> {
    let lines = PAGE.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| ---"));
    let cells = lines.map(|line| line.trim_matches('|').split('|').map(str::trim).collect::<Vec<_>>());
    cells.filter(|row| row[0] != "point").collect()
}

/// Directory of a package below `crates/`.
fn package_dir(package: &str) -> &str {
    match package {
        "coltsfootpick" => "cli",
        "coltsfootpickd" => "daemon",
        other => other.trim_start_matches("coltsfootpick-"),
    }
}

fn test_exists(test: &str) -> bool {
    let parts: Vec<&str> = test.split("::").collect();
    let [package, file, name] = parts.as_slice() else {
        return false;
    };
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let path = match *package {
        "coltsfootpick-platform" => root.join(format!("platform/tests/{file}.rs")),
        other => root.join(format!("crates/{}/tests/{file}.rs", package_dir(other))),
    };
    std::fs::read_to_string(path).is_ok_and(|text| text.contains(&format!("fn {name}(")))
}

#[test]
fn required_rows() {
    let rows = rows();
    for name in REQUIRED_ROWS {
        assert!(rows.iter().any(|row| row[0] == format!("`{name}`")), "no row for {name}");
    }
}

#[test]
fn existing_tests() {
    for row in rows() {
        let tests = row[1].split(',').map(|test| test.trim().trim_matches('`')).filter(|test| *test != "-");
        for test in tests {
            assert!(test_exists(test), "{}: no test {test}", row[0]);
        }
    }
}

#[test]
fn untested_rows() {
    for row in rows() {
        assert_eq!(row.len(), 6, "{row:?}");
        assert!(row[1] != "-" || !row[5].is_empty(), "{}: a row without a test says what is missing", row[0]);
    }
}
