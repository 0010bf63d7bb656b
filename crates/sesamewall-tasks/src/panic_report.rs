//! Catches panics, with their messages and places in the code.

use std::any::Any;
use std::cell::Cell;
use std::cell::RefCell;
use std::fmt::Display;
use std::fmt::Formatter;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::panic::PanicHookInfo;
use std::panic::catch_unwind;
use std::sync::Once;
use std::task::Poll;

/// What a panic said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PanicReport {
    /// The message; empty if it is no text.
    pub message: String,
    /// File, line and column of the panic; empty if they are not known.
    pub location: String,
}

impl Display for PanicReport {
    fn fmt(&self, out: &mut Formatter<'_>) -> std::fmt::Result {
        write!(out, "{} at {}", self.message, self.location)
    }
}

thread_local! {
    /// Number of calls of `catch` that the thread is in.
    static DEPTH: Cell<u32> = const { Cell::new(0) };
    /// Place of the last panic within `catch`.
    static LOCATION: RefCell<String> = const { RefCell::new(String::new()) };
}

/// Installs a hook that notes the places of panics which `catch` reports. Other panics are printed
/// as before.
fn install_hook() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        let before = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info: &PanicHookInfo<'_>| match DEPTH.get() {
            0 => before(info),
            _ => {
                let location = info.location().map(ToString::to_string).unwrap_or_default();
                LOCATION.with_borrow_mut(|last| *last = location);
            }
        }));
    });
}

fn message(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().map(ToString::to_string);
    text.or_else(|| payload.downcast_ref::<String>().cloned()).unwrap_or_default()
}

/// Runs `step`. State that the step has changed stays as the panic left it: the caller restores what
/// others rely on.
///
/// # Errors
///
/// Returns what a panic of the step said.
pub fn catch<T>(step: impl FnOnce() -> T) -> Result<T, PanicReport> {
    install_hook();
    DEPTH.set(DEPTH.get() + 1);
    let result = catch_unwind(AssertUnwindSafe(step));
    DEPTH.set(DEPTH.get() - 1);
    result.map_err(|payload| PanicReport {
        message: message(&*payload),
        location: LOCATION.with_borrow_mut(std::mem::take),
    })
}

/// Runs `task` to its end, as `catch` runs a step. What the task holds is dropped before it returns.
///
/// # Errors
///
/// Returns what a panic of the task said.
pub async fn catch_async<T>(task: impl Future<Output = T>) -> Result<T, PanicReport> {
    let mut task = Some(Box::pin(task));
    let result = std::future::poll_fn(|context| {
        let Some(running) = &mut task else { return Poll::Pending };
        match catch(|| running.as_mut().poll(context)) {
            Ok(Poll::Pending) => Poll::Pending,
            Ok(Poll::Ready(output)) => Poll::Ready(Ok(output)),
            Err(report) => Poll::Ready(Err(report)),
        }
    })
    .await;
    // A panic while the rest of the task is dropped is a consequence of the first one.
    let dropped = catch(|| drop(task.take()));
    result.and_then(|output| dropped.map(|()| output))
}
