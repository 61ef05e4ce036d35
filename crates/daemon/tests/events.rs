//! `docs/EVENTS.md` lists every event of the code, with its level.

use std::collections::BTreeSet;

use coltsfootpickd::events::Event;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

fn listed_codes() -> BTreeSet<&'static str> {
    let rows = CATALOGUE.lines().filter_map(|line| line.strip_prefix("| CP"));
    rows.map(|row| row.split(' ').next().unwrap_or_default()).collect()
}

#[test]
fn every_event() {
    let codes: BTreeSet<&str> = Event::ALL.iter().map(|event| event.code().trim_start_matches("CP")).collect();
    assert_eq!(codes.len(), Event::ALL.len(), "a code is used twice");
    assert_eq!(codes, listed_codes());
}

#[test]
fn right_level() {
    for event in Event::ALL {
        let row = CATALOGUE.lines().find(|line| line.contains(event.code())).unwrap_or_default();
        let level = event.level().to_string().to_lowercase();
        assert!(row.contains(&format!("| {level} |")), "{}: {row}", event.code());
    }
}
