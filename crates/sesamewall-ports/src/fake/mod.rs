//! In-memory fakes of the ports.

mod bulk;
mod clock;
mod control;
mod store;

pub use bulk::FakeBulk;
pub use clock::FakeClock;
pub use control::FakeControl;
pub use store::MemoryStore;
