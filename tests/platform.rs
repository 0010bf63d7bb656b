//! Tests of real processes against stand-ins for the users' platform.

#[path = "platform/batch.rs"]
mod batch;
#[path = "platform/deadly_parts.rs"]
mod deadly_parts;
#[path = "platform/early_response.rs"]
mod early_response;
#[path = "platform/faulty_targets.rs"]
mod faulty_targets;
#[path = "platform/fixture.rs"]
mod fixture;
#[path = "platform/handover.rs"]
mod handover;
#[path = "platform/hub.rs"]
mod hub;
#[path = "platform/late_requests.rs"]
mod late_requests;
#[path = "platform/limits.rs"]
mod limits;
#[path = "platform/odd_entries.rs"]
mod odd_entries;
#[path = "platform/online.rs"]
mod online;
#[path = "platform/responses.rs"]
mod responses;
#[path = "platform/shutdown.rs"]
mod shutdown;
#[path = "platform/target_news.rs"]
mod target_news;
#[path = "platform/unframed.rs"]
mod unframed;
