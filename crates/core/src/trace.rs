//! Trace format: one line per step of an instance, with its recorded or expected outcome.
//!
//! The daemon records traces, and the test kit replays them on a new state. `docs/TRACES.md` describes the format.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};

use crate::names::{BudgetKey, EnvironmentName, IdempotencyKey, InstanceName, RecordId, Stage};
use crate::record::AttemptOutcome;
use crate::shard::ShardIndex;
use crate::shard_credit::{ClaimStatus, ReserveOutcome, Ticket};
use crate::units::{Instant, Offset, Tokens};

/// Header line of a trace.
pub const HEADER: &str = "coltsfootpick trace 1";

/// Word for an empty or discarded body.
pub const NO_BODY: &str = "-";

const NANOS_DIGITS: usize = 9;

/// Line of a trace.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{} {instance} {step}{}", Seconds(at.0), Arrow(outcome.as_deref()))]
pub struct TraceLine {
    /// Time of the step.
    pub at: Instant,
    /// Instance that performs the step; `-` for the platform and operators.
    pub instance: InstanceName,
    /// Step that is performed.
    pub step: Step,
    /// Recorded or expected outcome.
    pub outcome: Option<String>,
}

/// Step of an instance, the platform or an operator.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// A process run of the instance starts.
    #[display("starts {run:x} {shards}")]
    Starts {
        /// Identifier of the run.
        run: u64,
        /// Number of ledger shards.
        shards: u32,
    },
    /// The instance crashes.
    #[display("dies")]
    Dies,
    /// The instance reads a record that comes from the log or another trace.
    #[display("record {stream} {offset} {next_run:x} {data}")]
    Record {
        /// Stream of the record.
        stream: String,
        /// Offset in the stream.
        offset: Offset,
        /// Identifier of the next run, used if the record closes the current one.
        next_run: u64,
        /// Record in hexadecimal.
        data: String,
    },
    /// The instance reads the replayed log to its end.
    #[display("read")]
    Read,
    /// The instance prepares the next batches of a shard; the outcome is their number and digest.
    #[display("batch {shard}")]
    Batch {
        /// Ledger shard.
        shard: ShardIndex,
    },
    /// The instance appends its next batches to the replayed log.
    #[display("append")]
    Append,
    /// A request reserves credit.
    #[display("reserve {ticket} {budget} {bound}")]
    Reserve {
        /// Request number.
        ticket: Ticket,
        /// Budget that is charged.
        budget: BudgetText,
        /// Maximum number of tokens that the request can use.
        bound: Tokens,
    },
    /// A request stops waiting for credit.
    #[display("give-up {ticket} {budget}")]
    GiveUp {
        /// Request number.
        ticket: Ticket,
        /// Budget that was to be charged.
        budget: BudgetText,
    },
    /// A request ends and its use is settled.
    #[display("settle {ticket} {request} {used}")]
    Settle {
        /// Number of the request that reserved the credit.
        ticket: Ticket,
        /// Identifier of the request.
        request: RecordId,
        /// Number of tokens used.
        used: Tokens,
    },
    /// The instance claims an at-most-once call.
    #[display("claim {budget} {key} {digest:x}")]
    Claim {
        /// Budget of the caller.
        budget: BudgetText,
        /// Idempotency key that the caller chose.
        key: IdempotencyKey,
        /// Digest of the call.
        digest: u64,
    },
    /// The instance checks the status of its claim.
    #[display("claimed {budget} {key}")]
    Claimed {
        /// Budget of the caller.
        budget: BudgetText,
        /// Idempotency key that the caller chose.
        key: IdempotencyKey,
    },
    /// The instance gives up a claim.
    #[display("renounce {budget} {key}")]
    Renounce {
        /// Budget of the caller.
        budget: BudgetText,
        /// Idempotency key that the caller chose.
        key: IdempotencyKey,
    },
    /// A dispatched call ends; status 0 means that the outcome is unknown.
    #[display("end {budget} {key} {status} {body}")]
    End {
        /// Budget of the caller.
        budget: BudgetText,
        /// Idempotency key that the caller chose.
        key: IdempotencyKey,
        /// HTTP status.
        status: u16,
        /// Stored body in hexadecimal, or `-` if it is empty.
        body: String,
    },
    /// The instance looks up an attempt.
    #[display("view {budget} {key} {digest:x}")]
    View {
        /// Budget of the caller.
        budget: BudgetText,
        /// Idempotency key that the caller chose.
        key: IdempotencyKey,
        /// Digest of the call.
        digest: u64,
    },
    /// The instance reports the state of a budget.
    #[display("budget {budget}")]
    Budget {
        /// Reported budget.
        budget: BudgetText,
    },
    /// The log, or one instance's connection to it, changes its state.
    #[display("log {_0}")]
    Log(LogState),
    /// A top-up by an operator is appended to the log.
    #[display("top-up {id} {budget} {tokens}")]
    TopUp {
        /// Record id.
        id: RecordId,
        /// Budget that is topped up.
        budget: BudgetText,
        /// Number of tokens bought.
        tokens: Tokens,
    },
    /// An incarnation is closed by a record on the log.
    #[display("close {instance}")]
    Close {
        /// Instance whose current or last run is closed.
        instance: InstanceName,
    },
    /// An operator publishes a small document to the trial stage.
    #[display("publish {id} {environment} {expected} {operator}")]
    Publish {
        /// Record id.
        id: RecordId,
        /// Environment.
        environment: EnvironmentName,
        /// Version expected in force.
        expected: u64,
        /// Operator.
        operator: Arc<str>,
    },
    /// An operator promotes the document of the trial stage to production.
    #[display("promote {id} {environment} {expected} {operator}")]
    Promote {
        /// Record id.
        id: RecordId,
        /// Environment.
        environment: EnvironmentName,
        /// Version expected in force.
        expected: u64,
        /// Operator.
        operator: Arc<str>,
    },
    /// The instance reports the state of an environment.
    #[display("environment {environment}")]
    Environment {
        /// Reported environment.
        environment: EnvironmentName,
    },
    /// A record on the log releases credit in doubt.
    #[display("release {id} {budget} {instance}")]
    Release {
        /// Record id.
        id: RecordId,
        /// Budget that the credit returns to.
        budget: BudgetText,
        /// Instance whose last closed run held the credit.
        instance: InstanceName,
    },
}

