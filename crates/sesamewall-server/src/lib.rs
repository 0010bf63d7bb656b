//! The daemon: caller API, operator API, and the wiring of decision modules to adapters.

mod answer;
mod config_view;
mod directory;
mod item;
mod metrics;
mod node;
mod operator;
mod recorder;
mod records;
mod settings;
mod settings_check;

pub use answer::error_response;
pub use config_view::ConfigView;
pub use config_view::ConfigWriter;
pub use directory::Directory;
pub use item::Caller;
pub use item::ItemOutcome;
pub use item::ItemRequest;
pub use item::ItemRunner;
pub use metrics::Metrics;
pub use node::Node;
pub use operator::Dump;
pub use operator::JobReader;
pub use operator::JobView;
pub use operator::OperatorService;
pub use operator::operator_router;
pub use recorder::Recorder;
pub use records::RecordAnswer;
pub use records::RecordFiles;
pub use records::RecordLimits;
pub use records::RecordQuery;
pub use records::RecordService;
pub use settings::Settings;
pub use settings_check::check;
pub use settings_check::known_keys;
