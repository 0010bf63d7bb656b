//! Tests of the token bucket.

use proptest::prelude::ProptestConfig;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;
use sesamewall_protocol::Time;
use sesamewall_rate::Bucket;

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(1),
        failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against tokens that are lost or added depending on the times at which the refill is
    /// computed.
    #[test]
    fn refill_is_exact(rate in 1u64..5_000_000, steps in proptest::collection::vec(1u64..70_000, 1..50)) {
        let mut bucket = Bucket::new(rate, 0, Time::ZERO);
        let mut at = 0;
        for step in &steps {
            at += step;
            bucket.refill(Time::from_micros(at), u64::MAX);
        }
        prop_assert_eq!(u128::from(bucket.level()), u128::from(rate) * u128::from(at) / 1_000_000_000);
    }
}

/// Guards against a refill above the capacity, and against wrong counts of the overflow.
#[test]
fn overflow_is_reported() {
    let mut bucket = Bucket::new(1_000_000, 0, Time::ZERO);
    assert_eq!(bucket.refill(Time::from_millis(3_000), 2_000), 1_000);
    assert_eq!(bucket.level(), 2_000);
    assert_eq!(bucket.refill(Time::from_millis(3_000), 500), 1_500);
}
