//! A runner of the platform: it streams numbered events, resumes after `Last-Event-Id`, crashes with
//! all of its connections, and starts again under its id at its address.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::stream;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::record::Record;

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// How a start of a runner behaves.
#[derive(Clone)]
pub struct Behavior {
    /// Version of the software; each event names it.
    pub version: String,
    /// Time between two events.
    pub interval: Duration,
    /// Events of a whole stream.
    pub events: u64,
    /// Bytes of the data of an event beside its number.
    pub padding: usize,
    /// Value of the header `Server-Limit` in all answers.
    pub limit: Option<&'static str>,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            version: "v1".to_owned(),
            interval: Duration::from_millis(10),
            events: 28,
            padding: 60,
            limit: None,
        }
    }
}

/// A run as the runner saw it.
#[derive(Clone)]
pub struct Run {
    /// Request id, which is the id of an item.
    pub id: String,
    pub began: Instant,
    /// When the run ended or its connection closed; `None` while it runs.
    pub ended: Option<Instant>,
    /// Whether the last event was sent.
    pub whole: bool,
}

struct Inner {
    behavior: Behavior,
    running: usize,
    runs: Vec<Run>,
}

/// A runner at one address, over several starts.
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    slots: usize,
    inner: Arc<Mutex<Inner>>,
    record: Record,
    task: Option<tokio::task::JoinHandle<()>>,
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The slot of a run, which is free when its response ends or its connection closes.
struct Slot {
    inner: Arc<Mutex<Inner>>,
    run: usize,
    whole: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut inner = lock(&self.inner);
        inner.running -= 1;
        let run = &mut inner.runs[self.run];
        run.ended = Some(Instant::now());
        run.whole = self.whole;
    }
}

impl Runner {
    /// Starts a runner on a free port of 127.0.0.1.
    pub async fn start(id: &str, slots: usize, behavior: Behavior, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let inner = Inner { behavior, running: 0, runs: Vec::new() };
        let mut runner = Self {
            id: id.to_owned(),
            address,
            slots,
            inner: Arc::new(Mutex::new(inner)),
            record: record.clone(),
            task: None,
        };
        runner.serve(listener);
        runner
    }

    fn serve(&mut self, listener: TcpListener) {
        let (id, slots, inner) = (self.id.clone(), self.slots, self.inner.clone());
        let record = self.record.clone();
        self.task = Some(tokio::spawn(async move {
            // Dropped with the task: all connections are reset then.
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let _ = stream.set_zero_linger();
                let (id, inner, record) = (id.clone(), inner.clone(), record.clone());
                connections.spawn(serve_connection(stream, id, slots, inner, record));
                while connections.try_join_next().is_some() {}
            }
        }));
    }

    /// Crashes: nothing listens at the address any more, and all connections are reset.
    pub async fn crash(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
            let _ = task.await;
        }
        self.record.say(&format!("runner {} crashes", self.id));
    }

    /// Starts again under the same id at the same address.
    pub async fn restart(&mut self, behavior: Behavior) {
        self.record.say(&format!("runner {} is back as {}", self.id, behavior.version));
        lock(&self.inner).behavior = behavior;
        let listener = loop {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            let _ = socket.set_reuseaddr(true);
            match socket.bind(self.address).and_then(|()| socket.listen(128)) {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        };
        self.serve(listener);
    }

    /// Changes how later events and runs behave.
    pub fn behave(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut lock(&self.inner).behavior);
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.inner).runs.clone()
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    id: String,
    slots: usize,
    inner: Arc<Mutex<Inner>>,
    record: Record,
) {
    let service = service_fn(move |request: Request<Incoming>| {
        let (id, inner, record) = (id.clone(), inner.clone(), record.clone());
        async move { Ok::<_, Infallible>(respond(request, &id, slots, inner, &record).await) }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn empty(status: StatusCode, request_id: &str, not_run: bool) -> Response<Body> {
    let mut builder =
        Response::builder().status(status).header("sesamewall-request-id", request_id);
    if not_run {
        builder = builder.header("sesamewall-not-run", "1");
    }
    let body = Full::new(Bytes::new()).map_err(|never| match never {}).boxed_unsync();
    builder.body(body).expect("a valid response")
}

async fn respond(
    request: Request<Incoming>,
    id: &str,
    slots: usize,
    inner: Arc<Mutex<Inner>>,
    record: &Record,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let header = |name: &str| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let request_id = header("sesamewall-request-id");
    if body.collect().await.is_err() {
        return empty(StatusCode::BAD_REQUEST, &request_id, true);
    }
    let expected = header("sesamewall-expect-instance");
    if !expected.is_empty() && expected != id {
        return empty(StatusCode::MISDIRECTED_REQUEST, &request_id, true);
    }
    let after: u64 = header("last-event-id").parse().unwrap_or(0);
    let path = head.uri.path().to_owned();
    let (behavior, run) = {
        let mut inner = lock(&inner);
        if inner.running >= slots {
            return empty(StatusCode::SERVICE_UNAVAILABLE, &request_id, true);
        }
        inner.running += 1;
        let run = Run { id: request_id.clone(), began: Instant::now(), ended: None, whole: false };
        inner.runs.push(run);
        (inner.behavior.clone(), inner.runs.len() - 1)
    };
    record.line(&format!("{id} ({}) runs {request_id} after {after}", behavior.version));
    let slot = Slot { inner, run, whole: false };
    let limit = behavior.limit;
    let events = stream::unfold((after + 1, slot), move |(event, mut slot)| {
        let (behavior, path) = (behavior.clone(), path.clone());
        async move {
            if event > behavior.events {
                return None;
            }
            tokio::time::sleep(behavior.interval).await;
            slot.whole = event == behavior.events;
            let padding = "x".repeat(behavior.padding);
            let text =
                format!("id: {event}\ndata: {path} {event} {}{padding}\n\n", behavior.version);
            Some((Ok(Frame::data(Bytes::from(text))), (event + 1, slot)))
        }
    });
    let mut builder = Response::builder().status(StatusCode::OK);
    if let Some(limit) = limit {
        builder = builder.header("server-limit", limit);
    }
    builder
        .header("content-type", "text/event-stream")
        .header("sesamewall-request-id", request_id)
        .header("sesamewall-response-seal", "seal-1")
        .body(StreamBody::new(events).boxed_unsync())
        .expect("a valid response")
}
