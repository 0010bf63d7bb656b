//! An instance on the users' platform: sockets, timers and logs around the decisions of
//! `sesamewall-fleet`.

mod attempt;
mod byte_budget;
mod call;
mod caller_link;
mod control;
mod counted_store;
mod feed;
mod instance_context;
mod item_call;
mod job_api;
mod job_keys;
mod job_peer;
mod job_store;
mod job_work;
mod lease;
mod logs;
mod metrics;
mod online;
mod peer_client;
mod relay;
mod reply;
mod run;
mod store_relay;
mod sweeper;
mod sync;
mod target_pool;
mod worker;
mod worker_commit;
mod worker_serve;
mod worker_start;

pub use instance_context::InstanceContext;
pub use instance_context::State;
pub use metrics::Metrics;
pub use run::run;
