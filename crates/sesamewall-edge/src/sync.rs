//! Follows the operators' keys and the targets' entries in the store, in one hub of each failure domain.

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
use sesamewall_ports::WatchResult;
use sesamewall_protocol::InstanceName;
use slog::info;
use slog::warn;

use crate::Node;
use crate::feed;
use crate::node::Notices;

/// Longest wait of one watch. A silent connection is noticed after it, or earlier when another
/// instance knows more.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time within which a watch brings the news that another instance has named.
const NEWS_TIME: Duration = Duration::from_millis(300);

/// Shortest and longest pause after a failed call.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// Longest time for which a follower trusts that the keeper of the lease notices the store's return.
const BLIND_PAUSE: Duration = Duration::from_secs(3);

/// Time between two looks at whether a follower is wanted.
const WANTED_LOOK: Duration = Duration::from_millis(250);

/// Handles what a follower reads.
pub trait Follow: Send {
    /// Tells whether the instance has to follow the store itself.
    fn wanted(&self) -> bool;
    /// Notes that the store is no longer followed; a complete read comes before the next changes.
    fn stopped(&mut self) {}
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

/// Follows a prefix of the store while `to` wants it. After a gap everything is read again. `pace` is
/// the shortest time between two watches.
pub async fn follow(node: Arc<Node>, prefix: &'static str, pace: Duration, mut to: impl Follow) {
    let (shortest, longest) = RETRY_PAUSE;
    let mut pause = shortest;
    let mut revision = None;
    loop {
        if !to.wanted() {
            if revision.take().is_some() {
                to.stopped();
            }
            let _ = tokio::time::timeout(WANTED_LOOK, node.duty.notified()).await;
            continue;
        }
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
                        let now = node.now();
                        let state = node.state();
                        if state.versions.is_behind(&state.sources.highest(now)) {
                            return;
                        }
                    }
                };
                tokio::select! {
                    result = watch => result.map(|watched| match watched {
                        WatchResult::Changes { changes, revision } => {
                            if !changes.is_empty() {
                                to.apply(changes, revision);
                            }
                            Some(revision)
                        }
                        WatchResult::HistoryGone => {
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
    notices: Notices,
    /// Highest revision of a key that was read.
    revision: u64,
}

impl Operators {
    /// Creates the follower of the operators' keys.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node, notices: Notices::default(), revision: 0 }
    }

    fn written(&mut self, item: &StoredItem) {
        match operator_key(&item.key) {
            Some(OperatorKey::Configuration) => apply_configuration(&self.node, &item.value),
            Some(OperatorKey::Evacuation(domain)) => {
                self.notices.evacuated.insert(domain);
            }
            Some(OperatorKey::Retirement(instance)) => {
                self.notices.retiring.insert(instance);
            }
            None => {}
        }
        self.revision = self.revision.max(item.revision);
    }

    /// Puts the notices in force, unless another instance has told newer ones.
    fn finish(&self) {
        let mut state = self.node.state();
        if self.revision >= state.versions.notices && state.notices != self.notices {
            feed::set_notices(&self.node, &mut state, self.notices.clone(), self.revision);
            drop(state);
            retire(&self.node, &self.notices.retiring);
        } else {
            state.versions.notices = state.versions.notices.max(self.revision);
            drop(state);
        }
        self.node.changed.notify_one();
    }
}

impl Follow for Operators {
    fn wanted(&self) -> bool {
        self.node.watches()
    }

    fn replace(&mut self, items: Vec<StoredItem>, revision: u64) {
        let before = std::mem::take(&mut self.notices);
        for item in &items {
            self.written(item);
        }
        if before.evacuated.difference(&self.notices.evacuated).next().is_some() {
            // A key was removed, and its revision is not known.
            self.revision = self.revision.max(revision);
        }
        self.finish();
    }

    fn apply(&mut self, changes: Vec<StoreChange>, _revision: u64) {
        for change in changes {
            match change {
                StoreChange::Written(item) => self.written(&item),
                StoreChange::Removed { key, revision } => {
                    match operator_key(&key) {
                        Some(OperatorKey::Evacuation(domain)) => {
                            self.notices.evacuated.remove(&domain);
                        }
                        Some(OperatorKey::Retirement(instance)) => {
                            self.notices.retiring.remove(&instance);
                        }
                        _ => {}
                    }
                    self.revision = self.revision.max(revision);
                }
            }
        }
        self.finish();
    }
}

/// Time after which another worker reports for a machine that is about to be taken away and may be
/// down.
const STAND_IN_TIME: Duration = Duration::from_millis(2500);

/// Tries of the report about a retirement, and the pause between them.
const RETIRE_TRIES: (usize, Duration) = (20, Duration::from_millis(300));

/// Reports worker machines as empty: nothing on their disks has to last. The machine itself reports once
/// its items have made way; the hub that follows the store stands in for one that is down.
pub fn retire(node: &Arc<Node>, retiring: &BTreeSet<InstanceName>) {
    for instance in retiring {
        let own = *instance == node.machine.instance;
        if !own && !node.watches() {
            continue;
        }
        if own && node.retiring.swap(true, std::sync::atomic::Ordering::Relaxed) {
            continue;
        }
        tokio::spawn(report_retirement(node.clone(), instance.clone(), own));
    }
}

async fn report_retirement(node: Arc<Node>, instance: InstanceName, own: bool) {
    if own {
        node.draining.store(true, std::sync::atomic::Ordering::Relaxed);
        node.changed.notify_one();
        info!(node.log, "machine retires");
        let _ = tokio::time::timeout(STAND_IN_TIME * 2 / 3, node.emptied.notified()).await;
    } else {
        tokio::time::sleep(STAND_IN_TIME).await;
    }
    let (key, value) = retirement_status(&instance);
    let transaction = Transaction {
        expect: vec![(key.clone(), 0)],
        writes: vec![StoreWrite { key, value: Bytes::from_static(value), lease: 0 }],
        removes: Vec::new(),
    };
    let (tries, pause) = RETIRE_TRIES;
    for _ in 0..tries {
        match node.store.commit(&transaction).await {
            Ok(end) => {
                info!(node.log, "retirement reported"; "machine" => %instance,
                    "end" => format!("{end:?}"));
                return;
            }
            Err(error) => node.on_store(false, &error),
        }
        tokio::time::sleep(pause).await;
    }
    warn!(node.log, "retirement not reported"; "machine" => %instance);
}

/// Puts a configuration in force unless it is older than the present one.
pub fn apply_configuration(node: &Node, value: &Bytes) {
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
    state.targets.set_cold_time(catalog.cold_time());
    state.versions.config = catalog.version;
    state.catalog = Some(Arc::new(catalog));
    state.document = value.clone();
    drop(state);
    node.changed.notify_one();
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
    fn wanted(&self) -> bool {
        self.node.watches()
    }

    fn replace(&mut self, items: Vec<StoredItem>, revision: u64) {
        let entry = |item: &StoredItem| match decode_target(&item.key, &item.value) {
            Ok(entry) => Some((entry, item.revision)),
            Err(error) => {
                warn!(self.node.log, "target entry cannot be read"; "key" => &item.key,
                    "error" => error, "revision" => item.revision);
                None
            }
        };
        let entries: Vec<_> = items.iter().filter_map(entry).collect();
        info!(self.node.log, "targets read"; "targets" => entries.len(), "revision" => revision);
        let now = self.node.now();
        let mut state = self.node.state();
        // A key that is gone leaves no revision: the read's own one counts then.
        let gone = state
            .targets
            .iter()
            .any(|target| !entries.iter().any(|(entry, _)| entry.name == target.entry.name));
        let highest = items.iter().map(|item| item.revision).max().unwrap_or_default();
        let at = if gone { revision } else { highest };
        state.targets.replace(entries, now);
        state.versions.table = state.versions.table.max(feed::table_version(at));
        drop(state);
        self.node.changed.notify_one();
    }

    fn apply(&mut self, changes: Vec<StoreChange>, revision: u64) {
        let now = self.node.now();
        let mut highest = 0;
        for change in changes {
            match change {
                StoreChange::Written(item) => {
                    highest = highest.max(item.revision);
                    match decode_target(&item.key, &item.value) {
                        Ok(entry) => {
                            let mut state = self.node.state();
                            let known = state.targets.get(&entry.name).map(|known| &known.entry);
                            if known != Some(&entry) {
                                info!(self.node.log, "target changed"; "target" => %entry.name,
                                    "draining" => entry.draining, "revision" => item.revision);
                            }
                            state.targets.upsert(entry, item.revision, now);
                        }
                        Err(error) => {
                            warn!(self.node.log, "target entry cannot be read";
                                "key" => &item.key, "error" => error,
                                "revision" => item.revision);
                            self.node.state().targets.remove(&name_of(&item.key), now);
                        }
                    }
                }
                StoreChange::Removed { key, revision: at } => {
                    highest = highest.max(at);
                    let name = name_of(&key);
                    let lapsed = self.node.state().targets.remove(&name, now);
                    info!(self.node.log, "target entry gone"; "target" => %name,
                        "revision" => revision, "lapsed" => lapsed);
                }
            }
        }
        let mut state = self.node.state();
        state.versions.table = state.versions.table.max(feed::table_version(highest));
        drop(state);
        self.node.changed.notify_one();
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
    tokio::spawn(feed::follow_others(node.clone()));
}
