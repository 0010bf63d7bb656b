//! HTTP routes of the API for callers.

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
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Class;
use sesamewall_protocol::Error;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::KeyClaim;
use sesamewall_protocol::peer::StoredResponse;
use sesamewall_schedule::body_hash;
use tokio_util::sync::CancellationToken;

use super::auth;
use super::completions;
use super::headers;
use super::model_request::ModelRequest;
use super::models;
use super::plain_route;
use crate::Caller;
use crate::InstanceContext;
use crate::error_response::error_response;
use crate::execute::Call;
use crate::execute::Executor;
use crate::execute::PlainResponse;
use crate::execute::forward;
use crate::idempotency_service::ClaimResult;
use crate::idempotency_service::IdempotencyService;
use crate::idempotency_service::KeyGuard;

/// Maximum length of an idempotency key.
const KEY_LIMIT_BYTES: usize = 255;

/// The API for callers of one instance.
pub struct CallerService {
    context: Arc<InstanceContext>,
    executor: Arc<Executor>,
    idempotency: Arc<IdempotencyService>,
}

impl CallerService {
    /// Creates the service.
    pub fn new(
        context: Arc<InstanceContext>,
        executor: Arc<Executor>,
        idempotency: Arc<IdempotencyService>,
    ) -> Self {
        Self { context, executor, idempotency }
    }

    /// Returns the routes for callers, including `keyed`: routes of other services that need a key.
    pub fn router(self: Arc<Self>, keyed: Router) -> Router {
        let models = Router::new()
            .route("/v1/models", get(list_models))
            .route("/v1/models/{name}", get(get_model))
            .route("/v1/chat/completions", post(handle_model_call))
            .route("/v1/completions", post(handle_model_call))
            .with_state(self.clone());
        let keyed =
            models.merge(keyed).layer(middleware::from_fn_with_state(self.clone(), authenticate));
        let open = Router::new().fallback(handle_route).with_state(self.clone());
        open.merge(keyed).layer(middleware::from_fn_with_state(self, prepare_request))
    }

    /// Returns the routes for requests forwarded from other failure domains. They are served on an
    /// address that only instances can reach.
    pub fn forward_router(self: Arc<Self>) -> Router {
        Router::new().fallback(handle_forwarded).with_state(self)
    }

    async fn read_body(&self, body: Body) -> Result<Bytes> {
        let limit = self.context.settings.body_limit;
        let seconds = self.context.settings.body_seconds;
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
        self.context.recorder.record(request, account, decision);
        let labels = ["online", &error.code().to_string()];
        self.context.metrics.requests.with_label_values(&labels).inc();
        error_response(error, request)
    }

    async fn run_model(
        &self,
        mut call: Call,
        stream: bool,
        path: &str,
        key_guard: Option<KeyGuard>,
    ) -> Response {
        call.path = path.to_owned();
        if stream {
            return completions::stream_response(self.executor.clone(), call, key_guard).await;
        }
        let result = self.executor.run_plain(&call).await;
        if let Some((key_guard, response)) =
            response_to_store(key_guard, &result, completions::is_model_header)
        {
            key_guard.answered(response).await;
        }
        match result {
            Ok(response) => completions::complete_response(response, &call.request),
            Err(error) => error_response(&error, &call.request),
        }
    }

    async fn run_route(&self, call: Call, key_guard: Option<KeyGuard>) -> Response {
        let result = self.executor.run_plain(&call).await;
        if let Some((key_guard, response)) =
            response_to_store(key_guard, &result, is_service_header)
        {
            key_guard.answered(response).await;
        }
        match result {
            Ok(response) => completions::plain_response(response, &call.request, is_service_header),
            Err(error) => error_response(&error, &call.request),
        }
    }

    /// Claims the idempotency key of a call, if it has one and an account.
    async fn claim(
        &self,
        call: &Call,
        path: &str,
        key: Option<String>,
    ) -> Result<Option<ClaimResult>> {
        let (Some(key), Some(account)) = (key, &call.account) else { return Ok(None) };
        let mut digested = format!("{} {path}\n", call.method).into_bytes();
        digested.extend_from_slice(&call.body);
        let claim = KeyClaim {
            account: account.clone(),
            key,
            digest: body_hash(&digested),
            request: call.request.clone(),
            instance: self.context.local.name.clone(),
            idempotent: call.idempotent,
        };
        self.idempotency.claim(claim).await.map(Some)
    }
}

