//! Stores decision records on storage instances and executes queries for them.

mod files;
mod query;
mod service;

pub use files::RecordFiles;
pub use files::RecordLimits;
pub use query::RecordQuery;
pub use service::RecordQueryResult;
pub use service::RecordService;
