//! Answers of targets in trouble.

use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::Step;

use crate::world::World;

fn head(id: &str, more: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nsesamewall-request-id: {id}\r\nsesamewall-response-seal: seal-1\r\n{more}\r\n"
    )
}

fn stream_head(id: &str) -> Step {
    Step::text(head(id, "content-type: text/event-stream\r\nconnection: close\r\n"))
}

fn event(path: &str, number: u64) -> Step {
    Step::text(format!("id: {number}\ndata: {path} {number}\n\n"))
}

/// Guards against a stream that ends inside an event and looks complete to its caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_an_event_is_not_complete() {
    let world = World::start(1, 0).await;
    let target = RawTarget::start(|_, id| {
        vec![stream_head(id), event("/once/x", 1), Step::text("id: 2\ndata: /on"), Step::Close]
    })
    .await;
    world.replace_all(target.address).await;
    let answer = world.talk(0, "/once/x", "id-1").await.expect("an answer");
    assert_eq!(target.seen(), ["id-1"]);
    assert_eq!((answer.status, answer.body), (200, None));
}
