//! Connections over which requests are forwarded between instances, each with one request at a time.
//!
//! One request per connection gives each its own flow control, so that a slow caller delays no other. See
//! `docs/FORWARDING.md`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_process::socket_limits;
use coltsfootpick_wire::forwarding::{AnswerFrame, AnswerKind, FRAME_MAX_BYTES, ForwardFrame, ForwardKind};
use derive_more::{Display, Error};
use futures_util::{FutureExt, SinkExt, StreamExt};
use parking_lot::Mutex;
use prost::Message;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time limit for connecting to a peer; regions are about 16 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which an idle connection is reused; the peer keeps it longer.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Maximum number of idle connections to one peer.
const IDLE_MAX: usize = 16;

/// Error of a connection to a peer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason}")]
pub struct LinkError {
    /// Description of the fault.
    pub reason: String,
}

impl LinkError {
    /// Error with a description.
    pub fn new(reason: impl std::fmt::Display) -> Self {
        Self { reason: format!("{reason}") }
    }
}

/// Frames of a connection.
pub fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_framed(stream)
}

/// Connection to a peer; dropping it closes it, which cancels its request.
#[derive(Debug)]
pub struct ForwardLink {
    frames: Framed<TcpStream, LengthDelimitedCodec>,
}

impl ForwardLink {
    async fn connect(address: SocketAddr) -> Result<Self, LinkError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_elapsed| LinkError::new("no connection in time"))?.map_err(LinkError::new)?;
        stream.set_nodelay(true).map_err(LinkError::new)?;
        socket_limits::PEER.apply(&stream).map_err(LinkError::new)?;
        Ok(Self { frames: framed(stream) })
    }

    /// Sends one frame.
    pub async fn send(&mut self, kind: ForwardKind) -> Result<(), LinkError> {
        let frame = ForwardFrame { kind: Some(kind) };
        self.frames.send(Bytes::from(frame.encode_to_vec())).await.map_err(LinkError::new)
    }

    /// Reads the next frame.
    pub async fn receive(&mut self) -> Result<AnswerKind, LinkError> {
        let frame = self.frames.next().await.ok_or_else(|| LinkError::new("the peer closed the connection"))?;
        let frame = AnswerFrame::decode(frame.map_err(LinkError::new)?).map_err(LinkError::new)?;
        frame.kind.ok_or_else(|| LinkError::new("the peer sent an unknown frame"))
    }

    /// Whether the peer has closed the idle connection, or sent something on it.
    fn is_spent(&mut self) -> bool {
        self.frames.next().now_or_never().is_some()
    }
}

/// Idle connections to one peer.
#[derive(Debug)]
pub struct LinkPool {
    /// Address of the peer.
    pub address: SocketAddr,
    idle: Mutex<Vec<(ForwardLink, Instant)>>,
}

impl LinkPool {
    /// Pool without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::default() }
    }

    /// Takes an idle connection or opens one.
    pub async fn take(&self) -> Result<ForwardLink, LinkError> {
        loop {
            let Some((mut link, expires_at)) = self.idle.lock().pop() else { break };
            if expires_at > Instant::now() && !link.is_spent() {
                return Ok(link);
            }
        }
        ForwardLink::connect(self.address).await
    }

    /// Keeps a connection for reuse after a whole exchange.
    pub fn release(&self, link: ForwardLink) {
        let (mut idle, now) = (self.idle.lock(), Instant::now());
        idle.retain(|(_, expires_at)| *expires_at > now);
        if idle.len() < IDLE_MAX {
            idle.push((link, now + IDLE_TIME));
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.lock().clear();
    }
}
