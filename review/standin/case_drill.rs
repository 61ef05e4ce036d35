//! All instances die in a drill from which the store comes back older.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Request;
use crate::record::Record;
use crate::world::World;

/// What the tenant has paid for.
const PREPAID: u64 = 300_000;

const TENANTS: [(&str, u64); 2] = [("clinic", PREPAID), ("registry", 5_000_000)];

/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(5);

/// Time for which the tenant spends before the drill, less than the age of the copy.
const SPEND_TIME: Duration = Duration::from_secs(3);

/// Clients of the tenant.
const CLIENTS: usize = 24;

/// Lets the clients of the tenant send requests of 1,000 tokens for `span`, at all instances in turn; a client that is
/// refused comes back after the time that it is told.
fn spend(world: &World, prefix: &str, span: Duration) {
    let until = Instant::now() + span;
    let served = Arc::new(AtomicUsize::new(0));
    let edges: Vec<_> = world.fleet.edges.iter().map(|edge| (edge.front, edge.name.clone())).collect();
    let threads = (0..CLIENTS).map(|client| {
        let (edges, served, record) = (edges.clone(), Arc::clone(&served), world.record.clone());
        let prefix = prefix.to_owned();
        std::thread::spawn(move || {
            for count in 0.. {
                if Instant::now() >= until {
                    return;
                }
                let (address, name) = &edges[(client + count) % edges.len()];
                let request = Request::new(&format!("{prefix}-{client}-{count}"), "/plan/n40g1", "clinic");
                let answer = request.deadline(5_000).generation(800, 200).exchange(*address, name, &record);
                match answer.as_ref().map_or(0, |answer| answer.status()) {
                    200 => drop(served.fetch_add(1, Ordering::SeqCst)),
                    402 => std::thread::sleep(Duration::from_millis(200)),
                    _ => {
                        let wait = answer.and_then(|answer| answer.header("retry-after")?.parse().ok()).unwrap_or(0.3);
                        std::thread::sleep(Duration::from_secs_f64(wait));
                    }
                }
            }
        })
    });
    threads.collect::<Vec<_>>().into_iter().for_each(|thread| drop(thread.join()));
    let (served, used) = (served.load(Ordering::SeqCst), world.tokens_of("clinic"));
    world
        .record
        .note(&format!("clinic: {served} requests served in phase {prefix}, {used} tokens of {PREPAID} in all"));
}

/// Plays the drill; `trouble` is 1 for the older copy and the death of all, `copy` or `kill` for one of the two.
pub fn play(record: &Record, trouble: &str) -> Verdict {
    let Some(mut world) = World::start(6, &TENANTS, record) else {
        return Verdict::Unusable("the instances did not become ready".to_owned());
    };
    std::thread::sleep(Duration::from_secs(4));
    spend(&world, "before", SPEND_TIME);
    let (is_restored, is_killed) = (matches!(trouble, "1" | "copy"), matches!(trouble, "1" | "kill"));
    if is_restored {
        record.note("drill: the store is away");
        world.fleet.edges.iter().for_each(|edge| edge.gate.set_cut(true));
    }
    if is_killed {
        world.fleet.edges.iter_mut().for_each(|edge| edge.kill());
    }
    if is_restored {
        world.store.restore(COPY_AGE);
        std::thread::sleep(Duration::from_millis(500));
        record.note(&format!("drill: the store is back from a copy {} s old", COPY_AGE.as_secs()));
        world.fleet.edges.iter().for_each(|edge| edge.gate.set_cut(false));
    }
    if is_killed {
        std::thread::sleep(Duration::from_millis(500));
        world.fleet.edges.iter_mut().for_each(|edge| edge.restart());
        if !world.fleet.wait_ready() {
            return Verdict::Unusable("the instances did not come back".to_owned());
        }
    }
    std::thread::sleep(Duration::from_secs(8));
    spend(&world, "after", Duration::from_secs(20));
    let text = format!("the tenant got {} tokens of {PREPAID} that it has paid for", world.tokens_of("clinic"));
    if world.tokens_of("clinic") > PREPAID { Verdict::Broken(text) } else { Verdict::Held(text) }
}
