//! An instance on the users' platform: sockets, timers and logs around the decisions of
//! `sesamewall-fleet`.

mod attempt;
mod byte_budget;
mod caller_link;
mod caller_request;
mod control;
mod counted_store;
mod feed;
mod item_attempt;
mod item_start;
mod job_adopter;
mod job_api;
mod job_keys;
mod job_messages;
mod job_state;
mod job_store;
mod lease;
mod logs;
mod metrics;
mod node;
mod online;
mod peer_client;
mod relay;
mod reply;
mod run;
mod store_relay;
mod sync;
mod target_pool;
mod worker;
mod worker_commit;
mod worker_requests;

pub use metrics::Metrics;
pub use node::Node;
pub use node::State;
pub use run::run;
