//! Tests that a response is complete and belongs to the caller's prompt, or reports an error.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use http::Method;
use serde_json::Value;
use serde_json::json;

use crate::fleet::*;
use crate::target::ScriptedReply;
use crate::target::ScriptedTarget;
use crate::target::header;
use crate::target::json as reply;
use crate::target::response_bytes;

/// Returns the token texts of a complete stream, or the text that shows that it is not complete.
pub fn tokens(text: &str) -> Result<Vec<String>, String> {
    let mut tokens = Vec::new();
    let mut ended = false;
    for data in text.split("\n\n").filter_map(|event| event.strip_prefix("data: ")) {
        if ended {
            return Err(format!("data after the end marker: {data}"));
        }
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).map_err(|_| data.to_owned())?;
        match chunk["choices"][0]["delta"]["content"].as_str() {
            Some("") => {}
            Some(token) => tokens.push(token.trim().to_owned()),
            None => return Err(data.to_owned()),
        }
    }
    if ended { Ok(tokens) } else { Err("no end marker".to_owned()) }
}

/// Returns the numbers of the tokens, and asserts that all tokens belong to one prompt.
pub fn numbers(text: &str) -> Vec<u64> {
    let tokens = tokens(text).unwrap();
    let parts = tokens.iter().map(|token| token.split_once('.').unwrap());
    let (prompts, numbers): (Vec<_>, Vec<_>) = parts.unzip();
    assert!(prompts.windows(2).all(|pair| pair[0] == pair[1]), "{text}");
    numbers.iter().map(|number| number.parse().unwrap()).collect()
}

/// Guards against a resumed stream that repeats or misses a token.
#[tokio::test]
async fn cut_stream_is_resumed_without_gap() {
    let fleet = Fleet::start(&["d1"]).await;
    let engines = [EngineHandle::warm().await, EngineHandle::warm().await];
    let targets: Vec<_> = engines.iter().map(|e| ("d1", e.address.as_str())).collect();
    fleet.put(vec![group("e", true, &targets)]).await;
    for engine in &engines {
        engine.faults(&fleet, json!({ "cut_after": 7 })).await;
    }
    // Each of the three attempts generates 7 tokens, so that 20 tokens need all of them.
    let response = fleet.chat(0, "cut", 20, true).await;
    assert_eq!(numbers(&response.text), (0..20).collect::<Vec<u64>>());
    // 30 tokens need more attempts than the retry budget allows.
    let response = fleet.chat(0, "cut", 30, true).await;
    assert!(tokens(&response.text).is_err(), "{}", response.text);
    assert!(response.text.contains("\"code\":5002"), "{}", response.text);
    assert!(!response.text.contains("[DONE]"));
}

/// Guards against a resumed stream that restarts from the first token at the instance to which it
/// was forwarded, and against an error event of that instance in the middle of a response.
#[tokio::test]
async fn forwarded_stream_is_resumed_without_gap() {
    let fleet = Fleet::start(&["d1", "d2"]).await;
    let calls = Arc::new(AtomicUsize::new(0));
    let seen = calls.clone();
    // Each attempt generates three tokens and then ends without an end marker or a transport error.
    // The instance in d2 reports this, and the instance in d1 sends the request two more times.
    let target = ScriptedTarget::start(move |_, request| {
        seen.fetch_add(1, Ordering::Relaxed);
        let first = header(request, "x-resume-from").map_or(0, |from| from.parse().unwrap());
        let last: u64 = (first + 3).min(9);
        let mut body = String::new();
        for index in first..last {
            let chunk = json!({ "choices": [{ "index": 0, "finish_reason": null,
                                              "delta": { "content": format!("p.{index} ") } }] });
            body.push_str(&format!("data: {chunk}\n\n"));
        }
        if last == 9 {
            body.push_str("data: [DONE]\n\n");
        }
        ScriptedReply { bytes: response_bytes(request, "text/event-stream", &body), close: false }
    })
    .await;
    let near = ScriptedTarget::start(|_, request| reply(request, "{}")).await;
    let engines = group("e", true, &[("d2", &target.address), ("d2", &target.address)]);
    fleet.put(vec![engines, group("s", false, &[("d1", &near.address)])]).await;
    let response = fleet.chat(0, "far", 9, true).await;
    assert_eq!(numbers(&response.text), (0..9).collect::<Vec<u64>>(), "{}", response.text);
    assert_eq!(calls.load(Ordering::Relaxed), 3);
}

