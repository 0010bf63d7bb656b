//! Connections of callers and other clients, and how a planned stop closes them.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::HeaderValue;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use sesamewall_fleet::Limits;
use sesamewall_platform::ClientLimits;
use sesamewall_platform::REQUEST_ID;
use sesamewall_protocol::Error;
use sesamewall_tasks::Tasks;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::InstanceContext;
use crate::connection_table::Admission;
use crate::connection_table::ConnectionSlot;
use crate::connection_table::ConnectionTable;
use crate::connection_table::ConnectionUsage;
use crate::connection_table::RunningRequest;
use crate::paced_stream::PacedStream;
use crate::response::HttpResponse;
use crate::response::ResponseBody;
use crate::response::error_response;

/// Time for which a connection without a request stays open in a planned stop: a caller that has
/// not noticed the stop yet may just have sent a request on it.
const LINGER: Duration = Duration::from_millis(400);

/// Interval between checks of a connection that is in use.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes of a client's read buffer, above the largest usual headers.
const READ_BUFFER: usize = 32 << 10;

/// Wait after a failed accept: without descriptors, an accept fails again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Limits of a connection.
#[derive(Clone, Debug)]
pub struct ConnectionSettings {
    /// Longest time until a head is complete, from the start or from the last response.
    pub idle: Duration,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Bytes of a head with its request line.
    pub head_bytes: usize,
    /// Fields of a head.
    pub head_fields: usize,
    /// Longest time for which the client may accept no byte of a response.
    pub write_stall: Duration,
    /// Longest time for which the connection is read after its last response.
    pub linger: Duration,
    /// Bytes that are read and dropped in that time.
    pub linger_bytes: usize,
}

impl ConnectionSettings {
    /// Returns the settings of a process with these limits, for heads as `heads` allows them.
    pub fn new(limits: &ClientLimits, idle: Duration, heads: &Limits) -> Self {
        Self {
            idle,
            head_time: heads.header_time,
            head_bytes: heads.header_bytes.saturating_add(limits.line_bytes).min(READ_BUFFER),
            head_fields: limits.head_fields,
            write_stall: Duration::from_millis(limits.write_stall_ms),
            linger: Duration::from_millis(limits.linger_ms),
            linger_bytes: limits.linger_bytes,
        }
    }
}

/// Accepts a connection of one address. Returns `None` if there is none to serve: the accept failed,
/// or all connections of the address are in use.
pub async fn accept(
    context: &InstanceContext,
    listener: &TcpListener,
    table: &Arc<ConnectionTable>,
) -> Option<(TcpStream, ConnectionSlot)> {
    table.wait_dropped().await;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, admit(context, table)?)),
        Err(error) => {
            let idle = table.evict_idle();
            log_connection(context, table, "not-accepted", idle, &error.to_string());
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Returns the place of a new connection. At the limit, the longest idle connection is closed.
pub fn admit(context: &InstanceContext, table: &Arc<ConnectionTable>) -> Option<ConnectionSlot> {
    match table.admit() {
        Admission::Admitted(slot) => Some(slot),
        Admission::Replaced(slot, idle) => {
            log_connection(context, table, "idle-closed", Some(idle), "");
            Some(slot)
        }
        Admission::Refused => {
            log_connection(context, table, "connection-refused", None, "");
            None
        }
    }
}

fn log_connection(
    context: &InstanceContext,
    table: &ConnectionTable,
    cause: &str,
    idle: Option<Duration>,
    error: &str,
) {
    context.metrics.client_refusals.with_label_values(&[cause]).inc();
    if let Some(left_out) = context.client_log.next_line() {
        warn!(context.log, "connection limit"; "address" => table.name, "cause" => cause,
            "open" => table.len(), "idle_ms" => idle.map(|idle| idle.as_millis() as u64),
            "error" => error, "left_out" => left_out);
    }
}

/// Waits until a connection can be closed without interrupting a request.
async fn wait_unused(usage: &ConnectionUsage) {
    tokio::time::sleep(LINGER).await;
    loop {
        match usage.idle() {
            Some(idle) if idle >= LINGER => return,
            Some(idle) => tokio::time::sleep(LINGER - idle).await,
            None => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// A body that counts its request as running until the body has been sent.
struct RunningBody {
    body: ResponseBody,
    tasks: Arc<Tasks>,
    _running: RunningRequest,
}

impl Body for RunningBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let Self { body, tasks, .. } = &mut *self;
        let polled = tasks.step("response body", &"", || Pin::new(body).poll_frame(context));
        // The client sees that the response is not complete.
        polled.unwrap_or_else(|| Poll::Ready(Some(Err(std::io::Error::other("interrupted")))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns the response to a request whose task has panicked. It may have run.
fn panic_response(id: Option<&HeaderValue>) -> HttpResponse {
    let error = Error::Internal { detail: "the request was interrupted".to_owned() };
    let mut response = error_response(&error, None, id);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Serves a connection until it ends or has to give way to another one. Once `closing` is true, it
/// is closed as soon as it has had no request for a while.
pub async fn serve<F>(
    tasks: Arc<Tasks>,
    stream: TcpStream,
    slot: ConnectionSlot,
    settings: ConnectionSettings,
    respond: impl Fn(Request<Incoming>) -> F,
    mut closing: watch::Receiver<bool>,
) where
    F: Future<Output = HttpResponse> + Send + 'static,
{
    let usage = &slot.usage;
    let service = service_fn(|request: Request<Incoming>| {
        let id = request.headers().get(REQUEST_ID).cloned();
        let (response, running, tasks) = (respond(request), usage.begin(), tasks.clone());
        let counted = async move {
            let subject = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
            let response = tasks.run("request", &subject, response).await;
            let response = response.unwrap_or_else(|| panic_response(id.as_ref()));
            let response =
                response.map(|body| RunningBody { body, tasks, _running: running }.boxed_unsync());
            Ok::<_, Infallible>(response)
        };
        counted.boxed()
    });
    let stream = PacedStream::new(stream, usage.clone(), settings.write_stall);
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.idle)
        .max_buf_size(READ_BUFFER)
        .max_header_size(settings.head_bytes)
        .max_headers(settings.head_fields)
        .serve_connection(TokioIo::new(stream), service);
    let unused = async {
        // The sender lives as long as the connections; if it is dropped, they may close as well.
        let _ = closing.wait_for(|closing| *closing).await;
        wait_unused(usage).await;
    };
    // An error means that the client broke the connection or that a stream ended incomplete. Both
    // are logged where they are decided.
    // After a pause of the process, bytes that have arrived count before the time limit of a head.
    let ended = tokio::select! {
        biased;
        ended = std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)) => Some(ended),
        () = unused => None,
        () = slot.evicted.notified() => match usage.idle() {
            Some(_) => return,
            None => None,
        },
        () = usage.wait_slow_head(settings.head_time) => return,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)).await
        }
    };
    if ended.is_ok() {
        let stream = connection.into_parts().io.into_inner();
        tokio::select! {
            () = stream.close(settings.linger, settings.linger_bytes) => {}
            () = slot.evicted.notified() => {}
        }
    }
}
