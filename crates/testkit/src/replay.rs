//! Replays recorded traces into new core state in simulated time and compares each outcome that a trace states.
//!
//! The format is described in `docs/TRACES.md`.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootpick_core::attempts::AttemptStatus;
use coltsfootpick_core::blackboard::Blackboard;
use coltsfootpick_core::environments::Environments;
use coltsfootpick_core::ledger::Budget;
use coltsfootpick_core::names::{EnvironmentName, Incarnation, InstanceName};
use coltsfootpick_core::record::{
    AttemptKey, AttemptOutcome, Batch, Close, EnvironmentRecord, Promote, Publish, Release, ShardRecord, TopUp,
};
use coltsfootpick_core::shard::ShardIndex;
use coltsfootpick_core::shard_credit::{Reservation, ReserveOutcome, Ticket};
use coltsfootpick_core::trace::{
    BudgetText, HEADER, LogState, NO_BODY, Step, TraceError, TraceLine, claim_word, reserve_word,
};
use coltsfootpick_core::units::{Instant, Offset};
use coltsfootpick_wire::envelope::{
    batches_digest, decode_environment, decode_shard, encode_environment, encode_shard,
};
use derive_more::{Display, Error};

/// Error of a trace that cannot be replayed or that states an outcome other than the replay's.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReplayError {
    /// The first line is not the header.
    #[display("the first line must be \"{HEADER}\"")]
    Header,
    /// A line is not a valid trace line.
    #[display("line {line}: {error}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// Error in the line.
        error: TraceError,
    },
    /// A step cannot be run: it refers to something that does not exist, or its data is malformed.
    #[display("line {line}: {reason}")]
    InvalidStep {
        /// Number of the line, from 1.
        line: usize,
        /// Why the step cannot be run.
        reason: &'static str,
    },
    /// A step has another outcome in the replay than the trace states.
    #[display("line {line}: stated {stated:?}, seen {actual:?}")]
    Outcome {
        /// Number of the line, from 1.
        line: usize,
        /// Outcome that the trace states.
        stated: String,
        /// Actual outcome of the replay.
        actual: String,
    },
}

#[derive(Debug)]
struct ReplayedInstance {
    board: Blackboard,
    log: LogState,
    reservations: BTreeMap<Ticket, Reservation>,
}

/// State of a replayed fleet.
#[derive(Default)]
struct Replay {
    instances: BTreeMap<InstanceName, ReplayedInstance>,
    /// Holders of crashed instances by shard.
    past_holders: BTreeMap<InstanceName, Vec<Incarnation>>,
    streams: BTreeMap<String, Vec<Vec<u8>>>,
    shards: u32,
    last_run: u64,
}

/// Counts of a successful replay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplaySummary {
    /// Number of replayed steps.
    pub steps: usize,
    /// Number of outcomes that were compared.
    pub outcomes: usize,
}

/// Replays a complete trace.
pub fn replay(text: &str) -> Result<ReplaySummary, ReplayError> {
    let mut lines = (1..).zip(text.lines());
    if lines.next().is_none_or(|(_, first)| first.trim() != HEADER) {
        return Err(ReplayError::Header);
    }
    let mut replay = Replay { shards: 1, ..Replay::default() };
    let mut summary = ReplaySummary::default();
    for (number, text) in lines.filter(|(_, text)| !text.trim().is_empty() && !text.starts_with('#')) {
        let line: TraceLine = text.parse().map_err(|error| ReplayError::Line { line: number, error })?;
        let actual = replay.step(&line).map_err(|reason| ReplayError::InvalidStep { line: number, reason })?;
        summary.steps += 1;
        let Some(stated) = line.outcome else { continue };
        if !outcomes_match(&line.step, &actual, &stated) {
            return Err(ReplayError::Outcome { line: number, stated, actual });
        }
        summary.outcomes += 1;
    }
    Ok(summary)
}

/// Compares an outcome with the stated one; for a budget, only the balances that the trace states are compared.
fn outcomes_match(step: &Step, actual: &str, stated: &str) -> bool {
    match step {
        Step::Budget { .. } => stated.split(' ').all(|balance| actual.split(' ').any(|other| other == balance)),
        _ => actual == stated,
    }
}

