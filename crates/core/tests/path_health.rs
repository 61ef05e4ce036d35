//! Health of a path: what makes it suspected, lost and sound again, and what must not.

use std::time::Duration;

use coltsfootpick_core::names::BackendServerName;
use coltsfootpick_core::path_health::{ConnectFailure, PathHealth, PathState};
use coltsfootpick_core::units::Instant;
use test_case::test_case;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(60_000 + ms))
}

fn server(number: usize) -> BackendServerName {
    format!("server-{number}").into()
}

/// Path with one request open since the beginning.
fn used_path() -> PathHealth {
    let mut path = PathHealth::new(at(0));
    path.note_sent(at(0));
    path
}

fn fail(path: &mut PathHealth, servers: std::ops::Range<usize>, failure: ConnectFailure, total: usize, ms: u64) {
    for number in servers {
        path.note_failed(&server(number), failure, total, at(ms));
    }
}

#[test_case(ConnectFailure::Silent, 18, 4)]
#[test_case(ConnectFailure::Refused, 18, 4)]
#[test_case(ConnectFailure::Silent, 3, 3; "all of a small service")]
#[test_case(ConnectFailure::Silent, 1, 1; "single server")]
fn lost_by_failures(failure: ConnectFailure, total: usize, needed: usize) {
    let mut path = used_path();
    fail(&mut path, 0..needed - 1, failure, total, 300);
    assert_ne!(path.state(), PathState::Lost);
    fail(&mut path, needed - 1..needed, failure, total, 320);
    assert_eq!(path.state(), PathState::Lost);
    assert_eq!(path.may_use_open(), failure == ConnectFailure::Refused);
}

/// Connections that take too long while servers go on answering tell of a starved instance or of full servers.
#[test]
fn starved_instance() {
    let mut path = used_path();
    for ms in (0..3_000).step_by(50) {
        path.note_heard(at(ms));
        fail(&mut path, 0..6, ConnectFailure::Silent, 18, ms + 12);
        assert_ne!(path.state(), PathState::Lost, "after {ms} ms");
    }
}

/// A path that returns is not lost again because one server refuses.
#[test]
fn refusal_while_returning() {
    let mut path = used_path();
    fail(&mut path, 0..4, ConnectFailure::Silent, 18, 300);
    path.note_connected(at(400));
    fail(&mut path, 0..1, ConnectFailure::Refused, 18, 450);
    assert_eq!(path.state(), PathState::Returning);
    fail(&mut path, 1..2, ConnectFailure::Refused, 18, 500);
    assert_eq!(path.state(), PathState::Lost);
}

#[test]
fn silence_suspected() {
    let mut path = used_path();
    path.update(at(150));
    assert_eq!(path.state(), PathState::Sound);
    path.update(at(200));
    assert_eq!(path.state(), PathState::Suspect);
    path.note_heard(at(250));
    assert_eq!(path.state(), PathState::Sound);
    path.update(at(600));
    assert_eq!(path.state(), PathState::Sound, "a service that was quiet for 250 ms may be so again");
    path.note_ended();
    path.update(at(60_000));
    assert_eq!(path.state(), PathState::Sound, "nobody waits");
}

#[test]
fn gradual_return() {
    let mut path = used_path();
    fail(&mut path, 0..4, ConnectFailure::Silent, 18, 300);
    assert!(path.direct_share(at(300)) < f64::EPSILON);
    path.note_connected(at(1_000));
    let shares = [1_000, 1_200, 1_400, 1_700].map(|ms| path.direct_share(at(ms)));
    assert!(shares.is_sorted() && shares[0] > 0.0 && shares[0] < 0.2, "{shares:?}");
    path.update(at(1_900));
    assert_eq!(path.state(), PathState::Sound);
}

/// A suspicion that nothing confirms or refutes ends by itself.
#[test]
fn suspicion_ends() {
    let mut path = used_path();
    fail(&mut path, 0..1, ConnectFailure::Silent, 18, 300);
    assert_eq!(path.state(), PathState::Suspect);
    path.update(at(800));
    assert_eq!(path.state(), PathState::Sound);
}
