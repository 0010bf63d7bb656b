//! A listener with simulated crashes: all connections end at once, and the port stays closed for a
//! time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Time for which a simulated crash keeps the port closed after all connections have ended.
pub type CrashDowntime = Duration;

/// A running listener.
#[derive(Debug)]
pub struct ServerHandle {
    /// The bound address.
    pub address: SocketAddr,
}

/// Serves `router` on `address`. Each duration received from `crashes` ends all connections and
/// closes the port for that time; `on_start` runs each time the port opens.
///
/// # Errors
///
/// Returns the I/O error of the first bind.
pub async fn listen(
    address: &str,
    router: Router,
    mut crashes: mpsc::Receiver<CrashDowntime>,
    on_start: Arc<dyn Fn() + Send + Sync>,
) -> std::io::Result<ServerHandle> {
    let listener = TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    tokio::spawn(async move {
        let mut listener = Some(listener);
        loop {
            let open = match listener.take() {
                Some(open) => open,
                None => match TcpListener::bind(bound).await {
                    Ok(open) => open,
                    Err(_) => {
                        tokio::time::sleep(Duration::from_millis(50)).await;
                        continue;
                    }
                },
            };
            on_start();
            let downtime = serve(open, &router, &mut crashes).await;
            tokio::time::sleep(downtime).await;
            while crashes.try_recv().is_ok() {}
        }
    });
    Ok(ServerHandle { address: bound })
}

async fn serve(
    listener: TcpListener,
    router: &Router,
    crashes: &mut mpsc::Receiver<CrashDowntime>,
) -> CrashDowntime {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Some(downtime) = crashes.recv() => return downtime,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let _ = stream.set_nodelay(true);
                let service = TowerToHyperService::new(router.clone());
                connections.spawn(async move {
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        }
    }
}
