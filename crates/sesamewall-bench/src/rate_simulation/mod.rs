//! Simulated fleet of grant holders and domain leads on virtual time.

mod check;
mod fleet;
mod lead;
mod model;

pub use check::Violation;
pub use check::violations;
pub use fleet::simulate;
pub use model::DisabledMechanism;
pub use model::History;
pub use model::Network;
pub use model::RequestFate;
pub use model::Simulation;
pub use model::Step;
