//! Links between instances: authentication, dropped frames, and detection of silent links.

mod common;
#[path = "common/wire_tap.rs"]
mod wire_tap;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::membership::MemberStatus;
use coltsfootpick_wire::frame::{FrameAuthenticator, Side, codec};
use coltsfootpick_wire::peer::{Hello, PeerBody, PeerHeartbeat, PeerMessage, Ready, link_id};
use coltsfootpickd::instance_list::FLEET_SERVICE;
use common::{Fleet, HEARTBEAT, eventually, server};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use wire_tap::Tap;

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

const WRONG_KEY: [u8; 32] = [7; 32];

/// Dials as instance `name` and performs the handshake with `key`.
async fn dial(address: SocketAddr, name: &str, key: &[u8]) -> (Frames, FrameAuthenticator) {
    let mut frames = Framed::new(TcpStream::connect(address).await.unwrap(), codec());
    let caller_address = "127.0.0.1:1".to_owned();
    let hello = Hello { instance: name.to_owned(), nonce: vec![1; 32], caller_address, zone: "tunis-a".to_owned() };
    let own = Bytes::from(hello.encode_to_vec());
    frames.send(own.clone()).await.unwrap();
    let theirs = frames.next().await.unwrap().unwrap().freeze();
    let mut signer = FrameAuthenticator::new(key, link_id(&own, &theirs), Side::Dialer);
    frames.send(signer.sign(&encode(PeerBody::Ready(Ready {})))).await.unwrap();
    (frames, signer)
}

fn encode(body: PeerBody) -> Vec<u8> {
    PeerMessage { body: Some(body) }.encode_to_vec()
}

