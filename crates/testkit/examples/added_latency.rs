//! Compares the latency and throughput of idempotent calls through an instance with those of direct calls to a service:
//! `added_latency INSTANCE PLAIN`, with an instance's address for callers and the address of a plain service.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootpick_testkit::caller::Caller;
use eyre::{OptionExt, ensure};
use hdrhistogram::Histogram;
use http::Method;

const CALLS: u32 = 4_000;
const WARMUP_CALLS: u32 = 200;
const CALLERS: u32 = 32;
const HISTOGRAM_DIGITS: u8 = 3;

#[derive(Clone)]
struct Target {
    name: &'static str,
    address: SocketAddr,
    path: &'static str,
    caller: Caller,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let addresses: Vec<SocketAddr> = std::env::args().skip(1).map(|text| text.parse()).collect::<Result<_, _>>()?;
    let instance = *addresses.first().ok_or_eyre("INSTANCE is required")?;
    let plain = *addresses.get(1).ok_or_eyre("PLAIN is required")?;
    let caller = Caller::new("tahrir:registry:large-key");
    let direct = Target { name: "direct", address: plain, path: "/status/k", caller: caller.clone() };
    let through = Target { name: "through", address: instance, path: "/v1/services/migration/status/k", caller };
    println!("target   p50 us  p95 us  p99 us  calls/s with {CALLERS} callers");
    for target in [&direct, &through] {
        let (latencies, _) = call_repeatedly(target, CALLS).await?;
        let rate = calls_per_second(target).await?;
        let at = |quantile| latencies.value_at_quantile(quantile);
        println!("{:7}  {:6}  {:6}  {:6}  {rate:.0}", target.name, at(0.5), at(0.95), at(0.99));
    }
    Ok(())
}

async fn call(target: &Target) -> eyre::Result<Duration> {
    let start = Instant::now();
    let response = target.caller.send(target.address, Method::GET, target.path, &[], "").await?;
    ensure!(response.status.is_success(), "{}: {}", target.name, response.status);
    Ok(start.elapsed())
}

/// Makes warmup calls and then `calls` measured calls, one after another; returns the latencies in microseconds and the
/// total time of the measured calls.
async fn call_repeatedly(target: &Target, calls: u32) -> eyre::Result<(Histogram<u64>, Duration)> {
    let mut histogram = Histogram::new(HISTOGRAM_DIGITS)?;
    for _ in 0..WARMUP_CALLS {
        call(target).await?;
    }
    let start = Instant::now();
    for _ in 0..calls {
        histogram.saturating_record(u64::try_from(call(target).await?.as_micros())?);
    }
    Ok((histogram, start.elapsed()))
}

async fn calls_per_second(target: &Target) -> eyre::Result<f64> {
    let start = Instant::now();
    let tasks: Vec<_> = (0..CALLERS)
        .map(|_| {
            let target = target.clone();
            tokio::spawn(async move { call_repeatedly(&target, CALLS / CALLERS).await.map(|_| ()) })
        })
        .collect();
    for task in tasks {
        task.await??;
    }
    Ok(f64::from(CALLS + WARMUP_CALLS * CALLERS) / start.elapsed().as_secs_f64())
}
