//! Starts a process on the platform and ends it in order.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::FutureExt;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use sesamewall_adapters::http_client::CallError;
use sesamewall_platform::Machine;
use sesamewall_platform::READY_PATH;
use sesamewall_platform::StoreClient;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use crate::Node;
use crate::caller_link;
use crate::control;
use crate::feed;
use crate::feed::FEED_PATH;
use crate::job_adopter::JobAdopter;
use crate::job_adopter::JobWatch;
use crate::job_api::JobApi;
use crate::job_keys::JOB_PREFIX;
use crate::job_messages::JOB_PATH;
use crate::job_messages::JobReply;
use crate::job_messages::JobRequest;
use crate::lease;
use crate::lease::ProcessLease;
use crate::logs;
use crate::online::Online;
use crate::peer_client;
use crate::reply::Reply;
use crate::reply::empty;
use crate::reply::full;
use crate::store_relay;
use crate::store_relay::RELAY_PATH;
use crate::sync;
use crate::worker::Worker;

/// Port of the metrics, the same on all machines.
const METRICS_PORT: u16 = 9464;

/// Time after SIGTERM in which the load balancer takes the instance out: two misses, a second apart.
const BALANCER_TIME: Duration = Duration::from_millis(2600);

/// Time before SIGKILL by which a process is gone.
const END_MARGIN: Duration = Duration::from_millis(700);

/// Shortest time between two watches of the jobs: each watch is paid for, and an ended job has to stop
/// within some seconds.
const JOB_PACE: Duration = Duration::from_millis(1000);

/// Idle connections of callers are kept for somewhat longer than callers use them.
const IDLE_FACTOR: f64 = 1.1;

/// Runs the process that the platform's settings file describes, until SIGTERM.
///
/// # Errors
///
/// Returns `Error::SettingsInvalid` if the file or an address in it cannot be used.
pub async fn run() -> Result<()> {
    let path = Machine::path()?;
    let machine = Machine::load(&path)?;
    let log = logs::logger(&machine);
    info!(log, "process started"; "version" => env!("CARGO_PKG_VERSION"),
        "first_start" => machine.first_start, "worker" => machine.worker);
    let store = Arc::new(StoreClient::new(machine.store));
    let node = Arc::new(Node::new(machine, store, log));
    let socket = bind_datagrams(&node).await?;
    let lease = Arc::new(ProcessLease::default());
    let worker = node.machine.worker.then(|| Worker::new(node.clone(), lease.clone()));
    let side = Side { node: node.clone(), worker: worker.clone() };
    let inner = SocketAddr::new(node.machine.ip, node.machine.peer_port);
    let metrics = SocketAddr::new(node.machine.ip, METRICS_PORT);
    for address in [node.machine.ready, Some(metrics), Some(inner)].into_iter().flatten() {
        side.listen(address).await?;
    }
    let control = control::spawn(&node, &lease, socket);
    sync::spawn(&node);
    tokio::spawn(lease::keep(node.clone(), lease.clone()));
    if let Some(worker) = &worker {
        let sweeper = JobAdopter::new(worker.clone());
        let follower = JobWatch(sweeper.clone());
        tokio::spawn(sync::follow(node.clone(), JOB_PREFIX, JOB_PACE, follower));
        tokio::spawn(sweeper.run());
        tokio::spawn(worker.clone().run());
    }
    let callers = match node.machine.callers {
        Some(address) => Some(bind("listen.front", address).await?),
        None => None,
    };
    let mut term = signals(SignalKind::terminate())?;
    let mut hangup = signals(SignalKind::hangup())?;
    let reload = node.clone();
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            reload_settings(&reload);
        }
    });
    let stop = async move {
        term.recv().await;
    };
    match callers {
        Some(listener) => serve_callers(&node, listener, stop).await,
        None => stop.await,
    }
    let grace = node.machine.bounds.grace.saturating_sub(END_MARGIN);
    node.draining.store(true, Ordering::Relaxed);
    node.changed.notify_one();
    if let Some(worker) = worker {
        info!(node.log, "worker drains"; "items" => worker.running());
        let emptied = async {
            while worker.running() > 0 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let _ = tokio::time::timeout(grace, emptied).await;
    }
    control::leave(&control);
    lease.end(&node).await;
    info!(node.log, "process stopped");
    // The log's writer gets a moment for the last lines.
    tokio::time::sleep(Duration::from_millis(20)).await;
    Ok(())
}

fn invalid(key: &str, detail: String) -> Error {
    Error::SettingsInvalid { file: "settings".to_owned(), line: 0, key: key.to_owned(), detail }
}

fn signals(kind: SignalKind) -> Result<tokio::signal::unix::Signal> {
    signal(kind).map_err(|error| invalid("signal", error.to_string()))
}

async fn bind(key: &str, address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| invalid(key, format!("cannot listen on {address}: {error}")))
}

async fn bind_datagrams(node: &Node) -> Result<UdpSocket> {
    let ip: IpAddr = node.machine.ip;
    let address = SocketAddr::new(ip, node.machine.peer_port);
    let bound = UdpSocket::bind(address).await;
    bound.map_err(|error| invalid("portRange", format!("cannot listen on {address}: {error}")))
}

