//! The internal addresses of a process: readiness checks, metrics, and calls of other instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use sesamewall_adapters::http_client::CallError;
use sesamewall_fleet::Limits;
use sesamewall_platform::READY_PATH;
use sesamewall_protocol::Result;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::InstanceContext;
use crate::body_intake::BodyLimits;
use crate::body_intake::call_bytes;
use crate::body_intake::receive;
use crate::byte_budget::Held;
use crate::caller_connection;
use crate::caller_connection::ConnectionSettings;
use crate::connection_table::ConnectionTable;
use crate::job_messages::JOB_PATH;
use crate::job_messages::JobReply;
use crate::job_messages::JobRequest;
use crate::peer_client;
use crate::peer_updates;
use crate::peer_updates::UPDATES_PATH;
use crate::response::HttpResponse;
use crate::response::empty;
use crate::response::full;
use crate::run::bind;
use crate::sole_version;
use crate::sole_version::SOLE_VERSION_PATH;
use crate::store_relay;
use crate::store_relay::RELAY_PATH;
use crate::worker::Worker;

/// Bytes of a head at an internal address: no caller's headers arrive there.
const HEAD_BYTES: usize = 8 << 10;

/// Serves readiness checks, metrics, and calls of other instances.
#[derive(Clone)]
pub struct InternalServer {
    /// State and settings of the process.
    pub context: Arc<InstanceContext>,
    /// The worker of the process, if it has one.
    pub worker: Option<Arc<Worker>>,
}

impl InternalServer {
    /// Listens at an address. Calls of other instances are served only at the address of `peers`.
    ///
    /// # Errors
    ///
    /// Returns `Error::SettingsInvalid` if the address cannot be used.
    pub async fn listen(
        &self,
        address: SocketAddr,
        table: Arc<ConnectionTable>,
        peers: bool,
    ) -> Result<()> {
        let listener = bind("listen", address).await?;
        let name = table.name;
        let serve = self.clone().serve(listener, table, peers);
        self.context.tasks.spawn_essential(name, serve);
        Ok(())
    }

    async fn serve(self, listener: TcpListener, table: Arc<ConnectionTable>, peers: bool) {
        let limits = &self.context.settings.client_limits;
        let idle = Duration::from_millis(limits.internal_idle_ms);
        let header_time = Duration::from_millis(limits.internal_head_ms);
        let heads = Limits { header_bytes: HEAD_BYTES, header_time, ..Limits::default() };
        let settings = ConnectionSettings::new(limits, idle, &heads);
        // The connections close with the process.
        let closing = watch::Sender::new(false);
        loop {
            let accepted = caller_connection::accept(&self.context, &listener, &table).await;
            let Some((stream, slot)) = accepted else { continue };
            let server = self.clone();
            let respond = move |request| {
                let server = server.clone();
                async move { server.respond(request, peers).await }
            };
            let closing = closing.subscribe();
            let settings = settings.clone();
            let tasks = self.context.tasks.clone();
            let connection =
                caller_connection::serve(tasks, stream, slot, settings, respond, closing);
            // What the connection holds is given back with its task.
            let tasks = &self.context.tasks;
            tasks.spawn("internal connection", "", connection, std::future::ready(()));
        }
    }

    async fn respond(&self, request: Request<Incoming>, peers: bool) -> HttpResponse {
        let context = &self.context;
        let path = request.uri().path().to_owned();
        match path.as_str() {
            RELAY_PATH | UPDATES_PATH | SOLE_VERSION_PATH | JOB_PATH if peers => {
                let reply = self.serve_peer(&path, request.into_body()).await;
                let mut response = empty(StatusCode::BAD_REQUEST);
                if let Some(bytes) = reply {
                    *response.status_mut() = StatusCode::OK;
                    *response.body_mut() = full(bytes);
                }
                response
            }
            READY_PATH => empty(match is_ready(context) {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            }),
            "/metrics" => {
                let mut response = empty(StatusCode::OK);
                *response.body_mut() = full(metrics_text(context));
                response
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    /// Receives and serves a call of another instance. Returns `None` if nothing was done.
    async fn serve_peer(&self, path: &str, body: Incoming) -> Option<Vec<u8>> {
        let limits = &self.context.settings.client_limits;
        let limits = BodyLimits {
            bytes: limits.peer_body_bytes,
            time: Duration::from_millis(limits.peer_body_ms),
        };
        let body = receive(&self.context, Held::Peer, body, limits).await.ok()?;
        let mut decoded = self.context.buffers.reserve_kind(Held::Peer);
        decoded.make_room(call_bytes(&body)).await.ok()?;
        self.handle_peer_call(path, &body).await
    }

    async fn handle_peer_call(&self, path: &str, body: &[u8]) -> Option<Vec<u8>> {
        let context = &self.context;
        match path {
            RELAY_PATH => {
                peer_client::handle_call(body, |call| store_relay::serve(context, call)).await
            }
            UPDATES_PATH => {
                peer_client::handle_call(body, async |known| peer_updates::serve(context, &known))
                    .await
            }
            SOLE_VERSION_PATH => {
                peer_client::handle_call(body, async |query| sole_version::serve(context, &query))
                    .await
            }
            _ => peer_client::handle_call(body, |request| self.handle_job_request(request)).await,
        }
    }

    async fn handle_job_request(&self, request: JobRequest) -> JobReply {
        match (request, &self.worker) {
            (JobRequest::Forward(forward), _) => {
                let (owner, request) = *forward;
                let limit = Duration::from_millis(1300);
                match self.context.peer_client.call(owner, JOB_PATH, &request, limit).await {
                    Ok(reply) => reply,
                    Err(CallError::NotSent) => JobReply::NotHere,
                    Err(CallError::Unclear) => JobReply::Unclear,
                }
            }
            (request, Some(worker)) => worker.serve(request).await,
            (_, None) => JobReply::NotHere,
        }
    }
}

/// Returns all metrics as text, with the present number of held bytes and connections.
fn metrics_text(context: &InstanceContext) -> Vec<u8> {
    let metrics = &context.metrics;
    for kind in Held::ALL {
        let held = i64::try_from(context.buffers.used(kind)).unwrap_or(i64::MAX);
        metrics.held_bytes.with_label_values(&[kind.label()]).set(held);
    }
    for table in context.connections.all() {
        let open = i64::try_from(table.len()).unwrap_or(i64::MAX);
        metrics.open_connections.with_label_values(&[table.name]).set(open);
    }
    metrics.text()
}

fn is_ready(context: &InstanceContext) -> bool {
    let now = context.now();
    let state = context.state();
    let connected = state.peers.is_hub() || state.peers.assigned_hub(now).is_some();
    !context.is_draining() && connected && state.catalog.is_some() && !state.targets.is_empty()
}
