//! Tests of the headers of error responses.

use sesamewall_protocol::Error;
use sesamewall_protocol::RequestId;
use sesamewall_server::error_response;

/// Guards against callers that retry too early, or that repeat a request that may have been
/// executed.
#[test]
fn refusal_has_outcome_and_whole_seconds() {
    let request = RequestId::from("req_1");
    let error =
        Error::RateExceeded { account: "a".to_owned(), retry_ms: 1001, numbers: Vec::new() };
    let response = error_response(&error, &request);
    assert_eq!(response.status(), 429);
    assert_eq!(response.headers()["retry-after"], "2");
    assert_eq!(response.headers()["x-request-id"], "req_1");
    assert_eq!(response.headers()["x-sesamewall-outcome"], "not-run");
    let error = Error::TargetLost { target: "t".to_owned(), detail: "reset".to_owned() };
    let response = error_response(&error, &request);
    assert_eq!(response.headers()["x-sesamewall-outcome"], "unknown");
    assert!(!response.headers().contains_key("retry-after"));
}
