//! Tests of the requests that an instance serves in a planned stop.

use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::PlannedStop;
use sesamewall_fleet::RouteDurations;
use sesamewall_fleet::RouteKind;
use sesamewall_fleet::StopRequest;
use sesamewall_fleet::StopSettings;
use sesamewall_protocol::Time;

use crate::support::at;

const KINDS: [RouteKind; 4] = [
    RouteKind::Idempotent,
    RouteKind::AtMostOnce,
    RouteKind::Stream { resumable: true },
    RouteKind::Stream { resumable: false },
];

fn stop() -> PlannedStop {
    let mut stop = PlannedStop::new(StopSettings::default());
    stop.begin(at(0));
    stop
}

fn request(kind: RouteKind, now: Time, limit_ms: u64, longest_ms: Option<u64>) -> StopRequest {
    let longest = longest_ms.map(Duration::from_millis);
    StopRequest { kind, deadline: now + Duration::from_millis(limit_ms), longest }
}

/// Guards against refusals without a stop, and of requests that certainly end in time.
#[test]
fn a_request_whose_time_limit_fits_is_served() {
    for kind in KINDS {
        let none = PlannedStop::new(StopSettings::default());
        assert!(none.serves(&request(kind, at(9000), 60_000, Some(60_000)), at(9000)));
        for (now, limit) in [(0, 7000), (2000, 5000), (5000, 2000), (7000, 100)] {
            let request = request(kind, at(now), limit, Some(60_000));
            assert!(stop().serves(&request, at(now)), "{kind:?} at {now}");
        }
    }
}

/// Guards against a calm stop that refuses what was served before the load balancer has noticed it.
#[test]
fn until_callers_notice_the_stop_short_requests_are_served_whatever_their_limit() {
    for kind in KINDS {
        for longest in [None, Some(300), Some(2000)] {
            for now in [0, 1000, 2800] {
                let request = request(kind, at(now), 15_000, longest);
                assert!(stop().serves(&request, at(now)), "{kind:?} {longest:?} at {now}");
            }
        }
    }
}

/// Guards against requests that are passed on although the route's requests take longer than there
/// is time.
#[test]
fn requests_that_usually_outlast_the_process_are_refused() {
    for kind in KINDS {
        let request = request(kind, at(1000), 15_000, Some(6500));
        assert!(!stop().serves(&request, at(1000)), "{kind:?}");
    }
    let half = |kind| stop().serves(&request(kind, at(1000), 15_000, Some(3500)), at(1000));
    assert!(half(RouteKind::Idempotent) && half(RouteKind::Stream { resumable: true }));
    assert!(!half(RouteKind::AtMostOnce) && !half(RouteKind::Stream { resumable: false }));
}

/// Guards against late requests that are cut: nothing without a complete answer is begun.
#[test]
fn late_requests_are_served_only_if_they_end_in_time() {
    for now in [3100, 5000, 7100] {
        for kind in KINDS {
            let request = request(kind, at(now), 5000, None);
            assert!(!stop().serves(&request, at(now)), "{kind:?} at {now}");
        }
        let short = |kind| stop().serves(&request(kind, at(now), 5000, Some(40)), at(now));
        assert!(short(RouteKind::Idempotent), "at {now}");
        assert!(!short(RouteKind::AtMostOnce) && !short(RouteKind::Stream { resumable: true }));
    }
    let request = request(RouteKind::Idempotent, at(7200), 5000, Some(0));
    assert!(!stop().serves(&request, at(7200)), "after the answers are due");
}

/// Guards against answers that are due after the process must have ended.
#[test]
fn answers_are_due_before_the_process_ends() {
    let stop = stop();
    let (answers_until, ends_at) = (stop.answers_until(), stop.ends_at());
    assert!(answers_until < ends_at && ends_at < Some(at(8000)));
    let mut again = stop.clone();
    again.begin(at(5000));
    assert_eq!(again.ends_at(), ends_at, "a second signal");
    let settings = StopSettings { grace_period: Duration::ZERO, ..StopSettings::default() };
    let mut short = PlannedStop::new(settings);
    short.begin(at(0));
    assert!(!short.serves(&request(RouteKind::Idempotent, at(0), 100, None), at(0)));
}

/// Guards against durations that are kept for good, or for ever new routes.
#[test]
fn only_recent_durations_count() {
    let mut durations = RouteDurations::default();
    let route: Arc<str> = "chat".into();
    assert_eq!(durations.longest("chat"), None);
    durations.on_end(&route, Duration::from_millis(900), at(0));
    durations.on_end(&route, Duration::from_millis(300), at(1000));
    assert_eq!(durations.longest("chat"), Some(Duration::from_millis(900)));
    for second in 31..100 {
        durations.on_end(&route, Duration::from_millis(300), at(second * 1000));
    }
    assert_eq!(durations.longest("chat"), Some(Duration::from_millis(300)));
    for number in 0..10_000 {
        let route: Arc<str> = format!("route-{number}").into();
        durations.on_end(&route, Duration::from_millis(1), at(100_000));
    }
    assert_eq!(durations.longest("route-9999"), None);
}
