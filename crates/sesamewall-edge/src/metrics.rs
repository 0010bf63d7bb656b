//! Counters and histograms of a process.

use prometheus::Encoder;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper limits of the latency buckets in seconds, around an objective of some hundred
/// milliseconds.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.5, 5.0];

/// Upper limits of the buckets of the error of an expected fraction.
const ERROR_BUCKETS: [f64; 6] = [0.05, 0.1, 0.2, 0.3, 0.5, 1.0];

/// Counters and histograms.
pub struct Metrics {
    registry: Registry,
    /// Ended requests by route and status.
    pub requests: IntCounterVec,
    /// Refusals by result code.
    pub refusals: IntCounterVec,
    /// Attempts at targets by result.
    pub attempts: IntCounterVec,
    /// Time to the first byte of a response, by route.
    pub first_byte: HistogramVec,
    /// Calls to the store by kind and result.
    pub store_calls: IntCounterVec,
    /// Duration of store calls, without watches.
    pub store_seconds: Histogram,
    /// Number of times that the store was lost.
    pub store_losses: IntCounter,
    /// Reads of the end of a job before an item started.
    pub end_reads: IntCounter,
    /// New connections to targets.
    pub connections: IntCounter,
    /// Datagrams received.
    pub datagrams: IntCounter,
    /// Attempts of batch items by result.
    pub items: IntCounterVec,
    /// Part of the local requests that leaves, by service and failure domain.
    pub domain_part: GaugeVec,
    /// Requests sent to other failure domains.
    pub domain_requests: IntCounterVec,
    /// Body bytes of these requests and of their responses.
    pub domain_bytes: IntCounterVec,
    /// Refusals while places are kept for others, by rank.
    pub admission_refusals: IntCounterVec,
    /// Refused callers that were told when to return and whose time has passed.
    pub returns_promised: IntCounter,
    /// Those of them that came as promised.
    pub returns_kept: IntCounter,
    /// Difference of the expected and the actual free fraction of the places at promised returns.
    pub return_error: Histogram,
    /// Phase of a service's rollout: 0 without one, 1 trial, 2 promoting, 3 rolled back, 4 completed.
    pub rollout_phase: IntGaugeVec,
    /// Requests and items sent during rollouts, by service and version.
    pub rollout_requests: IntCounterVec,
    /// Those that failed, broke or stalled.
    pub rollout_bad: IntCounterVec,
    /// Streams that clients took up again, by result.
    pub take_ups: IntCounterVec,
    /// Bytes held for requests and responses by kind.
    pub held_bytes: IntGaugeVec,
    /// Bodies and connections of clients that were refused or closed, by cause.
    pub client_refusals: IntCounterVec,
    /// Open connections of clients by address.
    pub open_connections: IntGaugeVec,
    /// Panics of tasks and of steps of loops, by name.
    pub task_panics: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("names and labels are constants of valid form");
            registry.register(Box::new(vec.clone())).expect("each name is registered once");
            vec
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("names are constants of valid form");
            registry.register(Box::new(counter.clone())).expect("each name is registered once");
            counter
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let vec = IntGaugeVec::new(Opts::new(name, help), labels)
                .expect("names and labels are constants of valid form");
            registry.register(Box::new(vec.clone())).expect("each name is registered once");
            vec
        };
        let latency = |name: &str, help: &str| {
            HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec())
        };
        let first_byte = HistogramVec::new(
            latency("sesamewall_first_byte_seconds", "Time to the first byte."),
            &["route"],
        )
        .expect("names and labels are constants of valid form");
        registry.register(Box::new(first_byte.clone())).expect("each name is registered once");
        let store_seconds =
            Histogram::with_opts(latency("sesamewall_store_seconds", "Time of store calls."))
                .expect("names are constants of valid form");
        registry.register(Box::new(store_seconds.clone())).expect("each name is registered once");
        let domain_part = GaugeVec::new(
            Opts::new("sesamewall_domain_part", "Part of the requests that leaves."),
            &["service", "domain"],
        )
        .expect("names and labels are constants of valid form");
        registry.register(Box::new(domain_part.clone())).expect("each name is registered once");
        let return_error = Histogram::with_opts(
            HistogramOpts::new(
                "sesamewall_return_error",
                "Error of the free fraction expected at promised returns.",
            )
            .buckets(ERROR_BUCKETS.to_vec()),
        )
        .expect("names and labels are constants of valid form");
        registry.register(Box::new(return_error.clone())).expect("each name is registered once");
        Self {
            requests: counters("sesamewall_requests", "Ended requests.", &["route", "status"]),
            refusals: counters("sesamewall_refusals", "Refusals by code.", &["code"]),
            attempts: counters("sesamewall_attempts", "Attempts at targets.", &["end"]),
            first_byte,
            store_calls: counters("sesamewall_store_calls", "Store calls.", &["kind", "end"]),
            store_seconds,
            store_losses: counter("sesamewall_store_losses", "Times the store was lost."),
            end_reads: counter("sesamewall_end_reads", "Reads of the end of a job."),
            connections: counter("sesamewall_connections", "New connections to targets."),
            datagrams: counter("sesamewall_datagrams", "Datagrams of other instances."),
            items: counters("sesamewall_items", "Attempts of batch items.", &["end"]),
            domain_part,
            domain_requests: counters(
                "sesamewall_domain_requests",
                "Requests sent to other failure domains.",
                &["domain"],
            ),
            domain_bytes: counters(
                "sesamewall_domain_bytes",
                "Bytes exchanged with other failure domains.",
                &["domain"],
            ),
            admission_refusals: counters(
                "sesamewall_admission_refusals",
                "Refusals while places are kept for others.",
                &["rank"],
            ),
            returns_promised: counter("sesamewall_returns_promised", "Promised returns."),
            returns_kept: counter("sesamewall_returns_kept", "Returns that came as promised."),
            return_error,
            rollout_phase: gauges("sesamewall_rollout_phase", "Phase of a rollout.", &["service"]),
            rollout_requests: counters(
                "sesamewall_rollout_requests",
                "Requests sent during a rollout.",
                &["service", "version"],
            ),
            rollout_bad: counters(
                "sesamewall_rollout_bad",
                "Bad responses during a rollout.",
                &["service", "version"],
            ),
            take_ups: counters("sesamewall_take_ups", "Streams taken up again.", &["end"]),
            held_bytes: gauges("sesamewall_held_bytes", "Held bytes by kind.", &["kind"]),
            client_refusals: counters(
                "sesamewall_client_refusals",
                "Refused bodies and closed connections.",
                &["cause"],
            ),
            open_connections: gauges(
                "sesamewall_open_connections",
                "Open connections of clients.",
                &["address"],
            ),
            task_panics: counters("sesamewall_task_panics", "Panics of tasks.", &["task"]),
            registry,
        }
    }
}

impl Metrics {
    /// Returns the values of a counter by their labels, for the log.
    pub fn summary(counter: &IntCounterVec) -> String {
        let families = prometheus::core::Collector::collect(counter);
        let metrics = families.iter().flat_map(|family| family.get_metric());
        let parts = metrics.map(|metric| {
            let labels: Vec<_> = metric.get_label().iter().map(|label| label.value()).collect();
            format!("{}={}", labels.join("/"), metric.get_counter().get_value())
        });
        parts.collect::<Vec<_>>().join(" ")
    }

    /// Returns all values as text.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for a family without values, which is left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
