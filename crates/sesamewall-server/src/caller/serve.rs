//! Accepts HTTP connections within limits, and closes them gracefully at a shutdown.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::guarded_stream::GuardedStream;

/// Time after which a connection is closed if no request begins on it. [`GuardedStream`] refuses
/// slow headers earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of open connections of one listener; further ones wait in the listen queue.
const CONNECTION_LIMIT: usize = 16_384;

/// Serves `router` until `stop` is cancelled, then waits until all requests have ended.
pub async fn serve_http(listener: TcpListener, router: Router, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(CONNECTION_LIMIT));
    loop {
        let permit = tokio::select! {
            () = stop.cancelled() => break,
            permit = permits.clone().acquire_owned() => permit,
        };
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // Accepting fails while the process has no free file descriptor, so it is retried.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(GuardedStream::new(stream)), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = watched.await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
