//! Takes and keeps a seat of a hub in the store.
//!
//! A seat is no exclusive right: two holders of one do no harm. It only limits how many hubs a failure
//! domain has, and names them to started instances.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_fleet::HUB_SEATS;
use sesamewall_fleet::HubWord;
use sesamewall_fleet::SeatSettings;
use sesamewall_ports::CommitResult;
use sesamewall_ports::Page;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::StoredItem;
use sesamewall_ports::Transaction;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;

use crate::Node;
use crate::control::Control;

/// Start of the keys of hubs: `DOMAIN/NUMBER` for a seat, `DOMAIN/size` for the size of the domain.
const HUB_PREFIX: &str = "sesamewall/hub/";

/// Time between two looks at the own seat and at free ones.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a changed size of the failure domain has to last before it is written.
const SIZE_TIME: Duration = Duration::from_secs(3);

/// Time between two tries to read the seats at the start.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// A seat as the store has it.
#[derive(Clone, Debug)]
struct Seat {
    hub: HubWord,
    number: usize,
    revision: u64,
}

/// What the store says about hubs.
#[derive(Clone, Debug, Default)]
struct Seats {
    seats: Vec<Seat>,
    sizes: Vec<(DomainName, u32, u32)>,
}

impl Seats {
    fn read(items: &[StoredItem]) -> Self {
        let mut seats = Self::default();
        for item in items {
            seats.on_item(item);
        }
        seats
    }

    fn on_item(&mut self, item: &StoredItem) {
        let Some((domain, kind)) =
            item.key.strip_prefix(HUB_PREFIX).and_then(|rest| rest.rsplit_once('/'))
        else {
            return;
        };
        let domain = DomainName::from(domain);
        let text = String::from_utf8_lossy(&item.value).into_owned();
        let Some((first, second)) = text.split_once(' ') else { return };
        if let (Ok(number), Ok(address)) = (kind.parse::<usize>(), second.parse::<IpAddr>()) {
            let name = InstanceName::from(first);
            let hub = HubWord { name, address, domain, store: true, draining: false };
            self.seats.push(Seat { hub, number, revision: item.revision });
        } else if let (Ok(fronts), Ok(all)) = (first.parse(), second.parse()) {
            self.sizes.push((domain, fronts, all));
        }
    }
}

/// Takes a seat if one is free, keeps it, and watches for free ones.
pub async fn keep(control: Arc<Control>) {
    let node = control.node.clone();
    let settings = SeatSettings::default();
    let seats = first_look(&control).await;
    let own = |seat: &&Seat| seat.hub.name == node.machine.instance;
    let former = seats.seats.iter().find(own).cloned();
    let size = seats.sizes.iter().find(|(domain, ..)| *domain == node.machine.domain);
    let written = size.map(|(_, fronts, all)| (*fronts, *all));
    let mut keeper = Keeper { control, settings, lease: 0, size: None, written, vacant: None };
    match former {
        Some(seat) => {
            // The process was restarted: its members look for it at once.
            keeper.become_hub();
            keeper.claim(seat.number, seat.revision).await;
        }
        None => {
            tokio::time::sleep(keeper.wait()).await;
            keeper.look_for_seat().await;
        }
    }
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        if node.is_draining() {
            continue;
        }
        let hub = node.state().peers.is_hub();
        match hub {
            true => keeper.look_as_hub().await,
            false => keeper.look_as_member().await,
        }
    }
}

