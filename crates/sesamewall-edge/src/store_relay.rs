//! Calls to the store that are relayed through another instance, for an instance that the store
//! does not serve.

use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_adapters::http_client::CallError;
use sesamewall_ports::CommitResult;
use sesamewall_ports::Page;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoredItem;
use sesamewall_ports::Transaction;

use crate::InstanceContext;
use crate::peer_client::PeerClient;

/// Path of relayed calls on the port for calls between instances.
pub const RELAY_PATH: &str = "/store";

/// Timeout of a relayed call, including the way to the other instance.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1200);

/// A relayed call to the store.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads an item.
    Item(String),
    /// Reads a page.
    Page(String, Option<String>),
    /// Commits a transaction.
    Commit(Transaction),
    /// Begins a lease with a TTL in milliseconds.
    NewLease(u64),
    /// Renews a lease.
    Renew(u64),
    /// Ends a lease.
    EndLease(u64),
}

/// The result of a relayed call.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum StoreReply {
    /// An item, or none.
    Item(Option<StoredItem>),
    /// A page.
    Page(Page),
    /// Result of a transaction.
    Commit(CommitResult),
    /// Number of a lease.
    Lease(u64),
    /// Whether the lease was renewed.
    Renewed(bool),
    /// The call is done and returns no data.
    Done,
    /// The call failed.
    Failed(StoreError),
}

/// Relays calls to the store through other instances.
pub struct StoreRelay {
    peer_client: PeerClient,
    helpers: Mutex<Vec<IpAddr>>,
}

impl StoreRelay {
    /// Creates a relay through instances that listen on `port`.
    pub fn new(port: u16) -> Self {
        Self { peer_client: PeerClient::new(port), helpers: Mutex::default() }
    }

    /// Sets the instances that the store serves, the preferred one first.
    pub fn set_helpers(&self, helpers: Vec<IpAddr>) {
        *self.helpers.lock().unwrap_or_else(PoisonError::into_inner) = helpers;
    }

    /// Returns the preferred instance; `None` if none can relay calls.
    pub fn helper(&self) -> Option<IpAddr> {
        self.helpers.lock().unwrap_or_else(PoisonError::into_inner).first().copied()
    }

    /// Returns whether any instance can relay calls.
    pub fn can_help(&self) -> bool {
        self.helper().is_some()
    }

    /// Sends a call through another instance.
    ///
    /// # Errors
    ///
    /// Returns the store's error, `Unavailable` if no instance received the call, or `Unclear` if
    /// its result is unknown.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let helper = self.helper().ok_or(StoreError::Unavailable)?;
        match self.peer_client.call(helper, RELAY_PATH, call, RELAY_TIMEOUT).await {
            Ok(StoreReply::Failed(error)) => Err(error),
            Ok(reply) => Ok(reply),
            Err(CallError::NotSent) => {
                self.drop_helper(helper);
                Err(StoreError::Unavailable)
            }
            Err(CallError::Unclear) => {
                self.drop_helper(helper);
                Err(StoreError::Unclear)
            }
        }
    }

    /// Stops using an instance until the helpers are set again.
    fn drop_helper(&self, helper: IpAddr) {
        let mut helpers = self.helpers.lock().unwrap_or_else(PoisonError::into_inner);
        helpers.retain(|known| *known != helper);
    }
}

/// Executes a relayed call of another instance. The call goes directly to the store, never to a
/// third instance.
pub async fn serve(context: &InstanceContext, call: StoreCall) -> StoreReply {
    let store = context.store.direct();
    let reply = match &call {
        StoreCall::Item(key) => store.item(key).await.map(StoreReply::Item),
        StoreCall::Page(prefix, after) => {
            store.page(prefix, after.as_deref()).await.map(StoreReply::Page)
        }
        StoreCall::Commit(transaction) => store.commit(transaction).await.map(StoreReply::Commit),
        StoreCall::NewLease(ttl) => {
            store.new_lease(Duration::from_millis(*ttl)).await.map(StoreReply::Lease)
        }
        StoreCall::Renew(lease) => store.renew(*lease).await.map(StoreReply::Renewed),
        StoreCall::EndLease(lease) => store.end_lease(*lease).await.map(|()| StoreReply::Done),
    };
    reply.unwrap_or_else(StoreReply::Failed)
}
