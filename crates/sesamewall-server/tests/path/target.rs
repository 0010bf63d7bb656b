//! A target whose responses come from a script and that keeps every request it received.

use std::sync::Arc;
use std::sync::Mutex;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The bytes sent in reply to one request; if `close` is set, the connection is closed after them.
pub struct ScriptedReply {
    pub bytes: Vec<u8>,
    pub close: bool,
}

type Script = Arc<dyn Fn(usize, &str) -> ScriptedReply + Send + Sync>;

/// A target whose responses come from a script.
pub struct ScriptedTarget {
    pub address: String,
    received: Arc<Mutex<Vec<String>>>,
}

impl ScriptedTarget {
    /// Starts a target; `script` receives the number of the request, counted from 0, and its text.
    pub async fn start(
        script: impl Fn(usize, &str) -> ScriptedReply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let received = Arc::new(Mutex::new(Vec::new()));
        let (script, kept): (Script, _) = (Arc::new(script), received.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, script.clone(), kept.clone()));
            }
        });
        Self { address, received }
    }

    /// Returns the requests received so far.
    pub fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }
}

async fn serve(mut stream: TcpStream, script: Script, kept: Arc<Mutex<Vec<String>>>) {
    while let Some(request) = read_request(&mut stream).await {
        let number = {
            let mut kept = kept.lock().unwrap();
            kept.push(request.clone());
            kept.len() - 1
        };
        let reply = script(number, &request);
        if stream.write_all(&reply.bytes).await.is_err() || reply.close {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(head) = text.find("\r\n\r\n") {
            let length = header(&text, "content-length").map_or(0, |value| value.parse().unwrap());
            if bytes.len() >= head + 4 + length {
                return Some(text);
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&chunk[..count]),
            _ => return None,
        }
    }
}

/// Returns the value of a header of a request.
pub fn header(request: &str, name: &str) -> Option<String> {
    let head = request.split("\r\n\r\n").next()?;
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_owned())
}

/// Returns the bytes of a complete response that echoes the attempt id of the request.
pub fn response_bytes(request: &str, kind: &str, body: &str) -> Vec<u8> {
    let attempt = header(request, "x-attempt-id").unwrap_or_default();
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\nx-attempt-id: {attempt}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Returns a complete reply with a JSON body.
pub fn json(request: &str, body: &str) -> ScriptedReply {
    ScriptedReply { bytes: response_bytes(request, "application/json", body), close: false }
}
