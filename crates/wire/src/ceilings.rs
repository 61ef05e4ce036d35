//! Encoded record of a holder's ceilings; the store keeps the newest record of each holder.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::{AccountCeiling, HolderRecord};
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::quarantine::{Fingerprint, Loss, SuspectReport};
use coltsfootpick_core::units::Tokens;
use prost::Message;

/// Ceiling of one holder for one client account.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CeilingMessage {
    /// Name of the client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Tokens that the holder may use of the account in total.
    #[prost(uint64, tag = "2")]
    pub ceiling: u64,
    /// Tokens that the holder had used when it wrote the record.
    #[prost(uint64, tag = "3")]
    pub settled: u64,
    /// Tokens above the ceiling that the holder may use while it cannot reach the store.
    #[prost(uint64, tag = "4")]
    pub reserve: u64,
    /// Tokens of the reserve that become usable each second.
    #[prost(uint64, tag = "5")]
    pub reserve_rate: u64,
}

/// Timestamp of another instance's newest record that the holder had read when it wrote its own record.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WitnessMessage {
    /// Instance name.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Timestamp of that instance's record, in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub timestamp: u64,
}

/// Newest record of one holder; it replaces the holder's earlier records.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HolderRecordMessage {
    /// One ceiling for each client account.
    #[prost(message, repeated, tag = "1")]
    pub ceilings: Vec<CeilingMessage>,
    /// Version of the environment's document that the holder applied.
    #[prost(uint64, tag = "2")]
    pub document_version: u64,
    /// True once the holder has ended and uses nothing more.
    #[prost(bool, tag = "3")]
    pub closed: bool,
    /// Time of day at the holder when it wrote the record, in milliseconds since 1970.
    #[prost(uint64, tag = "4")]
    pub timestamp: u64,
    /// Timestamps of records that other instances wrote earlier; they bound the age of this record.
    #[prost(message, repeated, tag = "5")]
    pub witnesses: Vec<WitnessMessage>,
    /// Requests that the holder suspects of crashing backend servers.
    #[prost(message, repeated, tag = "6")]
    pub suspects: Vec<StoredSuspectMessage>,
    /// Number of the record among those of its holder.
    #[prost(uint64, tag = "7")]
    pub number: u64,
    /// Era of the store in which the record was written.
    #[prost(uint64, tag = "8")]
    pub era: u64,
    /// Whether the holder keeps the use of accounts that its document leaves out; earlier software does not state it.
    #[prost(bool, tag = "9")]
    pub keeps_use: bool,
    /// What other holders have dropped from their records.
    #[prost(message, repeated, tag = "10")]
    pub forgotten: Vec<ForgottenMessage>,
}

/// Use that a holder has dropped from its records.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ForgottenMessage {
    /// Name of the holder.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// What it may have used.
    #[prost(message, repeated, tag = "2")]
    pub ceilings: Vec<CeilingMessage>,
}

/// Request suspected of crashing backend servers.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredSuspectMessage {
    /// Fingerprint of the request.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Losses of backend servers while the request ran on them.
    #[prost(message, repeated, tag = "2")]
    pub losses: Vec<StoredLossMessage>,
    /// Losses that no longer count against the request, since it completed later.
    #[prost(message, repeated, tag = "3")]
    pub excused: Vec<StoredLossMessage>,
    /// Time until the suspicion ends, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub remaining: u64,
}

/// Loss of a backend server while the request ran on it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredLossMessage {
    /// Name of the backend server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Random number that tells two losses of one server apart.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

impl From<&Loss> for StoredLossMessage {
    fn from(loss: &Loss) -> Self {
        Self { server: loss.server.to_string(), number: loss.number }
    }
}

impl From<StoredLossMessage> for Loss {
    fn from(message: StoredLossMessage) -> Self {
        Self { server: message.server.into(), number: message.number }
    }
}

impl From<&SuspectReport> for StoredSuspectMessage {
    fn from(report: &SuspectReport) -> Self {
        Self {
            fingerprint: report.fingerprint.0.to_vec(),
            losses: report.losses.iter().map(Into::into).collect(),
            excused: report.excused.iter().map(Into::into).collect(),
            remaining: u64::try_from(report.remaining.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Converts to the core's type; `None` when the fingerprint has another length than in this version.
pub fn into_report(message: StoredSuspectMessage) -> Option<SuspectReport> {
    Some(SuspectReport {
        fingerprint: Fingerprint(message.fingerprint.try_into().ok()?),
        losses: message.losses.into_iter().map(Into::into).collect(),
        excused: message.excused.into_iter().map(Into::into).collect(),
        remaining: Duration::from_millis(message.remaining),
    })
}

fn encode_ceilings(ceilings: &BTreeMap<ClientAccountName, AccountCeiling>) -> Vec<CeilingMessage> {
    let encode = |(account, ceiling): (&ClientAccountName, &AccountCeiling)| CeilingMessage {
        account: account.to_string(),
        ceiling: ceiling.ceiling.0,
        settled: ceiling.settled.0,
        reserve: ceiling.reserve.0,
        reserve_rate: ceiling.reserve_rate.0,
    };
    ceilings.iter().map(encode).collect()
}

fn decode_ceilings(ceilings: Vec<CeilingMessage>) -> BTreeMap<ClientAccountName, AccountCeiling> {
    let decode = |entry: CeilingMessage| {
        let ceiling = AccountCeiling {
            ceiling: Tokens(entry.ceiling),
            settled: Tokens(entry.settled),
            reserve: Tokens(entry.reserve),
            reserve_rate: Tokens(entry.reserve_rate),
        };
        (ClientAccountName::from(entry.account), ceiling)
    };
    ceilings.into_iter().map(decode).collect()
}

impl From<&HolderRecord> for HolderRecordMessage {
    fn from(record: &HolderRecord) -> Self {
        let witness =
            |(instance, at): (&Arc<str>, &u64)| WitnessMessage { instance: instance.to_string(), timestamp: *at };
        let forgotten = |(holder, ceilings): (&Arc<str>, &BTreeMap<_, _>)| ForgottenMessage {
            holder: holder.to_string(),
            ceilings: encode_ceilings(ceilings),
        };
        Self {
            ceilings: encode_ceilings(&record.ceilings),
            document_version: record.document,
            closed: record.closed,
            timestamp: record.timestamp,
            witnesses: record.witnesses.iter().map(witness).collect(),
            suspects: record.suspects.iter().map(Into::into).collect(),
            number: record.number,
            era: record.era,
            keeps_use: record.keeps_use,
            forgotten: record.forgotten.iter().map(forgotten).collect(),
        }
    }
}

impl From<HolderRecordMessage> for HolderRecord {
    fn from(message: HolderRecordMessage) -> Self {
        let forgotten = |entry: ForgottenMessage| (entry.holder.into(), decode_ceilings(entry.ceilings));
        Self {
            ceilings: decode_ceilings(message.ceilings),
            document: message.document_version,
            closed: message.closed,
            timestamp: message.timestamp,
            witnesses: message.witnesses.into_iter().map(|entry| (entry.instance.into(), entry.timestamp)).collect(),
            suspects: message.suspects.into_iter().filter_map(into_report).collect(),
            number: message.number,
            era: message.era,
            keeps_use: message.keeps_use,
            forgotten: message.forgotten.into_iter().map(forgotten).collect(),
        }
    }
}
