//! Bytes of requests that were given up before they had reached their target.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::fixture::TestFleet;

/// Receive buffer of a target to which bytes come slowly: less than a request.
const RECEIVE_BYTES: u32 = 2048;

/// Size of a request's body, which a send buffer holds.
const BODY_BYTES: usize = 12_000;

/// Time within which a request reaches its target.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// Time without an event after which a worker gives an attempt up, with a margin.
const ITEM_STALL: Duration = Duration::from_millis(2600);

/// A target that does not read until it is told to, so that a request waits at its sender.
struct SlowTarget {
    listener: TcpListener,
    address: SocketAddr,
}

impl SlowTarget {
    fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BYTES).expect("a valid size");
        socket.bind("127.0.0.1:0".parse().expect("a valid address")).expect("a free port");
        let listener = socket.listen(16).expect("a bound socket");
        let address = listener.local_addr().expect("a bound listener has an address");
        Self { listener, address }
    }

    async fn accept(&self) -> TcpStream {
        self.listener.accept().await.expect("a connection").0
    }
}

/// Reads what arrives on a connection until its end, and returns the number of bytes.
async fn read_to_end(mut connection: TcpStream) -> usize {
    let mut bytes = 0;
    let mut chunk = [0; 4096];
    while let Ok(count @ 1..) = connection.read(&mut chunk).await {
        bytes += count;
    }
    bytes
}

fn body() -> Bytes {
    Bytes::from(vec![b'x'; BODY_BYTES])
}

/// Guards against a request that reaches its first target long after another one has answered it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_another_target_has_answered_is_not_delivered() {
    let fleet = TestFleet::start(1, 0).await;
    let target = SlowTarget::start();
    fleet.replace("t1", target.address).await;
    let front = fleet.fronts[0].caller_address();
    let sent = fleet.client.send(front, Method::POST, "/talk/x", "id-1", "key-1", body());
    let (response, connection) = tokio::join!(sent, target.accept());
    assert_eq!(response.expect("a response").status, 200);
    assert!(read_to_end(connection).await < BODY_BYTES, "the whole request was delivered");
}

/// Guards against a request that reaches its target after the process that sent it has ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_a_process_that_has_ended_is_not_delivered() {
    for kill in [false, true] {
        let mut fleet = TestFleet::start(1, 0).await;
        let target = SlowTarget::start();
        fleet.replace_all(target.address).await;
        let front = fleet.fronts[0].caller_address();
        let sent = fleet.client.send(front, Method::POST, "/once/x", "id-1", "key-1", body());
        let accepted = async {
            let connection = target.accept().await;
            tokio::time::sleep(ARRIVAL_TIME).await;
            connection
        };
        let connection = tokio::select! {
            connection = accepted => connection,
            _ = sent => panic!("no target has answered"),
        };
        match kill {
            true => fleet.fronts[0].kill(),
            false => {
                fleet.fronts[0].terminate();
                assert!(fleet.fronts[0].wait_exit().await);
            }
        }
        assert!(read_to_end(connection).await < BODY_BYTES, "the whole request was delivered");
    }
}

/// Guards against a batch item that reaches its target after the worker has given the attempt up.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_was_given_up_is_not_delivered() {
    let fleet = TestFleet::start(1, 1).await;
    let target = SlowTarget::start();
    fleet.replace_all(target.address).await;
    let front = fleet.fronts[0].caller_address();
    let submitted = fleet.client.submit_with_body(front, "job1", "item0", &body()).await;
    assert_eq!(submitted.expect("a response").status, 202);
    let connection = target.accept().await;
    tokio::time::sleep(ITEM_STALL).await;
    assert!(read_to_end(connection).await < BODY_BYTES, "the whole item was delivered");
}
