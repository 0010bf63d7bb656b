//! Tests of the decisions about batch jobs.

#![allow(clippy::unwrap_used)]

mod claim;
mod copies;
mod input;
mod recovery;
