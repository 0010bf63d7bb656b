//! Trait for the platform's list of instances.

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;

use crate::PeerAddress;

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// In service.
    Live,
    /// About to stop.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance.
    pub name: InstanceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its addresses for peers.
    pub address: PeerAddress,
    /// The instance stores bulk data in a data folder.
    #[serde(default)]
    pub bulk: bool,
    /// State, which can be outdated by several seconds.
    pub state: ListedState,
}

/// The platform's list of instances.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Adds or refreshes the entry of this instance.
    async fn announce(&self, local: &ListedInstance) -> Result<()>;

    /// Returns the list.
    async fn list(&self) -> Result<Vec<ListedInstance>>;
}
