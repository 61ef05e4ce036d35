//! Chooses a backend server for one dispatch and logs the decision.

use std::fmt::Display;

use coltsfootpick_core::backends::ServerListing;
use coltsfootpick_core::names::{BackendServerName, ServiceName};
use coltsfootpick_core::placement::{PlacementRequest, place};

use crate::event;
use crate::events::Event;
use crate::instance::Instance;

/// Chooses a server of `service` that is not in `tried` and logs the decision, prefixed with `label`. Returns `None`
/// if no server is available.
pub fn choose(
    instance: &Instance,
    service: &ServiceName,
    prompt: &str,
    tried: &[BackendServerName],
    label: &dyn Display,
) -> Option<ServerListing> {
    let settings = &instance.settings;
    let now = instance.deps.clock.now();
    let request = PlacementRequest { prompt, zone: &settings.zone, region: &settings.region, now, tried };
    let backends = instance.board.backends.read();
    let servers = backends.of(service);
    let (server, choice) = instance.with_rng(|rng| place(&*instance.policy, &request, servers, rng))?;
    let name = &server.listed.name;
    event!(Event::Placed, "{label} server={name} reason={:?} scores={:?}", choice.reason, choice.scores);
    Some(server.listed.clone())
}
