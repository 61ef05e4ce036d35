//! Settings file of an instance: every fault is reported with its key and the value found.

use coltsfootpick_serving::settings::Settings;
use test_case::test_case;

const VALID: &str = "[instance]\nname = edge-a\nzone = tunis-a\nzones = tunis-a:tunis,sfax-a:sfax\ngrace-s = 8\n\
[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\npeers = 127.0.0.1:3\n\
[store]\naddress = 127.0.0.1:4\n[repeats]\nratio = 0.2\nslack = 52\n";

#[test]
fn valid_settings() {
    let settings = Settings::parse(VALID).unwrap();
    assert_eq!(
        (&*settings.instance.name, settings.locations.len(), settings.instance.retries.slack),
        ("edge-a", 2, 52)
    );
}

#[test]
fn link_rate() {
    assert_eq!(Settings::parse(VALID).unwrap().instance.link_rate, None);
    let changed = VALID.replace("grace-s = 8", "grace-s = 8\nlink-mbps = 10.0");
    assert_eq!(Settings::parse(&changed).unwrap().instance.link_rate, Some(1_250_000.0));
}

#[test_case("grace-s = 8", "link-mbps = wide", "[instance] link-mbps: found \"wide\""; "link")]
#[test_case("zone = tunis-a", "zone = mars", "[instance] zone: found mars"; "zone")]
#[test_case("grace-s = 8", "grace-s = soon", "[instance] grace-s: found \"soon\""; "grace")]
#[test_case("address = 127.0.0.1:4", "address = here", "[store] address: found \"here\""; "address")]
#[test_case("callers = 127.0.0.1:1\n", "", "[listen] callers: found nothing"; "missing")]
#[test_case("slack = 52", "slack = 52\nslak = 1", "[repeats] slak: found an unknown key"; "unknown key")]
#[test_case("[repeats]", "[repeat]", "[repeat]"; "unknown section")]
fn invalid_settings(valid: &str, changed: &str, expected: &str) {
    let found = Settings::parse(&VALID.replace(valid, changed)).unwrap_err();
    let lines: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert!(lines.iter().any(|line| line.contains(expected)), "{lines:?}");
}
