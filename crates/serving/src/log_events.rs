//! Numbered log events of request handling and of the controllers; `docs/EDGE-EVENTS.md` is their catalogue.

use log::Level;

/// Event that is logged with a stable code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The process started.
    Started,
    /// The process received a stop signal and drains.
    Stopping,
    /// The process ends.
    Stopped,
    /// The settings file was read and checked again.
    Reloaded,
    /// A dependency stopped answering.
    DependencyLost,
    /// A dependency answers again.
    DependencyRecovered,
    /// Log lines were dropped because there were too many.
    LinesDropped,
    /// A document was read and put in force, or skipped as older.
    DocumentApplied,
    /// A record was skipped because it could not be decoded.
    RecordSkipped,
    /// Records of a topic were dropped before they were read; the newest of each key are read instead.
    TopicReread,
    /// The store came back from an older copy; the newest record of each key is read again.
    StoreRestored,
    /// A backend server was added.
    ServerListed,
    /// A backend server takes no new work any more.
    ServerLeaving,
    /// A backend server was removed.
    ServerGone,
    /// The entry of a backend server lapsed during a store outage; the server is kept for a grace period.
    ServerLapsed,
    /// A backend server restarted, or moved to another address or service.
    ServerReplaced,
    /// A backend server was ejected after a failure: it is avoided for a while.
    ServerEjected,
    /// A backend server asked this instance to pause, or asked so in a way that could not be read.
    ServerPaused,
    /// A backend server named a limit of requests a second for the whole fleet, or lifted it.
    ServerLimited,
    /// A response of a backend server exceeded a size limit, and its connection was closed.
    ResponseOversized,
    /// The path of this instance to the servers of a service changed.
    PathChanged,
    /// The servers of a service became brittle, or sound again.
    ServiceBrittle,
    /// A brittle server rejected a request.
    BrittleRejection,
    /// A backend server became cold, or said that it is warm.
    ServerCold,
    /// The evacuation of an availability zone came into force, or was lifted.
    ZoneEvacuated,
    /// The share of a service's requests that leaves the zone changed.
    ZoneShareChanged,
    /// A request was dispatched to a backend server.
    Dispatched,
    /// A dispatch brought no response that could be relayed.
    DispatchFailed,
    /// A stream is resumed at another backend server.
    StreamResumed,
    /// A backend server answered a request.
    Answered,
    /// A request was refused.
    Refused,
    /// A caller disconnected before its response was complete.
    CallerDisconnected,
    /// A stream broke off before its end.
    StreamAborted,
    /// The network link became full, or has capacity again.
    LinkChanged,
    /// A request was not repeated, since the service's retry budget is used up.
    RetryDenied,
    /// The share of this instance in a service's retry budget was computed.
    RetryShareSet,
    /// A caller takes up a stream of which it has received events.
    StreamTakenUp,
    /// A request was forwarded to another instance, since this one has no path to the servers.
    Forwarded,
    /// A request that another instance forwarded was taken.
    ForwardTaken,
    /// Connections of clients were closed, at a time limit or to make room.
    ConnectionsClosed,
    /// Clients made the instance hold so much that it reports itself as not ready, or no longer.
    MemoryPressure,
    /// Credit ceilings were written.
    CeilingsWritten,
    /// A write of credit ceilings has an unknown outcome.
    CeilingsUncertain,
    /// Credit was lent to another instance, or refused to it.
    CreditLent,
    /// Credit was borrowed from another instance, or refused by it.
    CreditBorrowed,
    /// The credit of an earlier run of this instance was closed.
    RunClosed,
    /// Credit of an earlier run of this instance stays in doubt.
    CreditInDoubt,
    /// A ceiling could be raised only in part, because of records written before it.
    CeilingRaiseReduced,
    /// The store rejected a write as out of sequence.
    WriteOutOfSequence,
    /// A request that was not answered whole was charged.
    PartialCharge,
    /// A request is suspected of crashing backend servers.
    Suspected,
    /// A prompt part is blamed for the crash of a backend server.
    PartBlamed,
    /// A blamed prompt part was answered completely.
    PartCleared,
    /// The address of another instance was read.
    PeerListed,
    /// A connection to another instance was opened.
    PeerConnected,
    /// A connection to another instance failed or was closed.
    PeerLost,
    /// This instance reports its load to a collector.
    LoadCollectorChosen,
    /// A link for loads was opened to this instance as a collector, or between collectors.
    LoadLinkOpened,
    /// A link for loads failed or was closed.
    LoadLinkLost,
    /// A view of the fleet's load became current, or lapsed.
    LoadViewChanged,
}

