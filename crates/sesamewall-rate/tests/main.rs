//! Tests of the rate escrow.
#![allow(clippy::unwrap_used)]

mod bucket;
mod faults;
mod floor;
mod grantor;
mod holder;
mod replay;