/// Reads the settings file again. Addresses and names hold for the life of a process.
fn reload_settings(node: &Node) {
    let result = Machine::path().and_then(|path| Machine::load(&path));
    match result {
        Ok(machine) if machine == node.machine => info!(node.log, "settings unchanged"),
        Ok(_) => info!(node.log, "settings changed; they hold from the next start"),
        Err(error) => warn!(node.log, "settings refused"; "error" => %error),
    }
}

/// Serves readiness, metrics, and other instances.
#[derive(Clone)]
struct Side {
    node: Arc<Node>,
    worker: Option<Arc<Worker>>,
}

impl Side {
    async fn listen(&self, address: SocketAddr) -> Result<()> {
        let listener = bind("listen", address).await?;
        let side = self.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                };
                // A connection without the option is slower and no less usable.
                let _ = stream.set_nodelay(true);
                let side = side.clone();
                let service = service_fn(move |request: Request<Incoming>| {
                    let side = side.clone();
                    async move { Ok::<Reply, std::convert::Infallible>(side.reply(request).await) }
                });
                tokio::spawn(async move {
                    // A broken connection of the load balancer needs no answer.
                    let _ = http1::Builder::new()
                        .timer(TokioTimer::new())
                        .header_read_timeout(Duration::from_secs(30))
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Ok(())
    }

    async fn reply(&self, request: Request<Incoming>) -> Reply {
        let node = &self.node;
        let path = request.uri().path().to_owned();
        match path.as_str() {
            RELAY_PATH | FEED_PATH | JOB_PATH => {
                let body = request.into_body().collect().await.map(|body| body.to_bytes());
                let reply = match &body {
                    Ok(body) => self.answer_peer(&path, body).await,
                    Err(_) => None,
                };
                let mut answer = empty(StatusCode::BAD_REQUEST);
                if let Some(bytes) = reply {
                    *answer.status_mut() = StatusCode::OK;
                    *answer.body_mut() = full(bytes);
                }
                answer
            }
            READY_PATH => empty(match is_ready(node) {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            }),
            "/metrics" => {
                let mut reply = empty(StatusCode::OK);
                *reply.body_mut() = full(node.metrics.text());
                reply
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    async fn answer_peer(&self, path: &str, body: &[u8]) -> Option<Vec<u8>> {
        let node = &self.node;
        match path {
            RELAY_PATH => peer_client::answer(body, |call| store_relay::serve(node, call)).await,
            FEED_PATH => peer_client::answer(body, async |known| feed::serve(node, &known)).await,
            _ => peer_client::answer(body, |ask| self.answer_job(ask)).await,
        }
    }

    async fn answer_job(&self, ask: JobRequest) -> JobReply {
        match (ask, &self.worker) {
            (JobRequest::Forward(forward), _) => {
                let (owner, ask) = *forward;
                let limit = Duration::from_millis(1300);
                match self.node.calls.call(owner, JOB_PATH, &ask, limit).await {
                    Ok(told) => told,
                    Err(CallError::NotSent) => JobReply::NotHere,
                    Err(CallError::Unclear) => JobReply::Unclear,
                }
            }
            (ask, Some(worker)) => worker.serve(ask).await,
            (_, None) => JobReply::NotHere,
        }
    }
}

fn is_ready(node: &Node) -> bool {
    let now = node.now();
    let state = node.state();
    let heard = state.peers.is_hub() || state.peers.home(now).is_some();
    !node.is_draining() && heard && state.catalog.is_some() && !state.targets.is_empty()
}

/// Accepts callers until `stop`, then lets the load balancer notice and ends the connections.
async fn serve_callers(
    node: &Arc<Node>,
    listener: TcpListener,
    stop: impl std::future::Future<Output = ()>,
) {
    let jobs = Arc::new(JobApi::new(node.clone()));
    let online = Arc::new(Online::new(node.clone(), jobs));
    let closing = watch::Sender::new(false);
    let mut stop = std::pin::pin!(stop);
    let mut ended: Option<tokio::time::Instant> = None;
    loop {
        let until = ended.map(|at| at + BALANCER_TIME);
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve_caller(node, &online, stream, &closing),
                Err(error) => {
                    warn!(node.log, "connection not accepted"; "error" => %error);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            },
            () = &mut stop, if ended.is_none() => {
                ended = Some(tokio::time::Instant::now());
                node.draining.store(true, Ordering::Relaxed);
                node.changed.notify_one();
                info!(node.log, "instance drains");
            }
            () = sleep_until(until), if until.is_some() => break,
        }
    }
    // Connections that wait for their acceptance would be reset with the listener.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        serve_caller(node, &online, stream, &closing);
    }
    drop(listener);
    let left = node.machine.bounds.grace.saturating_sub(BALANCER_TIME + END_MARGIN);
    closing.send_replace(true);
    if tokio::time::timeout(left, closing.closed()).await.is_err() {
        warn!(node.log, "connections left at the end of the grace period");
    }
}

fn serve_caller(
    node: &Node,
    online: &Arc<Online>,
    stream: TcpStream,
    closing: &watch::Sender<bool>,
) {
    // A connection without the option is slower and no less usable.
    let _ = stream.set_nodelay(true);
    let idle = node
        .catalog()
        .map_or(Duration::from_secs(30), |catalog| catalog.limits.idle_time.mul_f64(IDLE_FACTOR));
    tokio::spawn(caller_link::serve(stream, online.clone(), idle, closing.subscribe()));
}

async fn sleep_until(until: Option<tokio::time::Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}
