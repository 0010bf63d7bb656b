//! Settings of traffic between failure domains.

use std::time::Duration;

/// Settings of traffic between failure domains.
#[derive(Clone, Debug)]
pub struct DomainFlowSettings {
    /// Price of the bytes that leave, in seconds of waiting per MB.
    pub byte_price: f64,
    /// Usual bytes of a request with its response: a prompt of 2 KB and a stream of 20 events of 75
    /// bytes with its head.
    pub request_bytes: f64,
    /// One-way latency between failure domains.
    pub latency: Duration,
    /// Slots of each failure domain from which amounts decide. With fewer, the requests in flight vary
    /// by chance by more than half of the way from `busy` to `full` (0.1 at 100 slots), and each
    /// request is better placed by itself.
    pub min_slots: u32,
    /// Load, in requests per slot, from which requests are expected to wait. It is below 1, since
    /// targets fill unevenly.
    pub busy: f64,
    /// Load of the local domain from which amounts move at once.
    pub full: f64,
    /// Load by which the local domain exceeds the level at which leaving pays off when a flow begins.
    pub hysteresis: f64,
    /// Difference of the loads of two domains from which requests may leave. It covers what the
    /// loads change within their age.
    pub margin: f64,
    /// Largest change of an amount in one update, as a part of the local requests.
    pub step: f64,
    /// Smallest change of an amount, except for its end.
    pub min_change: f64,
    /// Weight of the present demand in its mean over the updates. The number of requests in flight
    /// varies by chance by some percent, which no amount needs to follow.
    pub demand_weight: f64,
    /// Shortest time between two updates.
    pub interval: Duration,
    /// Age of the loads of a domain above which they count only while the local domain is full.
    pub max_age: Duration,
    /// Time that a request holds a slot until some have ended.
    pub held: Duration,
    /// Weight of an ended request in the mean of the time that a slot is held.
    pub held_weight: f64,
    /// Number of different targets of a domain to which connections fail before the domain counts as
    /// not reachable. A single one may have stopped.
    pub failed_targets: usize,
    /// Time within which these connections fail.
    pub failure_window: Duration,
    /// Time after the last failed connection from which a datagram shows that a domain is reachable
    /// again. Earlier ones may have been sent before.
    pub contact_delay: Duration,
    /// Time after the last failed connection from which a domain without known instances, from which
    /// no datagram can arrive, is tried again.
    pub probe_delay: Duration,
}

impl Default for DomainFlowSettings {
    fn default() -> Self {
        Self {
            byte_price: 5.0,
            request_bytes: 4000.0,
            latency: Duration::from_micros(900),
            min_slots: 100,
            busy: 0.8,
            full: 1.0,
            hysteresis: 0.05,
            margin: 0.15,
            step: 0.15,
            min_change: 0.05,
            demand_weight: 0.5,
            interval: Duration::from_millis(200),
            max_age: Duration::from_secs(1),
            held: Duration::from_millis(700),
            held_weight: 0.05,
            failed_targets: 2,
            failure_window: Duration::from_secs(2),
            contact_delay: Duration::from_millis(300),
            probe_delay: Duration::from_secs(5),
        }
    }
}

impl DomainFlowSettings {
    /// Returns what leaving the domain costs a request, in seconds of waiting.
    pub fn leave_cost(&self) -> f64 {
        2.0 * self.latency.as_secs_f64() + self.byte_price * self.request_bytes / 1e6
    }
}