/// Reads until the other end closes the connection; returns false at the timeout.
async fn is_closed(frames: &mut Frames) -> bool {
    let drained = async { while let Some(Ok(_)) = frames.next().await {} };
    tokio::time::timeout(common::CONDITION_TIMEOUT, drained).await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn full_mesh() {
    let fleet = Fleet::start(3, 1).await;
    fleet.wait_for_links().await;
    let last = fleet.instances[2].instance.board.shards[0].lock().credit.holder().clone();
    for index in 0..2 {
        let instance = &fleet.instances[index].instance;
        let silence = instance.settings.silence_timeout;
        eventually("the member is known to be alive", || {
            instance.board.membership.lock().status(&last, instance.deps.clock.now(), silence) == MemberStatus::Alive
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_key() {
    let fleet = Fleet::start(1, 1).await;
    let target = &fleet.instances[0];
    let (mut frames, _) = dial(target.peer_address, "stranger", &WRONG_KEY).await;
    assert!(is_closed(&mut frames).await);
    // The connection is closed shortly before the frame is counted.
    eventually("the frame with the wrong key is counted", || target.instance.metrics.frames_dropped.get() > 0).await;
    assert_eq!(target.instance.metrics.frames_dropped.get(), 1);
    assert!(!target.instance.peers.is_linked(&"stranger".into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_frame() {
    let fleet = Fleet::start(1, 1).await;
    let target = &fleet.instances[0];
    let secret = target.instance.settings.secret.to_vec();
    let (mut frames, mut signer) = dial(target.peer_address, "peer", &secret).await;
    eventually("the link is open", || target.instance.peers.is_linked(&"peer".into())).await;
    let mut forged = signer.sign(&encode(PeerBody::Heartbeat(PeerHeartbeat::default()))).to_vec();
    let last = forged.len() - 1;
    forged[last] ^= 1;
    frames.send(Bytes::from(forged)).await.unwrap();
    assert!(is_closed(&mut frames).await);
    assert_eq!(target.instance.metrics.frames_dropped.get(), 1);
    eventually("the link is closed", || !target.instance.peers.is_linked(&"peer".into())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replayed_frame() {
    let fleet = Fleet::start(1, 1).await;
    let target = &fleet.instances[0];
    let secret = target.instance.settings.secret.to_vec();
    let (mut frames, mut signer) = dial(target.peer_address, "peer", &secret).await;
    let heartbeat = signer.sign(&encode(PeerBody::Heartbeat(PeerHeartbeat { hops: 0, ..PeerHeartbeat::default() })));
    frames.send(heartbeat.clone()).await.unwrap();
    eventually("the link is open", || target.instance.peers.is_linked(&"peer".into())).await;
    frames.send(heartbeat).await.unwrap();
    assert!(is_closed(&mut frames).await);
    assert_eq!(target.instance.metrics.frames_dropped.get(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn replayed_link() {
    let mut fleet = Fleet::start(1, 1).await;
    let tap = Tap::start(fleet.instances[0].peer_address).await;
    fleet.platform.list_server(server("instance-0", FLEET_SERVICE, tap.address));
    // The instance with the lesser name dials, so the tap records what it sends.
    fleet.add_instance("a-dialer").await;
    let target = &fleet.instances[0];
    eventually("the link is open", || target.instance.peers.is_linked(&"a-dialer".into())).await;
    eventually("frames were recorded", || tap.sent.lock()[0].len() > 1_000).await;
    let recorded = tap.sent.lock()[0].clone();
    tap.block();
    eventually("the link is closed", || !target.instance.peers.is_linked(&"a-dialer".into())).await;
    let mut stream = TcpStream::connect(target.peer_address).await.unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stream, &recorded).await.unwrap();
    let mut frames = Framed::new(stream, codec());
    assert!(is_closed(&mut frames).await);
    assert_eq!(target.instance.metrics.frames_dropped.get(), 1);
    assert!(!target.instance.peers.is_linked(&"a-dialer".into()));
}

/// A silent link is closed after four missed heartbeats, and replaced within one more heartbeat interval.
#[tokio::test(flavor = "multi_thread")]
async fn silent_link() {
    let mut fleet = Fleet::start(1, 1).await;
    let tap = Tap::start(fleet.instances[0].peer_address).await;
    fleet.platform.list_server(server("instance-0", FLEET_SERVICE, tap.address));
    fleet.add_instance("a-dialer").await;
    fleet.wait_for_links().await;
    tokio::time::sleep(2 * HEARTBEAT).await;
    let old = fleet.instances[1].instance.peers.links();
    let start = tokio::time::Instant::now();
    tap.silence();
    eventually("the silent link is closed", || old.iter().all(|link| link.closed.is_cancelled())).await;
    fleet.wait_for_links().await;
    // Four intervals to detect it, one to dial, and a second of tolerance for a busy machine.
    assert!(start.elapsed() < 5 * HEARTBEAT + Duration::from_secs(1), "{:?}", start.elapsed());
}

/// The first and the last instance have no link, and receive each other's heartbeats through the middle one.
#[tokio::test(flavor = "multi_thread")]
async fn partial_partition() {
    let fleet = Fleet::with_settings(3, 1, |text| text.replace("silence-ms = 10000", "silence-ms = 1000")).await;
    fleet.wait_for_links().await;
    let blocked = Tap::start(SocketAddr::from(([127, 0, 0, 1], 1))).await;
    blocked.block();
    fleet.platform.list_server(server("instance-2", FLEET_SERVICE, blocked.address));
    let (first, last) = (&fleet.instances[0].instance, &fleet.instances[2].instance);
    eventually("the instance list is read", || first.peers.listed().iter().any(|peer| peer.address == blocked.address))
        .await;
    for link in first.peers.links().iter().filter(|link| *link.peer == *"instance-2") {
        link.closed.cancel();
    }
    eventually("the link is closed", || !first.peers.is_linked(&"instance-2".into())).await;
    tokio::time::sleep(3 * first.settings.silence_timeout).await;
    let holder = last.board.shards[0].lock().credit.holder().clone();
    let now = first.deps.clock.now();
    assert!(!first.peers.is_linked(&"instance-2".into()));
    assert_ne!(
        first.board.membership.lock().status(&holder, now, first.settings.silence_timeout),
        MemberStatus::Silent
    );
}