/// Guards against the text of an error in the middle of a stream, and against a stream that ends
/// without an error, when the next target does not go on with it.
#[tokio::test]
async fn an_error_of_the_next_target_does_not_enter_a_stream() {
    for (status, content_type, body) in [
        ("500 Internal Server Error", "application/json", "{\"error\": \"down\"}\n\n"),
        ("404 Not Found", "application/json", "{\"error\": \"down\"}\n\n"),
        ("204 No Content", "application/json", ""),
        ("200 OK", "application/json", "{\"error\": \"down\"}\n\n"),
        ("200 OK", "text/plain", "down\n\n"),
    ] {
        let fleet = Fleet::start(&["d1"]).await;
        let target = ScriptedTarget::start(move |number, request| {
            let chunk = json!({ "choices": [{ "index": 0, "finish_reason": null,
                                              "delta": { "content": "p.0 " } }] });
            let bytes = match number {
                0 => response_bytes(request, "text/event-stream", &format!("data: {chunk}\n\n")),
                _ => {
                    let text = response_bytes(request, content_type, body);
                    let text = String::from_utf8(text).unwrap();
                    text.replacen("200 OK", status, 1).into_bytes()
                }
            };
            ScriptedReply { bytes, close: false }
        })
        .await;
        fleet.put(vec![group("e", true, &[("d1", &target.address)])]).await;
        let response = fleet.chat(0, "error", 9, true).await;
        assert_eq!(response.status, 200, "{}", response.text);
        assert!(response.text.starts_with("data: {\"choices\""), "{}", response.text);
        assert!(!response.text.contains("down"), "{status}: {}", response.text);
        assert!(response.text.contains("\"code\":5002"), "{status}: {}", response.text);
        assert!(!response.text.contains("[DONE]"), "{status}: {}", response.text);
    }
}

/// Guards against an answer whose status is none, which reaches the caller as an answer.
#[tokio::test]
async fn a_response_without_a_valid_status_reaches_no_caller() {
    for status in ["000", "099", "101", "600", "999"] {
        let fleet = Fleet::start(&["d1"]).await;
        let target = ScriptedTarget::start(move |_, request| {
            let text = String::from_utf8(response_bytes(request, "application/json", "{}"));
            let line = format!("HTTP/1.1 {status}");
            let bytes = text.unwrap().replacen("HTTP/1.1 200", &line, 1).into_bytes();
            ScriptedReply { bytes, close: true }
        })
        .await;
        fleet.put(vec![group("e", true, &[("d1", &target.address)])]).await;
        for stream in [false, true] {
            let response = fleet.chat(0, "status", 9, stream).await;
            let is_error = response.status == 502 || response.text.contains("\"code\":5002");
            assert!(is_error, "{status}, {stream}: {} {}", response.status, response.text);
            assert!(!response.text.contains("[DONE]"), "{status}: {}", response.text);
        }
        assert!(!target.received().is_empty(), "{status}");
    }
}

/// Guards against returning a response that belongs to another request.
#[tokio::test]
async fn response_to_another_request_is_rejected() {
    let fleet = Fleet::start(&["d1"]).await;
    let (wrong, right) = (EngineHandle::warm().await, EngineHandle::warm().await);
    let targets = [("d1", wrong.address.as_str()), ("d1", right.address.as_str())];
    fleet.put(vec![group("e", true, &targets)]).await;
    let expected = fleet.chat(0, "own", 2, false).await.json()["choices"][0]["message"].clone();
    wrong.faults(&fleet, json!({ "crossed": true })).await;
    for stream in [false, true, false, true] {
        let response = fleet.chat(0, "own", 2, stream).await;
        assert_eq!(response.status, 200, "{}", response.text);
        assert!(!response.text.contains("-other"), "{}", response.text);
        let found = match stream {
            true => format!("{} ", tokens(&response.text).unwrap().join(" ")),
            false => {
                response.json()["choices"][0]["message"]["content"].as_str().unwrap().to_owned()
            }
        };
        assert_eq!(json!(found), expected["content"]);
    }
    right.faults(&fleet, json!({ "crossed": true })).await;
    let response = fleet.chat(0, "own", 2, false).await;
    assert_eq!((response.status, response.code(), response.outcome()), (502, 5003, "unknown"));
}

/// Guards against delayed responses that reach another caller.
#[tokio::test]
async fn delayed_responses_reach_their_callers() {
    let fleet = Fleet::start(&["d1"]).await;
    let engine = EngineHandle::warm().await;
    fleet.put(vec![group("e", true, &[("d1", &engine.address)])]).await;
    engine.faults(&fleet, json!({ "late_ms": 100 })).await;
    let calls = (0..16).map(|index| {
        let fleet = &fleet;
        async move { fleet.chat(0, &format!("prompt {index}"), 2, index % 2 == 0).await.text }
    });
    let texts = futures::future::join_all(calls).await;
    let mut prompts = Vec::new();
    for text in &texts {
        let at = text.find(".0 ").unwrap_or_else(|| panic!("{text}"));
        prompts.push(text[at - 8..at].to_owned());
    }
    prompts.sort();
    prompts.dedup();
    assert_eq!(prompts.len(), 16, "{texts:?}");
}

