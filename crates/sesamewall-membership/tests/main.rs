#![allow(clippy::unwrap_used)]

//! Tests of membership, one module per topic.

mod configuration;
mod fixtures;
