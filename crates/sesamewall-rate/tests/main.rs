//! Tests of the fleet-wide rate limits.
#![allow(clippy::unwrap_used)]

mod bucket;
mod faults;
mod floor;
mod grantor;
mod holder;
mod replay;
