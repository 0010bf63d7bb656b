//! Adapters of the ports: store and instance list over HTTP, targets over HTTP, peers over tonic, data folder on disk.

mod data_folder;

pub use data_folder::DataFolder;
