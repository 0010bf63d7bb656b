//! Answers of targets in trouble.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::Step;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::with_cold_rate;

use crate::world::World;
use crate::world::until;

/// Longest time to the final answer: the route's timeout and the platform's half a second.
const FINAL: Duration = Duration::from_millis(5500);

/// Memory of the smallest machine of the deployments, in kB.
const SMALL_MACHINE_KB: u64 = 88 << 10;

/// Bytes of an answer that never ends, large enough to fill any buffer soon.
const ENDLESS: usize = 64 << 10;

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

/// Guards against callers who are kept past their route's timeout by an answer that trickles.
#[tokio::test(flavor = "multi_thread")]
async fn a_trickling_answer_ends_at_the_timeout_of_its_route() {
    let world = World::start(1, 0).await;
    let target = RawTarget::start(|_, id| {
        let head = Step::text(head(id, "content-length: 100000\r\n"));
        vec![head, Step::Repeat(Bytes::from_static(b"x"), Duration::from_millis(200))]
    })
    .await;
    world.replace_all(target.address).await;
    let begun = Instant::now();
    let answer = world.talk(0, "/plain/x", "id-1").await.expect("an answer");
    assert!(begun.elapsed() < FINAL, "after {:?}", begun.elapsed());
    assert_eq!(answer.status, 502);
    assert!(until(|| async { target.open() == 0 }).await);
}

/// Guards against stalled streams that hold their caller with bytes that make no event.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_moves_off_a_target_that_sends_no_events() {
    let world = World::start(1, 0).await;
    let target = RawTarget::start(|_, id| {
        let trickle = Step::Repeat(Bytes::from_static(b":"), Duration::from_millis(50));
        vec![stream_head(id), event("/talk/x", 1), trickle]
    })
    .await;
    world.replace("t1", target.address).await;
    let begun = Instant::now();
    let answer = world.talk(0, "/talk/x", "id-1").await.expect("an answer");
    assert_eq!(answer.text(), Some(StandinTarget::text("/talk/x")));
    assert_eq!(target.seen(), ["id-1"]);
    assert!(begun.elapsed() < Duration::from_secs(2), "after {:?}", begun.elapsed());
}

/// Guards against streams that are slow and sound and are cut before their end.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_stream_is_passed_on_to_its_end() {
    let world = World::start(1, 0).await;
    for target in &world.targets {
        target.set_pause(Duration::from_millis(400));
    }
    let answer = world.talk(0, "/once/x", "id-1").await.expect("an answer");
    assert_eq!(answer.text(), Some(StandinTarget::text("/once/x")));
}

/// Guards against items that stay at a target which sends bytes and no events.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_leaves_a_target_that_sends_no_events() {
    let world = World::start(1, 1).await;
    let target = RawTarget::start(|_, id| {
        let trickle = Step::Repeat(Bytes::from_static(b":"), Duration::from_millis(300));
        vec![stream_head(id), trickle]
    })
    .await;
    world.replace("t2", target.address).await;
    let list: Vec<String> = (0..4).map(|n| format!("item{n}")).collect();
    let answer = world.client.submit(world.fronts[0].front(), "job1", &list).await;
    assert_eq!(answer.expect("an answer").status, 202);
    let results = world.finished(0, "job1", list.len()).await;
    assert!(results.iter().all(|row| row["state"] == "completed"), "{results:?}");
}

/// Guards against a second copy of an answer that reaches the next caller on the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_of_an_answer_reaches_nobody() {
    for late in [Duration::ZERO, Duration::from_millis(300)] {
        let world = World::start(1, 0).await;
        let target = RawTarget::start(move |number, id| {
            let answer = Step::text(format!("{}{id}", head(id, "content-length: 4\r\n")));
            match number {
                0 => vec![answer.clone(), Step::Pause(late), answer],
                _ => vec![answer],
            }
        })
        .await;
        world.replace_all(target.address).await;
        let first = world.talk(0, "/same/x", "id-1").await.expect("an answer");
        assert_eq!(first.body.as_deref(), Some(&b"id-1"[..]));
        tokio::time::sleep(late / 2).await;
        for id in ["id-2", "id-3"] {
            let next = world.talk(0, "/same/x", id).await.expect("an answer");
            assert!(next.status != 200 || next.body.as_deref() == Some(id.as_bytes()), "{next:?}");
            if next.status == 200 {
                assert_eq!(next.headers["sesamewall-request-id"], id);
            }
        }
    }
}

/// Guards against work that runs again, or is said not to have run, after its answer was lost: on a new and
/// on a kept connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_answer_is_lost_is_not_run_again() {
    let world = World::start(1, 0).await;
    let target = RawTarget::start(|number, id| match number {
        1 => vec![Step::text(format!("{}{id}", head(id, "content-length: 4\r\n")))],
        _ => vec![Step::Close],
    })
    .await;
    world.replace_all(target.address).await;
    for (id, status) in [("id-1", 502), ("id-2", 200), ("id-3", 502)] {
        let answer = world.talk(0, "/plain/x", id).await.expect("an answer");
        assert_eq!(answer.status, status, "{id}");
        // A target that has lost a connection is left out for a while.
        tokio::time::sleep(Duration::from_millis(if status == 502 { 1500 } else { 0 })).await;
    }
    assert_eq!(target.seen(), ["id-1", "id-2", "id-3"]);
}

