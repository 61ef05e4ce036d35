//! HTTP server of a fake system.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// HTTP server that runs until it is dropped.
#[derive(Debug)]
pub struct RunningServer {
    /// Address on which the server listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Serves `router` on `address`; with port 0, the system chooses a free port.
    pub async fn start(address: SocketAddr, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self { address, task })
    }

    /// Waits until the server ends, which only an error causes.
    pub async fn wait(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Loopback address for which the system chooses a port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
