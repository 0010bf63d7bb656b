#![allow(clippy::unwrap_used)]

//! Tests of the daemon, one module per topic.

mod operator;
mod records;
mod settings;
mod support;
