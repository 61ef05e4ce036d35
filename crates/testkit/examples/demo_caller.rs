//! Sends the demo's requests to instances round-robin and counts their outcomes: `demo_caller ADDRESS...`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootpick_testkit::caller::{Caller, chat_body};
use http::Method;

const REQUESTS: usize = 120;
/// Maximum number of tokens of each chat.
const TOKENS: u64 = 60;
const REQUEST_GAP: Duration = Duration::from_millis(50);
const NO_ANSWER: &str = "no answer from a dead instance";
const IDEMPOTENCY_KEY: &str = "ticket-4711";

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let addresses: Vec<SocketAddr> = std::env::args().skip(1).map(|text| text.parse()).collect::<Result<_, _>>()?;
    let caller = Caller::new("tahrir:registry:large-key");
    let chats: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (caller, addresses) = (caller.clone(), addresses.clone());
            tokio::spawn(async move {
                tokio::time::sleep(REQUEST_GAP * u32::try_from(number).unwrap_or_default()).await;
                let first = chat_outcome(&caller, addresses[number % addresses.len()], number).await;
                match first.as_str() {
                    NO_ANSWER => format!("{} after one retry", chat_outcome(&caller, addresses[0], number).await),
                    _ => first,
                }
            })
        })
        .collect();
    for round in ["first", "second"] {
        let response = caller.apply(addresses[0], "migration", IDEMPOTENCY_KEY).await?;
        println!(
            "apply with key {IDEMPOTENCY_KEY}, {round} time: {} {}",
            response.status,
            String::from_utf8_lossy(&response.body)
        );
    }
    let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
    for chat in chats {
        *outcomes.entry(chat.await?).or_default() += 1;
    }
    println!("streamed requests:");
    for (outcome, count) in outcomes {
        println!("  {count:4} {outcome}");
    }
    Ok(())
}

async fn chat_outcome(caller: &Caller, address: SocketAddr, number: usize) -> String {
    let prompt = format!("Review migration plan {number}");
    let body = chat_body("plan-review", &prompt, TOKENS, true);
    let key = format!("plan-{number}");
    let headers = [("idempotency-key", key.as_str())];
    match caller.send(address, Method::POST, "/v1/chat/completions", &headers, body.to_string()).await {
        Ok(response) if response.status.is_success() && response.is_complete() => "answered whole".to_owned(),
        Ok(response) if response.status.is_success() => "cut short".to_owned(),
        Ok(response) => format!("refused: {} ({})", response.code(), response.run_status()),
        Err(_) => NO_ANSWER.to_owned(),
    }
}
