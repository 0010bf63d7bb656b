//! Guards against accepting a change that breaks a reference or is applied partially.

use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use sesamewall_membership::Configuration;
use sesamewall_protocol::Error;
use sesamewall_protocol::Operation;
use sesamewall_protocol::ResourceKind;

use crate::fixtures::account;
use crate::fixtures::change;
use crate::fixtures::key;
use crate::fixtures::put;

fn group(name: &str, models: &[&str], targets: &[(&str, &str)]) -> Operation {
    let targets: Vec<Value> = targets
        .iter()
        .map(|(name, address)| json!({"name": name, "domain": "a", "address": address}))
        .collect();
    let backend = if models.is_empty() { "service" } else { "engine" };
    put(json!({
        "kind": "target-group", "name": name, "type": backend, "models": models,
        "targets": targets, "limit": 8
    }))
}

fn placed(name: &str, models: Value, placement: Value) -> Operation {
    let backend = if models == json!([]) { "service" } else { "engine" };
    put(json!({
        "kind": "target-group", "name": name, "type": backend, "models": models,
        "targets": [], "placement": placement
    }))
}

fn base() -> Configuration {
    let operations = vec![
        account("acme"),
        key("k1", "acme"),
        group("llm", &["org/llama:8b"], &[("t1", "http://10.0.0.1:80")]),
        group("web", &[], &[("t2", "http://[::1]:8080")]),
        put(json!({"kind": "route", "name": "all", "prefix": "/api", "group": "web"})),
        put(json!({"kind": "route", "name": "deep", "prefix": "/api/deep", "group": "web"})),
        put(json!({"kind": "route", "name": "host", "host": "Shop.example", "group": "web"})),
    ];
    Configuration::default().apply(&change(1, "op", operations)).unwrap()
}

fn delete(kind: ResourceKind, name: &str) -> Operation {
    Operation::Delete { kind, name: name.into() }
}

#[test]
fn invalid_operations_are_refused_with_the_field() {
    let route = |extra: Value| {
        let mut route = json!({"kind": "route", "name": "r", "group": "web"});
        route.as_object_mut().unwrap().extend(extra.as_object().unwrap().clone());
        put(route)
    };
    let rate = |rate: f64, burst: f64| {
        put(json!({"kind": "account", "name": "b", "online": {"rate": rate, "burst": burst}}))
    };
    let cases: Vec<(&str, Vec<Operation>)> = vec![
        ("name", vec![account("")]),
        ("name", vec![account("a#batch")]),
        ("name", vec![account(&"x".repeat(65))]),
        ("online.rate", vec![rate(0.0, 1.0)]),
        ("online.burst", vec![rate(1.0, 0.5)]),
        ("account", vec![key("k2", "nobody")]),
        ("hash", vec![put(json!({"kind": "key", "id": "k2", "account": "acme", "hash": "FF"}))]),
        ("group", vec![route(json!({"host": "h", "group": "none"}))]),
        ("group", vec![route(json!({"host": "h", "group": "llm"}))]),
        ("host", vec![route(json!({}))]),
        ("prefix", vec![route(json!({"prefix": "api"}))]),
        ("prefix", vec![route(json!({"host": "shop.example"}))]),
        ("targets[0].address", vec![group("g", &[], &[("t", "http://name:80")])]),
        ("targets[0].address", vec![group("g", &[], &[("t", "https://10.0.0.1:80")])]),
        ("targets[0].address", vec![group("g", &[], &[("t", "http://10.0.0.1")])]),
        ("targets[0].name", vec![group("w2", &[], &[("t2", "http://10.0.0.1:1")])]),
        (
            "targets[1].name",
            vec![group("g", &[], &[("t", "http://10.0.0.1:1"), ("t", "http://10.0.0.1:2")])],
        ),
        ("models", vec![group("llm2", &["org/llama:8b"], &[])]),
        ("placement", vec![placed("web", json!([]), json!({}))]),
        ("placement.least_replicas", vec![placed("g", json!(["m"]), json!({"least_replicas": 0}))]),
        ("name", vec![delete(ResourceKind::Account, "acme")]),
        ("name", vec![delete(ResourceKind::Account, "none")]),
        ("group", vec![delete(ResourceKind::TargetGroup, "web")]),
        ("name", vec![account("b"), account("b")]),
    ];
    let before = base();
    for (wanted, operations) in cases {
        match before.validate(&operations) {
            Err(Error::ResourceInvalid { field, detail, .. }) => {
                assert_eq!((field.as_str(), detail.is_empty()), (wanted, false), "{operations:?}");
            }
            other => panic!("{operations:?}: {other:?}"),
        }
    }
    assert!(before.validate(&[]).is_err());
}

