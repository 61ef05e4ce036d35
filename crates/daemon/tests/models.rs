//! Model orders by the owner of the claim: the weight store's rate limit, a takeover, and cache events.

mod common;

use coltsfootpick_wire::operators::{PromoteOrder, TrialOrder};
use coltsfootpickd::run::stop;
use common::{Fleet, eventually, registry};
use test_case::test_case;

fn short_timeouts(text: &str) -> String {
    let loads = "loads = 4\nloads-window-ms = 10000";
    assert!(text.contains(loads) && text.contains("silence-ms = 10000"));
    text.replace(loads, "loads = 4\nloads-window-ms = 2000").replace("silence-ms = 10000", "silence-ms = 1000")
}

/// Promotes a document that wants `version` of the model loaded; `from` is the environment's current version.
async fn order_version(fleet: &Fleet, from: u64, version: &str) {
    let model = format!("output-tokens = 512\nmodel = base\nversion = {version}\nadapters = a, b\nreplicas = 1");
    let document = common::DOCUMENT.replace("output-tokens = 512", &model);
    let id = format!("want-{version}");
    let trial = TrialOrder { id: format!("{id}-1"), expected: from, document };
    assert!(fleet.order(0, "/v1/environments/tahrir/trial", &trial).await.done);
    let promote = PromoteOrder { id: format!("{id}-2"), expected: from + 1 };
    assert!(fleet.order(0, "/v1/environments/tahrir/promote", &promote).await.done);
}

fn all_loaded(fleet: &Fleet, version: &str) -> bool {
    fleet.engines.iter().all(|(engine, _)| engine.loaded().is_some_and(|loaded| &*loaded.version == version))
}

/// Returns the claim token of every order that the engines received.
fn claim_tokens(fleet: &Fleet) -> Vec<u64> {
    fleet.engines.iter().flat_map(|(engine, _)| engine.orders()).map(|order| order.token).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn one_owner() {
    let fleet = Fleet::with_settings(2, 6, |text| short_timeouts(&text)).await;
    fleet.engines.iter().for_each(|(engine, _)| engine.use_weight_store(fleet.platform.clone()));
    fleet.platform.set_faults(|faults| faults.load_rate = 4);
    order_version(&fleet, 2, "1").await;
    eventually("all engines have the model", || all_loaded(&fleet, "1")).await;
    let engines_with = |adapter: &str| {
        let loaded = fleet.engines.iter().filter_map(|(engine, _)| engine.loaded());
        loaded.filter(|loaded| loaded.adapters.iter().any(|it| &**it == adapter)).count()
    };
    assert!(engines_with("a") >= 1 && engines_with("b") >= 1);
    let tokens = claim_tokens(&fleet);
    assert!(tokens.windows(2).all(|pair| pair[0] == pair[1]), "the orders are under several claims: {tokens:?}");
    assert_eq!(fleet.platform.load_counts().1, 0, "the store refused loads");
}

#[test_case(true; "fenced engine")]
#[test_case(false; "unfenced engine")]
#[tokio::test(flavor = "multi_thread")]
async fn owner_takeover(fenced: bool) {
    let mut fleet = Fleet::with_settings(1, 2, |text| short_timeouts(&text)).await;
    fleet.engines.iter().for_each(|(engine, _)| engine.set_faults(|faults| faults.fenced = fenced));
    order_version(&fleet, 2, "1").await;
    eventually("the first version is loaded", || all_loaded(&fleet, "1")).await;
    let first = fleet.engines[0].0.orders()[0].clone();
    fleet.add_instance("heir").await;
    let owner = fleet.instances.remove(0);
    stop(&owner.instance, owner.tasks).await;
    order_version(&fleet, 4, "2").await;
    eventually("the second version is loaded", || all_loaded(&fleet, "2")).await;
    assert!(claim_tokens(&fleet).iter().max() > Some(&first.token), "the new owner did not order under its own claim");
    let address = fleet.engines[0].1.address;
    let body = serde_json::to_string(&first).unwrap();
    let headers = [("content-type", "application/json")];
    let answer = registry().send(address, ::http::Method::POST, "/orders", &headers, body).await.unwrap();
    assert_eq!(answer.status, if fenced { 409 } else { 204 });
    eventually("a late order of the old owner is corrected", || all_loaded(&fleet, "2")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn shared_prefix() {
    let fleet = Fleet::start(2, 4).await;
    fleet.top_up("registry", 1_000_000).await;
    let plan = "a schema migration plan ".repeat(100);
    assert_eq!(fleet.chat(0, &plan, 5, false).await.status, 200);
    let requests_on = |index: usize| fleet.engines[index].0.request_usage().len();
    let first = (0..4).find(|index| requests_on(*index) == 1).unwrap();
    let board = &fleet.instances[1].instance.board;
    eventually("the other instance read the cache event", || {
        board.backends.read().iter().any(|server| server.cache_next > 0)
    })
    .await;
    for round in 0..6 {
        assert_eq!(fleet.chat(1, &format!("{plan}{round}"), 5, false).await.status, 200);
    }
    // Some placements are probes of other engines, so not all seven requests reach this one.
    assert!(
        requests_on(first) >= 4,
        "the instance does not follow the cache events of an engine that another instance used"
    );
}
