//! A trial document does not affect production, and promotion puts exactly that document into production.

mod common;

use std::sync::Arc;

use coltsfootpick_core::names::{BudgetKey, Stage};
use coltsfootpick_testkit::caller::Caller;
use coltsfootpick_wire::operators::{BudgetView, PromoteOrder, TopUpOrder, TrialOrder};
use common::{DOCUMENT, Fleet};

const LARGE_KEY: &str = "74a1f29dff15b32a05f887a3d23a7597e1f19b848450ee598be4b71f4fd46737";
const SMALL_KEY: &str = "d8484842191ca22753c34aa50a10220331c45ca5e3cc419ee26c61a54630bd52";

/// Document with another key for the large account, other grant sizing, and one service fewer.
fn trial_document() -> String {
    let text = DOCUMENT.replace(LARGE_KEY, SMALL_KEY).replace("grant-share-percent = 20", "grant-share-percent = 90");
    text[..text.find("[service migration]").unwrap()].to_owned()
}

fn key(stage: Stage, account: &str) -> BudgetKey {
    BudgetKey { environment: "tahrir".into(), stage, account: account.into() }
}

async fn status_of(fleet: &Fleet, credential: &str) -> u16 {
    let answer = Caller::new(credential).chat(fleet.instances[0].caller_address, "plan-review", "x", 5, false).await;
    answer.unwrap().status.as_u16()
}

#[tokio::test(flavor = "multi_thread")]
async fn trial_isolation() {
    let fleet = Fleet::start(1, 1).await;
    fleet.top_up("registry", 100_000).await;
    let order = TrialOrder { id: "try".to_owned(), expected: 2, document: trial_document() };
    assert!(fleet.order(0, "/v1/environments/tahrir/trial", &order).await.done);
    let board = &fleet.instances[0].instance.board;
    assert_eq!(board.sizing(&key(Stage::Production, "registry")).share_percent, 20);
    assert_eq!(board.sizing(&key(Stage::Trial, "rehearsal")).share_percent, 90);
    assert_eq!(status_of(&fleet, "tahrir:registry:large-key").await, 200);
    assert_eq!(status_of(&fleet, "tahrir:registry:small-key").await, 401);
    assert_eq!(fleet.apply(0, "ticket-1").await.status, 200, "production lost the service");
    let before = fleet.budget(0, "registry").await;
    let top_up = TopUpOrder {
        id: "t".to_owned(),
        environment: "tahrir".to_owned(),
        stage: Stage::Trial,
        account: "rehearsal".to_owned(),
        tokens: 1_000,
    };
    assert!(fleet.order(0, "/v1/budgets/top-up", &top_up).await.done);
    for _ in 0..3 {
        assert_eq!(status_of(&fleet, "tahrir:rehearsal:trial-key").await, 200);
    }
    let deadline = tokio::time::Instant::now() + common::CONDITION_TIMEOUT;
    loop {
        let budgets: Vec<BudgetView> = fleet.view(0, "/v1/budgets").await;
        let trial = budgets.iter().find(|budget| budget.account == "rehearsal").unwrap();
        if trial.spent > 0 {
            assert_eq!(trial.stage, Stage::Trial);
            break;
        }
        assert!(tokio::time::Instant::now() < deadline, "the trial budget is not charged");
    }
    let after = fleet.budget(0, "registry").await;
    assert_eq!((after.topped, after.overspent), (before.topped, before.overspent));
}

#[tokio::test(flavor = "multi_thread")]
async fn exact_promotion() {
    let fleet = Fleet::start(2, 1).await;
    fleet.top_up("registry", 100_000).await;
    let order = TrialOrder { id: "try".to_owned(), expected: 2, document: trial_document() };
    assert!(fleet.order(0, "/v1/environments/tahrir/trial", &order).await.done);
    let promote = PromoteOrder { id: "promote".to_owned(), expected: 3 };
    assert!(fleet.order(1, "/v1/environments/tahrir/promote", &promote).await.done);
    for instance in &fleet.instances {
        let board = &instance.instance.board;
        let current = || Arc::clone(&board.environments.read());
        common::eventually("the promotion is in force", || current().get(&"tahrir".into()).unwrap().version == 4).await;
        let environment = current().get(&"tahrir".into()).unwrap().clone();
        assert_eq!(&*environment.production.unwrap().text, trial_document());
    }
    assert_eq!(status_of(&fleet, "tahrir:registry:large-key").await, 401);
    assert_eq!(status_of(&fleet, "tahrir:registry:small-key").await, 200);
    let late = TrialOrder { id: "late".to_owned(), expected: 3, document: DOCUMENT.to_owned() };
    let lost = fleet.order(0, "/v1/environments/tahrir/trial", &late).await;
    assert_eq!((lost.done, lost.message.as_str()), (false, "lost to version 4 by nadia"));
}