/// Reads the seats at the start of the process. A stale read is enough: seats are taken under a
/// condition.
async fn first_look(control: &Control) -> Seats {
    let node = &control.node;
    loop {
        match node.store.stale_page(HUB_PREFIX).await {
            Ok(page) => {
                node.on_store(true, &"");
                return learn(node, &page);
            }
            Err(error) => {
                if error != StoreError::RateLimited {
                    node.on_store(false, &error);
                }
            }
        }
        // Another instance may have named the hubs meanwhile.
        let now = node.now();
        let known = node.state().peers.home(now).is_some();
        if known {
            return Seats::default();
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
}

fn learn(node: &Node, page: &Page) -> Seats {
    let seats = Seats::read(&page.items);
    let hubs: Vec<HubWord> = seats.seats.iter().map(|seat| seat.hub.clone()).collect();
    let fronts = seats.sizes.iter().map(|(_, fronts, _)| fronts).sum();
    let all = seats.sizes.iter().map(|(_, _, all)| all).sum();
    let mut state = node.state();
    state.peers.on_hubs(&hubs);
    state.peers.on_size(fronts, all);
    drop(state);
    node.changed.notify_one();
    seats
}

struct Keeper {
    control: Arc<Control>,
    settings: SeatSettings,
    /// Lease of the own seat; 0 without one.
    lease: u64,
    /// Size of the failure domain that is to be written, and since when.
    size: Option<((u32, u32), Time)>,
    /// Size of the failure domain as the store has it.
    written: Option<(u32, u32)>,
    /// Since when the failure domain has a free seat.
    vacant: Option<Time>,
}

impl Keeper {
    fn node(&self) -> &Arc<Node> {
        &self.control.node
    }

    fn wait(&self) -> Duration {
        let machine = &self.node().machine;
        let wait = self.settings.wait(machine.callers.is_some(), machine.cpu_share, rand::random());
        match machine.first_start {
            true => wait,
            // Others have waited for this process, or nobody knows anybody.
            false => wait / 4,
        }
    }

    fn become_hub(&self) {
        let node = self.node();
        let before = node.state().peers.is_hub();
        if !before {
            node.state().peers.set_hub(true);
            // Until the other hubs are heard it reads for itself.
            node.set_watches(true);
            info!(node.log, "instance is a hub"; "domain" => %node.machine.domain);
            node.changed.notify_one();
        }
    }

    fn become_member(&self) {
        let node = self.node();
        node.state().peers.set_hub(false);
        node.set_watches(false);
        info!(node.log, "instance is a member"; "domain" => %node.machine.domain);
        node.changed.notify_one();
    }

    fn key(&self, kind: &str) -> String {
        format!("{HUB_PREFIX}{}/{kind}", self.node().machine.domain)
    }

    /// Returns the number of hubs that are known in the own failure domain.
    fn near_hubs(&self) -> usize {
        let node = self.node();
        let now = node.now();
        let hubs = node.state().peers.hubs(now);
        hubs.iter().filter(|hub| hub.domain == node.machine.domain && !hub.draining).count()
    }

    /// Reads the seats and takes a free one, unless enough hubs are known.
    async fn look_for_seat(&mut self) {
        if self.near_hubs() >= HUB_SEATS {
            return;
        }
        let node = self.node().clone();
        match node.store.page(HUB_PREFIX, None).await {
            Ok(page) => {
                let seats = learn(&node, &page);
                self.claim_free(&seats).await;
            }
            Err(error) => node.on_store(false, &error),
        }
    }

    /// Takes a free seat. Returns false if there is none.
    async fn claim_free(&mut self, seats: &Seats) -> bool {
        let domain = &self.node().machine.domain;
        let taken: Vec<usize> = seats
            .seats
            .iter()
            .filter(|seat| seat.hub.domain == *domain)
            .map(|seat| seat.number)
            .collect();
        for number in (0..HUB_SEATS).filter(|number| !taken.contains(number)) {
            if self.claim(number, 0).await {
                return true;
            }
        }
        false
    }

    /// Takes a seat under the condition that its key has this revision. Returns whether it is the own
    /// one now.
    async fn claim(&mut self, number: usize, revision: u64) -> bool {
        let node = self.node().clone();
        let lease = match self.control.lease.obtain(&node).await {
            Ok(lease) => lease,
            Err(error) => {
                node.on_store(false, &error);
                return false;
            }
        };
        let key = self.key(&number.to_string());
        let value = Bytes::from(format!("{} {}", node.machine.instance, node.machine.ip));
        let writes = vec![StoreWrite { key: key.clone(), value: value.clone(), lease }];
        let expect = vec![(key.clone(), revision)];
        let transaction = Transaction { expect, writes, removes: Vec::new() };
        match node.store.commit(&transaction).await {
            Ok(CommitResult::Done(_)) => {}
            Ok(CommitResult::Conflict(items)) => {
                let mine = items.iter().any(|item| item.key == key && item.value == value);
                let seats = Seats::read(&items);
                let hubs: Vec<HubWord> = seats.seats.into_iter().map(|seat| seat.hub).collect();
                node.state().peers.on_hubs(&hubs);
                node.changed.notify_one();
                if !mine {
                    return false;
                }
            }
            Ok(CommitResult::LeaseGone) => return false,
            Err(error) => {
                if error != StoreError::RateLimited {
                    node.on_store(false, &error);
                }
                return false;
            }
        }
        self.lease = lease;
        info!(node.log, "seat taken"; "seat" => key, "lease" => lease);
        self.become_hub();
        // Hubs that took their seats in the same moment are not known yet.
        match node.store.page(HUB_PREFIX, None).await {
            Ok(page) => {
                learn(&node, &page);
            }
            Err(error) => node.on_store(false, &error),
        }
        true
    }

    /// Takes a seat again after its lease has ended, or becomes a member if others have taken all.
    async fn look_as_hub(&mut self) {
        let node = self.node().clone();
        let lease = self.control.lease.number();
        if self.lease == 0 || self.lease != lease {
            let seats = match node.store.page(HUB_PREFIX, None).await {
                Ok(page) => learn(&node, &page),
                Err(error) => {
                    // A hub without a seat goes on: others know it.
                    node.on_store(false, &error);
                    return;
                }
            };
            let own = |seat: &&Seat| seat.hub.name == node.machine.instance;
            let former = seats.seats.iter().find(own).cloned();
            let taken = match former {
                Some(seat) => self.claim(seat.number, seat.revision).await,
                None => self.claim_free(&seats).await,
            };
            let full = seats.seats.iter().filter(|seat| seat.hub.domain == node.machine.domain);
            if !taken && full.count() >= HUB_SEATS {
                self.become_member();
            }
            return;
        }
        self.write_size().await;
    }

    /// Writes the size of the failure domain if it has changed, as the hub with the lowest name there.
    async fn write_size(&mut self) {
        let node = self.node().clone();
        let now = node.now();
        let (size, writes) = {
            let state = node.state();
            let near: Vec<_> = state
                .peers
                .hub_contacts(now)
                .filter(|contact| contact.beacon.hub.domain == node.machine.domain)
                .collect();
            let own = state.peers.group(now);
            let members = near.iter().flat_map(|contact| contact.beacon.members.iter());
            let all: Vec<bool> =
                members.chain(own.members.iter()).map(|member| member.front).collect();
            let fronts = all.iter().filter(|front| **front).count() as u32;
            let lowest = near.iter().all(|near| near.beacon.hub.name > node.machine.instance);
            ((fronts, all.len() as u32), lowest && own.missing.is_empty())
        };
        match self.size {
            Some((known, _)) if known == size => {}
            _ => self.size = Some((size, now)),
        }
        let Some((_, since)) = self.size else { return };
        if !writes || self.written == Some(size) || now.since(since) < SIZE_TIME {
            return;
        }
        let value = Bytes::from(format!("{} {}", size.0, size.1));
        let key = self.key("size");
        let writes = vec![StoreWrite { key, value, lease: 0 }];
        let transaction = Transaction { expect: Vec::new(), writes, removes: Vec::new() };
        match node.store.commit(&transaction).await {
            Ok(_) => {
                self.written = Some(size);
                info!(node.log, "size written"; "fronts" => size.0, "instances" => size.1);
            }
            Err(error) => warn!(node.log, "size not written"; "error" => %error),
        }
    }

    /// Takes a seat that has been free for a while.
    async fn look_as_member(&mut self) {
        let node = self.node().clone();
        let now = node.now();
        if self.near_hubs() >= HUB_SEATS {
            self.vacant = None;
            return;
        }
        // Those that wait longer see the seat taken.
        let since = *self.vacant.get_or_insert(now + self.wait() * 4);
        if now < since || now.since(since) < self.settings.vacant_time {
            return;
        }
        self.vacant = None;
        self.look_for_seat().await;
    }
}
