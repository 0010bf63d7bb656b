//! Logs and counts the panics of tasks.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use axum::extract::Request;
use axum::extract::State;
use axum::middleware::Next;
use axum::response::Response;
use prometheus::IntCounterVec;
use sesamewall_protocol::Error;
use sesamewall_protocol::RequestId;
use sesamewall_tasks::PanicReport;
use sesamewall_tasks::TaskObserver;
use sesamewall_tasks::Tasks;
use slog::Logger;
use slog::crit;
use slog::error;

use crate::error_response;

/// Logs and counts the panics of tasks, and ends the readiness of an instance that can't go on.
pub struct TaskLog {
    log: Logger,
    changes: IntCounterVec,
    draining: Arc<AtomicBool>,
}

impl TaskLog {
    /// Creates the log of an instance that shuts down once `draining` is true. `changes` counts its
    /// changes of state.
    pub fn new(log: Logger, changes: IntCounterVec, draining: Arc<AtomicBool>) -> Self {
        Self { log, changes, draining }
    }
}

impl TaskObserver for TaskLog {
    fn on_panic(&self, task: &'static str, subject: &dyn Display, report: &PanicReport) {
        self.changes.with_label_values(&["task_panicked"]).inc();
        error!(self.log, "task panicked"; "task" => task, "subject" => %subject,
            "message" => &report.message, "location" => &report.location);
    }

    fn on_failed(&self, task: &'static str) {
        self.changes.with_label_values(&["task_failed"]).inc();
        crit!(self.log, "instance cannot go on"; "task" => task);
        self.draining.store(true, Ordering::Relaxed);
    }

    fn is_stopping(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

/// Answers a request whose task panics. It may have run.
pub async fn respond(State(tasks): State<Arc<Tasks>>, request: Request, next: Next) -> Response {
    let path = request.uri().path().to_owned();
    let response = tasks.run("request", &path, next.run(request)).await;
    response.unwrap_or_else(|| {
        let error = Error::Internal { detail: "the request was interrupted".to_owned() };
        error_response(&error, &RequestId::from(""))
    })
}
