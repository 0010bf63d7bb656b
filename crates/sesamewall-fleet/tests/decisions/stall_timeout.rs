//! Tests of the wait for stalled targets.

use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::Placement;
use sesamewall_fleet::RouteKind;
use sesamewall_fleet::RouteSpec;
use sesamewall_fleet::StallSettings;
use sesamewall_protocol::TargetName;

/// Time that a stream needs to resume elsewhere: a new connection to another failure domain, a
/// prompt of some hundred tokens and the first step.
const MOVE_TIME: Duration = Duration::from_millis(60);

fn route(objective: u64, gap: u64) -> RouteSpec {
    RouteSpec {
        name: "talk".into(),
        host: "a.example".into(),
        prefix: "/talk/".into(),
        kind: RouteKind::Stream { resumable: true },
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(objective),
        gap: Duration::from_millis(gap),
        attempts: 2,
        services: vec![(Arc::from("chat"), 1)],
        public: false,
        regions: Vec::new(),
        due: Duration::ZERO,
        keep: Duration::ZERO,
        max_waiting: 0,
        priority: 0,
    }
}

fn placement(online: u32, batch: u32) -> Placement {
    Placement {
        name: TargetName::from("t1"),
        address: "127.0.0.1:9".parse().expect("a constant address"),
        key: 1,
        version: "".into(),
        started_ms: 1,
        slots: 8,
        online,
        batch,
        cold: false,
        recent: 0,
    }
}

/// Guards against streams that are late behind an unnoticed network cut although another target is
/// free: the wait and the move fit into the objective.
#[test]
fn a_stream_that_moves_is_on_time() {
    let settings = StallSettings::default();
    for millis in [250, 300, 400, 1000] {
        let objective = Duration::from_millis(millis);
        let route = route(millis, millis);
        assert!(settings.event_gap(&route) + MOVE_TIME <= objective, "{millis}");
        assert!(settings.first_byte(&route, &placement(3, 4)) + MOVE_TIME <= objective, "{millis}");
    }
}

/// Guards against moves away from targets where the request only queues: a request behind others
/// gets the time of several slots.
#[test]
fn a_queued_request_has_not_stalled() {
    let settings = StallSettings::default();
    let route = route(300, 300);
    assert!(settings.first_byte(&route, &placement(9, 0)) >= Duration::from_millis(500));
    assert!(settings.first_byte(&route, &placement(4, 4)) >= Duration::from_millis(500));
}

/// Guards against a wait of zero where the configuration sets no objective, and against waits below
/// the usual time between events where it sets a very short one.
#[test]
fn extreme_objectives_leave_a_usual_wait() {
    let settings = StallSettings::default();
    assert_eq!(settings.event_gap(&route(0, 0)), settings.longest);
    assert_eq!(settings.event_gap(&route(20, 20)), settings.shortest);
    assert_eq!(settings.event_gap(&route(60_000, 60_000)), settings.longest);
}
