//! Starts tasks and says what follows their panics.

use std::fmt::Display;
use std::future::Future;
use std::sync::Arc;
use std::time::Instant;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::PanicReport;
use crate::StepFailures;
use crate::catch;
use crate::catch_async;
use crate::injection;

/// Logs and counts what happens to tasks.
pub trait TaskObserver: Send + Sync {
    /// Called when a task or a step has panicked. `subject` is what it worked on; empty if that has
    /// no name.
    fn on_panic(&self, task: &'static str, subject: &dyn Display, report: &PanicReport);
    /// Called when the process can't go on, since a task that it depends on has ended.
    fn on_failed(&self, task: &'static str);
    /// Returns whether the process stops as planned, so that its tasks may end.
    fn is_stopping(&self) -> bool;
}

/// Ignores what happens to tasks, for processes without a log.
impl TaskObserver for () {
    fn on_panic(&self, _task: &'static str, _subject: &dyn Display, _report: &PanicReport) {}

    fn on_failed(&self, _task: &'static str) {}

    fn is_stopping(&self) -> bool {
        false
    }
}

/// The tasks of a process.
pub struct Tasks {
    observer: Arc<dyn TaskObserver>,
    /// The first task that has ended although the process depends on it.
    failed: watch::Sender<Option<&'static str>>,
}

impl Tasks {
    /// Creates the tasks of a process.
    pub fn new(observer: Arc<dyn TaskObserver>) -> Arc<Self> {
        Arc::new(Self { observer, failed: watch::Sender::new(None) })
    }

    /// Starts a task that the process depends on. If it ends before a planned stop, the process has
    /// to stop.
    pub fn spawn_essential(
        self: &Arc<Self>,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<()> {
        let tasks = self.clone();
        tokio::spawn(async move {
            let panicked = tasks.run(name, &"", task).await.is_none();
            if panicked || !tasks.observer.is_stopping() {
                tasks.fail(name);
            }
        })
    }

    /// Starts a task of limited length. If it panics, `recovery` follows, which makes good what the
    /// task has left behind. A panic of the recovery is reported and has no recovery.
    pub fn spawn(
        self: &Arc<Self>,
        name: &'static str,
        subject: impl Display + Send + Sync + 'static,
        task: impl Future<Output = ()> + Send + 'static,
        recovery: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<()> {
        let tasks = self.clone();
        tokio::spawn(async move {
            if tasks.run(name, &subject, task).await.is_none() {
                // `run` has reported a panic.
                let _ = tasks.catch_reported(name, &subject, recovery).await;
            }
        })
    }

    /// Runs a task to its end. Returns `None` if it has panicked.
    pub async fn run<T>(
        &self,
        name: &'static str,
        subject: &(dyn Display + Sync),
        task: impl Future<Output = T>,
    ) -> Option<T> {
        self.catch_reported(name, subject, injection::around(name, subject, task)).await
    }

    async fn catch_reported<T>(
        &self,
        name: &'static str,
        subject: &(dyn Display + Sync),
        task: impl Future<Output = T>,
    ) -> Option<T> {
        let result = catch_async(task).await;
        result.inspect_err(|report| self.observer.on_panic(name, subject, report)).ok()
    }

    /// Runs a step of a loop, which goes on without it if it panics. Returns `None` then.
    pub fn step<T>(
        &self,
        name: &'static str,
        subject: &dyn Display,
        step: impl FnOnce() -> T,
    ) -> Option<T> {
        let result = catch(|| {
            injection::check(name, subject);
            step()
        });
        result.inspect_err(|report| self.observer.on_panic(name, subject, report)).ok()
    }

    /// Runs a step that its loop depends on. If it has failed for too long, the process has to stop.
    pub fn essential_step<T>(
        &self,
        name: &'static str,
        failures: &mut StepFailures,
        step: impl FnOnce() -> T,
    ) -> Option<T> {
        let result = self.step(name, &"", step);
        if failures.on_end(result.is_none(), Instant::now()) {
            self.fail(name);
        }
        result
    }

    /// Makes the process stop, since it can't go on without what `name` did.
    pub fn fail(&self, name: &'static str) {
        let is_first = self.failed.send_if_modified(|failed| {
            let is_first = failed.is_none();
            failed.get_or_insert(name);
            is_first
        });
        if is_first {
            self.observer.on_failed(name);
        }
    }

    /// Returns the task without which the process can't go on; `None` while there is none.
    pub fn failure(&self) -> Option<&'static str> {
        *self.failed.borrow()
    }

    /// Waits until the process can't go on, and returns the task that has ended.
    pub async fn wait_failure(&self) -> &'static str {
        let mut failed = self.failed.subscribe();
        loop {
            if let Some(name) = *failed.borrow_and_update() {
                return name;
            }
            // The sender lives as long as `self`.
            let _ = failed.changed().await;
        }
    }
}
