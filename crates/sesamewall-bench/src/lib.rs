//! Experiments on virtual time that measure decisions against plain alternatives.

pub mod rate_simulation;
pub mod wrongful_refusals;
