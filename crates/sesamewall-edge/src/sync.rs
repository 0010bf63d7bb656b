//! Follows the operators' keys and the targets' entries in the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_platform::OPERATOR_PREFIX;
use sesamewall_platform::OperatorKey;
use sesamewall_platform::TARGET_PREFIX;
use sesamewall_platform::decode_catalog;
use sesamewall_platform::decode_target;
use sesamewall_platform::operator_key;
use sesamewall_platform::retirement_status;
use sesamewall_ports::Page;
use sesamewall_ports::StoreChange;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::StoredItem;
use sesamewall_ports::Transaction;
use sesamewall_ports::Watched;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use slog::info;
use slog::warn;

use crate::Node;

/// Longest wait of one watch. A silent connection is noticed after it, or earlier when another
/// instance knows more.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time within which a watch brings the news that another instance has named.
const NEWS_TIME: Duration = Duration::from_millis(300);

/// Shortest and longest pause after a failed call.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Longest time for which a follower trusts that the keeper of the lease notices the store's return.
const BLIND_PAUSE: Duration = Duration::from_secs(3);

/// Handles what a follower reads.
pub trait Follow: Send {
    /// Takes over a complete read.
    fn replace(&mut self, items: Vec<StoredItem>, revision: u64);
    /// Takes over changes.
    fn apply(&mut self, changes: Vec<StoreChange>, revision: u64);
}

/// Reads all items of a prefix. The revision is that of the first page, so that changes during the
/// read are seen again by the watch.
async fn read_all(node: &Node, prefix: &str) -> Result<(Vec<StoredItem>, u64), StoreError> {
    let mut items: Vec<StoredItem> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let Page { items: page, more, revision: at } =
            node.store.page(prefix, after.as_deref()).await?;
        revision.get_or_insert(at);
        let empty = page.is_empty();
        items.extend(page);
        if !more || empty {
            return Ok((items, revision.unwrap_or(at)));
        }
    }
}

/// Follows a prefix of the store for ever. After a gap everything is read again. `pace` is the
/// shortest time between two watches.
pub async fn follow(node: Arc<Node>, prefix: &'static str, pace: Duration, mut to: impl Follow) {
    let (shortest, longest) = RETRY_PAUSE;
    let mut pause = shortest;
    let mut revision = None;
    loop {
        let result = match revision {
            None => read_all(&node, prefix).await.map(|(items, at)| {
                to.replace(items, at);
                Some(at)
            }),
            Some(at) => {
                let watch = node.store.changes(prefix, at, WATCH_WAIT);
                let behind = async {
                    loop {
                        node.behind.notified().await;
                        tokio::time::sleep(NEWS_TIME).await;
                        if node.state().is_behind() {
                            return;
                        }
                    }
                };
                tokio::select! {
                    result = watch => result.map(|watched| match watched {
                        Watched::Changes { changes, revision } => {
                            if !changes.is_empty() {
                                to.apply(changes, revision);
                            }
                            Some(revision)
                        }
                        Watched::HistoryGone => {
                            info!(node.log, "history gone"; "prefix" => prefix, "revision" => at);
                            None
                        }
                    }),
                    () = behind => Ok(Some(at)),
                }
            }
        };
        match result {
            Ok(at) => {
                node.on_store(true, &"");
                revision = at;
                pause = shortest;
                if !pace.is_zero() {
                    tokio::time::sleep(pace).await;
                }
            }
            Err(error) => {
                if error != StoreError::RateLimited {
                    node.on_store(false, &error);
                }
                tokio::time::sleep(pause).await;
                node.store_answers(BLIND_PAUSE).await;
                pause = (pause * 2).min(longest);
            }
        }
    }
}

/// Takes over the operators' keys.
pub struct Operators {
    node: Arc<Node>,
    evacuated: BTreeSet<DomainName>,
    /// Highest revision of a key that was read.
    revision: u64,
}

impl Operators {
    /// Creates the follower of the operators' keys.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node, evacuated: BTreeSet::new(), revision: 0 }
    }

    fn written(&mut self, item: &StoredItem) {
        match operator_key(&item.key) {
            Some(OperatorKey::Configuration) => apply_configuration(&self.node, &item.value),
            Some(OperatorKey::Evacuation(domain)) => {
                self.evacuated.insert(domain);
            }
            Some(OperatorKey::Retirement(instance)) => self.retire(instance),
            None => {}
        }
        self.revision = self.revision.max(item.revision);
    }

    /// Reports a worker machine as empty: nothing on its disk has to last.
    fn retire(&self, instance: InstanceName) {
        if instance != self.node.machine.instance && !self.node.machine.worker {
            return;
        }
        let own = instance == self.node.machine.instance;
        let node = self.node.clone();
        tokio::spawn(async move {
            // The machine itself reports first; others stand in for one that is down.
            let wait = if own { Duration::ZERO } else { Duration::from_millis(1500) };
            tokio::time::sleep(wait).await;
            if own {
                node.draining.store(true, std::sync::atomic::Ordering::Relaxed);
            }
            let (key, value) = retirement_status(&instance);
            let transaction = Transaction {
                expect: vec![(key.clone(), 0)],
                writes: vec![StoreWrite { key, value: Bytes::from_static(value), lease: 0 }],
                removes: Vec::new(),
            };
            for _ in 0..20 {
                match node.store.commit(&transaction).await {
                    Ok(end) => {
                        info!(node.log, "retirement reported"; "machine" => %instance,
                            "end" => format!("{end:?}"));
                        return;
                    }
                    Err(error) => node.on_store(false, &error),
                }
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            warn!(node.log, "retirement not reported"; "machine" => %instance);
        });
    }

    fn finish(&self, revision: u64) {
        let mut state = self.node.state();
        if state.targets.evacuated() != &self.evacuated {
            let list: Vec<_> = self.evacuated.iter().map(ToString::to_string).collect();
            info!(self.node.log, "evacuated failure domains"; "domains" => list.join(","),
                "revision" => revision);
            state.targets.set_evacuated(self.evacuated.clone());
        }
        state.notices = state.notices.max(self.revision);
        drop(state);
        self.node.changed.notify_one();
    }
}

