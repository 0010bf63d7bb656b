//! Routes of the callers' API.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::Path;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use http::HeaderMap;
use http::Uri;
use http::header;
use sesamewall_adapters::RESUME_HEADER;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Class;
use sesamewall_protocol::Error;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::Result;
use sesamewall_schedule::body_hash;
use tokio_util::sync::CancellationToken;

use super::auth;
use super::completions;
use super::headers;
use super::model_request::ModelRequest;
use super::models;
use super::plain_route;
use crate::Caller;
use crate::Node;
use crate::answer::error_response;
use crate::execute::Call;
use crate::execute::Executor;
use crate::execute::forward;

/// The callers' API of one instance.
pub struct CallerService {
    node: Arc<Node>,
    executor: Arc<Executor>,
}

impl CallerService {
    /// Creates the service.
    pub fn new(node: Arc<Node>, executor: Arc<Executor>) -> Self {
        Self { node, executor }
    }

    /// Returns the routes for callers; `keyed` are routes of other services that need a key.
    pub fn router(self: Arc<Self>, keyed: Router) -> Router {
        let models = Router::new()
            .route("/v1/models", get(list_models))
            .route("/v1/models/{name}", get(get_model))
            .route("/v1/chat/completions", post(complete))
            .route("/v1/completions", post(complete))
            .with_state(self.clone());
        let keyed =
            models.merge(keyed).layer(middleware::from_fn_with_state(self.clone(), authenticate));
        let open = Router::new().fallback(plain).with_state(self.clone());
        open.merge(keyed).layer(middleware::from_fn_with_state(self, prepare))
    }

    /// Returns the routes for requests forwarded from other failure domains. They are served on an
    /// address that only instances reach.
    pub fn forward_router(self: Arc<Self>) -> Router {
        Router::new().fallback(forwarded).with_state(self)
    }

    async fn read_body(&self, body: Body) -> Result<Bytes> {
        let limit = self.node.settings.body_limit;
        let seconds = self.node.settings.body_seconds;
        let read = axum::body::to_bytes(body, limit);
        match tokio::time::timeout(Duration::from_secs(seconds), read).await {
            Err(_) => Err(Error::BodyTimeout { seconds }),
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(_)) => Err(Error::BodyTooLarge { limit }),
        }
    }

    fn refuse(
        &self,
        request: &RequestId,
        account: Option<&AccountName>,
        error: &Error,
    ) -> Response {
        let decision = sesamewall_protocol::Decision::Refused {
            code: error.code(),
            rule: error.rule().to_owned(),
            numbers: error.numbers(),
            outcome: error.outcome(),
        };
        self.node.recorder.note(request, account, decision);
        let labels = ["online", &error.code().to_string()];
        self.node.metrics.requests.with_label_values(&labels).inc();
        error_response(error, request)
    }

    async fn run_model(&self, mut call: Call, stream: bool, path: &str) -> Response {
        call.path = path.to_owned();
        if stream {
            return completions::streamed(self.executor.clone(), call).await;
        }
        match self.executor.run_plain(&call).await {
            Ok(answer) => completions::whole(answer, &call.request),
            Err(error) => error_response(&error, &call.request),
        }
    }

    async fn run_route(&self, call: Call) -> Response {
        match self.executor.run_plain(&call).await {
            Ok(answer) => completions::plain(answer, &call.request, passes_back),
            Err(error) => error_response(&error, &call.request),
        }
    }
}

/// Headers of a service's answer that belong to its connection are not passed on.
fn passes_back(name: &str) -> bool {
    let dropped =
        ["connection", "transfer-encoding", "content-length", "keep-alive", "x-attempt-id"];
    !dropped.contains(&name)
}

