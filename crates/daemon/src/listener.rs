//! HTTP server: accepts connections, limits slow clients, and shuts down gracefully.

use std::time::Duration;

use axum::Router;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Most headers in one request.
const HEADERS_MAX: usize = 64;

/// Pause after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves `router` until `stop` is cancelled, then lets open requests finish. `header_timeout` bounds the time for
/// receiving the headers of a request.
pub async fn serve(listener: TcpListener, router: Router, header_timeout: Duration, stop: CancellationToken) {
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(header_timeout).max_headers(HEADERS_MAX);
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        let connection = builder.serve_connection_with_upgrades(TokioIo::new(stream), service).into_owned();
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = watched.await {
                log::debug!("connection: {error}");
            }
        });
    }
    graceful.shutdown().await;
}
