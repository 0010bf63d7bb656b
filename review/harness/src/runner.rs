//! A runner that streams events, with slots and memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::response::Response;
use bytes::Bytes;
use futures::stream;
use tokio::net::TcpListener;

use crate::gate::Gate;
use crate::record::Record;

/// Number of events of each run.
const EVENTS: u64 = 10;

/// Settings of a runner.
#[derive(Clone, Debug)]
pub struct RunnerSettings {
    /// Requests that run at once; further ones are rejected.
    pub slots: usize,
    /// Tokens that fit into the memory.
    pub kv_tokens: u64,
    /// Time between two events.
    pub event_gap: Duration,
    /// Bytes that are added to the data of each event.
    pub padding: usize,
    /// End of the paths of requests that crash the runner when it begins to run them, and the time
    /// after which it is back.
    pub crash: Option<(&'static str, Duration)>,
}

impl Default for RunnerSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            kv_tokens: 147_261,
            event_gap: Duration::from_millis(20),
            padding: 0,
            crash: None,
        }
    }
}

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request id.
    pub id: String,
    /// Path.
    pub path: String,
    /// Time at which it began.
    pub began: Instant,
}

/// One start of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Boot {
    /// Id, new with each start.
    pub id: String,
    /// Time of the start in Unix milliseconds.
    pub born: u64,
}

impl Boot {
    fn new(name: &str, number: u64) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { id: format!("{name}-{number}"), born: since.as_millis() as u64 }
    }
}

#[derive(Default)]
struct Inner {
    /// The present start; `None` while the runner is down.
    boot: Option<Boot>,
    starts: u64,
    running: usize,
    runs: Vec<Run>,
    rejected: usize,
}

/// A runner.
#[derive(Clone)]
pub struct Runner {
    inner: Arc<Mutex<Inner>>,
    settings: RunnerSettings,
    gate: Gate,
    record: Record,
    /// Name in the record, from which its ids are made.
    pub name: String,
    /// Address at which it listens.
    pub address: SocketAddr,
}

/// Frees a slot when the run ends, also when its connection is closed.
struct Slot(Runner);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.with(|inner| inner.running -= 1);
    }
}

impl Runner {
    /// Starts a runner on a free port of 127.0.0.1.
    pub async fn start(name: &str, settings: RunnerSettings, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port on loopback");
        let inner_address = listener.local_addr().expect("a bound listener has an address");
        let gate = Gate::start(inner_address).await;
        let address = gate.address;
        let inner = Inner { boot: Some(Boot::new(name, 0)), ..Inner::default() };
        let runner = Self {
            inner: Arc::new(Mutex::new(inner)),
            settings,
            gate,
            record: record.clone(),
            name: name.to_owned(),
            address,
        };
        let router = Router::new().fallback(serve).with_state(runner.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        runner
    }

    fn with<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        change(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the present start; `None` while the runner is down.
    pub fn boot(&self) -> Option<Boot> {
        self.with(|inner| inner.boot.clone())
    }

    /// Crashes, and starts again with a new id after `down_time`.
    fn crash(&self, down_time: Duration) {
        self.record.line(format!("{} crashes", self.name));
        self.with(|inner| inner.boot = None);
        self.gate.crash(down_time);
        let runner = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(down_time).await;
            runner.with(|inner| {
                inner.starts += 1;
                inner.boot = Some(Boot::new(&runner.name, inner.starts));
            });
        });
    }

    /// Returns the requests that began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.with(|inner| inner.runs.clone())
    }

    /// Returns the number of requests that run now.
    pub fn running(&self) -> usize {
        self.with(|inner| inner.running)
    }

    /// Returns the number of requests that were rejected as not run.
    pub fn rejected(&self) -> usize {
        self.with(|inner| inner.rejected)
    }
}

async fn serve(State(runner): State<Runner>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let _ = axum::body::to_bytes(body, 8 << 20).await;
    let header = |name: &str| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = header("sesamewall-request-id");
    let path = head.uri.path().to_owned();
    let answer = Response::builder().header("sesamewall-request-id", &id);
    let is_expected = |boot: Boot| boot.id == header("sesamewall-expect-instance");
    if !runner.boot().is_some_and(is_expected) {
        let answer = answer.status(421).header("sesamewall-not-run", "1");
        return answer.body(Body::empty()).expect("a valid answer");
    }
    let tokens: u64 =
        header("sesamewall-token-count").split(',').filter_map(|n| n.parse::<u64>().ok()).sum();
    let RunnerSettings { slots, kv_tokens, event_gap, padding, crash } = runner.settings.clone();
    let is_taken = runner.with(|inner| {
        if inner.running >= slots || tokens > kv_tokens {
            inner.rejected += 1;
            return false;
        }
        inner.running += 1;
        inner.runs.push(Run { id: id.clone(), path: path.clone(), began: Instant::now() });
        true
    });
    if !is_taken {
        let answer = answer.status(503).header("sesamewall-not-run", "1");
        return answer.body(Body::empty()).expect("a valid answer");
    }
    runner.record.line(format!("{} runs {id} {path}", runner.name));
    if let Some((_, down_time)) = crash.filter(|(end, _)| path.ends_with(end)) {
        runner.crash(down_time);
    }
    let after: u64 = header("last-event-id").parse().unwrap_or(0);
    let slot = Slot(runner.clone());
    let events = stream::unfold((after + 1, slot), move |(event, slot)| {
        let path = path.clone();
        async move {
            if event > EVENTS {
                return None;
            }
            tokio::time::sleep(event_gap).await;
            let text = format!("id: {event}\ndata: {path} {event}{}\n\n", "x".repeat(padding));
            Some((Ok::<_, std::io::Error>(Bytes::from(text)), (event + 1, slot)))
        }
    });
    answer
        .status(200)
        .header("content-type", "text/event-stream")
        .header("sesamewall-response-seal", format!("seal-{id}"))
        .body(Body::from_stream(events))
        .expect("a valid answer")
}
