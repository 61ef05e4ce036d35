//! Suspicions that spread over peer links, so that a request that crashes backend servers is known everywhere.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootpick_core::quarantine::{Fingerprint, SuspectNews};
use coltsfootpick_wire::peer as wire;
use coltsfootpick_wire::peer::Body;

use crate::instance::Instance;
use crate::peers::Link;

/// Suspects of one message.
const SUSPECTS_IN_MESSAGE: usize = 64;

/// Losses and excuses that were passed on; both sets only grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Extent {
    lost: usize,
    excused: usize,
}

/// Passes changed suspicions on until the instance stops.
pub async fn spread(instance: Arc<Instance>) {
    let mut told: BTreeMap<Fingerprint, Extent> = BTreeMap::new();
    loop {
        let changed = instance.suspects.changed();
        pass_on(&instance, &mut told);
        tokio::select! {
            () = changed => {}
            () = instance.peers.suspects.notified() => {}
            () = instance.stopped.cancelled() => return,
        }
    }
}

fn pass_on(instance: &Instance, told: &mut BTreeMap<Fingerprint, Extent>) {
    let all = instance.suspects.reports(instance.deps.clock.now());
    let known = std::mem::take(told);
    let extent = |news: &SuspectNews| Extent { lost: news.lost.len(), excused: news.excused.len() };
    told.extend(all.iter().map(|news| (news.print, extent(news))));
    let fresh: Vec<SuspectNews> =
        all.into_iter().filter(|news| known.get(&news.print) != Some(&extent(news))).collect();
    for link in instance.peers.links() {
        tell(&link, &fresh);
    }
}

fn tell(link: &Link, news: &[SuspectNews]) {
    for part in news.chunks(SUSPECTS_IN_MESSAGE) {
        link.send(Body::Suspects(wire::Suspects { suspects: part.iter().map(Into::into).collect() }));
    }
}

/// Tells a new link all suspicions.
pub fn greet(instance: &Instance, link: &Link) {
    tell(link, &instance.suspects.reports(instance.deps.clock.now()));
}

/// Takes in what a peer suspects and wakes the task that passes it on.
pub fn take(instance: &Instance, suspects: wire::Suspects) {
    let typed = suspects.suspects.into_iter().take(SUSPECTS_IN_MESSAGE).filter_map(wire::Suspect::typed);
    instance.suspects.merge_reports(typed.collect(), instance.deps.clock.now());
    instance.peers.suspects.notify_one();
}
