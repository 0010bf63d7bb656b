//! Clients of a soak: callers that keep their connections, and clients with batch jobs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamewall_platform_standin::ClientResponse;
use sesamewall_platform_standin::StandinClient;
use tokio::net::TcpStream;

use crate::soak::record::Call;
use crate::soak::record::Outcome;
use crate::soak::record::Record;
use crate::soak::record::item_ids;

/// Time that a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a client waits for a response: twice the time that a request may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that a batch client waits for one response before it turns to another front.
const BATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval between two reads, and between two tries of a batch client.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// Time after acceptance in which a front may not know of a job (`settleMs`).
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// What all clients share.
pub struct World {
    pub record: Record,
    pub fronts: Vec<SocketAddr>,
    pub seed: u64,
    /// Clients begin nothing new.
    pub is_over: AtomicBool,
}

impl World {
    pub fn goes_on(&self) -> bool {
        !self.is_over.load(Ordering::Relaxed)
    }

    pub fn rng(&self, stream: u64) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rng.set_stream(stream);
        rng
    }
}

async fn connect(front: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(front)).await.ok()?;
    let io = TokioIo::new(stream.ok()?);
    let (sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends online requests one after the other and keeps the connection until the process closes it.
pub async fn call(world: Arc<World>, front: usize, caller: u64) {
    let mut rng = world.rng(caller + 1);
    let mut connection = None;
    for number in 0.. {
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..120))).await;
        if !world.goes_on() {
            return;
        }
        let open = connection.take().filter(|sender: &SendRequest<_>| !sender.is_closed());
        let sender = match open {
            Some(sender) => Some(sender),
            None => connect(world.fronts[front]).await,
        };
        let Some(mut sender) = sender else { continue };
        let kinds = ["talk", "talk", "once", "plain", "same", "extra"];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let (path, id) = (format!("/{kind}/{caller}"), format!("{}-{caller}-{number}", world.seed));
        let body = Full::new(Bytes::from_static(b"hello"));
        let request = Request::post(&path)
            .header("host", "test.example")
            .header("authorization", "Bearer key-1")
            .header("sesamewall-request-id", &id)
            .header("sesamewall-deadline-ms", "5000")
            .header("sesamewall-model", "m")
            .header("sesamewall-prompt-prefix", format!("aa:100,{id}:250"))
            .body(body)
            .expect("a valid request");
        let sent = Instant::now();
        let exchange = tokio::time::timeout(
            RESPONSE_TIMEOUT,
            exchange(&mut sender, request, &path, &world.record),
        );
        let outcome = exchange.await.unwrap_or(Outcome::Unanswered);
        let ended = Instant::now();
        if matches!(outcome, Outcome::Response { .. }) {
            connection = Some(sender);
        }
        world.record.add_call(Call { id, path, front, sent, ended, outcome });
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    path: &str,
    record: &Record,
) -> Outcome {
    if sender.ready().await.is_err() {
        return Outcome::Unanswered;
    }
    let Ok(response) = sender.send_request(request).await else { return Outcome::Unanswered };
    let (head, body) = response.into_parts();
    let Ok(body) = body.collect().await else { return Outcome::Broken };
    let status = head.status.as_u16();
    let response = ClientResponse { status, headers: head.headers, body: Some(body.to_bytes()) };
    let is_right = status != 200 || response.text().is_some_and(|text| record.is_text(path, &text));
    Outcome::Response { status, is_right }
}

/// A batch job, drawn from the seed.
#[derive(Clone, Debug)]
pub struct JobPlan {
    pub name: String,
    pub at: Duration,
    pub items: usize,
    /// Time from acceptance to the end by its client.
    pub ends_after: Option<Duration>,
}

/// Draws the jobs that are submitted within `time`.
pub fn draw_jobs(seed: u64, time: Duration) -> Vec<JobPlan> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(u64::MAX);
    let mut at = Duration::from_millis(300);
    let mut plans = Vec::new();
    while at < time {
        let is_large = rng.random_bool(0.15);
        let items = if is_large { rng.random_range(25..=40) } else { rng.random_range(2..=10) };
        let ends_after = rng.random_bool(0.2).then(|| rng.random_range(200..5000));
        plans.push(JobPlan {
            name: format!("s{seed}j{:03}", plans.len()),
            at,
            items,
            ends_after: ends_after.map(Duration::from_millis),
        });
        at += Duration::from_millis(rng.random_range(200..1100));
    }
    plans
}

