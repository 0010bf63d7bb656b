//! Requests that arrive late in the grace period of a planned stop, or cannot end before the process.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::configuration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Time limit of the routes, longer than the grace period of the fleet's settings.
const TIMEOUT_MS: u64 = 15_000;

/// Interval between two events at which a stream takes 4 s.
const SLOW_EVENTS: Duration = Duration::from_millis(400);

/// Interval between two events at which a stream takes 6.6 s.
const LATE_EVENTS: Duration = Duration::from_millis(660);

/// Grace period of the fleet's settings.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Time after SIGTERM at which no request has certainly ended without an answer.
const EARLY: Duration = Duration::from_millis(500);

/// A response as it was read from the connection.
#[derive(Debug)]
struct RawResponse {
    text: String,
    /// The connection was closed after it.
    closed: bool,
}

impl RawResponse {
    fn status(&self) -> &str {
        self.text.get(9..12).unwrap_or_default()
    }

    fn is_complete(&self) -> bool {
        let (head, body) = self.text.split_once("\r\n\r\n").unwrap_or_default();
        let head = head.to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        match length.and_then(|length| length.parse::<usize>().ok()) {
            Some(length) => body.len() == length,
            None => head.contains("chunked") && body.ends_with("0\r\n\r\n"),
        }
    }
}

/// Sends a request on an open connection.
async fn send(connection: &mut TcpStream, method: &str, path: &str, id: &str) {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: test.example\r\nauthorization: Bearer key-1\r\n\
         sesamewall-request-id: {id}\r\nsesamewall-deadline-ms: {TIMEOUT_MS}\r\n\
         sesamewall-wait-ms: 1000\r\ncontent-length: 0\r\n\r\n"
    );
    connection.write_all(request.as_bytes()).await.expect("an open connection");
}

/// Reads a response to its end or the end of the connection.
async fn receive(connection: &mut TcpStream) -> RawResponse {
    let mut bytes = Vec::new();
    loop {
        let mut chunk = [0; 4096];
        let read = connection.read(&mut chunk).await.unwrap_or_default();
        bytes.extend_from_slice(&chunk[..read]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let response = RawResponse { text, closed: read == 0 };
        if response.closed || response.is_complete() {
            return response;
        }
    }
}

/// Starts a fleet whose routes have a long time limit.
async fn start_fleet(workers: usize) -> TestFleet {
    let fleet = TestFleet::start(1, workers).await;
    let mut config = configuration(2, 1000.0, 1000.0);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(TIMEOUT_MS);
    }
    fleet.store.put("op/config", &config);
    tokio::time::sleep(PROPAGATION_TIME).await;
    fleet
}

fn passed_on(fleet: &TestFleet, id: &str) -> bool {
    let mut requests = fleet.targets.iter().flat_map(StandinTarget::requests);
    requests.any(|request| request.header("sesamewall-request-id") == id)
}

/// Guards against requests that come late in the grace period on connections kept by an earlier
/// stream, are passed on, and are cut without an answer when the process ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_request_that_cannot_end_in_time_is_refused_at_once() {
    let mut fleet = start_fleet(1).await;
    for target in &fleet.targets {
        target.set_event_interval(SLOW_EVENTS);
    }
    let front = fleet.fronts[0].caller_address();
    let paths = ["/once/x", "/talk/x", "/plain/x", "/same/x"];
    let mut connections = Vec::new();
    for (number, path) in paths.into_iter().enumerate() {
        let mut connection = TcpStream::connect(front).await.expect("a listener");
        send(&mut connection, "POST", "/once/x", &format!("early-{number}")).await;
        connections.push((path, connection));
    }
    // The heads of these streams are sent before SIGTERM and cannot tell that it comes.
    tokio::time::sleep(SLOW_EVENTS * 2).await;
    fleet.fronts[0].terminate();
    let late = async |(path, mut connection): (&'static str, TcpStream)| {
        let stream = receive(&mut connection).await;
        assert!(stream.is_complete() && !stream.closed, "{path}: {stream:?}");
        let id = format!("late-{}", &path[1..5]);
        send(&mut connection, "POST", path, &id).await;
        let sent = Instant::now();
        (path, id, receive(&mut connection).await, sent.elapsed())
    };
    let responses = futures::future::join_all(connections.into_iter().map(late)).await;
    for (path, id, response, elapsed) in responses {
        assert_eq!(response.status(), "503", "{path}: {response:?}");
        let head = response.text.to_ascii_lowercase();
        assert!(head.contains("retry-after: 0") && head.contains("connection: close"), "{head}");
        assert!(!passed_on(&fleet, &id), "{path}: was passed on");
        assert!(elapsed < SLOW_EVENTS, "{path}: {elapsed:?}");
    }
    assert!(fleet.fronts[0].wait_exit().await);
}

