//! The daemon: caller API, operator API, and the wiring of decision modules to adapters.

mod answer;
mod batch;
mod config_view;
mod directory;
mod item;
mod metrics;
mod node;
mod recorder;
mod settings;

pub use answer::error_response;
pub use batch::BatchOptions;
pub use batch::BatchService;
pub use config_view::ConfigView;
pub use config_view::ConfigWriter;
pub use directory::Directory;
pub use item::Caller;
pub use item::ItemOutcome;
pub use item::ItemRequest;
pub use item::ItemRunner;
pub use metrics::Metrics;
pub use node::Node;
pub use recorder::Recorder;
pub use settings::Settings;
