//! Confirms the state that is read from the store: one hub reads it before it gets too old and tells
//! the others, and an instance that hears of no confirmation reads it itself.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_fleet::Confirmation;
use sesamewall_fleet::Datagram;
use sesamewall_fleet::DueReads;
use sesamewall_fleet::Reader;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Time;

use crate::InstanceContext;
use crate::State;
use crate::state_exchange::StateExchange;
use crate::store_watch;

/// Longest and shortest time between two checks whether something has to be read. Confirmations
/// that arrive meanwhile put the read off.
const CHECK_LIMITS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(250));

/// Longest time for which a read relies on the task that renews the lease to notice that the store
/// is reachable again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Progress after which a hub tells its members that its state was confirmed.
const ANNOUNCE_STEP: Duration = Duration::from_millis(200);

/// Reads the store whenever the state is too old, until the process ends.
pub async fn run(exchange: Arc<StateExchange>) {
    let context = exchange.context.clone();
    let (shortest, longest) = CHECK_LIMITS;
    loop {
        let now = context.now();
        let (due, wait) = {
            let state = context.state();
            let reader = reader(&context, &state, now);
            (state.freshness.due(reader, now), state.freshness.due_in(reader, now))
        };
        if due == DueReads::default() {
            announce_to_members(&exchange, now);
            tokio::time::sleep(wait.clamp(shortest, longest)).await;
            continue;
        }
        if store_watch::read_due(&context, due).await {
            announce(&exchange);
        } else {
            let now = context.now();
            context.state().freshness.on_failure(now);
            context.wait_for_store(RECOVERY_TIMEOUT).await;
        }
    }
}

/// Returns the part that the instance has in reading the store. The hubs that watch the store are
/// ranked by the names of their failure domains.
fn reader(context: &InstanceContext, state: &State, now: Time) -> Reader {
    if !context.watches_store() {
        return Reader::Member;
    }
    let local = &context.settings.domain;
    let hubs = state.peers.live_hubs(now).map(|contact| &contact.beacon.hub);
    let before: BTreeSet<&DomainName> = hubs
        .filter(|hub| hub.store_reachable && !hub.draining && hub.domain < *local)
        .map(|hub| &hub.domain)
        .collect();
    Reader::Watcher { rank: before.len() as u32 }
}

fn send(exchange: &StateExchange, confirmation: Confirmation, to: impl Iterator<Item = IpAddr>) {
    let datagram = Datagram::Confirmation(confirmation).encode();
    for address in to {
        let to = SocketAddr::new(address, exchange.context.settings.peer_port);
        // A lost confirmation is replaced by the next one, or the receiver reads the store.
        let _ = exchange.socket.try_send_to(&datagram, to);
    }
}

/// Tells the other hubs and the members what the local hub has just read.
fn announce(exchange: &StateExchange) {
    let context = &exchange.context;
    let now = context.now();
    let (confirmation, hubs) = {
        let state = context.state();
        if !state.peers.is_hub() {
            return;
        }
        let hubs = state.peers.hubs(now);
        (state.freshness.confirmation(state.versions, now), hubs)
    };
    if let Some(confirmation) = confirmation {
        send(exchange, confirmation, hubs.into_iter().map(|hub| hub.address));
    }
    announce_to_members(exchange, now);
}

/// Tells the members if the state of the local hub was confirmed since they were last told.
fn announce_to_members(exchange: &StateExchange, now: Time) {
    let (confirmation, members) = {
        let state = &mut *exchange.context.state();
        if !state.peers.is_hub() || !state.freshness.is_announcement_due(ANNOUNCE_STEP) {
            return;
        }
        (state.freshness.confirmation(state.versions, now), state.peers.member_addresses())
    };
    if let Some(confirmation) = confirmation {
        send(exchange, confirmation, members.into_iter().map(|(address, _)| address));
    }
}

/// Applies the confirmation of a hub, and passes it on to the members.
pub fn on_confirmation(exchange: &StateExchange, confirmation: Confirmation) {
    let context = &exchange.context;
    context.mark_running();
    let now = context.now();
    {
        let state = &mut *context.state();
        // After a pause the datagram may have waited in the socket for as long.
        if state.pause_guard.awaits_confirmation() {
            return;
        }
        state.freshness.on_confirmation(&confirmation, &state.versions, now);
    }
    announce_to_members(exchange, now);
}
