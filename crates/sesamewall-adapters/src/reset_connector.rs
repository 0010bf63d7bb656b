//! Connections that are reset when they are closed, for requests that must not arrive once their
//! sender has given them up.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Opens connections with zero linger. Closing one in order would leave the unsent bytes of a
/// request to the kernel, which delivers them whenever the path is back.
#[derive(Clone, Debug)]
pub struct ResetConnector {
    inner: HttpConnector,
}

impl ResetConnector {
    /// Creates a connector with the connect timeout `connect`.
    pub fn new(connect: Duration) -> Self {
        let mut inner = HttpConnector::new();
        inner.set_connect_timeout(Some(connect));
        inner.set_nodelay(true);
        Self { inner }
    }
}

impl Service<Uri> for ResetConnector {
    type Response = TokioIo<TcpStream>;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(context).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.inner.call(uri);
        Box::pin(async move {
            let stream = connecting.await?;
            stream.inner().set_zero_linger()?;
            Ok(stream)
        })
    }
}
