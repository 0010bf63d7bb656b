#![allow(clippy::unwrap_used)]

//! Tests of membership, one module per topic.

mod configuration;
mod faults;
mod fixtures;
mod sim;