/// Guards against an answer that is cut at the end of the grace period: a request that was passed on
/// before or just after SIGTERM gets a complete answer, and its target no more time than there is.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_outlasts_the_grace_period_gets_an_answer() {
    let mut fleet = start_fleet(0).await;
    for target in &fleet.targets {
        target.stall_after(Some((0, GRACE_PERIOD * 3)));
    }
    let front = fleet.fronts[0].caller_address();
    let call = async |path: &'static str, id: &'static str, delay: Duration| {
        tokio::time::sleep(delay).await;
        let mut connection = TcpStream::connect(front).await.expect("a listener");
        send(&mut connection, "POST", path, id).await;
        (path, id, receive(&mut connection).await)
    };
    let start = Instant::now();
    let stop = async {
        tokio::time::sleep(EARLY).await;
        fleet.fronts[0].terminate();
    };
    let calls = [
        call("/plain/x", "before-plain", Duration::ZERO),
        call("/same/x", "before-same", Duration::ZERO),
        call("/plain/x", "after-plain", EARLY * 2),
        call("/same/x", "after-same", EARLY * 2),
    ];
    let (responses, ()) = tokio::join!(futures::future::join_all(calls), stop);
    let end = EARLY + GRACE_PERIOD;
    assert!(start.elapsed() < end, "{:?}", start.elapsed());
    for (path, id, response) in &responses {
        assert!(response.is_complete(), "{path} {id}: {response:?}");
        assert_eq!(response.status(), "504", "{path} {id}: {response:?}");
    }
    let requests = fleet.targets.iter().flat_map(StandinTarget::requests);
    for request in
        requests.filter(|request| request.header("sesamewall-request-id") == "after-plain")
    {
        let millis = request.header("sesamewall-deadline-ms").parse().expect("a number");
        let until = request.received_at + Duration::from_millis(millis);
        assert!(until < start + end, "the target may work until {:?}", until - start);
    }
    assert!(fleet.fronts[0].wait_exit().await);
}

/// Guards against a stream that outlasts the grace period and looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_outlasts_the_grace_period_ends_incomplete() {
    let mut fleet = start_fleet(0).await;
    for target in &fleet.targets {
        target.stall_after(Some((4, GRACE_PERIOD * 3)));
    }
    let front = fleet.fronts[0].caller_address();
    let mut connection = TcpStream::connect(front).await.expect("a listener");
    send(&mut connection, "POST", "/once/x", "id-1").await;
    tokio::time::sleep(EARLY).await;
    fleet.fronts[0].terminate();
    let response = receive(&mut connection).await;
    assert_eq!(response.status(), "200");
    assert!(response.closed && !response.is_complete(), "{response:?}");
    assert!(response.text.contains("/once/x 4") && !response.text.contains("/once/x 5"));
    assert!(fleet.fronts[0].wait_exit().await);
}

/// Guards against a call about a batch job that comes late in the grace period and gets no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_call_about_a_job_is_refused_at_once() {
    let mut fleet = start_fleet(1).await;
    let set_interval = |interval| {
        for target in &fleet.targets {
            target.set_event_interval(interval);
        }
    };
    let front = fleet.fronts[0].caller_address();
    let mut connection = TcpStream::connect(front).await.expect("a listener");
    set_interval(LATE_EVENTS);
    send(&mut connection, "POST", "/once/x", "id-1").await;
    let is_running = || async { passed_on(&fleet, "id-1") };
    assert!(wait_until(is_running).await);
    // The item's result does not exist before the process ends.
    set_interval(GRACE_PERIOD);
    let submitted = fleet.client.submit(front, "job1", &["item0".to_owned()]).await;
    assert_eq!(submitted.expect("a response").status, 202);
    fleet.fronts[0].terminate();
    let stream = receive(&mut connection).await;
    assert!(stream.is_complete() && !stream.closed, "{stream:?}");
    send(&mut connection, "GET", "/lots/job1?after=0", "r1").await;
    let response = receive(&mut connection).await;
    assert_eq!(response.status(), "503", "{response:?}");
    assert!(response.is_complete(), "{response:?}");
    assert!(fleet.fronts[0].wait_exit().await);
}
