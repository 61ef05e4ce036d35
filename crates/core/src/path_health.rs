//! Health of an instance's own path to the servers of one service, as distinct from the health of each server.
//!
//! Answers partitions that take an instance's links to all servers while peers still reach them: without this state,
//! each request would find out anew, at the cost of its deadline. See `docs/ROUTING.md#paths`.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;

use crate::names::BackendServerName;
use crate::units::Instant;

/// Number of servers that cannot be connected to, without a success in between, from which the path counts as lost.
const FAILED_SERVERS_MIN: usize = 4;

/// Refused connections, to different servers, from which the path is suspected. One is usually a crashed server.
const REFUSALS_MIN: usize = 2;

/// Shortest silence of all servers with open requests from which the path is suspected.
const QUIET_MIN: Duration = Duration::from_millis(200);

/// Longest silence that is waited for, however long servers usually take to answer.
const QUIET_MAX: Duration = Duration::from_millis(1_500);

/// Longest time for which a suspicion without a verdict holds requests back.
pub const SUSPICION_MAX: Duration = Duration::from_millis(400);

/// Time over which requests come back to a path that has returned.
const RETURN_TIME: Duration = Duration::from_millis(800);

/// Share of the requests that use the path when it has just returned.
const RETURN_SHARE: f64 = 0.1;

/// Factor by which the longest usual silence shrinks with each sign of life.
const QUIET_DECAY: f64 = 0.98;

/// State of the path.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum PathState {
    /// Servers answer.
    Sound,
    /// Servers may be unreachable; connections to several of them will tell.
    Suspect,
    /// No server can be connected to.
    Lost,
    /// Servers can be connected to again.
    Returning,
}

/// How a connection failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum ConnectFailure {
    /// The connection was refused or reset; connections that are open may go on.
    Refused,
    /// There was no answer in time.
    Silent,
}

/// Change of the state, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathChange {
    /// New state.
    pub state: PathState,
    /// Time spent in the state before.
    pub lasted: Duration,
    /// Servers that could not be connected to since the last success.
    pub failed: usize,
    /// Silence of all servers with open requests.
    pub quiet: Duration,
}

/// Health of the path to the servers of one service.
#[derive(Debug)]
pub struct PathHealth {
    state: PathState,
    since: Instant,
    /// Requests at the servers.
    open: u32,
    /// Since when requests are open and no server has sent anything.
    quiet_since: Option<Instant>,
    /// Last sign of life of any server.
    heard_at: Instant,
    /// Longest recent silence that ended with an answer.
    usual_quiet: Duration,
    /// Servers that could not be connected to since the last success.
    failed: BTreeMap<BackendServerName, ConnectFailure>,
}

impl PathHealth {
    /// Path of which nothing is known yet.
    pub const fn new(now: Instant) -> Self {
        Self {
            state: PathState::Sound,
            since: now,
            open: 0,
            quiet_since: None,
            heard_at: Instant(Duration::ZERO),
            usual_quiet: Duration::ZERO,
            failed: BTreeMap::new(),
        }
    }

    /// State of the path.
    pub const fn state(&self) -> PathState {
        self.state
    }

    /// Whether open connections may still work although no new one can be opened.
    pub fn may_use_open(&self) -> bool {
        self.failed.values().all(|failure| *failure == ConnectFailure::Refused)
    }

    /// Whether `server` could not be connected to since the last success.
    pub fn has_failed(&self, server: &BackendServerName) -> bool {
        self.failed.contains_key(server)
    }

    /// Share of the requests that use the path themselves, from 0 to 1.
    pub fn direct_share(&self, now: Instant) -> f64 {
        match self.state {
            PathState::Sound | PathState::Suspect => 1.0,
            PathState::Lost => 0.0,
            PathState::Returning => {
                let part = now.since(self.since).as_secs_f64() / RETURN_TIME.as_secs_f64();
                (RETURN_SHARE + part).min(1.0)
            }
        }
    }

