//! The HTTP API for callers.

mod auth;
mod completions;
mod framing;
mod guarded_stream;
mod headers;
mod model_request;
mod models;
mod plain_route;
mod router;
mod serve;

pub use model_request::ModelRequest;
pub use plain_route::is_idempotent;
pub use plain_route::plain_route_call;
pub use router::CallerService;
pub use serve::serve_http;
