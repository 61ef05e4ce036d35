//! Snapshots of the state that instances replay from the log, split into chunks that are log records themselves.
//!
//! Any instance may write a snapshot at any time, since all instances that have read up to the same offset have the same
//! state. A reader uses the newest snapshot whose chunks all arrived undamaged. See `docs/ENVIRONMENTS.md#snapshots`.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootpick_core::attempts::{Attempt, AttemptState, AttemptTableState};
use coltsfootpick_core::document::Document;
use coltsfootpick_core::environments::{Change, ChangeKind, ChangeOutcome, Environment, EnvironmentsState};
use coltsfootpick_core::ledger::{Budget, Holding, LedgerState};
use coltsfootpick_core::names::{BudgetKey, EnvironmentName, Incarnation, RecordId};
use coltsfootpick_core::record::{AttemptKey, AttemptOutcome};
use coltsfootpick_core::shard::ShardState;
use coltsfootpick_core::units::{Offset, Tokens};
use prost::{Message, Oneof};
use xxhash_rust::xxh3::xxh3_64;

use crate::convert::{ConvertError, required};
use crate::envelope::{RecordError, check_record, encode_record};
use crate::messages as m;

/// Largest chunk record, in bytes.
pub const CHUNK_MAX_BYTES: usize = 256 << 10;

/// Bytes of a chunk record reserved for its envelope and for all fields but the payload.
const CHUNK_OVERHEAD_BYTES: usize = 256;

/// Most chunks that a reader accepts for one snapshot; the limit bounds the reader's memory.
pub const CHUNKS_MAX: u32 = 1_024;

/// Most incomplete snapshots that a reader keeps; it drops the one with the lowest offset first.
const INCOMPLETE_MAX: usize = 8;

/// Part of a snapshot, written as one log record.
#[derive(Clone, PartialEq, Eq, Message)]
struct ChunkMessage {
    /// Random id that tells the chunks of two snapshots apart.
    #[prost(fixed64, tag = "1")]
    id: u64,
    /// First offset that the snapshot does not cover.
    #[prost(uint64, tag = "2")]
    next: u64,
    /// Index of the chunk within the snapshot, from 0.
    #[prost(uint32, tag = "3")]
    index: u32,
    /// Number of chunks in the snapshot.
    #[prost(uint32, tag = "4")]
    count: u32,
    /// Hash of the payloads of all chunks together.
    #[prost(fixed64, tag = "5")]
    digest: u64,
    #[prost(bytes = "vec", tag = "6")]
    payload: Vec<u8>,
}

/// Encoded state of a stream, replayed up to an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// First offset that the state does not cover.
    pub next: Offset,
    /// Encoded state.
    pub payload: Vec<u8>,
}

impl Snapshot {
    /// Encodes the state of a ledger shard.
    pub fn of_shard(state: &ShardState) -> Self {
        Self { next: state.next, payload: ShardStateMessage::from(state).encode_to_vec() }
    }

    /// Encodes the state of all environments.
    pub fn of_environments(state: &EnvironmentsState) -> Self {
        Self { next: state.next, payload: EnvironmentsStateMessage::from(state).encode_to_vec() }
    }

    /// Decodes the state of a ledger shard.
    pub fn shard(&self) -> Result<ShardState, RecordError> {
        Ok(ShardStateMessage::decode(self.payload.as_slice())?.try_into()?)
    }

    /// Decodes the state of all environments.
    pub fn environments(&self) -> Result<EnvironmentsState, RecordError> {
        Ok(EnvironmentsStateMessage::decode(self.payload.as_slice())?.try_into()?)
    }