/// Returns the response to store under an idempotency key, if there is one, and releases the key of
/// a request that was not run. The end of a request with unknown outcome is reported when its guard
/// is dropped.
fn response_to_store(
    key_guard: Option<KeyGuard>,
    result: &Result<PlainResponse>,
    is_returned: impl Fn(&str) -> bool,
) -> Option<(KeyGuard, StoredResponse)> {
    let key_guard = key_guard?;
    let outcome = result.as_ref().map_or_else(Error::outcome, |response| response.outcome);
    match result {
        _ if outcome == Outcome::NotRun => key_guard.release(),
        Ok(response) if response.remaining.is_none() && outcome == Outcome::Run => {
            let headers =
                response.headers.iter().filter(|(name, _)| is_returned(name)).cloned().collect();
            let body = response.body.clone();
            return Some((key_guard, StoredResponse { status: response.status, headers, body }));
        }
        _ => {}
    }
    None
}

/// Returns the response that was stored under an idempotency key.
fn replay_response(stored: StoredResponse, request: &RequestId) -> Response {
    let StoredResponse { status, headers, body } = stored;
    let plain = PlainResponse { status, headers, body, outcome: Outcome::Run, remaining: None };
    let mut response = completions::plain_response(plain, request, |_| true);
    let mark = http::HeaderValue::from_static("true");
    response.headers_mut().insert("idempotent-replayed", mark);
    response
}

/// Returns the value of the header `idempotency-key`, if it is set.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>> {
    let mut values = headers.get_all("idempotency-key").iter();
    let key = match (values.next(), values.next()) {
        (None, _) => return Ok(None),
        (Some(value), None) => value.to_str().ok(),
        _ => None,
    };
    match key {
        Some(key) if !key.is_empty() && key.len() <= KEY_LIMIT_BYTES => Ok(Some(key.to_owned())),
        _ => Err(Error::FieldInvalid {
            field: "Idempotency-Key".to_owned(),
            detail: format!("one value of 1 to {KEY_LIMIT_BYTES} ASCII characters is allowed"),
        }),
    }
}

/// Returns whether a response header of a service is returned to the caller. Headers that apply
/// only to the service's connection are not.
fn is_service_header(name: &str) -> bool {
    let dropped =
        ["connection", "transfer-encoding", "content-length", "keep-alive", "x-attempt-id"];
    !dropped.contains(&name)
}

/// Assigns an identifier to each request, and closes connections during a shutdown.
async fn prepare_request(
    State(service): State<Arc<CallerService>>,
    mut request: Request,
    next: Next,
) -> Response {
    let id = RequestId::random(&mut rand::rng());
    // Before the configuration is loaded, every key would be refused as invalid.
    if !service.context.config.is_loaded() {
        return service.refuse(&id, None, &Error::Starting);
    }
    request.extensions_mut().insert(id.clone());
    let mut response = next.run(request).await;
    if !response.headers().contains_key("x-request-id") {
        completions::set_outcome_headers(&mut response, &id, Outcome::Run);
    }
    if service.context.draining.load(Ordering::Relaxed) {
        response.headers_mut().insert(header::CONNECTION, http::HeaderValue::from_static("close"));
    }
    response
}

