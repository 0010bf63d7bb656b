//! Guards against an account that takes the share of service of other accounts.

use std::collections::BTreeMap;

use proptest::prop_assert;
use proptest::proptest;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use sesamewall_protocol::RequestId;
use sesamewall_protocol::Time;
use sesamewall_schedule::Entry;
use sesamewall_schedule::FairQueue;
use sesamewall_schedule::Order;
use sesamewall_schedule::QueueSettings;

const MAX_WORK: u64 = 1000;

fn entry(request: u64, account: usize, weight: f64, work: u64) -> Entry<()> {
    Entry {
        request: RequestId::from(format!("r{request}")),
        account: format!("a{account}").into(),
        weight,
        work,
        urgent: false,
        arrived: Time::from_micros(request),
        deadline: Time::from_millis(1_000_000),
        item: (),
    }
}

/// Returns the largest difference of normalised service between two accounts, as a ratio to its
/// bound, while all accounts always have waiting requests. The actual work differs from the
/// expected work by up to half.
fn worst_difference(order: Order, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut queue = FairQueue::new(QueueSettings { order, ..QueueSettings::default() });
    let weights = [1.0, 1.0, 2.0, 4.0];
    let mut served = [0.0; 4];
    let mut next = 0;
    let mut push = |queue: &mut FairQueue<()>, account: usize, rng: &mut ChaCha8Rng| {
        next += 1;
        // Account 0 sends larger requests than the others.
        let top = if account == 0 { MAX_WORK } else { MAX_WORK / 10 };
        let entry = entry(next, account, weights[account], rng.random_range(1..=top));
        assert!(queue.push(entry, Time::ZERO).is_empty());
    };
    for account in 0..4 {
        for _ in 0..3 {
            push(&mut queue, account, &mut rng);
        }
    }
    let mut worst = 0.0_f64;
    for _ in 0..2000 {
        let entry = queue.pop(Time::ZERO, |_| true).unwrap();
        let account: usize = entry.account.as_str()[1..].parse().unwrap();
        let actual = (entry.work as f64 * rng.random_range(0.5..1.5)) as u64;
        push(&mut queue, account, &mut rng);
        queue.correct(&entry.account, entry.work, actual);
        served[account] += actual as f64 / weights[account];
        for left in 0..4 {
            for right in 0..4 {
                let most = 1.5 * MAX_WORK as f64;
                let bound = most / weights[left] + most / weights[right];
                worst = worst.max((served[left] - served[right]).abs() / bound);
            }
        }
    }
    worst
}

proptest! {
    #![proptest_config(crate::admission::config(40))]

    /// Guards the bound of start-time fair queueing: one largest request per account.
    #[test]
    fn service_difference_is_bounded(seed: u64) {
        let worst = worst_difference(Order::Fair, seed);
        prop_assert!(worst <= 1.0, "{worst}");
    }
}

#[test]
fn check_detects_arrival_order() {
    assert!(worst_difference(Order::Arrival, 1) > 1.0);
}

/// Guards against a new account that waits behind an account that was served alone for a long time,
/// and against credit for idle time.
#[test]
fn idle_time_gives_no_credit() {
    let mut queue = FairQueue::new(QueueSettings::default());
    for request in 0..200 {
        queue.push(entry(request, 0, 1.0, 10), Time::ZERO);
    }
    for _ in 0..100 {
        queue.pop(Time::ZERO, |_| true).unwrap();
    }
    for request in 200..300 {
        queue.push(entry(request, 1, 1.0, 10), Time::ZERO);
    }
    let mut served = BTreeMap::new();
    for _ in 0..50 {
        let entry = queue.pop(Time::ZERO, |_| true).unwrap();
        *served.entry(entry.account).or_insert(0) += 1;
    }
    assert!(served.values().all(|count| (24..=26).contains(count)), "{served:?}");
}

/// Guards against a queue with more work than four seconds of service.
#[test]
fn waiting_work_follows_the_service_rate() {
    let mut queue = FairQueue::new(QueueSettings::default());
    let mut refused = 0;
    for request in 0..500 {
        let now = Time::from_millis(request * 10);
        refused += queue.push(entry(request, 0, 1.0, 10), now).len();
        if request % 10 == 0 {
            queue.pop(now, |_| true);
        }
    }
    let rate = queue.rate().unwrap();
    assert!((80.0..120.0).contains(&rate), "{rate}");
    assert!(refused > 0 && queue.work() as f64 <= 4.0 * rate + 10.0, "{}", queue.work());
}
