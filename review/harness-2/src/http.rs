//! A small HTTP/1.1 client, and the parts of a server that the runners need.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A request as a runner received it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header; an empty text if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// A response as a client received it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

fn parse_head(head: &str) -> (String, Vec<(String, String)>) {
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let pair = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    };
    (first, lines.filter_map(pair).collect())
}

fn find(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|window| window == text)
}

/// Decodes a chunked body. Returns it with the number of bytes it took; `None` if it is incomplete.
fn decode_chunks(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let line = find(&bytes[at..], b"\r\n")?;
        let size = std::str::from_utf8(&bytes[at..at + line]).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let from = at + line + 2;
        if bytes.len() < from + size + 2 {
            return None;
        }
        body.extend_from_slice(&bytes[from..from + size]);
        at = from + size + 2;
        if size == 0 {
            return Some((body, at));
        }
    }
}

/// Reads a request from a connection; `rest` holds bytes that were read beyond the one before.
pub async fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(end) = find(rest, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            let (line, headers) = parse_head(&head);
            let mut words = line.split(' ');
            let mut request = Request { path: words.nth(1)?.to_owned(), headers, body: Vec::new() };
            let from = end + 4;
            let taken = match request.header("transfer-encoding").contains("chunked") {
                true => decode_chunks(&rest[from..]),
                false => {
                    let length = request.header("content-length").parse().unwrap_or(0);
                    (rest.len() >= from + length)
                        .then(|| (rest[from..from + length].to_vec(), length))
                }
            };
            if let Some((body, length)) = taken {
                request.body = body;
                rest.drain(..from + length);
                return Some(request);
            }
        }
        let mut chunk = [0; 16384];
        match stream.read(&mut chunk).await {
            Ok(count) if count > 0 => rest.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}

/// Sends a request on a new connection and reads the whole response; `None` without a complete one.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Response> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(body).await.ok()?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.ok()?;
        let end = find(&bytes, b"\r\n\r\n")?;
        let (line, headers) = parse_head(&String::from_utf8_lossy(&bytes[..end]));
        let status = line.split(' ').nth(1)?.parse().ok()?;
        let header = |name: &str| {
            let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.clone())
        };
        let body = match header("transfer-encoding") {
            Some(coding) if coding.contains("chunked") => decode_chunks(&bytes[end + 4..])?.0,
            _ => {
                let body = bytes[end + 4..].to_vec();
                let length = header("content-length").and_then(|text| text.parse::<usize>().ok());
                if length.is_some_and(|length| body.len() < length) {
                    return None;
                }
                body
            }
        };
        Some(Response { status, body })
    };
    tokio::time::timeout(limit, exchange).await.ok().flatten()
}