#[test]
fn a_change_takes_effect_as_a_whole_or_not_at_all() {
    let before = base();
    let half = change(2, "op", vec![account("new"), key("k2", "nobody")]);
    assert!(before.apply(&half).is_err());
    assert!(before.account("new").is_none());
    // References are checked after the last operation, in any order.
    let swap = vec![
        delete(ResourceKind::Account, "acme"),
        delete(ResourceKind::Key, "k1"),
        key("k2", "new"),
        account("new"),
    ];
    let after = before.apply(&change(2, "op", swap)).unwrap();
    assert!(after.key(&sesamewall_protocol::hash_key("k1")).is_none());
    assert!(after.key(&sesamewall_protocol::hash_key("k2")).is_some());
    assert!(before.apply(&change(3, "op", vec![account("x")])).is_err());
    assert!(after.apply(&change(2, "op", vec![account("x")])).is_err());
    let replay = before.apply(&change(2, "op", before.diff(&after))).unwrap();
    assert!(replay.diff(&after).is_empty());
    let copy = Configuration::from_resources(2, after.resources()).unwrap();
    assert!(copy.diff(&after).is_empty() && after.diff(&copy).is_empty());
}

#[test]
fn routes_match_host_first_then_the_longest_prefix() {
    let config = base();
    let name = |host: Option<&str>, path: &str| config.route(host, path).map(|r| r.name.clone());
    assert_eq!(name(Some("shop.example:80"), "/api/deep").as_deref(), Some("host"));
    assert_eq!(name(Some("other"), "/api/deep/x").as_deref(), Some("deep"));
    assert_eq!(name(None, "/api/deeper").as_deref(), Some("all"));
    assert_eq!(name(None, "/apis"), None);
    assert_eq!(config.group_for_model("org/llama:8b").unwrap().name, "llm");
    assert_eq!(config.target("t2").unwrap().0.name, "web");
}

#[test]
fn a_change_shares_resources_with_5900_accounts() {
    let operations: Vec<Operation> = (0..5_900).map(|n| account(&format!("a{n}"))).collect();
    let mut config = Configuration::default();
    for (part, chunk) in operations.chunks(1_000).enumerate() {
        config = config.apply(&change(part as u64 + 1, "op", chunk.to_vec())).unwrap();
    }
    let start = Instant::now();
    let after = config.apply(&change(7, "op", vec![account("one-more")])).unwrap();
    println!("one change with 5,900 accounts: {:?}", start.elapsed());
    let shared =
        config.accounts().zip(after.accounts()).filter(|(a, b)| std::sync::Arc::ptr_eq(a, b));
    assert_eq!(shared.count(), 5_900, "a change must share the resources it does not name");
}

#[test]
fn every_resource_survives_its_json_form() {
    let config = base();
    for resource in config.resources() {
        let text = serde_json::to_string(&resource).unwrap();
        let back: sesamewall_protocol::Resource =
            serde_json::from_str(&text).unwrap_or_else(|error| panic!("{text}: {error}"));
        assert_eq!(back, resource);
    }
}
