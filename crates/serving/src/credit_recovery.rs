//! Closes the credit of earlier runs of this instance, and takes back reserves that they cannot have used.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::{AccountCeiling, HolderRecord, RecordAge, instance_of};
use coltsfootpick_core::units::Tokens;

use crate::credit_controller::CreditController;
use crate::credit_renewal::HolderRecords;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::peer_client::PeerRequest;
use tokio::time::Instant;

/// Maximum number of peers that are asked for their clocks at a time.
const CLOCK_PEERS_MAX: usize = 8;

/// Maximum number of accounts whose credit in doubt is logged for one earlier run.
const ACCOUNTS_LOGGED: usize = 32;

impl CreditController {
    /// Returns records that close earlier runs of this instance and reclaim what they cannot have used of their
    /// reserves.
    ///
    /// The platform starts a run only after the previous one has ended, so earlier runs use no more credit. Runs that
    /// need further peers' clocks as proof are left for the next renewal.
    pub(crate) fn close_earlier_runs(self: &Arc<Self>) -> HolderRecords {
        let instance = instance_of(self.holder());
        let (earlier, era) = {
            let ceilings = self.ceilings.lock();
            (ceilings.predecessors(self.holder()), ceilings.next().era)
        };
        let clocks = self.start_times();
        // The store may answer long after the start, and the addresses of the peers are read from it as well.
        let waited = match earlier.is_empty() {
            true => Duration::ZERO,
            false => self.earlier_seen.get_or_init(Instant::now).elapsed(),
        };
        let mut closed = Vec::with_capacity(earlier.len());
        for (name, record) in earlier {
            let age = match record.age_at_start(instance, &clocks, waited) {
                RecordAge::AtMost(age) => Some(age),
                RecordAge::Unknown => None,
                RecordAge::Pending => {
                    self.request_clocks(&record);
                    continue;
                }
            };
            let last = record.to_closed(age, era);
            let reserves = |record: &HolderRecord| record.ceilings.values().map(|entry| entry.reserve).sum::<Tokens>();
            log_event!(
                LogEvent::RunClosed,
                "run={name} age={age:?} clocks={} reserves={} kept={}",
                clocks.len(),
                reserves(&record),
                reserves(&last)
            );
            log_in_doubt(&name, &last);
            closed.push((name, last));
        }
        closed
    }

    pub(crate) fn has_earlier_runs(&self) -> bool {
        !self.ceilings.lock().predecessors(self.holder()).is_empty()
    }

    /// Unix times in milliseconds at which this run started, by the clocks of this instance and of its peers.
    fn start_times(&self) -> BTreeMap<Arc<str>, u64> {
        let run_millis = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut clocks = self.peer_starts.lock().clone();
        let own = self.board.clock.unix_millis().saturating_sub(run_millis);
        clocks.insert(Arc::clone(&self.board.instance.name), own);
        clocks
    }

    /// Asks peers for their clocks, those that `record` names as witnesses first.
    fn request_clocks(self: &Arc<Self>, record: &HolderRecord) {
        let known = self.peer_starts.lock().clone();
        let witnesses = record.witnesses.keys().filter_map(|instance| self.peers.available_run(instance));
        let mut peers: Vec<Arc<str>> = witnesses.collect();
        peers.extend(self.peers.available().into_iter().take(CLOCK_PEERS_MAX));
        peers.retain(|peer| !known.contains_key(instance_of(peer)));
        for peer in peers.into_iter().take(CLOCK_PEERS_MAX) {
            let (controller, name) = (Arc::clone(self), Arc::clone(&peer));
            let note = move |answer: Option<_>| controller.note_answer(&name, answer.as_ref());
            self.peers.send(&peer, PeerRequest::default(), Box::new(note));
        }
    }

    /// Records the wall-clock time at `peer`, in milliseconds since the Unix epoch.
    pub(crate) fn note_clock(&self, peer: &str, clock: u64) {
        let run_millis = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        let started = clock.saturating_sub(run_millis);
        let known = self.peer_starts.lock().insert(Arc::from(instance_of(peer)), started);
        // An earlier run may wait for this clock only.
        if known.is_none() && self.earlier_seen.get().is_some() {
            self.renewal_needed.notify_one();
        }
    }
}

/// Logs what a closed run of an earlier start leaves in doubt, the accounts with the most of it first.
fn log_in_doubt(run: &str, closed: &HolderRecord) {
    let in_doubt = |entry: &AccountCeiling| entry.total().saturating_sub(entry.settled);
    let mut accounts: Vec<_> = closed.ceilings.iter().filter(|(_, entry)| !in_doubt(entry).is_zero()).collect();
    accounts.sort_by_key(|(_, entry)| Reverse(in_doubt(entry)));
    for (number, (account, entry)) in accounts.iter().take(ACCOUNTS_LOGGED).enumerate() {
        let AccountCeiling { ceiling, settled, reserve, .. } = entry;
        log_event!(
            LogEvent::CreditInDoubt,
            "run={run} number={} of={} account={account} ceiling={ceiling} reserve={reserve} settled={settled}",
            number + 1,
            accounts.len()
        );
    }
}
