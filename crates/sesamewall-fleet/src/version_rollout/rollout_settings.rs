//! Settings of rollouts.

use std::time::Duration;

/// Settings of rollouts.
#[derive(Clone, Debug)]
pub struct RolloutSettings {
    /// Share of a service's requests that a bad version may get, from the platform's bounds.
    pub expose_share: f64,
    /// Part of `expose_share` that the instances use. The rest covers requests that are counted
    /// differently by the platform.
    pub share_factor: f64,
    /// Part of a request by which the share of an instance is rounded up at most, drawn from its key;
    /// 0 for rounding down. With rounding down an instance sends its first request to the new version
    /// after 13 of a route, which most instances of a large fleet do not reach in half a period.
    pub rounding: f64,
    /// Responses that take longer than this factor times the old version's 90th percentile are slow.
    /// A version that is four times slower has 15 to 100 % of its responses above 2.5 times that
    /// percentile, but only 10 % above four times.
    pub slow_factor: f64,
    /// Shortest time that counts as slow.
    pub slow_floor: Duration,
    /// Timed responses of the old version below which none of the new one counts as slow.
    pub min_timed: u32,
    /// Rate of bad responses above that of the old version which is not held against the new one.
    pub rate_margin: f64,
    /// Standard deviations that are added to the old version's rate, which is itself an estimate from
    /// few responses early in a trial.
    pub rate_deviations: f64,
    /// Probability below which a number of bad responses is not explained by chance.
    pub chance_bound: f64,
    /// Bad responses below which no version is halted.
    pub min_bad: u32,
    /// Responses of the new version that each route with online requests needs for promotion.
    pub min_responses: u32,
    /// Responses of the new version that each route with batch items needs for promotion.
    pub min_items: u32,
    /// Fraction of the period from which the new version is promoted.
    pub promote_fraction: f64,
    /// Fraction of the period from which routes with fewer responses do not hold promotion back.
    pub sparse_fraction: f64,
    /// Fraction of the period from which completion does not wait for missing instances any more.
    pub missing_fraction: f64,
    /// Fraction of the period from which a version that cannot be promoted is rolled back.
    pub expire_fraction: f64,
    /// Fraction of the old targets' slots that new targets need for promotion.
    pub min_slots: f64,
    /// Shortest time between promotion and completion.
    pub settle_time: Duration,
    /// Time for which no request must have been seen at old targets before completion. The counts of
    /// a request that started a moment ago are under way for some datagrams.
    pub idle_time: Duration,
    /// Time for which the record of a halt that another hub has decided waits for the outcomes behind
    /// it.
    pub figures_wait: Duration,
    /// Time without contact to a hub after which an instance sends nothing to the new version.
    pub contact_timeout: Duration,
    /// Age of a target below which its responses are not timed.
    pub min_age: Duration,
    /// Time between two sends of outcomes and of unchanged progress.
    pub send_interval: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            expose_share: 0.1,
            share_factor: 0.8,
            rounding: 1.0,
            slow_factor: 2.5,
            slow_floor: Duration::from_millis(20),
            min_timed: 10,
            rate_margin: 0.02,
            rate_deviations: 1.0,
            chance_bound: 1e-4,
            min_bad: 5,
            min_responses: 30,
            min_items: 8,
            promote_fraction: 0.55,
            sparse_fraction: 0.7,
            missing_fraction: 0.9,
            expire_fraction: 0.95,
            min_slots: 0.9,
            settle_time: Duration::from_secs(1),
            idle_time: Duration::from_millis(300),
            figures_wait: Duration::from_millis(800),
            contact_timeout: Duration::from_secs(1),
            min_age: Duration::from_secs(2),
            send_interval: Duration::from_millis(400),
        }
    }
}

impl RolloutSettings {
    /// Returns the share of its own requests that an instance sends to the new version in a trial.
    pub fn trial_share(&self) -> f64 {
        self.expose_share * self.share_factor
    }
}
