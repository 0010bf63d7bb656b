//! The operators' API: resources, changes, rollout, records, jobs and the state of processes.

mod access;
mod changes;
mod health;
mod jobs;
mod keys;
mod records;
mod redact;
mod resources;
mod response;
mod rollout;
mod router;
mod service;
mod state;

pub use jobs::JobReader;
pub use jobs::JobView;
pub use router::operator_router;
pub use service::OperatorService;
pub use state::StateDump;
