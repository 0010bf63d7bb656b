//! Requests that one instance forwards to another failure domain.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::client::Prompt;
use crate::client::streamed;
use crate::fixture::TestFleet;

const TOKENS: u64 = 9;
const RESUME_FROM: usize = 4;

/// Guards against a resumed stream that starts again at the first token when it is forwarded to
/// another failure domain: the caller then gets the first tokens twice.
pub async fn resumed_stream_repeats_nothing(fleet: &TestFleet) {
    let listed = fleet.client.get(&format!("{}/instances", fleet.platform), "").await.unwrap();
    for instance in listed.json().as_array().unwrap() {
        let address = instance["address"]["forward"].as_str().unwrap();
        let prompt = Prompt::new(&format!("resume at {}", instance["name"]), TOKENS, true);
        let request = Request::builder()
            .method("POST")
            .uri(format!("http://{address}/v1/chat/completions"))
            .header("x-sesamewall-request", "req_resumed")
            .header("x-sesamewall-account", "online")
            .header("x-sesamewall-class", "online")
            .header("x-attempt-id", "req_resumed-0-0")
            .header("x-resume-from", RESUME_FROM)
            .body(Full::new(Bytes::from(prompt.body().to_string())))
            .unwrap();
        let response = fleet.client.send(request).await.unwrap();
        let expected = prompt.expected();
        let rest: String = expected.split_inclusive(' ').skip(RESUME_FROM).collect();
        assert_eq!(streamed(&response.text()), Ok(rest), "{response:?}");
    }
}
