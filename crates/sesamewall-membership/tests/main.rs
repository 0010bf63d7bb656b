#![allow(clippy::unwrap_used)]

//! Tests of membership, one module per topic.

mod config_log;
mod configuration;
mod control_bytes;
mod faults;
mod fixtures;
mod lead;
mod sim;
mod sim_names;
mod sim_plan;
mod store_budget;
