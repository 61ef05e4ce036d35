//! Refusals of requests: a stable code, whether the request ran, and when to retry.

use std::time::Duration;

use derive_more::Display;

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RunStatus {
    /// The request did not run and will not.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("may-have-run")]
    MayHaveRun,
    /// The request ran.
    #[display("ran")]
    Ran,
}

/// Stable code of a refusal, listed in `docs/CALLERS.md`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The credential is missing or invalid.
    Unauthorized,
    /// The environment has no service of this name.
    UnknownService,
    /// An at-most-once call carries no idempotency key.
    KeyRequired,
    /// The idempotency key was used for a different call.
    KeyReused,
    /// The same call is in progress.
    InProgress,
    /// The same call may have run, and its outcome is unknown.
    EndUnknown,
    /// The budget does not cover the request.
    BudgetExhausted,
    /// Credit could not be obtained within the deadline.
    CreditUnavailable,
    /// The claim could not be appended to the log within the deadline.
    LogUnavailable,
    /// No backend server accepts the request at present.
    NoBackendServer,
    /// The request would wait in the queue beyond its deadline.
    Overloaded,
    /// The backend server failed before the answer was complete.
    BackendFailed,
    /// The request crashed backend servers and must not run again.
    Quarantined,
    /// No server of the software version that began the stream can continue it, or that version is not known.
    StreamLost,
    /// This instance cannot tell at present which software version began the stream.
    StreamUnproven,
    /// The instance is stopping.
    Draining,
    /// The body exceeds the size limit.
    TooLarge,
    /// The caller sent its request too slowly.
    TooSlow,
    /// The deadline passed before the answer was complete.
    DeadlinePassed,
}

/// Refusal of a request.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{code} ({run}): {detail}")]
pub struct Refusal {
    /// Stable code.
    pub code: Code,
    /// Whether the request ran.
    pub run: RunStatus,
    /// Time after which a retry can succeed, if known.
    pub retry_after: Option<Duration>,
    /// Human-readable explanation.
    pub detail: String,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(code: Code, detail: impl Into<String>) -> Self {
        Self { code, run: RunStatus::NotRun, retry_after: None, detail: detail.into() }
    }

    /// Creates the refusal of a request that may have run.
    pub fn may_have_run(code: Code, detail: impl Into<String>) -> Self {
        Self { code, run: RunStatus::MayHaveRun, retry_after: None, detail: detail.into() }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn retry_after(self, span: Duration) -> Self {
        Self { retry_after: Some(span), ..self }
    }
}

impl Code {
    /// Every code.
    pub const ALL: [Self; 20] = [
        Self::BadRequest,
        Self::Unauthorized,
        Self::UnknownService,
        Self::KeyRequired,
        Self::KeyReused,
        Self::InProgress,
        Self::EndUnknown,
        Self::BudgetExhausted,
        Self::CreditUnavailable,
        Self::LogUnavailable,
        Self::NoBackendServer,
        Self::Overloaded,
        Self::BackendFailed,
        Self::Quarantined,
        Self::StreamLost,
        Self::StreamUnproven,
        Self::Draining,
        Self::TooLarge,
        Self::TooSlow,
        Self::DeadlinePassed,
    ];

    /// Code that is displayed as `text`.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|code| code.to_string() == text)
    }

    /// Returns the HTTP status of a response with this code.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyRequired => 400,
            Self::Unauthorized => 401,
            Self::BudgetExhausted => 402,
            Self::UnknownService => 404,
            Self::TooSlow => 408,
            Self::InProgress | Self::EndUnknown => 409,
            Self::TooLarge => 413,
            Self::KeyReused | Self::Quarantined => 422,
            Self::Overloaded => 429,
            Self::BackendFailed => 502,
            Self::DeadlinePassed => 504,
            Self::CreditUnavailable
            | Self::LogUnavailable
            | Self::NoBackendServer
            | Self::StreamLost
            | Self::StreamUnproven
            | Self::Draining => 503,
        }
    }
}
