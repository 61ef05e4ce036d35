//! Answer that a peer passes on: its head, and the body that follows it piece by piece.

use std::sync::Arc;

use bytes::Bytes;
use coltsfootpick_wire::forwarding::{AnswerKind, ResponseHeadMessage, decode_headers};
use futures_util::stream;
use http::StatusCode;
use http::response::Parts;
use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::buffered_body::BufferedBody;
use crate::forward_link::{ForwardLink, LinkError, LinkPool};
use crate::outcome::{EventStream, StreamAborted};

/// Reads the head of an answer; `None` if it is not valid in HTTP.
pub fn read_head(message: ResponseHeadMessage) -> Option<Parts> {
    let status = StatusCode::from_u16(u16::try_from(message.status).ok()?).ok()?;
    let (mut head, ()) = http::Response::new(()).into_parts();
    head.status = status;
    head.headers = decode_headers(message.headers)?;
    Some(head)
}

/// Body of an answer that a peer passes on.
#[derive(Debug)]
pub struct AnswerBody<G> {
    link: ForwardLink,
    pool: Arc<LinkPool>,
    limit: Instant,
    _guard: G,
}

impl<G: Send + 'static> AnswerBody<G> {
    /// Body that arrives on `link` until `limit`; `guard` is held until it has ended.
    ///
    /// The connection returns to `pool` after the whole body was read.
    pub const fn new(link: ForwardLink, pool: Arc<LinkPool>, limit: Instant, guard: G) -> Self {
        Self { link, pool, limit, _guard: guard }
    }

    /// Next piece; `None` at the end of the whole body.
    async fn next(&mut self) -> Result<Option<Bytes>, LinkError> {
        match tokio::time::timeout_at(self.limit, self.link.receive()).await {
            Ok(Ok(AnswerKind::Body(piece))) => Ok(Some(piece)),
            Ok(Ok(AnswerKind::End(_))) => Ok(None),
            Ok(Ok(_)) => Err(LinkError::new("an unexpected frame within a body")),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(LinkError::new("the deadline passed")),
        }
    }

    /// Reads the whole body into memory.
    pub async fn collect(mut self, board: &Blackboard) -> Result<Bytes, LinkError> {
        let mut buffered = BufferedBody::new(&board.buffered).charged(board.clients.charge());
        while let Some(piece) = self.next().await? {
            buffered.push(piece).map_err(LinkError::new)?;
        }
        self.pool.release(self.link);
        Ok(buffered.into_bytes())
    }

    /// Passes the pieces on as they arrive.
    pub fn into_events(self) -> EventStream {
        Box::pin(stream::unfold(Some(self), |state| async move {
            let mut body = state?;
            match body.next().await {
                Ok(Some(piece)) => Some((Ok(piece), Some(body))),
                Ok(None) => {
                    body.pool.release(body.link);
                    None
                }
                Err(_) => Some((Err(StreamAborted), None)),
            }
        }))
    }
}
