//! Numbered log events. `docs/EVENTS.md` lists them; a test checks that the list matches the code.

use log::Level;

/// Event of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The instance started to serve.
    Started,
    /// The instance stopped accepting requests.
    Draining,
    /// The instance stopped without aborting a request.
    Stopped,
    /// Open requests were aborted at the drain timeout or a second signal.
    CutOff,
    /// A request was placed on a backend server.
    Placed,
    /// A request ended and was billed.
    Settled,
    /// A request was refused.
    Refused,
    /// A backend server failed a request.
    ServerFailed,
    /// A stream was resumed on a new connection.
    StreamResumed,
    /// A caller disconnected before its answer was complete.
    CallerDisconnected,
    /// A request was queued for a slot.
    Queued,
    /// A backend server was lost while it ran a request, so the request is suspect.
    Suspected,
    /// A request was quarantined: it is not dispatched again.
    Quarantined,
    /// A resumed stream replaced its older relay.
    StreamTakenOver,
    /// An instance claimed the ordering of models.
    ModelsClaimed,
    /// A backend server was ordered to load a model.
    ModelOrdered,
    /// An at-most-once attempt was claimed.
    AttemptClaimed,
    /// An at-most-once attempt ended.
    AttemptEnded,
    /// An at-most-once attempt was renounced before its dispatch.
    AttemptRenounced,
    /// The log cannot be read or appended to.
    LogUnavailable,
    /// The log can be read again.
    LogRecovered,
    /// A damaged or unknown record was skipped.
    RecordSkipped,
    /// The log dropped records that this instance had not read.
    LogTrimmed,
    /// A snapshot was read.
    SnapshotRead,
    /// A snapshot was written.
    SnapshotWritten,
    /// A stream cannot be followed until a snapshot covers its dropped records.
    StreamBlocked,
    /// An environment record was applied.
    EnvironmentApplied,
    /// A budget record other than a batch was applied.
    BudgetApplied,
    /// A record that closes an incarnation, one run of an instance, was applied.
    IncarnationClosed,
    /// An operator's order was received.
    OrderReceived,
    /// A link to another instance opened.
    LinkUp,
    /// A link to another instance closed.
    LinkDown,
    /// A forged, replayed, malformed or foreign frame was dropped and its link closed.
    FrameDropped,
    /// Reading the log through a peer started or ended.
    LogRelayed,
    /// A backend server is leaving.
    ServerLeaving,
    /// A request was forwarded to a peer that holds credit.
    Forwarded,
    /// This instance closes an incarnation that sends no heartbeats.
    ClosingSilentHolder,
    /// The balances of a budget do not add up; the process stops.
    BudgetBroken,
}

impl Event {
    /// All events.
    pub const ALL: &[Self] = &[
        Self::Started,
        Self::Draining,
        Self::Stopped,
        Self::CutOff,
        Self::Placed,
        Self::Settled,
        Self::Refused,
        Self::ServerFailed,
        Self::StreamResumed,
        Self::CallerDisconnected,
        Self::Queued,
        Self::Suspected,
        Self::Quarantined,
        Self::StreamTakenOver,
        Self::ModelsClaimed,
        Self::ModelOrdered,
        Self::AttemptClaimed,
        Self::AttemptEnded,
        Self::AttemptRenounced,
        Self::LogUnavailable,
        Self::LogRecovered,
        Self::RecordSkipped,
        Self::LogTrimmed,
        Self::SnapshotRead,
        Self::SnapshotWritten,
        Self::StreamBlocked,
        Self::EnvironmentApplied,
        Self::BudgetApplied,
        Self::IncarnationClosed,
        Self::OrderReceived,
        Self::LinkUp,
        Self::LinkDown,
        Self::FrameDropped,
        Self::LogRelayed,
        Self::ServerLeaving,
        Self::Forwarded,
        Self::ClosingSilentHolder,
        Self::BudgetBroken,
    ];

    /// Stable code of the event.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Started => "CP0100",
            Self::Draining => "CP0101",
            Self::Stopped => "CP0102",
            Self::CutOff => "CP0103",
            Self::Placed => "CP0200",
            Self::Settled => "CP0201",
            Self::Refused => "CP0202",
            Self::ServerFailed => "CP0203",
            Self::StreamResumed => "CP0204",
            Self::CallerDisconnected => "CP0205",
            Self::Queued => "CP0206",
            Self::Suspected => "CP0207",
            Self::Quarantined => "CP0208",
            Self::StreamTakenOver => "CP0209",
            Self::ModelsClaimed => "CP0220",
            Self::ModelOrdered => "CP0221",
            Self::AttemptClaimed => "CP0300",
            Self::AttemptEnded => "CP0301",
            Self::AttemptRenounced => "CP0302",
            Self::LogUnavailable => "CP0400",
            Self::LogRecovered => "CP0401",
            Self::RecordSkipped => "CP0402",
            Self::LogTrimmed => "CP0403",
            Self::SnapshotRead => "CP0410",
            Self::SnapshotWritten => "CP0411",
            Self::StreamBlocked => "CP0412",
            Self::EnvironmentApplied => "CP0500",
            Self::BudgetApplied => "CP0501",
            Self::IncarnationClosed => "CP0502",
            Self::OrderReceived => "CP0600",
            Self::LinkUp => "CP0700",
            Self::LinkDown => "CP0701",
            Self::FrameDropped => "CP0702",
            Self::LogRelayed => "CP0703",
            Self::ServerLeaving => "CP0704",
            Self::Forwarded => "CP0705",
            Self::ClosingSilentHolder => "CP0706",
            Self::BudgetBroken => "CP0900",
        }
    }

    /// Log level of the event.
    pub const fn level(self) -> Level {
        match self {
            Self::CutOff | Self::StreamBlocked | Self::BudgetBroken => Level::Error,
            Self::LogTrimmed
            | Self::ServerFailed
            | Self::Quarantined
            | Self::LogUnavailable
            | Self::RecordSkipped
            | Self::IncarnationClosed
            | Self::LinkDown
            | Self::FrameDropped
            | Self::LogRelayed
            | Self::ClosingSilentHolder => Level::Warn,
            _ => Level::Info,
        }
    }
}

/// Logs an event: its code and the formatted message, at the event's level.
#[macro_export]
macro_rules! event {
    ($event:expr, $($arg:tt)+) => {
        log::log!($event.level(), "{} {}", $event.code(), format_args!($($arg)+))
    };
}
