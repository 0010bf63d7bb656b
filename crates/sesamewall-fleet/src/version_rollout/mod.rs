//! Decisions of the rollout of a service to a new version of its targets' software.
//!
//! Each instance sends a bounded share of its own requests to targets of the new version and counts
//! how they end. Hubs sum these counts over the fleet, compare the two versions, and halt, promote or
//! complete the rollout.

mod chance;
mod peer_outcomes;
mod rollout_order;
mod rollout_record;
mod rollout_settings;
mod rollout_state;
mod rollouts;
mod route_outcomes;
mod verdict;
mod version_filter;
mod version_outcomes;

pub use peer_outcomes::PeerOutcomes;
pub use rollout_order::RolloutNews;
pub use rollout_order::RolloutOrder;
pub use rollout_order::RolloutPhase;
pub use rollout_order::RolloutProgress;
pub use rollout_order::rollout_key;
pub use rollout_record::RolloutRecord;
pub use rollout_settings::RolloutSettings;
pub use rollout_state::VersionRun;
pub use rollouts::NewsTimer;
pub use rollouts::Rollouts;
pub use route_outcomes::RouteOutcomes;
pub use route_outcomes::merge_outcomes;
pub use verdict::HaltReason;
pub use verdict::RolloutFacts;
pub use verdict::Verdict;
pub use verdict::VerdictFigures;
pub use verdict::judge;
pub use version_filter::VersionChoice;
pub use version_filter::VersionFilter;
pub use version_filter::VersionSide;
pub use version_filter::VersionSupply;
pub use version_outcomes::VersionOutcomes;
