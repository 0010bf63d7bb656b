//! Enforces fleet-wide rate limits by escrow: the leads of the failure domains grant tokens, and
//! each instance, a grant holder, spends them on requests.

mod bucket;
mod floor;
mod grantor;
mod holder;
mod limits;
mod source;

pub use bucket::Bucket;
pub use floor::FLOOR_LEASE;
pub use floor::FLOOR_MARGIN;
pub use floor::FLOOR_RENEWAL;
pub use floor::Floor;
pub use floor::FloorBackup;
pub use floor::FloorCall;
pub use floor::FloorRecord;
pub use floor::FloorSettings;
pub use floor::Inherited;
pub use grantor::Grantor;
pub use grantor::GrantorSettings;
pub use holder::Action;
pub use holder::Holder;
pub use holder::HolderSettings;
pub use holder::Refusal;
pub use limits::GRANT_TTL;
pub use limits::GRANT_WAIT;
pub use limits::Limits;
pub use limits::SHARE_UNIT;
pub use limits::TOKENS_PER_REQUEST;
pub use limits::reserve_share;
