//! Entries of the store that another writer left: unreadable, or with absurd values.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;
use sesamewall_platform_standin::COLD_TIME_FIELD;
use sesamewall_platform_standin::ROUTE_LIMIT_FIELDS;
use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::StandinClient;
use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::Step;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::target_entry;

use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Nesting far beyond the limit of the usual parsers.
const NESTING: usize = 50_000;

/// Longest name of a target in a key of 200 bytes.
const LONG_NAME: usize = 192;

/// Odd entries of one kind.
const MANY: usize = 300;

/// Returns a valid entry of a target at a port at which nothing listens, with one field changed.
fn entry_with(field: &str, value: Value) -> Vec<u8> {
    let mut entry = target_entry("127.0.0.1:9".parse().expect("an address"), "a", false);
    entry[field] = value;
    entry.to_string().into_bytes()
}

/// Returns a valid entry with the text `value` in place of a number of slots.
fn entry_with_slots(value: &str) -> Vec<u8> {
    let entry = String::from_utf8(entry_with("concurrency", json!(8))).expect("text");
    let replaced = entry.replace(r#""concurrency":8"#, &format!(r#""concurrency":{value}"#));
    assert_ne!(entry, replaced);
    replaced.into_bytes()
}

/// Returns values that describe no target.
fn unreadable_values() -> Vec<Vec<u8>> {
    let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
    let deep = |field: &str| format!(r#"{{"{field}":{nested}}}"#).into_bytes();
    let address = |text: &str| entry_with("address", json!(text));
    let mut twice = entry_with("zone", json!("a"));
    twice.pop();
    twice.extend_from_slice(br#","zone":"b"}"#);
    vec![
        Vec::new(),
        b"\xff\xfe\x00".to_vec(),
        b"[]".to_vec(),
        b"null".to_vec(),
        nested.clone().into_bytes(),
        "[".repeat(NESTING).into_bytes(),
        deep("service"),
        twice,
        entry_with_slots("1e999"),
        entry_with_slots("9223372036854775808"),
        entry_with_slots("4294967295"),
        entry_with_slots("4294967296"),
        entry_with_slots("-1"),
        entry_with_slots("0"),
        entry_with_slots("8.5"),
        address("127.0.0.1:70000"),
        address("127.0.0.1:0"),
        address("0.0.0.0:9"),
        address("255.255.255.255:9"),
        address("[::]:9"),
        address("host:9"),
        entry_with("born", json!(-1)),
        entry_with("state", json!("lost")),
    ]
}

/// Returns entries of targets of a service without routes, with absurd values that are of the right
/// type.
fn absurd_entries() -> Vec<Vec<u8>> {
    let entry = |field: &str, value: Value| {
        let mut entry: Value = serde_json::from_slice(&entry_with(field, value)).expect("JSON");
        entry["service"] = json!("other");
        entry.to_string()
    };
    let nested = "[".repeat(NESTING) + &"]".repeat(NESTING);
    let deep = entry("other", json!(0)).replace(r#""other":0"#, &format!(r#""other":{nested}"#));
    let entries = [
        deep,
        entry("concurrency", json!(65_535)),
        entry(COLD_TIME_FIELD, json!(1e300)),
        entry(COLD_TIME_FIELD, json!(-1)),
        entry("born", json!(u64::MAX)),
        entry("zone", json!("")),
    ];
    entries.map(String::into_bytes).to_vec()
}

/// Sends requests until a change of the entries is in effect: none may fail meanwhile.
async fn assert_followed(fleet: &TestFleet, front: usize) {
    fleet.store.put("servers/t1", &target_entry(fleet.targets[0].address, "a", true));
    tokio::time::sleep(PROPAGATION_TIME).await;
    let before = fleet.targets[0].requests().len();
    for number in 0..10 {
        let response = fleet.chat(front, "/talk/x", &format!("id-{number}")).await;
        assert_eq!(response.expect("a response").status, 200);
    }
    assert_eq!(fleet.targets[0].requests().len(), before, "the entries are not followed");
    fleet.store.put("servers/t1", &target_entry(fleet.targets[0].address, "a", false));
    tokio::time::sleep(PROPAGATION_TIME).await;
}

async fn assert_job_completes(fleet: &TestFleet, job: &str) {
    let list: Vec<String> = (0..6).map(|n| format!("item{n}")).collect();
    let front = fleet.fronts[0].caller_address();
    let response = fleet.client.submit(front, job, &list).await;
    assert_eq!(response.expect("a response").status, 202);
    let results = fleet.wait_results(0, job, list.len()).await;
    for row in &results {
        let path = format!("/jobs/{}", row["id"].as_str().unwrap_or_default());
        assert_eq!(row["output"], StandinTarget::text(&path));
    }
}

/// Guards against a process that ends, a task that ends or a list that is followed no more because
/// of entries that describe no target.
#[tokio::test(flavor = "multi_thread")]
async fn odd_target_entries_stop_nothing() {
    let fleet = TestFleet::start(2, 1).await;
    let values = [unreadable_values(), absurd_entries()].concat();
    for (number, value) in values.iter().enumerate() {
        fleet.store.put_bytes(&format!("servers/odd{number}"), value);
    }
    let valid = entry_with("service", json!("other"));
    let long_name = "n".repeat(LONG_NAME);
    for name in ["", "line\nend", "tab\t", "\u{e9}\u{4e2d}", "a/b", long_name.as_str()] {
        fleet.store.put_bytes(&format!("servers/{name}"), &valid);
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    for front in 0..2 {
        assert_followed(&fleet, front).await;
    }
    assert_job_completes(&fleet, "job1").await;
    // A gap in the history is followed by a complete read.
    fleet.store.compact();
    for front in 0..2 {
        assert_followed(&fleet, front).await;
    }
    assert_job_completes(&fleet, "job2").await;
}

/// Guards against requests that wait for, or fail at, entries that name no usable target while
/// sound targets have room.
#[tokio::test(flavor = "multi_thread")]
async fn many_odd_entries_take_no_requests_from_sound_targets() {
    let fleet = TestFleet::start(1, 0).await;
    let values = unreadable_values();
    for number in 0..MANY {
        fleet.store.put_bytes(&format!("servers/odd{number}"), &values[number % values.len()]);
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    for number in 0..40 {
        let response = fleet.chat(0, "/once/x", &format!("id-{number}")).await;
        assert_eq!(response.expect("a response").status, 200, "request {number}");
    }
}

/// Guards against a complete read or a watch that fails for good because one value in it is no
/// base64.
#[tokio::test(flavor = "multi_thread")]
async fn a_value_that_is_not_base64_hides_no_other_entries() {
    let fleet = TestFleet::start(2, 1).await;
    for (prefix, number) in [("servers/", 1), ("op/evacuate/", 2), ("sesamewall/job/x/", 3)] {
        fleet.store.put_text(&format!("{prefix}odd{number}"), "no base64!");
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    for round in 0..2 {
        assert_followed(&fleet, round).await;
        let mut next = configuration(2 + round as u64, 1000.0, 1000.0);
        next["tenants"][0]["apiKeys"] = json!(["key-1", format!("key-{}", 2 + round)]);
        fleet.store.put("op/config", &next);
        let front = fleet.fronts[round].caller_address();
        let key = format!("key-{}", 2 + round);
        let has_key = || async {
            let body = Bytes::new();
            let sent = fleet.client.send(front, Method::POST, "/talk/x", "id", &key, body);
            sent.await.is_some_and(|response| response.status == 200)
        };
        assert!(wait_until(has_key).await, "round {round}: the operators' keys are not followed");
        assert_job_completes(&fleet, &format!("job{round}")).await;
        fleet.store.compact();
        // A valid entry that is replaced by an unreadable one names no target any more.
        fleet.store.put_text("servers/t2", "no base64!");
        tokio::time::sleep(PROPAGATION_TIME).await;
        let before = fleet.targets[1].requests().len();
        for number in 0..10 {
            let response = fleet.chat(round, "/talk/x", &format!("id-{number}")).await;
            assert_eq!(response.expect("a response").status, 200);
        }
        assert_eq!(fleet.targets[1].requests().len(), before, "an unreadable entry is used");
        fleet.store.put("servers/t2", &target_entry(fleet.targets[1].address, "b", false));
        tokio::time::sleep(PROPAGATION_TIME).await;
    }
}

/// Guards against a process that ends because of a configuration with times that no clock has.
#[tokio::test(flavor = "multi_thread")]
async fn absurd_times_of_a_configuration_end_no_process() {
    let mut fleet = TestFleet::start(1, 1).await;
    let mut next = configuration(2, 1000.0, 1000.0);
    next["tenants"][0]["apiKeys"] = json!(["key-1", "key-2"]);
    for limit in ["headerTimeoutMs", "idleTimeoutMs"] {
        next["limits"][limit] = json!(1e300);
    }
    for route in next["routes"].as_array_mut().expect("routes") {
        for time in ROUTE_LIMIT_FIELDS {
            route[time] = json!(1e300);
        }
    }
    next["services"][0]["coldStartS"] = json!(1e300);
    fleet.store.put("op/config", &next);
    tokio::time::sleep(PROPAGATION_TIME).await;
    for number in 0..3 {
        // Each client has connections of its own.
        let client = StandinClient::default();
        let front = fleet.fronts[0].caller_address();
        let body = Bytes::new();
        let id = format!("id-{number}");
        let sent = client.send(front, Method::POST, "/talk/x", &id, "key-2", body);
        let response = sent.await.expect("a response");
        assert_eq!(response.text(), Some(StandinTarget::text("/talk/x")));
    }
    assert_job_completes(&fleet, "job1").await;
    fleet.fronts[0].terminate();
    assert!(fleet.fronts[0].wait_exit().await);
}

/// Guards against a response that is lost because its target announces to keep the connection for a
/// time that no clock has.
#[tokio::test(flavor = "multi_thread")]
async fn an_absurd_keep_alive_time_loses_no_response() {
    let fleet = TestFleet::start(1, 0).await;
    let target = RawTarget::start(|_, id| {
        vec![Step::text(format!(
            "HTTP/1.1 200 OK\r\nsesamewall-request-id: {id}\r\nsesamewall-response-seal: seal-1\r\n\
             keep-alive: timeout={}\r\ncontent-length: 2\r\n\r\nok",
            u64::MAX
        ))]
    })
    .await;
    fleet.replace_all(target.address).await;
    for number in 0..3 {
        let response = fleet.chat(0, "/plain/x", &format!("id-{number}")).await;
        let response = response.expect("a response");
        assert_eq!((response.status, response.body.as_deref()), (200, Some(&b"ok"[..])));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
