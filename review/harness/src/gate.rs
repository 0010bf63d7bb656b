//! A proxy in front of a runner, which resets its connections when the runner crashes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// A proxy that can reset all its connections and refuse new ones for a time.
#[derive(Clone)]
pub struct Gate {
    /// Address at which it listens.
    pub address: SocketAddr,
    crash: Arc<watch::Sender<u64>>,
    down_time: Arc<Mutex<Duration>>,
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(256)
}

/// Copies bytes both ways until an end closes, or resets both connections at a crash.
async fn pass(mut near: TcpStream, target: SocketAddr, mut crashes: watch::Receiver<u64>) {
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        _ = crashes.changed() => {
            // Dropping the streams with this option resets the connections.
            let _ = (near.set_zero_linger(), far.set_zero_linger());
        }
    }
}

impl Gate {
    /// Starts a proxy to `target` on a free port of 127.0.0.1.
    pub async fn start(target: SocketAddr) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let first = bind(any).expect("a free port on loopback");
        let address = first.local_addr().expect("a bound listener has an address");
        let (sender, mut crashes) = watch::channel(0);
        let gate = Self { address, crash: Arc::new(sender), down_time: Arc::default() };
        let down_time = gate.down_time.clone();
        tokio::spawn(async move {
            let mut listener = Some(first);
            loop {
                let Some(open) = &listener else {
                    let time = *down_time.lock().unwrap_or_else(PoisonError::into_inner);
                    tokio::time::sleep(time).await;
                    crashes.borrow_and_update();
                    listener = bind(address).ok();
                    continue;
                };
                tokio::select! {
                    accepted = open.accept() => {
                        if let Ok((stream, _)) = accepted {
                            tokio::spawn(pass(stream, target, crashes.clone()));
                        }
                    }
                    _ = crashes.changed() => listener = None,
                }
            }
        });
        gate
    }

    /// Resets all connections, and refuses new ones for `down_time`.
    pub fn crash(&self, down_time: Duration) {
        *self.down_time.lock().unwrap_or_else(PoisonError::into_inner) = down_time;
        self.crash.send_modify(|crashes| *crashes += 1);
    }
}
