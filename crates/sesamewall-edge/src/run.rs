//! Starts a process on the platform and stops it in order.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use sesamewall_platform::InstanceSettings;
use sesamewall_platform::StoreClient;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;
use sesamewall_protocol::scaled;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use crate::InstanceContext;
use crate::caller_connection;
use crate::caller_connection::ConnectionSettings;
use crate::connection_table::ConnectionSlot;
use crate::internal_server::InternalServer;
use crate::job_adopter::JobAdopter;
use crate::job_adopter::JobWatch;
use crate::job_api::JobApi;
use crate::job_keys::JOB_PREFIX;
use crate::lease;
use crate::lease::ProcessLease;
use crate::logs;
use crate::online::Online;
use crate::retirement;
use crate::state_exchange;
use crate::store_watch;
use crate::version_rollout;
use crate::worker::Worker;

/// Port of the metrics, the same on all machines.
const METRICS_PORT: u16 = 9464;

/// Time after SIGTERM in which the load balancer removes the instance: two missed checks, a second
/// apart.
const BALANCER_DELAY: Duration = Duration::from_millis(2600);

/// Shortest time between two watches of the jobs: each watch is billed, and an ended job has to
/// stop within some seconds.
const JOB_WATCH_INTERVAL: Duration = Duration::from_millis(1000);

/// Factor by which idle connections of callers are kept longer than callers use them.
const IDLE_FACTOR: f64 = 1.1;

/// Longest wait for the store to end the lease. Its TTL is not much longer.
const LEASE_END_LIMIT: Duration = Duration::from_secs(2);

