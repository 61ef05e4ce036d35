//! List of the other instances, and the record with which this instance joins it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::lenders::FleetMember;
use coltsfootpick_core::names::AvailabilityZoneName;
use coltsfootpick_wire::loans::InstanceMessage;
use prost::Message;
use tokio_util::sync::CancellationToken;

use crate::blackboard::{Blackboard, InstanceSpec};
use crate::credit_controller::CreditController;
use crate::forwarder::Forwarder;
use crate::interfaces::{KeyedLog, KeyedRecord, Topic};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::topic_reader::RecordSink;

/// Pause before a failed write of the instance record is tried again.
const PUBLISH_RETRY: Duration = Duration::from_millis(500);

/// Record that publishes the address, zone and capacity of this run.
pub fn instance_record(
    instance: &InstanceSpec,
    address: SocketAddr,
    forwards: SocketAddr,
    holder: &Arc<str>,
) -> KeyedRecord {
    sharing_record(instance, address, forwards, holder, None)
}

/// Record as [`instance_record`] makes it, of an instance that exchanges loads at the address `loads`, if any.
pub fn sharing_record(
    instance: &InstanceSpec,
    address: SocketAddr,
    forwards: SocketAddr,
    holder: &Arc<str>,
    loads: Option<SocketAddr>,
) -> KeyedRecord {
    let message = InstanceMessage {
        address: address.to_string(),
        holder: holder.to_string(),
        zone: instance.location.zone.to_string(),
        capacity: instance.capacity,
        forwards: forwards.to_string(),
        loads: loads.map(|loads| loads.to_string()).unwrap_or_default(),
    };
    KeyedRecord { key: Arc::clone(&instance.name), value: Some(message.encode_to_vec().into()) }
}

/// Writes the instance record until it succeeds; writing it more than once is harmless.
pub async fn publish_record(store: Arc<dyn KeyedLog>, record: KeyedRecord, stop: CancellationToken) {
    while !stop.is_cancelled() {
        match store.append(Topic::Instances, None, vec![record.clone()]).await {
            Ok(_) => return,
            Err(error) => log_event!(LogEvent::DependencyLost, "store topic=instances error={error:?}"),
        }
        tokio::time::sleep(PUBLISH_RETRY).await;
    }
}

/// Instance as its record describes it.
struct ListedInstance {
    run: Arc<str>,
    address: SocketAddr,
    forwards: Option<SocketAddr>,
    loads: Option<SocketAddr>,
    member: FleetMember,
}

/// Controller that keeps the list of instances in line with their records.
#[derive(Debug)]
pub struct PeerController {
    board: Arc<Blackboard>,
    credit: Arc<CreditController>,
    forwarder: Arc<Forwarder>,
    store: Arc<dyn KeyedLog>,
    /// Record of this instance, which is written again when the store has lost it.
    record: KeyedRecord,
    /// Whether the first records are read, of which one line is written in total.
    is_first: bool,
}

impl PeerController {
    /// Creates a controller that updates the fleet list of `board` and the peers of `credit` and `forwarder`, and keeps `record`, the
    /// one of this instance, in `store`.
    pub fn new(
        board: Arc<Blackboard>,
        credit: Arc<CreditController>,
        forwarder: Arc<Forwarder>,
        store: Arc<dyn KeyedLog>,
        record: KeyedRecord,
    ) -> Self {
        Self { board, credit, forwarder, store, record, is_first: true }
    }

    fn decode(record: &KeyedRecord) -> Result<ListedInstance, String> {
        let value = record.value.clone().unwrap_or_default();
        let message = InstanceMessage::decode(value).map_err(|error| error.to_string())?;
        let address = message.address.parse().map_err(|error| format!("address {:?}: {error}", message.address))?;
        let zone = AvailabilityZoneName::from(message.zone.as_str());
        // Instances of earlier software take no forwarded requests and name no address for them.
        let forwards = message.forwards.parse().ok();
        let loads = message.loads.parse().ok();
        let member = FleetMember { zone, capacity: message.capacity };
        Ok(ListedInstance { run: message.holder.into(), address, forwards, loads, member })
    }
}

impl RecordSink for PeerController {
    fn replace_all(&mut self, records: Vec<KeyedRecord>) {
        let count = records.len();
        let is_listed = records.contains(&self.record);
        for record in records {
            self.apply(record);
        }
        if std::mem::take(&mut self.is_first) {
            log_event!(LogEvent::PeerListed, "instances={count}");
        } else if !is_listed {
            let (store, record) = (Arc::clone(&self.store), self.record.clone());
            tokio::spawn(publish_record(store, record, self.board.stopped.clone()));
        }
        self.board.mark_fleet_listed();
    }

    fn apply(&mut self, record: KeyedRecord) {
        if record.value.is_none() {
            return;
        }
        match Self::decode(&record) {
            Ok(ListedInstance { run, address, forwards, loads, member }) => {
                self.board.loads.set_address(&record.key, loads);
                if let Some(forwards) = forwards {
                    self.forwarder.add(&record.key, &member.zone, forwards);
                }
                self.board.note_member(&record.key, member);
                if run == *self.credit.holder() {
                    return;
                }
                let before = self.credit.peers().add(&record.key, &run, address);
                if let Some(before) = &before {
                    self.credit.forget_run(before);
                }
                if !self.is_first {
                    let before = before.as_deref().unwrap_or("none");
                    log_event!(LogEvent::PeerListed, "peer={run} address={address} before={before}");
                }
            }
            Err(reason) => {
                self.board.note_skipped(Topic::Instances, &record.key, &reason);
            }
        }
    }

    fn note_recovery(&mut self, _outage: Duration) {}

    fn note_restored(&mut self) {}

    fn tick(&mut self) {}
}
