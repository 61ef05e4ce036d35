//! Logging: the rate limit drops warnings last and reports dropped lines; every event is in the catalogue.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use coltsfootpick_serving::log_events::LogEvent;
use coltsfootpick_serving::logging::{EXTRA_WARNINGS_PER_SECOND, LINES_PER_SECOND, LogRateLimiter};
use log::Level;

#[test]
fn rate_limit() {
    let start = Instant::now();
    let mut limiter = LogRateLimiter::new(start);
    let written = (0..LINES_PER_SECOND + 50).filter(|_| limiter.admit(Level::Info, start).0).count();
    assert_eq!(written as u64, LINES_PER_SECOND);
    let warnings = (0..EXTRA_WARNINGS_PER_SECOND + 50).filter(|_| limiter.admit(Level::Warn, start).0).count();
    assert_eq!(warnings as u64, EXTRA_WARNINGS_PER_SECOND, "warnings have a limit of their own");
    let (is_written, dropped) = limiter.admit(Level::Info, start + Duration::from_secs(1));
    assert_eq!((is_written, dropped), (true, 100), "the next second reports the dropped lines");
}

#[test]
fn event_catalogue() {
    let page = include_str!("../../../docs/EDGE-EVENTS.md");
    let codes: BTreeSet<&str> = LogEvent::ALL.iter().map(|event| event.code()).collect();
    assert_eq!(codes.len(), LogEvent::ALL.len(), "each event has a code of its own");
    for code in codes {
        assert!(page.contains(&format!("| {code} |")), "{code} is not in docs/EDGE-EVENTS.md");
    }
}
