//! Runners send a second answer after a stream that ends with its connection, and clients get its head as
//! an event of their stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::target_entry;
use tokio::task::JoinSet;

use crate::Case;
use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::RUNNERS;
use crate::fleet::ZONES;
use crate::fleet::start_runners;
use crate::raw::Answers;
use crate::raw::RawRunner;
use crate::runner::Behavior;

/// Runners whose answers end with their connections. In the spans of a disruption, one in 41 of their
/// answers is spoiled: below the share of 0.485 and the part `x` of 0.0248 of `garble` in the site file.
const RAW: usize = 5;
const EXTRA_EACH: usize = 41;

/// Length of a span, below 6.14 s in the site file, and the time from one to the next.
const SPOIL_TIME: Duration = Duration::from_secs(6);
const SPOIL_INTERVAL: Duration = Duration::from_secs(12);

const EVENTS: u64 = 28;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
const STREAM_INTERVAL: Duration = Duration::from_millis(25);
const LOAD_TIME: Duration = Duration::from_secs(30);

type Http = Client<HttpConnector, Full<Bytes>>;

/// What a client received.
struct Received {
    status: u16,
    body: Vec<u8>,
    complete: bool,
}

async fn send(client: Http, front: SocketAddr, number: usize) -> Received {
    let request = Request::post(format!("http://{front}/talk/{number}"))
        .header("host", "test.example")
        .header("authorization", "Bearer key-1")
        .header("sesamewall-request-id", format!("s{number}"))
        .header("sesamewall-deadline-ms", "5000")
        .header("sesamewall-model", "m")
        .header("sesamewall-prompt-prefix", format!("p{number}:100,q{number}:250"))
        .body(Full::new(Bytes::from_static(b"hello")))
        .expect("a valid request");
    let mut received = Received { status: 0, body: Vec::new(), complete: false };
    let exchange = async {
        let Ok(response) = client.request(request).await else { return };
        received.status = response.status().as_u16();
        let mut body = response.into_body();
        loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    received.body.extend(frame.into_data().unwrap_or_default());
                }
                Some(Err(_)) => return,
                None => break,
            }
        }
        received.complete = true;
    };
    let _ = tokio::time::timeout(Duration::from_secs(5), exchange).await;
    received
}

pub async fn run(case: &Case) -> Option<Verdict> {
    let behavior = Behavior { interval: EVENT_INTERVAL, events: EVENTS, ..Behavior::default() };
    let mut runners = start_runners(&behavior, &case.record).await;
    let mut raw = Vec::new();
    let answers = Answers {
        events: EVENTS,
        interval: EVENT_INTERVAL,
        extra_each: EXTRA_EACH,
        spoils: Arc::new(AtomicBool::new(false)),
        count: Arc::new(AtomicUsize::new(0)),
    };
    for number in 0..RAW {
        raw.push(RawRunner::start(&format!("u-{number:02}"), answers.clone(), &case.record).await);
    }
    runners.truncate(RUNNERS - RAW);
    let fleet =
        Fleet::start(&case.record, &case.folder, &runners, &configuration(1, 0.0, 0.0)).await?;
    for (number, runner) in raw.iter().enumerate() {
        let entry = target_entry(runner.address, ZONES[number % ZONES.len()], false);
        fleet.store.put(&format!("servers/{}", runner.id), &entry);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let client: Http = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
    let begun = tokio::time::Instant::now();
    let mut ticks = tokio::time::interval(STREAM_INTERVAL);
    let mut clients = JoinSet::new();
    let mut number = 0;
    while begun.elapsed() < LOAD_TIME {
        ticks.tick().await;
        let since = begun.elapsed().as_millis() % SPOIL_INTERVAL.as_millis();
        let spoils = case.trouble && since < SPOIL_TIME.as_millis();
        answers.spoils.store(spoils, Ordering::Relaxed);
        let (client, front) = (client.clone(), fleet.caller(number));
        clients.spawn(async move { (number, send(client, front, number).await) });
        number += 1;
    }
    let (mut whole, mut mixed) = (0, 0);
    for (number, received) in clients.join_all().await {
        if received.status != 200 || !received.complete {
            case.record.line(&format!("stream {number}: status {}, broken off", received.status));
            continue;
        }
        let text = String::from_utf8_lossy(&received.body).into_owned();
        let expected =
            (1..=EVENTS).map(|event| format!("id: {event}\ndata: /talk/{number} {event} v1"));
        // The other runners pad their events.
        let events = text.split_terminator("\n\n").map(|event| event.trim_end_matches('x'));
        if events.eq(expected) {
            whole += 1;
        } else {
            mixed += 1;
            case.record.say(&format!("stream {number} is a success with other bytes"));
            case.record.line(&format!("{text:?}"));
        }
    }
    case.record
        .say(&format!("{number} streams, {whole} whole, {mixed} successes with other bytes"));
    if whole * 2 < number {
        return None;
    }
    Some(if mixed > 0 { Verdict::Broken } else { Verdict::Held })
}
