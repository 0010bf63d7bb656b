//! Membership of this instance: live instances, leads, heartbeats and configuration.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_ports::Expect;
use sesamewall_ports::StoreError;
use sesamewall_protocol::Change;
use sesamewall_protocol::Error;
use sesamewall_protocol::Operation;
use sesamewall_protocol::Result;
use sesamewall_protocol::Revision;
use tokio::sync::Notify;

use crate::ConfigWriter;
use crate::LeadTerm;
use crate::Node;

const PERIOD: Duration = Duration::from_millis(500);
const LOG_PREFIX: &str = "config/change/";
const WATCH_MS: u64 = 5000;

/// Keeps the directory and the configuration up to date.
pub struct MembershipService {
    node: Arc<Node>,
    changed: Notify,
}

impl MembershipService {
    /// Creates the service.
    pub fn new(node: Arc<Node>) -> Arc<Self> {
        Arc::new(Self { node, changed: Notify::new() })
    }

    /// Starts the background tasks.
    pub fn spawn(self: &Arc<Self>) {
        let service = self.clone();
        tokio::spawn(async move {
            loop {
                service.refresh().await;
                tokio::time::sleep(PERIOD).await;
            }
        });
        let service = self.clone();
        tokio::spawn(async move {
            let mut after = 0;
            loop {
                match service.node.store.watch(LOG_PREFIX, after, WATCH_MS).await {
                    Ok(entries) => {
                        after = entries.last().map_or(after, |entry| entry.version);
                        for entry in entries {
                            service.apply(&entry.value);
                        }
                    }
                    Err(_) => tokio::time::sleep(PERIOD).await,
                }
            }
        });
    }

    async fn refresh(&self) {
        let _ = self.node.instances.announce(&self.node.own).await;
        let Ok(listed) = self.node.instances.list().await else { return };
        let mut names: Vec<_> = listed
            .iter()
            .filter(|instance| instance.domain == self.node.own.domain)
            .map(|instance| instance.name.clone())
            .collect();
        names.sort();
        for domain in &self.node.settings.domains {
            let first = listed
                .iter()
                .filter(|instance| instance.domain.as_str() == domain)
                .map(|instance| instance.name.clone())
                .min();
            self.node.directory.set_lead(&domain.as_str().into(), first);
        }
        self.node.directory.set_instances(listed);
        if names.first() == Some(&self.node.own.name) {
            let until = self.node.clock.now() + Duration::from_secs(3);
            let term = LeadTerm { epoch: 1, valid_until: until, full_until: until };
            self.node.lead.set(term);
        }
    }

    fn apply(&self, value: &Bytes) {
        let Ok(change) = serde_json::from_slice::<Change>(value) else { return };
        if let Ok(next) = self.node.config.current().apply(&change) {
            self.node.config.set(Arc::new(next));
            self.changed.notify_waiters();
        }
    }
}

#[async_trait::async_trait]
impl ConfigWriter for MembershipService {
    async fn submit(
        &self,
        author: &str,
        against: Revision,
        operations: Vec<Operation>,
    ) -> Result<Change> {
        let current = self.node.config.current();
        current.validate(&operations)?;
        let change = Change {
            revision: against + 1,
            token: format!("{:016x}", rand::random::<u64>()),
            author: author.to_owned(),
            at_ms: self.node.clock.wall_ms(),
            operations,
        };
        let value = serde_json::to_vec(&change)
            .map_err(|error| Error::Internal { detail: error.to_string() })?;
        let key = format!("{LOG_PREFIX}{:020}", change.revision);
        match self.node.store.put(&key, Bytes::from(value), Expect::Absent).await {
            Ok(_) => {
                let mut revisions = self.node.config.subscribe();
                let _ = revisions.wait_for(|revision| *revision >= change.revision).await;
                Ok(change)
            }
            Err(StoreError::Conflict) => Err(Error::RevisionConflict {
                against,
                current: current.revision(),
                winner: "another operator".to_owned(),
            }),
            Err(error) => Err(Error::StoreUnavailable { detail: error.to_string() }),
        }
    }
}
