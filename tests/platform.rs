//! Tests of real processes against stand-ins for the users' platform.

#[path = "platform/answers.rs"]
mod answers;
#[path = "platform/batch.rs"]
mod batch;
#[path = "platform/bounds.rs"]
mod bounds;
#[path = "platform/fixture.rs"]
mod fixture;
#[path = "platform/online.rs"]
mod online;
#[path = "platform/shutdown.rs"]
mod shutdown;
