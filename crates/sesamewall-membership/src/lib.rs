//! Decides which instance leads a failure domain, which instances are live and which configuration
//! is in force. All parts are state machines without sockets, clocks, tasks or random sources: the
//! caller supplies the time and the random numbers.

mod config_log;
mod config_write;
mod configuration;
mod field_check;
mod lead;
mod lead_types;
pub mod log_format;
mod members;
mod store_budget;

pub use config_log::ConfigAction;
pub use config_log::ConfigFollower;
pub use config_log::RETAINED_CHANGES;
pub use config_write::ChangeRequest;
pub use config_write::ChangeWriter;
pub use config_write::SnapshotPlan;
pub use config_write::WriteAction;
pub use config_write::snapshot_due;
pub use configuration::Configuration;
pub use configuration::MAX_RESOURCES;
pub use field_check::MAX_MODEL_CHARS;
pub use field_check::MAX_NAME_CHARS;
pub use field_check::MAX_OPERATIONS;
pub use field_check::MAX_TARGETS;
pub use lead::Lead;
pub use lead_types::LEAD_LEASE;
pub use lead_types::LEAD_MARGIN;
pub use lead_types::LEAD_RENEWAL;
pub use lead_types::LeadAction;
pub use lead_types::LeadRecord;
pub use lead_types::LeadSettings;
pub use members::CrashMarkList;
pub use members::DomainState;
pub use members::DomainView;
pub use members::HEARTBEAT_TIMEOUT;
pub use members::MemberAction;
pub use members::MemberReport;
pub use members::Members;
pub use store_budget::BudgetSettings;
pub use store_budget::CallKind;
pub use store_budget::Priority;
pub use store_budget::StoreBudget;
