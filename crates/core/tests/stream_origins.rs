//! Which software version began a stream: what is known goes on there, what is unknown nowhere.

use std::time::Duration;

use coltsfootpick_core::names::{ClientAccountName, ServiceName};
use coltsfootpick_core::stream_origins::{
    Continuation, ORIGIN_TTL, OriginReport, StreamKey, StreamOrigin, StreamOrigins,
};
use coltsfootpick_core::units::Instant;
use test_case::test_case;

fn at(seconds: u64) -> Instant {
    Instant(Duration::from_secs(1_000 + seconds))
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { service: service(), version: version.into() }
}

fn service() -> ServiceName {
    ServiceName::from("model")
}

fn key(attempt: &str) -> StreamKey {
    StreamKey::of(&ClientAccountName::from("clinic"), attempt)
}

fn serving(versions: &[&str]) -> StreamOrigins {
    let mut origins = StreamOrigins::default();
    origins.note_servers(versions.iter().map(|version| origin(version)), at(0));
    origins
}

fn found(origins: &StreamOrigins, attempt: &str, seconds: u64) -> Continuation {
    origins.continuation(Some(key(attempt)), &service(), true, at(seconds))
}

/// Versions are opaque: any text, an empty one too, differs from any other.
#[test_case("v1", "v1.1")]
#[test_case("v1", "")]
#[test_case("v1.0", "v1")]
fn opaque_versions(first: &str, second: &str) {
    let mut here = serving(&[first, second]);
    here.note_stream(key("a"), origin(first), at(0));
    here.note_stream(key("b"), origin(second), at(0));
    let mut there = serving(&[first, second]);
    there.merge(here.own_reports(at(0)), Duration::ZERO, at(0));
    assert_eq!(found(&there, "a", 1), Continuation::At(origin(first), Duration::from_secs(1)));
    assert_eq!(found(&there, "b", 1), Continuation::At(origin(second), Duration::from_secs(1)));
    assert_eq!(found(&there, "c", 1), Continuation::Unknown);
}

/// A version that has left counts until the last stream that it began has ended.
#[test]
fn left_version() {
    let mut origins = serving(&["v1", "v2"]);
    origins.note_servers([origin("v2")], at(19));
    assert_eq!(found(&origins, "a", 19), Continuation::Unknown);
    origins.note_servers([origin("v2")], at(20));
    assert_eq!(found(&origins, "a", 20), Continuation::Single(origin("v2")));
}

#[test]
fn unknown_servers() {
    let origins = serving(&["v1"]);
    assert_eq!(found(&origins, "a", 0), Continuation::Single(origin("v1")));
    assert_eq!(origins.continuation(Some(key("a")), &service(), false, at(0)), Continuation::Unknown);
}

/// Another instance tells that versions are mixed although this one sees a single version.
#[test]
fn mixed_elsewhere() {
    let mut there = serving(&["v1"]);
    there.merge(serving(&["v1", "v2"]).own_reports(at(0)), Duration::ZERO, at(0));
    assert_eq!(found(&there, "a", 0), Continuation::Unknown);
}

#[test]
fn single_version_without_streams() {
    let mut origins = serving(&["v1"]);
    origins.take_news();
    origins.note_stream(key("a"), origin("v1"), at(0));
    assert!(!origins.take_news(), "a stream of a single version is no news");
    assert_eq!(origins.own_reports(at(0)), [OriginReport { origin: origin("v1"), streams: Vec::new() }]);
    origins.note_servers([origin("v1"), origin("v2")], at(5));
    let reports = origins.own_reports(at(5));
    assert_eq!(
        (reports.len(), &*reports[0].streams),
        (2, &[key("a")][..]),
        "streams begun before are reported as well"
    );
}

/// The first event's attempt names a stream over any number of tries, so the instance that continued it tells it too.
#[test]
fn chain_of_tries() {
    let mut first = serving(&["v1", "v2"]);
    first.note_stream(key("a"), origin("v1"), at(0));
    let mut second = serving(&["v1", "v2"]);
    second.merge(first.own_reports(at(0)), Duration::ZERO, at(1));
    second.note_stream(key("a"), origin("v1"), at(15));
    second.note_servers([origin("v1"), origin("v2")], at(25));
    let mut third = serving(&["v1", "v2"]);
    third.merge(second.own_reports(at(25)), Duration::ZERO, at(25));
    assert_eq!(found(&third, "a", 26), Continuation::At(origin("v1"), Duration::from_secs(1)));
}

