//! Network link: when it takes no new callers, and which requests it refuses.

use std::time::Duration;

use coltsfootpick_core::link_load::LinkLoad;
use coltsfootpick_core::units::Instant;
use test_case::test_case;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(10_000 + ms))
}

/// LinkLoad of 1 MB/s after four seconds at `rate` bytes a second.
fn loaded(rate: u64) -> (LinkLoad, Instant) {
    let mut link = LinkLoad::new(Some(1_000_000.0));
    for ms in (0..4_000).step_by(10) {
        link.record(rate / 100, at(ms));
        link.update(at(ms));
    }
    (link, at(4_000))
}

#[test]
fn unlimited() {
    let mut link = LinkLoad::new(None);
    link.record(1 << 40, at(0));
    assert!(link.update(at(0)).is_none() && link.admits(9, at(0)));
}

#[test]
fn measured_rate() {
    let (link, now) = loaded(500_000);
    let usage = link.usage(now);
    assert!((0.45..0.55).contains(&usage), "{usage}");
    assert!(link.usage(at(8_000)) < 0.01, "a rate is forgotten");
}

#[test_case(600_000, false; "in use")]
#[test_case(800_000, true; "full")]
fn new_callers(rate: u64, is_full: bool) {
    assert_eq!(loaded(rate).0.is_full(), is_full);
}

#[test]
fn open_again() {
    let (mut link, now) = loaded(800_000);
    assert_eq!(link.update(now.after(Duration::from_millis(100))), None, "it stays full a little below its bound");
    let later = now.after(Duration::from_secs(1));
    let change = link.update(later).unwrap();
    assert!(!change.is_full && change.usage < 0.45, "{change:?}");
}

#[test]
fn ranks() {
    let (link, now) = loaded(980_000);
    assert!(link.admits(0, now) && link.admits(1, now), "the first ranks are taken at 0.98");
    assert!(!link.admits(2, now) && !link.admits(9, now), "later ranks go to another instance");
    let (link, now) = loaded(1_100_000);
    assert!(!link.admits(0, now));
}
