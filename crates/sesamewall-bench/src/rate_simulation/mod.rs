//! Simulated fleet of grant holders and domain leads on virtual time.

mod check;
mod fleet;
mod lead;
mod model;

pub use check::Breach;
pub use check::breaches;
pub use fleet::simulate;
pub use model::Fate;
pub use model::History;
pub use model::Network;
pub use model::Sabotage;
pub use model::Simulation;
pub use model::Step;
