//! A runner whose answers have neither a length nor chunks and end with their connections, and which
//! sends a second answer after some of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::record::Record;

/// How such a runner answers.
#[derive(Clone)]
pub struct Answers {
    pub events: u64,
    pub interval: Duration,
    /// While `spoils` is set, one in so many answers of all such runners is followed by a second one.
    pub extra_each: usize,
    pub spoils: Arc<AtomicBool>,
    /// Answers of all such runners that began while `spoils` was set.
    pub count: Arc<AtomicUsize>,
}

/// A runner without framing.
pub struct RawRunner {
    pub id: String,
    pub address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for RawRunner {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RawRunner {
    /// Starts a runner on a free port of 127.0.0.1.
    pub async fn start(id: &str, answers: Answers, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (name, record) = (id.to_owned(), record.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (name, record, answers) = (name.clone(), record.clone(), answers.clone());
                tokio::spawn(async move {
                    let _ = serve(stream, &name, &answers, &record).await;
                });
            }
        });
        Self { id: id.to_owned(), address, task }
    }
}

async fn read_request(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = header(head, "content-length").parse().unwrap_or(0);
        if body.len() >= length {
            return Ok(head.to_owned());
        }
    }
}

fn header(head: &str, name: &str) -> String {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    let value = fields.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value);
    value.map(str::trim).next().unwrap_or_default().to_owned()
}

async fn serve(
    mut stream: TcpStream,
    name: &str,
    answers: &Answers,
    record: &Record,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let head = read_request(&mut stream).await?;
    let id = header(&head, "sesamewall-request-id");
    let after: u64 = header(&head, "last-event-id").parse().unwrap_or(0);
    let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
    if header(&head, "sesamewall-expect-instance") != name {
        let refusal = format!(
            "HTTP/1.1 421 Misdirected Request\r\nsesamewall-request-id: {id}\r\n\
             sesamewall-not-run: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(refusal.as_bytes()).await?;
        return stream.shutdown().await;
    }
    let has_extra = answers.spoils.load(Ordering::Relaxed) && {
        let number = answers.count.fetch_add(1, Ordering::Relaxed) + 1;
        number.is_multiple_of(answers.extra_each)
    };
    record.line(&format!("{name} runs {id} after {after}, second answer: {has_extra}"));
    let start = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nsesamewall-request-id: {id}\r\n\
         sesamewall-response-seal: seal-1\r\nconnection: close\r\n\r\n"
    );
    let event = |event: u64| format!("id: {event}\ndata: {path} {event} v1\n\n");
    stream.write_all(start.as_bytes()).await?;
    for number in after + 1..=answers.events {
        tokio::time::sleep(answers.interval).await;
        stream.write_all(event(number).as_bytes()).await?;
    }
    if has_extra {
        let events: String = (1..=answers.events).map(event).collect();
        stream.write_all(format!("{start}{events}").as_bytes()).await?;
    }
    stream.shutdown().await?;
    // The caller closes, too.
    let _ = tokio::time::timeout(Duration::from_secs(2), stream.read(&mut [0; 64])).await;
    Ok(())
}
