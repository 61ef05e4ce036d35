//! Memory of an instance before servers that send bytes without end. The memory of the whole process is measured, so no
//! other test stands in this file and its cases run one after another.

use std::sync::LazyLock;
use std::time::Duration;

use coltsfootpick_testkit::endless_answers::{endless_chunks, endless_event, is_complete, start_harness};
use coltsfootpick_testkit::scripted_server::ServerAction;
use test_case::test_case;
use tokio::sync::Mutex;

/// Endless answers that are open at the same time.
const OPEN: usize = 50;

/// Largest growth of the process's memory while they are open.
const GROWTH_MAX_BYTES: u64 = 64 << 20;

/// Resident memory before the first case, so that what an earlier case left counts as well.
static BASELINE: LazyLock<u64> = LazyLock::new(resident_bytes);

static RUNNING: Mutex<()> = Mutex::const_new(());

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").trim().parse::<u64>().unwrap() << 10
}

#[test_case("apply", endless_chunks(); "bodies")]
#[test_case("ask", endless_event(); "events")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bounded_memory(route: &str, script: Vec<ServerAction>) {
    let _running = RUNNING.lock().await;
    let before = *BASELINE;
    let (harness, _server) = start_harness(script).await;
    let calls = futures_util::future::join_all((0..OPEN).map(|_| is_complete(&harness, route)));
    let mut most = 0;
    let watched = async {
        loop {
            tokio::time::sleep(Duration::from_millis(2)).await;
            most = most.max(resident_bytes());
            if most > before + GROWTH_MAX_BYTES {
                return;
            }
        }
    };
    let ended = tokio::select! {
        ended = calls => Some(ended),
        () = watched => None,
    };
    let growth = most.saturating_sub(before) >> 20;
    println!("{route}: the memory grew by {growth} MiB");
    let ended = ended.unwrap_or_else(|| panic!("the memory grew by {growth} MiB"));
    assert!(ended.iter().all(|complete| !complete));
}