/// Runs the process that the platform's settings file describes, until SIGTERM.
///
/// # Errors
///
/// Returns `Error::SettingsInvalid` if the file or an address in it cannot be used, and
/// `Error::Internal` if the process has stopped because one of its tasks has ended.
pub async fn run() -> Result<()> {
    // Until a signal has a handler, it ends the process.
    let mut term = signals(SignalKind::terminate())?;
    let mut hangup = signals(SignalKind::hangup())?;
    let path = InstanceSettings::path()?;
    let settings = InstanceSettings::load(&path)?;
    let log = logs::logger(&settings);
    info!(log, "process started"; "version" => env!("CARGO_PKG_VERSION"),
        "first_start" => settings.first_start, "worker" => settings.is_worker);
    let store = Arc::new(StoreClient::new(settings.store_address));
    let context = Arc::new(InstanceContext::new(settings, store, log));
    let socket = bind_datagrams(&context).await?;
    let lease = Arc::new(ProcessLease::default());
    let worker = context.settings.is_worker.then(|| Worker::new(context.clone(), lease.clone()));
    let server = InternalServer { context: context.clone(), worker: worker.clone() };
    let peer_address = SocketAddr::new(context.settings.ip, context.settings.peer_port);
    let metrics = SocketAddr::new(context.settings.ip, METRICS_PORT);
    let tables = &context.connections;
    if let Some(address) = context.settings.ready_address {
        server.listen(address, tables.ready.clone(), false).await?;
    }
    server.listen(metrics, tables.metrics.clone(), false).await?;
    server.listen(peer_address, tables.peers.clone(), true).await?;
    let exchange = state_exchange::spawn(&context, &lease, socket);
    store_watch::spawn(&context);
    retirement::spawn(&context, worker.as_ref());
    version_rollout::spawn(&context);
    let tasks = &context.tasks;
    tasks.spawn_essential("lease", lease::keep(context.clone(), lease.clone()));
    if let Some(worker) = &worker {
        let adopter = JobAdopter::new(worker.clone());
        let job_watch = JobWatch(adopter.clone());
        let watch =
            store_watch::watch_prefix(context.clone(), JOB_PREFIX, JOB_WATCH_INTERVAL, job_watch);
        tasks.spawn_essential("job watch", watch);
        tasks.spawn_essential("job adopter", adopter.run());
        tasks.spawn_essential("worker", worker.clone().run());
    }
    let callers = match context.settings.caller_address {
        Some(address) => Some(bind("listen.front", address).await?),
        None => None,
    };
    let reload = context.clone();
    tasks.spawn_essential("reload", async move {
        while hangup.recv().await.is_some() {
            reload_settings(&reload);
        }
    });
    let stop = async {
        tokio::select! {
            _ = term.recv() => {}
            _ = tasks.wait_failure() => end_lease(&context, &lease).await,
        }
    };
    match callers {
        Some(listener) => {
            let closing = watch::Sender::new(false);
            let accept = accept_callers(&context, listener, stop, &closing);
            if tasks.run("callers", &"", accept).await.is_none() {
                tasks.fail("callers");
            }
            close_callers(&context, &closing).await;
        }
        None => stop.await,
    }
    let ends_at = context.begin_stop();
    // Without one of its tasks a worker may have no way to commit results, and others run the jobs.
    if let (Some(worker), None) = (worker, tasks.failure()) {
        info!(context.log, "worker drains"; "items" => worker.running());
        let idle = async {
            while worker.running() > 0 {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let remaining = ends_at.since(context.now());
        let _ = tokio::time::timeout(remaining, idle).await;
    }
    state_exchange::announce_departure(&exchange);
    end_lease(&context, &lease).await;
    info!(context.log, "process stopped");
    // The log writer needs a moment for the last lines.
    tokio::time::sleep(Duration::from_millis(20)).await;
    match tasks.failure() {
        None => Ok(()),
        Some(task) => Err(Error::Internal { detail: format!("the task `{task}` has ended") }),
    }
}

/// Ends the lease, so that others take over what the instance has claimed. A store that does not
/// answer ends it by itself.
async fn end_lease(context: &InstanceContext, lease: &ProcessLease) {
    if tokio::time::timeout(LEASE_END_LIMIT, lease.end(context)).await.is_err() {
        warn!(context.log, "lease not ended in time");
    }
}

fn invalid(key: &str, detail: String) -> Error {
    Error::SettingsInvalid { file: "settings".to_owned(), line: 0, key: key.to_owned(), detail }
}

fn signals(kind: SignalKind) -> Result<tokio::signal::unix::Signal> {
    signal(kind).map_err(|error| invalid("signal", error.to_string()))
}

pub(crate) async fn bind(key: &str, address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| invalid(key, format!("cannot listen on {address}: {error}")))
}

async fn bind_datagrams(context: &InstanceContext) -> Result<UdpSocket> {
    let ip: IpAddr = context.settings.ip;
    let address = SocketAddr::new(ip, context.settings.peer_port);
    let bound = UdpSocket::bind(address).await;
    bound.map_err(|error| invalid("portRange", format!("cannot listen on {address}: {error}")))
}

/// Reads the settings file again and logs the result. Addresses and names stay the same for the
/// life of a process.
fn reload_settings(context: &InstanceContext) {
    let result = InstanceSettings::path().and_then(|path| InstanceSettings::load(&path));
    match result {
        Ok(settings) if settings == context.settings => info!(context.log, "settings unchanged"),
        Ok(_) => info!(context.log, "settings changed; they hold from the next start"),
        Err(error) => warn!(context.log, "settings refused"; "error" => %error),
    }
}

/// Accepts callers until `stop`, and until the load balancer has had time to notice.
async fn accept_callers(
    context: &Arc<InstanceContext>,
    listener: TcpListener,
    stop: impl std::future::Future<Output = ()>,
    closing: &watch::Sender<bool>,
) {
    let jobs = Arc::new(JobApi::new(context.clone()));
    let online = Arc::new(Online::new(context.clone(), jobs));
    let table = &context.connections.callers;
    let mut stop = std::pin::pin!(stop);
    let mut draining_since: Option<tokio::time::Instant> = None;
    loop {
        let until = draining_since.map(|at| at + BALANCER_DELAY);
        tokio::select! {
            accepted = caller_connection::accept(context, &listener, table) => {
                if let Some((stream, slot)) = accepted {
                    serve_caller(context, &online, stream, slot, closing);
                }
            }
            () = &mut stop, if draining_since.is_none() => {
                draining_since = Some(tokio::time::Instant::now());
                context.begin_stop();
                info!(context.log, "instance drains");
            }
            () = sleep_until(until), if until.is_some() => break,
        }
    }
    // Connections that have not been accepted yet would be reset with the listener.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        if let Some(slot) = caller_connection::admit(context, table) {
            serve_caller(context, &online, stream, slot, closing);
        }
    }
}

/// Closes the connections of callers as soon as they are not used, within the grace period.
async fn close_callers(context: &InstanceContext, closing: &watch::Sender<bool>) {
    let remaining = context.begin_stop().since(context.now());
    closing.send_replace(true);
    if tokio::time::timeout(remaining, closing.closed()).await.is_err() {
        warn!(context.log, "connections left at the end of the grace period");
    }
}

fn serve_caller(
    context: &InstanceContext,
    online: &Arc<Online>,
    stream: TcpStream,
    slot: ConnectionSlot,
    closing: &watch::Sender<bool>,
) {
    // Without the option the connection is slower but usable.
    let _ = stream.set_nodelay(true);
    let limits = context.catalog().map(|catalog| catalog.limits.clone()).unwrap_or_default();
    let idle = scaled(limits.idle_time, IDLE_FACTOR);
    let client_limits = &context.settings.client_limits;
    let settings = ConnectionSettings::new(client_limits, idle, &limits);
    let online = online.clone();
    let respond = move |request| {
        let online = online.clone();
        async move { online.serve(request).await }
    };
    let closing = closing.subscribe();
    let tasks = context.tasks.clone();
    let connection = caller_connection::serve(tasks, stream, slot, settings, respond, closing);
    // The connection closes with its task, and what its requests hold is given back.
    context.tasks.spawn("connection", "", connection, std::future::ready(()));
}

async fn sleep_until(until: Option<tokio::time::Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}
