//! Logs and counts the panics of tasks.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use sesamewall_tasks::PanicReport;
use sesamewall_tasks::TaskObserver;
use slog::Logger;
use slog::crit;
use slog::error;

use crate::Metrics;
use crate::log_limit::LogLimit;

/// Logs and counts the panics of tasks, and ends the readiness of an instance that can't go on.
pub struct TaskLog {
    log: Logger,
    metrics: Arc<Metrics>,
    /// Limits the lines about panics: a request may cause one each time that it is sent.
    limit: LogLimit,
    /// Whether the process stops soon.
    draining: Arc<AtomicBool>,
}

impl TaskLog {
    /// Creates the log of a process that stops soon once `draining` is true.
    pub fn new(log: Logger, metrics: Arc<Metrics>, draining: Arc<AtomicBool>) -> Self {
        Self { log, metrics, limit: LogLimit::default(), draining }
    }
}

impl TaskObserver for TaskLog {
    fn on_panic(&self, task: &'static str, subject: &dyn Display, report: &PanicReport) {
        self.metrics.task_panics.with_label_values(&[task]).inc();
        if let Some(left_out) = self.limit.next_line() {
            error!(self.log, "task panicked"; "task" => task, "subject" => %subject,
                "message" => &report.message, "location" => &report.location,
                "left_out" => left_out);
        }
    }

    fn on_failed(&self, task: &'static str) {
        crit!(self.log, "instance cannot go on"; "task" => task);
        self.draining.store(true, Ordering::Relaxed);
    }

    fn is_stopping(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}