impl LogEvent {
    /// Every event.
    pub const ALL: &[Self] = &[
        Self::Started,
        Self::Stopping,
        Self::Stopped,
        Self::Reloaded,
        Self::DependencyLost,
        Self::DependencyRecovered,
        Self::LinesDropped,
        Self::DocumentApplied,
        Self::RecordSkipped,
        Self::TopicReread,
        Self::StoreRestored,
        Self::ServerListed,
        Self::ServerLeaving,
        Self::ServerGone,
        Self::ServerLapsed,
        Self::ServerReplaced,
        Self::ServerEjected,
        Self::ServerPaused,
        Self::ServerLimited,
        Self::ResponseOversized,
        Self::PathChanged,
        Self::ServiceBrittle,
        Self::BrittleRejection,
        Self::ServerCold,
        Self::ZoneEvacuated,
        Self::ZoneShareChanged,
        Self::Dispatched,
        Self::DispatchFailed,
        Self::StreamResumed,
        Self::Answered,
        Self::Refused,
        Self::CallerDisconnected,
        Self::StreamAborted,
        Self::LinkChanged,
        Self::RetryDenied,
        Self::RetryShareSet,
        Self::StreamTakenUp,
        Self::Forwarded,
        Self::ForwardTaken,
        Self::ConnectionsClosed,
        Self::MemoryPressure,
        Self::CeilingsWritten,
        Self::CeilingsUncertain,
        Self::CreditLent,
        Self::CreditBorrowed,
        Self::RunClosed,
        Self::CreditInDoubt,
        Self::CeilingRaiseReduced,
        Self::WriteOutOfSequence,
        Self::PartialCharge,
        Self::Suspected,
        Self::PartBlamed,
        Self::PartCleared,
        Self::PeerListed,
        Self::PeerConnected,
        Self::PeerLost,
        Self::LoadCollectorChosen,
        Self::LoadLinkOpened,
        Self::LoadLinkLost,
        Self::LoadViewChanged,
    ];

    /// Stable code of the event.
    #[expect(clippy::too_many_lines, reason = "one line for each event")]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Started => "CP1000",
            Self::Stopping => "CP1001",
            Self::Stopped => "CP1002",
            Self::Reloaded => "CP1003",
            Self::DependencyLost => "CP1010",
            Self::DependencyRecovered => "CP1011",
            Self::LinesDropped => "CP1020",
            Self::DocumentApplied => "CP1100",
            Self::RecordSkipped => "CP1101",
            Self::TopicReread => "CP1102",
            Self::StoreRestored => "CP1103",
            Self::ServerListed => "CP1200",
            Self::ServerLeaving => "CP1201",
            Self::ServerGone => "CP1202",
            Self::ServerLapsed => "CP1203",
            Self::ServerReplaced => "CP1204",
            Self::ServerEjected => "CP1205",
            Self::ServerPaused => "CP1206",
            Self::ResponseOversized => "CP1207",
            Self::ServerLimited => "CP1208",
            Self::PathChanged => "CP1209",
            Self::ServiceBrittle => "CP1210",
            Self::BrittleRejection => "CP1211",
            Self::ServerCold => "CP1212",
            Self::ZoneEvacuated => "CP1213",
            Self::ZoneShareChanged => "CP1214",
            Self::Dispatched => "CP1300",
            Self::DispatchFailed => "CP1301",
            Self::StreamResumed => "CP1302",
            Self::Answered => "CP1303",
            Self::Refused => "CP1304",
            Self::CallerDisconnected => "CP1305",
            Self::StreamAborted => "CP1306",
            Self::LinkChanged => "CP1307",
            Self::RetryDenied => "CP1308",
            Self::RetryShareSet => "CP1309",
            Self::StreamTakenUp => "CP1310",
            Self::Forwarded => "CP1311",
            Self::ForwardTaken => "CP1312",
            Self::ConnectionsClosed => "CP1320",
            Self::MemoryPressure => "CP1321",
            Self::CeilingsWritten => "CP1400",
            Self::CeilingsUncertain => "CP1401",
            Self::CreditLent => "CP1403",
            Self::CreditBorrowed => "CP1404",
            Self::RunClosed => "CP1405",
            Self::CreditInDoubt => "CP1409",
            Self::CeilingRaiseReduced => "CP1406",
            Self::WriteOutOfSequence => "CP1407",
            Self::PartialCharge => "CP1408",
            Self::Suspected => "CP1500",
            Self::PartBlamed => "CP1501",
            Self::PartCleared => "CP1502",
            Self::PeerListed => "CP1600",
            Self::PeerConnected => "CP1601",
            Self::PeerLost => "CP1602",
            Self::LoadCollectorChosen => "CP1610",
            Self::LoadLinkOpened => "CP1611",
            Self::LoadLinkLost => "CP1612",
            Self::LoadViewChanged => "CP1613",
        }
    }

    /// Severity of the event.
    pub const fn level(self) -> Level {
        match self {
            Self::DependencyLost
            | Self::LinesDropped
            | Self::RecordSkipped
            | Self::TopicReread
            | Self::StoreRestored
            | Self::ServerLapsed
            | Self::ServerEjected
            | Self::ResponseOversized
            | Self::PathChanged
            | Self::ServiceBrittle
            | Self::BrittleRejection
            | Self::ZoneEvacuated
            | Self::DispatchFailed
            | Self::StreamAborted
            | Self::MemoryPressure
            | Self::CeilingsUncertain
            | Self::WriteOutOfSequence
            | Self::Suspected
            | Self::PartBlamed
            | Self::PeerLost
            | Self::LoadLinkLost => Level::Warn,
            _ => Level::Info,
        }
    }
}

/// Writes one log line with the level and code of an event.
#[macro_export]
macro_rules! log_event {
    ($event:expr, $($arg:tt)+) => {
        log::log!($event.level(), "{} {}", $event.code(), format_args!($($arg)+))
    };
}