/// State of the log, or of one instance's connection to it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum LogState {
    /// Appends and reads succeed.
    Up,
    /// Appends and reads fail without effect.
    Down,
    /// Appends take effect, but their answers are lost.
    #[display("deaf")]
    AnswersLost,
}

/// Budget in the text form `environment/stage/account`.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct BudgetText(pub BudgetKey);

/// Error in a line of a trace.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TraceError {
    /// A word is missing.
    #[display("{_0} is missing")]
    Missing(#[error(not(source))] &'static str),
    /// A word is invalid.
    #[display("{expected} cannot be {found:?}")]
    Invalid {
        /// Expected kind of word.
        expected: &'static str,
        /// Word that was found.
        found: String,
    },
    /// The line has more words than its step.
    #[display("unexpected {_0:?}")]
    Extra(#[error(not(source))] String),
}

/// Writes a duration as seconds with nine decimals.
struct Seconds(Duration);

impl fmt::Display for Seconds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:09}", self.0.as_secs(), self.0.subsec_nanos())
    }
}

/// Writes an outcome with a preceding arrow, or nothing without one.
struct Arrow<'a>(Option<&'a str>);

impl fmt::Display for Arrow<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(outcome) => write!(f, " -> {outcome}"),
            None => Ok(()),
        }
    }
}

impl FromStr for BudgetText {
    type Err = TraceError;