/// Starts a target that sends a complete response to requests numbered `cut` and above, and the
/// response as changed by `broken` to those below.
async fn broken_target(
    cut: usize,
    broken: impl Fn(Vec<u8>) -> ScriptedReply + Send + Sync + 'static,
) -> ScriptedTarget {
    ScriptedTarget::start(move |number, request| {
        let whole = response_bytes(request, "application/json", "{\"choices\": [\"complete\"]}");
        if number < cut { broken(whole) } else { ScriptedReply { bytes: whole, close: false } }
    })
    .await
}

/// Guards against a truncated response that is taken for a complete one, for each way to truncate.
#[tokio::test]
async fn truncated_responses_are_retried_or_reported() {
    let without_length = |bytes: Vec<u8>| {
        let text = String::from_utf8(bytes).unwrap();
        text.replace("content-length", "x-length").into_bytes()
    };
    for kind in 0..3 {
        for cut in [1, 100] {
            let fleet = Fleet::start(&["d1"]).await;
            let target = broken_target(cut, move |mut bytes| {
                match kind {
                    0 => bytes.truncate(bytes.len() - 5),
                    1 => bytes.truncate(20),
                    // Without a content length, the end of the connection ends the body.
                    _ => {
                        bytes = without_length(bytes);
                        bytes.truncate(bytes.len() - 5);
                    }
                }
                ScriptedReply { bytes, close: true }
            })
            .await;
            let other = broken_target(0, |_| unreachable!()).await;
            let names = match cut {
                1 => vec![("d1", target.address.as_str()), ("d1", other.address.as_str())],
                _ => vec![("d1", target.address.as_str())],
            };
            fleet.put(vec![group("e", true, &names)]).await;
            let response = fleet.chat(0, "x", 2, false).await;
            match cut {
                1 => assert_eq!(response.json()["choices"], json!(["complete"]), "{kind}"),
                _ => assert_eq!(response.outcome(), "unknown", "{kind}: {}", response.text),
            }
            assert!(cut == 1 || response.code() == 5002, "{kind}: {}", response.text);
        }
    }
}

/// Guards against taking the second copy of a duplicated response for the next request's response.
#[tokio::test]
async fn duplicated_response_does_not_shift_later_ones() {
    let fleet = Fleet::start(&["d1"]).await;
    let target = ScriptedTarget::start(|_, request| {
        let mut bytes =
            response_bytes(request, "application/json", &json!({ "got": request }).to_string());
        bytes.extend(bytes.clone());
        ScriptedReply { bytes, close: false }
    })
    .await;
    fleet
        .put(vec![group("s", false, &[("d1", &target.address)]), route("/service", "s", false)])
        .await;
    let a = bearer(KEY_A);
    for number in 0..20 {
        let path = format!("/service/{number}-");
        let response = fleet.send(0, Method::GET, &path, &[("authorization", &a)], "").await;
        if response.status == 200 {
            let got = response.json()["got"].as_str().unwrap().to_owned();
            assert!(got.contains(&path), "{path} got the answer to {got}");
        } else {
            assert_eq!(response.outcome(), "unknown", "{}", response.text);
        }
    }
}

/// Guards against a slot that stays occupied, and an engine that keeps running the request, after
/// the caller has disconnected.
#[tokio::test]
async fn disconnected_caller_frees_slot_and_engine() {
    let fleet = Fleet::start(&["d1"]).await;
    let engine = EngineHandle::warm().await;
    fleet.put(vec![group("e", true, &[("d1", &engine.address)])]).await;
    for stream in [true, false] {
        let before = engine.counts(&fleet).await["cancelled"].as_u64().unwrap();
        let call = fleet.chat(0, "long", 100_000, stream);
        let cut = tokio::time::timeout(std::time::Duration::from_millis(500), call).await;
        assert!(cut.is_err(), "the call ended by itself");
        let mut freed = false;
        for _ in 0..500 {
            let state = fleet.fetch_operator(0, "/api/state").await.json();
            let held = state["slots"]["held"].as_u64().unwrap();
            let cancelled = engine.counts(&fleet).await["cancelled"].as_u64().unwrap();
            freed = held == 0 && cancelled == before + 1;
            if freed {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        assert!(freed, "stream: {stream}");
    }
}
