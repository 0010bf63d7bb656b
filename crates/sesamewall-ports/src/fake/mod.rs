//! In-memory implementations of the traits, for tests and the `--dev` mode.

mod bulk;
mod clock;
mod control;
mod store;

pub use bulk::FakeBulk;
pub use clock::FakeClock;
pub use control::FakeControl;
pub use store::MemoryStore;