    fn from_str(text: &str) -> Result<Self, TraceError> {
        let invalid = || TraceError::Invalid { expected: "a budget", found: text.to_owned() };
        let mut parts = text.splitn(3, '/');
        let (Some(environment), Some(stage), Some(account)) = (parts.next(), parts.next(), parts.next()) else {
            return Err(invalid());
        };
        let stage = match stage {
            "trial" => Stage::Trial,
            "production" => Stage::Production,
            _ => return Err(invalid()),
        };
        Ok(Self(BudgetKey { environment: environment.into(), stage, account: account.into() }))
    }
}

impl FromStr for LogState {
    type Err = TraceError;

    fn from_str(text: &str) -> Result<Self, TraceError> {
        match text {
            "up" => Ok(Self::Up),
            "down" => Ok(Self::Down),
            "deaf" => Ok(Self::AnswersLost),
            _ => Err(TraceError::Invalid { expected: "up, down or deaf", found: text.to_owned() }),
        }
    }
}

/// Parser over the words of a line.
struct Words<'a>(std::str::SplitWhitespace<'a>);

impl<'a> Words<'a> {
    fn text(&mut self, expected: &'static str) -> Result<&'a str, TraceError> {
        self.0.next().ok_or(TraceError::Missing(expected))
    }

    fn parsed<T: FromStr>(&mut self, expected: &'static str) -> Result<T, TraceError> {
        let found = self.text(expected)?;
        found.parse().map_err(|_invalid| TraceError::Invalid { expected, found: found.to_owned() })
    }

    fn hex(&mut self, expected: &'static str) -> Result<u64, TraceError> {
        let found = self.text(expected)?;
        u64::from_str_radix(found, 16).map_err(|_not_hex| TraceError::Invalid { expected, found: found.to_owned() })
    }

    fn budget(&mut self) -> Result<BudgetText, TraceError> {
        self.text("a budget")?.parse()
    }

    fn key(&mut self) -> Result<IdempotencyKey, TraceError> {
        self.text("a key").map(IdempotencyKey::new)
    }

    fn tokens(&mut self) -> Result<Tokens, TraceError> {
        self.parsed("tokens").map(Tokens)
    }

    fn step(&mut self) -> Result<Step, TraceError> {
        match self.text("a step")? {
            "starts" => Ok(Step::Starts { run: self.hex("a run")?, shards: self.parsed("shards")? }),
            "dies" => Ok(Step::Dies),
            "record" => Ok(Step::Record {
                stream: self.text("a stream")?.to_owned(),
                offset: self.parsed("an offset").map(Offset)?,
                next_run: self.hex("a run")?,
                data: self.text("a record")?.to_owned(),
            }),
            "read" => Ok(Step::Read),
            "batch" => Ok(Step::Batch { shard: self.parsed("a shard").map(ShardIndex)? }),
            "append" => Ok(Step::Append),
            "reserve" => {
                Ok(Step::Reserve { ticket: self.parsed("a ticket")?, budget: self.budget()?, bound: self.tokens()? })
            }
            "give-up" => Ok(Step::GiveUp { ticket: self.parsed("a ticket")?, budget: self.budget()? }),
            "settle" => Ok(Step::Settle {
                ticket: self.parsed("a ticket")?,
                request: self.text("a request")?.into(),
                used: self.tokens()?,
            }),
            "claim" => Ok(Step::Claim { budget: self.budget()?, key: self.key()?, digest: self.hex("a digest")? }),
            "claimed" => Ok(Step::Claimed { budget: self.budget()?, key: self.key()? }),
            "renounce" => Ok(Step::Renounce { budget: self.budget()?, key: self.key()? }),
            "end" => Ok(Step::End {
                budget: self.budget()?,
                key: self.key()?,
                status: self.parsed("a status")?,
                body: self.0.next().unwrap_or(NO_BODY).to_owned(),
            }),
            "view" => Ok(Step::View { budget: self.budget()?, key: self.key()?, digest: self.hex("a digest")? }),
            "budget" => Ok(Step::Budget { budget: self.budget()? }),
            other => self.platform_step(other),
        }
    }

    fn platform_step(&mut self, name: &str) -> Result<Step, TraceError> {
        match name {
            "log" => self.text("up, down or deaf")?.parse().map(Step::Log),
            "top-up" => {
                Ok(Step::TopUp { id: self.text("an id")?.into(), budget: self.budget()?, tokens: self.tokens()? })
            }
            "close" => Ok(Step::Close { instance: self.text("an instance")?.into() }),
            "publish" => Ok(Step::Publish {
                id: self.text("an id")?.into(),
                environment: self.text("an environment")?.into(),
                expected: self.parsed("a version")?,
                operator: self.text("an operator")?.into(),
            }),
            "promote" => Ok(Step::Promote {
                id: self.text("an id")?.into(),
                environment: self.text("an environment")?.into(),
                expected: self.parsed("a version")?,
                operator: self.text("an operator")?.into(),
            }),
            "environment" => Ok(Step::Environment { environment: self.text("an environment")?.into() }),
            "release" => Ok(Step::Release {
                id: self.text("an id")?.into(),
                budget: self.budget()?,
                instance: self.text("an instance")?.into(),
            }),
            other => Err(TraceError::Invalid { expected: "a step", found: other.to_owned() }),
        }
    }
}

fn parse_time(text: &str) -> Result<Instant, TraceError> {
    let invalid = || TraceError::Invalid { expected: "a time in seconds", found: text.to_owned() };
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    if part.len() > NANOS_DIGITS {
        return Err(invalid());
    }
    let seconds = whole.parse().map_err(|_not_number| invalid())?;
    let nanos = format!("{part:0<NANOS_DIGITS$}").parse().map_err(|_not_number| invalid())?;
    Ok(Instant(Duration::new(seconds, nanos)))
}

impl FromStr for TraceLine {
    type Err = TraceError;

