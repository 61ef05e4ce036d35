//! One peer link: the handshake, authenticated frames in both directions, and the timeout that closes a silent link.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use coltsfootpick_core::names::{InstanceName, is_valid_name};
use coltsfootpick_wire::frame::{FRAME_MAX_BYTES, FrameAuthenticator, FrameError, Side, codec};
use coltsfootpick_wire::peer::{HELLO_MAX_BYTES, Hello, NONCE_BYTES, PeerBody, PeerMessage, Ready, link_id};
use derive_more::{Display, Error, From};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::event;
use crate::events::Event;
use crate::instance::Instance;
use crate::peer_gossip;
use crate::peer_requests;
use crate::peer_suspects;
use crate::peers::{LINK_QUEUE_MAX, Link};

/// Number of missed heartbeats after which a link is closed.
const HEARTBEATS_MISSED_MAX: u32 = 4;

/// Most requests of one peer that are processed concurrently.
const REQUESTS_MAX: usize = 64;

/// Size of a frame's length prefix, in bytes.
const LENGTH_BYTES: u64 = 4;

/// Why a link closed or failed to open.
#[derive(Debug, Display, Error, From)]
pub enum LinkError {
    /// The connection failed.
    #[display("connection: {_0}")]
    Io(std::io::Error),
    /// The peer closed the connection.
    #[display("closed by the peer")]
    ClosedByPeer,
    /// Nothing was received, or nothing could be written, within the link timeout.
    #[display("silent")]
    Silent,
    /// A frame failed authentication.
    #[display("{_0}")]
    Frame(FrameError),
    /// An authentic frame could not be decoded.
    #[display("malformed: {_0}")]
    Malformed(prost::DecodeError),
    /// The other end is not the expected instance.
    #[display("a foreign end")]
    Foreign,
    /// This instance closed the link.
    #[display("closed here")]
    ClosedLocally,
}

/// Returns the time without traffic after which a link is closed.
pub fn link_timeout(instance: &Instance) -> Duration {
    instance.settings.heartbeat_interval * HEARTBEATS_MISSED_MAX
}

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Connection after a successful handshake.
struct OpenLink {
    frames: Frames,
    hello: Hello,
    signer: FrameAuthenticator,
    verifier: FrameAuthenticator,
}

/// Opens a link over `stream` and runs it until it closes.
pub async fn run(instance: &Arc<Instance>, stream: TcpStream, side: Side, expected: Option<&InstanceName>) {
    let remote = stream.peer_addr().map_or(IpAddr::from([127, 0, 0, 1]), |address| address.ip());
    let timeout = link_timeout(instance);
    let opened = tokio::time::timeout(timeout, open(instance, stream, side, expected)).await;
    let error = match opened {
        Ok(Ok(opened)) => return serve(instance, opened, side, remote).await,
        Ok(Err(error)) => error,
        Err(_) => LinkError::Silent,
    };
    let peer_name = expected.map_or("unknown", |name| name);
    match &error {
        LinkError::Frame(_) | LinkError::Malformed(_) | LinkError::Foreign => {
            instance.metrics.frames_dropped.inc();
            event!(Event::FrameDropped, "peer={peer_name} remote={remote} stage=handshake reason={error}");
        }
        _ => log::debug!("link peer={peer_name} remote={remote}: {error}"),
    }
}

fn own_hello(instance: &Instance) -> Hello {
    let mut nonce = vec![0; NONCE_BYTES];
    instance.with_rng(|rng| rand_core::Rng::fill_bytes(rng, &mut nonce));
    let caller_address = instance.peers.caller_address.get().copied().unwrap_or(instance.settings.caller_address);
    Hello {
        instance: instance.settings.name.to_string(),
        nonce,
        caller_address: caller_address.to_string(),
        zone: instance.settings.zone.to_string(),
    }
}

async fn open(
    instance: &Instance,
    stream: TcpStream,
    side: Side,
    expected: Option<&InstanceName>,
) -> Result<OpenLink, LinkError> {
    let _ = stream.set_nodelay(true);
    let mut frames = Framed::new(stream, codec());
    frames.codec_mut().set_max_frame_length(HELLO_MAX_BYTES);
    let own = Bytes::from(own_hello(instance).encode_to_vec());
    let theirs = match side {
        Side::Dialer => {
            frames.send(own.clone()).await?;
            receive(&mut frames).await?
        }
        Side::Listener => {
            let theirs = receive(&mut frames).await?;
            frames.send(own.clone()).await?;
            theirs
        }
    };
    let hello = Hello::decode(theirs.as_ref())?;
    let is_foreign = !is_valid_name(&hello.instance)
        || hello.nonce.len() != NONCE_BYTES
        || *hello.instance == *instance.settings.name
        || expected.is_some_and(|name| **name != *hello.instance);
    if is_foreign {
        return Err(LinkError::Foreign);
    }
    let link = match side {
        Side::Dialer => link_id(&own, &theirs),
        Side::Listener => link_id(&theirs, &own),
    };
    let secret = &instance.settings.secret;
    let mut signer = FrameAuthenticator::new(secret, link, side);
    let mut verifier = FrameAuthenticator::new(secret, link, side.other());
    frames.send(signer.sign(&encode(PeerBody::Ready(Ready {})))).await?;
    let proof = PeerMessage::decode(verifier.verify(&receive(&mut frames).await?)?)?;
    if !matches!(proof.body, Some(PeerBody::Ready(_))) {
        return Err(LinkError::Foreign);
    }
    frames.codec_mut().set_max_frame_length(FRAME_MAX_BYTES);
    Ok(OpenLink { frames, hello, signer, verifier })
}

