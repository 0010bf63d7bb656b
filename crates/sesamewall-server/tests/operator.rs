#![allow(clippy::unwrap_used)]

//! Guards against faults of the operators' API.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use sesamewall_ports::Store;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Operation;
use sesamewall_protocol::Result;
use sesamewall_protocol::hash_key;
use sesamewall_server::JobReader;
use sesamewall_server::JobView;
use sesamewall_server::StateDump;

use support::Fleet;
use support::TOKEN;
use support::account;
use support::refusal;

const INSTANCES: &[(&str, &str, bool)] =
    &[("a1", "a", false), ("a2", "a", true), ("b1", "b", true)];

async fn send(method: &str, url: String, token: Option<&str>, body: Value) -> (u16, String) {
    let mut request = http::Request::builder().method(method).uri(url);
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let request = request.body(Full::new(Bytes::from(body.to_string()))).unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.unwrap();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8(body.to_vec()).unwrap())
}

async fn call(method: &str, url: &str, path: &str, body: Value) -> (u16, Value) {
    let (status, text) = send(method, format!("{url}{path}"), Some(TOKEN), body).await;
    (status, serde_json::from_str(&text).unwrap())
}

async fn get(url: &str, path: &str) -> (u16, Value) {
    call("GET", url, path, Value::Null).await
}

async fn change(url: &str, against: u64, operations: &[Operation], author: &str) -> (u16, Value) {
    let body = json!({"against": against, "operations": operations, "author": author});
    call("POST", url, "/api/changes", body).await
}

/// Fails when any path below `/api` is served without the exact credential, or when a health check
/// needs one.
#[tokio::test]
async fn only_operators_pass() {
    let fleet = Fleet::new(INSTANCES);
    let url = &fleet.serve(None, Vec::new()).await[0];
    for path in ["resources", "state", "rollout", "jobs", "explain/x", "unknown", "keys"] {
        for token in [None, Some(""), Some("x"), Some(&TOKEN[1..]), Some(&*hash_key(TOKEN))] {
            let (status, body) = send("GET", format!("{url}/api/{path}"), token, json!({})).await;
            assert_eq!(status, 401, "{path} with {token:?}");
            assert!(body.contains("2003"), "{body}");
        }
    }
    assert_eq!(send("GET", format!("{url}/readyz"), None, Value::Null).await.0, 503);
    fleet.contexts[0].config.set_loaded();
    for path in ["/metrics", "/livez", "/readyz"] {
        assert_eq!(send("GET", format!("{url}{path}"), None, Value::Null).await.0, 200, "{path}");
    }
    fleet.contexts[0].draining.store(true, Ordering::Relaxed);
    assert_eq!(send("GET", format!("{url}/readyz"), None, Value::Null).await.0, 503);
}

/// Fails when requests pass although no credential is set.
#[tokio::test]
async fn an_empty_hash_refuses_everyone() {
    let empty = hash_key("");
    for hash in ["", empty.as_str()] {
        let fleet = Fleet::with_hash(&[("a1", "a", false)], hash);
        let url = &fleet.serve(None, Vec::new()).await[0];
        for token in ["", "x"] {
            let found = send("GET", format!("{url}/api/resources"), Some(token), json!({})).await;
            assert_eq!(found.0, 401, "{hash} with {token}");
        }
    }
}

/// Fails when the error for a conflicting change does not name the winner, or when that change
/// takes effect.
#[tokio::test]
async fn a_lost_race_names_the_winner() {
    let fleet = Fleet::new(INSTANCES);
    let urls = fleet.serve(None, Vec::new()).await;
    let (status, body) = change(&urls[0], 0, &[account("acme", 5.0)], "ann").await;
    assert_eq!((status, &body["revision"]), (200, &json!(1)), "{body}");
    let (status, body) = change(&urls[1], 0, &[account("acme", 9.0)], "bob").await;
    assert_eq!(status, 409, "{body}");
    assert_eq!(body["error"]["winner"], "ann");
    assert_eq!(body["error"]["current"], 1);
    assert_eq!(body["error"]["code"], 7002);
    let (_, body) = get(&urls[2], "/api/resources/account/acme").await;
    assert_eq!(body["resource"]["online"]["rate"], 5.0);
}

