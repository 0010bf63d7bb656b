//! Guards against retries that increase an overload.

use sesamewall_protocol::Time;
use sesamewall_schedule::GroupRetryBudget;
use sesamewall_schedule::RequestRetryBudget;
use sesamewall_schedule::RetrySettings;

/// Returns the ratio of retries to requests when all requests fail.
fn fraction(settings: &RetrySettings) -> f64 {
    let mut group = GroupRetryBudget::new(settings.clone());
    let mut retries = 0;
    for request in 0..1000 {
        let now = Time::from_millis(request);
        group.on_request();
        let mut budget = RequestRetryBudget::new(settings);
        group.on_failure(false, now);
        while group.try_retry(&mut budget, now).is_ok() {
            retries += 1;
        }
    }
    f64::from(retries) / 1000.0
}

#[test]
fn retries_are_limited_to_a_tenth() {
    let worst = fraction(&RetrySettings::default());
    assert!(worst <= 0.1 + 10.0 / 1000.0, "{worst}");
    let unbounded = RetrySettings { fraction: 9.0, ..RetrySettings::default() };
    assert!(fraction(&unbounded) > 0.11, "the check must detect a missing limit");
}

#[test]
fn request_budget_and_overload_stop_retries() {
    let settings = RetrySettings::default();
    let mut group = GroupRetryBudget::new(settings.clone());
    let mut budget = RequestRetryBudget::new(&settings);
    let now = Time::from_millis(1);
    group.on_failure(true, now);
    assert!(group.try_retry(&mut budget, now).is_err());
    assert_eq!(budget.remaining(), 2);
    group.on_failure(false, now);
    assert!(group.try_retry(&mut budget, now).is_ok());
    assert!(group.try_retry(&mut budget, now).is_ok());
    assert!(group.try_retry(&mut budget, now).is_err());
}
