//! Streams that clients take up at an instance whose list of runners is old.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Verdict;
use crate::client::Request;
use crate::http::Conn;
use crate::record::Record;
use crate::runner::{Runner, Spec};
use crate::world::World;

const TENANTS: [(&str, u64); 2] = [("clinic", 5_000_000), ("registry", 5_000_000)];

/// Streams that are open when their instance is killed.
const STREAMS: usize = 16;

/// The rule allows this many streams of two versions.
const ALLOWED: usize = 2;

/// Number and software version of one event.
type Event = (u64, String);

/// Events of the complete lines of `text`.
fn events_of(text: &str) -> Vec<Event> {
    let data = text.split("\n\n").filter_map(|event| event.lines().find_map(|line| line.strip_prefix("data: ")));
    data.filter_map(|line| {
        let mut words = line.split(' ').skip(1);
        Some((words.next()?.parse().ok()?, words.next()?.to_owned()))
    })
    .collect()
}

/// Reads a chunked stream until it ends or breaks off; returns its events and whether it ended.
fn read_stream(conn: &mut Conn) -> (Vec<Event>, bool) {
    let Some(head) = conn.read_head().filter(|head| head.status() == 200) else { return (Vec::new(), false) };
    let mut text = Vec::new();
    if head.header("transfer-encoding").is_none() {
        return (Vec::new(), false);
    }
    while let Some(chunk) = conn.read_chunk() {
        if chunk.is_empty() {
            return (events_of(&String::from_utf8_lossy(&text)), true);
        }
        text.extend(chunk);
    }
    (events_of(&String::from_utf8_lossy(&text)), false)
}

/// Asks for a stream at the first instance and takes it up at the second where it broke off; returns all its events.
fn follow(world: &World, at: usize) -> impl FnOnce() -> Vec<Event> + use<> {
    let edges = [0, 1].map(|edge: usize| (world.fleet.edges[edge].front, world.fleet.edges[edge].name.clone()));
    let record = world.record.clone();
    move || {
        let mut all: Vec<Event> = Vec::new();
        let first = format!("stream-{at}-a");
        for (attempt, (address, name)) in edges.iter().enumerate() {
            let id = format!("stream-{at}-{}", ["a", "b"][attempt]);
            let mut request = Request::new(&id, "/explain/n60g100", "clinic").generation(600, 300);
            if let Some((last, _)) = all.last() {
                request = request.header("Last-Event-Id", &last.to_string()).header("Resumes", &first);
            }
            let Some(mut conn) = Conn::connect(*address) else { continue };
            request.send(&mut conn, name, &record);
            let (events, is_whole) = read_stream(&mut conn);
            let versions: BTreeSet<&String> = events.iter().map(|(_, version)| version).collect();
            let range = (events.first().map(|event| event.0), events.last().map(|event| event.0));
            record.note(&format!("client receives id={id} events={range:?} versions={versions:?} whole={is_whole}"));
            all.extend(events);
            if is_whole || all.is_empty() {
                break;
            }
        }
        all
    }
}

/// A release brings runners of another version while one instance is cut off from the store; another instance is killed.
pub fn play_versions(record: &Record, trouble: &str) -> Verdict {
    let Some(mut world) = World::start(6, &TENANTS, record) else {
        return Verdict::Unusable("the instances did not become ready".to_owned());
    };
    // Instances that have just started trust their list of runners less.
    std::thread::sleep(Duration::from_secs(20));
    if trouble == "1" {
        record.note(&format!("{} is cut off from the store", world.fleet.edges[1].name));
        world.fleet.edges[1].gate.set_cut(true);
    }
    std::thread::sleep(Duration::from_millis(20));
    let mut added = Vec::new();
    for (name, zone) in [("i-n0", "tunis-a"), ("i-n1", "sfax-a"), ("i-n2", "sousse-a"), ("i-n3", "tunis-a")] {
        let spec = Spec { name, service: "model-pool", version: "v2", zone };
        record.note(&format!("runner={name} of version v2 starts"));
        added.push(Runner::start(&spec, &world.store, &world.seen, record));
    }
    for runner in &world.runners[..added.len()] {
        record.note(&format!("runner={} of version v1 reports draining", runner.name));
        runner.drain(&world.store);
    }
    std::thread::sleep(Duration::from_millis(550));
    let threads: Vec<_> = (0..STREAMS).map(|at| std::thread::spawn(follow(&world, at))).collect();
    std::thread::sleep(Duration::from_millis(400));
    if trouble != "0" {
        world.fleet.edges[0].kill();
    }
    let streams: Vec<Vec<Event>> = threads.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let mixed = streams.iter().filter(|events| events.iter().any(|event| event.1 != events[0].1)).count();
    let newer = streams.iter().filter(|events| events.first().is_some_and(|event| event.1 == "v2")).count();
    if newer <= ALLOWED {
        return Verdict::Unusable(format!("only {newer} streams began at the newer version"));
    }
    let text = format!("{mixed} of {STREAMS} streams hold events of two versions; {newer} began at the newer one");
    if mixed > ALLOWED { Verdict::Broken(text) } else { Verdict::Held(text) }
}
