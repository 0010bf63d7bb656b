//! Responses with neither a length nor chunks that begin before the target has read the body of the
//! request, and end in order or with a reset.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use sesamewall_platform_standin::ClientResponse;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::target_entry;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;

/// Receive buffer of the targets, so that a part of each upload waits to be written.
const RECEIVE_BYTES: u32 = 64 << 10;

/// Bytes of a request body that the buffers of a connection do not hold.
const BODY_BYTES: usize = 7_000_000;

/// Limit on the bodies of requests and jobs.
const BODY_LIMIT: usize = 16 << 20;

/// Requests in each setting, since the order of the events on the connection is up to the system.
const REPEATS: usize = 3;

/// Times between the sent part of a response and its end.
const PAUSES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(2), Duration::from_millis(100)];

/// Targets that serve at the same time.
const TARGETS: usize = 20;

/// Requests that a front may refuse before one reaches the target, and the time between two.
const MAX_TRIES: usize = 100;
const RETRY_TIME: Duration = Duration::from_millis(100);

/// How a target ends its response.
#[derive(Clone, Copy, Debug)]
enum End {
    /// The connection is reset: it is closed while bytes of the request are unread.
    Reset,
    /// The target ends its side of the connection first, and resets the connection then.
    ShutdownAndReset,
    /// The target reads the whole request, sends the rest of the response and closes the connection.
    Whole,
}

/// What a target does.
#[derive(Clone, Copy, Debug)]
struct Behavior {
    end: End,
    /// Time between the sent part of the response and its end.
    pause: Duration,
    /// Number of responses that end like this. All others are whole.
    count: usize,
}

/// Returns a listener whose connections receive little until they are read.
fn listen() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BYTES).expect("a valid size");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port on loopback");
    socket.listen(16).expect("a bound socket")
}

/// Targets that respond before they have read the body of their request. A front backs off from one
/// that has lost a connection, so there are several.
struct EarlyTargets {
    responses: Arc<AtomicUsize>,
}

impl EarlyTargets {
    /// Replaces the targets of `fleet`.
    async fn start(fleet: &TestFleet, behavior: Behavior) -> Self {
        let targets = Self { responses: Arc::default() };
        for key in fleet.store.keys("servers/") {
            fleet.store.remove(&key);
        }
        for _ in 0..TARGETS {
            let listener = listen();
            let address = listener.local_addr().expect("a bound listener has an address");
            let responses = targets.responses.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve(stream, behavior, responses.clone()));
                }
            });
            let key = format!("servers/early-{}", address.port());
            fleet.store.put(&key, &target_entry(address, "a", false));
        }
        tokio::time::sleep(PROPAGATION_TIME).await;
        targets
    }

    /// Returns the number of responses that have begun.
    fn responses(&self) -> usize {
        self.responses.load(Ordering::Relaxed)
    }
}

/// Returns the response to a request for `path` in two parts. Both end at the end of an event if it
/// is a stream, which begins after event `after`.
fn response(path: &str, after: u64) -> (String, String) {
    if path.starts_with("/plain") || path.starts_with("/same") {
        return ("first half, ".to_owned(), "second half".to_owned());
    }
    let event = |number: u64| format!("id: {number}\ndata: {path} {number}\n\n");
    ((after + 1..=5).map(event).collect(), (6..=10).map(event).collect())
}

/// Responds as soon as the head of the request is complete.
async fn serve(
    mut stream: TcpStream,
    behavior: Behavior,
    responses: Arc<AtomicUsize>,
) -> Option<()> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
        stream.read_buf(&mut bytes).await.ok().filter(|count| *count > 0)?;
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, _) = text.split_once("\r\n\r\n")?;
    let path = head.split(' ').nth(1)?;
    let lower = head.to_ascii_lowercase();
    let value = |name| lower.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let id = value("sesamewall-request-id:")?;
    let end = head.len() + 4 + value("content-length:")?.parse::<usize>().ok()?;
    let kind = match path.starts_with("/plain") || path.starts_with("/same") {
        true => "text/plain",
        false => "text/event-stream",
    };
    let after = value("last-event-id:").map_or(0, |id| id.parse().unwrap_or(0));
    let (first, second) = response(path, after);
    let begin = format!(
        "HTTP/1.1 200 OK\r\nsesamewall-request-id: {id}\r\nsesamewall-response-seal: seal-1\r\n\
         content-type: {kind}\r\n\r\n{first}"
    );
    stream.write_all(begin.as_bytes()).await.ok()?;
    let number = responses.fetch_add(1, Ordering::Relaxed);
    tokio::time::sleep(behavior.pause).await;
    let end_like = if number < behavior.count { behavior.end } else { End::Whole };
    match end_like {
        End::Reset => {}
        End::ShutdownAndReset => {
            stream.shutdown().await.ok()?;
            tokio::time::sleep(behavior.pause).await;
        }
        End::Whole => {
            while bytes.len() < end {
                stream.read_buf(&mut bytes).await.ok().filter(|count| *count > 0)?;
            }
            stream.write_all(second.as_bytes()).await.ok()?;
        }
    }
    Some(())
}