impl Follow for Operators {
    fn replace(&mut self, items: Vec<StoredItem>, revision: u64) {
        self.evacuated.clear();
        for item in &items {
            self.written(item);
        }
        self.finish(revision);
    }

    fn apply(&mut self, changes: Vec<StoreChange>, revision: u64) {
        for change in changes {
            match change {
                StoreChange::Written(item) => self.written(&item),
                StoreChange::Removed { key, .. } => {
                    if let Some(OperatorKey::Evacuation(domain)) = operator_key(&key) {
                        self.evacuated.remove(&domain);
                    }
                }
            }
        }
        self.finish(revision);
    }
}

/// Puts a configuration in force unless it is older than the present one.
pub fn apply_configuration(node: &Node, value: &[u8]) {
    let catalog = match decode_catalog(value) {
        Ok(catalog) => catalog,
        Err(error) => {
            warn!(node.log, "configuration cannot be read"; "error" => error);
            return;
        }
    };
    let now = node.now();
    let mut state = node.state();
    let present = state.catalog.as_ref().map(|catalog| catalog.version);
    if present.is_some_and(|present| present >= catalog.version) {
        return;
    }
    info!(node.log, "configuration in force"; "version" => catalog.version, "before" => present);
    state.rates.configure(&catalog, node.machine.first_start, now);
    state.catalog = Some(Arc::new(catalog));
}

/// Takes over the targets' entries.
pub struct Targets {
    node: Arc<Node>,
}

impl Targets {
    /// Creates the follower of the targets' entries.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

fn name_of(key: &str) -> sesamewall_protocol::TargetName {
    sesamewall_protocol::TargetName::from(key.strip_prefix(TARGET_PREFIX).unwrap_or(key))
}

impl Follow for Targets {
    fn replace(&mut self, items: Vec<StoredItem>, revision: u64) {
        let entry = |item: &StoredItem| match decode_target(&item.key, &item.value) {
            Ok(entry) => Some(entry),
            Err(error) => {
                warn!(self.node.log, "target entry cannot be read"; "key" => &item.key,
                    "error" => error, "revision" => item.revision);
                None
            }
        };
        let entries: Vec<_> = items.iter().filter_map(entry).collect();
        info!(self.node.log, "targets read"; "targets" => entries.len(), "revision" => revision);
        let now = self.node.now();
        self.node.state().targets.replace(entries, now);
    }

    fn apply(&mut self, changes: Vec<StoreChange>, revision: u64) {
        let now = self.node.now();
        for change in changes {
            match change {
                StoreChange::Written(item) => match decode_target(&item.key, &item.value) {
                    Ok(entry) => {
                        let mut state = self.node.state();
                        let known = state.targets.get(&entry.name).map(|known| &known.entry);
                        if known != Some(&entry) {
                            info!(self.node.log, "target changed"; "target" => %entry.name,
                                "draining" => entry.draining, "revision" => item.revision);
                        }
                        state.targets.upsert(entry);
                    }
                    Err(error) => {
                        warn!(self.node.log, "target entry cannot be read"; "key" => &item.key,
                            "error" => error, "revision" => item.revision);
                        self.node.state().targets.remove(&name_of(&item.key), now);
                    }
                },
                StoreChange::Removed { key, .. } => {
                    info!(self.node.log, "target entry gone"; "target" => %name_of(&key),
                        "revision" => revision);
                    self.node.state().targets.remove(&name_of(&key), now);
                }
            }
        }
    }
}

/// Starts following the operators' keys and the targets.
pub fn spawn(node: &Arc<Node>) {
    /// Shortest time between two watches of the targets: each change costs a call, and a change has
    /// two seconds to be in force.
    const TARGET_PACE: Duration = Duration::from_millis(600);
    let operators = Operators::new(node.clone());
    tokio::spawn(follow(node.clone(), OPERATOR_PREFIX, Duration::ZERO, operators));
    let targets = Targets::new(node.clone());
    tokio::spawn(follow(node.clone(), TARGET_PREFIX, TARGET_PACE, targets));
}
