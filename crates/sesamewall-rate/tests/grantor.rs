//! Tests of the grantor at a lead.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::RateDenial;
use sesamewall_protocol::peer::RateGrant;
use sesamewall_protocol::peer::RateRequest;
use sesamewall_protocol::peer::SpentTotal;
use sesamewall_rate::GRANT_WAIT;
use sesamewall_rate::Grantor;
use sesamewall_rate::GrantorSettings;
use sesamewall_rate::Limits;
use sesamewall_rate::SHARE_UNIT;

const VALID_UNTIL: Time = Time::from_millis(1_000_000);

fn grantor(max_holders: usize) -> (Grantor, AccountName) {
    let settings = GrantorSettings { share: SHARE_UNIT, max_holders, ..Default::default() };
    let (mut grantor, key) = (Grantor::new(settings, Time::ZERO), AccountName::from("a"));
    let limits = Limits { rate: 10_000_000, burst: 20_000, revision: 1 };
    grantor.set_limits(&key, limits, Time::ZERO);
    grantor.set_floor(VALID_UNTIL, BTreeMap::new(), Time::ZERO);
    (grantor, key)
}

fn token_request(incarnation: u64, sequence: u64, need: u64) -> RateRequest {
    RateRequest {
        account: AccountName::from("a"),
        incarnation,
        sequence,
        epoch: 0,
        session: 0,
        need,
        prefetch: 0,
        spent: Vec::new(),
        returned_total: 0,
    }
}

fn spent_report(grant: &RateGrant, sequence: u64, age_us: u64) -> RateRequest {
    let spent = vec![SpentTotal { age_us, total: grant.granted_total }];
    let (epoch, session) = (grant.epoch, grant.session);
    RateRequest { epoch, session, spent, ..token_request(grant.incarnation, sequence, 0) }
}

/// Guards against grants before the grants of an earlier lead have expired, and after the end of
/// the lease.
#[test]
fn grants_only_while_lead() {
    let (mut grantor, _) = grantor(9);
    let (start, step) = (Time::ZERO + GRANT_WAIT, Duration::from_millis(1));
    let early = grantor.on_request(&token_request(1, 1, 1000), start - step, VALID_UNTIL);
    assert_eq!(early.denial, Some(RateDenial::NotReady));
    let first = grantor.on_request(&token_request(1, 2, 1000), start + 100 * step, VALID_UNTIL);
    assert_eq!((first.denial, first.granted_total), (None, 1000), "refill starts after the wait");
    let late = grantor.on_request(
        &token_request(1, 3, 1000),
        Time::from_millis(9_000),
        Time::from_millis(9_000),
    );
    assert_eq!(late.denial, Some(RateDenial::NotReady));
}

/// Guards against a second grant for a duplicate token request, and against level + outstanding
/// above the burst.
#[test]
fn duplicate_request_grants_once() {
    let (mut grantor, key) = grantor(9);
    let at = Time::from_millis(20_000);
    for _ in 0..2 {
        assert_eq!(
            grantor.on_request(&token_request(1, 1, 15_000), at, VALID_UNTIL).granted_total,
            15_000
        );
    }
    let later = Time::from_millis(21_000);
    assert_eq!(grantor.levels(&key, later), Some((5_000, 15_000, 20_000)));
}

/// Guards against refill that is lost because spent tokens are reported late.
#[test]
fn late_report_credits_refill() {
    let (mut grantor, key) = grantor(9);
    let grant =
        grantor.on_request(&token_request(1, 1, 20_000), Time::from_millis(20_000), VALID_UNTIL);
    let at = Time::from_millis(21_000);
    grantor.on_request(&spent_report(&grant, 2, 600_000), at, VALID_UNTIL);
    assert_eq!(grantor.levels(&key, at), Some((6_000, 0, 20_000)));
}

/// Guards against outstanding tokens of a timed-out holder that never expire, or expire too early.
#[test]
fn holder_expires_after_grant_wait() {
    let (mut grantor, key) = grantor(9);
    let at = Time::from_millis(20_000);
    grantor.on_request(&token_request(1, 1, 20_000), at, VALID_UNTIL);
    let end = at + GRANT_WAIT;
    assert_eq!(grantor.levels(&key, end - Duration::from_millis(1)).unwrap().1, 20_000);
    assert_eq!(grantor.levels(&key, end).unwrap().1, 0);
    assert_eq!(grantor.holders(), 0);
}

/// Guards against a lower burst that takes effect late, and against an older revision.
#[test]
fn lower_limits_take_effect_at_once() {
    let (mut grantor, key) = grantor(9);
    let at = Time::from_millis(20_000);
    grantor.on_request(&token_request(1, 1, 3_000), at, VALID_UNTIL);
    grantor.set_limits(&key, Limits { rate: 1_000_000, burst: 4_000, revision: 3 }, at);
    grantor.set_limits(&key, Limits { rate: 9_000_000, burst: 9_000, revision: 2 }, at);
    assert_eq!(grantor.levels(&key, at), Some((1_000, 3_000, 4_000)));
    grantor.remove(&key);
    let denial = grantor.on_request(&token_request(1, 2, 1), at, VALID_UNTIL).denial;
    assert_eq!(denial, Some(RateDenial::UnknownAccount));
}

/// Guards against an unlimited number of holders.
#[test]
fn holders_are_bounded() {
    let (mut grantor, _) = grantor(2);
    let at = Time::from_millis(20_000);
    let denials =
        [1, 2, 3].map(|i| grantor.on_request(&token_request(i, 1, 1000), at, VALID_UNTIL).denial);
    assert_eq!(denials, [None, None, Some(RateDenial::TooManyHolders)]);
}

/// Guards against use of the upper part of the floor after the floor lease.
#[test]
fn only_reserve_remains_after_floor_lease() {
    let (mut grantor, key) = grantor(9);
    grantor.set_floor(Time::from_millis(30_000), BTreeMap::new(), Time::from_millis(20_000));
    assert_eq!(grantor.levels(&key, Time::from_millis(29_999)).unwrap().0, 20_000);
    assert_eq!(grantor.levels(&key, Time::from_millis(30_000)), Some((5_000, 0, 5_000)));
}
