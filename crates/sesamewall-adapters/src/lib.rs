//! Adapters of the ports: store and instance list over HTTP, targets over HTTP, peers over tonic,
//! data folder on disk.

mod data_folder;
mod generated;
pub mod http_client;
mod http_control;
mod http_instances;
mod http_store;
mod http_target;
pub mod request_body;
mod reset_connector;
mod tonic_peer;

pub use data_folder::DataFolder;
pub use http_control::HttpControl;
pub use http_instances::HttpInstances;
pub use http_store::HttpStore;
pub use http_store::StoredEntry;
pub use http_target::ATTEMPT_HEADER;
pub use http_target::HttpTarget;
pub use http_target::RESUME_HEADER;
pub use tonic_peer::TonicPeerLink;
pub use tonic_peer::serve_peers;
