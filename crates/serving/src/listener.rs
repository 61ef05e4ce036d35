//! Accepts connections from callers and other instances.

use std::time::Duration;

use coltsfootpick_process::socket_limits::SocketLimits;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Waits for the next connection and retries after errors; `kind` describes the connection in log lines.
pub async fn accept_next(listener: &TcpListener, kind: &str, limits: SocketLimits) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true).and_then(|()| limits.apply(&stream)) {
                    log::debug!("cannot set the options of {kind}: {error}");
                }
                return stream;
            }
            Err(error) => {
                log::warn!("cannot accept {kind}: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
