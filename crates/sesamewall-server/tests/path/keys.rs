//! Tests of API keys: which requests may run, and that keys are not disclosed.

use std::time::Duration;

use http::Method;
use serde_json::json;
use sesamewall_protocol::hash_key;
use sesamewall_server::Settings;

use crate::fleet::*;
use crate::target::ScriptedTarget;
use crate::target::json as reply;

const KEY_C: &str = "sk-cccccccccccccccccccccccccccccccc";

type Headers<'a> = Vec<(&'a str, &'a str)>;

async fn service() -> ScriptedTarget {
    ScriptedTarget::start(|_, request| reply(request, "{}")).await
}

/// Guards against requests that run without a valid key of exactly one account.
#[tokio::test]
async fn request_without_one_valid_key_is_refused() {
    let fleet = Fleet::start(&["d1"]).await;
    let target = service().await;
    let withdrawn = json!({ "kind": "key", "id": "key-c", "account": "a",
                            "hash": hash_key(KEY_C) });
    let services = group("s", false, &[("d1", &target.address)]);
    fleet.put(vec![withdrawn, services, route("/service", "s", false)]).await;
    let (c, b) = (bearer(KEY_C), bearer(KEY_B));
    let response = fleet.send(0, Method::GET, "/service/c", &[("authorization", &c)], "").await;
    assert_eq!(response.status, 200, "{}", response.text);
    let delete = json!({ "delete": { "kind": "key", "name": "key-c" } });
    fleet.submit(vec![serde_json::from_value(delete).unwrap()]).await;
    let before = target.received().len();
    let query = format!("?api_key={KEY_A}");
    let cases: [(&str, Headers, u64); 6] = [
        ("", vec![], 2001),
        ("", vec![("authorization", "Bearer sk-wrong")], 2002),
        ("", vec![("authorization", &c)], 2002),
        ("", vec![("authorization", &b), ("x-api-key", KEY_A)], 2002),
        (&query, vec![("authorization", &b)], 2002),
        (&query, vec![("cookie", "api_key=sk-wrong")], 2002),
    ];
    for (query, headers, code) in cases {
        for path in ["/service/x", "/v1/models", CHAT, "/v1/batches"] {
            let method = if path == CHAT { Method::POST } else { Method::GET };
            let response = fleet.send(0, method, &format!("{path}{query}"), &headers, "").await;
            assert_eq!((response.status, response.code()), (401, code), "{path} {headers:?}");
            assert_eq!(response.outcome(), "not-run");
        }
    }
    assert_eq!(target.received().len(), before, "a refused request reached the target");
}

/// Guards against a key that reaches a target, a log, a record or a state dump, whether the request
/// is run locally, on an open route or through another failure domain.
#[tokio::test]
async fn key_is_never_disclosed() {
    let fleet = Fleet::start(&["d1", "d2"]).await;
    let (near, far) = (service().await, service().await);
    let engine = ScriptedTarget::start(|_, request| reply(request, "{}")).await;
    fleet
        .put(vec![
            group("near", false, &[("d1", &near.address)]),
            group("far", false, &[("d2", &far.address)]),
            group("e", true, &[("d2", &engine.address)]),
            route("/near", "near", false),
            route("/far", "far", false),
            route("/open", "far", true),
        ])
        .await;
    let a = bearer(KEY_A);
    let encoded: String = KEY_A.bytes().map(|byte| format!("%{byte:02x}")).collect();
    let cookie = format!("theme=dark; api_key={KEY_A}; other=\"{KEY_A}\"");
    let places: Vec<(String, Headers)> = vec![
        (String::new(), vec![("authorization", &a)]),
        (String::new(), vec![("x-api-key", KEY_A)]),
        (String::new(), vec![("authorization", KEY_A), ("x-custom", &a)]),
        (format!("?api_key={KEY_A}&kept=1"), vec![]),
        (format!("?kept=1&api%5fkey={encoded}"), vec![]),
        (format!("?kept=1&other={KEY_A}"), vec![("api-key", KEY_A)]),
        (String::new(), vec![("cookie", &cookie)]),
    ];
    for (query, headers) in &places {
        for path in ["/near/x", "/far/x", "/open/x"] {
            let path = format!("{path}{query}");
            let response = fleet.send(0, Method::GET, &path, headers, "").await;
            assert_eq!(response.status, 200, "{path} {headers:?} {}", response.text);
        }
        let path = format!("{CHAT}{query}");
        let response = fleet.send(0, Method::POST, &path, headers, &chat_body("x", 1, false)).await;
        assert_eq!(response.status, 200, "{path} {headers:?} {}", response.text);
    }
    assert_eq!(near.received().len(), places.len());
    assert_eq!(far.received().len(), 2 * places.len());
    // The engine is also asked for cache events, at an interval.
    let calls = engine.received().into_iter().filter(|request| request.starts_with("POST "));
    assert_eq!(calls.count(), places.len());
    let seen = [near.received(), far.received(), engine.received()].concat().join("\n");
    assert!(seen.contains("kept=1") && seen.contains("theme=dark"), "the check sees no request");
    let mut texts = vec![("target", seen), ("log", fleet.log.text())];
    for instance in 0..2 {
        texts.push(("state", fleet.fetch_operator(instance, "/api/state").await.text));
        texts.push(("records", fleet.fetch_operator(instance, "/api/refusals").await.text));
    }
    let explained = fleet.send(0, Method::GET, "/near/x", &[("x-api-key", KEY_A)], "").await;
    let id = explained.headers["x-request-id"].to_str().unwrap();
    let records = fleet.fetch_operator(0, &format!("/api/explain/{id}")).await;
    assert_eq!(records.status, 200, "{}", records.text);
    texts.push(("records", records.text));
    for (place, text) in &texts {
        for key in [KEY_A, encoded.as_str()] {
            assert!(!text.contains(key), "the key is in {place}");
        }
    }
}

/// Guards against a key in the URL of a batch item that reaches the target.
#[tokio::test]
async fn key_in_a_batch_item_url_is_not_forwarded() {
    let folder = tempfile::tempdir().unwrap();
    let settings = Settings { data_dir: Some(folder.path().to_owned()), ..Settings::default() };
    let fleet = Fleet::with(&["d1"], settings).await;
    let target = service().await;
    fleet
        .put(vec![group("s", false, &[("d1", &target.address)]), route("/service", "s", false)])
        .await;
    let url = format!("/service/x?kept=1&api_key={KEY_A}");
    let item = json!({ "custom_id": "1", "method": "POST", "url": url, "body": {} });
    fleet.submit_job(&url, &[item]).await;
    for _ in 0..1000 {
        if !target.received().is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let seen = target.received().join("\n");
    assert!(seen.contains("/service/x?kept=1 "), "{seen}");
    assert!(!seen.contains(KEY_A), "{seen}");
    assert!(!fleet.log.text().contains(KEY_A));
}
