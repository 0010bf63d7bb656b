//! The configuration in force at this instance, and the port for changes to it.

use std::sync::Arc;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use sesamewall_membership::Configuration;
use sesamewall_protocol::Change;
use sesamewall_protocol::Operation;
use sesamewall_protocol::Result;
use sesamewall_protocol::Revision;
use tokio::sync::watch;

/// Holds the configuration in force. Readers get an immutable snapshot.
#[derive(Debug)]
pub struct ConfigView {
    current: RwLock<Arc<Configuration>>,
    revision: watch::Sender<Revision>,
    loaded: AtomicBool,
}

impl Default for ConfigView {
    fn default() -> Self {
        Self {
            current: RwLock::default(),
            revision: watch::channel(0).0,
            loaded: AtomicBool::new(false),
        }
    }
}

impl ConfigView {
    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Configuration> {
        self.current.read().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force unless a later one already is in force.
    pub fn set(&self, next: Arc<Configuration>) {
        let revision = next.revision();
        let mut current = self.current.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        if revision <= current.revision() {
            return;
        }
        *current = next;
        self.revision.send_replace(revision);
    }

    /// Marks the configuration as read, from the store or from another instance. An instance
    /// without a configuration would refuse every key.
    pub fn set_loaded(&self) {
        self.loaded.store(true, Ordering::Relaxed);
    }

    /// Returns whether the configuration has been read since the start.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed) || self.current().revision() > 0
    }

    /// Returns a receiver of the revisions that come into force.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }
}

/// Accepts operators' changes.
#[async_trait]
pub trait ConfigWriter: Send + Sync {
    /// Writes a change that is based on revision `against`. Returns the accepted change once it is
    /// stored and in force at this instance. Nothing is applied on an error.
    async fn submit(
        &self,
        author: &str,
        against: Revision,
        operations: Vec<Operation>,
    ) -> Result<Change>;
}