#[test]
fn accounts_apart() {
    let mut origins = serving(&["v1", "v2"]);
    origins.note_stream(key("a"), origin("v1"), at(0));
    let foreign = StreamKey::of(&ClientAccountName::from("registry"), "a");
    assert_eq!(origins.continuation(Some(foreign), &service(), true, at(0)), Continuation::Unknown);
    assert_eq!(origins.continuation(None, &service(), true, at(0)), Continuation::Unknown);
}

#[test]
fn flood_bounded() {
    let mut origins = serving(&["v1", "v2"]);
    for attempt in 0..200_000 {
        origins.note_stream(key(&attempt.to_string()), origin("v1"), at(0));
    }
    assert_eq!(found(&origins, "199999", 0), Continuation::At(origin("v1"), Duration::ZERO));
    assert_eq!(found(&origins, "0", 0), Continuation::Unknown, "the oldest streams are forgotten");
    let reported: usize = origins.own_reports(at(0)).iter().map(|report| report.streams.len()).sum();
    assert!(reported * 8 < 128 << 10, "{reported} streams in one record");
    origins.note_servers([], at(ORIGIN_TTL.as_secs()));
    assert_eq!(origins.own_reports(at(ORIGIN_TTL.as_secs())), []);
}

/// What happens to a fleet before all of it is killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    NewListed,
    StreamBegun,
    OldGone,
    Written,
}

/// Every order of the steps, each of which may also not happen.
fn orders(steps: &[Step]) -> Vec<Vec<Step>> {
    let mut all = vec![Vec::new()];
    for (at, step) in steps.iter().enumerate() {
        let rest = [&steps[..at], &steps[at + 1..]].concat();
        all.extend(orders(&rest).into_iter().map(|order| [&[*step][..], &order].concat()));
    }
    all
}

/// Explores a release during which all instances are killed: which version serves after the start, how long the start takes
/// and which records the store then has. A stream never goes on at a version that did not begin it.
#[test]
fn killed_during_release() {
    let (mut continued, mut explored) = (0, 0);
    for order in orders(&[Step::NewListed, Step::StreamBegun, Step::OldGone, Step::Written]) {
        for (after, down, lost) in combinations(&[&["v1"][..], &["v1.1"], &["v1", "v1.1"]], &[1, 12], &[false, true]) {
            explored += 1;
            let mut before = serving(&["v1"]);
            let mut present = vec!["v1"];
            // The first record is written once the version serves.
            let mut stored = vec![(before.own_reports(at(0)), 0)];
            let mut begun = None;
            for (second, step) in order.iter().enumerate() {
                let now = u64::try_from(second).unwrap() + 1;
                match step {
                    Step::NewListed => present.push("v1.1"),
                    Step::OldGone => present.retain(|version| *version != "v1"),
                    Step::StreamBegun => {
                        begun = present.first().copied();
                        if let Some(version) = begun {
                            before.note_stream(key("a"), origin(version), at(now));
                        }
                    }
                    Step::Written if lost => {}
                    Step::Written => stored.push((before.own_reports(at(now)), now)),
                }
                before.note_servers(present.iter().map(|version| origin(version)), at(now));
            }
            let killed = u64::try_from(order.len()).unwrap() + 1;
            let now = killed + down;
            let mut start = StreamOrigins::default();
            start.note_servers(after.iter().map(|version| origin(version)), at(now));
            let (reports, written) = stored.last().cloned().unwrap();
            start.merge(reports, Duration::from_secs(now - written), at(now));
            let proven = start.is_attested(&service(), at(now));
            let found = start.continuation(Some(key("a")), &service(), proven, at(now));
            let Some(version) = begun else { continue };
            // Streams begin at a version that no record names only while no server of a recorded one is left.
            if !stored.iter().any(|(reports, _)| reports.iter().any(|report| report.origin == origin(version))) {
                continue;
            }
            match found {
                Continuation::Single(found) => {
                    continued += 1;
                    assert_eq!(after, [version], "{order:?} down={down} lost={lost}");
                    assert_eq!(found, origin(version), "{order:?}");
                }
                Continuation::At(known, _) => assert_eq!(known, origin(version), "{order:?}"),
                Continuation::Unknown | Continuation::Unproven => {}
            }
        }
    }
    assert!(continued > 0 && explored > 500, "{continued} of {explored}");
}

fn combinations<'a>(after: &[&'a [&'a str]], down: &[u64], lost: &[bool]) -> Vec<(&'a [&'a str], u64, bool)> {
    let mut all = Vec::new();
    for after in after {
        all.extend(down.iter().flat_map(|down| lost.iter().map(move |lost| (*after, *down, *lost))));
    }
    all
}
