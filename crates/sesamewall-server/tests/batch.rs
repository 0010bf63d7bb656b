//! Tests of batch jobs on a small fleet in virtual time.

#![allow(clippy::unwrap_used)]

#[path = "batch/copies.rs"]
mod copies;
#[path = "batch/error_headers.rs"]
mod error_headers;
#[path = "batch/faults.rs"]
mod faults;
#[path = "batch/fleet.rs"]
mod fleet;
#[path = "batch/http.rs"]
mod http;
#[path = "batch/store.rs"]
mod store;
