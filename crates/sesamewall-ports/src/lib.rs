//! Ports of the system: traits towards the store, the instance list, targets, peers, bulk storage
//! and the clock, each with a small in-memory fake for tests.

mod bulk;
mod clock;
mod control;
mod fake;
mod instances;
mod peer;
mod store;
mod target;

pub use bulk::BulkStorage;
pub use clock::Clock;
pub use clock::SystemClock;
pub use control::ControlAction;
pub use control::ControlCommand;
pub use control::ControlContent;
pub use control::ControlEnd;
pub use control::TargetControl;
pub use fake::FakeBulk;
pub use fake::FakeClock;
pub use fake::FakeControl;
pub use fake::FakeStore;
pub use instances::InstanceList;
pub use instances::ListedInstance;
pub use instances::ListedState;
pub use peer::PeerAddress;
pub use peer::PeerHandler;
pub use peer::PeerLink;
pub use store::Expect;
pub use store::Store;
pub use store::StoreError;
pub use store::Versioned;
pub use target::AnswerStream;
pub use target::CacheEvent;
pub use target::PREFIX_BLOCK_BYTES;
pub use target::Target;
pub use target::TargetAnswer;
pub use target::TargetError;
pub use target::TargetRequest;
