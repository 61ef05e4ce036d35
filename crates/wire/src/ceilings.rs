//! Encoded record of a holder's ceilings, the newest of which the store keeps for each holder.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::{HolderRecord, Holding};
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::quarantine::{Fingerprint, Loss, SuspectReport};
use coltsfootpick_core::units::Tokens;
use prost::Message;

/// Ceiling of one account.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CeilingMessage {
    /// Account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Tokens that the holder may use in total.
    #[prost(uint64, tag = "2")]
    pub ceiling: u64,
    /// Tokens used when this was written.
    #[prost(uint64, tag = "3")]
    pub settled: u64,
    /// Tokens above the ceiling for the time without the store.
    #[prost(uint64, tag = "4")]
    pub reserve: u64,
}

/// Stamp of another instance's record.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WitnessMessage {
    /// Instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Its stamp, in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub stamp: u64,
}

/// Newest record of a holder.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HolderMessage {
    /// Ceilings.
    #[prost(message, repeated, tag = "1")]
    pub ceilings: Vec<CeilingMessage>,
    /// Version of the document that the holder went by.
    #[prost(uint64, tag = "2")]
    pub document: u64,
    /// Whether the holder ended.
    #[prost(bool, tag = "3")]
    pub closed: bool,
    /// Time of day at the holder, in milliseconds since 1970.
    #[prost(uint64, tag = "4")]
    pub stamp: u64,
    /// Stamps of others that were written before.
    #[prost(message, repeated, tag = "5")]
    pub witnesses: Vec<WitnessMessage>,
    /// Suspects.
    #[prost(message, repeated, tag = "6")]
    pub suspects: Vec<SuspectMessage>,
}

/// Request suspected of crashing backend servers.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectMessage {
    /// Fingerprint.
    #[prost(bytes = "vec", tag = "1")]
    pub print: Vec<u8>,
    /// Losses while it ran.
    #[prost(message, repeated, tag = "2")]
    pub lost: Vec<LossMessage>,
    /// Losses that it is excused for.
    #[prost(message, repeated, tag = "3")]
    pub excused: Vec<LossMessage>,
    /// Milliseconds until the suspicion ends.
    #[prost(uint64, tag = "4")]
    pub left: u64,
}

/// Loss of a server.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LossMessage {
    /// Server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Number of the loss.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

impl From<&Loss> for LossMessage {
    fn from(loss: &Loss) -> Self {
        Self { server: loss.server.to_string(), number: loss.number }
    }
}

impl From<LossMessage> for Loss {
    fn from(message: LossMessage) -> Self {
        Self { server: message.server.into(), number: message.number }
    }
}

impl From<&SuspectReport> for SuspectMessage {
    fn from(news: &SuspectReport) -> Self {
        Self {
            print: news.fingerprint.0.to_vec(),
            lost: news.losses.iter().map(Into::into).collect(),
            excused: news.excused.iter().map(Into::into).collect(),
            left: u64::try_from(news.remaining.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// News of a suspect; none when the fingerprint has another length than this version's.
fn read_suspect(message: SuspectMessage) -> Option<SuspectReport> {
    Some(SuspectReport {
        fingerprint: Fingerprint(message.print.try_into().ok()?),
        losses: message.lost.into_iter().map(Into::into).collect(),
        excused: message.excused.into_iter().map(Into::into).collect(),
        remaining: Duration::from_millis(message.left),
    })
}

impl From<&HolderRecord> for HolderMessage {
    fn from(record: &HolderRecord) -> Self {
        let encode = |(account, holding): (&ClientAccountName, &Holding)| CeilingMessage {
            account: account.to_string(),
            ceiling: holding.ceiling.0,
            settled: holding.settled.0,
            reserve: holding.reserve.0,
        };
        let witness =
            |(instance, stamp): (&Arc<str>, &u64)| WitnessMessage { instance: instance.to_string(), stamp: *stamp };
        Self {
            ceilings: record.holdings.iter().map(encode).collect(),
            document: record.document,
            closed: record.closed,
            stamp: record.stamp,
            witnesses: record.witnesses.iter().map(witness).collect(),
            suspects: record.suspects.iter().map(Into::into).collect(),
        }
    }
}

impl From<HolderMessage> for HolderRecord {
    fn from(message: HolderMessage) -> Self {
        let decode = |entry: CeilingMessage| {
            let holding = Holding {
                ceiling: Tokens(entry.ceiling),
                settled: Tokens(entry.settled),
                reserve: Tokens(entry.reserve),
            };
            (ClientAccountName::from(entry.account), holding)
        };
        Self {
            holdings: message.ceilings.into_iter().map(decode).collect(),
            document: message.document,
            closed: message.closed,
            stamp: message.stamp,
            witnesses: message.witnesses.into_iter().map(|entry| (entry.instance.into(), entry.stamp)).collect(),
            suspects: message.suspects.into_iter().filter_map(read_suspect).collect(),
        }
    }
}
