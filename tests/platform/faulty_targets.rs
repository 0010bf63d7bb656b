//! Targets that repeat a refusal.

use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::Step;

use crate::fixture::TestFleet;

fn response(status: &str, id: Option<&str>, extra_headers: &str, body: &str) -> Step {
    let id = id.map_or(String::new(), |id| format!("sesamewall-request-id: {id}\r\n"));
    let length = body.len();
    Step::text(format!(
        "HTTP/1.1 {status}\r\n{id}{extra_headers}content-length: {length}\r\n\r\n{body}"
    ))
}

fn success(id: &str) -> Step {
    response("200 OK", Some(id), "sesamewall-response-seal: seal-1\r\n", id)
}

fn refusal(status: &str, id: Option<&str>) -> Step {
    response(status, id, "sesamewall-not-run: 1\r\n", "")
}

/// Guards against a refusal of an earlier request that is taken for one of the next request on the
/// connection, which the target runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_is_no_refusal_of_the_next_request() {
    for status in ["503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"] {
        for earlier in [Some("id-0"), None] {
            let fleet = TestFleet::start(1, 0).await;
            let target = RawTarget::start(move |number, id| match number {
                0 => vec![success(id)],
                _ => vec![refusal(status, earlier), success(id)],
            })
            .await;
            fleet.replace_all(target.address).await;
            let first = fleet.chat(0, "/plain/x", "id-1").await.expect("a response");
            assert_eq!(first.status, 200);
            let second = fleet.chat(0, "/plain/x", "id-2").await.expect("a response");
            assert_eq!(second.status, 502, "{status}, {earlier:?}");
            assert_eq!(target.request_ids(), ["id-1", "id-2"], "{status}, {earlier:?}");
        }
    }
}

/// Guards against a refusal that is taken for an unknown outcome although it is the first response
/// on its connection, or names the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_the_request_itself_is_passed_on_as_not_run() {
    let fleet = TestFleet::start(1, 0).await;
    let target = RawTarget::start(|number, id| match number {
        0 => vec![success(id)],
        1 => vec![refusal("503 Service Unavailable", Some(id))],
        _ => vec![refusal("503 Service Unavailable", None)],
    })
    .await;
    fleet.replace_all(target.address).await;
    for (id, status) in [("id-1", 200), ("id-2", 503)] {
        let answer = fleet.chat(0, "/plain/x", id).await.expect("a response");
        assert_eq!(answer.status, status, "{id}");
    }
}
