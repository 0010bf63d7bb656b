//! A target that responds before it has read the body of its request, and reads on later.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::fixture::TestFleet;

/// Bytes of a request body that no socket buffer holds.
const BODY_BYTES: usize = 4_000_000;

/// Time after its response at which the target reads on.
const READ_DELAY: Duration = Duration::from_millis(300);

/// First lines of all requests, as the target takes them from its connections.
type FirstLines = Arc<Mutex<Vec<String>>>;

async fn start(first_lines: FirstLines) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port on loopback");
    let address = listener.local_addr().expect("a bound listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, first_lines.clone()));
        }
    });
    address
}

/// Responds to each request as soon as its head is complete, and reads its body later.
async fn serve(mut stream: TcpStream, first_lines: FirstLines) {
    let mut bytes = Vec::new();
    loop {
        while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
            if stream.read_buf(&mut bytes).await.is_ok_and(|count| count > 0) {
                continue;
            }
            return;
        }
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        let head = &text[..text.find("\r\n\r\n").expect("a complete head")];
        let line = head.lines().next().unwrap_or_default().to_owned();
        first_lines.lock().expect("no panic").push(line);
        let value = |name| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let id = value("sesamewall-request-id:").unwrap_or_default();
        let length = value("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
        let response = format!(
            "HTTP/1.1 200 OK\r\nsesamewall-request-id: {id}\r\nsesamewall-response-seal: seal-1\r\n\
             content-length: {}\r\n\r\n{id}",
            id.len()
        );
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(READ_DELAY).await;
        let end = head.len() + 4 + length;
        while bytes.len() < end {
            if !stream.read_buf(&mut bytes).await.is_ok_and(|count| count > 0) {
                return;
            }
        }
        bytes.drain(..end);
    }
}

/// Guards against the bytes of another request where the rest of a body is due.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_before_the_body_was_read_mixes_no_requests() {
    let fleet = TestFleet::start(1, 0).await;
    let first_lines = FirstLines::default();
    fleet.replace_all(start(first_lines.clone()).await).await;
    let front = fleet.fronts[0].caller_address();
    for (id, length) in [("id-1", BODY_BYTES), ("id-2", 5), ("id-3", BODY_BYTES), ("id-4", 5)] {
        let body = Bytes::from(vec![b'x'; length]);
        let sent = fleet.client.send(front, Method::POST, "/plain/x", id, "key-1", body);
        let response = sent.await.expect("a response");
        assert_eq!((response.status, response.body.as_deref()), (200, Some(id.as_bytes())), "{id}");
    }
    let lines = first_lines.lock().expect("no panic").clone();
    assert_eq!(lines, ["post /plain/x http/1.1"; 4]);
}
