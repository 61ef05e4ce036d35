//! Time limits of connections: both options are set, and together they notice a silent cut in time.

use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use coltsfootpick_process::socket_limits::{CALLER, PEER, SERVER, SocketLimits};
use socket2::SockRef;
use test_case::test_case;

fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (stream, listener.accept().unwrap().0)
}

#[test_case(SERVER, 4; "server")]
#[test_case(PEER, 2; "peer")]
#[test_case(CALLER, 20; "caller")]
fn silence_noticed(limits: SocketLimits, seconds: u64) {
    let (stream, _peer) = connect();
    limits.apply(&stream).unwrap();
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().unwrap());
    assert_eq!(socket.tcp_keepalive_time().unwrap(), limits.idle);
    assert_eq!(socket.tcp_keepalive_interval().unwrap(), limits.interval);
    assert_eq!(socket.tcp_keepalive_retries().unwrap(), limits.probes());
    assert_eq!(socket.tcp_user_timeout().unwrap(), Some(limits.unacknowledged));
    assert!(limits.noticed_after() <= Duration::from_secs(seconds), "{:?}", limits.noticed_after());
}

/// The user timeout must not end probes before the first one is due, nor a server that is silent for a second.
#[test_case(SERVER)]
#[test_case(PEER)]
#[test_case(CALLER)]
fn timeout_after_probe(limits: SocketLimits) {
    assert!(limits.unacknowledged >= limits.idle + limits.interval);
}