/// Fails when a faulty change is accepted, or when the error does not name the fault.
#[tokio::test]
async fn faulty_changes_name_the_field() {
    let fleet = Fleet::new(INSTANCES);
    let url = &fleet.serve(None, Vec::new()).await[0];
    let put =
        |resource: Value| json!({"against": 0, "author": "a", "operations": [{"put": resource}]});
    let cases = [
        (put(json!({"kind": "account", "name": "x", "online": {"rate": 1.0}})), 1003, "burst"),
        (put(json!({"kind": "acount", "name": "x"})), 1003, "acount"),
        (
            put(json!({"kind": "account", "name": "x", "online": {"rate": -1.0, "burst": 1.0}})),
            7001,
            "online",
        ),
        (json!({"against": 0, "author": "", "operations": [account("a", 1.0)]}), 1003, "author"),
        (json!({"against": 0, "author": "a", "operations": []}), 1003, "operations"),
    ];
    for (body, code, part) in cases {
        let (status, answer) = call("POST", url, "/api/changes", body.clone()).await;
        assert_eq!((status, &answer["error"]["code"]), (400, &json!(code)), "{body}: {answer}");
        assert!(answer["error"]["message"].as_str().unwrap().contains(part), "{answer}");
    }
    assert_eq!(fleet.contexts[0].config.current().revision(), 0);
    assert_eq!(get(url, "/api/resources?kind=x").await.1["error"]["code"], 1003);
    assert_eq!(get(url, "/api/resources/account/x").await.1["error"]["code"], 1010);
}

/// Fails when a watch misses a change, returns too early, or does not mark a response that skips
/// revisions.
#[tokio::test]
async fn watch_sees_each_change() {
    let fleet = Fleet::new(INSTANCES);
    let url = fleet.serve(None, Vec::new()).await.remove(0);
    let waiting = tokio::spawn({
        let url = url.clone();
        async move { get(&url, "/api/watch?after=0").await }
    });
    change(&url, 0, &[account("acme", 5.0)], "ann").await;
    let (_, body) = waiting.await.unwrap();
    assert_eq!(
        (&body["revision"], body["operations"][0]["put"]["name"].as_str()),
        (&json!(1), Some("acme"))
    );
    let (_, body) = get(&url, "/api/watch?after=1&wait_ms=1").await;
    assert_eq!(body, json!({"revision": 1, "full": false, "operations": []}));
    change(&url, 1, &[account("next", 5.0)], "ann").await;
    let (_, body) = get(&url, "/api/watch?after=0").await;
    assert_eq!((&body["full"], body["operations"].as_array().unwrap().len()), (&json!(true), 2));
}

/// Fails when a comparison writes something, or lists resources that do not change.
#[tokio::test]
async fn diff_shows_only_what_changes() {
    let fleet = Fleet::new(INSTANCES);
    let url = &fleet.serve(None, Vec::new()).await[0];
    change(url, 0, &[account("same", 1.0), account("other", 1.0)], "ann").await;
    let put = |name, rate| serde_json::to_value(account(name, rate)).unwrap()["put"].clone();
    let resources = [put("same", 1.0), put("other", 2.0), put("new", 3.0)];
    let (_, body) = call("POST", url, "/api/diff", json!({"resources": resources})).await;
    let names: Vec<_> =
        body["operations"].as_array().unwrap().iter().map(|step| &step["put"]["name"]).collect();
    assert_eq!(names, ["new", "other"]);
    assert_eq!(body["before"][0], Value::Null);
    assert_eq!(body["before"][1]["online"]["rate"], 1.0);
    assert_eq!(fleet.contexts[0].config.current().revision(), 1);
}

