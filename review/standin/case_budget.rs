//! A tenant is taken out of the configuration and put back; an instance dies in between.

use std::time::Duration;

use crate::Verdict;
use crate::client::Request;
use crate::record::Record;
use crate::world::World;

/// What the tenant has paid for.
const PREPAID: u64 = 20_000;

const BOTH: [(&str, u64); 2] = [("clinic", PREPAID), ("registry", 5_000_000)];

/// Requests of the tenant before and after it is out, of 1,000 tokens each.
const BEFORE: usize = 18;
const AFTER: usize = 30;

/// Sends requests of `tenant` one after the other; returns how many were answered with success.
fn spend(world: &World, edge: usize, prefix: &str, tenant: &str, count: usize) -> usize {
    let answers = (0..count).map(|at| {
        let request = Request::new(&format!("{prefix}-{at}"), "/plan/n40g2", tenant).generation(800, 200);
        let edge = &world.fleet.edges[edge];
        request.exchange(edge.front, &edge.name, &world.record).map_or(0, |answer| answer.status())
    });
    answers.filter(|status| *status == 200).count()
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut world) = World::start(6, &BOTH, record) else {
        return Verdict::Unusable("the instances did not become ready".to_owned());
    };
    // Connections of one client go to one instance.
    let before = spend(&world, 0, "before", "clinic", BEFORE);
    spend(&world, 0, "other", "registry", 3);
    if before < BEFORE / 2 {
        return Verdict::Unusable(format!("only {before} of {BEFORE} requests were served"));
    }
    std::thread::sleep(Duration::from_secs(2));
    world.configure(2, &BOTH[1..]);
    std::thread::sleep(Duration::from_secs(4));
    let refused = Request::new("out-0", "/plan/n40g2", "clinic").generation(800, 200);
    let edge = &world.fleet.edges[0];
    let status = refused.exchange(edge.front, &edge.name, record).map_or(0, |answer| answer.status());
    if status != 401 {
        return Verdict::Unusable(format!("the tenant that is out got {status}"));
    }
    if has_trouble {
        world.fleet.edges[0].kill();
        std::thread::sleep(Duration::from_secs(1));
        world.fleet.edges[0].restart();
    }
    std::thread::sleep(Duration::from_secs(6));
    world.configure(3, &BOTH);
    std::thread::sleep(Duration::from_secs(4));
    let after = spend(&world, 0, "after", "clinic", AFTER);
    let used = world.tokens_of("clinic");
    record.note(&format!("clinic: {before} requests served before, {after} after, {used} tokens of {PREPAID}"));
    match used > PREPAID {
        true => Verdict::Broken(format!("the tenant got {used} tokens of {PREPAID} that it has paid for")),
        false => Verdict::Held(format!("the tenant got {used} tokens of {PREPAID} that it has paid for")),
    }
}
