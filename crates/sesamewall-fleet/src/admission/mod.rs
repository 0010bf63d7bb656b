//! Admission of online requests while places at the targets are scarce, and the times at which
//! refused callers should return.

mod account_demand;
mod admission_control;
mod fair_share;
mod load_phases;
mod promised_returns;
mod return_schedule;
mod room;
mod window_count;

pub use admission_control::AdmissionControl;
pub use admission_control::AdmissionDecision;
pub use admission_control::AdmissionRequest;
pub use admission_control::AdmissionSettings;
pub use fair_share::fair_level;
pub use load_phases::LoadPhases;
pub use load_phases::PhaseSettings;
pub use promised_returns::PromisedReturns;
pub use promised_returns::SlotCheck;
pub use return_schedule::RetryTime;
pub use return_schedule::ReturnSettings;
pub use room::Room;
