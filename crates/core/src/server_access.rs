//! Which servers a request may be sent to now, why it may not be sent to the others, and when to retry.
//!
//! First attempts, retries, resumed streams and the retry delay of a refusal all use [`access`], so that no path to a
//! server misses a rule. See `docs/ROUTING.md#access`.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use derive_more::Display;

use crate::brittle_servers::Room;
use crate::cold_servers::ColdShare;
use crate::home_regions::RequestHomes;
use crate::selection::Location;

/// Retry delay if it is not known when an excluded server may be used again.
pub const UNKNOWN_WAIT: Duration = Duration::from_secs(1);

/// Retry delay while this instance has no room at a brittle server.
const ROOM_BACKOFF: Duration = Duration::from_millis(250);

/// Reason why a request may not be sent to a server now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "kebab-case")]
pub enum Exclusion {
    /// The server is not in a home region of the request.
    OutsideHomes,
    /// The availability zone of the server is evacuated.
    Evacuated,
    /// The server takes no new work.
    Leaving,
    /// The server is cold, and this instance has used up its share or has none.
    Cold,
    /// The server was tried, cannot continue the stream, or cannot be reached.
    Unsuitable,
    /// The server asked for a pause.
    Paused,
    /// The limit that the server named is used up.
    Limited,
    /// This instance has no room at a brittle server.
    Full,
}

impl Exclusion {
    /// Whether the exclusion follows from home regions, an evacuation or a cold server, so that a request that finds no
    /// other server is refused at once.
    pub const fn is_rule(self) -> bool {
        matches!(self, Self::OutsideHomes | Self::Evacuated | Self::Cold)
    }
}

/// State of a server as far as it decides whether a request may be sent there.
#[derive(Clone, Debug)]
pub struct ServerStatus<'a> {
    /// Location of the server.
    pub location: &'a Location,
    /// Whether the server takes no new work.
    pub is_leaving: bool,
    /// Whether the availability zone of the server is evacuated.
    pub is_evacuated: bool,
    /// Share of this instance in the requests that the server sustains while it is cold.
    pub cold: ColdShare,
    /// Rest of the pause that the server asked for.
    pub pause: Duration,
    /// Time until the limit of the server allows a request; `None` if other instances share the limit.
    pub limit: Option<Duration>,
    /// Room of this instance at the server.
    pub room: Room,
    /// Whether the server was tried, cannot continue the stream, or cannot be reached.
    pub is_unsuitable: bool,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Access {
    /// Why the request may not be sent there now; `None` if it may.
    pub exclusion: Option<Exclusion>,
    /// Time until the server takes requests of this instance; `None` if it is not known.
    pub wait: Option<Duration>,
}

/// Decides whether a request with these home regions may be sent to a server.
pub fn access(homes: &RequestHomes, status: &ServerStatus<'_>) -> Access {
    let exclusion = match status {
        status if !homes.allows(&status.location.region) => Some(Exclusion::OutsideHomes),
        ServerStatus { is_evacuated: true, .. } => Some(Exclusion::Evacuated),
        ServerStatus { is_leaving: true, .. } => Some(Exclusion::Leaving),
        status if !status.cold.is_free() => Some(Exclusion::Cold),
        ServerStatus { is_unsuitable: true, .. } => Some(Exclusion::Unsuitable),
        status if !status.pause.is_zero() => Some(Exclusion::Paused),
        status if status.limit != Some(Duration::ZERO) => Some(Exclusion::Limited),
        status if status.room != Room::Free => Some(Exclusion::Full),
        _ => None,
    };
    let wait = match exclusion {
        Some(Exclusion::OutsideHomes | Exclusion::Evacuated | Exclusion::Leaving) => None,
        _ => status.limit.map(|limit| limit.max(status.pause).max(room_wait(status.room)).max(cold_wait(status.cold))),
    };
    Access { exclusion, wait }
}

const fn room_wait(room: Room) -> Duration {
    match room {
        Room::Free => Duration::ZERO,
        Room::Full => ROOM_BACKOFF,
        Room::Paused(left) => left,
    }
}

/// Another instance may have a share in a cold server, so the caller returns within [`UNKNOWN_WAIT`].
fn cold_wait(share: ColdShare) -> Duration {
    match share {
        ColdShare::Warm => Duration::ZERO,
        ColdShare::Own(wait) => wait,
        ColdShare::Others(left) => left.min(UNKNOWN_WAIT),
    }
}

/// Retry delay of a request that found no server among those that `found` describes; `None` leaves it to the caller.
pub fn retry_delay(homes: &RequestHomes, found: &[Access]) -> Option<Duration> {
    let has_rule = || found.iter().any(|access| access.exclusion.is_some_and(Exclusion::is_rule));
    match found.iter().filter_map(|access| access.wait).min() {
        Some(wait) => Some(wait).filter(|wait| !wait.is_zero()),
        None => (!homes.is_unrestricted() || has_rule()).then_some(UNKNOWN_WAIT),
    }
}

/// Whether every server is excluded by home regions or evacuations, so that no wait within the request helps.
pub fn is_hopeless(homes: &RequestHomes, found: &[Access]) -> bool {
    let is_out = |access: &Access| matches!(access.exclusion, Some(Exclusion::OutsideHomes | Exclusion::Evacuated));
    match found {
        [] => !homes.is_unrestricted(),
        found => {
            found.iter().any(is_out)
                && found.iter().all(|access| is_out(access) || access.exclusion == Some(Exclusion::Leaving))
        }
    }
}

/// Numbers of the servers that home regions, evacuations and cold servers exclude, for the log; empty if there are none.
pub fn rule_summary(found: &[Access]) -> String {
    let mut counts: BTreeMap<Exclusion, usize> = BTreeMap::new();
    for exclusion in found.iter().filter_map(|access| access.exclusion).filter(|exclusion| exclusion.is_rule()) {
        *counts.entry(exclusion).or_default() += 1;
    }
    let mut summary = String::new();
    for (exclusion, count) in counts {
        // Writing to a string succeeds.
        let _ = write!(summary, " {exclusion}={count}");
    }
    summary
}
