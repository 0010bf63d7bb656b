//! An instance on the users' platform: sockets, timers and logs around the decisions of
//! `sesamewall-fleet`.

mod attempt;
mod body_intake;
mod byte_budget;
mod caller_connection;
mod caller_request;
mod connection_table;
mod instance_context;
mod internal_server;
mod item_attempt;
mod item_start;
mod job_adopter;
mod job_api;
mod job_keys;
mod job_messages;
mod job_state;
mod job_store;
mod lease;
mod log_limit;
mod logs;
mod metrics;
mod online;
mod paced_stream;
mod peer_client;
mod peer_updates;
mod response;
mod retirement;
mod run;
mod state_exchange;
mod store_access;
mod store_relay;
mod store_watch;
mod stream_relay;
mod target_pool;
mod worker;
mod worker_claims;
mod worker_commit;
mod worker_end;
mod worker_requests;

pub use instance_context::InstanceContext;
pub use instance_context::State;
pub use lease::ProcessLease;
pub use metrics::Metrics;
pub use run::run;
