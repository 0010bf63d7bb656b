//! Real processes on stand-ins of the users' platform.

#[path = "platform/answers.rs"]
mod answers;
#[path = "platform/batch.rs"]
mod batch;
#[path = "platform/bounds.rs"]
mod bounds;
#[path = "platform/online.rs"]
mod online;
#[path = "platform/stops.rs"]
mod stops;
#[path = "platform/world.rs"]
mod world;
