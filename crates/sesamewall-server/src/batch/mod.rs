//! Batch jobs: input and result files, job states, workers and copies of blobs.

mod claims;
mod drain;
mod files;
mod items;
mod jobs;
mod journal;
mod lifecycle;
mod objects;
mod options;
mod records;
mod recover;
mod repair;
mod service;
mod storage;
mod sweep;
mod worker;

pub use options::BatchOptions;
pub use service::BatchService;