struct Leaky(String);

impl StateDump for Leaky {
    fn name(&self) -> &'static str {
        "leaky"
    }

    fn dump(&self) -> Value {
        let header = format!("authorization: Bearer {}", self.0);
        json!({"note": header, "secret": {"x": self.0}, (self.0.clone()): 1, "kept": "value"})
    }
}

/// Fails when a granted secret is in the store, a dump, a resource, a record or a metric, or when
/// a dump shows a credential's hash.
#[tokio::test]
async fn secrets_appear_only_in_the_answer_to_the_grant() {
    let fleet = Fleet::new(INSTANCES);
    let url = &fleet.serve(None, Vec::new()).await[0];
    change(url, 0, &[account("acme", 5.0)], "ann").await;
    fleet.log.race_next("bob", vec![account("other", 1.0)]);
    let body = json!({"account": "acme", "author": "ann", "id": "key-1"});
    let (status, key) = call("POST", url, "/api/keys", body.clone()).await;
    assert_eq!((status, &key["revision"]), (200, &json!(3)), "an unrelated change is no obstacle");
    let secret = key["secret"].as_str().unwrap();
    assert_eq!(secret.len(), "sk-".len() + 64);
    let stored = fleet.contexts[0]
        .config
        .current()
        .resource(sesamewall_protocol::ResourceKind::Key, "key-1");
    assert!(format!("{stored:?}").contains(&hash_key(secret)));

    let shown = fleet.serve(None, vec![Arc::new(Leaky(secret.to_owned()))]).await.remove(0);
    let mut texts = Vec::new();
    for path in ["state", "state?instance=b1", "resources", "watch?after=0", "refusals", "rollout"]
    {
        texts.push(get(&shown, &format!("/api/{path}")).await.1.to_string());
    }
    texts.push(send("GET", format!("{shown}/metrics"), None, Value::Null).await.1);
    assert!(texts[0].contains("leaky") && texts[0].contains("value"), "{}", texts[0]);
    assert!(!texts[0].contains(&hash_key(TOKEN)), "{}", texts[0]);
    for entry in fleet.store.list("", "", usize::MAX).await.unwrap() {
        texts.push(String::from_utf8(entry.value.to_vec()).unwrap());
    }
    assert!(texts.iter().any(|text| text.contains(&hash_key(secret))), "the store was searched");
    fleet.contexts[0].recorder.record(&"req_1".into(), Some(&"acme".into()), refusal());
    fleet.records[0].flush().await;
    let log = fleet.folders[1].path().join("records/records-0000000001.log");
    texts.push(String::from_utf8_lossy(&std::fs::read(log).unwrap()).into_owned());
    assert!(texts.last().unwrap().contains("req_1"), "the records were searched");
    for text in texts {
        assert!(!text.contains(&secret[3..]) && !text.contains(TOKEN), "{text}");
    }

    let (status, answer) = call("POST", url, "/api/keys", body).await;
    assert_eq!(status, 400, "the identifier is in use: {answer}");
    let unknown = json!({"account": "nobody", "author": "ann"});
    assert_eq!(call("POST", url, "/api/keys", unknown).await.0, 404);
    let path = "/api/keys/key-1?author=ann";
    assert_eq!(call("DELETE", url, path, Value::Null).await.0, 200);
    assert_eq!(call("DELETE", url, path, Value::Null).await.0, 404);
    assert_eq!(fleet.contexts[2].config.current().keys().len(), 0);
}

