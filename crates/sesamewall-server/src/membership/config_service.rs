//! Maintains the configuration of this instance: reads the configuration log, and writes operators'
//! changes and snapshots.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use sesamewall_membership::ChangeRequest;
use sesamewall_membership::ChangeWriter;
use sesamewall_membership::ConfigAction;
use sesamewall_membership::ConfigFollower;
use sesamewall_membership::SnapshotPlan;
use sesamewall_membership::WriteAction;
use sesamewall_membership::log_format;
use sesamewall_membership::log_format::SnapshotHead;
use sesamewall_membership::snapshot_due;
use sesamewall_ports::Precondition;
use sesamewall_ports::StoreError;
use sesamewall_protocol::Change;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Operation;
use sesamewall_protocol::Result;
use sesamewall_protocol::Revision;
use sesamewall_protocol::peer::MembershipMessage;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;

use crate::ConfigWriter;
use crate::InstanceContext;

/// Longest wait of one watch call, in milliseconds. It is long because a waiting watch counts as
/// one store call.
const WATCH_MS: u64 = 10_000;
/// Longest wait for an accepted change to be in force at its writer, and the interval of the
/// checks.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
const IN_FORCE_INTERVAL: Duration = Duration::from_millis(5);
const RETRY_DELAY: Duration = Duration::from_millis(500);
const LIST_LIMIT: usize = 512;

/// A message that [`MembershipService`](super::MembershipService) must send.
#[derive(Debug)]
pub enum Outgoing {
    /// To one instance.
    To(InstanceName, MembershipMessage),
    /// To all instances of the local failure domain and the leads of the others, after a change was
    /// written here or came into force while this instance is lead.
    Push(MembershipMessage),
}

/// Reads and writes the configuration log.
pub struct ConfigService {
    context: Arc<InstanceContext>,
    follower: Mutex<ConfigFollower>,
    outgoing: mpsc::UnboundedSender<Outgoing>,
}

impl ConfigService {
    /// Creates the service and returns the receiver of the messages to be sent.
    pub fn new(context: Arc<InstanceContext>) -> (Arc<Self>, mpsc::UnboundedReceiver<Outgoing>) {
        let (outgoing, receiver) = mpsc::unbounded_channel();
        (Arc::new(Self { context, follower: Mutex::default(), outgoing }), receiver)
    }

    /// Starts the background tasks.
    pub fn spawn(self: &Arc<Self>) {
        let service = self.clone();
        let watch = async move { service.watch_log().await };
        self.context.tasks.spawn_essential("configuration log", watch);
    }

    /// Applies changes or a chunk of a snapshot from another instance.
    pub fn on_message(&self, message: &MembershipMessage) {
        match message {
            MembershipMessage::ConfigDiff { changes } => self.add_changes(changes.clone()),
            MembershipMessage::ConfigSnapshot { chunk } => {
                let actions = self.lock().add_chunk(chunk);
                self.act(actions);
            }
            _ => {}
        }
    }

    /// Records the revision that another instance has in force, and requests what is missing here.
    pub fn on_peer_revision(&self, from: &InstanceName, revision: Revision) {
        let actions = self.lock().on_peer_revision(self.context.clock.now(), from, revision);
        self.act(actions);
    }

    /// Returns the messages with the changes after revision `after`, or with a snapshot.
    pub fn changes_since(&self, after: Revision) -> Vec<MembershipMessage> {
        self.lock().changes_since(after)
    }

    fn add_changes(&self, changes: Vec<Change>) {
        let actions = self.lock().add_changes(changes);
        self.act(actions);
    }

    fn act(&self, actions: Vec<ConfigAction>) {
        let now = self.context.clock.now();
        let lead = self.context.lead.valid(now).is_some();
        for action in actions {
            match action {
                ConfigAction::Applied(configuration) => {
                    let revision = configuration.revision();
                    self.context.config.set(Arc::new(configuration));
                    self.context.metrics.set_level("revision", revision);
                    self.context.metrics.changes.with_label_values(&["configuration"]).inc();
                    info!(self.context.log, "configuration in force"; "revision" => revision);
                    if lead {
                        self.push(revision);
                    }
                }
                ConfigAction::Request { to, message } => {
                    let _ = self.outgoing.send(Outgoing::To(to, message));
                }
                ConfigAction::Skipped { revision, error } => {
                    warn!(self.context.log, "operations of a change are not allowed here";
                        "revision" => revision, "error" => error.to_string());
                }
            }
        }
    }

    fn push(&self, revision: Revision) {
        let messages = self.lock().changes_since(revision - 1);
        for message in messages {
            let _ = self.outgoing.send(Outgoing::Push(message));
        }
    }

