//! Tests of requests that are sent again with their idempotency key.

use std::time::Duration;

use http::Method;
use serde_json::json;

use crate::fleet::*;
use crate::target::ScriptedReply;
use crate::target::ScriptedTarget;
use crate::target::json as reply;

async fn post(fleet: &Fleet, instance: usize, path: &str, key: &str, body: &str) -> HttpResponse {
    let headers = [("authorization", &*bearer(KEY_A)), ("idempotency-key", key)];
    fleet.send(instance, Method::POST, path, &headers, body).await
}

/// Guards against a second run of a request that is sent again to the same or another instance,
/// while the first run lasts and after it has ended.
#[tokio::test]
async fn resent_request_runs_once() {
    let fleet = Fleet::start(&["d1", "d2"]).await;
    let engine = EngineHandle::warm().await;
    let service = ScriptedTarget::start(|number, request| {
        reply(request, &json!({ "number": number }).to_string())
    })
    .await;
    fleet
        .put(vec![
            group("e", true, &[("d1", &engine.address)]),
            group("s", false, &[("d1", &service.address)]),
            route("/s", "s", false),
        ])
        .await;
    engine.faults(&fleet, json!({ "late_ms": 1000 })).await;
    for key in ["k1", "k2", "k3", "k4"] {
        let taken = engine.counts(&fleet).await["taken"].as_u64().unwrap();
        let body = chat_body(key, 2, false);
        let resent = async {
            while engine.counts(&fleet).await["taken"].as_u64().unwrap() == taken {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            (post(&fleet, 0, CHAT, key, &body).await, post(&fleet, 1, CHAT, key, &body).await)
        };
        let (first, resent) = tokio::join!(post(&fleet, 0, CHAT, key, &body), resent);
        for response in [&resent.0, &resent.1] {
            assert_eq!(
                (response.code(), response.outcome()),
                (1009, "not-run"),
                "{}",
                response.text
            );
        }
        for instance in [0, 1] {
            let again = post(&fleet, instance, CHAT, key, &body).await;
            assert_eq!((again.status, &again.text), (200, &first.text));
            let other = post(&fleet, instance, CHAT, key, &chat_body("other", 2, false)).await;
            assert_eq!((other.code(), other.outcome()), (1008, "not-run"), "{}", other.text);
        }
        assert_eq!(engine.counts(&fleet).await["taken"], json!(taken + 1));
        for instance in [0, 1, 0] {
            let response =
                post(&fleet, instance, &format!("/s/{key}"), &format!("s-{key}"), "").await;
            assert_eq!(response.status, 200, "{}", response.text);
        }
    }
    assert_eq!(service.received().len(), 4);
}

/// Guards against an idempotency key that matches a request of another account, and against an
/// invalid idempotency key that is treated as absent.
#[tokio::test]
async fn idempotency_keys_belong_to_accounts() {
    let fleet = Fleet::start(&["d1"]).await;
    let service = ScriptedTarget::start(|_, request| reply(request, "{}")).await;
    let services = group("s", false, &[("d1", &service.address)]);
    fleet.put(vec![services, route("/s", "s", false), route("/open", "s", true)]).await;
    for (count, account) in [KEY_A, KEY_B].into_iter().enumerate() {
        let headers = [("authorization", &*bearer(account)), ("idempotency-key", "same")];
        let response = fleet.send(0, Method::POST, "/s/x", &headers, account).await;
        assert_eq!(
            (response.status, service.received().len()),
            (200, count + 1),
            "{}",
            response.text
        );
    }
    for body in ["x", "y"] {
        let response = post(&fleet, 0, "/open/x", "same", body).await;
        assert_eq!(response.status, 200, "{}", response.text);
    }
    assert_eq!(service.received().len(), 4);
    for key in ["", &"k".repeat(300)] {
        let response = post(&fleet, 0, "/s/x", key, "x").await;
        assert_eq!((response.code(), response.outcome()), (1003, "not-run"), "{}", response.text);
    }
    assert_eq!(service.received().len(), 4);
}

/// Guards against a second run of a request that must not be repeated after its response was lost,
/// and against an idempotency key that stays claimed by a request that was not run.
#[tokio::test]
async fn unknown_outcome_keeps_the_key_and_refusal_frees_it() {
    let fleet = Fleet::start(&["d1", "d2"]).await;
    let lost = ScriptedTarget::start(|_, _| ScriptedReply { bytes: Vec::new(), close: true }).await;
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let nobody = closed.local_addr().unwrap().to_string();
    drop(closed);
    let groups = |address: &str| group("c", false, &[("d1", address)]);
    let lost_group = group("l", false, &[("d1", &lost.address)]);
    let routes = [route("/l", "l", false), route("/c", "c", false)];
    fleet.put([vec![lost_group, groups(&nobody)], routes.to_vec()].concat()).await;
    let first = post(&fleet, 0, "/l/x", "k", "x").await;
    assert_eq!((first.code(), first.outcome()), (5002, "unknown"), "{}", first.text);
    for instance in [0, 1] {
        let mut again = post(&fleet, instance, "/l/x", "k", "x").await;
        while again.code() == 1009 {
            // The end of the request is reported concurrently with the response.
            tokio::time::sleep(Duration::from_millis(10)).await;
            again = post(&fleet, instance, "/l/x", "k", "x").await;
        }
        assert_eq!((again.code(), again.outcome()), (1011, "not-run"), "{}", again.text);
    }
    assert_eq!(lost.received().len(), 1);
    let refused = post(&fleet, 0, "/c/x", "c", "x").await;
    assert_eq!(refused.outcome(), "not-run", "{}", refused.text);
    let service = ScriptedTarget::start(|_, request| reply(request, "{}")).await;
    fleet.put(vec![groups(&service.address)]).await;
    let mut again = post(&fleet, 1, "/c/x", "c", "x").await;
    for _ in 0..500 {
        if again.status == 200 {
            break;
        }
        assert_eq!(again.outcome(), "not-run", "{}", again.text);
        tokio::time::sleep(Duration::from_millis(20)).await;
        again = post(&fleet, 1, "/c/x", "c", "x").await;
    }
    assert_eq!((again.status, service.received().len()), (200, 1), "{}", again.text);
}

/// Guards against a request that runs although the instance that owns its idempotency key is
/// unreachable.
#[tokio::test]
async fn unreachable_owner_means_not_run() {
    let mut fleet = Fleet::start(&["d1", "d2"]).await;
    let service = ScriptedTarget::start(|_, request| reply(request, "{}")).await;
    let services = group("s", false, &[("d1", &service.address)]);
    fleet.put(vec![services, route("/s", "s", false)]).await;
    // The first instance still lists the stopped second instance as a lead.
    let domain = fleet.running[1].context.local.domain.clone();
    let lost = fleet.running.remove(1);
    let mut gone = lost.context.local.clone();
    let name = gone.name.clone();
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    gone.address.peer = closed.local_addr().unwrap().to_string();
    drop(closed);
    let directory = &fleet.running[0].context.directory;
    let (mut refused, mut ran) = (0, 0);
    for number in 0..60 {
        let own = fleet.running[0].context.local.clone();
        directory.set_instances(vec![own, gone.clone()]);
        directory.set_lead(&domain, Some(name.clone()));
        let response = post(&fleet, 0, "/s/x", &format!("k{number}"), "x").await;
        match response.status {
            200 => ran += 1,
            _ => {
                let seen = (response.status, response.code(), response.outcome());
                assert_eq!(seen, (503, 8002, "not-run"), "{}", response.text);
                refused += 1;
            }
        }
    }
    assert!(refused > 0 && ran > 0, "{refused} refused, {ran} ran");
    assert_eq!(service.received().len(), ran);
}
