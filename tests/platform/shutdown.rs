//! Planned stops, and a simultaneous crash of all processes.

use std::time::Duration;
use std::time::Instant;

use sesamewall_platform_standin::StandinTarget;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fixture::TestFleet;

/// Time after SIGTERM at which the load balancer has taken an instance out of service.
const BALANCER_DELAY: Duration = Duration::from_millis(2600);

/// Time after it in which a request on an open connection is certainly served.
const REQUEST_DELAY: Duration = Duration::from_millis(200);

/// Callers that send one request after the other.
const CALLERS: usize = 8;

/// Interval between two new connections.
const CONNECT_INTERVAL: Duration = Duration::from_millis(10);

/// Guards against requests that are cut off in a planned stop just after their connection was
/// accepted. A connection or request that the test itself makes too late may be refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_serves_newly_accepted_connections() {
    let mut fleet = TestFleet::start(1, 0).await;
    let front = fleet.fronts[0].caller_address();
    let stopped = Instant::now();
    fleet.fronts[0].terminate();
    let send = async |number: u32| {
        let connect_at = BALANCER_DELAY - Duration::from_millis(300) + CONNECT_INTERVAL * number;
        tokio::time::sleep_until((stopped + connect_at).into()).await;
        let Ok(mut connection) = TcpStream::connect(front).await else {
            assert!(stopped.elapsed() >= BALANCER_DELAY, "the listener closed too early");
            return None;
        };
        tokio::time::sleep(Duration::from_millis(250)).await;
        if stopped.elapsed() > BALANCER_DELAY + REQUEST_DELAY {
            return None;
        }
        let request = format!(
            "GET /talk/x HTTP/1.1\r\nhost: test.example\r\nauthorization: Bearer key-1\r\n\
             sesamewall-request-id: id-{number}\r\nsesamewall-deadline-ms: 5000\r\n\r\n"
        );
        connection.write_all(request.as_bytes()).await.expect("an open connection");
        let mut response = String::new();
        let read = connection.read_to_string(&mut response);
        let read = tokio::time::timeout(Duration::from_secs(5), read).await;
        assert!(matches!(read, Ok(Ok(_))), "connection {number}: {read:?}");
        Some(response)
    };
    let responses = futures::future::join_all((0..20).map(send)).await;
    assert!(responses.iter().any(Option::is_some), "no request was made in time");
    let last = StandinTarget::text("/talk/x").lines().last().map(str::to_owned).expect("a text");
    for response in responses.into_iter().flatten() {
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert!(response.contains(&last), "{response:?}");
    }
    assert!(fleet.fronts[0].wait_exit().await);
}

/// Guards against requests on kept connections that a planned stop cuts after it has passed them on:
/// callers go on until the process is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_requests_on_kept_connections() {
    let mut fleet = TestFleet::start(1, 0).await;
    for target in &fleet.targets {
        target.set_event_interval(Duration::from_millis(60));
    }
    let call = async |caller: usize| {
        for number in 0.. {
            let id = format!("id-{caller}-{number}");
            let Some(response) = fleet.chat(0, "/once/x", &id).await else {
                return (number, id);
            };
            assert_eq!(
                (response.status, response.text()),
                (200, Some(StandinTarget::text("/once/x")))
            );
        }
        unreachable!("the process ends")
    };
    let terminate = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.fronts[0].terminate();
    };
    let callers = futures::future::join_all((0..CALLERS).map(call));
    let (ends, ()) = tokio::join!(callers, terminate);
    let requests: Vec<_> = fleet.targets.iter().flat_map(StandinTarget::requests).collect();
    for (served, id) in ends {
        assert!(served > 0, "{id}");
        let is_cut = requests.iter().any(|request| request.header("sesamewall-request-id") == id);
        assert!(!is_cut, "{id} was passed on and has no answer");
    }
    assert!(fleet.fronts[0].wait_exit().await);
}

/// Guards against accepted work that is lost or listed differently when all machines lose
/// power at once.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_jobs_survive_the_end_of_all_processes() {
    let mut fleet = TestFleet::start(2, 2).await;
    for target in &fleet.targets {
        target.set_event_interval(Duration::from_millis(100));
    }
    let list: Vec<String> = (0..24).map(|n| format!("item{n:02}")).collect();
    let front = fleet.fronts[0].caller_address();
    let submit = async |fleet: &TestFleet, job| {
        let response = fleet.client.submit(front, job, &list).await;
        response.expect("a response").status
    };
    assert_eq!(submit(&fleet, "job1").await, 202);
    let listed = async |fleet: &TestFleet| {
        fleet.client.all_results(front, "job1").await.map_or(0, |list| list.len())
    };
    while listed(&fleet).await == 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let before = fleet.client.all_results(front, "job1").await.expect("results");
    // The second job is accepted just before the crash.
    assert_eq!(submit(&fleet, "job2").await, 202);
    for process in fleet.fronts.iter_mut().chain(&mut fleet.workers) {
        process.kill();
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    for process in fleet.fronts.iter_mut().chain(&mut fleet.workers) {
        process.restart();
    }
    for n in 0..2 {
        assert!(fleet.wait_ready(n, 200).await, "front {n} is not ready");
    }
    for job in ["job1", "job2"] {
        let after = fleet.wait_results(1, job, list.len()).await;
        let ids: std::collections::BTreeSet<_> =
            after.iter().filter_map(|row| row["id"].as_str()).collect();
        assert_eq!(ids.len(), list.len(), "{job}: each item once");
        for row in &after {
            let path = format!("/jobs/{}", row["id"].as_str().unwrap_or_default());
            assert_eq!(row["output"], StandinTarget::text(&path));
        }
        if job == "job1" {
            assert_eq!(after[..before.len()], before, "positions that were read");
        }
    }
    assert_eq!(submit(&fleet, "job1").await, 202, "a repeat after the loss");
}
