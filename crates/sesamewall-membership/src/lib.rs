//! Decides who is lead, who is live and which configuration is in force.

mod configuration;

pub use configuration::Configuration;
