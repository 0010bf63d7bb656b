//! Prometheus metrics of one process.

use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

/// Upper bounds of the buckets; 1.3 s is the target for 95 in 100.
const FIRST_TOKEN_SECONDS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.3, 2.6, 5.0, 10.0];

/// Metrics of one process. Areas register their own vectors in [`Metrics::registry`].
#[derive(Clone, Debug)]
pub struct Metrics {
    /// All metrics of the process.
    pub registry: Registry,
    /// Requests by class and result code; code 0 is a complete response.
    pub requests: IntCounterVec,
    /// Changes of state by kind, also logged.
    pub changes: IntCounterVec,
    /// Seconds from the acceptance of a streamed request to its first token, by class.
    pub first_token: HistogramVec,
    /// Current values by name, for example `revision` or `lead_epoch`.
    pub levels: IntGaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let requests = counter(
            "sesamewall_requests_total",
            "Requests by class and result code.",
            &["class", "code"],
        );
        let changes = counter("sesamewall_changes_total", "Changes of state by kind.", &["kind"]);
        let levels =
            IntGaugeVec::new(Opts::new("sesamewall_level", "Current values by name."), &["name"])
                .expect("constant metric options are valid");
        let first_token = HistogramVec::new(
            HistogramOpts::new(
                "sesamewall_first_token_seconds",
                "Seconds from acceptance to the first token.",
            )
            .buckets(FIRST_TOKEN_SECONDS.to_vec()),
            &["class"],
        )
        .expect("constant metric options are valid");
        registry.register(Box::new(first_token.clone())).expect("names are unique");
        registry.register(Box::new(requests.clone())).expect("names are unique");
        registry.register(Box::new(changes.clone())).expect("names are unique");
        registry.register(Box::new(levels.clone())).expect("names are unique");
        Self { registry, requests, changes, first_token, levels }
    }
}

impl Metrics {
    /// Sets a current value.
    pub fn set_level(&self, name: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.levels.with_label_values(&[name]).set(value);
    }
}

fn counter(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("constant metric options are valid")
}
