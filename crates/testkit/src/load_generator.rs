//! Open-loop load generator: Poisson arrivals from a seed, several accounts, prompts with shared prefixes, and latency
//! histograms.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};
use serde::Serialize;
use tokio::time::Instant;

use crate::caller::{CallFailed, CallResponse, Caller};

/// Highest latency that a histogram records, in microseconds; higher latencies count as this one.
const LATENCY_MAX_US: u64 = 600_000_000;

/// Significant decimal digits of a histogram.
const HISTOGRAM_DIGITS: u8 = 3;

/// Percentage of prompts that start with a shared prefix.
const SHARED_PREFIX_PERCENT: u64 = 70;

/// Kind of the requests of a workload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Streamed chat completion.
    Chat {
        /// Maximum number of tokens to generate.
        tokens: u64,
        /// Length of the prompt's prefix, in bytes.
        prefix: usize,
    },
    /// At-most-once call.
    Apply,
    /// Idempotent call.
    Status,
}

/// Stream of requests of one kind to one service.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Name in the report.
    pub name: String,
    /// Service that is called.
    pub service: String,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Credentials of the callers, used round-robin.
    pub credentials: Vec<String>,
    /// Requests per second.
    pub rate: f64,
}

/// Load to generate.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Caller addresses of the instances, used round-robin.
    pub addresses: Vec<SocketAddr>,
    /// Workloads, generated at the same time.
    pub workloads: Vec<Workload>,
    /// Time during which requests are sent.
    pub duration: Duration,
    /// Seed of the arrival times and prompts.
    pub seed: u64,
}

/// Latency quantiles, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
}

/// Results of one workload.
#[derive(Debug, Serialize)]
pub struct WorkloadReport {
    /// Name of the workload.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete successful response.
    pub answered: u64,
    /// Requests with no response or an incomplete one.
    pub broken: u64,
    /// Number of refusals by code.
    pub refusals: BTreeMap<String, u64>,
    /// Time to the first chunk of a response.
    pub first_us: Quantiles,
    /// Time between successive chunks of a response.
    pub between_us: Quantiles,
    /// Number of tokens received.
    pub tokens: u64,
}

struct Tally {
    report: WorkloadReport,
    first_chunk: Histogram<u64>,
    chunk_gaps: Histogram<u64>,
}

/// Generates the load and reports on each workload.
pub async fn run(plan: &LoadPlan) -> Vec<WorkloadReport> {
    let workloads = plan.workloads.iter().enumerate().map(|(index, workload)| {
        let seed = plan.seed.wrapping_add(index as u64);
        run_workload(plan.addresses.clone(), workload.clone(), plan.duration, seed)
    });
    futures_util::future::join_all(workloads).await
}

async fn run_workload(addresses: Vec<SocketAddr>, workload: Workload, duration: Duration, seed: u64) -> WorkloadReport {
    let mut random = ChaCha12Rng::seed_from_u64(seed);
    let callers: Vec<Caller> = workload.credentials.iter().map(|credential| Caller::new(credential)).collect();
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let mut calls = Vec::new();
    loop {
        at += arrival_gap(&mut random, workload.rate);
        if at >= duration {
            break;
        }
        let number = calls.len();
        let caller = callers[number % callers.len()].clone();
        let address = addresses[number % addresses.len()];
        let (workload, prompt, key) =
            (workload.clone(), prompt(&mut random, &workload.kind), format!("k-{seed}-{number}"));
        calls.push(tokio::spawn(async move {
            tokio::time::sleep_until(start + at).await;
            call(&caller, address, &workload, &prompt, &key).await
        }));
    }
    let mut tally = Tally::new(workload.name);
    for call in calls {
        tally.add(&workload.kind, call.await.unwrap_or_else(|error| Err(CallFailed::new(error.to_string()))));
    }
    tally.finish()
}

/// Draws the time to the next arrival of a Poisson process.
#[expect(clippy::cast_precision_loss, reason = "a uniform number needs no more than 52 bits")]
fn arrival_gap(random: &mut ChaCha12Rng, rate: f64) -> Duration {
    let uniform = (random.next_u64() >> 12) as f64 / (1_u64 << 52) as f64;
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

fn prompt(random: &mut ChaCha12Rng, kind: &RequestKind) -> String {
    let RequestKind::Chat { prefix, .. } = kind else {
        return String::new();
    };
    let unique = random.next_u64();
    let prefix_id = match random.next_u64() % 100 {
        percent if percent < SHARED_PREFIX_PERCENT => random.next_u64() % 8,
        _ => unique,
    };
    let prefix_text = format!("plan template {prefix_id:016x} ");
    format!("{} question {unique:016x}", prefix_text.repeat(prefix.div_ceil(prefix_text.len())))
}

async fn call(
    caller: &Caller,
    address: SocketAddr,
    workload: &Workload,
    prompt: &str,
    key: &str,
) -> Result<CallResponse, CallFailed> {
    match &workload.kind {
        RequestKind::Chat { tokens, .. } => caller.chat(address, &workload.service, prompt, *tokens, true).await,
        RequestKind::Apply => caller.apply(address, &workload.service, key).await,
        RequestKind::Status => {
            let path = format!("/v1/services/{}/status/{key}", workload.service);
            caller.send(address, http::Method::GET, &path, &[], "").await
        }
    }
}

impl Tally {
    fn new(name: String) -> Self {
        let report = WorkloadReport {
            name,
            sent: 0,
            answered: 0,
            broken: 0,
            refusals: BTreeMap::new(),
            first_us: Quantiles::default(),
            between_us: Quantiles::default(),
            tokens: 0,
        };
        let histogram = || Histogram::new_with_max(LATENCY_MAX_US, HISTOGRAM_DIGITS).expect("the bounds are valid");
        Self { report, first_chunk: histogram(), chunk_gaps: histogram() }
    }

    fn add(&mut self, kind: &RequestKind, outcome: Result<CallResponse, CallFailed>) {
        self.report.sent += 1;
        let Ok(response) = outcome else {
            self.report.broken += 1;
            return;
        };
        let is_chat = matches!(kind, RequestKind::Chat { .. });
        match &response {
            response if !response.status.is_success() => {
                *self.report.refusals.entry(response.code()).or_default() += 1;
            }
            response if is_chat && !response.is_complete() => self.report.broken += 1,
            response => {
                self.report.answered += 1;
                self.report.tokens += if is_chat { response.events().len() as u64 - 1 } else { 0 };
                self.first_chunk.saturating_record(micros(response.first_chunk));
                for gap in &response.chunk_gaps {
                    self.chunk_gaps.saturating_record(micros(*gap));
                }
            }
        }
    }

    fn finish(mut self) -> WorkloadReport {
        self.report.first_us = quantiles(&self.first_chunk);
        self.report.between_us = quantiles(&self.chunk_gaps);
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