/// Fails when an instance that is behind or unreachable counts as current.
#[tokio::test]
async fn rollout_names_those_behind_and_cut_off() {
    let fleet = Fleet::new(INSTANCES);
    let url = &fleet.serve(None, Vec::new()).await[0];
    assert_eq!(get(url, "/api/rollout").await.1["complete"], true);
    fleet.log.hold_back("a2");
    fleet.disconnect("b1");
    change(url, 0, &[account("acme", 5.0)], "ann").await;
    let (_, body) = get(url, "/api/rollout").await;
    let states: Vec<_> = body["instances"]
        .as_array()
        .unwrap()
        .iter()
        .map(|found| (found["instance"].as_str().unwrap(), found["state"].as_str().unwrap()))
        .collect();
    assert_eq!(states, [("a1", "current"), ("a2", "behind"), ("b1", "unreachable")]);
    assert_eq!((&body["complete"], &body["revision"]), (&json!(false), &json!(1)));
}

/// Fails when refusals and paths are lost with the instance that made the decision, or when an
/// incomplete search is reported as complete.
#[tokio::test]
async fn refusals_and_paths_survive_the_instance_that_decided() {
    let fleet = Fleet::new(INSTANCES);
    let urls = fleet.serve(None, Vec::new()).await;
    fleet.contexts[0].recorder.record(&"req_1".into(), Some(&"acme".into()), refusal());
    fleet.records[0].flush().await;
    fleet.disconnect("a1");
    for url in &urls[1..] {
        let (_, body) = get(url, "/api/refusals?account=acme&since_ms=0").await;
        assert_eq!(body["records"].as_array().unwrap().len(), 1, "{body}");
        assert_eq!(body["unreachable"], json!(["a1"]));
        let (_, body) = get(url, "/api/refusals?account=other").await;
        assert_eq!(body["records"], json!([]));
        let (_, body) = get(url, "/api/explain/req_1").await;
        assert!(body["summary"].as_str().unwrap().contains("code 3001"), "{body}");
        assert_eq!(body["records"][0]["decision"]["numbers"], json!([["rate", 5.0]]));
        assert_eq!(get(url, "/api/explain/req_2").await.0, 503, "a1 may know it");
    }
    fleet.reconnect("a1");
    assert_eq!(get(&urls[1], "/api/explain/req_2").await.0, 404);
}

/// Fails when the response contains the state of an instance other than the requested one.
#[tokio::test]
async fn state_works_through_any_instance() {
    let fleet = Fleet::new(INSTANCES);
    let urls = fleet.serve(None, Vec::new()).await;
    for url in &urls {
        let (status, body) = get(url, "/api/state?instance=a2").await;
        assert_eq!((status, &body["node"]["instance"]["name"]), (200, &json!("a2")), "{body}");
    }
    assert_eq!(get(&urls[0], "/api/state?instance=x").await.0, 404);
    fleet.disconnect("a2");
    assert_eq!(get(&urls[0], "/api/state?instance=a2").await.1["error"]["code"], 8002);
}

struct OneJob;

#[async_trait]
impl JobReader for OneJob {
    async fn list(&self, _: usize) -> Result<Vec<JobView>> {
        Ok(self.find(&"job-1".into()).await?.into_iter().collect())
    }

    async fn find(&self, id: &JobId) -> Result<Option<JobView>> {
        Ok((id.as_str() == "job-1").then(|| JobView {
            id: id.clone(),
            account: "acme".into(),
            state: "in_progress".to_owned(),
            total: 9,
            completed: 4,
            failed: 1,
            created_ms: 0,
            due_ms: None,
        }))
    }
}

/// Fails when jobs of the reader are not returned, or when an unknown job is not an error.
#[tokio::test]
async fn jobs_come_from_their_reader() {
    let fleet = Fleet::new(INSTANCES);
    let url = &fleet.serve(Some(Arc::new(OneJob)), Vec::new()).await[0];
    assert_eq!(get(url, "/api/jobs").await.1["jobs"][0]["completed"], 4);
    assert_eq!(get(url, "/api/jobs/job-1").await.1["job"]["state"], "in_progress");
    assert_eq!(get(url, "/api/jobs/job-2").await.0, 404);
}
