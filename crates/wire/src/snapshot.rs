//! Snapshots of the folds: encoded whole, cut into chunks that are log records of their own.
//!
//! Any instance may write a snapshot at any time, since equal offsets mean equal states. A reader takes
//! the newest one of which every chunk arrived undamaged. See `docs/ENVIRONMENTS.md#snapshots`.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootpick_core::attempts::{Attempt, AttemptState, AttemptTableState};
use coltsfootpick_core::document::Document;
use coltsfootpick_core::environments::{Change, ChangeKind, Environment, EnvironmentOutcome, EnvironmentsState};
use coltsfootpick_core::ledger::{Budget, Holding, LedgerState};
use coltsfootpick_core::names::{BudgetKey, EnvironmentName, Incarnation, RecordId};
use coltsfootpick_core::record::{AttemptKey, AttemptOutcome};
use coltsfootpick_core::shard::ShardState;
use coltsfootpick_core::units::{Offset, Tokens};
use prost::{Message, Oneof};
use xxhash_rust::xxh3::xxh3_64;

use crate::convert::{ConvertError, part};
use crate::envelope::{RecordError, open, seal};
use crate::messages as m;

/// Largest chunk record, in bytes.
pub const CHUNK_MAX_BYTES: usize = 256 << 10;

/// Room for the header fields of a chunk and its envelope.
const CHUNK_HEADER_BYTES: usize = 256;

/// Most chunks of one snapshot that a reader takes, which bounds its memory.
pub const PARTS_MAX: u32 = 1_024;

/// Unfinished snapshots that a reader keeps; the oldest is dropped first.
const PARTIAL_MAX: usize = 8;

/// Part of a snapshot as one log record.
#[derive(Clone, PartialEq, Eq, Message)]
struct Chunk {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(uint64, tag = "2")]
    next: u64,
    #[prost(uint32, tag = "3")]
    part: u32,
    #[prost(uint32, tag = "4")]
    parts: u32,
    #[prost(fixed64, tag = "5")]
    digest: u64,
    #[prost(bytes = "vec", tag = "6")]
    payload: Vec<u8>,
}

/// Encoded state of a fold up to an offset.
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
        Self { next: state.next, payload: ShardMessage::from(state).encode_to_vec() }
    }

    /// Encodes the state of the environments.
    pub fn of_environments(state: &EnvironmentsState) -> Self {
        Self { next: state.next, payload: EnvironmentsMessage::from(state).encode_to_vec() }
    }

    /// Decodes the state of a ledger shard.
    pub fn shard(&self) -> Result<ShardState, RecordError> {
        Ok(ShardMessage::decode(self.payload.as_slice())?.try_into()?)
    }

    /// Decodes the state of the environments.
    pub fn environments(&self) -> Result<EnvironmentsState, RecordError> {
        Ok(EnvironmentsMessage::decode(self.payload.as_slice())?.try_into()?)
    }

    /// Cuts the snapshot into log records; `id` tells the chunks of two writers apart.
    pub fn chunks(&self, id: u64) -> Vec<Vec<u8>> {
        let digest = xxh3_64(&self.payload);
        let pieces: Vec<&[u8]> = match self.payload.as_slice() {
            [] => vec![&[]],
            payload => payload.chunks(CHUNK_MAX_BYTES - CHUNK_HEADER_BYTES).collect(),
        };
        let parts = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
        let chunk = |(part, piece): (u32, &[u8])| {
            seal(&Chunk { id, next: self.next.0, part, parts, digest, payload: piece.to_vec() })
        };
        (0..).zip(pieces).map(chunk).collect()
    }
}

#[derive(Debug)]
struct Partial {
    next: u64,
    parts: u32,
    digest: u64,
    pieces: BTreeMap<u32, Vec<u8>>,
}

/// Collects chunks in any order until snapshots are whole.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    partial: BTreeMap<u64, Partial>,
}