type StepResult = Result<String, &'static str>;

impl Replay {
    fn step(&mut self, line: &TraceLine) -> StepResult {
        match &line.step {
            Step::Starts { run, shards } => {
                self.start(&line.instance, *run, *shards);
                Ok(String::new())
            }
            Step::Dies => self.crash(&line.instance),
            Step::TopUp { id, budget, tokens } => {
                let operator = Arc::from("trace");
                let top_up = TopUp { id: id.clone(), key: budget.0.clone(), tokens: *tokens, operator };
                Ok(self.append_shard(budget, &ShardRecord::TopUp(top_up)))
            }
            Step::Close { instance } => self.close(instance),
            Step::Release { id, budget, instance } => self.release(id.clone(), budget, instance),
            Step::Publish { id, environment, expected, operator } => {
                let document = Arc::from(minimal_document(environment));
                let (id, environment, operator) = (id.clone(), environment.clone(), Arc::clone(operator));
                let publish = Publish { id, environment, expected: *expected, document, operator };
                Ok(self.append_environment(&EnvironmentRecord::Trial(publish)))
            }
            Step::Promote { id, environment, expected, operator } => {
                let (id, environment, operator) = (id.clone(), environment.clone(), Arc::clone(operator));
                let promote = Promote { id, environment, expected: *expected, operator };
                Ok(self.append_environment(&EnvironmentRecord::Promote(promote)))
            }
            Step::Read => self.read(&line.instance),
            Step::Append => self.append_batches(&line.instance, line.at),
            step => {
                let instance = self.instances.get_mut(&line.instance).ok_or("the instance does not run")?;
                instance.step(step, line.at)
            }
        }
    }

    fn start(&mut self, name: &InstanceName, run: u64, shards: u32) {
        let board = Blackboard::new(&Incarnation { instance: name.clone(), run }, shards);
        let instance = ReplayedInstance { board, log: LogState::Up, reservations: BTreeMap::new() };
        self.shards = shards;
        self.instances.insert(name.clone(), instance);
    }

    fn crash(&mut self, name: &InstanceName) -> StepResult {
        let crashed = self.instances.remove(name).ok_or("the instance does not run")?;
        self.past_holders.insert(name.clone(), crashed.holders());
        Ok(String::new())
    }

    /// Holders of an instance by shard, from its current run or, if it does not run, from its last one.
    fn holders(&self, name: &InstanceName) -> Result<Vec<Incarnation>, &'static str> {
        let running = self.instances.get(name).map(ReplayedInstance::holders);
        running.or_else(|| self.past_holders.get(name).cloned()).ok_or("the instance never ran")
    }

    fn store(&mut self, stream: String, bytes: Vec<u8>) -> String {
        let records = self.streams.entry(stream).or_default();
        records.push(bytes);
        (records.len() - 1).to_string()
    }

    fn append_shard(&mut self, budget: &BudgetText, record: &ShardRecord) -> String {
        self.store(ShardIndex::of(&budget.0, self.shards).stream(), encode_shard(record))
    }

    fn append_environment(&mut self, record: &EnvironmentRecord) -> String {
        self.store(Environments::STREAM.to_owned(), encode_environment(record))
    }

    fn close(&mut self, name: &InstanceName) -> StepResult {
        for (shard, holder) in (0..).map(ShardIndex).zip(self.holders(name)?) {
            let close = Close { holder, closer: Arc::from("trace") };
            self.store(shard.stream(), encode_shard(&ShardRecord::Close(close)));
        }
        Ok(String::new())
    }

    fn release(
        &mut self,
        id: coltsfootpick_core::names::RecordId,
        budget: &BudgetText,
        name: &InstanceName,
    ) -> StepResult {
        let ShardIndex(index) = ShardIndex::of(&budget.0, self.shards);
        let holder = self.holders(name)?.get(index as usize).cloned().ok_or("there is no such shard")?;
        let (operator, reason) = (Arc::from("trace"), Arc::from("trace"));
        let release = Release { id, key: budget.0.clone(), holder, operator, reason };
        Ok(self.append_shard(budget, &ShardRecord::Release(release)))
    }

    fn read(&mut self, name: &InstanceName) -> StepResult {
        let instance = self.instances.get_mut(name).ok_or("the instance does not run")?;
        if instance.log == LogState::Down {
            return Ok("unavailable".to_owned());
        }
        let mut count = 0;
        for (stream, records) in &self.streams {
            let unread = records.iter().zip(0..).skip(instance.next_offset(stream)?);
            for (bytes, offset) in unread {
                self.last_run += 1;
                instance.apply_record(stream, Offset(offset), self.last_run, bytes)?;
                count += 1;
            }
        }
        Ok(count.to_string())
    }

    fn append_batches(&mut self, name: &InstanceName, at: Instant) -> StepResult {
        let instance = self.instances.get_mut(name).ok_or("the instance does not run")?;
        let batches = instance.next_batches(at);
        if instance.log == LogState::Down {
            return Ok("unavailable".to_owned());
        }
        let is_lost = instance.log == LogState::AnswersLost;
        let count = batches.len();
        for (shard, batch) in batches {
            self.store(shard.stream(), encode_shard(&ShardRecord::Batch(batch)));
        }
        Ok(if is_lost { format!("{count} unknown") } else { count.to_string() })
    }
}

