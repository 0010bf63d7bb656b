//! Exchange of state between instances by datagrams: sending, receiving, expiry and hub records.

mod confirm;
mod hub_record;
mod receive;
mod send;
mod stream_versions;
mod tick;

use std::sync::Arc;

use tokio::net::UdpSocket;

use crate::InstanceContext;
use crate::lease::ProcessLease;

pub use stream_versions::VersionLookups;
pub use stream_versions::look_up;
pub use stream_versions::record;
pub use stream_versions::withdraw_doubtful;

/// State shared by the tasks of this module.
pub struct StateExchange {
    pub(crate) context: Arc<InstanceContext>,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) lease: Arc<ProcessLease>,
    pub(crate) member: send::MemberState,
}

/// Starts the tasks that send and receive datagrams, expire old state and keep the hub record.
pub fn spawn(
    context: &Arc<InstanceContext>,
    lease: &Arc<ProcessLease>,
    socket: UdpSocket,
) -> Arc<StateExchange> {
    let member = send::MemberState::new(context);
    let (context, lease, socket) = (context.clone(), lease.clone(), Arc::new(socket));
    context.version_lookups.set_socket(socket.clone());
    let exchange = Arc::new(StateExchange { context, socket, lease, member });
    let tasks = &exchange.context.tasks;
    tasks.spawn_essential("send", send::run(exchange.clone()));
    tasks.spawn_essential("receive", receive::run(exchange.clone()));
    tasks.spawn_essential("tick", tick::run(exchange.clone()));
    tasks.spawn_essential("hub record", hub_record::keep(exchange.clone()));
    tasks.spawn_essential("confirm", confirm::run(exchange.clone()));
    exchange
}

/// Announces the departure of the instance to the hubs.
pub fn announce_departure(exchange: &StateExchange) {
    send::announce_departure(exchange);
}