    /// Reads the log at the start, then watches it while this instance is lead.
    async fn watch_log(&self) {
        let mut started = false;
        let mut after = 0;
        loop {
            if !started {
                started = self.load().await.is_ok();
            }
            let lead = self.context.lead.valid(self.context.clock.now()).is_some();
            if !lead || !started {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            match self.context.store.watch(log_format::CHANGE_PREFIX, after, WATCH_MS).await {
                Ok(entries) => {
                    after = entries.last().map_or(after, |entry| entry.version);
                    let decoded =
                        entries.iter().map(|entry| log_format::decode_change(&entry.value));
                    self.add_changes(decoded.filter_map(Result::ok).collect());
                    if self.lock().has_gap() {
                        started = false;
                    }
                }
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Loads the newest snapshot and the changes after it.
    async fn load(&self) -> std::result::Result<(), StoreError> {
        if let Some((head, _)) = self.snapshot_head().await? {
            for part in 0..head.parts {
                let key = log_format::chunk_key(head.revision, part);
                if let Some(chunk) = self.context.store.get(&key).await? {
                    let text = String::from_utf8_lossy(&chunk.value).into_owned();
                    let actions = self.lock().add_chunk(&text);
                    self.act(actions);
                }
            }
        }
        loop {
            let revision = self.lock().config().revision();
            let after = log_format::change_key(revision);
            let found =
                self.context.store.list(log_format::CHANGE_PREFIX, &after, LIST_LIMIT).await?;
            let decoded = found.iter().map(|entry| log_format::decode_change(&entry.value));
            self.add_changes(decoded.filter_map(Result::ok).collect());
            if found.len() < LIST_LIMIT || self.lock().config().revision() == revision {
                self.context.config.set_loaded();
                return Ok(());
            }
        }
    }

    async fn snapshot_head(&self) -> std::result::Result<Option<(SnapshotHead, u64)>, StoreError> {
        let found = self.context.store.get(log_format::SNAPSHOT_HEAD).await?;
        Ok(found
            .and_then(|entry| Some((serde_json::from_slice(&entry.value).ok()?, entry.version))))
    }

    /// Stores a snapshot if the last one is too old. A failure is harmless, because the next writer
    /// retries.
    async fn store_snapshot(&self) -> std::result::Result<(), StoreError> {
        let configuration = self.lock().config().clone();
        if !configuration.revision().is_multiple_of(log_format::SNAPSHOT_INTERVAL / 4) {
            return Ok(());
        }
        let newest = self.snapshot_head().await?;
        if !snapshot_due(configuration.revision(), newest.map(|(head, _)| head)) {
            return Ok(());
        }
        let plan = SnapshotPlan::new(&configuration, newest.map(|(head, _)| head))
            .map_err(|_| StoreError::TooLarge)?;
        for (key, value) in plan.chunks {
            match self.context.store.put(&key, Bytes::from(value), Precondition::Absent).await {
                Ok(_) | Err(StoreError::Conflict) => {}
                Err(error) => return Err(error),
            }
        }
        let expect =
            newest.map_or(Precondition::Absent, |(_, version)| Precondition::Version(version));
        let value = serde_json::to_vec(&plan.head).map_err(|_| StoreError::TooLarge)?;
        self.context.store.put(log_format::SNAPSHOT_HEAD, Bytes::from(value), expect).await?;
        for key in plan.delete {
            if let Some(entry) = self.context.store.get(&key).await? {
                let _ = self.context.store.delete(&key, entry.version).await;
            }
        }
        Ok(())
    }

    async fn write(&self, mut writer: ChangeWriter, mut action: WriteAction) -> Result<Change> {
        loop {
            action = match action {
                WriteAction::Create { key, value } => {
                    let value = Bytes::from(value);
                    writer
                        .on_written(self.context.store.put(&key, value, Precondition::Absent).await)
                }
                WriteAction::Read { key } => {
                    let found = self.context.store.get(&key).await;
                    let value = match &found {
                        Ok(found) => Ok(found.as_ref().map(|entry| entry.value.as_ref())),
                        Err(error) => Err(error.clone()),
                    };
                    writer.on_read(value)
                }
                WriteAction::Accepted(change) => return Ok(change),
                WriteAction::Refused(error) => return Err(error),
            };
        }
    }

    /// Waits until a revision is in force. The watch may have received it just before and not have
    /// applied it yet, or an earlier revision of another instance may not have arrived.
    async fn wait_in_force(&self, revision: Revision) {
        while self.context.config.current().revision() < revision {
            tokio::time::sleep(IN_FORCE_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConfigFollower> {
        self.follower.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl ConfigWriter for ConfigService {
    async fn submit(
        &self,
        author: &str,
        against: Revision,
        operations: Vec<Operation>,
    ) -> Result<Change> {
        let request = ChangeRequest {
            against,
            token: format!("{:032x}", rand::random::<u128>()),
            author: author.to_owned(),
            at_ms: self.context.clock.wall_ms(),
            operations,
        };
        let started = ChangeWriter::start(&self.lock(), request, true);
        let (writer, action) = started?;
        let change = self.write(writer, action).await?;
        self.add_changes(vec![change.clone()]);
        let message = MembershipMessage::ConfigDiff { changes: vec![change.clone()] };
        let _ = self.outgoing.send(Outgoing::Push(message));
        if let Err(error) = self.store_snapshot().await {
            warn!(self.context.log, "snapshot not stored"; "error" => error.to_string());
        }
        match tokio::time::timeout(IN_FORCE_TIMEOUT, self.wait_in_force(change.revision)).await {
            Ok(()) => Ok(change),
            Err(_) => Err(Error::Internal {
                detail: format!(
                    "revision {} is accepted and not yet in force here",
                    change.revision
                ),
            }),
        }
    }
}
