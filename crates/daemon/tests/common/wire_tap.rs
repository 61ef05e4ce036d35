//! TCP proxy between two instances that records traffic, and can silence or refuse connections.
#![allow(dead_code, reason = "every test file uses its own part of the helper")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Proxy in front of one address.
#[derive(Clone, Debug)]
pub struct Tap {
    /// Address of the proxy.
    pub address: SocketAddr,
    /// Bytes that dialers sent, one buffer per connection.
    pub sent: Arc<Mutex<Vec<Vec<u8>>>>,
    /// Flag shared with the open connections, which drop all traffic once it is set; later connections get a new flag.
    silent: Arc<Mutex<Arc<AtomicBool>>>,
    refusing: Arc<AtomicBool>,
}

impl Tap {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let tap = Self { address, sent: Arc::default(), silent: Arc::default(), refusing: Arc::default() };
        let proxy = tap.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                if proxy.refusing.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(far) = TcpStream::connect(target).await {
                    proxy.connect(near, far);
                }
            }
        });
        tap
    }

    /// Silences all open connections; new connections work.
    pub fn silence(&self) {
        let open = std::mem::take(&mut *self.silent.lock());
        open.store(true, Ordering::SeqCst);
    }

    /// Refuses new connections and silences the open ones.
    pub fn block(&self) {
        self.refusing.store(true, Ordering::SeqCst);
        self.silence();
    }

    fn connect(&self, near: TcpStream, far: TcpStream) {
        let silent = Arc::clone(&self.silent.lock());
        let index = {
            let mut sent = self.sent.lock();
            sent.push(Vec::new());
            sent.len() - 1
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let sent = Arc::clone(&self.sent);
        let record = move |bytes: &[u8]| sent.lock()[index].extend_from_slice(bytes);
        tokio::spawn(copy(near_read, far_write, Arc::clone(&silent), record));
        tokio::spawn(copy(far_read, near_write, silent, |_: &[u8]| {}));
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    silent: Arc<AtomicBool>,
    record: impl Fn(&[u8]),
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        record(&buffer[..count]);
        if !silent.load(Ordering::SeqCst) && to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
