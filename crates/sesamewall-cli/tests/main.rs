#![allow(clippy::unwrap_used)]

//! Tests of the command-line tool, one module per topic.

mod commands;
#[path = "../../sesamewall-server/tests/support/mod.rs"]
mod support;
mod times;
