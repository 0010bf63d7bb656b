//! Measures processor time, memory and bytes of decisions, messages and requests on this machine.

mod control_bytes;
mod decisions;
mod hot_path;
mod meter;
mod proxy;
mod slopes;

pub(crate) use hot_path::hot_path;
pub(crate) use slopes::slopes;
