//! A connection that answers malformed requests with errors that have a code.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use serde_json::json;
use sesamewall_protocol::Error;
use sesamewall_protocol::RequestId;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::framing::Framing;

/// Time limit for the headers of a request from their first byte; slower requests are refused.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which bytes of the caller are still read after a refusal. Closing a socket with unread
/// bytes resets the connection, and the caller would lose the response.
const LINGER: Duration = Duration::from_secs(1);
/// End of the HTTP library's response to a head that it cannot parse. That response has no error
/// code and no body.
const BARE_REFUSAL: &[u8] = b"\r\nconnection: close\r\ncontent-length: 0\r\n";
/// End of a head with a byte that is invalid in a head. The end is needed because the library
/// parses a head that arrives in several reads only once it has ended.
const INVALID_END: &[u8] = b"\0\r\n\r\n";

/// A connection that answers malformed requests with errors that have a code. An ambiguous or slow
/// head is made invalid, so that the HTTP library refuses it, and the library's refusals are
/// replaced by error responses.
pub struct GuardedStream {
    inner: TcpStream,
    framing: Framing,
    refusal: Option<(u16, Error)>,
    timer: Option<Pin<Box<Sleep>>>,
    lingering: bool,
    invalid: &'static [u8],
    replacement: Option<(Vec<u8>, usize)>,
}

impl GuardedStream {
    /// Wraps an accepted connection.
    pub fn new(inner: TcpStream) -> Self {
        Self {
            inner,
            framing: Framing::default(),
            refusal: None,
            timer: None,
            lingering: false,
            invalid: &[],
            replacement: None,
        }
    }

    fn refuse(&mut self, status: u16, error: Error, buffer: &mut ReadBuf<'_>) {
        self.refusal = Some((status, error));
        self.invalid = INVALID_END;
        self.put_invalid(buffer);
    }

    fn put_invalid(&mut self, buffer: &mut ReadBuf<'_>) {
        let (now, later) = self.invalid.split_at(self.invalid.len().min(buffer.remaining()));
        buffer.put_slice(now);
        self.invalid = later;
    }

    fn poll_timer(&mut self, cx: &mut Context<'_>) -> bool {
        self.timer.as_mut().is_some_and(|timer| timer.as_mut().poll(cx).is_ready())
    }

    fn replace_refusal(&mut self, bytes: &[u8]) {
        let bare = bytes.starts_with(b"HTTP/1.1 4")
            && bytes.windows(BARE_REFUSAL.len()).any(|part| part == BARE_REFUSAL);
        if !bare || self.replacement.is_some() {
            return;
        }
        let status = std::str::from_utf8(&bytes[9..12]).ok().and_then(|text| text.parse().ok());
        let (status, error) = self.refusal.take().unwrap_or_else(|| {
            let detail = match status {
                Some(431) => "they are too large",
                Some(414) => "the path is too long",
                _ => "this is not HTTP/1.1",
            };
            (status.unwrap_or(400), Error::HeadersInvalid { detail: detail.to_owned() })
        });
        self.replacement = Some((refusal_bytes(status, &error), 0));
    }

    /// Writes the replacement, if there is one. Returns true when it is written completely.
    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let Some((bytes, written)) = &mut self.replacement else { return Poll::Ready(Ok(false)) };
        while *written < bytes.len() {
            let count = ready!(Pin::new(&mut self.inner).poll_write(cx, &bytes[*written..]))?;
            *written += count;
        }
        Poll::Ready(Ok(true))
    }
}

/// Returns the bytes of an error response that closes the connection.
fn refusal_bytes(status: u16, error: &Error) -> Vec<u8> {
    let reason = http::StatusCode::from_u16(status).ok().and_then(|status| {
        let reason = status.canonical_reason()?;
        Some(reason.to_owned())
    });
    let body = json!({ "error": {
        "message": error.to_string(), "type": "invalid_request_error", "code": error.code(),
        "param": null, "help": error.help(),
    }})
    .to_string();
    format!(
        "HTTP/1.1 {status} {}\r\ncontent-type: application/json\r\nconnection: close\r\n\
         x-request-id: {}\r\nx-sesamewall-outcome: {}\r\ncontent-length: {}\r\n\r\n{body}",
        reason.unwrap_or_default(),
        RequestId::random(&mut rand::rng()),
        error.outcome(),
        body.len(),
    )
    .into_bytes()
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.invalid.is_empty() {
            self.put_invalid(buffer);
            return Poll::Ready(Ok(()));
        }
        if self.refusal.is_some() || self.replacement.is_some() {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        if Pin::new(&mut self.inner).poll_read(cx, buffer)?.is_pending() {
            if !self.poll_timer(cx) {
                return Poll::Pending;
            }
            self.timer = None;
            let detail = format!("they did not arrive within {} s", HEAD_TIMEOUT.as_secs());
            self.refuse(408, Error::HeadersInvalid { detail }, buffer);
            return Poll::Ready(Ok(()));
        }
        if let Err((at, error)) = self.framing.push(&buffer.filled()[before..]) {
            buffer.set_filled(before + at);
            self.refuse(error.status(), error, buffer);
            return Poll::Ready(Ok(()));
        }
        match (self.framing.in_head(), self.timer.is_some()) {
            (true, false) => self.timer = Some(Box::pin(tokio::time::sleep(HEAD_TIMEOUT))),
            (false, true) => self.timer = None,
            _ => {}
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.replace_refusal(bytes);
        if ready!(self.poll_replacement(cx))? {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
        if self.replacement.is_none() {
            return Poll::Ready(Ok(()));
        }
        if !self.lingering {
            self.lingering = true;
            self.timer = Some(Box::pin(tokio::time::sleep(LINGER)));
        }
        let mut space = [0; 4096];
        loop {
            let mut buffer = ReadBuf::new(&mut space);
            let ended = match Pin::new(&mut self.inner).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) => buffer.filled().is_empty(),
                Poll::Ready(Err(_)) => true,
                Poll::Pending if self.poll_timer(cx) => true,
                Poll::Pending => return Poll::Pending,
            };
            if ended || self.poll_timer(cx) {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
