//! The operators' command-line tool, one file per command.

mod application;
mod arguments;
mod client;
mod commands;
mod context;
mod failure;
mod resource_file;
mod table;
mod time_text;

pub use application::Environment;
pub use application::main;
pub use application::run;
pub use time_text::format_ms;
pub use time_text::parse_since;