    /// Splits the snapshot into encoded chunk records; a random `id` tells the chunks of two writers apart.
    pub fn chunks(&self, id: u64) -> Vec<Vec<u8>> {
        let digest = xxh3_64(&self.payload);
        let pieces: Vec<&[u8]> = match self.payload.as_slice() {
            [] => vec![&[]],
            payload => payload.chunks(CHUNK_MAX_BYTES - CHUNK_OVERHEAD_BYTES).collect(),
        };
        let count = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
        let chunk = |(index, piece): (u32, &[u8])| {
            encode_record(&ChunkMessage { id, next: self.next.0, index, count, digest, payload: piece.to_vec() })
        };
        (0..).zip(pieces).map(chunk).collect()
    }
}

#[derive(Debug)]
struct IncompleteSnapshot {
    next: u64,
    count: u32,
    digest: u64,
    /// Payloads received so far, by chunk index.
    payloads: BTreeMap<u32, Vec<u8>>,
}

/// Assembles snapshots from chunks that arrive in any order.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    incomplete: BTreeMap<u64, IncompleteSnapshot>,
}

impl SnapshotAssembler {
    /// Adds one chunk record and returns the snapshot that it completes.
    ///
    /// Fails on a damaged record, and on a complete snapshot whose payload does not match its digest.
    pub fn add(&mut self, bytes: &[u8]) -> Result<Option<Snapshot>, RecordError> {
        let ChunkMessage { id, next, index, count, digest, payload } = ChunkMessage::decode(check_record(bytes)?)?;
        if index >= count || count > CHUNKS_MAX {
            return Err(RecordError::Convert(ConvertError::Missing("part")));
        }
        let empty = || IncompleteSnapshot { next, count, digest, payloads: BTreeMap::new() };
        let snapshot = self.incomplete.entry(id).or_insert_with(empty);
        // Chunks of two snapshots whose writers drew the same id are never combined.
        if (snapshot.next, snapshot.count, snapshot.digest) != (next, count, digest) {
            *snapshot = empty();
        }
        snapshot.payloads.insert(index, payload);
        let is_complete = snapshot.payloads.len() == count as usize;
        if !is_complete {
            self.drop_oldest();
            return Ok(None);
        }
        let payloads = self.incomplete.remove(&id).map(|snapshot| snapshot.payloads).unwrap_or_default();
        let payload: Vec<u8> = payloads.into_values().flatten().collect();
        match xxh3_64(&payload) == digest {
            true => Ok(Some(Snapshot { next: Offset(next), payload })),
            false => Err(RecordError::ChecksumMismatch),
        }
    }

    fn drop_oldest(&mut self) {
        if self.incomplete.len() <= INCOMPLETE_MAX {
            return;
        }
        let oldest = self.incomplete.iter().min_by_key(|(_, snapshot)| snapshot.next).map(|(id, _)| *id);
        oldest.map(|id| self.incomplete.remove(&id));
    }
}

