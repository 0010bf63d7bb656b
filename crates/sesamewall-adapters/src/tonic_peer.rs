//! The link between instances over tonic.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use sesamewall_ports::ListedInstance;
use sesamewall_ports::PeerAddress;
use sesamewall_ports::PeerHandler;
use sesamewall_ports::PeerLink;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::PeerMessage;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Channel;
use tonic::transport::Endpoint;
use tonic::transport::Server;

use crate::generated::peer::Envelope;
use crate::generated::peer::peer_client::PeerClient;
use crate::generated::peer::peer_server::Peer;
use crate::generated::peer::peer_server::PeerServer;

const ENCODING_VERSION: u32 = 1;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Exceeds the longest online wait, since a slot request may wait in the lead's queue.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const MESSAGE_LIMIT_BYTES: usize = 4 << 20;
/// When the map reaches this size, all connections are dropped, including those to departed
/// instances.
const CHANNEL_LIMIT: usize = 1024;

/// Sends messages to other instances and pools the connections to them.
pub struct TonicPeerLink {
    local: ListedInstance,
    channels: Mutex<HashMap<String, Channel>>,
}

impl TonicPeerLink {
    /// Creates a link whose messages name `local` as their sender.
    pub fn new(local: ListedInstance) -> Self {
        Self { local, channels: Mutex::default() }
    }

    fn channel(&self, address: &str) -> Result<Channel> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(address) {
            return Ok(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| unavailable(address, &error))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .timeout(CALL_TIMEOUT);
        if channels.len() >= CHANNEL_LIMIT {
            channels.clear();
        }
        let channel = endpoint.connect_lazy();
        channels.insert(address.to_owned(), channel.clone());
        Ok(channel)
    }
}

fn unavailable(address: &str, detail: &dyn std::fmt::Display) -> Error {
    Error::PeerUnavailable { instance: address.to_owned(), detail: detail.to_string() }
}

fn encode(from: &str, domain: &str, message: &PeerMessage) -> Result<Envelope> {
    let payload = rmp_serde::to_vec_named(message)
        .map_err(|error| Error::Internal { detail: error.to_string() })?;
    Ok(Envelope {
        version: ENCODING_VERSION,
        from: from.to_owned(),
        domain: domain.to_owned(),
        payload,
    })
}

fn decode(envelope: &Envelope) -> Result<PeerMessage> {
    if envelope.version != ENCODING_VERSION {
        let detail = format!("message encoding {} is not known", envelope.version);
        return Err(Error::Internal { detail });
    }
    rmp_serde::from_slice(&envelope.payload)
        .map_err(|error| Error::Internal { detail: error.to_string() })
}

#[async_trait]
impl PeerLink for TonicPeerLink {
    async fn exchange(&self, address: &PeerAddress, message: PeerMessage) -> Result<PeerMessage> {
        let channel = self.channel(&address.peer)?;
        let mut client = PeerClient::new(channel)
            .max_decoding_message_size(MESSAGE_LIMIT_BYTES)
            .max_encoding_message_size(MESSAGE_LIMIT_BYTES);
        let envelope = encode(self.local.name.as_str(), self.local.domain.as_str(), &message)?;
        let reply = client
            .exchange(envelope)
            .await
            .map_err(|status| unavailable(&address.peer, &status.message()))?;
        decode(reply.get_ref())
    }
}

struct PeerService {
    local: ListedInstance,
    handler: Arc<dyn PeerHandler>,
}

#[async_trait]
impl Peer for PeerService {
    async fn exchange(
        &self,
        request: Request<Envelope>,
    ) -> std::result::Result<Response<Envelope>, Status> {
        let envelope = request.into_inner();
        let message =
            decode(&envelope).map_err(|error| Status::invalid_argument(error.to_string()))?;
        let from = InstanceName::from(envelope.from);
        let domain = DomainName::from(envelope.domain);
        let reply = self.handler.handle(from, domain, message).await;
        encode(self.local.name.as_str(), self.local.domain.as_str(), &reply)
            .map(Response::new)
            .map_err(|error| Status::internal(error.to_string()))
    }
}

/// Serves messages from other instances on `listener` until `stop` is ready.
///
/// # Errors
///
/// Returns an error if the transport fails.
pub async fn serve_peers(
    listener: TcpListener,
    local: ListedInstance,
    handler: Arc<dyn PeerHandler>,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let service = PeerServer::new(PeerService { local, handler })
        .max_decoding_message_size(MESSAGE_LIMIT_BYTES)
        .max_encoding_message_size(MESSAGE_LIMIT_BYTES);
    Server::builder()
        .tcp_nodelay(true)
        .add_service(service)
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), stop)
        .await
        .map_err(|error| Error::Internal { detail: error.to_string() })
}
