//! Tests of bad input over raw sockets.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use sesamewall_server::Settings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fleet::*;

/// Sends raw bytes and reads until the connection is closed or the response has a complete JSON
/// body. Returns the status and the body.
async fn raw(fleet: &Fleet, bytes: &[u8]) -> (u16, Value) {
    let mut stream = TcpStream::connect(&fleet.running[0].caller_addr).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let mut read = Vec::new();
    let end = async {
        let mut chunk = [0; 4096];
        loop {
            match stream.read(&mut chunk).await {
                Ok(count) if count > 0 => read.extend_from_slice(&chunk[..count]),
                _ => return,
            }
            let text = String::from_utf8_lossy(&read);
            let complete = text
                .split_once("\r\n\r\n")
                .is_some_and(|(_, body)| serde_json::from_str::<Value>(body).is_ok());
            if complete {
                return;
            }
        }
    };
    assert!(tokio::time::timeout(Duration::from_secs(30), end).await.is_ok(), "no answer");
    let text = String::from_utf8_lossy(&read).into_owned();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, serde_json::from_str(body).unwrap_or(Value::String(text.clone())))
}

fn post(headers: &str, body: &str) -> Vec<u8> {
    format!("POST {CHAT} HTTP/1.1\r\nauthorization: Bearer {KEY_A}\r\n{headers}\r\n{body}")
        .into_bytes()
}

fn with_body(body: &str) -> Vec<u8> {
    post(&format!("host: x\r\ncontent-length: {}\r\n", body.len()), body)
}

async fn fleet() -> (Fleet, EngineHandle) {
    let settings = Settings { body_seconds: 1, body_limit: 64 << 10, ..Settings::default() };
    let fleet = Fleet::with(&["d1"], settings).await;
    let engine = EngineHandle::warm().await;
    fleet.put(vec![group("e", true, &[("d1", &engine.address)])]).await;
    (fleet, engine)
}

async fn check(fleet: &Fleet, cases: Vec<(&str, Vec<u8>, u16, u16)>) {
    let mut wrong = Vec::new();
    for (name, bytes, status, code) in cases {
        let (seen, body) = raw(fleet, &bytes).await;
        let error = &body["error"];
        let shaped = error["message"].is_string() && error["type"].is_string();
        if seen != status || error["code"] != json!(code) || !shaped {
            wrong.push(format!("{name}: {seen} {body}"));
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
    let response = fleet.chat(0, "still serving", 2, false).await;
    assert_eq!(response.status, 200, "{}", response.text);
}

/// Guards against ambiguous, oversized or unfinished requests that are accepted, refused without an
/// error code, or that crash the process.
#[tokio::test]
async fn bad_framing_is_refused_with_an_error_code() {
    let (fleet, engine) = fleet().await;
    let body = chat_body("x", 1, false);
    let length = body.len();
    let chunked = format!("{length:x}\r\n{body}\r\n0\r\n\r\n");
    let wide = format!("host: x\r\nx-wide: {}\r\ncontent-length: 0\r\n", "a".repeat(1 << 20));
    let large = "a".repeat(65 << 10);
    let both = format!("host: x\r\ncontent-length: {length}\r\ntransfer-encoding: chunked\r\n");
    let swapped = format!("host: x\r\ntransfer-encoding: chunked\r\ncontent-length: {length}\r\n");
    let twice = format!("host: x\r\ncontent-length: {length}\r\ncontent-length: 3\r\n");
    let same = format!("host: x\r\ncontent-length: {length}\r\ncontent-length: {length}\r\n");
    let hosts = format!("host: x\r\nhost: y\r\ncontent-length: {length}\r\n");
    let cases = vec![
        ("length and encoding", post(&both, &chunked), 400, 1006),
        ("encoding and length", post(&swapped, &chunked), 400, 1006),
        ("two lengths", post(&twice, &body), 400, 1006),
        ("two equal lengths", post(&same, &body), 400, 1006),
        ("two hosts", post(&hosts, &body), 400, 1006),
        ("header too large", post(&wide, ""), 431, 1006),
        ("not HTTP", b"\x16\x03\x01\x02\x00\r\n\r\n".to_vec(), 400, 1006),
        ("slow headers", b"GET /v1/models HTTP/1.1\r\nhost: x\r\n".to_vec(), 408, 1006),
        ("slow body", post("host: x\r\ncontent-length: 100\r\n", "{"), 408, 1007),
        ("body too large", with_body(&large), 413, 1002),
    ];
    check(&fleet, cases).await;
    assert_eq!(engine.counts(&fleet).await["taken"], json!(1), "a refused request was run");
}

/// Guards against malformed bodies that reach a target, or that crash the process.
#[tokio::test]
async fn bad_bodies_are_refused_with_an_error_code() {
    let (fleet, engine) = fleet().await;
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    let deep = format!("{{\"model\": \"{MODEL}\", \"messages\": {nested}}}");
    let fields = |extra: Value| {
        let mut body = json!({ "model": MODEL, "messages": [{ "role": "user", "content": "x" }] });
        body.as_object_mut().unwrap().extend(extra.as_object().unwrap().clone());
        with_body(&body.to_string())
    };
    let unknown = b"GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n".to_vec();
    let cases = vec![
        ("not JSON", with_body("{\"model\":"), 400, 1001),
        ("a list", with_body("[]"), 400, 1001),
        ("deep nesting", with_body(&deep), 400, 1001),
        ("unknown model", fields(json!({ "model": "other" })), 404, 1004),
        ("model not a string", fields(json!({ "model": 1 })), 400, 1003),
        ("stream not a flag", fields(json!({ "stream": "yes" })), 400, 1003),
        ("zero tokens", fields(json!({ "max_tokens": 0 })), 400, 1003),
        ("negative tokens", fields(json!({ "max_tokens": -1 })), 400, 1003),
        ("tokens as text", fields(json!({ "max_tokens": "5" })), 400, 1003),
        ("fraction of tokens", fields(json!({ "max_tokens": 1.5 })), 400, 1003),
        ("no messages", fields(json!({ "messages": [] })), 400, 1003),
        ("messages not a list", fields(json!({ "messages": "x" })), 400, 1003),
        ("message not an object", fields(json!({ "messages": [1] })), 400, 1003),
        ("unknown route", unknown, 404, 1005),
    ];
    check(&fleet, cases).await;
    assert_eq!(engine.counts(&fleet).await["taken"], json!(1), "a refused request was run");
}