impl ReplayedInstance {
    fn holders(&self) -> Vec<Incarnation> {
        self.board.shards.iter().map(|cell| cell.lock().credit.holder().clone()).collect()
    }

    fn step(&mut self, step: &Step, at: Instant) -> StepResult {
        match step {
            Step::Record { stream, offset, next_run, data } => {
                let bytes = hex_bytes(data).ok_or("the record is not hexadecimal")?;
                self.apply_record(stream, *offset, *next_run, &bytes)
            }
            Step::Batch { shard } => Ok(batches_digest(self.shard_batches(*shard, at).into_iter())),
            Step::Reserve { ticket, budget, bound } => {
                let mut cell = self.board.cell(&budget.0).lock();
                let cell = &mut *cell;
                let outcome = cell.credit.reserve(*ticket, &budget.0, *bound, &cell.state.ledger);
                let word = reserve_word(&outcome).to_owned();
                if let ReserveOutcome::Reserved(reservation) = outcome {
                    self.reservations.insert(*ticket, reservation);
                }
                Ok(word)
            }
            Step::GiveUp { ticket, budget } => {
                self.board.cell(&budget.0).lock().credit.cancel_wait(*ticket, &budget.0);
                Ok(String::new())
            }
            Step::Settle { ticket, request, used } => {
                let reservation = self.reservations.remove(ticket).ok_or("nothing is reserved under the ticket")?;
                let sizing = self.board.sizing(&reservation.key);
                let mut cell = self.board.cell(&reservation.key).lock();
                let credit = cell.credit_mut(&reservation.holder).ok_or("the holder is gone")?;
                credit.settle(&reservation, request, *used, at, &sizing);
                Ok(String::new())
            }
            Step::Log(state) => {
                self.log = *state;
                Ok(String::new())
            }
            Step::Budget { budget } => {
                let cell = self.board.cell(&budget.0).lock();
                Ok(cell.state.ledger.budget(&budget.0).map_or_else(|| "none".to_owned(), budget_text))
            }
            Step::Environment { environment } => Ok(self.environment_text(environment)),
            other => self.attempt_step(other),
        }
    }

    fn attempt_step(&mut self, step: &Step) -> StepResult {
        let (budget, key) = match step {
            Step::Claim { budget, key, .. }
            | Step::Claimed { budget, key }
            | Step::Renounce { budget, key }
            | Step::End { budget, key, .. }
            | Step::View { budget, key, .. } => (&budget.0, key),
            _ => return Err("the step belongs to the platform"),
        };
        let attempt = AttemptKey { budget: budget.clone(), key: key.clone() };
        let mut cell = self.board.cell(budget).lock();
        match step {
            Step::Claim { digest, .. } => return Ok(claim_word(Some(cell.claim(&attempt, *digest))).to_owned()),
            Step::Claimed { .. } => return Ok(claim_word(cell.claim_status(&attempt)).to_owned()),
            Step::View { digest, .. } => return Ok(attempt_status_text(&cell.attempt_status(&attempt, *digest))),
            Step::End { status: 0, .. } => cell.end(&attempt, AttemptOutcome::Unknown),
            Step::End { status, body, .. } => {
                let body =
                    if body == NO_BODY { Vec::new() } else { hex_bytes(body).ok_or("the body is not hexadecimal")? };
                cell.end(&attempt, AttemptOutcome::Answered { status: *status, body: Arc::from(body) });
            }
            _ => cell.renounce(&attempt),
        }
        Ok(String::new())
    }

