//! Connections to targets, pooled for further requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use hyper::client::conn::http1;
use hyper::client::conn::http1::Connection;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::set_socket_linger;
use sesamewall_adapters::request_body::RequestBody;
use sesamewall_protocol::scaled;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Timeout of a new connection. Targets accept within milliseconds, in another region within some
/// tens of milliseconds; a machine without power never does, and two attempts still fit into an
/// objective of 300 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which an idle connection is kept if the target sent no `Keep-Alive` header.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);

/// Longest time for which an idle connection is kept, whatever the target announced.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(60);

/// Most idle connections kept for one address: the usual slots of a target.
const MAX_IDLE: usize = 8;

/// Bytes of a connection's read buffer, above the largest usual header.
const READ_BUFFER: usize = 16 << 10;

/// Number of requests after which a connection is closed. It bounds the memory for their ids, 4 kB a
/// connection.
const MAX_REQUESTS: usize = 512;

/// Hash of a request's id. All attempts of a request have the same one.
pub type RequestIdHash = u64;

/// A connection to a target. Dropping it while a request is unanswered resets it: the target drops
/// the request, and bytes of it that have not arrived yet never do. The end of the process has the
/// same effect.
pub struct TargetConnection {
    sender: SendRequest<RequestBody>,
    driver: JoinHandle<()>,
    /// Closes the connection in order.
    close: Option<oneshot::Sender<()>>,
    address: SocketAddr,
    /// Number of the connection in this process, for logs.
    pub number: u64,
    /// Whether it has carried a request before, which was answered.
    pub reused: bool,
    has_request: bool,
    /// The ids of all requests that it has carried.
    carried: Vec<RequestIdHash>,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        match self.close.take() {
            // The task has ended if there is no receiver.
            Some(close) if !self.has_request => drop(close.send(())),
            _ => self.driver.abort(),
        }
    }
}

impl TargetConnection {
    /// Returns the sending half of the connection for a request with this id. The connection counts
    /// as one with an unanswered request from now on.
    pub fn begin_request(&mut self, id: RequestIdHash) -> &mut SendRequest<RequestBody> {
        self.has_request = true;
        self.carried.push(id);
        &mut self.sender
    }

    /// Returns the number of requests that the connection has carried.
    pub fn request_count(&self) -> usize {
        self.carried.len()
    }

    /// Records that the response to the request has been read to its end.
    pub fn end_request(&mut self) {
        self.has_request = false;
        self.reused = true;
    }
}

/// Runs a connection until its end, or until it is to be closed in order.
async fn drive(
    mut conn: Connection<TokioIo<TcpStream>, RequestBody>,
    closed: oneshot::Receiver<()>,
) {
    tokio::select! {
        biased;
        Ok(()) = closed => {
            let stream = conn.into_parts().io.into_inner();
            // If the option cannot be set, the idle connection is reset.
            let _ = set_socket_linger(&stream, None);
        }
        // The request on the connection receives its error; an idle connection just ends.
        _ = &mut conn => {}
    }
}

struct IdleConnection {
    connection: TargetConnection,
    since: Instant,
    until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct TargetPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    opened: AtomicU64,
}

impl TargetPool {
    /// Takes a pooled connection that has been idle for at most `max_idle`, the most recently used
    /// first, for a request with this id. The connection has not carried that id before: a target
    /// may send a second copy of a response at the point where the next one is expected, and only
    /// the id distinguishes them.
    pub fn take(
        &self,
        address: SocketAddr,
        id: RequestIdHash,
        max_idle: Duration,
    ) -> Option<TargetConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let list = idle.get_mut(&address)?;
        let mut used_before = Vec::new();
        let mut taken = None;
        while let Some(mut entry) = list.pop() {
            let ready = matches!(entry.connection.sender.ready().now_or_never(), Some(Ok(())));
            match ready && entry.until > now && now - entry.since <= max_idle {
                true if entry.connection.carried.contains(&id) => used_before.push(entry),
                true => {
                    taken = Some(entry.connection);
                    break;
                }
                false => {}
            }
        }
        list.extend(used_before.into_iter().rev());
        taken
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the reason as text. Nothing was sent.
    pub async fn open(&self, address: SocketAddr) -> Result<TargetConnection, String> {
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| "no connection in time".to_owned())?
            .map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        stream.set_zero_linger().map_err(|error| error.to_string())?;
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .writev(true)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        let (close, closed) = oneshot::channel();
        let driver = tokio::spawn(drive(conn, closed));
        let close = Some(close);
        let number = self.opened.fetch_add(1, Ordering::Relaxed);
        Ok(TargetConnection {
            sender,
            driver,
            close,
            address,
            number,
            reused: false,
            has_request: false,
            carried: Vec::new(),
        })
    }

    /// Returns a connection to the pool after its response has been read to the end. `keep_alive`
    /// is the time that the target announced.
    pub fn put(&self, connection: TargetConnection, keep_alive: Option<Duration>) {
        if connection.sender.is_closed() || connection.request_count() >= MAX_REQUESTS {
            return;
        }
        let now = Instant::now();
        // The target closes the connection after its own timeout; a margin keeps requests off
        // closing connections.
        let keep_alive = keep_alive
            .map_or(DEFAULT_KEEP_ALIVE, |announced| scaled(announced.min(MAX_KEEP_ALIVE), 0.8));
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(connection.address).or_default();
        list.push(IdleConnection { connection, since: now, until: now + keep_alive });
        if list.len() > MAX_IDLE {
            list.remove(0);
        }
    }

    /// Closes connections that have been idle too long or that the target has closed.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for list in idle.values_mut() {
            list.retain(|entry| entry.until > now && !entry.connection.sender.is_closed());
        }
        idle.retain(|_, list| !list.is_empty());
    }
}
