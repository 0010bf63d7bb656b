//! A small deployment of real processes with stand-ins for the platform, for the cases of the review.

mod client;
mod deployment;
mod documents;
mod gate;
mod record;
mod runner;

pub use client::Answer;
pub use client::Client;
pub use client::ItemBody;
pub use deployment::Deployment;
pub use deployment::Machine;
pub use deployment::NodeSpec;
pub use documents::LOT_HOST;
pub use documents::TALK_HOST;
pub use documents::configuration;
pub use documents::route;
pub use gate::Gate;
pub use record::Record;
pub use record::Verdict;
pub use record::is_trouble;
pub use record::run_case;
pub use runner::Boot;
pub use runner::Run;
pub use runner::Runner;
pub use runner::RunnerSettings;
