//! Propagation of suspect reports over peer links, so that every instance knows a request that crashes backend
//! servers.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootpick_core::quarantine::{Fingerprint, SuspectReport};
use coltsfootpick_wire::peer as wire;
use coltsfootpick_wire::peer::PeerBody;

use crate::instance::Instance;
use crate::peers::Link;

/// Most suspect reports in one message.
const REPORTS_IN_MESSAGE: usize = 64;

/// Numbers of losses and completions in a report; both only grow, so a change of either means new content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportSize {
    lost: usize,
    excused: usize,
}

/// Sends changed suspect reports to all peers until the instance stops.
pub async fn propagate(instance: Arc<Instance>) {
    let mut sent: BTreeMap<Fingerprint, ReportSize> = BTreeMap::new();
    loop {
        let changed = instance.suspects.changed();
        send_changed(&instance, &mut sent);
        tokio::select! {
            () = changed => {}
            () = instance.peers.suspects_changed.notified() => {}
            () = instance.stopped.cancelled() => return,
        }
    }
}

fn send_changed(instance: &Instance, sent: &mut BTreeMap<Fingerprint, ReportSize>) {
    let all = instance.suspects.reports(instance.deps.clock.now());
    let previous = std::mem::take(sent);
    let size = |report: &SuspectReport| ReportSize { lost: report.losses.len(), excused: report.excused.len() };
    sent.extend(all.iter().map(|report| (report.fingerprint, size(report))));
    let changed: Vec<SuspectReport> =
        all.into_iter().filter(|report| previous.get(&report.fingerprint) != Some(&size(report))).collect();
    for link in instance.peers.links() {
        send_reports(&link, &changed);
    }
}

fn send_reports(link: &Link, reports: &[SuspectReport]) {
    for chunk in reports.chunks(REPORTS_IN_MESSAGE) {
        link.send(PeerBody::SuspectReports(wire::SuspectReportsMessage {
            reports: chunk.iter().map(Into::into).collect(),
        }));
    }
}

/// Sends all suspect reports on a new link.
pub fn send_all(instance: &Instance, link: &Link) {
    send_reports(link, &instance.suspects.reports(instance.deps.clock.now()));
}

/// Merges a peer's suspect reports and wakes the task that propagates them.
pub fn handle_reports(instance: &Instance, message: wire::SuspectReportsMessage) {
    let reports =
        message.reports.into_iter().take(REPORTS_IN_MESSAGE).filter_map(wire::SuspectReportMessage::into_report);
    instance.suspects.merge_reports(reports.collect(), instance.deps.clock.now());
    instance.peers.suspects_changed.notify_one();
}
