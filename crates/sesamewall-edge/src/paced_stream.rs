//! A connection that fails when its client accepts no bytes for too long.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::connection_table::ConnectionUsage;

/// A connection whose writes fail once the client has accepted no byte for a while.
#[derive(Debug)]
pub struct PacedStream {
    stream: TcpStream,
    usage: ConnectionUsage,
    stall: Duration,
    /// Runs while a write waits for the client.
    timer: Option<Pin<Box<Sleep>>>,
}

impl PacedStream {
    /// Creates a connection that fails after `stall` without progress of a write, and records in
    /// `usage` when bytes arrive.
    pub fn new(stream: TcpStream, usage: ConnectionUsage, stall: Duration) -> Self {
        Self { stream, usage, stall, timer: None }
    }

    /// Ends the connection after its last response. What the client still sends is read and dropped
    /// for a bounded time: a close with unread bytes would reset the connection, and the client
    /// could lose the response.
    pub async fn close(mut self, time: Duration, bytes: usize) {
        let drain = async {
            self.stream.shutdown().await?;
            let mut buffer = [0; 2048];
            let mut left = bytes;
            while left > 0 {
                match self.stream.read(&mut buffer).await? {
                    0 => break,
                    count => left = left.saturating_sub(count),
                }
            }
            Ok::<(), io::Error>(())
        };
        // The connection is dropped whether or not the client has closed it.
        let _ = tokio::time::timeout(time, drain).await;
    }

    fn check_stall(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let stall = self.stall;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(Instant::now() + stall)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.usage.on_bytes();
        }
        read
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write(context, bytes) {
            Poll::Pending => self.check_stall(context),
            ready => {
                self.timer = None;
                ready
            }
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write_vectored(context, buffers) {
            Poll::Pending => self.check_stall(context),
            ready => {
                self.timer = None;
                ready
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
