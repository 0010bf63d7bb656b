//! Calls to the store through other instances, for an instance that the store does not serve.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_adapters::http_client;
use sesamewall_adapters::http_client::CallError;
use sesamewall_adapters::http_client::HyperClient;
use sesamewall_ports::Committed;
use sesamewall_ports::Page;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoredItem;
use sesamewall_ports::Transaction;
use sesamewall_ports::Watched;

use crate::Node;

/// Path of relayed calls at the address for calls between instances.
pub const RELAY_PATH: &str = "/store";

/// Time for the way to the other instance, beyond the time of the call itself.
const HOP_TIME: Duration = Duration::from_millis(1200);

const BINARY: &str = "application/octet-stream";

/// A call to the store, as it travels between instances.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads an item.
    Item(String),
    /// Reads a page.
    Page(String, Option<String>),
    /// Waits for changes; prefix, revision and milliseconds.
    Changes(String, u64, u64),
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
    /// Changes.
    Changes(Watched),
    /// End of a transaction.
    Commit(Committed),
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
    client: HyperClient,
    helpers: Mutex<Vec<IpAddr>>,
    port: u16,
}

impl StoreRelay {
    /// Creates a relay to instances that listen on `port`.
    pub fn new(port: u16) -> Self {
        Self { client: http_client::new_client(), helpers: Mutex::default(), port }
    }

    /// Names the instances that the store serves, the preferred one first.
    pub fn set_helpers(&self, helpers: Vec<IpAddr>) {
        *self.helpers.lock().unwrap_or_else(PoisonError::into_inner) = helpers;
    }

    /// Tells whether any instance can help.
    pub fn can_help(&self) -> bool {
        !self.helpers.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    /// Sends a call through another instance.
    ///
    /// # Errors
    ///
    /// Returns the store's error, `Unavailable` if no instance took the call, or `Unclear` if its end
    /// is unknown.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let helper = self
            .helpers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .first()
            .copied()
            .ok_or(StoreError::Unavailable)?;
        let body = rmp_serde::to_vec(call).map_err(|_| StoreError::TooLarge)?;
        let url = format!("http://{}{RELAY_PATH}", SocketAddr::new(helper, self.port));
        let wait = match call {
            StoreCall::Changes(_, _, wait) => Duration::from_millis(*wait),
            _ => Duration::ZERO,
        };
        let limit = HOP_TIME + wait;
        let sent =
            http_client::call(&self.client, Method::POST, url, BINARY, Bytes::from(body), limit);
        match sent.await {
            Ok(answer) if answer.status() == StatusCode::OK => {
                match rmp_serde::from_slice(answer.body()) {
                    Ok(StoreReply::Failed(error)) => Err(error),
                    Ok(reply) => Ok(reply),
                    Err(_) => Err(StoreError::Unclear),
                }
            }
            Ok(_) | Err(CallError::NotSent) => {
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
pub async fn serve(node: &Arc<Node>, body: &[u8]) -> Option<Vec<u8>> {
    let call: StoreCall = rmp_serde::from_slice(body).ok()?;
    let store = node.store.direct();
    let reply = match &call {
        StoreCall::Item(key) => store.item(key).await.map(StoreReply::Item),
        StoreCall::Page(prefix, after) => {
            store.page(prefix, after.as_deref()).await.map(StoreReply::Page)
        }
        StoreCall::Changes(prefix, revision, wait) => {
            let wait = Duration::from_millis(*wait);
            store.changes(prefix, *revision, wait).await.map(StoreReply::Changes)
        }
        StoreCall::Commit(transaction) => store.commit(transaction).await.map(StoreReply::Commit),
        StoreCall::NewLease(life) => {
            store.new_lease(Duration::from_millis(*life)).await.map(StoreReply::Lease)
        }
        StoreCall::Renew(lease) => store.renew(*lease).await.map(StoreReply::Renewed),
        StoreCall::EndLease(lease) => store.end_lease(*lease).await.map(|()| StoreReply::Done),
    };
    rmp_serde::to_vec(&reply.unwrap_or_else(StoreReply::Failed)).ok()
}
