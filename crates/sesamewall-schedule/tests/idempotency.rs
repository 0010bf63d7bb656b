//! Tests idempotency keys at the lead that keeps them.

use std::time::Duration;

use sesamewall_protocol::Time;
use sesamewall_protocol::peer::KeyClaim;
use sesamewall_protocol::peer::KeyDecision;
use sesamewall_protocol::peer::KeyResult;
use sesamewall_protocol::peer::StoredResponse;
use sesamewall_schedule::IdempotencyKeys;
use sesamewall_schedule::IdempotencySettings;

fn claim(key: &str, request: &str, idempotent: bool) -> KeyClaim {
    KeyClaim {
        account: "a".into(),
        key: key.to_owned(),
        digest: "d".to_owned(),
        request: request.into(),
        instance: "i1".into(),
        idempotent,
    }
}

fn response(length: usize) -> KeyResult {
    KeyResult::Answer(StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: vec![0; length].into(),
    })
}

fn keys() -> IdempotencyKeys {
    let settings =
        IdempotencySettings { max_keys: 2, max_bytes: 100, ..IdempotencySettings::default() };
    IdempotencyKeys::new(settings)
}

/// Guards against an unbounded number, size or lifetime of keys and responses.
#[test]
fn keys_are_bounded() {
    let mut keys = keys();
    let now = Time::from_millis(1);
    let account = "a".into();
    for (key, length) in [("k1", 60), ("k2", 60)] {
        assert_eq!(keys.claim(&claim(key, key, false), |_| true, now), KeyDecision::Run);
        keys.finish(&account, key, &key.into(), response(length), now);
    }
    assert_eq!(keys.size(), (2, 60));
    // The second response was too large to be kept, and the request must not run again.
    assert_eq!(keys.claim(&claim("k2", "r", false), |_| true, now), KeyDecision::Ended);
    assert_eq!(keys.claim(&claim("k3", "r", false), |_| true, now), KeyDecision::Full);
    let before = now + Duration::from_secs(599);
    assert_eq!(keys.claim(&claim("k3", "r", false), |_| true, before), KeyDecision::Full);
    let later = now + Duration::from_secs(600);
    assert_eq!(keys.claim(&claim("k3", "r", false), |_| true, later), KeyDecision::Run);
    assert_eq!(keys.size(), (1, 0));
}

/// Guards against a lost instance that blocks the key of an idempotent request, and against a
/// second run of a request that is not idempotent.
#[test]
fn lost_instance_frees_only_idempotent_keys() {
    let mut keys = keys();
    let now = Time::from_millis(1);
    for (key, idempotent, then) in
        [("k1", true, KeyDecision::Run), ("k2", false, KeyDecision::Running)]
    {
        keys.claim(&claim(key, "r1", idempotent), |_| true, now);
        let again = claim(key, "r2", idempotent);
        assert_eq!(keys.claim(&again, |_| true, now), KeyDecision::Running);
        assert_eq!(keys.claim(&again, |_| false, now), then);
    }
    // A late report of the request that lost its key does not end the request that has the key now.
    keys.finish(&"a".into(), "k1", &"r1".into(), KeyResult::Released, now);
    assert_eq!(keys.claim(&claim("k1", "r3", true), |_| true, now), KeyDecision::Running);
    let later = now + Duration::from_secs(3600);
    assert_eq!(keys.claim(&claim("k2", "r3", false), |_| true, later), KeyDecision::Run);
}
