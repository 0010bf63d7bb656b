//! In-memory fakes of the ports.

mod bulk;
mod clock;
mod store;

pub use bulk::FakeBulk;
pub use clock::FakeClock;
pub use store::FakeStore;
