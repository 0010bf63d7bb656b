//! Tests of the decisions that instances make without a lead.

#[path = "decisions/account_rate.rs"]
mod account_rate;
#[path = "decisions/batch.rs"]
mod batch;
#[path = "decisions/batch_pace.rs"]
mod batch_pace;
#[path = "decisions/homing.rs"]
mod homing;
#[path = "decisions/peers.rs"]
mod peers;
#[path = "decisions/placement.rs"]
mod placement;
#[path = "decisions/queue.rs"]
mod queue;
#[path = "decisions/silence.rs"]
mod silence;
#[path = "decisions/streams.rs"]
mod streams;
#[path = "decisions/support.rs"]
mod support;
#[path = "decisions/targets.rs"]
mod targets;
