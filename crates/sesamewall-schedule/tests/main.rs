//! Tests of the scheduling decisions.
#![allow(clippy::unwrap_used)]

mod admission;
mod commands;
mod crash_marks;
mod ejection;
mod fairness;
mod idempotency;
mod placement;
mod retry;
mod route;
mod simulation;
