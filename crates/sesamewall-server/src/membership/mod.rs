//! Membership of this instance: lead lease, live instances, floors and configuration.

mod budgeted_store;
mod config_service;
mod floor_service;
mod service;

pub use budgeted_store::BudgetedStore;
pub use config_service::ConfigService;
pub use config_service::Outgoing;
pub use floor_service::FloorService;
pub use service::MembershipService;
