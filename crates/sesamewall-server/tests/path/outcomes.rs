//! Tests that the outcomes "not run" and "unknown" agree with the requests that targets received.

use http::Method;
use serde_json::Value;
use serde_json::json;
use sesamewall_server::Settings;

use crate::fleet::*;
use crate::target::ScriptedReply;
use crate::target::ScriptedTarget;
use crate::target::json as reply;
use crate::target::response_bytes;

async fn post(fleet: &Fleet, instance: usize, path: &str) -> HttpResponse {
    fleet.send(instance, Method::POST, path, &[("authorization", &bearer(KEY_A))], "x").await
}

/// Starts a target that receives requests and closes the connection without a response.
async fn start_losing_target() -> ScriptedTarget {
    ScriptedTarget::start(|_, _| ScriptedReply { bytes: Vec::new(), close: true }).await
}

/// Guards against a call that runs twice, or is reported as "not run", when its response is lost.
#[tokio::test]
async fn lost_response_to_a_post_is_unknown_and_not_repeated() {
    let fleet = Fleet::start(&["d1", "d2"]).await;
    let (near, far) = (start_losing_target().await, start_losing_target().await);
    fleet
        .put(vec![
            group("near", false, &[("d1", &near.address), ("d1", &near.address)]),
            group("far", false, &[("d2", &far.address), ("d2", &far.address)]),
            route("/near", "near", false),
            route("/far", "far", false),
        ])
        .await;
    for (path, target) in [("/near/x", &near), ("/far/x", &far)] {
        let response = post(&fleet, 0, path).await;
        assert_eq!(target.received().len(), 1, "{path}");
        assert_eq!((response.status, response.code()), (502, 5002), "{path} {}", response.text);
        assert_eq!(response.outcome(), "unknown", "{path} {:?}", response.headers);
    }
}

/// Guards against the outcome "not run" for a request that a target received, and "unknown" for one
/// that no target received.
#[tokio::test]
async fn not_run_means_that_no_target_received_it() {
    let settings = Settings { queue_ms: 300, ..Settings::default() };
    let fleet = Fleet::with(&["d1", "d2"], settings).await;
    let refusing = ScriptedTarget::start(|_, request| {
        let text = String::from_utf8(response_bytes(request, "application/json", "{}")).unwrap();
        let text = text.replace("200 OK", "503 Busy\r\nx-refused: overloaded");
        ScriptedReply { bytes: text.into_bytes(), close: false }
    })
    .await;
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nobody = closed.local_addr().unwrap().to_string();
    drop(closed);
    fleet
        .put(vec![
            group("refusing", false, &[("d1", &refusing.address)]),
            group("closed", false, &[("d1", &nobody)]),
            group("far", false, &[("d2", &nobody)]),
            route("/refusing", "refusing", false),
            route("/closed", "closed", false),
            route("/far", "far", false),
        ])
        .await;
    for path in ["/closed/x", "/refusing/x", "/far/x"] {
        let response = post(&fleet, 0, path).await;
        assert_eq!(response.outcome(), "not-run", "{path} {} {}", response.status, response.text);
        assert!(response.code() >= 4000 && response.status == 503, "{path} {}", response.text);
    }
}

/// Guards against a target that reports "not run" in a header reserved for instances, so that a
/// call that was run is repeated.
#[tokio::test]
async fn target_cannot_report_an_outcome() {
    let fleet = Fleet::start(&["d1"]).await;
    let target = ScriptedTarget::start(|_, request| {
        let text = String::from_utf8(response_bytes(request, "application/json", "{}")).unwrap();
        let text = text.replace("200 OK", "500 Error\r\nx-sesamewall-outcome: not-run");
        ScriptedReply { bytes: text.into_bytes(), close: false }
    })
    .await;
    let targets = [("d1", target.address.as_str()), ("d1", target.address.as_str())];
    fleet.put(vec![group("s", false, &targets), route("/s", "s", false)]).await;
    let response = post(&fleet, 0, "/s/x").await;
    assert_eq!(target.received().len(), 1, "{}", response.text);
    assert_eq!((response.status, response.outcome()), (500, "run"), "{}", response.text);
}

/// Guards against a request that is sent to a target although its wait has timed out or the rate of
/// its account is consumed.
#[tokio::test]
async fn queue_and_rate_refusals_reach_no_target() {
    let settings = Settings { queue_ms: 300, ..Settings::default() };
    let fleet = Fleet::with(&["d1"], settings).await;
    let engine = EngineHandle::warm().await;
    let mut engines = group("e", true, &[("d1", &engine.address)]);
    engines["limit"] = json!(1);
    let target = ScriptedTarget::start(|_, request| reply(request, "{}")).await;
    let services = group("s", false, &[("d1", &target.address)]);
    fleet.put(vec![engines, services, route("/s", "s", false)]).await;
    engine.faults(&fleet, json!({ "late_ms": 1500 })).await;
    let (first, second) = tokio::join!(fleet.chat(0, "x", 1, false), fleet.chat(0, "y", 1, false));
    let mut codes = [first.code(), second.code()];
    codes.sort_unstable();
    assert_eq!(codes, [0, 4002], "{} {}", first.text, second.text);
    let refused = if first.code() == 4002 { first } else { second };
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert_eq!(engine.counts(&fleet).await["taken"], json!(1));

    let online = json!({ "rate": 0.1, "burst": 3.0 });
    fleet.put(vec![json!({ "kind": "account", "name": "a", "online": online })]).await;
    let mut refused = 0;
    for _ in 0..20 {
        let response = post(&fleet, 0, "/s/x").await;
        if response.status != 200 {
            assert_eq!((response.status, response.code()), (429, 3001), "{}", response.text);
            assert_eq!(response.outcome(), "not-run");
            refused += 1;
        }
    }
    assert!(refused > 0 && target.received().len() == 20 - refused, "{refused}");
}

/// Guards against a refusal by another failure domain that is reported as run.
#[tokio::test]
async fn refusal_by_another_failure_domain_keeps_its_outcome() {
    let fleet = Fleet::start(&["d1", "d2"]).await;
    let engine = EngineHandle::warm().await;
    engine.faults(&fleet, json!({ "crash_marker": "CRASH" })).await;
    fleet.put(vec![group("e", true, &[("d2", &engine.address)])]).await;
    let mut responses = Vec::new();
    for _ in 0..4 {
        responses.push(fleet.chat(0, "CRASH", 1, false).await);
    }
    let crashes = engine.counts(&fleet).await["crashes"].as_u64().unwrap();
    assert!(crashes <= 3, "{crashes} crashes");
    for response in &responses {
        assert_ne!(response.outcome(), "run", "{} {}", response.status, response.text);
    }
    let last = responses.last().unwrap();
    assert_eq!((last.code(), last.outcome()), (4005, "not-run"), "{}", last.text);
    assert_eq!(last.json()["error"]["param"], Value::Null);
}
