//! Bytes of calls that were given up before they had reached their target.

use std::time::Duration;

use bytes::Bytes;
use sesamewall_adapters::HttpControl;
use sesamewall_adapters::HttpTarget;
use sesamewall_ports::ControlAction;
use sesamewall_ports::ControlCommand;
use sesamewall_ports::ControlResult;
use sesamewall_ports::Target;
use sesamewall_ports::TargetControl;
use sesamewall_ports::TargetRequest;
use sesamewall_protocol::Class;
use sesamewall_protocol::ModelName;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Receive buffer of a target to which bytes come slowly: less than a call.
const RECEIVE_BYTES: u32 = 2048;

/// Size of a call, which a send buffer holds.
const CALL_BYTES: usize = 12_000;

/// Time after which a request is given up.
const PATIENCE: Duration = Duration::from_millis(300);

/// Returns a listener whose connections receive little until they are read.
fn listen() -> (TcpListener, String) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BYTES).expect("a valid size");
    socket.bind("127.0.0.1:0".parse().expect("a valid address")).expect("a free port");
    let listener = socket.listen(4).expect("a bound socket");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, format!("http://{address}"))
}

/// Accepts a connection, reads what arrives until its end, and returns the number of bytes.
async fn read_to_end(listener: &TcpListener) -> usize {
    let mut connection = listener.accept().await.expect("a connection").0;
    let (mut bytes, mut chunk) = (0, [0; 4096]);
    while let Ok(count @ 1..) = connection.read(&mut chunk).await {
        bytes += count;
    }
    bytes
}

/// Guards against a request that runs at a target long after it was given up.
#[tokio::test]
async fn a_request_that_was_given_up_is_not_delivered() {
    let (listener, address) = listen();
    let target = HttpTarget::default();
    let request = TargetRequest {
        address,
        method: "POST".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Bytes::from(vec![b'x'; CALL_BYTES]),
        attempt: "attempt-1".to_owned(),
        resume_from: 0,
        class: Class::Online,
    };
    assert!(tokio::time::timeout(PATIENCE, target.send(request)).await.is_err());
    assert!(read_to_end(&listener).await < CALL_BYTES, "the whole request was delivered");
}

/// Guards against a control command that takes effect after its lead has given it up and another one
/// has sent its own.
#[tokio::test]
async fn a_command_that_was_given_up_is_not_delivered() {
    let (listener, address) = listen();
    let model = ModelName::from("m".repeat(CALL_BYTES));
    let command = ControlCommand { address, fence: 1, action: ControlAction::Load(model) };
    let result = HttpControl::default().send_command(command).await;
    assert!(matches!(result, ControlResult::Unclear), "{result:?}");
    assert!(read_to_end(&listener).await < CALL_BYTES, "the whole command was delivered");
}
