//! Second copies of a response, on the connection on which the same request is sent again.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::Step;
use sesamewall_platform_standin::stream_response;

use crate::fixture::TestFleet;

/// Time from the start of a run that fails to its response: longer than the pause between two
/// attempts of an item.
const FAILURE_TIME: Duration = Duration::from_millis(500);

/// Runs of the item that fail; the route allows three.
const FAILURES: usize = 2;

/// Events of the run that succeeds.
const EVENTS: u64 = 3;

fn failure(id: &str) -> Bytes {
    let text = format!(
        "HTTP/1.1 500 Failed\r\nsesamewall-request-id: {id}\r\ncontent-length: 6\r\n\r\nfailed"
    );
    text.into()
}

/// Returns a complete stream whose data begin with `data`.
fn stream(id: &str, data: &str) -> Bytes {
    let events: Vec<String> = (1..=EVENTS).map(|number| format!("{data} {number}")).collect();
    stream_response(id, &events)
}

/// Guards against an item that is given up too early, because a second copy of a failure is taken
/// for the response to its next attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_failure_is_no_further_failure_of_an_item() {
    let fleet = TestFleet::start(1, 1).await;
    let runs = Arc::new(Mutex::new(0));
    let counted = runs.clone();
    let target = RawTarget::start(move |_, id| {
        let mut runs = counted.lock().expect("no panic under the lock");
        *runs += 1;
        let response = Step::Send(failure(id));
        match *runs {
            1 => vec![Step::Pause(FAILURE_TIME), response, Step::SendNext(failure(id))],
            run if run <= FAILURES => vec![Step::Pause(FAILURE_TIME), response],
            _ => vec![Step::Send(stream(id, id))],
        }
    })
    .await;
    fleet.replace_all(target.address).await;
    let front = fleet.fronts[0].caller_address();
    let accepted = fleet.client.submit(front, "job1", &["item0".to_owned()]).await;
    assert_eq!(accepted.expect("a response").status, 202);
    let results = fleet.wait_results(0, "job1", 1).await;
    assert_eq!(results[0]["state"], "completed", "{results:?}");
    assert_eq!(results[0]["output"], "item0 1\nitem0 2\nitem0 3");
    assert_eq!(target.request_ids().len(), FAILURES + 1);
    // A repeat of the request never uses a connection that has carried it.
    assert_eq!(target.connections(), FAILURES + 1);
}

/// Guards against a caller that sends a request again with the same id and gets a second copy of the
/// first response, while the target runs the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_response_is_no_response_to_a_repeat() {
    for path in ["/same/x", "/plain/x", "/talk/x"] {
        let fleet = TestFleet::start(1, 0).await;
        let target = RawTarget::start(|number, id| {
            let response = stream(id, &format!("run {number}"));
            match number {
                0 => vec![Step::Send(response.clone()), Step::SendNext(response)],
                _ => vec![Step::Send(response)],
            }
        })
        .await;
        fleet.replace_all(target.address).await;
        for run in 0..2 {
            let answer = fleet.chat(0, path, "id-1").await.expect("a response");
            let text = answer.text().unwrap_or_default();
            assert!(text.starts_with(&format!("run {run} ")), "{path}: {answer:?}");
        }
    }
}
