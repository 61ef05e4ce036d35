//! One link over which loads are exchanged, as its opener and its acceptor use it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::load_update::LoadUpdate;
use coltsfootpick_process::socket_limits;
use coltsfootpick_wire::fleet_load::{FRAME_MAX_BYTES, LoadFrame, LoadHello};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::blackboard::Blackboard;
use crate::forward_link::LinkError;

/// Time limit for connecting, and for the first frame of a collector.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit for sending a frame; the other end may be frozen.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of frames that are read from a link in one second: ten times what is sent on one.
const FRAMES_PER_SECOND_MAX: u32 = 100;

/// Link between two instances.
#[derive(derive_more::Debug)]
pub struct LoadLink {
    frames: Framed<TcpStream, LengthDelimitedCodec>,
    #[debug(skip)]
    board: Arc<Blackboard>,
    window_start: Instant,
    window_frames: u32,
}

impl LoadLink {
    /// Link over an accepted connection.
    pub fn new(stream: TcpStream, board: &Arc<Blackboard>) -> Self {
        let frames = LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_framed(stream);
        Self { frames, board: Arc::clone(board), window_start: Instant::now(), window_frames: 0 }
    }

    /// Opens a link to `address` and greets.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection in time.
    pub async fn connect(address: SocketAddr, board: &Arc<Blackboard>, is_collector: bool) -> Result<Self, LinkError> {
        let connecting = tokio::time::timeout(ANSWER_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_elapsed| LinkError::new("no connection in time"))?.map_err(LinkError::new)?;
        stream.set_nodelay(true).map_err(LinkError::new)?;
        socket_limits::PEER.apply(&stream).map_err(LinkError::new)?;
        let mut link = Self::new(stream, board);
        link.send_bytes(LoadFrame::hello(&board.instance.name, is_collector).encode_to_vec().into()).await?;
        Ok(link)
    }

    /// Sends an update and returns the length of its frame.
    ///
    /// # Errors
    ///
    /// Fails if the link is broken or the other end does not read.
    pub async fn send(&mut self, update: &LoadUpdate) -> Result<usize, LinkError> {
        let bytes = Bytes::from(LoadFrame::update(update).encode_to_vec());
        let length = bytes.len();
        self.send_bytes(bytes).await?;
        Ok(length)
    }

    /// Sends an encoded frame.
    ///
    /// # Errors
    ///
    /// Fails if the link is broken or the other end does not read.
    pub async fn send_bytes(&mut self, bytes: Bytes) -> Result<(), LinkError> {
        self.board.metrics.note_load_frame("sent", bytes.len());
        let sending = tokio::time::timeout(SEND_TIMEOUT, self.frames.send(bytes)).await;
        sending.map_err(|_elapsed| LinkError::new("the other end does not read"))?.map_err(LinkError::new)
    }

    /// Reads the greeting of the opener.
    ///
    /// # Errors
    ///
    /// Fails if the link ends or the frame is malformed.
    pub async fn greeting(&mut self) -> Result<LoadHello, LinkError> {
        self.frame().await?.into_hello().map_err(LinkError::new)
    }

    /// Reads the next update; cancelling the call loses nothing.
    ///
    /// # Errors
    ///
    /// Fails if the link ends, a frame is malformed, or there are too many.
    pub async fn receive(&mut self) -> Result<LoadUpdate, LinkError> {
        self.frame().await?.into_update().map_err(LinkError::new)
    }

    async fn frame(&mut self) -> Result<LoadFrame, LinkError> {
        let frame = self.frames.next().await.ok_or_else(|| LinkError::new("the link was closed"))?;
        let frame = frame.map_err(LinkError::new)?;
        self.board.metrics.note_load_frame("received", frame.len());
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            (self.window_start, self.window_frames) = (Instant::now(), 0);
        }
        self.window_frames += 1;
        if self.window_frames > FRAMES_PER_SECOND_MAX {
            return Err(LinkError::new("too many frames"));
        }
        LoadFrame::read(&frame).map_err(LinkError::new)
    }
}