    fn next_offset(&self, stream: &str) -> Result<usize, &'static str> {
        let offset = match shard_index(stream) {
            Some(index) => self.board.shards.get(index).ok_or("there is no such shard")?.lock().state.next,
            None => self.board.environments.read().next,
        };
        usize::try_from(offset.0).map_err(|_too_large| "the offset is too large")
    }

    fn apply_record(&mut self, stream: &str, offset: Offset, run: u64, bytes: &[u8]) -> StepResult {
        match shard_index(stream) {
            Some(index) => {
                let mut cell = self.board.shards.get(index).ok_or("there is no such shard")?.lock();
                match decode_shard(bytes) {
                    Ok(record) => drop(cell.apply(offset, &record, run)),
                    Err(_) => cell.state.skip(offset),
                }
            }
            None => {
                let mut shared = self.board.environments.write();
                let environments = Arc::make_mut(&mut shared);
                match decode_environment(bytes) {
                    Ok(record) => drop(environments.apply(offset, &record)),
                    Err(_) => environments.skip(offset),
                }
            }
        }
        Ok(String::new())
    }

    fn next_batches(&self, at: Instant) -> Vec<(ShardIndex, Batch)> {
        let shards = (0..).map(ShardIndex).take(self.board.shards.len());
        let by_shard = shards.map(|shard| (shard, self.shard_batches(shard, at)));
        by_shard.flat_map(|(shard, batches)| batches.into_iter().map(move |batch| (shard, batch))).collect()
    }

    fn shard_batches(&self, shard: ShardIndex, at: Instant) -> Vec<Batch> {
        let cell = self.board.shards.get(shard.0 as usize);
        cell.map(|cell| cell.lock().next_batches(at, |key| self.board.sizing(key))).unwrap_or_default()
    }

    fn environment_text(&self, name: &EnvironmentName) -> String {
        let environments = Arc::clone(&self.board.environments.read());
        environments.get(name).map_or_else(
            || "none".to_owned(),
            |environment| {
                let stage = if environment.production.is_some() { "production" } else { "trial" };
                format!("version {} by {} in {stage}", environment.version, environment.operator)
            },
        )
    }
}

/// Index of the ledger shard whose records a stream carries, if it carries those of one.
fn shard_index(stream: &str) -> Option<usize> {
    stream.strip_prefix("ledger-")?.parse().ok()
}

fn hex_bytes(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).ok());
    digits.map(|pair| u8::from_str_radix(pair?, 16).ok()).collect()
}

fn budget_text(budget: &Budget) -> String {
    format!(
        "free={} granted={} doubt={} spent={} over={}",
        budget.free,
        budget.outstanding(),
        budget.in_doubt(),
        budget.spent,
        budget.overspent
    )
}

fn attempt_status_text(status: &AttemptStatus) -> String {
    match status {
        AttemptStatus::Unclaimed => "unclaimed".to_owned(),
        AttemptStatus::DifferentCall => "different-call".to_owned(),
        AttemptStatus::InProgress => "in-progress".to_owned(),
        AttemptStatus::OwnerGone => "owner-gone".to_owned(),
        AttemptStatus::Ended(AttemptOutcome::Unknown) => "unknown".to_owned(),
        AttemptStatus::Ended(AttemptOutcome::Answered { status, .. }) => format!("answered {status}"),
    }
}

fn minimal_document(environment: &EnvironmentName) -> String {
    format!("[environment {environment}]\n[service s]\nkind = engine\n")
}
