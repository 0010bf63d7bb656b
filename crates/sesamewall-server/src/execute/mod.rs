//! Runs accepted requests on targets: attempts, retries, resumed streams and decision records.

mod attempt;
mod call;
mod crash_marks;
mod engine_call;
mod executor;
pub mod forward;
mod item_runner;
mod plain_call;
mod sse;
mod version;

pub use call::Call;
pub use call::Event;
pub use engine_call::StreamOutput;
pub use executor::Executor;
pub use executor::micros;
pub use item_runner::BatchItemRunner;
pub use plain_call::PlainResponse;