impl SnapshotAssembler {
    /// Takes one record in and returns the snapshot that it completes.
    pub fn take_in(&mut self, bytes: &[u8]) -> Result<Option<Snapshot>, RecordError> {
        let Chunk { id, next, part, parts, digest, payload } = Chunk::decode(open(bytes)?)?;
        if part >= parts || parts > PARTS_MAX {
            return Err(RecordError::Convert(ConvertError::Missing("part")));
        }
        let fresh = || Partial { next, parts, digest, pieces: BTreeMap::new() };
        let partial = self.partial.entry(id).or_insert_with(fresh);
        if (partial.next, partial.parts, partial.digest) != (next, parts, digest) {
            *partial = fresh();
        }
        partial.pieces.insert(part, payload);
        let is_whole = partial.pieces.len() == parts as usize;
        if !is_whole {
            self.drop_oldest();
            return Ok(None);
        }
        let pieces = self.partial.remove(&id).map(|partial| partial.pieces).unwrap_or_default();
        let payload: Vec<u8> = pieces.into_values().flatten().collect();
        match xxh3_64(&payload) == digest {
            true => Ok(Some(Snapshot { next: Offset(next), payload })),
            false => Err(RecordError::Checksum),
        }
    }

    fn drop_oldest(&mut self) {
        if self.partial.len() <= PARTIAL_MAX {
            return;
        }
        let oldest = self.partial.iter().min_by_key(|(_, partial)| partial.next).map(|(id, _)| *id);
        oldest.map(|id| self.partial.remove(&id));
    }
}