    /// Counts a request that is sent to a server.
    pub fn note_sent(&mut self, now: Instant) {
        self.open += 1;
        self.quiet_since.get_or_insert(now);
    }

    /// Counts the end of a request.
    pub const fn note_ended(&mut self) {
        self.open = self.open.saturating_sub(1);
        if self.open == 0 {
            self.quiet_since = None;
        }
    }

    /// Records that a server sent something. Only a new connection ends the loss of the path.
    pub fn note_heard(&mut self, now: Instant) -> Option<PathChange> {
        let quiet = self.quiet(now);
        self.heard_at = now;
        self.usual_quiet = quiet.max(self.usual_quiet.mul_f64(QUIET_DECAY));
        self.quiet_since = (self.open > 0).then_some(now);
        let is_cleared = self.state == PathState::Suspect && self.failed.is_empty();
        is_cleared.then(|| self.enter(PathState::Sound, now))
    }

    /// Records a connection to a server.
    pub fn note_connected(&mut self, now: Instant) -> Option<PathChange> {
        self.failed.clear();
        self.heard_at = now;
        self.usual_quiet = self.quiet(now).max(self.usual_quiet);
        self.quiet_since = (self.open > 0).then_some(now);
        match self.state {
            PathState::Lost => Some(self.enter(PathState::Returning, now)),
            PathState::Suspect => Some(self.enter(PathState::Sound, now)),
            PathState::Sound | PathState::Returning => None,
        }
    }

    /// Records that `server`, one of `total` that take work, could not be connected to.
    ///
    /// A connection that gets no answer while servers are heard tells of a full server, or of an instance that is itself too
    /// slow, and does not count.
    pub fn note_failed(
        &mut self,
        server: &BackendServerName,
        failure: ConnectFailure,
        total: usize,
        now: Instant,
    ) -> Option<PathChange> {
        if failure == ConnectFailure::Silent && now.since(self.heard_at) < QUIET_MIN {
            return None;
        }
        self.failed.insert(server.clone(), failure);
        let failed = self.failed.len();
        match self.state {
            PathState::Returning if failure == ConnectFailure::Silent || failed >= REFUSALS_MIN => {
                Some(self.enter(PathState::Lost, now))
            }
            PathState::Lost | PathState::Returning => None,
            _ if failed >= FAILED_SERVERS_MIN.min(total.max(1)) => Some(self.enter(PathState::Lost, now)),
            PathState::Sound if failure == ConnectFailure::Silent || failed >= REFUSALS_MIN => {
                Some(self.enter(PathState::Suspect, now))
            }
            PathState::Sound | PathState::Suspect => None,
        }
    }

    /// Applies what only the time changes.
    pub fn update(&mut self, now: Instant) -> Option<PathChange> {
        let limit = (self.usual_quiet * 2).clamp(QUIET_MIN, QUIET_MAX);
        let lasted = now.since(self.since);
        match self.state {
            PathState::Sound if self.quiet(now) >= limit => Some(self.enter(PathState::Suspect, now)),
            PathState::Suspect if lasted >= SUSPICION_MAX => Some(self.enter(PathState::Sound, now)),
            PathState::Returning if lasted >= RETURN_TIME => Some(self.enter(PathState::Sound, now)),
            _ => None,
        }
    }

    fn quiet(&self, now: Instant) -> Duration {
        self.quiet_since.map_or(Duration::ZERO, |since| now.since(since))
    }

    fn enter(&mut self, state: PathState, now: Instant) -> PathChange {
        let change =
            PathChange { state, lasted: now.since(self.since), failed: self.failed.len(), quiet: self.quiet(now) };
        if state == PathState::Sound {
            // A suspicion that was not confirmed must not be raised again by the same silence.
            self.quiet_since = (self.open > 0).then_some(now);
        }
        (self.state, self.since) = (state, now);
        change
    }
}