/// Submits a job until the answer is clear, reads its results, and ends it if that is planned.
pub async fn run_job(world: Arc<World>, plan: JobPlan, number: u64) {
    let mut rng = world.rng((1 << 32) + number);
    tokio::time::sleep(plan.at).await;
    world.record.with_job(&plan.name, |job| job.items = plan.items);
    let client = BatchClient { world: world.clone(), plan };
    if !client.submit(&mut rng).await {
        return;
    }
    let accepted = Instant::now();
    world.record.with_job(&client.plan.name, |job| job.accepted = Some(accepted));
    let mut is_repeated = rng.random_bool(0.3);
    while world.goes_on() {
        tokio::time::sleep(READ_INTERVAL).await;
        let front = rng.random_range(0..world.fronts.len());
        let ends = client.plan.ends_after.is_some_and(|time| accepted.elapsed() >= time);
        let is_ended = world.record.with_job(&client.plan.name, |job| job.end_acked.is_some());
        match () {
            () if ends && !is_ended => client.end(front).await,
            () if is_repeated && accepted.elapsed() > SETTLE_TIME => {
                is_repeated = false;
                client.send_again(front).await;
            }
            () => {
                let listed = world.record.with_job(&client.plan.name, |job| job.rows.len());
                let earlier = rng.random_bool(0.25).then(|| rng.random_range(0..=listed));
                client.read(front, earlier.unwrap_or(listed), accepted).await;
            }
        }
    }
}

struct BatchClient {
    world: Arc<World>,
    plan: JobPlan,
}

impl BatchClient {
    /// Sends a job on a new connection and returns the status; `None` without a response.
    async fn send(&self, front: usize) -> Option<ClientResponse> {
        let (items, client) =
            (item_ids(&self.plan.name, self.plan.items), StandinClient::default());
        let sent = client.submit(self.world.fronts[front], &self.plan.name, &items);
        tokio::time::timeout(BATCH_TIMEOUT, sent).await.ok().flatten()
    }

    /// Returns whether the job was accepted in the end.
    async fn submit(&self, rng: &mut ChaCha8Rng) -> bool {
        while self.world.goes_on() {
            let front = rng.random_range(0..self.world.fronts.len());
            let status = self.send(front).await.map(|response| response.status);
            self.world.record.with_job(&self.plan.name, |job| job.tries.push(status));
            match status {
                Some(202) => return true,
                Some(status @ 400..=499) if status != 429 && status != 408 => {
                    let text = format!("{} was denied with {status}", self.plan.name);
                    self.world.record.find(text);
                    return false;
                }
                _ => tokio::time::sleep(READ_INTERVAL).await,
            }
        }
        false
    }

    /// Sends an accepted job once more.
    async fn send_again(&self, front: usize) {
        if let Some(response) = self.send(front).await
            && matches!(response.status, 400..=407 | 409..=428)
        {
            let text = format!("{} sent again: status {}", self.plan.name, response.status);
            self.world.record.find(text);
        }
    }

    async fn get(&self, front: usize, method: Method, path: &str) -> Option<ClientResponse> {
        let (client, address) = (StandinClient::default(), self.world.fronts[front]);
        let sent = client.send(address, method, path, "batch-client", "key-1", Bytes::new());
        tokio::time::timeout(BATCH_TIMEOUT, sent).await.ok().flatten()
    }

    async fn end(&self, front: usize) {
        let name = &self.plan.name;
        self.world.record.with_job(name, |job| job.is_ending = true);
        let path = format!("/lots/{name}");
        let status = self.get(front, Method::DELETE, &path).await.map(|response| response.status);
        match status {
            Some(200) => {
                self.world.record.with_job(name, |job| job.end_acked = Some(Instant::now()));
            }
            Some(404 | 410) => {
                self.world.record.find(format!("end of {name} at front {front}: not found"));
            }
            _ => {}
        }
    }

    async fn read(&self, front: usize, after: usize, accepted: Instant) {
        let name = &self.plan.name;
        let path = format!("/lots/{name}?after={after}");
        let sent = Instant::now();
        match self.get(front, Method::GET, &path).await {
            Some(response) if response.status == 200 && response.body.is_some() => {
                self.world.record.add_page(name, after, &response.json(), front);
            }
            Some(response)
                if matches!(response.status, 404 | 410) && sent > accepted + SETTLE_TIME =>
            {
                self.world.record.find(format!("{name} at front {front}: {}", response.status));
            }
            _ => {}
        }
    }
}
