//! Callers' requests.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::configuration;
use sesamewall_platform_standin::target_entry;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::world::World;
use crate::world::until;

/// Guards against a changed request or answer: the target sees the caller's request without its key,
/// and the caller gets the whole answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_passed_on_whole() {
    let world = World::start(1, 0).await;
    let answer = world.talk(0, "/talk/x?y=1", "id-1").await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(), Some(StandinTarget::text("/talk/x")));
    assert_eq!(answer.headers["sesamewall-request-id"], "id-1");
    let seen: Vec<_> = world.targets.iter().flat_map(StandinTarget::seen).collect();
    assert_eq!(seen.len(), 1);
    assert_eq!((seen[0].path.as_str(), &seen[0].body[..]), ("/talk/x?y=1", &b"hello"[..]));
    assert_eq!(seen[0].header("authorization"), "");
    assert_eq!(seen[0].header("sesamewall-tenant"), "acme");
    assert_eq!(seen[0].header("sesamewall-model"), "m");
    let left: u64 = seen[0].header("sesamewall-deadline-ms").parse().expect("a number");
    assert!((4000..5000).contains(&left), "{left}");
}

/// Guards against a lost or doubled part of a stream that its target breaks off in the middle of an
/// event: a resumable stream goes on at the other target, any other ends incomplete.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_goes_on_only_where_it_may() {
    let world = World::start(1, 0).await;
    world.targets[0].cut_after(Some(4));
    let answer = world.talk(0, "/talk/x", "id-1").await.expect("an answer");
    assert_eq!(answer.text(), Some(StandinTarget::text("/talk/x")));
    let resumed = world.targets[1].seen();
    assert_eq!(resumed.len(), 1, "the own failure domain's target comes first");
    assert_eq!(resumed[0].header("last-event-id"), "4");
    world.targets[1].cut_after(Some(4));
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let answer = world.talk(0, "/once/x", "id-2").await.expect("an answer");
    assert_eq!((answer.status, answer.body), (200, None));
    let runs = world.targets.iter().flat_map(StandinTarget::seen);
    assert_eq!(runs.filter(|run| run.header("sesamewall-request-id") == "id-2").count(), 1);
}

/// Guards against a stream that is ended for its target's silence although it may not go on elsewhere
/// any more: the second of two targets gets the time that it needs.
#[tokio::test(flavor = "multi_thread")]
async fn the_last_run_of_a_stream_is_waited_for() {
    let world = World::start(1, 0).await;
    for target in &world.targets {
        target.stall_after(Some((4, Duration::from_millis(1200))));
    }
    let answer = world.talk(0, "/talk/x", "id-1").await.expect("an answer");
    assert_eq!(answer.text(), Some(StandinTarget::text("/talk/x")));
    assert_eq!(world.targets[1].seen()[0].header("last-event-id"), "4");
}

/// Guards against another request's answer, and against a second run of a request that may run once.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_another_request_is_not_passed_on() {
    let world = World::start(1, 0).await;
    for target in &world.targets {
        target.spoil_ids(true);
    }
    let answer = world.talk(0, "/once/x", "id-1").await.expect("an answer");
    assert_eq!(answer.status, 502);
    let runs: usize = world.targets.iter().map(|target| target.seen().len()).sum();
    assert_eq!(runs, 1);
    world.targets[1].spoil_ids(false);
    let answer = world.talk(0, "/talk/x", "id-2").await.expect("an answer");
    assert_eq!(answer.text(), Some(StandinTarget::text("/talk/x")));
}

/// Guards against untrue refusals: what no target ran is refused as not run, with a time to come back.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_is_true_and_names_a_time() {
    let world = World::start(1, 0).await;
    for target in &world.targets {
        target.set_full(true);
    }
    let answer = world.talk(0, "/once/x", "id-1").await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(world.targets.iter().all(|target| target.seen().is_empty()));
}

/// Guards against use of a request's address by a target of another name.
#[tokio::test(flavor = "multi_thread")]
async fn a_reused_address_runs_nothing() {
    let world = World::start(1, 0).await;
    // The entry names a target that is gone; another one listens at its address.
    let entry = target_entry(world.targets[1].address, "a", false);
    world.store.put("servers/t9", &entry);
    world.store.remove("servers/t1");
    world.store.remove("servers/t2");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let answer = world.talk(0, "/once/x", "id-1").await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(world.targets[1].seen().is_empty());
}

/// Guards against a configuration that does not arrive, a withdrawn key that still works, and entries
/// that cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_in_force_within_two_seconds() {
    let world = World::start(2, 0).await;
    world.store.put_bytes("servers/t7", b"{\"service\": 5");
    world.store.put_bytes("op/unknown", b"\xff\xfe");
    let mut next = configuration(2, 1000.0, 1000.0);
    next["tenants"][0]["apiKeys"] = serde_json::json!(["key-2"]);
    world.store.put("op/config", &next);
    world.store.put("servers/t1", &target_entry(world.targets[0].address, "a", true));
    tokio::time::sleep(Duration::from_secs(2)).await;
    for n in 0..2 {
        let answer = world.talk(n, "/talk/x", "id-1").await.expect("an answer");
        assert_eq!(answer.status, 401);
        let (front, body) = (world.fronts[n].front(), Bytes::new());
        let sent = world.client.send(front, Method::POST, "/talk/x", "id-2", "key-2", body);
        assert_eq!(sent.await.expect("an answer").status, 200);
    }
    assert!(world.targets[0].seen().is_empty(), "a draining target got work");
}

