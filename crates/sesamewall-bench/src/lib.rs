//! Experiments on virtual time that measure decisions against plain alternatives.

mod cost;
pub mod domain_outage;
pub mod engine_model;
pub mod fairness;
pub mod fleet_model;
pub mod fleet_report;
pub mod online_tail;
mod program;
pub mod rate_simulation;
pub mod table;
pub mod wrongful_refusals;

pub use program::main;
pub use program::run_command;
