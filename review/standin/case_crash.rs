//! One malformed number ends the process of an instance while it has other requests at sound runners.

use std::thread::JoinHandle;
use std::time::Duration;

use crate::Verdict;
use crate::client::Request;
use crate::http::Conn;
use crate::record::Record;
use crate::world::World;

const TENANTS: [(&str, u64); 2] = [("clinic", 500_000), ("registry", 5_000_000)];

/// Requests on kept connections that are at runners when the malformed message comes.
const OPEN: usize = 8;

/// The rule allows this many closed connections.
const ALLOWED: usize = 3;

/// Opens a connection, has one request answered on it, and sends another that takes a second.
fn keep_open(world: &World, at: usize) -> Option<JoinHandle<bool>> {
    let (edge, record) = (&world.fleet.edges[0], world.record.clone());
    let mut conn = Conn::connect(edge.front)?;
    let first = Request::new(&format!("first-{at}"), "/read/w5", "registry").deadline(2_000);
    first.send(&mut conn, &edge.name, &record);
    if first.receive(&mut conn, &record)?.status() != 200 {
        return None;
    }
    let second = Request::new(&format!("second-{at}"), "/read/w1000", "registry").deadline(2_000);
    second.send(&mut conn, &edge.name, &record);
    Some(std::thread::spawn(move || second.receive(&mut conn, &record).is_some()))
}

/// Plays the case; `act` sends what ends the process.
fn play(record: &Record, act: impl Fn(&World)) -> Verdict {
    let Some(mut world) = World::start(6, &TENANTS, record) else {
        return Verdict::Unusable("the instances did not become ready".to_owned());
    };
    let waiting: Vec<_> = (0..OPEN).filter_map(|at| keep_open(&world, at)).collect();
    std::thread::sleep(Duration::from_millis(300));
    let at_runners = (0..OPEN).filter(|at| world.runs_of(&format!("second-{at}")) > 0).count();
    if waiting.len() < OPEN || at_runners < OPEN {
        return Verdict::Unusable(format!("{at_runners} of {OPEN} requests are at runners"));
    }
    act(&world);
    let answered =
        waiting.into_iter().filter_map(|thread| thread.join().ok()).filter(|is_answered| *is_answered).count();
    let ended = world.fleet.edges[0].ended();
    for line in world.fleet.edges[0].log_lines("panicked") {
        record.note(&format!("edge log: {line}"));
    }
    let text = format!(
        "{} of {OPEN} requests of kept connections at sound runners got no answer; process: {}",
        OPEN - answered,
        ended.as_deref().unwrap_or("runs")
    );
    match OPEN - answered > ALLOWED {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}

/// A client states a size of its prompt that no machine word holds together with that of the answer.
pub fn play_size(record: &Record, has_trouble: bool) -> Verdict {
    play(record, |world| {
        let size = if has_trouble { "18446744073709551615,80" } else { "1460,80" };
        let request = Request::new("malformed", "/plan/n4g2", "clinic")
            .deadline(2_000)
            .header("Model", "m")
            .header("Token-Usage", size)
            .header("Prefix-Hash", "5c1e07a2:800,91bd3f06:660");
        let edge = &world.fleet.edges[0];
        request.exchange(edge.front, &edge.name, &world.record);
    })
}
