//! Access to the log: directly, or through a peer while the log is not directly reachable.
//!
//! A log prefix never changes, so a relayed record equals one read directly. See `docs/PEERS.md#log`.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::InstanceName;
use coltsfootpick_core::units::Offset;
use coltsfootpick_wire::peer::{LogOperation, LogRead, LogReply};
use futures_util::future::BoxFuture;

use crate::event;
use crate::events::Event;
use crate::peer_requests::RELAY_WAIT;
use crate::peers::{HOPS_MAX, Peers, RequestError};
use crate::platform::{Log, LogError, RawRecord};

/// Log that falls back from the platform's interface to the peer links.
#[derive(Debug)]
pub struct PeerLog {
    direct_log: Arc<dyn Log>,
    peers: Arc<Peers>,
    name: InstanceName,
    timeout: Duration,
}

impl PeerLog {
    /// Creates a log that tries `direct_log` first and then `peers`; `timeout` bounds the wait for each peer's answer.
    pub fn new(direct_log: Arc<dyn Log>, peers: Arc<Peers>, name: InstanceName, timeout: Duration) -> Self {
        Self { direct_log, peers, name, timeout }
    }

    /// Appends a record for a request that was relayed by the instances in `through`.
    pub async fn append_through(
        &self,
        through: Vec<String>,
        stream: String,
        bytes: Vec<u8>,
    ) -> Result<Offset, LogError> {
        if self.peers.has_direct_log() {
            match self.direct_log.append(stream.clone(), bytes.clone()).await {
                Err(LogError::Unavailable(_)) => {}
                // The record may be on the log; only the requester knows whether appending it again is harmless.
                result => return result,
            }
        }
        let mut last = LogError::Unavailable("no peer reaches the log".to_owned());
        let path = self.path(through)?;
        for link in self.peers.links_to_log(&path) {
            let operation = LogOperation::Append(bytes.clone());
            last = match link.request(path.clone(), stream.clone(), operation, self.timeout).await {
                Ok(LogReply::Appended(offset)) => return Ok(Offset(offset)),
                Ok(LogReply::Unavailable(text)) => LogError::Unavailable(text),
                Ok(LogReply::Unknown(text)) => return Err(LogError::Unknown(text)),
                Ok(reply) => return Err(LogError::Unknown(format!("an unfit answer: {}", reply_kind(&reply)))),
                Err(error @ RequestError::NotSent) => LogError::Unavailable(error.to_string()),
                Err(error @ RequestError::NoAnswer) => return Err(LogError::Unknown(error.to_string())),
            };
        }
        Err(last)
    }

    /// Reads records for a request that was relayed by the instances in `through`.
    pub async fn read_through(
        &self,
        through: Vec<String>,
        stream: String,
        from: Offset,
        wait: Duration,
    ) -> Result<Vec<RawRecord>, LogError> {
        if self.peers.has_direct_log() {
            let direct = tokio::select! {
                direct = self.direct_log.read(stream.clone(), from, wait) => direct,
                () = self.peers.direct_log_lost() => Err(LogError::Unavailable("the log went out of reach".to_owned())),
            };
            match direct {
                Err(LogError::Unavailable(_)) => self.peers.set_direct_log(false),
                result => return result,
            }
        }
        let mut last = LogError::Unavailable("no peer reaches the log".to_owned());
        let path = self.path(through)?;
        let wait = wait.min(RELAY_WAIT);
        let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        for link in self.peers.links_to_log(&path) {
            let operation = LogOperation::Read(LogRead { from: from.0, wait: millis });
            last = match link.request(path.clone(), stream.clone(), operation, self.timeout + wait).await {
                Ok(LogReply::Records(records)) => {
                    let raw = records.records.into_iter();
                    return Ok(raw.map(|r| RawRecord { offset: Offset(r.offset), bytes: r.bytes }).collect());
                }
                Ok(LogReply::Trimmed(first)) => return Err(LogError::Trimmed(Offset(first))),
                Ok(LogReply::Unavailable(text)) => LogError::Unavailable(text),
                Ok(reply) => LogError::Unavailable(format!("an unfit answer: {}", reply_kind(&reply))),
                Err(error) => LogError::Unavailable(error.to_string()),
            };
        }
        Err(last)
    }

    /// Adds this instance to the relay path of a request; an error if the path has too many hops.
    fn path(&self, mut through: Vec<String>) -> Result<Vec<String>, LogError> {
        if through.len() >= HOPS_MAX as usize {
            return Err(LogError::Unavailable("too many instances between here and the log".to_owned()));
        }
        through.push(self.name.to_string());
        Ok(through)
    }

    /// Records after a read whether the log is reachable, and whether through a peer.
    fn note_reachability(&self, result: &Result<Vec<RawRecord>, LogError>) {
        let is_reachable = !matches!(result, Err(LogError::Unavailable(_)));
        self.peers.set_log_reachable(is_reachable);
        let is_relayed = is_reachable && !self.peers.has_direct_log();
        if self.peers.set_log_relayed(is_relayed) {
            event!(Event::LogRelayed, "relayed={is_relayed} hops={}", self.peers.hops(None));
        }
    }
}

const fn reply_kind(reply: &LogReply) -> &'static str {
    match reply {
        LogReply::Records(_) => "records",
        LogReply::Appended(_) => "appended",
        LogReply::Unavailable(_) => "unavailable",
        LogReply::Unknown(_) => "unknown",
        LogReply::Trimmed(_) => "trimmed",
    }
}

impl Log for PeerLog {
    fn append(&self, stream: String, bytes: Vec<u8>) -> BoxFuture<'_, Result<Offset, LogError>> {
        Box::pin(self.append_through(Vec::new(), stream, bytes))
    }

    fn read(&self, stream: String, from: Offset, wait: Duration) -> BoxFuture<'_, Result<Vec<RawRecord>, LogError>> {
        Box::pin(async move {
            let result = self.read_through(Vec::new(), stream, from, wait).await;
            self.note_reachability(&result);
            result
        })
    }
}
