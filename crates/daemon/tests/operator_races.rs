//! Of two concurrent orders one wins and the other learns who won; a repeated order gets the first answer.

mod common;

use ::http::Method;
use coltsfootpick_testkit::caller::Caller;
use coltsfootpick_wire::operators::{OrderResponse, PromoteOrder, ReleaseOrder, TopUpOrder, TrialOrder};
use common::{DOCUMENT, Fleet};

const TRIAL: &str = "/v1/environments/tahrir/trial";

fn two_operators(text: String) -> String {
    let nadia = text.find("[operator nadia]").unwrap();
    let second = text[nadia..].replace("nadia", "samir");
    text + "\n" + &second
}

fn trial(id: &str, expected: u64, share: u64) -> TrialOrder {
    let document = DOCUMENT.replace("grant-share-percent = 20", &format!("grant-share-percent = {share}"));
    TrialOrder { id: id.to_owned(), expected, document }
}

async fn order(fleet: &Fleet, index: usize, operator: &str, order: &TrialOrder) -> OrderResponse {
    let caller = Caller::new(&format!("{operator}:operator-key"));
    let body = serde_json::to_string(order).unwrap();
    let answer = caller.send(fleet.instances[index].operator_address, Method::POST, TRIAL, &[], body).await.unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn single_winner() {
    let fleet = Fleet::with_settings(2, 1, two_operators).await;
    for round in 0..5 {
        let expected = 2 + round;
        let (first, second) = (trial(&format!("n{round}"), expected, 30), trial(&format!("s{round}"), expected, 40));
        let (nadia, samir) = tokio::join!(order(&fleet, 0, "nadia", &first), order(&fleet, 1, "samir", &second));
        assert_ne!(nadia.done, samir.done, "{nadia:?} {samir:?}");
        let (loser, winner) = if nadia.done { (&samir, "nadia") } else { (&nadia, "samir") };
        assert_eq!(loser.message, format!("lost to version {} by {winner}", expected + 1));
        let again = tokio::join!(order(&fleet, 1, "nadia", &first), order(&fleet, 0, "samir", &second));
        assert_eq!((again.0.message, again.1.message), (nadia.message, samir.message));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer() {
    let fleet = Fleet::start(2, 1).await;
    fleet.platform.set_faults(|faults| faults.lose_answers = 1);
    let answer = order(&fleet, 0, "nadia", &trial("once", 2, 30)).await;
    assert_eq!((answer.done, answer.message.as_str()), (true, "in force as version 3"));
    let promote = PromoteOrder { id: "once-more".to_owned(), expected: 3 };
    let first = fleet.order(0, "/v1/environments/tahrir/promote", &promote).await;
    let second = fleet.order(1, "/v1/environments/tahrir/promote", &promote).await;
    assert_eq!((second.done, second.message), (first.done, first.message));
    let version = fleet.instances[0].instance.board.environments.read().get(&"tahrir".into()).unwrap().version;
    assert_eq!(version, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_budget_orders() {
    let fleet = Fleet::start(2, 1).await;
    let stage = coltsfootpick_core::names::Stage::Production;
    let (environment, account) = ("tahrir".to_owned(), "registry".to_owned());
    let top_up = TopUpOrder { id: "t".to_owned(), environment, stage, account, tokens: 5_000 };
    for index in [0, 1, 0] {
        assert!(fleet.order(index, "/v1/budgets/top-up", &top_up).await.done);
    }
    assert_eq!(fleet.budget(0, "registry").await.topped, 5_000);
    assert_eq!(fleet.chat(0, "plan", 20, false).await.status, 200);
    let holding = fleet.budget(0, "registry").await.holdings.remove(0);
    let close = serde_json::json!({ "instance": holding.instance, "run": holding.run });
    assert!(fleet.order(1, "/v1/incarnations/close", &close).await.done);
    let deadline = tokio::time::Instant::now() + common::CONDITION_TIMEOUT;
    while fleet.budget(1, "registry").await.granted + fleet.budget(1, "registry").await.doubt > 0 {
        assert!(tokio::time::Instant::now() < deadline, "the closed holder did not return its credit");
    }
    let release = ReleaseOrder {
        id: "r".to_owned(),
        environment: "tahrir".to_owned(),
        stage,
        account: "registry".to_owned(),
        instance: holding.instance,
        run: holding.run,
        reason: "test".to_owned(),
    };
    assert!(!fleet.order(1, "/v1/budgets/release", &release).await.done, "credit is still in doubt");
}
