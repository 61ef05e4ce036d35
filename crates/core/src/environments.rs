//! State machine of the environments stream: of several records that expect the same version, the first one wins.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use derive_more::Display;

use crate::document::{ClientAccount, Document};
use crate::names::{EnvironmentName, RecordId, Stage};
use crate::record::{EnvironmentRecord, Promote, Publish};
use crate::units::Offset;

/// Documents of one environment that are in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Environment {
    /// Version number; each change that takes effect increases it by one.
    pub version: u64,
    /// Document that serves trial accounts.
    pub trial: Arc<Document>,
    /// Document that serves production accounts, once one was promoted.
    pub production: Option<Arc<Document>>,
    /// Operator who made the last change that took effect.
    pub operator: Arc<str>,
}

impl Environment {
    /// Document that serves the accounts of `stage`, if any.
    pub const fn document(&self, stage: Stage) -> Option<&Arc<Document>> {
        match stage {
            Stage::Trial => Some(&self.trial),
            Stage::Production => self.production.as_ref(),
        }
    }
}

/// Maximum number of remembered changes, including those that lost. The oldest is removed first, in log order, so that
/// all instances remember the same ones.
pub const REMEMBERED_CHANGES_MAX: usize = 4_096;

/// Kind of a change.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum ChangeKind {
    /// A document was published to the trial stage.
    Trial,
    /// The trial document was promoted to production.
    Promote,
}

/// Change of an environment that was read from the log, whether or not it took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Offset of the record.
    pub offset: Offset,
    /// Identifier of the operator's command; a repeated record has the same one.
    pub id: RecordId,
    /// Environment to change.
    pub environment: EnvironmentName,
    /// Kind of the change.
    pub kind: ChangeKind,
    /// Version that the operator expected to be in force.
    pub expected: u64,
    /// Operator who made the change.
    pub operator: Arc<str>,
    /// Outcome of the change.
    pub outcome: ChangeOutcome,
}

/// Complete state of [`Environments`], for snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EnvironmentsState {
    /// Environments by name.
    pub current: BTreeMap<EnvironmentName, Environment>,
    /// Remembered changes, oldest first.
    pub history: Vec<Change>,
    /// Offset of the first record not yet applied.
    pub next: Offset,
}

/// Outcome of a change.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is in force as this version.
    #[display("in force as version {_0}")]
    InForce(u64),
    /// Another change came first, so the expected version was not in force.
    #[display("lost to version {version} by {operator}")]
    Lost {
        /// Version in force.
        version: u64,
        /// Operator of the version in force.
        operator: Arc<str>,
    },
    /// The document is not valid or describes another environment, or there is no trial document to promote.
    #[display("not a valid document for this environment")]
    Invalid,
    /// An earlier record with the same identifier was already applied.
    #[display("applied before")]
    Repeated,
}

/// State of all environments up to an offset of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environments {
    current: BTreeMap<EnvironmentName, Environment>,
    outcomes: BTreeMap<RecordId, ChangeOutcome>,
    history: VecDeque<Change>,
    /// Offset of the first record not yet applied.
    pub next: Offset,
}

/// Authenticated caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Client account of the caller.
    pub account: ClientAccount,
    /// Document that serves the account.
    pub document: Arc<Document>,
}

impl Environments {
    /// Log stream that carries the environment records.
    pub const STREAM: &'static str = "environments";

    /// Log stream that carries snapshots of the environments.
    pub const SNAPSHOT_STREAM: &'static str = "snapshot-environments";

    /// Copies the complete state.
    pub fn export(&self) -> EnvironmentsState {
        let Self { current, outcomes: _, history, next } = self;
        EnvironmentsState { current: current.clone(), history: history.iter().cloned().collect(), next: *next }
    }

    /// Restores an exported state.
    pub fn import(state: EnvironmentsState) -> Self {
        let EnvironmentsState { current, history, next } = state;
        let outcomes = history.iter().map(|change| (change.id.clone(), change.outcome.clone())).collect();
        Self { current, outcomes, history: history.into(), next }
    }

