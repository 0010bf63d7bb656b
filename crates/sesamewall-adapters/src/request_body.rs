//! Bodies of requests to targets, which tell how much of them has not been sent.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

/// The bytes of a request's body that its connection has not written to the socket.
#[derive(Clone, Debug, Default)]
pub struct UnsentBytes(Arc<AtomicUsize>);

impl UnsentBytes {
    /// Returns whether the whole body was written.
    pub fn is_empty(&self) -> bool {
        self.0.load(Ordering::Acquire) == 0
    }
}

/// The body of a request.
#[derive(Debug, Default)]
pub struct RequestBody {
    data: Option<RequestData>,
    unsent: UnsentBytes,
}

impl RequestBody {
    /// Returns the count of the bytes that have not been sent.
    pub fn unsent(&self) -> UnsentBytes {
        self.unsent.clone()
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        let unsent = UnsentBytes(Arc::new(AtomicUsize::new(bytes.len())));
        let data = RequestData { bytes, unsent: unsent.clone() };
        Self { data: Some(data).filter(|data| data.has_remaining()), unsent }
    }
}

impl Body for RequestBody {
    type Data = RequestData;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |data| data.remaining() as u64))
    }
}

/// Data of a request's body. A connection that queues buffers, instead of copying them, advances it by
/// what the socket has taken.
#[derive(Debug)]
pub struct RequestData {
    bytes: Bytes,
    unsent: UnsentBytes,
}

impl Buf for RequestData {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        self.unsent.0.store(self.bytes.remaining(), Ordering::Release);
    }
}

/// Returns whether the body of a response shows its own end. Without a length and without chunks it
/// ends with its connection, also when the target stops early.
pub fn is_framed(headers: &HeaderMap, body: &Incoming) -> bool {
    let coding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    match coding.map(|value| value.as_bytes().to_ascii_lowercase()) {
        _ if body.is_end_stream() => true,
        Some(coding) => coding.trim_ascii_end().ends_with(b"chunked"),
        None => headers.contains_key(CONTENT_LENGTH),
    }
}

/// Returns whether a body that has ended is complete. One that ends with its connection is not if the
/// request was still being written then: the connection broke, and the target cannot have read what
/// it answers.
pub fn is_complete(framed: bool, unsent: &UnsentBytes) -> bool {
    framed || unsent.is_empty()
}
