//! Time of a placement decision with the current and the planned number of backend servers.

use std::hint::black_box;
use std::time::Duration;

use coltsfootpick_core::backends::{BackendServer, LoadReport, ServerListing};
use coltsfootpick_core::names::{AvailabilityZoneName, RegionName};
use coltsfootpick_core::placement::{PlacementRequest, PolicyKind, place};
use coltsfootpick_core::units::Instant;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};

const COUNTS: [usize; 3] = [6, 60, 1_700];
const PROMPTS: usize = 512;
const PROMPT_BYTES: usize = 8 << 10;
const NOW: Instant = Instant(Duration::from_secs(10));

fn servers(count: usize, random: &mut ChaCha12Rng) -> Vec<BackendServer> {
    let server = |number: usize| {
        let mut server = BackendServer::new(ServerListing {
            name: format!("engine-{number:04}").into(),
            service: "plan-review".into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: format!("zone-{}", number % 7).into(),
            region: format!("region-{}", number % 7 % 3).into(),
            leaving: number % 50 == 49,
        });
        let running = u32::try_from(random.next_u64() % 16).unwrap_or_default();
        server.note_report(&LoadReport { measured_at: NOW, running, waiting: running / 8 });
        server.note_first_token(NOW, Duration::from_millis(20 + u64::from(running)));
        server
    };
    (0..count).map(server).collect()
}

fn prompts(random: &mut ChaCha12Rng) -> Vec<String> {
    let shared: Vec<String> =
        (0..16).map(|_| format!("{:016x}", random.next_u64()).repeat(PROMPT_BYTES / 16)).collect();
    (0..PROMPTS).map(|number| format!("{}{:0512}", shared[number % shared.len()], number)).collect()
}

fn placement_decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for kind in PolicyKind::ALL {
        for count in COUNTS {
            let mut random = ChaCha12Rng::seed_from_u64(5);
            let (servers, prompts) = (servers(count, &mut random), prompts(&mut random));
            let policy = kind.build();
            let (zone, region) = (AvailabilityZoneName::new("zone-0"), RegionName::new("region-0"));
            let mut next = 0;
            group.bench_function(BenchmarkId::new(kind.to_string(), count), |bencher| {
                bencher.iter(|| {
                    next = (next + 1) % PROMPTS;
                    let prompt = prompts[next].as_str();
                    let request = PlacementRequest { prompt, zone: &zone, region: &region, now: NOW, tried: &[] };
                    let placed = place(&*policy, &request, &servers, &mut random);
                    black_box(placed.map(|(_, choice)| choice))
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, placement_decision);
criterion_main!(benches);
