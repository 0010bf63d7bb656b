//! The quick start of the README with the real program.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;

use bytes::Bytes;
use http::Method;
use sesamewall_platform_standin::StandinClient;

/// Guards against a quick start whose printed request is refused because the instance has not yet
/// received the rate of its account.
#[tokio::test(flavor = "multi_thread")]
async fn the_printed_request_is_served_at_once() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sesamewalld"))
        .arg("--dev")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program was built for this test");
    let output = BufReader::new(child.stdout.take().expect("a pipe"));
    let (mut callers, mut key) = (None, None);
    for line in output.lines() {
        let line = line.expect("text");
        if let Some(rest) = line.strip_prefix("callers") {
            let address = rest.trim().trim_start_matches("http://").trim_end_matches("/v1");
            callers = address.parse::<SocketAddr>().ok();
        }
        if let Some(rest) = line.strip_prefix("key") {
            key = Some(rest.trim().to_owned());
            break;
        }
    }
    let callers = callers.expect("the callers' address is printed before the key");
    let key = key.expect("a key is printed");
    let body = r#"{"model": "standin-1", "messages": [{"role": "user", "content": "Hello"}]}"#;
    let path = "/v1/chat/completions";
    let client = StandinClient::default();
    let sent = client.send(callers, Method::POST, path, "id-1", &key, Bytes::from(body));
    let response = sent.await;
    // Ends the process before the check, so that a failed check leaves no process running.
    child.kill().expect("the program runs");
    child.wait().expect("the program was started");
    let response = response.expect("an answer");
    assert_eq!(response.status, 200, "{:?}", response.body);
}
