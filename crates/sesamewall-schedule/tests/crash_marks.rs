//! Guards against one request that crashes more than three targets.

use std::time::Duration;

use proptest::prop_assert;
use proptest::proptest;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::CrashMark;
use sesamewall_schedule::CrashDecision;
use sesamewall_schedule::CrashMarkSettings;
use sesamewall_schedule::CrashMarks;

const INSTANCES: usize = 6;

fn account() -> AccountName {
    AccountName::from("a")
}

fn mark(attempt: u64, target: u64) -> CrashMark {
    CrashMark {
        account: account(),
        body: "hash".to_owned(),
        attempt: attempt.to_string(),
        target: format!("t{target}").as_str().into(),
        age_us: 0,
        cleared: false,
    }
}

/// Sends one poison request again and again to random instances for two minutes, one connection at
/// a time. The request crashes its target after up to 300 ms; marks take up to 1.5 s to reach each
/// instance; the caller gives up on a connection after 1 s to 5 s. Returns the number of crashes.
fn crashes(settings: &CrashMarkSettings, seed: u64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut marks: Vec<_> = (0..INSTANCES).map(|_| CrashMarks::new(settings.clone())).collect();
    let mut in_transit: Vec<(Time, usize, CrashMark)> = Vec::new();
    let mut count = 0;
    let mut at = rng.random_range(0..INSTANCES);
    let mut give_up_at = Time::from_millis(3000);
    let mut run_end: Option<Time> = None;
    for step in 0..12_000_u64 {
        let now = Time::from_millis(step * 10);
        for (_, to, mark) in in_transit.extract_if(.., |(due, _, _)| *due <= now) {
            let duplicate = marks[to].merge(&mark, now) && marks[to].merge(&mark, now);
            assert!(!duplicate, "a copy of a mark must not count");
        }
        let mut answered = now >= give_up_at;
        match run_end {
            Some(end) if now >= end => {
                count += 1;
                run_end = None;
                marks[at].merge(&mark(count, count), now);
                for other in (0..INSTANCES).filter(|other| *other != at) {
                    let due = now + Duration::from_millis(rng.random_range(0..1500));
                    in_transit.push((due, other, mark(count, count)));
                }
            }
            Some(_) => {}
            None => match marks[at].decide(&account(), "hash", now) {
                CrashDecision::Isolate { from } if now < from => {}
                CrashDecision::Refuse { .. } => {
                    let settled = marks[at].settled_at(&account(), "hash").unwrap();
                    answered |= now >= settled;
                }
                _ => run_end = Some(now + Duration::from_millis(rng.random_range(10..300))),
            },
        }
        // A request whose caller gave up can still crash its target, so the caller continues only
        // after the crash; the engine cancels the other requests.
        if answered && run_end.is_none() {
            at = rng.random_range(0..INSTANCES);
            give_up_at = now + Duration::from_millis(rng.random_range(1000..5000));
        }
    }
    count
}

proptest! {
    #![proptest_config(crate::admission::config(100))]

    /// Guards the limit of three crashes while marks reach other instances late.
    #[test]
    fn at_most_three_crashes(seed: u64) {
        let count = crashes(&CrashMarkSettings::default(), seed);
        prop_assert!(count <= 3, "{count}");
    }
}

#[test]
fn check_detects_missing_marks() {
    let none = CrashMarkSettings { isolate_at: 99, refuse_at: 99, ..CrashMarkSettings::default() };
    assert!(crashes(&none, 1) > 3);
    let unsettled =
        CrashMarkSettings { settle_delay: Duration::ZERO, ..CrashMarkSettings::default() };
    assert!((0..100).any(|seed| crashes(&unsettled, seed) > 3));
}

/// Guards against marks that count after their hour, marks that count again after a successful
/// isolated run, and an unbounded map.
#[test]
fn marks_expire_and_clear() {
    let mut marks =
        CrashMarks::new(CrashMarkSettings { max_marks: 5, ..CrashMarkSettings::default() });
    let now = Time::from_millis(5000);
    marks.merge(&mark(1, 1), now);
    assert!(matches!(marks.decide(&account(), "hash", now), CrashDecision::Isolate { .. }));
    let copies = marks.recent(Duration::from_secs(10), now);
    marks.clear(&account(), "hash", now);
    assert!(!marks.merge(&copies[0], now), "a late copy must not undo the clearing");
    assert_eq!(marks.decide(&account(), "hash", now), CrashDecision::Run);
    marks.merge(&mark(2, 2), now);
    marks.merge(&mark(3, 2), now);
    assert_eq!(marks.crashes(&account(), "hash", now), 1, "one crash broke both attempts");
    marks.merge(&mark(4, 3), now);
    assert_eq!(marks.decide(&account(), "hash", now), CrashDecision::Refuse { crashes: 2 });
    for attempt in 10..20 {
        marks.merge(&mark(attempt, attempt), now);
    }
    assert_eq!(marks.len(), 5);
    let later = now + Duration::from_secs(3600);
    assert_eq!(marks.decide(&account(), "hash", later), CrashDecision::Run);
    marks.tick(later);
    assert!(marks.is_empty());
}