/// Returns an answer that never ends. `part` says where.
fn endless(part: &str, id: &str) -> Vec<Step> {
    let again = |bytes: Vec<u8>| Step::Repeat(Bytes::from(bytes), Duration::ZERO);
    let filler = vec![b'x'; ENDLESS];
    let chunked = head(id, "transfer-encoding: chunked\r\n");
    let plain = head(id, "content-length: 99999999999\r\n");
    match part {
        "head line" => vec![Step::text("HTTP/1.1 200 OK\r\nx-long: "), again(filler)],
        "head lines" => vec![Step::text("HTTP/1.1 200 OK\r\n"), again(b"x: y\r\n".repeat(999))],
        "body" => vec![Step::text(plain), again(filler)],
        "event" => vec![stream_head(id), Step::text("data: "), again(filler)],
        "chunk extension" => vec![Step::text(format!("{chunked}5;x=")), again(filler)],
        "trailer" => vec![Step::text(format!("{chunked}0\r\nx: ")), again(filler)],
        "no answer" => vec![again(filler)],
        _ => unreachable!("not a part of an answer: {part}"),
    }
}

/// Guards against answers without end that take the memory of a small machine, keep their callers past the
/// timeout, leave connections open, or keep other callers from being served.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_are_ended() {
    let world = World::start(1, 0).await;
    let roomy = with_cold_rate(configuration(2, 1000.0, 1000.0), 1000.0);
    world.store.put("op/config", &roomy);
    let parts =
        ["head line", "head lines", "body", "event", "chunk extension", "trailer", "no answer"];
    for (part, count) in parts.iter().flat_map(|part| [(*part, 1), (*part, 200)]) {
        let target = RawTarget::start(move |_, id| endless(part, id)).await;
        world.replace_all(target.address).await;
        let path = if part == "event" { "/once/x" } else { "/plain/x" };
        let begun = Instant::now();
        let calls = (0..count).map(|n| {
            let world = &world;
            async move { world.talk(0, path, &format!("{part}-{n}").replace(' ', "-")).await }
        });
        let others = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let front = world.fronts[0].front();
            world.client.send(front, Method::GET, "/none/", "id-1", "key-1", Bytes::new()).await
        };
        let (answers, other) = tokio::join!(futures::future::join_all(calls), others);
        assert!(begun.elapsed() < FINAL, "{part}: after {:?}", begun.elapsed());
        assert_eq!(other.map(|answer| answer.status), Some(404), "{part}: another caller waits");
        for answer in answers.into_iter().flatten() {
            let ended = answer.status >= 500 || answer.body.is_none();
            assert!(ended, "{part}: a complete answer, {}", answer.status);
        }
        assert!(until(|| async { target.open() == 0 }).await, "{part}: connections left");
        let (peak, sent) = (world.fronts[0].peak_memory(), target.sent() >> 10);
        let begun = begun.elapsed();
        let runs = target.seen().len();
        println!("{count} x {part}: {runs} runs, {begun:?}, {sent} kB sent, peak {peak} kB");
        assert!(runs >= 1, "{part}: nothing was sent to the target");
        assert!(peak < SMALL_MACHINE_KB, "{part}: {peak} kB");
    }
}

/// Guards against sound requests that are refused as if they had crashed targets, because targets answered
/// others like them with bytes that are no answer, or with failures.
#[tokio::test(flavor = "multi_thread")]
async fn only_ended_connections_count_as_crashes() {
    let world = World::start(1, 0).await;
    let target = RawTarget::start(|number, id| match number {
        0..4 => vec![Step::text("this is no answer\r\n\r\n"), Step::Close],
        4..8 => vec![Step::text(head(id, "content-length: 0\r\n").replace("200 OK", "500 Error"))],
        _ => vec![Step::text(format!("{}whole", head(id, "content-length: 5\r\n")))],
    })
    .await;
    world.replace_all(target.address).await;
    let served = || async {
        let answer = world.talk(0, "/same/x", "id-1").await;
        answer.is_some_and(|answer| answer.body.as_deref() == Some(b"whole"))
    };
    assert!(until(served).await, "{} runs", target.seen().len());
}

/// Guards against answers without end to batch items.
#[tokio::test(flavor = "multi_thread")]
async fn endless_answers_to_items_are_ended() {
    let world = World::start(1, 1).await;
    let target = RawTarget::start(|number, id| match number % 3 {
        0 => endless("event", id),
        1 => {
            let head = head(id, "content-length: 99999999999\r\n").replace("200 OK", "500 Error");
            let filler = Bytes::from(vec![b'x'; ENDLESS]);
            vec![Step::text(head), Step::Repeat(filler, Duration::ZERO)]
        }
        _ => {
            let events: Vec<Step> = (1..200_000)
                .map(|number| Step::text(format!("id: {number}\ndata: {}\n\n", "x".repeat(500))))
                .collect();
            [vec![stream_head(id)], events].concat()
        }
    })
    .await;
    world.replace("t2", target.address).await;
    let list: Vec<String> = (0..6).map(|n| format!("item{n}")).collect();
    let answer = world.client.submit(world.fronts[0].front(), "job1", &list).await;
    assert_eq!(answer.expect("an answer").status, 202);
    tokio::time::sleep(Duration::from_secs(8)).await;
    // The target leaves; what it answered harmed no item.
    world.store.remove("servers/t2");
    let results = world.finished(0, "job1", list.len()).await;
    assert!(results.iter().all(|row| row["state"] == "completed"), "{results:?}");
    let peak = world.workers[0].peak_memory();
    assert!(peak < SMALL_MACHINE_KB, "{peak} kB");
}
