//! Tests of the request path over HTTP, with instances and targets in the test process.

#![allow(clippy::unwrap_used)]

#[path = "path/answers.rs"]
mod answers;
#[path = "path/endless.rs"]
mod endless;
#[path = "path/fleet.rs"]
mod fleet;
#[path = "path/input.rs"]
mod input;
#[path = "path/keys.rs"]
mod keys;
#[path = "path/outcomes.rs"]
mod outcomes;
#[path = "path/poison.rs"]
mod poison;
#[path = "path/resent.rs"]
mod resent;
#[path = "path/target.rs"]
mod target;
#[path = "path/turnover.rs"]
mod turnover;
#[path = "path/versions.rs"]
mod versions;
