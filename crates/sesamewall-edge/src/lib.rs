//! An instance on the users' platform: sockets, timers and logs around the decisions of
//! `sesamewall-fleet`.

mod attempt;
mod byte_budget;
mod call;
mod caller_connection;
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
mod peer_updates;
mod response;
mod run;
mod state_exchange;
mod store_access;
mod store_relay;
mod store_watch;
mod stream_relay;
mod sweeper;
mod target_pool;
mod worker;
mod worker_commit;
mod worker_serve;
mod worker_start;

pub use instance_context::InstanceContext;
pub use instance_context::State;
pub use metrics::Metrics;
pub use run::run;
