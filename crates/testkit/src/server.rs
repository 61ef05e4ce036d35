//! Start of a stand-in on a loopback port.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Stand-in that serves until it is dropped.
#[derive(Debug)]
pub struct RunningServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Serves `router` on `address`; port 0 takes one from the system.
    pub async fn start(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { address, task })
    }

    /// Waits until the server ends, which it does on an error only.
    pub async fn wait(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Loopback address with a port chosen by the system.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