#[derive(Clone, PartialEq, Eq, Message)]
struct HoldingMessage {
    #[prost(message, optional, tag = "1")]
    holder: Option<m::Incarnation>,
    #[prost(uint64, tag = "2")]
    outstanding: u64,
    #[prost(bool, tag = "3")]
    closed: bool,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct AccountMessage {
    #[prost(message, optional, tag = "1")]
    key: Option<m::BudgetKey>,
    #[prost(uint64, tag = "2")]
    topped: u64,
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
    key: Option<m::AttemptKey>,
    #[prost(fixed64, tag = "2")]
    digest: u64,
    #[prost(oneof = "AttemptKind", tags = "3, 4, 5")]
    kind: Option<AttemptKind>,
}

#[derive(Clone, PartialEq, Eq, Oneof)]
enum AttemptKind {
    #[prost(message, tag = "3")]
    Claimed(m::Incarnation),
    #[prost(message, tag = "4")]
    Ended(EndMessage),
    #[prost(bool, tag = "5")]
    Renounced(bool),
}

#[derive(Clone, PartialEq, Eq, Message)]
struct EndMessage {
    #[prost(uint32, tag = "1")]
    status: u32,
    #[prost(bytes = "vec", tag = "2")]
    body: Vec<u8>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct SequenceMessage {
    #[prost(message, optional, tag = "1")]
    holder: Option<m::Incarnation>,
    #[prost(uint64, tag = "2")]
    sequence: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct ShardMessage {
    #[prost(uint64, tag = "1")]
    next: u64,
    #[prost(message, repeated, tag = "2")]
    accounts: Vec<AccountMessage>,
    #[prost(string, repeated, tag = "3")]
    billed: Vec<String>,
    #[prost(string, repeated, tag = "4")]
    applied: Vec<String>,
    #[prost(message, repeated, tag = "5")]
    attempts: Vec<AttemptMessage>,
    #[prost(message, repeated, tag = "6")]
    attempts_closed: Vec<m::Incarnation>,
    #[prost(message, repeated, tag = "7")]
    sequences: Vec<SequenceMessage>,
    #[prost(message, repeated, tag = "8")]
    closed: Vec<m::Incarnation>,
}

impl From<&ShardState> for ShardMessage {
    fn from(state: &ShardState) -> Self {
        let ShardState { ledger, attempts, next, sequences, closed } = state;
        let LedgerState { budgets, billed, applied } = ledger;
        let AttemptTableState { attempts, closed: attempts_closed } = attempts;
        let sequence = |(holder, sequence): (&Incarnation, &u64)| SequenceMessage {
            holder: Some(holder.into()),
            sequence: *sequence,
        };
        Self {
            next: next.0,
            accounts: budgets.iter().map(|(key, budget)| account_message(key, budget)).collect(),
            billed: billed.iter().map(ToString::to_string).collect(),
            applied: applied.iter().map(ToString::to_string).collect(),
            attempts: attempts.iter().map(|(key, attempt)| attempt_message(key, attempt)).collect(),
            attempts_closed: attempts_closed.iter().map(Into::into).collect(),
            sequences: sequences.iter().map(sequence).collect(),
            closed: closed.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<ShardMessage> for ShardState {
    type Error = ConvertError;

    fn try_from(message: ShardMessage) -> Result<Self, ConvertError> {
        let ledger = LedgerState {
            budgets: message.accounts.into_iter().map(account_state).collect::<Result<_, _>>()?,
            billed: message.billed.into_iter().map(RecordId::from).collect(),
            applied: message.applied.into_iter().map(RecordId::from).collect(),
        };
        let attempts = AttemptTableState {
            attempts: message.attempts.into_iter().map(attempt_state).collect::<Result<_, _>>()?,
            closed: message.attempts_closed.into_iter().map(Into::into).collect(),
        };
        let sequences =
            message.sequences.into_iter().map(|entry| Ok((part(entry.holder, "holder")?.into(), entry.sequence)));
        Ok(Self {
            ledger,
            attempts,
            next: Offset(message.next),
            sequences: sequences.collect::<Result<_, ConvertError>>()?,
            closed: message.closed.into_iter().map(Into::into).collect(),
        })
    }
}

fn account_message(key: &BudgetKey, budget: &Budget) -> AccountMessage {
    let Budget { topped_up, free, spent, overspent, shortfall, holdings } = budget;
    let holding = |(holder, holding): (&Incarnation, &Holding)| {
        let Holding { outstanding, closed } = *holding;
        HoldingMessage { holder: Some(holder.into()), outstanding: outstanding.0, closed }
    };
    AccountMessage {
        key: Some(key.into()),
        topped: topped_up.0,
        free: free.0,
        spent: spent.0,
        overspent: overspent.0,
        shortfall: shortfall.0,
        holdings: holdings.iter().map(holding).collect(),
    }
}

fn account_state(message: AccountMessage) -> Result<(BudgetKey, Budget), ConvertError> {
    let holdings = message.holdings.into_iter().map(|holding| {
        let HoldingMessage { holder, outstanding, closed } = holding;
        Ok((part(holder, "holder")?.into(), Holding { outstanding: Tokens(outstanding), closed }))
    });
    let budget = Budget {
        topped_up: Tokens(message.topped),
        free: Tokens(message.free),
        spent: Tokens(message.spent),
        overspent: Tokens(message.overspent),
        shortfall: Tokens(message.shortfall),
        holdings: holdings.collect::<Result<_, ConvertError>>()?,
    };
    Ok((part(message.key, "budget")?.into(), budget))
}

fn attempt_message(key: &AttemptKey, attempt: &Attempt) -> AttemptMessage {
    let Attempt { digest, state } = attempt;
    let kind = match state {
        AttemptState::Claimed { owner } => AttemptKind::Claimed(owner.into()),
        AttemptState::Ended { outcome: AttemptOutcome::Answered { status, body } } => {
            AttemptKind::Ended(EndMessage { status: u32::from(*status), body: body.to_vec() })
        }
        AttemptState::Ended { outcome: AttemptOutcome::Unknown } => {
            AttemptKind::Ended(EndMessage { status: 0, body: Vec::new() })
        }
        AttemptState::Renounced => AttemptKind::Renounced(true),
    };
    AttemptMessage { key: Some(key.into()), digest: *digest, kind: Some(kind) }
}

fn attempt_state(message: AttemptMessage) -> Result<(AttemptKey, Attempt), ConvertError> {
    let state = match part(message.kind, "state")? {
        AttemptKind::Claimed(owner) => AttemptState::Claimed { owner: owner.into() },
        AttemptKind::Renounced(_) => AttemptState::Renounced,
        AttemptKind::Ended(EndMessage { status: 0, .. }) => AttemptState::Ended { outcome: AttemptOutcome::Unknown },
        AttemptKind::Ended(EndMessage { status, body }) => {
            let status = u16::try_from(status).map_err(|_out_of_range| ConvertError::Status)?;
            AttemptState::Ended { outcome: AttemptOutcome::Answered { status, body: Arc::from(body) } }
        }
    };
    Ok((part(message.key, "attempt")?.try_into()?, Attempt { digest: message.digest, state }))
}

#[derive(Clone, PartialEq, Eq, Message)]
struct EnvironmentMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(string, tag = "3")]
    trial: String,
    /// Absent while nothing is in production.
    #[prost(string, optional, tag = "4")]
    production: Option<String>,
    /// True when the document in production is the one in trial, which is then written once.
    #[prost(bool, tag = "5")]
    same: bool,
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
    #[prost(oneof = "OutcomeKind", tags = "7, 8, 9")]
    outcome: Option<OutcomeKind>,
}

#[derive(Clone, PartialEq, Eq, Oneof)]
enum OutcomeKind {
    #[prost(uint64, tag = "7")]
    InForce(u64),
    #[prost(message, tag = "8")]
    Lost(LostMessage),
    #[prost(bool, tag = "9")]
    Invalid(bool),
}

#[derive(Clone, PartialEq, Eq, Message)]
struct LostMessage {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(string, tag = "2")]
    operator: String,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct EnvironmentsMessage {
    #[prost(uint64, tag = "1")]
    next: u64,
    #[prost(message, repeated, tag = "2")]
    current: Vec<EnvironmentMessage>,
    #[prost(message, repeated, tag = "3")]
    history: Vec<ChangeMessage>,
}

impl From<&EnvironmentsState> for EnvironmentsMessage {
    fn from(state: &EnvironmentsState) -> Self {
        let EnvironmentsState { current, history, next } = state;
        Self {
            next: next.0,
            current: current.iter().map(|(name, known)| environment_message(name, known)).collect(),
            history: history.iter().map(change_message).collect(),
        }
    }
}

impl TryFrom<EnvironmentsMessage> for EnvironmentsState {
    type Error = ConvertError;

    fn try_from(message: EnvironmentsMessage) -> Result<Self, ConvertError> {
        Ok(Self {
            current: message.current.into_iter().map(environment_state).collect::<Result<_, _>>()?,
            history: message.history.into_iter().map(change_state).collect::<Result<_, _>>()?,
            next: Offset(message.next),
        })
    }
}

fn environment_message(name: &EnvironmentName, known: &Environment) -> EnvironmentMessage {
    let Environment { version, trial, production, operator } = known;
    let same = production.as_ref() == Some(trial);
    let production = production.as_ref().filter(|_| !same).map(|document| document.text.to_string());
    let (trial, operator) = (trial.text.to_string(), operator.to_string());
    EnvironmentMessage { name: name.to_string(), version: *version, trial, production, same, operator }
}

fn environment_state(message: EnvironmentMessage) -> Result<(EnvironmentName, Environment), ConvertError> {
    let read = |text: &str| Document::parse(text).map(Arc::new).map_err(|_faults| ConvertError::Document);
    let trial = read(&message.trial)?;
    let production = match message.production {
        None if message.same => Some(Arc::clone(&trial)),
        None => None,
        Some(text) => Some(read(&text)?),
    };
    let operator = Arc::from(message.operator);
    Ok((message.name.into(), Environment { version: message.version, trial, production, operator }))
}

fn change_message(change: &Change) -> ChangeMessage {
    let Change { offset, id, environment, kind, expected, operator, outcome } = change;
    let outcome = match outcome {
        EnvironmentOutcome::InForce(version) => Some(OutcomeKind::InForce(*version)),
        EnvironmentOutcome::Lost { version, operator } => {
            Some(OutcomeKind::Lost(LostMessage { version: *version, operator: operator.to_string() }))
        }
        EnvironmentOutcome::Invalid => Some(OutcomeKind::Invalid(true)),
        EnvironmentOutcome::Repeated => None,
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
    let outcome = match part(message.outcome, "outcome")? {
        OutcomeKind::InForce(version) => EnvironmentOutcome::InForce(version),
        OutcomeKind::Lost(LostMessage { version, operator }) => {
            EnvironmentOutcome::Lost { version, operator: Arc::from(operator) }
        }
        OutcomeKind::Invalid(_) => EnvironmentOutcome::Invalid,
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
