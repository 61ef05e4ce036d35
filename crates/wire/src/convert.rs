//! Conversions between encoded messages and the typed records of the core.

use std::sync::Arc;

use coltsfootpick_core::names::{self, Stage};
use coltsfootpick_core::record;
use coltsfootpick_core::units::Tokens;
use derive_more::{Display, Error};

use crate::messages as m;

/// Reason why a decoded message is not a valid record.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ConvertError {
    /// A required field is missing; holds its name.
    #[display("{_0} is missing")]
    Missing(#[error(not(source))] &'static str),
    /// The text of an environment's document is not valid.
    #[display("a document is not valid")]
    InvalidDocument,
    /// An HTTP status does not fit in 16 bits.
    #[display("the status is out of range")]
    StatusOutOfRange,
}

/// Returns the value of a field that every valid message has, or [`ConvertError::Missing`].
pub(crate) fn required<T>(field: Option<T>, name: &'static str) -> Result<T, ConvertError> {
    field.ok_or(ConvertError::Missing(name))
}

impl From<&names::Incarnation> for m::IncarnationMessage {
    fn from(value: &names::Incarnation) -> Self {
        Self { instance: value.instance.to_string(), run: value.run }
    }
}

impl From<m::IncarnationMessage> for names::Incarnation {
    fn from(value: m::IncarnationMessage) -> Self {
        Self { instance: value.instance.into(), run: value.run }
    }
}

impl From<&names::BudgetKey> for m::BudgetKeyMessage {
    fn from(value: &names::BudgetKey) -> Self {
        Self {
            environment: value.environment.to_string(),
            trial: value.stage == Stage::Trial,
            account: value.account.to_string(),
        }
    }
}

impl From<m::BudgetKeyMessage> for names::BudgetKey {
    fn from(value: m::BudgetKeyMessage) -> Self {
        let stage = if value.trial { Stage::Trial } else { Stage::Production };
        Self { environment: value.environment.into(), stage, account: value.account.into() }
    }
}

impl From<&record::AttemptKey> for m::AttemptKeyMessage {
    fn from(value: &record::AttemptKey) -> Self {
        Self { budget: Some((&value.budget).into()), key: value.key.to_string() }
    }
}

impl TryFrom<m::AttemptKeyMessage> for record::AttemptKey {
    type Error = ConvertError;

    fn try_from(value: m::AttemptKeyMessage) -> Result<Self, ConvertError> {
        Ok(Self { budget: required(value.budget, "budget")?.into(), key: value.key.into() })
    }
}

impl From<&record::Entry> for m::EntryMessage {
    fn from(value: &record::Entry) -> Self {
        let kind = match value {
            record::Entry::Grant { key, least, most } => {
                m::EntryKind::Grant(m::GrantMessage { key: Some(key.into()), least: least.0, most: most.0 })
            }
            record::Entry::Settle { key, request, tokens } => m::EntryKind::Settle(m::SettleMessage {
                key: Some(key.into()),
                request: request.to_string(),
                tokens: tokens.0,
            }),
            record::Entry::Return { key, tokens } => {
                m::EntryKind::Return(m::ReturnMessage { key: Some(key.into()), tokens: tokens.0 })
            }
            record::Entry::Claim { attempt, digest } => {
                m::EntryKind::Claim(m::AttemptClaimMessage { attempt: Some(attempt.into()), digest: *digest })
            }
            record::Entry::Outcome { attempt, outcome } => m::EntryKind::Outcome(outcome_message(attempt, outcome)),
            record::Entry::Renounce { attempt } => {
                m::EntryKind::Renounce(m::RenounceMessage { attempt: Some(attempt.into()) })
            }
        };
        Self { kind: Some(kind) }
    }
}

fn outcome_message(attempt: &record::AttemptKey, outcome: &record::AttemptOutcome) -> m::AttemptOutcomeMessage {
    let attempt = Some(attempt.into());
    match outcome {
        record::AttemptOutcome::Answered { status, body } => {
            m::AttemptOutcomeMessage { attempt, status: u32::from(*status), body: body.to_vec() }
        }
        record::AttemptOutcome::Unknown => m::AttemptOutcomeMessage { attempt, status: 0, body: Vec::new() },
    }
}

fn outcome_entry(message: m::AttemptOutcomeMessage) -> Result<record::Entry, ConvertError> {
    let attempt = required(message.attempt, "attempt")?.try_into()?;
    let status = u16::try_from(message.status).map_err(|_out_of_range| ConvertError::StatusOutOfRange)?;
    let outcome = match status {
        0 => record::AttemptOutcome::Unknown,
        status => record::AttemptOutcome::Answered { status, body: Arc::from(message.body) },
    };
    Ok(record::Entry::Outcome { attempt, outcome })
}

impl TryFrom<m::EntryMessage> for record::Entry {
    type Error = ConvertError;

