//! Decides who is lead, who is live and which configuration is in force. All parts are state
//! machines without sockets, clocks, tasks or random sources of their own.

mod configuration;
mod field_check;

pub use configuration::Configuration;
pub use configuration::MAX_RESOURCES;
pub use field_check::MAX_MODEL_CHARS;
pub use field_check::MAX_NAME_CHARS;
pub use field_check::MAX_OPERATIONS;
pub use field_check::MAX_TARGETS;
