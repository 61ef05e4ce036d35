//! Records of holders, read by this build and by 25f424e.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootpick_core::ceilings::{AccountCeiling, HolderRecord};
use coltsfootpick_core::units::Tokens;
use coltsfootpick_wire::ceilings::{CeilingMessage, HolderRecordMessage};
use prost::Message;

/// Record as 25f424e writes and reads it.
#[derive(Clone, PartialEq, Eq, Message)]
struct OlderRecord {
    #[prost(message, repeated, tag = "1")]
    ceilings: Vec<CeilingMessage>,
    #[prost(uint64, tag = "2")]
    document_version: u64,
    #[prost(bool, tag = "3")]
    closed: bool,
    #[prost(uint64, tag = "7")]
    number: u64,
}

fn record() -> HolderRecord {
    let ceiling = AccountCeiling { ceiling: Tokens(9), settled: Tokens(7), ..AccountCeiling::default() };
    let accounts = BTreeMap::from([("clinic".into(), ceiling)]);
    let forgotten = BTreeMap::from([(Arc::from("edge-1/a"), accounts.clone())]);
    HolderRecord { ceilings: accounts, number: 4, document: 2, keeps_use: true, forgotten, ..HolderRecord::default() }
}

#[test]
fn same_build() {
    let bytes = HolderRecordMessage::from(&record()).encode_to_vec();
    assert_eq!(HolderRecord::from(HolderRecordMessage::decode(&*bytes).unwrap()), record());
}

#[test]
fn read_by_older() {
    let bytes = HolderRecordMessage::from(&record()).encode_to_vec();
    let read = OlderRecord::decode(&*bytes).unwrap();
    assert_eq!((read.ceilings.len(), read.document_version, read.number), (1, 2, 4));
}

#[test]
fn written_by_older() {
    let ceiling = CeilingMessage { account: "clinic".into(), ceiling: 9, settled: 7, ..CeilingMessage::default() };
    let bytes = OlderRecord { ceilings: vec![ceiling], document_version: 2, closed: false, number: 4 }.encode_to_vec();
    let read = HolderRecord::from(HolderRecordMessage::decode(&*bytes).unwrap());
    let expected = HolderRecord { keeps_use: false, forgotten: BTreeMap::new(), ..record() };
    assert_eq!(read, expected);
}
