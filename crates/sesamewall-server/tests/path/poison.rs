//! Tests of requests that crash targets.

use http::Method;
use serde_json::json;

use crate::fleet::*;
use crate::target::Reply;
use crate::target::ScriptedTarget;

/// Guards against a request that crashes more than three engines although it is sent again to each
/// instance, and against harm to the requests that were running at the crashes.
#[tokio::test]
async fn resent_poison_request_crashes_three_engines_at_most() {
    // The body is the same in each copy: crash marks are kept under its hash.
    tokio::join!(resend_poison(true), resend_poison(false));
}

async fn resend_poison(stream: bool) {
    let fleet = Fleet::start(&["d1", "d1", "d2"]).await;
    let mut engines = Vec::new();
    for _ in 0..6 {
        let engine = EngineHandle::warm().await;
        engine.faults(&fleet, json!({ "crash_marker": "CRASH" })).await;
        engines.push(engine);
    }
    let targets: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| (["d1", "d2"][index % 2], engine.address.as_str()))
        .collect();
    fleet.put(vec![group("e", true, &targets)]).await;
    let poison = async {
        let mut answers = Vec::new();
        for round in 0..9 {
            answers.push(fleet.chat(round % 3, "CRASH", 5, stream).await);
        }
        answers
    };
    let others = futures::future::join_all((0..24).map(|index| {
        let fleet = &fleet;
        async move { fleet.chat(index % 3, &format!("good {index}"), 200, index % 2 == 0).await }
    }));
    let (poison, others) = tokio::join!(poison, others);
    let mut crashes = 0;
    for engine in &engines {
        crashes += engine.counts(&fleet).await["crashes"].as_u64().unwrap();
    }
    assert!((1..=3).contains(&crashes), "{crashes} crashes");
    for answer in &poison {
        assert!([4005, 5002].contains(&answer.code()), "{} {}", answer.status, answer.text);
    }
    assert_eq!(poison.last().unwrap().code(), 4005, "{}", poison.last().unwrap().text);
    for (index, answer) in others.iter().enumerate() {
        assert_eq!(answer.status, 200, "{index}: {}", answer.text);
        assert!(answer.text.contains(".199 "), "{index}: {}", answer.text);
        assert!(!answer.text.contains("\"error\""), "{index}: {}", answer.text);
    }
}

/// Guards against a failure that is answered before all instances know the crash marks: a caller
/// that sends the request again at once would crash a target for each instance.
#[tokio::test]
async fn failure_is_answered_when_the_marks_have_spread() {
    let fleet = Fleet::start(&["d1", "d1", "d1", "d1"]).await;
    let lose = || ScriptedTarget::start(|_, _| Reply { bytes: Vec::new(), close: true });
    let targets = [lose().await, lose().await, lose().await, lose().await];
    let addresses: Vec<_> = targets.iter().map(|target| ("d1", &*target.address)).collect();
    fleet.put(vec![group("s", false, &addresses), route("/s", "s", false)]).await;
    // A POST on a route is sent once for each copy of the request.
    let mut answers = Vec::new();
    for instance in 0..4 {
        let headers = [("authorization", &*bearer(KEY_A))];
        answers.push(fleet.send(instance, Method::POST, "/s/x", &headers, "CRASH").await);
    }
    let received: usize = targets.iter().map(|target| target.received().len()).sum();
    let codes: Vec<_> = answers.iter().map(|answer| answer.code()).collect();
    assert_eq!((received, &codes[..]), (2, &[5002, 5002, 4005, 4005][..]));
}