    fn from_str(line: &str) -> Result<Self, TraceError> {
        let (text, outcome) = match line.split_once(" -> ") {
            Some((text, outcome)) => (text, Some(outcome.trim().to_owned())),
            None => (line, None),
        };
        let mut words = Words(text.split_whitespace());
        let at = parse_time(words.text("a time in seconds")?)?;
        let instance = words.text("an instance")?.into();
        let step = words.step()?;
        match words.0.next() {
            Some(extra) => Err(TraceError::Extra(extra.to_owned())),
            None => Ok(Self { at, instance, step, outcome }),
        }
    }
}

impl Step {
    /// Creates the step of a dispatched call that ended with `outcome`.
    pub fn ended(budget: BudgetText, key: IdempotencyKey, outcome: &AttemptOutcome) -> Self {
        let (status, body) = match outcome {
            AttemptOutcome::Unknown => (0, NO_BODY.to_owned()),
            AttemptOutcome::Answered { status, body } if body.is_empty() => (*status, NO_BODY.to_owned()),
            AttemptOutcome::Answered { status, body } => (*status, hex::encode(body)),
        };
        Self::End { budget, key, status, body }
    }
}

/// Returns the trace word for the outcome of a reservation.
pub const fn reserve_word(outcome: &ReserveOutcome) -> &'static str {
    match outcome {
        ReserveOutcome::Reserved(_) => "reserved",
        ReserveOutcome::Waiting => "waiting",
        ReserveOutcome::Exhausted => "exhausted",
    }
}

/// Returns the trace word for the status of a claim, or `none` without a claim.
pub const fn claim_word(status: Option<ClaimStatus>) -> &'static str {
    match status {
        None => "none",
        Some(ClaimStatus::Pending) => "pending",
        Some(ClaimStatus::Won) => "won",
        Some(ClaimStatus::Lost) => "lost",
        Some(ClaimStatus::Renounced) => "renounced",
    }
}
