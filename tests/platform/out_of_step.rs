//! Take-ups of streams without a record, at a front that is out of step while targets of a new version
//! join.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::target_entry;
use sesamewall_platform_standin::with_version;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;

/// Time for which the service must have had one version only, so that a stream began at it.
const RECORD_TTL: Duration = Duration::from_secs(30);

/// Time in which a front that has just started begins to watch the entries.
const START_TIME: Duration = Duration::from_secs(3);

/// Interval between two watches of the entries.
const WATCH_INTERVAL: Duration = Duration::from_millis(600);

/// Result code of a take-up whose version is not known.
const VERSION_UNKNOWN: u64 = 4011;

/// Takes up a stream of which no instance has a record. Returns the status and the result code of a
/// refusal.
async fn take_up(fleet: &TestFleet, n: usize, id: &str) -> (u16, u64) {
    let front = fleet.fronts[n].caller_address();
    let mut stream = TcpStream::connect(front).await.expect("an open port");
    let request = format!(
        "POST /talk/x HTTP/1.1\r\nhost: test.example\r\nauthorization: Bearer key-1\r\n\
         sesamewall-request-id: {id}\r\nsesamewall-deadline-ms: 5000\r\nsesamewall-model: m\r\n\
         last-event-id: 4\r\nresumes: another-{id}\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("an open connection");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("a response");
    let status = text.get(9..12).and_then(|status| status.parse().ok()).expect("a status");
    let code = text.split_once("\"code\":").map(|(_, rest)| rest);
    let digits = code.map(|code| code.chars().take_while(char::is_ascii_digit).collect::<String>());
    (status, digits.and_then(|digits| digits.parse().ok()).unwrap_or_default())
}

/// Waits until the fronts can know that the service has one version only.
async fn wait_record_ttl(since: Instant) {
    tokio::time::sleep((RECORD_TTL + START_TIME).saturating_sub(since.elapsed())).await;
}

/// Guards against a stream that goes on at the only version in the table, although it may have begun at
/// another one whose target came and went between two looks at the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_came_and_went_unseen_is_not_passed_over() {
    let fleet = TestFleet::start(1, 0).await;
    wait_record_ttl(Instant::now()).await;
    assert_eq!(take_up(&fleet, 0, "id-1").await.0, 200, "the only version is known");
    // After a change the front looks again only some time later.
    let mut changed = target_entry(fleet.targets[0].address, "a", false);
    changed["concurrency"] = json!(7);
    fleet.store.put("servers/t1", &changed);
    tokio::time::sleep(WATCH_INTERVAL / 4).await;
    let new = StandinTarget::start("t9").await;
    let entry = with_version(target_entry(new.address, "a", false), "v2");
    fleet.store.put("servers/t9", &entry);
    tokio::time::sleep(WATCH_INTERVAL / 6).await;
    fleet.store.remove("servers/t9");
    tokio::time::sleep(PROPAGATION_TIME).await;
    assert_eq!(take_up(&fleet, 0, "id-2").await, (503, VERSION_UNKNOWN));
}

/// Guards against a stream that goes on at the version that a front takes for the only one, because
/// what it hears is late: its hubs tell it that the table is complete, and targets of a new version have joined.
#[tokio::test(flavor = "multi_thread")]
async fn late_news_do_not_show_a_version_to_be_the_only_one() {
    let fleet = TestFleet::start_member().await;
    let hubs = fleet.hubs.as_ref().expect("hubs");
    hubs.set_confirming(true);
    wait_record_ttl(Instant::now()).await;
    let new = StandinTarget::start("t9").await;
    let entry = with_version(target_entry(new.address, "a", false), "v2");
    fleet.store.put("servers/t9", &entry);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(take_up(&fleet, 0, "id-1").await, (503, VERSION_UNKNOWN));
}

/// Guards against take-ups that are refused although the service had one version only: a front that
/// does not watch the entries asks the one that does.
#[tokio::test(flavor = "multi_thread")]
async fn a_front_that_does_not_watch_learns_the_only_version() {
    let fleet = TestFleet::start(4, 0).await;
    wait_record_ttl(Instant::now()).await;
    for n in 0..4 {
        assert_eq!(take_up(&fleet, n, &format!("id-{n}")).await.0, 200, "front {n}");
    }
    let new = StandinTarget::start("t9").await;
    let entry = with_version(target_entry(new.address, "a", false), "v2");
    fleet.store.put("servers/t9", &entry);
    // No front has read the entry yet.
    for n in 0..4 {
        let answer = take_up(&fleet, n, &format!("late-{n}")).await;
        assert_eq!(answer, (503, VERSION_UNKNOWN), "front {n}");
    }
}
