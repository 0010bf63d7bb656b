//! Batch jobs: files, jobs, workers and copies of bulk data.

mod claims;
mod files;
mod jobs;
mod journal;
mod lifecycle;
mod options;
mod records;
mod repair;
mod service;
mod shape;
mod storage;
mod worker;

pub use options::BatchOptions;
pub use service::BatchService;