async fn authenticate(
    State(service): State<Arc<CallerService>>,
    mut request: Request,
    next: Next,
) -> Response {
    let id = request_id(&request);
    let configuration = service.context.config.current();
    match auth::find_account(&configuration, request.headers(), request.uri()) {
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
    Json(models::list(&service.context.config.current())).into_response()
}

async fn get_model(
    State(service): State<Arc<CallerService>>,
    axum::Extension(caller): axum::Extension<Caller>,
    Path(name): Path<String>,
) -> Response {
    match models::get(&service.context.config.current(), &name) {
        Ok(model) => Json(model).into_response(),
        Err(error) => service.refuse(&caller.request, Some(&caller.account), &error),
    }
}

async fn handle_model_call(
    State(service): State<Arc<CallerService>>,
    axum::Extension(caller): axum::Extension<Caller>,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let parsed = async {
        let key = idempotency_key(&headers)?;
        let body = service.read_body(body).await?;
        let request = ModelRequest::parse(&body)?;
        request.check_endpoint(uri.path().contains("chat"))?;
        let configuration = service.context.config.current();
        let call = request.to_call(&configuration, &caller.request, Some(&caller.account))?;
        let claimed = service.claim(&call, uri.path(), key).await?;
        Ok((call, request.stream, claimed))
    };
    match parsed.await {
        Ok((call, _, Some(ClaimResult::Answer(response)))) => {
            replay_response(response, &call.request)
        }
        Ok((call, stream, Some(ClaimResult::Run(key_guard)))) => {
            service.run_model(call, stream, uri.path(), Some(key_guard)).await
        }
        Ok((call, stream, None)) => service.run_model(call, stream, uri.path(), None).await,
        Err(error) => service.refuse(&caller.request, Some(&caller.account), &error),
    }
}

async fn handle_route(State(service): State<Arc<CallerService>>, request: Request) -> Response {
    let id = request_id(&request);
    let key = idempotency_key(request.headers());
    let built = match (route_call(&service, &id, request).await, key) {
        (Ok(call), Ok(key)) => match service.claim(&call, &call.path, key).await {
            Ok(claimed) => Ok((call, claimed)),
            Err(error) => Err((call.account, error)),
        },
        (Ok(call), Err(error)) => Err((call.account, error)),
        (Err(refused), _) => Err(refused),
    };
    match built {
        Ok((call, None)) => service.run_route(call, None).await,
        Ok((call, Some(ClaimResult::Run(key_guard)))) => {
            service.run_route(call, Some(key_guard)).await
        }
        Ok((call, Some(ClaimResult::Answer(response)))) => replay_response(response, &call.request),
        Err((account, error)) => service.refuse(&id, account.as_ref(), &error),
    }
}

async fn route_call(
    service: &CallerService,
    id: &RequestId,
    request: Request,
) -> std::result::Result<Call, (Option<AccountName>, Error)> {
    let (head, body) = request.into_parts();
    let configuration = service.context.config.current();
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let path = head.uri.path();
    let Some(route) = configuration.route(host, path).cloned() else {
        return Err((None, Error::RouteUnknown { path: path.to_owned() }));
    };
    let account = match route.open {
        true => None,
        false => match auth::find_account(&configuration, &head.headers, &head.uri) {
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
        no_wait: false,
        resume_from: 0,
        resume_version: String::new(),
        urgent: false,
        trace: None,
        cancel: CancellationToken::new(),
    })
}

/// Runs a request forwarded by another instance, which has checked its key and rate.
async fn handle_forwarded(State(service): State<Arc<CallerService>>, request: Request) -> Response {
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
    let no_wait = head.headers.contains_key(forward::NO_WAIT);
    let resume_from = field(forward::RESUME_FROM).and_then(|from| from.parse().ok()).unwrap_or(0);
    let resume_version = field(forward::VERSION).unwrap_or_default();
    let body = match service.read_body(body).await {
        Ok(body) => body,
        Err(error) => return service.refuse(&id, account.as_ref(), &error),
    };
    let configuration = service.context.config.current();
    let path = head.uri.path().to_owned();
    let built = match path.as_str() {
        "/v1/chat/completions" | "/v1/completions" => {
            ModelRequest::parse(&body).and_then(|request| {
                let call = request.to_call(&configuration, &id, account.as_ref())?;
                Ok((call, Some(request.stream)))
            })
        }
        _ => forwarded_route_call(&configuration, &head, &id, account.as_ref(), body.clone())
            .map(|call| (call, None)),
    };
    match built {
        Ok((call, stream)) => {
            let call =
                Call { class, forwarded: true, no_wait, resume_from, resume_version, ..call };
            match stream {
                Some(stream) => service.run_model(call, stream, &path, None).await,
                None => service.run_route(call, None).await,
            }
        }
        Err(error) => service.refuse(&id, account.as_ref(), &error),
    }
}

fn forwarded_route_call(
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
        no_wait: false,
        resume_from: 0,
        resume_version: String::new(),
        urgent: false,
        trace: None,
        cancel: CancellationToken::new(),
    })
}