async fn receive(frames: &mut Frames) -> Result<Bytes, LinkError> {
    let frame = frames.next().await.ok_or(LinkError::ClosedByPeer)??;
    Ok(frame.freeze())
}

fn encode(body: PeerBody) -> Vec<u8> {
    PeerMessage { body: Some(body) }.encode_to_vec()
}

/// Returns the address where the peer serves callers; an unspecified IP address is replaced by the connection's.
fn peer_caller_address(hello: &Hello, remote: IpAddr) -> SocketAddr {
    match hello.caller_address.parse::<SocketAddr>() {
        Ok(address) if !address.ip().is_unspecified() => address,
        Ok(address) => SocketAddr::new(remote, address.port()),
        Err(_) => SocketAddr::new(remote, 0),
    }
}

async fn serve(instance: &Arc<Instance>, opened: OpenLink, side: Side, remote: IpAddr) {
    let OpenLink { frames, hello, mut signer, mut verifier } = opened;
    let callers = peer_caller_address(&hello, remote);
    let (out, mut queue) = mpsc::channel(LINK_QUEUE_MAX);
    let link = Arc::new(Link::new(hello.instance.into(), callers, side, out, instance.random_u64()));
    let peer = link.peer.clone();
    instance.peers.add(&link);
    event!(Event::LinkUp, "peer={peer} side={side:?} zone={}", hello.zone);
    peer_gossip::send_known_facts(instance, &link);
    peer_suspects::send_all(instance, &link);
    let timeout = link_timeout(instance);
    let (mut sink, mut stream) = frames.split();
    let reading = async {
        let permits = Arc::new(Semaphore::new(REQUESTS_MAX));
        loop {
            let frame = tokio::time::timeout(timeout, stream.next()).await;
            let frame = frame.map_err(|_elapsed| LinkError::Silent)?.ok_or(LinkError::ClosedByPeer)??;
            handle_frame(instance, &link, &permits, &mut verifier, frame)?;
        }
    };
    let writing = async {
        while let Some(body) = queue.recv().await {
            let frame = signer.sign(&encode(body));
            instance.metrics.peer_sent_bytes.inc_by(frame.len() as u64 + LENGTH_BYTES);
            tokio::time::timeout(timeout, sink.send(frame)).await.map_err(|_elapsed| LinkError::Silent)??;
        }
        Err(LinkError::ClosedLocally)
    };
    let ended: Result<(), LinkError> = tokio::select! {
        ended = reading => ended,
        ended = writing => ended,
        () = link.closed.cancelled() => Err(LinkError::ClosedLocally),
        () = instance.stopped.cancelled() => Err(LinkError::ClosedLocally),
    };
    link.closed.cancel();
    instance.peers.remove(&link);
    instance.peers.heartbeat_now.notify_one();
    report_end(instance, &peer, &ended.err().unwrap_or(LinkError::ClosedByPeer));
}

fn report_end(instance: &Instance, peer: &InstanceName, error: &LinkError) {
    if matches!(error, LinkError::Frame(_) | LinkError::Malformed(_)) {
        instance.metrics.frames_dropped.inc();
        event!(Event::FrameDropped, "peer={peer} stage=open reason={error}");
    }
    event!(Event::LinkDown, "peer={peer} reason={error}");
}

fn handle_frame(
    instance: &Arc<Instance>,
    link: &Arc<Link>,
    permits: &Arc<Semaphore>,
    verifier: &mut FrameAuthenticator,
    frame: BytesMut,
) -> Result<(), LinkError> {
    instance.metrics.peer_received_bytes.inc_by(frame.len() as u64 + LENGTH_BYTES);
    let message = PeerMessage::decode(verifier.verify(&frame.freeze())?)?;
    match message.body {
        Some(PeerBody::Heartbeat(heartbeat)) => peer_gossip::handle_heartbeat(instance, link, heartbeat),
        Some(PeerBody::Gossip(gossip)) => peer_gossip::handle_gossip(instance, gossip),
        Some(PeerBody::SuspectReports(reports)) => peer_suspects::handle_reports(instance, reports),
        Some(PeerBody::LogRequest(request)) => peer_requests::handle_request(instance, link, permits, request),
        Some(PeerBody::LogResponse(response)) => link.complete_request(response),
        Some(PeerBody::Ready(_)) | None => {}
    }
    Ok(())
}
