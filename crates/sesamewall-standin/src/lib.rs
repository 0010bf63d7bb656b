//! Stand-ins for the platform: store, instance list, model engines and a plain service, with fault
//! switches that can be used while they run.

mod args;
mod engine;
mod instances;
mod listen;
mod platform;
mod service;

pub use args::main;
pub use engine::Engine;
pub use engine::EngineFaults;
pub use engine::EngineSettings;
pub use instances::FakeInstances;
pub use listen::ServerHandle;
pub use platform::platform_router;
pub use service::PlainService;
