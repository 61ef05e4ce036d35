//! Numbered log events of the request path and its controllers; `docs/EDGE-EVENTS.md` is their catalogue.

use log::Level;

/// Event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The process starts.
    Started,
    /// The process was asked to stop.
    Stopping,
    /// The process ends.
    Stopped,
    /// The settings were read again.
    Reloaded,
    /// A dependency stopped answering.
    DependencyLost,
    /// A dependency answers again.
    DependencyBack,
    /// Lines were dropped since there were too many.
    LinesDropped,
    /// A document came into force.
    DocumentApplied,
    /// A record was skipped.
    RecordSkipped,
    /// Records of a topic were dropped before they were read; the newest of each key are read instead.
    TopicReread,
    /// A backend server was listed.
    ServerListed,
    /// A backend server began to leave.
    ServerLeaving,
    /// A backend server is gone.
    ServerGone,
    /// The entry of a backend server lapsed while the store was away; it is kept for a while.
    ServerLapsed,
    /// A backend server started again.
    ServerReplaced,
    /// A backend server rests after a failure.
    ServerEjected,
    /// A request was sent to a backend server.
    Dispatched,
    /// A sending ended without an answer that could be handed on.
    DispatchFailed,
    /// A stream goes on at another backend server.
    StreamResumed,
    /// A request was answered by a backend server.
    Answered,
    /// A request was refused.
    Refused,
    /// A caller left before its answer was whole.
    CallerDisconnected,
    /// A stream was cut before it was whole.
    StreamAborted,
    /// The network link became full, or carries more again.
    LinkChanged,
    /// Ceilings were written.
    CeilingsWritten,
    /// A write of ceilings has an unknown end.
    CeilingsUncertain,
    /// Room was lent to another instance, or refused to it.
    CreditLent,
    /// Room was borrowed from another instance, or refused by it.
    CreditBorrowed,
    /// The credit of this instance's earlier run was brought to an end.
    RunEnded,
    /// A raise does not fit whole beside the records before it.
    RaiseReduced,
    /// A write came out of its turn.
    WriteOutOfSequence,
    /// A request is suspected of crashing backend servers.
    Suspected,
    /// Another instance was listed.
    PeerListed,
    /// A link to another instance opened.
    PeerLinked,
    /// A link to another instance ended.
    PeerLost,
}

impl LogEvent {
    /// Every event.
    pub const ALL: &[Self] = &[
        Self::Started,
        Self::Stopping,
        Self::Stopped,
        Self::Reloaded,
        Self::DependencyLost,
        Self::DependencyBack,
        Self::LinesDropped,
        Self::DocumentApplied,
        Self::RecordSkipped,
        Self::TopicReread,
        Self::ServerListed,
        Self::ServerLeaving,
        Self::ServerGone,
        Self::ServerLapsed,
        Self::ServerReplaced,
        Self::ServerEjected,
        Self::Dispatched,
        Self::DispatchFailed,
        Self::StreamResumed,
        Self::Answered,
        Self::Refused,
        Self::CallerDisconnected,
        Self::StreamAborted,
        Self::LinkChanged,
        Self::CeilingsWritten,
        Self::CeilingsUncertain,
        Self::CreditLent,
        Self::CreditBorrowed,
        Self::RunEnded,
        Self::RaiseReduced,
        Self::WriteOutOfSequence,
        Self::Suspected,
        Self::PeerListed,
        Self::PeerLinked,
        Self::PeerLost,
    ];

    /// Stable code.
    pub const fn code(self) -> &'static str {
        match self {
            Self::Started => "CP1000",
            Self::Stopping => "CP1001",
            Self::Stopped => "CP1002",
            Self::Reloaded => "CP1003",
            Self::DependencyLost => "CP1010",
            Self::DependencyBack => "CP1011",
            Self::LinesDropped => "CP1020",
            Self::DocumentApplied => "CP1100",
            Self::RecordSkipped => "CP1101",
            Self::TopicReread => "CP1102",
            Self::ServerListed => "CP1200",
            Self::ServerLeaving => "CP1201",
            Self::ServerGone => "CP1202",
            Self::ServerLapsed => "CP1203",
            Self::ServerReplaced => "CP1204",
            Self::ServerEjected => "CP1205",
            Self::Dispatched => "CP1300",
            Self::DispatchFailed => "CP1301",
            Self::StreamResumed => "CP1302",
            Self::Answered => "CP1303",
            Self::Refused => "CP1304",
            Self::CallerDisconnected => "CP1305",
            Self::StreamAborted => "CP1306",
            Self::LinkChanged => "CP1307",
            Self::CeilingsWritten => "CP1400",
            Self::CeilingsUncertain => "CP1401",
            Self::CreditLent => "CP1403",
            Self::CreditBorrowed => "CP1404",
            Self::RunEnded => "CP1405",
            Self::RaiseReduced => "CP1406",
            Self::WriteOutOfSequence => "CP1407",
            Self::Suspected => "CP1500",
            Self::PeerListed => "CP1600",
            Self::PeerLinked => "CP1601",
            Self::PeerLost => "CP1602",
        }
    }

    /// Severity.
    pub const fn level(self) -> Level {
        match self {
            Self::DependencyLost
            | Self::LinesDropped
            | Self::RecordSkipped
            | Self::TopicReread
            | Self::ServerLapsed
            | Self::ServerEjected
            | Self::DispatchFailed
            | Self::StreamAborted
            | Self::CeilingsUncertain
            | Self::WriteOutOfSequence
            | Self::Suspected
            | Self::PeerLost => Level::Warn,
            _ => Level::Info,
        }
    }
}

/// Writes one log line for an event.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $($arg:tt)+) => {
        log::log!($event.level(), "{} {}", $event.code(), format_args!($($arg)+))
    };
}
