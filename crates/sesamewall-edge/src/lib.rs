//! An instance on the users' platform: sockets, timers and logs around the decisions of
//! `sesamewall-fleet`.

mod attempt;
mod beacons;
mod call;
mod counted_store;
mod item_call;
mod job_api;
mod job_follow;
mod job_keys;
mod job_store;
mod job_work;
mod lease;
mod logs;
mod metrics;
mod node;
mod online;
mod relay;
mod reply;
mod run;
mod store_relay;
mod sync;
mod target_pool;
mod worker;
mod worker_commit;

pub use metrics::Metrics;
pub use node::Node;
pub use node::State;
pub use run::run;
