//! Tasks of a process that report their panics.
//!
//! A panic ends the task that it happens in. A process that goes on without one of its loops looks
//! sound from outside: it holds its lease and its claims, and says that it is ready. So each task
//! has a name here, and one of three consequences of a panic: a task that the process depends on
//! makes the process stop in order (`Tasks::spawn_essential`), a short one is followed by a recovery
//! of what it has left behind (`Tasks::spawn`), and a step of a loop is left out
//! (`Tasks::step`).

mod injection;
mod panic_report;
mod step_failures;
mod tasks;

pub use panic_report::PanicReport;
pub use panic_report::catch;
pub use panic_report::catch_async;
pub use step_failures::StepFailures;
pub use tasks::TaskObserver;
pub use tasks::Tasks;
