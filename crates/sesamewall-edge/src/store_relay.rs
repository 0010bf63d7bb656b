//! Calls to the store through other instances, for an instance that the store does not serve.

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

use crate::Node;
use crate::peer_client::PeerClient;

/// Path of relayed calls at the address for calls between instances.
pub const RELAY_PATH: &str = "/store";

/// Time for the call, the way to the other instance included.
const HOP_TIME: Duration = Duration::from_millis(1200);

/// A call to the store, as it travels between instances.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads an item.
    Item(String),
    /// Reads a page.
    Page(String, Option<String>),
    /// Commits a transaction.
    Commit(Transaction),
    /// Begins a lease of so many milliseconds.
    NewLease(u64),
    /// Renews a lease.
    Renew(u64),
    /// Ends a lease.
    EndLease(u64),
}

/// The end of a relayed call.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum StoreReply {
    /// An item, or none.
    Item(Option<StoredItem>),
    /// A page.
    Page(Page),
    /// End of a transaction.
    Commit(CommitResult),
    /// Number of a lease.
    Lease(u64),
    /// Whether the lease was renewed.
    Renewed(bool),
    /// Done.
    Done,
    /// The call failed.
    Failed(StoreError),
}

/// Sends calls to other instances.
pub struct StoreRelay {
    calls: PeerClient,
    helpers: Mutex<Vec<IpAddr>>,
}

impl StoreRelay {
    /// Creates a relay to instances that listen on `port`.
    pub fn new(port: u16) -> Self {
        Self { calls: PeerClient::new(port), helpers: Mutex::default() }
    }

    /// Names the instances that the store serves, the preferred one first.
    pub fn set_helpers(&self, helpers: Vec<IpAddr>) {
        *self.helpers.lock().unwrap_or_else(PoisonError::into_inner) = helpers;
    }

    /// Returns the preferred instance; `None` if none can help.
    pub fn helper(&self) -> Option<IpAddr> {
        self.helpers.lock().unwrap_or_else(PoisonError::into_inner).first().copied()
    }

    /// Tells whether any instance can help.
    pub fn can_help(&self) -> bool {
        self.helper().is_some()
    }

    /// Sends a call through another instance.
    ///
    /// # Errors
    ///
    /// Returns the store's error, `Unavailable` if no instance took the call, or `Unclear` if its end
    /// is unknown.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let helper = self.helper().ok_or(StoreError::Unavailable)?;
        match self.calls.call(helper, RELAY_PATH, call, HOP_TIME).await {
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

    /// Stops asking an instance until the helpers are named again.
    fn drop_helper(&self, helper: IpAddr) {
        let mut helpers = self.helpers.lock().unwrap_or_else(PoisonError::into_inner);
        helpers.retain(|known| *known != helper);
    }
}

/// Carries out a call of another instance. It goes to the store directly, never to a third one.
pub async fn serve(node: &Node, call: StoreCall) -> StoreReply {
    let store = node.store.direct();
    let reply = match &call {
        StoreCall::Item(key) => store.item(key).await.map(StoreReply::Item),
        StoreCall::Page(prefix, after) => {
            store.page(prefix, after.as_deref()).await.map(StoreReply::Page)
        }
        StoreCall::Commit(transaction) => store.commit(transaction).await.map(StoreReply::Commit),
        StoreCall::NewLease(life) => {
            store.new_lease(Duration::from_millis(*life)).await.map(StoreReply::Lease)
        }
        StoreCall::Renew(lease) => store.renew(*lease).await.map(StoreReply::Renewed),
        StoreCall::EndLease(lease) => store.end_lease(*lease).await.map(|()| StoreReply::Done),
    };
    reply.unwrap_or_else(StoreReply::Failed)
}
