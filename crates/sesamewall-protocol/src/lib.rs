//! Defines the types that every Sesamewall crate shares: names, time, resources, result codes,
//! the error type, decision records and the messages between instances.

mod class;
mod duration;
mod error;
mod error_table;
mod name;
mod outcome;
pub mod peer;
mod record;
mod resource;
mod time;

pub use class::Class;
pub use duration::scaled;
pub use duration::seconds;
pub use error::Error;
pub use error::Numbers;
pub use error::Result;
pub use name::AccountName;
pub use name::DomainName;
pub use name::InstanceName;
pub use name::ItemId;
pub use name::JobId;
pub use name::ModelName;
pub use name::RequestId;
pub use name::TargetName;
pub use outcome::Outcome;
pub use record::Decision;
pub use record::DecisionRecord;
pub use resource::Account;
pub use resource::Change;
pub use resource::DomainMode;
pub use resource::FailureDomain;
pub use resource::Key;
pub use resource::Operation;
pub use resource::PlacementSpec;
pub use resource::RateLimit;
pub use resource::Resource;
pub use resource::ResourceKind;
pub use resource::Revision;
pub use resource::Route;
pub use resource::TargetGroup;
pub use resource::TargetKind;
pub use resource::TargetSpec;
pub use resource::hash_key;
pub use time::Time;