    /// Remembered changes, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.history.iter()
    }

    /// Environment with this name.
    pub fn get(&self, name: &EnvironmentName) -> Option<&Environment> {
        self.current.get(name)
    }

    /// All environments in name order.
    pub fn iter(&self) -> impl Iterator<Item = (&EnvironmentName, &Environment)> {
        self.current.iter()
    }

    /// Outcome of the change `id`, if it is remembered.
    pub fn outcome(&self, id: &RecordId) -> Option<&ChangeOutcome> {
        self.outcomes.get(id)
    }

    /// Authenticates a caller by `account` and `key`.
    ///
    /// Returns `None` when the account is not in the document of its own stage or the key is wrong.
    pub fn authenticate(&self, environment: &str, account: &str, key: &str) -> Option<Caller> {
        let current = self.current.get(&EnvironmentName::new(environment))?;
        let production = current.production.iter().map(|document| (document, Stage::Production));
        std::iter::once((&current.trial, Stage::Trial)).chain(production).find_map(|(document, stage)| {
            let account = document.authenticate(account, key)?;
            let caller = Caller { account: account.clone(), document: Arc::clone(document) };
            (account.stage == stage).then_some(caller)
        })
    }

    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: Offset, record: &EnvironmentRecord) -> ChangeOutcome {
        self.next = offset.next();
        let (id, environment, kind, expected, operator) = match record {
            EnvironmentRecord::Trial(Publish { id, environment, expected, operator, .. }) => {
                (id, environment, ChangeKind::Trial, *expected, operator)
            }
            EnvironmentRecord::Promote(Promote { id, environment, expected, operator }) => {
                (id, environment, ChangeKind::Promote, *expected, operator)
            }
        };
        if self.outcomes.contains_key(id) {
            return ChangeOutcome::Repeated;
        }
        let outcome = match record {
            EnvironmentRecord::Trial(publish) => self.publish(publish),
            EnvironmentRecord::Promote(promote) => self.promote(promote),
        };
        self.remember(Change {
            offset,
            id: id.clone(),
            environment: environment.clone(),
            kind,
            expected,
            operator: Arc::clone(operator),
            outcome: outcome.clone(),
        });
        outcome
    }

    fn remember(&mut self, change: Change) {
        self.outcomes.insert(change.id.clone(), change.outcome.clone());
        self.history.push_back(change);
        if self.history.len() > REMEMBERED_CHANGES_MAX {
            let oldest = self.history.pop_front();
            oldest.map(|change| self.outcomes.remove(&change.id));
        }
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next = offset.next();
    }

    fn publish(&mut self, record: &Publish) -> ChangeOutcome {
        let current = self.current.get(&record.environment);
        if let Some(lost) = check_version(current, record.expected) {
            return lost;
        }
        let document = match Document::parse(&record.document) {
            Ok(document) if document.environment == record.environment => Arc::new(document),
            _ => return ChangeOutcome::Invalid,
        };
        let version = record.expected + 1;
        let production = current.and_then(|current| current.production.clone());
        let operator = Arc::clone(&record.operator);
        let environment = Environment { version, trial: document, production, operator };
        self.current.insert(record.environment.clone(), environment);
        ChangeOutcome::InForce(version)
    }

    fn promote(&mut self, record: &Promote) -> ChangeOutcome {
        if let Some(lost) = check_version(self.current.get(&record.environment), record.expected) {
            return lost;
        }
        let Some(current) = self.current.get_mut(&record.environment) else {
            return ChangeOutcome::Invalid;
        };
        current.version += 1;
        current.production = Some(Arc::clone(&current.trial));
        current.operator = Arc::clone(&record.operator);
        ChangeOutcome::InForce(current.version)
    }
}

fn check_version(current: Option<&Environment>, expected: u64) -> Option<ChangeOutcome> {
    let version = current.map_or(0, |current| current.version);
    let operator = current.map_or_else(|| Arc::from(""), |current| Arc::clone(&current.operator));
    (version != expected).then_some(ChangeOutcome::Lost { version, operator })
}
