//! Prometheus metrics of one process.

use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

/// Metrics of one process. Areas register their own vectors in [`Metrics::registry`].
#[derive(Clone, Debug)]
pub struct Metrics {
    /// All metrics of the process.
    pub registry: Registry,
    /// Requests by class and result code; code 0 is a complete answer.
    pub requests: IntCounterVec,
    /// Changes of state by kind, also logged.
    pub changes: IntCounterVec,
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
        registry.register(Box::new(requests.clone())).expect("names are unique");
        registry.register(Box::new(changes.clone())).expect("names are unique");
        registry.register(Box::new(levels.clone())).expect("names are unique");
        Self { registry, requests, changes, levels }
    }
}

fn counter(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("constant metric options are valid")
}
