//! Open-loop load: seeded arrivals, several accounts, prompts that share prefixes, latency histograms.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};
use serde::Serialize;
use tokio::time::Instant;

use crate::caller::{CallFailed, CallResponse, Caller};

/// Longest latency that a histogram tells apart, in microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;

/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// Share of prompts that open with a shared prefix, in percent.
const SHARED_PERCENT: u64 = 70;

/// Kind of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Chat with a model.
    Chat {
        /// Most tokens to generate.
        tokens: u64,
        /// Bytes of the prefix that prompts share.
        prefix: usize,
    },
    /// Call that must not repeat.
    Apply,
    /// Call that may be repeated.
    Status,
}

/// One part of a load.
#[derive(Clone, Debug)]
pub struct Part {
    /// Name in the report.
    pub name: String,
    /// Service asked for.
    pub service: String,
    /// Kind of request.
    pub kind: Kind,
    /// Credentials used in turn.
    pub credentials: Vec<String>,
    /// Requests a second.
    pub rate: f64,
}

/// Load to offer.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Callers' addresses of the instances, used in turn.
    pub addresses: Vec<SocketAddr>,
    /// Parts offered together.
    pub parts: Vec<Part>,
    /// Time for which requests arrive.
    pub span: Duration,
    /// Seed of arrivals and prompts.
    pub seed: u64,
}

/// Latencies in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Half of all values are at most this.
    pub p50: u64,
    /// 95 in 100 values are at most this.
    pub p95: u64,
    /// 99 in 100 values are at most this.
    pub p99: u64,
}

/// What became of one part.
#[derive(Debug, Serialize)]
pub struct PartReport {
    /// Name of the part.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Answers that were whole.
    pub answered: u64,
    /// Answers that broke off.
    pub broken: u64,
    /// Refusals by code.
    pub refusals: BTreeMap<String, u64>,
    /// Time to the first piece of an answer.
    pub first_us: Quantiles,
    /// Time between pieces of an answer.
    pub between_us: Quantiles,
    /// Tokens received.
    pub tokens: u64,
}

struct Tally {
    report: PartReport,
    first: Histogram<u64>,
    between: Histogram<u64>,
}

/// Offers the load and reports each part.
pub async fn run(plan: &Plan) -> Vec<PartReport> {
    let parts = plan.parts.iter().enumerate().map(|(index, part)| {
        let seed = plan.seed.wrapping_add(index as u64);
        offer(plan.addresses.clone(), part.clone(), plan.span, seed)
    });
    futures_util::future::join_all(parts).await
}

async fn offer(addresses: Vec<SocketAddr>, part: Part, span: Duration, seed: u64) -> PartReport {
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    let callers: Vec<Caller> = part.credentials.iter().map(|credential| Caller::new(credential)).collect();
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut calls = Vec::new();
    loop {
        at += gap(&mut random, part.rate);
        if at >= span {
            break;
        }
        let number = calls.len();
        let caller = callers[number % callers.len()].clone();
        let address = addresses[number % addresses.len()];
        let (part, prompt, key) = (part.clone(), prompt(&mut random, &part.kind), format!("k-{seed}-{number}"));
        calls.push(tokio::spawn(async move {
            tokio::time::sleep_until(start + at).await;
            call(&caller, address, &part, &prompt, &key).await
        }));
    }
    let mut tally = Tally::new(part.name);
    for call in calls {
        tally.add(&part.kind, call.await.unwrap_or_else(|error| Err(CallFailed::new(error.to_string()))));
    }
    tally.finish()
}

/// Time to the next arrival of a Poisson stream.
#[expect(clippy::cast_precision_loss, reason = "a uniform number needs no more than 52 bits")]
fn gap(random: &mut ChaCha12Rng, rate: f64) -> Duration {
    let uniform = (random.next_u64() >> 12) as f64 / (1_u64 << 52) as f64;
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

fn prompt(random: &mut ChaCha12Rng, kind: &Kind) -> String {
    let Kind::Chat { prefix, .. } = kind else {
        return String::new();
    };
    let own = random.next_u64();
    let shared = match random.next_u64() % 100 {
        roll if roll < SHARED_PERCENT => random.next_u64() % 8,
        _ => own,
    };
    let opening = format!("plan template {shared:016x} ");
    format!("{} question {own:016x}", opening.repeat(prefix.div_ceil(opening.len())))
}

async fn call(
    caller: &Caller,
    address: SocketAddr,
    part: &Part,
    prompt: &str,
    key: &str,
) -> Result<CallResponse, CallFailed> {
    match &part.kind {
        Kind::Chat { tokens, .. } => caller.chat(address, &part.service, prompt, *tokens, true).await,
        Kind::Apply => caller.apply(address, &part.service, key).await,
        Kind::Status => {
            let path = format!("/v1/services/{}/status/{key}", part.service);
            caller.send(address, http::Method::GET, &path, &[], "").await
        }
    }
}

impl Tally {
    fn new(name: String) -> Self {
        let report = PartReport {
            name,
            sent: 0,
            answered: 0,
            broken: 0,
            refusals: BTreeMap::new(),
            first_us: Quantiles::default(),
            between_us: Quantiles::default(),
            tokens: 0,
        };
        let histogram = || Histogram::new_with_max(LATENCY_MAX_US, DIGITS).expect("the bounds are valid");
        Self { report, first: histogram(), between: histogram() }
    }

    fn add(&mut self, kind: &Kind, outcome: Result<CallResponse, CallFailed>) {
        self.report.sent += 1;
        let Ok(answer) = outcome else {
            self.report.broken += 1;
            return;
        };
        let is_chat = matches!(kind, Kind::Chat { .. });
        match &answer {
            answer if !answer.status.is_success() => {
                *self.report.refusals.entry(answer.code()).or_default() += 1;
            }
            answer if is_chat && !answer.is_complete() => self.report.broken += 1,
            answer => {
                self.report.answered += 1;
                self.report.tokens += if is_chat { answer.events().len() as u64 - 1 } else { 0 };
                self.first.saturating_record(micros(answer.first_chunk));
                for gap in &answer.chunk_gaps {
                    self.between.saturating_record(micros(*gap));
                }
            }
        }
    }

    fn finish(mut self) -> PartReport {
        self.report.first_us = quantiles(&self.first);
        self.report.between_us = quantiles(&self.between);
        self.report
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile);
    Quantiles { p50: at(0.50), p95: at(0.95), p99: at(0.99) }
}
