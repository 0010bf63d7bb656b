//! Bytes of calls between two instances on a TCP connection over loopback.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use sesamewall_adapters::TonicPeerLink;
use sesamewall_adapters::serve_peers;
use sesamewall_ports::ListedInstance;
use sesamewall_ports::ListedState;
use sesamewall_ports::PeerAddress;
use sesamewall_ports::PeerHandler;
use sesamewall_ports::PeerLink;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::peer::Heartbeat;
use sesamewall_protocol::peer::HeartbeatReply;
use sesamewall_protocol::peer::LeadNotice;
use sesamewall_protocol::peer::MembershipMessage;
use sesamewall_protocol::peer::PeerMessage;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const WARM_UP: u64 = 10;
const CALLS: u64 = 500;

struct FixedReply;

#[async_trait]
impl PeerHandler for FixedReply {
    async fn handle(&self, _: InstanceName, _: DomainName, _: PeerMessage) -> PeerMessage {
        let notice = LeadNotice { epoch: 1_000, version: 1 << 40, age_ms: 900 };
        let reply = HeartbeatReply {
            revision: 416_000,
            notice: Some(notice),
            leads: None,
            suspects: Vec::new(),
        };
        PeerMessage::Membership(MembershipMessage::HeartbeatReply(reply))
    }
}

fn listed(name: &str, peer: String) -> ListedInstance {
    let address = PeerAddress { peer, forward: "127.0.0.1:1".to_owned() };
    let (name, domain) = (name.into(), "region-0-domain-0".into());
    ListedInstance { name, domain, address, bulk: false, state: ListedState::Live }
}

fn heartbeat() -> PeerMessage {
    let heartbeat = Heartbeat { revision: 416_000, view: 1 << 30, ..Heartbeat::default() };
    PeerMessage::Membership(MembershipMessage::Heartbeat(heartbeat))
}

/// Forwards bytes in one direction and counts the bytes and the reads that returned them.
async fn relay(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    counts: Arc<[AtomicU64; 2]>,
) {
    let mut buffer = vec![0; 1 << 16];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        counts[0].fetch_add(length as u64, Ordering::Relaxed);
        counts[1].fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns the payload, the bytes on TCP and the TCP segments of a heartbeat call with its reply.
pub(super) async fn heartbeat_call() -> std::io::Result<(f64, f64, f64)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let server = listener.local_addr()?;
    let local = listed("instance-0000", server.to_string());
    tokio::spawn(serve_peers(listener, local, Arc::new(FixedReply), std::future::pending()));
    let proxy = TcpListener::bind("127.0.0.1:0").await?;
    let address = proxy.local_addr()?.to_string();
    let counts: Arc<[AtomicU64; 2]> = Arc::default();
    let counted = counts.clone();
    tokio::spawn(async move {
        while let Ok((client, _)) = proxy.accept().await {
            let Ok(server) = TcpStream::connect(server).await else { return };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let ((client_in, client_out), (server_in, server_out)) =
                (client.into_split(), server.into_split());
            tokio::spawn(relay(client_in, server_out, counted.clone()));
            tokio::spawn(relay(server_in, client_out, counted.clone()));
        }
    });
    let link = TonicPeerLink::new(listed("instance-0001", address.clone()));
    let to = PeerAddress { peer: address, forward: String::new() };
    let mut start = [0, 0];
    let mut payload = 0;
    for call in 0..WARM_UP + CALLS {
        if call == WARM_UP {
            tokio::time::sleep(Duration::from_millis(50)).await;
            start = [0, 1].map(|index| counts[index].load(Ordering::Relaxed));
        }
        let reply = link.exchange(&to, heartbeat()).await.map_err(std::io::Error::other)?;
        let size = |message| rmp_serde::to_vec_named(message).map_or(0, |bytes| bytes.len());
        payload = size(&heartbeat()) + size(&reply);
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let per_call =
        |index: usize| (counts[index].load(Ordering::Relaxed) - start[index]) as f64 / CALLS as f64;
    Ok((payload as f64, per_call(0), per_call(1)))
}
