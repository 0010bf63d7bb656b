//! Decides which part of the local requests is served in other failure domains.

mod flow;
mod reach;
mod services;
mod settings;

pub use flow::DomainFlow;
pub use flow::DomainLoad;
pub use flow::FlowChange;
pub use services::DomainFlows;
pub use settings::DomainFlowSettings;