/// Starts a front and workers that take large bodies.
async fn start_fleet(workers: usize) -> TestFleet {
    let fleet = TestFleet::start(1, workers).await;
    let mut document = configuration(2, 1000.0, 1000.0);
    document["limits"]["maxBodyBytes"] = BODY_LIMIT.into();
    fleet.store.put("op/config", &document);
    fleet
}

/// Sends a request with a large body until a target has responded to it. Returns the answer of the
/// front to that request.
async fn send(
    fleet: &TestFleet,
    targets: &EarlyTargets,
    path: &str,
    id: &str,
) -> Option<ClientResponse> {
    let before = targets.responses();
    for attempt in 0..MAX_TRIES {
        let front = fleet.fronts[0].caller_address();
        // A request that comes again after crashes, or shares a part of its prompt with one, is refused.
        let id = format!("{id}-{attempt}");
        let body = format!("{path} {id} {}", "x".repeat(BODY_BYTES));
        let client = fleet.client.with_prompt("");
        let answer = client.send(front, Method::POST, path, &id, "key-1", body.into()).await;
        if targets.responses() > before {
            return answer;
        }
        tokio::time::sleep(RETRY_TIME).await;
        // The front backs off from a target that has lost a connection.
        let is_refused = answer.as_ref().is_some_and(|answer| answer.status == 503);
        assert!(is_refused, "{path}: {answer:?} without a response of the target");
    }
    panic!("{path}: no request reaches the target");
}

/// Guards against a part of a response that looks complete to its caller, because its target ended
/// the connection while the request was still being written.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_response_that_ends_during_the_upload_is_not_complete() {
    let fleet = start_fleet(0).await;
    let mut complete = Vec::new();
    for end in [End::Reset, End::ShutdownAndReset] {
        for pause in PAUSES {
            let behavior = Behavior { end, pause, count: usize::MAX };
            let targets = EarlyTargets::start(&fleet, behavior).await;
            for path in ["/plain/x", "/same/x", "/once/x", "/talk/x"] {
                for n in 0..REPEATS {
                    let id = format!("{end:?}-{}-{n}", pause.as_millis()).to_lowercase();
                    let answer = send(&fleet, &targets, path, &id).await;
                    let is_complete =
                        |answer: &ClientResponse| answer.status < 400 && answer.body.is_some();
                    if answer.as_ref().is_some_and(is_complete) {
                        complete.push(format!("{behavior:?} {path}"));
                    }
                }
            }
        }
    }
    complete.dedup();
    assert!(complete.is_empty(), "{complete:?}");
}

/// Guards against a whole response that is taken for a broken one, because it began before the
/// target had read the request.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_response_that_ends_after_the_upload_is_complete() {
    let fleet = start_fleet(0).await;
    for pause in PAUSES {
        let targets =
            EarlyTargets::start(&fleet, Behavior { end: End::Whole, pause, count: 0 }).await;
        for path in ["/plain/x", "/same/x", "/once/x", "/talk/x"] {
            let answer = send(&fleet, &targets, path, "whole").await.expect("a response");
            let (first, second) = response(path, 0);
            let whole = format!("{first}{second}");
            let body = answer.body.as_deref().map(String::from_utf8_lossy);
            assert_eq!((answer.status, body.as_deref()), (200, Some(&*whole)), "{path}");
        }
    }
}

/// Guards against an item whose output ends with the part that its target sent before it ended the
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_whose_response_ends_during_the_upload_is_tried_again() {
    let fleet = start_fleet(1).await;
    let behavior = Behavior { end: End::ShutdownAndReset, pause: PAUSES[1], count: 2 };
    let targets = EarlyTargets::start(&fleet, behavior).await;
    let front = fleet.fronts[0].caller_address();
    let body = vec![b'x'; BODY_BYTES];
    let accepted = fleet.client.submit_with_body(front, "job1", "item00", &body).await;
    assert_eq!(accepted.expect("a response").status, 202);
    let results = fleet.wait_results(0, "job1", 1).await;
    assert_eq!(results[0]["state"], "completed", "{results:?}");
    let output = results[0]["output"].as_str().expect("a text");
    assert_eq!(output.lines().count(), 10, "{output}");
    assert!(targets.responses() > behavior.count, "no response was cut");
}
