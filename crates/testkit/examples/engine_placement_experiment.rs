//! Compares the placement on engines with views of different age: `engine_placement_experiment [SECONDS]`.

#![allow(clippy::cast_precision_loss, reason = "counts of one run are far below the precision of f64")]

use coltsfootpick_testkit::engine_load::{PlacementLoad, SIXTEEN_SLOTS, SIXTY_FOUR_SLOTS};
use coltsfootpick_testkit::engine_placement_simulation::{
    Omitted, PlacementReport, PlacementScenario, Speeds, View, run,
};

const SEEDS: [u64; 3] = [1, 2, 3];
const INSTANCES: usize = 80;

fn print_row(name: &str, load: &PlacementLoad, view: View, speeds: Speeds, omitted: Omitted, seconds: u64) {
    let mut sum = PlacementReport::default();
    for seed in SEEDS {
        sum.add(&run(&PlacementScenario { load: *load, instances: INSTANCES, view, speeds, omitted, seed, seconds }));
    }
    let requests = sum.kinds.iter().map(|kind| kind.requests).sum::<u64>() as f64;
    let percent = |part: f64, whole: f64| 100.0 * part / whole.max(1e-9);
    print!("| {name} | {:.1} |", 100.0 * sum.on_time_share());
    for kind in &sum.kinds {
        let [late, paused] = [kind.late_first, kind.paused].map(|count| percent(count as f64, kind.requests as f64));
        print!(" {:.1} ({late:.1} / {paused:.1}) |", percent(kind.on_time, kind.value));
    }
    let [region, zone] = [sum.other_region, sum.other_zone].map(|count| percent(count as f64, requests));
    println!(" {:.1} | {region:.0} / {zone:.0} |", percent(sum.recomputed as f64, sum.prompt_tokens as f64));
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(20);
    let all = Omitted::default();
    for (load_name, load) in [("16 slots", SIXTEEN_SLOTS), ("64 slots", SIXTY_FOUR_SLOTS)] {
        println!("{load_name}");
        let row = |name: &str, view, speeds, omitted| print_row(name, &load, view, speeds, omitted, seconds);
        row("no view (present rule)", View::Absent, Speeds::Waits, all);
        row("own requests, all speeds", View::Own, Speeds::Pauses, all);
        for age in [50.0, 150.0, 400.0, 1_000.0] {
            row(&format!("view {age} ms old"), View::Aged(age), Speeds::Pauses, all);
        }
        row("150 ms, speeds from waits", View::Aged(150.0), Speeds::Waits, all);
        row("150 ms, true speeds", View::Aged(150.0), Speeds::Exact, all);
        row("150 ms, speeds unknown", View::Aged(150.0), Speeds::Unknown, all);
        row("150 ms, without others' prompts", View::Aged(150.0), Speeds::Pauses, Omitted { prompts: true, ..all });
        row("150 ms, without pause objectives", View::Aged(150.0), Speeds::Pauses, Omitted { pauses: true, ..all });
        row("perfect knowledge", View::Perfect, Speeds::Exact, all);
    }
}