/// Guards against instances that the store turns away: they learn changes through the others.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_the_store_learns_from_the_others() {
    let world = World::start(3, 0).await;
    // The instances hear each other.
    tokio::time::sleep(Duration::from_secs(2)).await;
    world.store.turn_away(&[world.fronts[0].ip()]);
    let mut next = configuration(5, 1000.0, 1000.0);
    next["tenants"][0]["apiKeys"] = serde_json::json!(["key-5"]);
    world.store.put("op/config", &next);
    let refused = || async {
        world.talk(0, "/talk/x", "id-1").await.is_some_and(|answer| answer.status == 401)
    };
    assert!(until(refused).await);
}

/// Guards against requests cut by a planned stop: a stream under way ends whole, new ones are served
/// while the load balancer notices, and the process ends by itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing() {
    let mut world = World::start(1, 0).await;
    for target in &world.targets {
        target.set_pause(Duration::from_millis(200));
    }
    let front = world.fronts[0].front();
    let (client, body) = (world.client.clone(), Bytes::from_static(b"hello"));
    let running = tokio::spawn(async move {
        client.send(front, Method::POST, "/talk/x", "id-1", "key-1", body).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    world.fronts[0].terminate();
    assert!(world.ready(0, 503).await);
    let answer = world.talk(0, "/talk/y", "id-2").await.expect("an answer");
    assert_eq!(answer.text(), Some(StandinTarget::text("/talk/y")));
    let answer = running.await.expect("no panic").expect("an answer");
    assert_eq!(answer.text(), Some(StandinTarget::text("/talk/x")));
    assert!(world.fronts[0].ended().await);
}

/// Guards against targets that work on for callers who have left.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_leaves_ends_the_run() {
    let world = World::start(1, 0).await;
    for target in &world.targets {
        target.set_pause(Duration::from_millis(100));
    }
    let sent = world.talk(0, "/talk/x", "id-1");
    assert!(tokio::time::timeout(Duration::from_millis(350), sent).await.is_err());
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let begun: usize = world.targets.iter().map(|target| target.seen().len()).sum();
    let ended: usize = world.targets.iter().map(StandinTarget::ended).sum();
    assert_eq!((begun, ended), (1, 0));
}

/// Guards against work for a leaving target from an instance that the store turns away while it follows
/// the store for its failure domain: it learns the list from the others meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_the_store_leaves_a_leaving_target() {
    let world = World::start(3, 0).await;
    // The instances hear each other.
    tokio::time::sleep(Duration::from_secs(2)).await;
    world.store.turn_away(&[world.fronts[0].ip()]);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    world.store.put("servers/t1", &target_entry(world.targets[0].address, "a", true));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = world.targets[0].seen().len();
    for n in 0..6 {
        let answer = world.talk(0, "/talk/x", &format!("id-{n}")).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(world.targets[0].seen().len(), before, "a leaving target got work");
}

/// Guards against work for a target that has left, from instances whose hub was cut off from the store a moment
/// before: the entry did not lapse in an outage, since the store served others all the while.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_leaves_at_once_after_one_instance_was_cut_off() {
    let world = World::start(3, 0).await;
    // The instances hear each other.
    tokio::time::sleep(Duration::from_secs(2)).await;
    world.store.cut_off(&[world.fronts[0].ip()]);
    tokio::time::sleep(Duration::from_millis(3500)).await;
    world.store.cut_off(&[]);
    tokio::time::sleep(Duration::from_millis(1200)).await;
    world.store.remove("servers/t1");
    tokio::time::sleep(Duration::from_millis(900)).await;
    let before = world.targets[0].seen().len();
    for n in 0..12 {
        let answer = world.talk(n % 3, "/talk/x", &format!("id-{n}")).await.expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(world.targets[0].seen().len(), before, "a target that has left got work");
}

/// Guards against callers who keep a request open for ever by sending its body byte by byte.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_does_not_end_in_time_is_refused() {
    let world = World::start(1, 0).await;
    let mut caller = TcpStream::connect(world.fronts[0].front()).await.expect("an open port");
    let head = "POST /talk/x HTTP/1.1\r\nhost: test.example\r\nauthorization: Bearer key-1\r\n\
                sesamewall-request-id: id-1\r\ncontent-length: 10000\r\n\r\n";
    caller.write_all(head.as_bytes()).await.expect("an open connection");
    let (mut read, mut write) = caller.split();
    let trickle = async {
        while write.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        std::future::pending::<()>().await;
    };
    let mut answer = [0; 12];
    // The route has five seconds.
    let answered = tokio::time::timeout(Duration::from_millis(5500), read.read_exact(&mut answer));
    tokio::select! {
        () = trickle => {}
        answered = answered => assert!(matches!(answered, Ok(Ok(_))), "{answered:?}"),
    }
    assert_eq!(&answer, b"HTTP/1.1 408");
}