#[derive(Clone, PartialEq, Eq, Message)]
struct HoldingMessage {
    #[prost(message, optional, tag = "1")]
    holder: Option<m::IncarnationMessage>,
    #[prost(uint64, tag = "2")]
    outstanding: u64,
    #[prost(bool, tag = "3")]
    closed: bool,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct BudgetMessage {
    #[prost(message, optional, tag = "1")]
    key: Option<m::BudgetKeyMessage>,
    #[prost(uint64, tag = "2")]
    topped_up: u64,
    #[prost(uint64, tag = "3")]
    free: u64,
    #[prost(uint64, tag = "4")]
    spent: u64,
    #[prost(uint64, tag = "5")]
    overspent: u64,
    #[prost(uint64, tag = "6")]
    shortfall: u64,
    #[prost(message, repeated, tag = "7")]
    holdings: Vec<HoldingMessage>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct AttemptMessage {
    #[prost(message, optional, tag = "1")]
    key: Option<m::AttemptKeyMessage>,
    #[prost(fixed64, tag = "2")]
    digest: u64,
    #[prost(oneof = "AttemptStateKind", tags = "3, 4, 5")]
    kind: Option<AttemptStateKind>,
}

#[derive(Clone, PartialEq, Eq, Oneof)]
enum AttemptStateKind {
    #[prost(message, tag = "3")]
    Claimed(m::IncarnationMessage),
    #[prost(message, tag = "4")]
    Ended(OutcomeMessage),
    #[prost(bool, tag = "5")]
    Renounced(bool),
}

#[derive(Clone, PartialEq, Eq, Message)]
struct OutcomeMessage {
    /// HTTP status of the response; 0 when the outcome is unknown.
    #[prost(uint32, tag = "1")]
    status: u32,
    #[prost(bytes = "vec", tag = "2")]
    body: Vec<u8>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct HolderSequenceMessage {
    #[prost(message, optional, tag = "1")]
    holder: Option<m::IncarnationMessage>,
    #[prost(uint64, tag = "2")]
    sequence: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct ShardStateMessage {
    #[prost(uint64, tag = "1")]
    next: u64,
    #[prost(message, repeated, tag = "2")]
    budgets: Vec<BudgetMessage>,
    #[prost(string, repeated, tag = "3")]
    billed: Vec<String>,
    #[prost(string, repeated, tag = "4")]
    applied: Vec<String>,
    #[prost(message, repeated, tag = "5")]
    attempts: Vec<AttemptMessage>,
    #[prost(message, repeated, tag = "6")]
    attempts_closed: Vec<m::IncarnationMessage>,
    #[prost(message, repeated, tag = "7")]
    sequences: Vec<HolderSequenceMessage>,
    #[prost(message, repeated, tag = "8")]
    closed: Vec<m::IncarnationMessage>,
}

impl From<&ShardState> for ShardStateMessage {
    fn from(state: &ShardState) -> Self {
        let ShardState { ledger, attempts, next, sequences, closed } = state;
        let LedgerState { budgets, billed, applied } = ledger;
        let AttemptTableState { attempts, closed: attempts_closed } = attempts;
        let sequence = |(holder, sequence): (&Incarnation, &u64)| HolderSequenceMessage {
            holder: Some(holder.into()),
            sequence: *sequence,
        };
        Self {
            next: next.0,
            budgets: budgets.iter().map(|(key, budget)| budget_message(key, budget)).collect(),
            billed: billed.iter().map(ToString::to_string).collect(),
            applied: applied.iter().map(ToString::to_string).collect(),
            attempts: attempts.iter().map(|(key, attempt)| attempt_message(key, attempt)).collect(),
            attempts_closed: attempts_closed.iter().map(Into::into).collect(),
            sequences: sequences.iter().map(sequence).collect(),
            closed: closed.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<ShardStateMessage> for ShardState {
    type Error = ConvertError;

    fn try_from(message: ShardStateMessage) -> Result<Self, ConvertError> {
        let ledger = LedgerState {
            budgets: message.budgets.into_iter().map(budget_state).collect::<Result<_, _>>()?,
            billed: message.billed.into_iter().map(RecordId::from).collect(),
            applied: message.applied.into_iter().map(RecordId::from).collect(),
        };
        let attempts = AttemptTableState {
            attempts: message.attempts.into_iter().map(attempt_state).collect::<Result<_, _>>()?,
            closed: message.attempts_closed.into_iter().map(Into::into).collect(),
        };
        let sequences =
            message.sequences.into_iter().map(|entry| Ok((required(entry.holder, "holder")?.into(), entry.sequence)));
        Ok(Self {
            ledger,
            attempts,
            next: Offset(message.next),
            sequences: sequences.collect::<Result<_, ConvertError>>()?,
            closed: message.closed.into_iter().map(Into::into).collect(),
        })
    }
}

fn budget_message(key: &BudgetKey, budget: &Budget) -> BudgetMessage {
    let Budget { topped_up, free, spent, overspent, shortfall, holdings } = budget;
    let holding = |(holder, holding): (&Incarnation, &Holding)| {
        let Holding { outstanding, closed } = *holding;
        HoldingMessage { holder: Some(holder.into()), outstanding: outstanding.0, closed }
    };
    BudgetMessage {
        key: Some(key.into()),
        topped_up: topped_up.0,
        free: free.0,
        spent: spent.0,
        overspent: overspent.0,
        shortfall: shortfall.0,
        holdings: holdings.iter().map(holding).collect(),
    }
}

fn budget_state(message: BudgetMessage) -> Result<(BudgetKey, Budget), ConvertError> {
    let holdings = message.holdings.into_iter().map(|holding| {
        let HoldingMessage { holder, outstanding, closed } = holding;
        Ok((required(holder, "holder")?.into(), Holding { outstanding: Tokens(outstanding), closed }))
    });
    let budget = Budget {
        topped_up: Tokens(message.topped_up),
        free: Tokens(message.free),
        spent: Tokens(message.spent),
        overspent: Tokens(message.overspent),
        shortfall: Tokens(message.shortfall),
        holdings: holdings.collect::<Result<_, ConvertError>>()?,
    };
    Ok((required(message.key, "budget")?.into(), budget))
}

fn attempt_message(key: &AttemptKey, attempt: &Attempt) -> AttemptMessage {
    let Attempt { digest, state } = attempt;
    let kind = match state {
        AttemptState::Claimed { owner } => AttemptStateKind::Claimed(owner.into()),
        AttemptState::Ended { outcome: AttemptOutcome::Answered { status, body } } => {
            AttemptStateKind::Ended(OutcomeMessage { status: u32::from(*status), body: body.to_vec() })
        }
        AttemptState::Ended { outcome: AttemptOutcome::Unknown } => {
            AttemptStateKind::Ended(OutcomeMessage { status: 0, body: Vec::new() })
        }
        AttemptState::Renounced => AttemptStateKind::Renounced(true),
    };
    AttemptMessage { key: Some(key.into()), digest: *digest, kind: Some(kind) }
}

fn attempt_state(message: AttemptMessage) -> Result<(AttemptKey, Attempt), ConvertError> {
    let state = match required(message.kind, "state")? {
        AttemptStateKind::Claimed(owner) => AttemptState::Claimed { owner: owner.into() },
        AttemptStateKind::Renounced(_) => AttemptState::Renounced,
        AttemptStateKind::Ended(OutcomeMessage { status: 0, .. }) => {
            AttemptState::Ended { outcome: AttemptOutcome::Unknown }
        }
        AttemptStateKind::Ended(OutcomeMessage { status, body }) => {
            let status = u16::try_from(status).map_err(|_out_of_range| ConvertError::StatusOutOfRange)?;
            AttemptState::Ended { outcome: AttemptOutcome::Answered { status, body: Arc::from(body) } }
        }
    };
    Ok((required(message.key, "attempt")?.try_into()?, Attempt { digest: message.digest, state }))
}

#[derive(Clone, PartialEq, Eq, Message)]
struct EnvironmentMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(string, tag = "3")]
    trial: String,
    /// Text of the document in production; absent when none is, or when it equals the one in trial.
    #[prost(string, optional, tag = "4")]
    production: Option<String>,
    /// True when the document in production is the one in trial.
    #[prost(bool, tag = "5")]
    is_promoted: bool,
    #[prost(string, tag = "6")]
    operator: String,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct ChangeMessage {
    #[prost(uint64, tag = "1")]
    offset: u64,
    #[prost(string, tag = "2")]
    id: String,
    #[prost(string, tag = "3")]
    environment: String,
    #[prost(bool, tag = "4")]
    promote: bool,
    #[prost(uint64, tag = "5")]
    expected: u64,
    #[prost(string, tag = "6")]
    operator: String,
    #[prost(oneof = "ChangeOutcomeKind", tags = "7, 8, 9")]
    outcome: Option<ChangeOutcomeKind>,
}

#[derive(Clone, PartialEq, Eq, Oneof)]
enum ChangeOutcomeKind {
    #[prost(uint64, tag = "7")]
    InForce(u64),
    #[prost(message, tag = "8")]
    Lost(LostChangeMessage),
    #[prost(bool, tag = "9")]
    Invalid(bool),
}

#[derive(Clone, PartialEq, Eq, Message)]
struct LostChangeMessage {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(string, tag = "2")]
    operator: String,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct EnvironmentsStateMessage {
    #[prost(uint64, tag = "1")]
    next: u64,
    #[prost(message, repeated, tag = "2")]
    current: Vec<EnvironmentMessage>,
    #[prost(message, repeated, tag = "3")]
    history: Vec<ChangeMessage>,
}

impl From<&EnvironmentsState> for EnvironmentsStateMessage {
    fn from(state: &EnvironmentsState) -> Self {
        let EnvironmentsState { current, history, next } = state;
        Self {
            next: next.0,
            current: current.iter().map(|(name, environment)| environment_message(name, environment)).collect(),
            history: history.iter().map(change_message).collect(),
        }
    }
}

impl TryFrom<EnvironmentsStateMessage> for EnvironmentsState {
    type Error = ConvertError;

    fn try_from(message: EnvironmentsStateMessage) -> Result<Self, ConvertError> {
        Ok(Self {
            current: message.current.into_iter().map(environment_state).collect::<Result<_, _>>()?,
            history: message.history.into_iter().map(change_state).collect::<Result<_, _>>()?,
            next: Offset(message.next),
        })
    }
}

fn environment_message(name: &EnvironmentName, environment: &Environment) -> EnvironmentMessage {
    let Environment { version, trial, production, operator } = environment;
    let is_promoted = production.as_ref() == Some(trial);
    let production = production.as_ref().filter(|_| !is_promoted).map(|document| document.text.to_string());
    let (trial, operator) = (trial.text.to_string(), operator.to_string());
    EnvironmentMessage { name: name.to_string(), version: *version, trial, production, is_promoted, operator }
}

fn environment_state(message: EnvironmentMessage) -> Result<(EnvironmentName, Environment), ConvertError> {
    let parse = |text: &str| Document::parse(text).map(Arc::new).map_err(|_faults| ConvertError::InvalidDocument);
    let trial = parse(&message.trial)?;
    let production = match message.production {
        None if message.is_promoted => Some(Arc::clone(&trial)),
        None => None,
        Some(text) => Some(parse(&text)?),
    };
    let operator = Arc::from(message.operator);
    Ok((message.name.into(), Environment { version: message.version, trial, production, operator }))
}

fn change_message(change: &Change) -> ChangeMessage {
    let Change { offset, id, environment, kind, expected, operator, outcome } = change;
    let outcome = match outcome {
        ChangeOutcome::InForce(version) => Some(ChangeOutcomeKind::InForce(*version)),
        ChangeOutcome::Lost { version, operator } => {
            Some(ChangeOutcomeKind::Lost(LostChangeMessage { version: *version, operator: operator.to_string() }))
        }
        ChangeOutcome::Invalid => Some(ChangeOutcomeKind::Invalid(true)),
        ChangeOutcome::Repeated => None,
    };
    ChangeMessage {
        offset: offset.0,
        id: id.to_string(),
        environment: environment.to_string(),
        promote: *kind == ChangeKind::Promote,
        expected: *expected,
        operator: operator.to_string(),
        outcome,
    }
}

fn change_state(message: ChangeMessage) -> Result<Change, ConvertError> {
    let outcome = match required(message.outcome, "outcome")? {
        ChangeOutcomeKind::InForce(version) => ChangeOutcome::InForce(version),
        ChangeOutcomeKind::Lost(LostChangeMessage { version, operator }) => {
            ChangeOutcome::Lost { version, operator: Arc::from(operator) }
        }
        ChangeOutcomeKind::Invalid(_) => ChangeOutcome::Invalid,
    };
    Ok(Change {
        offset: Offset(message.offset),
        id: message.id.into(),
        environment: message.environment.into(),
        kind: if message.promote { ChangeKind::Promote } else { ChangeKind::Trial },
        expected: message.expected,
        operator: Arc::from(message.operator),
        outcome,
    })
}