    fn try_from(value: m::EntryMessage) -> Result<Self, ConvertError> {
        Ok(match required(value.kind, "kind")? {
            m::EntryKind::Grant(grant) => Self::Grant {
                key: required(grant.key, "key")?.into(),
                least: Tokens(grant.least),
                most: Tokens(grant.most),
            },
            m::EntryKind::Settle(settle) => Self::Settle {
                key: required(settle.key, "key")?.into(),
                request: settle.request.into(),
                tokens: Tokens(settle.tokens),
            },
            m::EntryKind::Return(returned) => {
                Self::Return { key: required(returned.key, "key")?.into(), tokens: Tokens(returned.tokens) }
            }
            m::EntryKind::Claim(claim) => {
                Self::Claim { attempt: required(claim.attempt, "attempt")?.try_into()?, digest: claim.digest }
            }
            m::EntryKind::Outcome(outcome) => outcome_entry(outcome)?,
            m::EntryKind::Renounce(renounce) => {
                Self::Renounce { attempt: required(renounce.attempt, "attempt")?.try_into()? }
            }
        })
    }
}

impl From<&record::ShardRecord> for m::ShardRecordMessage {
    fn from(value: &record::ShardRecord) -> Self {
        let kind = match value {
            record::ShardRecord::Batch(batch) => m::ShardRecordKind::Batch(m::BatchMessage {
                holder: Some((&batch.holder).into()),
                sequence: batch.sequence,
                entries: batch.entries.iter().map(m::EntryMessage::from).collect(),
            }),
            record::ShardRecord::TopUp(top_up) => m::ShardRecordKind::TopUp(m::TopUpMessage {
                id: top_up.id.to_string(),
                key: Some((&top_up.key).into()),
                tokens: top_up.tokens.0,
                operator: top_up.operator.to_string(),
            }),
            record::ShardRecord::Close(close) => m::ShardRecordKind::Close(m::CloseMessage {
                holder: Some((&close.holder).into()),
                closer: close.closer.to_string(),
            }),
            record::ShardRecord::Release(release) => m::ShardRecordKind::Release(m::ReleaseMessage {
                id: release.id.to_string(),
                key: Some((&release.key).into()),
                holder: Some((&release.holder).into()),
                operator: release.operator.to_string(),
                reason: release.reason.to_string(),
            }),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<m::ShardRecordMessage> for record::ShardRecord {
    type Error = ConvertError;

    fn try_from(value: m::ShardRecordMessage) -> Result<Self, ConvertError> {
        Ok(match required(value.kind, "kind")? {
            m::ShardRecordKind::Batch(batch) => Self::Batch(record::Batch {
                holder: required(batch.holder, "holder")?.into(),
                sequence: batch.sequence,
                entries: batch.entries.into_iter().map(record::Entry::try_from).collect::<Result<_, _>>()?,
            }),
            m::ShardRecordKind::TopUp(top_up) => Self::TopUp(record::TopUp {
                id: top_up.id.into(),
                key: required(top_up.key, "key")?.into(),
                tokens: Tokens(top_up.tokens),
                operator: top_up.operator.into(),
            }),
            m::ShardRecordKind::Close(close) => Self::Close(record::Close {
                holder: required(close.holder, "holder")?.into(),
                closer: close.closer.into(),
            }),
            m::ShardRecordKind::Release(release) => Self::Release(record::Release {
                id: release.id.into(),
                key: required(release.key, "key")?.into(),
                holder: required(release.holder, "holder")?.into(),
                operator: release.operator.into(),
                reason: release.reason.into(),
            }),
        })
    }
}

impl From<&record::EnvironmentRecord> for m::EnvironmentRecordMessage {
    fn from(value: &record::EnvironmentRecord) -> Self {
        let kind = match value {
            record::EnvironmentRecord::Trial(publish) => m::EnvironmentRecordKind::Trial(m::PublishMessage {
                id: publish.id.to_string(),
                environment: publish.environment.to_string(),
                expected: publish.expected,
                document: publish.document.to_string(),
                operator: publish.operator.to_string(),
            }),
            record::EnvironmentRecord::Promote(promote) => m::EnvironmentRecordKind::Promote(m::PromoteMessage {
                id: promote.id.to_string(),
                environment: promote.environment.to_string(),
                expected: promote.expected,
                operator: promote.operator.to_string(),
            }),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<m::EnvironmentRecordMessage> for record::EnvironmentRecord {
    type Error = ConvertError;

    fn try_from(value: m::EnvironmentRecordMessage) -> Result<Self, ConvertError> {
        Ok(match required(value.kind, "kind")? {
            m::EnvironmentRecordKind::Trial(publish) => Self::Trial(record::Publish {
                id: publish.id.into(),
                environment: publish.environment.into(),
                expected: publish.expected,
                document: publish.document.into(),
                operator: publish.operator.into(),
            }),
            m::EnvironmentRecordKind::Promote(promote) => Self::Promote(record::Promote {
                id: promote.id.into(),
                environment: promote.environment.into(),
                expected: promote.expected,
                operator: promote.operator.into(),
            }),
        })
    }
}
