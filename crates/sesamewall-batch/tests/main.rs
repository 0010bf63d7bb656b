//! Tests of batch decisions.

#![allow(clippy::unwrap_used)]

mod claim;
mod copies;
mod input;
mod recovery;
