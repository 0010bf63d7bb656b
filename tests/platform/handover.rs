//! Hand-over of a job between two workers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::Step;

use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Length of a pause after which a worker has its state confirmed, while its lease still runs.
const SHORT_PAUSE: Duration = Duration::from_millis(800);

/// Interval between two looks at the target's connections.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Time in which a worker that runs again sends what it has to send.
const SEND_TIME: Duration = Duration::from_secs(1);

/// Guards against an item that two workers send: one was suspended between the choice of the
/// target and the request, until the other one had taken the job over.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_has_lost_its_claim_sends_no_items() {
    let fleet = TestFleet::start(1, 2).await;
    let full = Arc::new(AtomicBool::new(true));
    let is_full = full.clone();
    let target = RawTarget::start(move |_, id| {
        let head = format!("sesamewall-request-id: {id}\r\nsesamewall-response-seal: seal-1\r\n");
        let body = format!("id: 1\ndata: {id}\n\n");
        let length = body.len();
        vec![Step::text(match is_full.load(Ordering::Relaxed) {
            true => format!(
                "HTTP/1.1 503 Service Unavailable\r\n{head}sesamewall-not-run: 1\r\n\
                 content-length: 0\r\n\r\n"
            ),
            false => format!(
                "HTTP/1.1 200 OK\r\n{head}content-type: text/event-stream\r\n\
                 content-length: {length}\r\n\r\n{body}"
            ),
        })]
    })
    .await;
    fleet.replace_all(target.address).await;
    let items = ["item00".to_owned()];
    let response = fleet.client.submit(fleet.fronts[0].caller_address(), "job1", &items).await;
    assert_eq!(response.expect("a response").status, 202);
    assert!(wait_until(|| async { !target.request_ids().is_empty() }).await);
    let claim_holder = || {
        let claim = fleet.claim("job1")?;
        Some(usize::from(String::from_utf8_lossy(&claim).starts_with("worker-2")))
    };
    let first = claim_holder().expect("claimed");
    let worker = &fleet.workers[first];
    // While nobody confirms its state, the worker holds the item that it starts after a pause.
    worker.signal("STOP");
    fleet.workers[1 - first].signal("STOP");
    fleet.fronts[0].signal("STOP");
    fleet.store.blackhole(&[worker.ip()]);
    tokio::time::sleep(SHORT_PAUSE).await;
    let connections = target.connections();
    let refused = target.request_ids().len();
    worker.signal("CONT");
    while target.connections() == connections {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    worker.signal("STOP");
    assert_eq!(target.request_ids().len(), refused, "the item was sent too soon for this test");
    full.store(false, Ordering::Relaxed);
    fleet.store.blackhole(&[]);
    fleet.fronts[0].signal("CONT");
    fleet.workers[1 - first].signal("CONT");
    assert!(wait_until(|| async { claim_holder() == Some(1 - first) }).await);
    let results = fleet.wait_results(0, "job1", 1).await;
    assert_eq!(results[0]["state"], "completed");
    worker.signal("CONT");
    tokio::time::sleep(SEND_TIME).await;
    assert_eq!(target.request_ids().len(), refused + 1, "both workers sent the item");
}
