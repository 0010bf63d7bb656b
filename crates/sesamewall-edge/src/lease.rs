//! The lease of a process, under which it is registered and holds claims.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_ports::Committed;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::Transaction;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;

use crate::Node;
use crate::beacons::Directory;
use crate::job_keys::INSTANCE_PREFIX;

/// Life of the lease: a killed process's claims end after it.
const LEASE_LIFE: Duration = Duration::from_millis(3000);

/// Time between two renewals, so that two may fail.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);

/// Time between two reads of the registered instances.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, Default)]
struct Current {
    lease: u64,
    /// End by the own clock, counted from the sending of the last renewal.
    until: Time,
}

/// The lease of the process.
#[derive(Default)]
pub struct ProcessLease {
    current: Mutex<Current>,
}

impl ProcessLease {
    /// Returns the lease if it is surely still running at `now`.
    pub fn valid(&self, now: Time) -> Option<u64> {
        let current = *self.lock();
        (current.lease != 0 && now < current.until).then_some(current.lease)
    }

    /// Returns the lease, valid or not.
    pub fn number(&self) -> u64 {
        self.lock().lease
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Current> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, lease: u64, until: Time) {
        *self.lock() = Current { lease, until };
    }

    /// Ends the lease in the store; its keys are removed at once.
    pub async fn end(&self, node: &Node) {
        let lease = std::mem::take(&mut *self.lock()).lease;
        if lease != 0
            && let Err(error) = node.store.end_lease(lease).await
        {
            warn!(node.log, "lease not ended"; "lease" => lease, "error" => %error);
        }
    }

    async fn begin(&self, node: &Node) -> Result<(), StoreError> {
        let sent = node.now();
        let lease = node.store.new_lease(LEASE_LIFE.max(node.machine.min_lease)).await?;
        self.set(lease, sent + LEASE_LIFE);
        info!(node.log, "lease begun"; "lease" => lease);
        let key = format!("{INSTANCE_PREFIX}{}", node.machine.instance);
        let value = Bytes::from(node.machine.ip.to_string());
        let writes = vec![StoreWrite { key, value, lease }];
        let transaction = Transaction { expect: Vec::new(), writes, removes: Vec::new() };
        match node.store.commit(&transaction).await? {
            Committed::Done(_) => Ok(()),
            other => {
                warn!(node.log, "registration failed"; "end" => format!("{other:?}"));
                self.set(0, Time::ZERO);
                Ok(())
            }
        }
    }

    async fn renew(&self, node: &Node) -> Result<(), StoreError> {
        let lease = self.number();
        let sent = node.now();
        // While other instances help out, the store itself is tried once a round.
        let renewed = match node.store.probe(lease).await {
            Err(_) if node.store.is_relayed() => node.store.renew(lease).await?,
            direct => direct?,
        };
        if renewed {
            let mut current = self.lock();
            if current.lease == lease {
                current.until = sent + LEASE_LIFE;
            }
            return Ok(());
        }
        warn!(node.log, "lease lost"; "lease" => lease);
        self.set(0, Time::ZERO);
        self.begin(node).await
    }
}

/// Keeps the lease and the list of instances.
pub async fn keep(node: Arc<Node>, lease: Arc<ProcessLease>, directory: Arc<Directory>) {
    let mut listed = Time::ZERO;
    let mut rounds = 0;
    loop {
        if node.is_draining() && lease.number() == 0 {
            return;
        }
        let result = match lease.number() {
            0 => lease.begin(&node).await,
            _ => lease.renew(&node).await,
        };
        match &result {
            Ok(()) => node.on_store(true, &""),
            Err(StoreError::RateLimited) => {}
            Err(error) => node.on_store(false, error),
        }
        let now = node.now();
        // All processes of a fleet start within a second: the second list has them all.
        let due = now.since(listed) >= LIST_INTERVAL || rounds == 1;
        if result.is_ok() && due && list(&node, &directory).await.is_ok() {
            listed = now;
            rounds += 1;
        }
        let pause = if result.is_ok() { RENEW_INTERVAL } else { RENEW_INTERVAL / 3 };
        tokio::time::sleep(pause).await;
    }
}

async fn list(node: &Node, directory: &Directory) -> Result<(), StoreError> {
    let page = node.store.page(INSTANCE_PREFIX, None).await?;
    let instances: Vec<(InstanceName, IpAddr)> = page
        .items
        .iter()
        .filter_map(|item| {
            let name = InstanceName::from(item.key.strip_prefix(INSTANCE_PREFIX)?);
            let address = std::str::from_utf8(&item.value).ok()?.parse().ok()?;
            Some((name, address))
        })
        .filter(|(name, _)| *name != node.machine.instance)
        .collect();
    let now = node.now();
    let heard: Vec<InstanceName> =
        node.state().peers.contacts(now).map(|contact| contact.beacon.instance.clone()).collect();
    directory
        .retain(|name| heard.contains(name) || instances.iter().any(|(listed, _)| listed == name));
    for (name, address) in instances {
        directory.insert(name, address);
    }
    node.state().peers.set_registered(directory.names());
    // New instances wait for a word of all others.
    node.changed.notify_one();
    Ok(())
}
