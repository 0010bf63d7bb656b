//! Connections of callers, and how a planned stop closes them.

use std::convert::Infallible;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::online::Online;
use crate::response::ResponseBody;

/// Time for which a connection without a request stays open in a planned stop: a caller that has
/// not noticed the stop yet may just have sent a request on it.
const LINGER: Duration = Duration::from_millis(400);

/// Interval between checks of a connection that is in use.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes of a caller's read buffer, above the largest usual headers.
const READ_BUFFER: usize = 32 << 10;

/// Requests on one connection.
#[derive(Debug)]
struct Requests {
    running: usize,
    /// When the connection was accepted, or a request began or ended.
    changed: Instant,
}

/// Use of one connection, shared with its requests.
#[derive(Clone, Debug)]
struct Usage(Arc<Mutex<Requests>>);

impl Usage {
    fn new() -> Self {
        Self(Arc::new(Mutex::new(Requests { running: 0, changed: Instant::now() })))
    }

    fn begin(&self) -> RunningRequest {
        self.change(|running| running + 1);
        RunningRequest(self.clone())
    }

    fn change(&self, change: impl FnOnce(usize) -> usize) {
        let mut requests = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        requests.running = change(requests.running);
        requests.changed = Instant::now();
    }

    /// Returns the time for which the connection has had no request; `None` while it has one.
    fn idle(&self) -> Option<Duration> {
        let requests = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        (requests.running == 0).then(|| requests.changed.elapsed())
    }

    /// Waits until the connection can be closed without interrupting a request.
    async fn wait_unused(&self) {
        tokio::time::sleep(LINGER).await;
        loop {
            match self.idle() {
                Some(idle) if idle >= LINGER => return,
                Some(idle) => tokio::time::sleep(LINGER - idle).await,
                None => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }
}

/// Counts as a running request of its connection until it is dropped.
struct RunningRequest(Usage);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.change(|running| running.saturating_sub(1));
    }
}

/// A body that counts its request as running until the body has been sent.
struct RunningBody {
    body: ResponseBody,
    _running: RunningRequest,
}

impl Body for RunningBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves a caller's connection until it ends. Once `closing` is true, the connection is closed as
/// soon as it has had no request for a while.
pub async fn serve(
    stream: TcpStream,
    online: Arc<Online>,
    idle: Duration,
    mut closing: watch::Receiver<bool>,
) {
    let usage = Usage::new();
    let counted = usage.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (online, running) = (online.clone(), counted.begin());
        async move {
            let response = online.serve(request).await;
            let response =
                response.map(|body| RunningBody { body, _running: running }.boxed_unsync());
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(READ_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let unused = async {
        // The sender lives as long as the connections; if it is dropped, they may close as well.
        let _ = closing.wait_for(|closing| *closing).await;
        usage.wait_unused().await;
    };
    // An error means that the caller broke the connection or that a stream ended incomplete. Both
    // are logged where they are decided.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = unused => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
