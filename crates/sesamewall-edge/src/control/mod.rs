//! The datagrams between instances: who sends what to whom, and what is done with it.

mod receive;
mod seat;
mod send;
mod tick;

use std::sync::Arc;

use tokio::net::UdpSocket;

use crate::Node;
use crate::lease::ProcessLease;

/// What the tasks of this module share.
pub struct Control {
    pub(crate) node: Arc<Node>,
    pub(crate) socket: UdpSocket,
    pub(crate) lease: Arc<ProcessLease>,
    pub(crate) member: send::MemberState,
}

/// Starts sending and receiving, and the look after the seats of hubs.
pub fn spawn(node: &Arc<Node>, lease: &Arc<ProcessLease>, socket: UdpSocket) -> Arc<Control> {
    let member = send::MemberState::new(node);
    let (node, lease) = (node.clone(), lease.clone());
    let control = Arc::new(Control { node, socket, lease, member });
    tokio::spawn(send::run(control.clone()));
    tokio::spawn(receive::run(control.clone()));
    tokio::spawn(tick::run(control.clone()));
    tokio::spawn(seat::keep(control.clone()));
    control
}

/// Tells the home or the other hubs that the instance ends.
pub fn leave(control: &Control) {
    send::leave(control);
}
