//! Responses without a length that end while the request is still being written.

use std::time::Duration;

use bytes::Bytes;
use futures::TryStreamExt;
use sesamewall_adapters::HttpTarget;
use sesamewall_ports::Target;
use sesamewall_ports::TargetError;
use sesamewall_ports::TargetRequest;
use sesamewall_protocol::Class;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Receive buffer of the target, so that a part of each request waits to be written.
const RECEIVE_BYTES: u32 = 64 << 10;

/// Bytes of a request that the buffers of a connection do not hold.
const BODY_BYTES: usize = 8_000_000;

/// Time between the end of a response and the close of its connection.
const CLOSE_DELAY: Duration = Duration::from_millis(200);

/// Starts a target that responds as soon as the head of a request has arrived, and closes the
/// connection after the whole request or, if `early`, at once.
fn start(early: bool) -> String {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BYTES).expect("a valid size");
    socket.bind("127.0.0.1:0".parse().expect("a valid address")).expect("a free port");
    let listener: TcpListener = socket.listen(4).expect("a bound socket");
    let address = listener.local_addr().expect("a bound listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = Vec::new();
            while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
                stream.read_buf(&mut bytes).await.expect("a request");
            }
            let response = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nfirst half, ";
            stream.write_all(response).await.expect("an open connection");
            if !early {
                while bytes.len() < BODY_BYTES {
                    stream.read_buf(&mut bytes).await.expect("a request");
                }
                stream.write_all(b"second half").await.expect("an open connection");
            }
            stream.shutdown().await.expect("an open connection");
            // Closing the socket at once resets the connection before its end has been read.
            tokio::time::sleep(CLOSE_DELAY).await;
        }
    });
    format!("http://{address}")
}

async fn send(address: String) -> Result<Vec<u8>, TargetError> {
    let request = TargetRequest {
        address,
        method: "POST".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
        attempt: "attempt-1".to_owned(),
        class: Class::Online,
        resume_from: 0,
    };
    let response = HttpTarget::default().send(request).await?;
    let chunks: Vec<Bytes> = response.body.try_collect().await?;
    Ok(chunks.concat())
}

/// Guards against a part of a response that looks complete, because its target ended the connection
/// while the request was still being written.
#[tokio::test]
async fn a_response_that_ends_during_the_upload_is_not_complete() {
    let result = send(start(true)).await;
    assert!(matches!(result, Err(TargetError::Lost { .. })), "{result:?}");
}

/// Guards against a whole response that is taken for a broken one.
#[tokio::test]
async fn a_response_that_ends_after_the_upload_is_complete() {
    let body = send(start(false)).await.expect("a response");
    assert_eq!(body, b"first half, second half");
}
