//! Malformed requests are refused as "not run" with the right code, and the instance keeps serving.

mod common;

use coltsfootpick_testkit::caller::Caller;
use common::{Fleet, registry};
use http::Method;

const CHAT: &str = "/v1/chat/completions";
const APPLY: &str = "/v1/services/migration/apply";
const GOOD: &str = r#"{"model":"plan-review","messages":[{"role":"user","content":"x"}],"max_tokens":2}"#;

struct Case {
    name: &'static str,
    caller: Caller,
    path: &'static str,
    headers: Vec<(&'static str, &'static str)>,
    body: Vec<u8>,
    status: u16,
    code: &'static str,
}

fn case(name: &'static str, body: impl Into<Vec<u8>>, status: u16, code: &'static str) -> Case {
    Case { name, caller: registry(), path: CHAT, headers: Vec::new(), body: body.into(), status, code }
}

fn body_cases() -> Vec<Case> {
    let many = format!(
        r#"{{"model":"plan-review","messages":[{}]}}"#,
        vec![r#"{"role":"user","content":"x"}"#; 1_025].join(",")
    );
    vec![
        case("empty body", "", 400, "bad-request"),
        case("no json", "{", 400, "bad-request"),
        case("array", r#"["plan-review",[],null,false]"#, 400, "bad-request"),
        case("no model", r#"{"messages":[]}"#, 400, "bad-request"),
        case("no messages", r#"{"model":"plan-review","messages":[]}"#, 400, "bad-request"),
        case("too many messages", many, 400, "bad-request"),
        case("negative tokens", GOOD.replace('2', "-2"), 400, "bad-request"),
        case("text for tokens", GOOD.replace('2', "\"2\""), 400, "bad-request"),
        case("not utf-8", vec![0xff, 0xfe], 400, "bad-request"),
        case("unknown model", GOOD.replace("plan-review", "nothing"), 404, "unknown-service"),
        case("plain service as model", GOOD.replace("plan-review", "migration"), 404, "unknown-service"),
        case("large body", vec![b' '; 2 << 20], 413, "too-large"),
    ]
}

fn credential_cases() -> Vec<Case> {
    let with =
        |name, credential: &str| Case { caller: Caller::new(credential), ..case(name, GOOD, 401, "unauthorized") };
    vec![
        with("no parts", "x"),
        with("wrong key", "tahrir:registry:wrong"),
        with("wrong account", "tahrir:nobody:large-key"),
        with("wrong environment", "nowhere:registry:large-key"),
        with("operator key", "nadia:operator-key"),
    ]
}

fn header_cases() -> Vec<Case> {
    let with =
        |name, path, header, code, status| Case { path, headers: vec![header], ..case(name, GOOD, status, code) };
    vec![
        with("deadline no number", CHAT, ("x-deadline-ms", "soon"), "bad-request", 400),
        with("deadline zero", CHAT, ("x-deadline-ms", "0"), "bad-request", 400),
        with("key with slash", APPLY, ("idempotency-key", "a/b"), "bad-request", 400),
        with("empty key", APPLY, ("idempotency-key", ""), "bad-request", 400),
        with("no key", APPLY, ("x-other", "1"), "key-required", 400),
        with("unknown service", "/v1/services/none/apply", ("idempotency-key", "k"), "unknown-service", 404),
        with("model as plain", "/v1/services/plan-review/x", ("idempotency-key", "k"), "unknown-service", 404),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn clear_refusals() {
    let fleet = Fleet::start(1, 1).await;
    fleet.top_up("registry", 10_000).await;
    let address = fleet.instances[0].caller_address;
    for case in body_cases().into_iter().chain(credential_cases()).chain(header_cases()) {
        let answer = case.caller.send(address, Method::POST, case.path, &case.headers, case.body).await.unwrap();
        let actual = (answer.status.as_u16(), answer.code(), answer.run_status());
        let expected = (case.status, case.code.to_owned(), "not-run".to_owned());
        assert_eq!(actual, expected, "{}: {:?}", case.name, answer.json());
    }
    assert_eq!(fleet.chat(0, "still there", 2, false).await.status, 200);
    assert_eq!(fleet.engines[0].0.request_usage().len(), 1, "a refused request ran");
    assert_eq!(fleet.plain.run_count("k"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn skipped_records() {
    let fleet = Fleet::start(2, 1).await;
    for stream in ["environments", "ledger-0", "ledger-1", "ledger-2", "ledger-3"] {
        fleet.platform.append_raw(stream, b"");
        fleet.platform.append_raw(stream, b"\x01torn");
        fleet.platform.append_raw(stream, &[9; 40]);
    }
    fleet.top_up("registry", 10_000).await;
    assert_eq!(fleet.chat(0, "after", 2, false).await.status, 200);
    assert_eq!(fleet.chat(1, "after", 2, false).await.status, 200);
}