/// Gives each request its identifier, refuses ambiguous headers and work during a shutdown.
async fn prepare(
    State(service): State<Arc<CallerService>>,
    mut request: Request,
    next: Next,
) -> Response {
    let id = RequestId::random(&mut rand::rng());
    if let Err(error) = check_headers(request.headers()) {
        return service.refuse(&id, None, &error);
    }
    request.extensions_mut().insert(id.clone());
    let mut answer = next.run(request).await;
    if !answer.headers().contains_key("x-request-id") {
        completions::mark(&mut answer, &id, Outcome::Run);
    }
    if service.node.draining.load(Ordering::Relaxed) {
        answer.headers_mut().insert(header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    answer
}

fn check_headers(headers: &HeaderMap) -> Result<()> {
    let count = |name| headers.get_all(name).iter().count();
    let lengths = count(header::CONTENT_LENGTH);
    let detail = match (lengths, count(header::TRANSFER_ENCODING), count(header::HOST)) {
        (0..=1, 0, 0..=1) | (0, 1, 0..=1) => return Ok(()),
        (_, _, 2..) => "more than one `host`",
        (_, 1.., _) => "`transfer-encoding` together with `content-length`, or twice",
        _ => "more than one `content-length`",
    };
    Err(Error::HeadersInvalid { detail: detail.to_owned() })
}

async fn authenticate(
    State(service): State<Arc<CallerService>>,
    mut request: Request,
    next: Next,
) -> Response {
    let id = request_id(&request);
    let configuration = service.node.config.current();
    match auth::credentials(&configuration, request.headers(), request.uri()) {
        Ok(account) => {
            request.extensions_mut().insert(Caller { account, request: id });
            next.run(request).await
        }
        Err(error) => service.refuse(&id, None, &error),
    }
}

fn request_id(request: &Request) -> RequestId {
    match request.extensions().get::<RequestId>() {
        Some(id) => id.clone(),
        None => RequestId::random(&mut rand::rng()),
    }
}

async fn list_models(State(service): State<Arc<CallerService>>) -> Response {
    Json(models::list(&service.node.config.current())).into_response()
}

async fn get_model(
    State(service): State<Arc<CallerService>>,
    axum::Extension(caller): axum::Extension<Caller>,
    Path(name): Path<String>,
) -> Response {
    match models::get(&service.node.config.current(), &name) {
        Ok(model) => Json(model).into_response(),
        Err(error) => service.refuse(&caller.request, Some(&caller.account), &error),
    }
}

async fn complete(
    State(service): State<Arc<CallerService>>,
    axum::Extension(caller): axum::Extension<Caller>,
    uri: Uri,
    body: Body,
) -> Response {
    let parsed = async {
        let body = service.read_body(body).await?;
        let request = ModelRequest::parse(&body)?;
        request.check_endpoint(uri.path().contains("chat"))?;
        let configuration = service.node.config.current();
        let call = request.call(&configuration, &caller.request, Some(&caller.account))?;
        Ok((call, request.stream))
    };
    match parsed.await {
        Ok((call, stream)) => service.run_model(call, stream, uri.path()).await,
        Err(error) => service.refuse(&caller.request, Some(&caller.account), &error),
    }
}

async fn plain(State(service): State<Arc<CallerService>>, request: Request) -> Response {
    let id = request_id(&request);
    match plain_call(&service, &id, request).await {
        Ok(call) => service.run_route(call).await,
        Err((account, error)) => service.refuse(&id, account.as_ref(), &error),
    }
}

async fn plain_call(
    service: &CallerService,
    id: &RequestId,
    request: Request,
) -> std::result::Result<Call, (Option<AccountName>, Error)> {
    let (head, body) = request.into_parts();
    let configuration = service.node.config.current();
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let path = head.uri.path();
    let Some(route) = configuration.route(host, path).cloned() else {
        return Err((None, Error::RouteUnknown { path: path.to_owned() }));
    };
    let account = match route.open {
        true => None,
        false => match auth::credentials(&configuration, &head.headers, &head.uri) {
            Ok(account) => Some(account),
            Err(error) => return Err((None, error)),
        },
    };
    let body = service.read_body(body).await.map_err(|error| (account.clone(), error))?;
    let size = body.len() as u64;
    Ok(Call {
        request: id.clone(),
        account,
        class: Class::Online,
        model: ModelName::from(route.group.as_str()),
        method: head.method.to_string(),
        path: headers::clean_query(&configuration, &head.uri),
        headers: headers::clean_headers(&configuration, &head.headers),
        digest: body_hash(&body),
        prompt: 1 + size / 1024,
        work: 1 + size / 1024,
        body,
        prefix: Vec::new(),
        idempotent: plain_route::is_idempotent(&route, head.method.as_str(), path),
        forwarded: false,
        resume_from: 0,
        cancel: CancellationToken::new(),
    })
}

/// Runs a request that another instance accepted. Key and rate were checked there.
async fn forwarded(State(service): State<Arc<CallerService>>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let field = |name: &str| Some(head.headers.get(name)?.to_str().ok()?.to_owned());
    let id = match field(forward::REQUEST) {
        Some(id) => RequestId::from(id),
        None => RequestId::random(&mut rand::rng()),
    };
    let account = field(forward::ACCOUNT).map(AccountName::from);
    let class = match field(forward::CLASS).as_deref() {
        Some("batch") => Class::Batch,
        _ => Class::Online,
    };
    let resume_from = field(RESUME_HEADER).and_then(|tokens| tokens.parse().ok()).unwrap_or(0);
    let body = match service.read_body(body).await {
        Ok(body) => body,
        Err(error) => return service.refuse(&id, account.as_ref(), &error),
    };
    let configuration = service.node.config.current();
    let path = head.uri.path().to_owned();
    let built = match path.as_str() {
        "/v1/chat/completions" | "/v1/completions" => {
            ModelRequest::parse(&body).and_then(|request| {
                let call = request.call(&configuration, &id, account.as_ref())?;
                Ok((call, Some(request.stream)))
            })
        }
        _ => forwarded_route(&configuration, &head, &id, account.as_ref(), body.clone())
            .map(|call| (call, None)),
    };
    match built {
        Ok((call, stream)) => {
            let call = Call { class, forwarded: true, resume_from, ..call };
            match stream {
                Some(stream) => service.run_model(call, stream, &path).await,
                None => service.run_route(call).await,
            }
        }
        Err(error) => service.refuse(&id, account.as_ref(), &error),
    }
}

fn forwarded_route(
    configuration: &sesamewall_membership::Configuration,
    head: &http::request::Parts,
    id: &RequestId,
    account: Option<&AccountName>,
    body: Bytes,
) -> Result<Call> {
    let group = head.headers.get(forward::GROUP).and_then(|group| group.to_str().ok());
    let path = head.uri.path();
    let route = configuration
        .route(None, path)
        .filter(|route| group.is_none_or(|group| route.group == group))
        .ok_or_else(|| Error::RouteUnknown { path: path.to_owned() })?;
    let size = body.len() as u64;
    Ok(Call {
        request: id.clone(),
        account: account.cloned(),
        class: Class::Online,
        model: ModelName::from(route.group.as_str()),
        method: head.method.to_string(),
        path: headers::clean_query(configuration, &head.uri),
        headers: headers::clean_headers(configuration, &head.headers),
        digest: body_hash(&body),
        prompt: 1 + size / 1024,
        work: 1 + size / 1024,
        body,
        prefix: Vec::new(),
        idempotent: plain_route::is_idempotent(route, head.method.as_str(), path),
        forwarded: true,
        resume_from: 0,
        cancel: CancellationToken::new(),
    })
}
