//! Which zones a request compares, and what a server outside the zone of the instance costs.

use crate::selection::{Candidate, Generation, Location, SelectionRequest};

/// Cost of a server in another availability zone of the same region, in milliseconds.
const OTHER_ZONE_COST_MS: f64 = 2.0;

/// Cost of a server in another region, in milliseconds: the round trip and the price of the transferred bytes.
const OTHER_REGION_COST_MS: f64 = 20.0;

/// Round trips to another zone and another region, in milliseconds.
const ROUND_TRIP_MS: (f64, f64) = (2.4, 16.0);

/// Prices of a gigabyte sent to another zone and another region, in units of one small answer on time.
const UNITS_PER_GB: (f64, f64) = (1_900.0, 7_600.0);

/// Milliseconds that cost one unit: recomputing 1,000 tokens costs 0.37 units and 40 ms in [`crate::selection`].
const MS_PER_UNIT: f64 = 108.0;

/// Bytes of a prompt token in a request and of an answer's token in an event.
///
/// A request of 12 KB has 4,300 prompt tokens on average.
const TOKEN_BYTES: (f64, f64) = (3.0, 20.0);

/// Bytes of a request to a plain service with its answer, and of an average generation.
const EXCHANGE_BYTES: f64 = 16_000.0;

/// Cost of sending a request from `own` to `other`, in milliseconds: round trip and price of the transferred bytes.
#[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
pub fn transfer_cost_ms(own: &Location, other: &Location, generation: Option<&Generation>) -> f64 {
    let bytes = generation.map_or(EXCHANGE_BYTES, |generation| {
        generation.prompt.0 as f64 * TOKEN_BYTES.0 + generation.output.0 as f64 * TOKEN_BYTES.1
    });
    let cost = |round_trip: f64, units_per_gb: f64| round_trip + bytes / 1e9 * units_per_gb * MS_PER_UNIT;
    match other {
        Location { zone, .. } if *zone == own.zone => 0.0,
        Location { region, .. } if *region == own.region => cost(ROUND_TRIP_MS.0, UNITS_PER_GB.0),
        _ => cost(ROUND_TRIP_MS.1, UNITS_PER_GB.1),
    }
}

/// Returns the eligible candidates in the zone of the request, or all eligible ones if there is no such zone or server.
pub fn in_zone(
    request: &SelectionRequest<'_>,
    candidates: &[Candidate<'_>],
    is_eligible: impl Fn(&Candidate<'_>) -> bool,
) -> Vec<usize> {
    let eligible = || (0..candidates.len()).filter(|index| is_eligible(&candidates[*index]));
    let is_inside = |index: &usize| request.zone == Some(&candidates[*index].location.zone);
    let found: Vec<usize> = eligible().filter(is_inside).collect();
    if found.is_empty() { eligible().collect() } else { found }
}

/// Cost of the distance; none for the zone that the shares gave the request.
pub fn zone_cost(request: &SelectionRequest<'_>, candidate: &Candidate<'_>) -> f64 {
    match request.zone {
        None => distance_cost(request.location, candidate.location),
        Some(zone) if candidate.location.zone == *zone => 0.0,
        Some(_) => transfer_cost_ms(request.location, candidate.location, request.generation),
    }
}

fn distance_cost(own: &Location, other: &Location) -> f64 {
    match other {
        Location { zone, .. } if *zone == own.zone => 0.0,
        Location { region, .. } if *region == own.region => OTHER_ZONE_COST_MS,
        _ => OTHER_REGION_COST_MS,
    }
}
