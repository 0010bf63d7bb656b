//! Serves callers' requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use sesamewall_fleet::AccountSpec;
use sesamewall_fleet::Catalog;
use sesamewall_fleet::PlacementError;
use sesamewall_fleet::RouteKind;
use sesamewall_fleet::RouteSpec;
use sesamewall_platform::REQUEST_ID;
use sesamewall_platform::parse_job_call;
use sesamewall_protocol::Error;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use slog::info;

use crate::InstanceContext;
use crate::attempt::Answer;
use crate::attempt::AttemptError;
use crate::attempt::attempt;
use crate::call::Call;
use crate::call::DEFAULT_TIMEOUT;
use crate::job_api::JobApi;
use crate::response::HttpResponse;
use crate::response::error_response;
use crate::response::full;
use crate::response::strip_connection_headers;
use crate::stream_relay::StreamRelay;

/// Attempts that targets did not run, after which a request is refused.
const MAX_NOT_RUN: usize = 3;

/// Shortest and longest time after which a refused caller should come back. The traffic's peaks last
/// some seconds; the spread keeps refused callers from coming back together.
const RETRY_SPREAD: (f64, f64) = (0.3, 1.5);

/// Longest wait for the configuration after the start: a read of the store takes some milliseconds, and a
/// caller is refused within a quarter of the usual objective of 300 ms.
const START_WAIT: Duration = Duration::from_millis(75);

/// Time between two looks at what is waited for after the start.
const START_STEP: Duration = Duration::from_millis(5);

/// Time after which a caller should come back when nothing is known.
const RETRY_BLIND: Duration = Duration::from_millis(500);

/// A refusal or failure by the system itself.
struct Refusal {
    error: Error,
    retry: Option<Duration>,
}

impl Refusal {
    fn new(error: Error) -> Self {
        Self { error, retry: None }
    }

    fn later(error: Error, retry: Duration) -> Self {
        Self { error, retry: Some(retry) }
    }
}

/// The service behind the callers' address.
pub struct Online {
    context: Arc<InstanceContext>,
    jobs: Arc<JobApi>,
}

impl Online {
    /// Creates the service.
    pub fn new(context: Arc<InstanceContext>, jobs: Arc<JobApi>) -> Self {
        Self { context, jobs }
    }

    /// Answers a request.
    pub async fn serve(&self, request: Request<Incoming>) -> HttpResponse {
        let arrived = self.context.now();
        let id = request.headers().get(REQUEST_ID).cloned();
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let mut reply = match self.handle(request, arrived).await {
            Ok(reply) => reply,
            Err(refusal) => {
                let code = refusal.error.code().to_string();
                self.context.metrics.refusals.with_label_values(&[&code]).inc();
                info!(self.context.log, "request refused";
                    "request" => id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("?"),
                    "method" => method.as_str(), "path" => path, "code" => code,
                    "detail" => %refusal.error, "inputs" => inputs(&refusal.error),
                    "retry_ms" => refusal.retry.map(|retry| retry.as_millis() as u64),
                    "held_ms" => self.context.now().since(arrived).as_millis() as u64);
                error_response(&refusal.error, refusal.retry, id.as_ref())
            }
        };
        if self.context.is_draining() {
            let close = http::HeaderValue::from_static("close");
            reply.headers_mut().insert(header::CONNECTION, close);
        }
        reply
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        arrived: Time,
    ) -> Result<HttpResponse, Refusal> {
        let catalog =
            self.started().await.ok_or_else(|| Refusal::later(Error::Starting, RETRY_BLIND))?;
        let (head, body) = request.into_parts();
        let host = host(&head.headers, &head.uri).to_owned();
        let about_job = parse_job_call(&head.method, &head.uri);
        let known_host = !catalog.host_routes(&host).is_empty();
        if let Some(call) = about_job.filter(|_| known_host) {
            let account = account(&catalog, &head.headers, None)?;
            drain(body, catalog.limits.body_bytes, DEFAULT_TIMEOUT).await?;
            return self
                .jobs
                .serve(call, account.as_deref(), &head.headers)
                .await
                .map_err(|error| Refusal::later(error, RETRY_BLIND));
        }
        let unknown = || Refusal::new(Error::RouteUnknown { path: head.uri.path().to_owned() });
        let route = catalog.route(&host, head.uri.path()).cloned().ok_or_else(unknown)?;
        let account = account(&catalog, &head.headers, Some(&route))?;
        let body = drain(body, catalog.limits.body_bytes, body_time(&route)).await?;
        if route.kind == RouteKind::Batch && head.method == http::Method::POST {
            let submit = self.jobs.submit(&route, account.as_deref(), &host, &head, &body);
            return submit.await.map_err(|(error, retry)| Refusal::later(error, retry));
        }
        let none = Error::NoTarget { model: route.name.to_string() };
        let call = Call::new(
            route,
            account,
            catalog.version,
            head.method,
            head.uri,
            head.headers,
            body,
            arrived,
            rand::random(),
        );
        let call = call.ok_or_else(|| Refusal::later(none, RETRY_BLIND))?;
        self.level_known(&call).await;
        self.admit(&call)?;
        self.run(Arc::new(call)).await
    }

    /// Returns the configuration. Right after the start it is waited for: it usually comes sooner than the
    /// caller could be back.
    async fn started(&self) -> Option<Arc<Catalog>> {
        let until = self.context.now() + START_WAIT;
        loop {
            let catalog = self.context.catalog();
            if catalog.is_some() || self.context.now() >= until {
                return catalog;
            }
            tokio::time::sleep(START_STEP).await;
        }
    }

    /// Waits until the level of the account's bucket is known. It is unknown for a moment after a start,
    /// and a refusal would not be true then.
    async fn level_known(&self, call: &Call) {
        let Some(account) = &call.account else { return };
        loop {
            let now = self.context.now();
            if self.context.state().rates.unknown_until(&account.name, now).is_none() {
                return;
            }
            tokio::time::sleep(START_STEP).await;
        }
    }

    /// Checks crash marks and takes a token of the account's rate.
    fn admit(&self, call: &Call) -> Result<(), Refusal> {
        let now = self.context.now();
        let mut state = self.context.state();
        if state.suspects.is_blocked(call.hash) {
            // Not a fault of the request for sure: innocent requests can share three crashes.
            let detail = format!("running at {} crashes", state.suspects.crashes(call.hash));
            return Err(Refusal::new(Error::TargetLost { target: String::new(), detail }));
        }
        let Some(account) = &call.account else { return Ok(()) };
        let part = state.front_coverage(now);
        let level = state.rates.level(&account.name);
        state.rates.take(&account.name, part, now).map_err(|retry| {
            let numbers = vec![
                ("rate".to_owned(), account.rate),
                ("burst".to_owned(), account.burst),
                ("level".to_owned(), level.unwrap_or_default()),
                ("part".to_owned(), part),
            ];
            let error = Error::RateExceeded {
                account: account.name.to_string(),
                retry_ms: retry.as_millis() as u64,
                numbers,
            };
            Refusal::later(error, retry)
        })
    }

    async fn run(&self, call: Arc<Call>) -> Result<HttpResponse, Refusal> {
        let result = self.attempts(&call).await;
        if let Err(refusal) = &result
            && refusal.error.status() == 503
            && let Some(account) = &call.account
        {
            let now = self.context.now();
            self.context.state().rates.refund(&account.name, now);
        }
        result
    }

    async fn attempts(&self, call: &Arc<Call>) -> Result<HttpResponse, Refusal> {
        let mut tried: Vec<TargetName> = Vec::new();
        let mut runs = 0;
        loop {
            let now = self.context.now();
            if now >= call.deadline {
                return Err(self.out_of_time(call, runs));
            }
            let chosen = match call.choose(&self.context, &tried) {
                Ok(chosen) => chosen,
                Err(reason) => return Err(self.no_place(call, reason, runs)),
            };
            let limit =
                call.patience(now, runs, |silence, route| silence.first_byte(route, &chosen));
            let outgoing = call.outgoing(None, now);
            let result = attempt(&self.context, &chosen, &outgoing, limit).await;
            info!(self.context.log, "attempt"; "request" => call.id_text(),
                "route" => &*call.route.name, "version" => call.version,
                "account" => call.account.as_ref().map(|account| account.name.to_string()),
                "target" => %chosen.name, "online" => chosen.online, "batch" => chosen.batch,
                "end" => match &result {
                    Ok(answer) => format!("status {}", answer.status.as_u16()),
                    Err(error) => error.to_string(),
                },
                "ms" => self.context.now().since(call.arrived).as_millis() as u64);
            tried.push(chosen.name.clone());
            let error = match result {
                Ok(answer) => {
                    let repeat = answer.status.is_server_error()
                        && call.route.kind.may_repeat()
                        && runs + 1 < call.route.attempts;
                    if !repeat {
                        match self.answer(call, answer, &mut tried, runs + 1).await {
                            Ok(reply) => return Ok(reply),
                            Err(error) => error,
                        }
                    } else {
                        AttemptError::Failed(answer.status.as_u16())
                    }
                }
                Err(error) => error,
            };
            if error.not_run() {
                if tried.len() >= MAX_NOT_RUN + runs as usize {
                    return Err(self.no_place(call, PlacementError::Full, runs));
                }
                continue;
            }
            runs += 1;
            if matches!(error, AttemptError::Lost(_)) {
                let now = self.context.now();
                self.context.state().suspects.on_crash(call.hash, now);
            }
            if !call.route.kind.may_repeat() || runs >= call.route.attempts {
                return Err(Refusal::new(match error {
                    AttemptError::Mismatch => {
                        Error::AnswerMismatch { target: chosen.name.to_string() }
                    }
                    AttemptError::Silent(_) if self.context.now() >= call.deadline => {
                        return Err(self.out_of_time(call, runs));
                    }
                    error => Error::TargetLost {
                        target: chosen.name.to_string(),
                        detail: error.to_string(),
                    },
                }));
            }
        }
    }

    /// Passes an answer on: a stream event by event, anything else whole.
    async fn answer(
        &self,
        call: &Arc<Call>,
        mut answer: Answer,
        tried: &mut [TargetName],
        runs: u32,
    ) -> Result<HttpResponse, AttemptError> {
        let mut headers = answer.headers.clone();
        strip_connection_headers(&mut headers);
        let status = answer.status;
        let body = if status == StatusCode::OK && call.is_stream() {
            headers.remove(header::CONTENT_LENGTH);
            StreamRelay::body(self.context.clone(), call.clone(), answer, tried.to_vec(), runs)
        } else {
            let left = call.deadline.since(self.context.now());
            let whole: Bytes = answer.collect(&self.context, left).await?;
            answer.finish(&self.context);
            self.context.state().suspects.on_success(call.hash);
            full(whole)
        };
        let waited = self.context.now().since(call.arrived).as_secs_f64();
        self.context.metrics.first_byte.with_label_values(&[&call.route.name]).observe(waited);
        let labels = [&*call.route.name, status.as_str()];
        self.context.metrics.requests.with_label_values(&labels).inc();
        let mut reply = Response::new(body);
        *reply.status_mut() = status;
        *reply.headers_mut() = headers;
        Ok(reply)
    }

    fn no_place(&self, call: &Call, reason: PlacementError, runs: u32) -> Refusal {
        let model = call.route.name.to_string();
        let (low, high) = RETRY_SPREAD;
        let retry = Duration::from_secs_f64(low + (high - low) * rand::random::<f64>());
        match (runs, reason) {
            (0, PlacementError::NoTarget) => Refusal::later(Error::NoTarget { model }, RETRY_BLIND),
            (0, reason) => {
                let numbers = vec![
                    ("in_flight".to_owned(), self.in_flight()),
                    ("part".to_owned(), self.context.state().fleet_coverage(self.context.now())),
                ];
                let error = Error::QueueTimeout { model: format!("{model}: {reason}"), numbers };
                Refusal::later(error, retry)
            }
            // A target may have run the request: no promise.
            _ => Refusal::new(Error::TargetLost {
                target: String::new(),
                detail: format!("no other target: {reason}"),
            }),
        }
    }

    fn in_flight(&self) -> f64 {
        f64::from(self.context.state().peers.online_total())
    }

    fn out_of_time(&self, call: &Call, runs: u32) -> Refusal {
        match runs {
            0 => {
                let model = call.route.name.to_string();
                let error = Error::QueueTimeout { model, numbers: Vec::new() };
                Refusal::later(error, RETRY_BLIND)
            }
            _ => Refusal::new(Error::TargetLost {
                target: String::new(),
                detail: "no answer in time".to_owned(),
            }),
        }
    }
}

/// Returns the numbers that a refusal was decided on.
fn inputs(error: &Error) -> String {
    let numbers = match error {
        Error::RateExceeded { numbers, .. }
        | Error::TokensWaiting { numbers, .. }
        | Error::JobLate { numbers, .. }
        | Error::QueueTimeout { numbers, .. } => numbers,
        _ => return String::new(),
    };
    numbers.iter().map(|(name, value)| format!("{name}={value:.2}")).collect::<Vec<_>>().join(" ")
}

fn host<'a>(headers: &'a HeaderMap, uri: &'a http::Uri) -> &'a str {
    let named = headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = named.or_else(|| uri.authority().map(http::uri::Authority::as_str)).unwrap_or("");
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Returns the account of a request's key; `None` where no key is needed.
fn account(
    catalog: &Catalog,
    headers: &HeaderMap,
    route: Option<&RouteSpec>,
) -> Result<Option<Arc<AccountSpec>>, Refusal> {
    if !catalog.requires_keys || route.is_some_and(|route| route.public) {
        return Ok(None);
    }
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.split_once(' '));
    let key = key.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
    let (_, key) = key.ok_or_else(|| Refusal::new(Error::KeyMissing))?;
    let account = catalog.account_of(key.trim()).cloned();
    account.map(Some).ok_or_else(|| Refusal::new(Error::KeyInvalid))
}

/// Returns the time in which a request's body has to arrive: later it could not be answered any more.
fn body_time(route: &RouteSpec) -> Duration {
    match route.timeout.is_zero() {
        true => DEFAULT_TIMEOUT,
        false => route.timeout,
    }
}

/// Reads a whole body of at most `limit` bytes that arrives within `time`.
async fn drain(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, Refusal> {
    let collected = tokio::time::timeout(time, Limited::new(body, limit).collect()).await;
    let late = |_| Refusal::new(Error::BodyTimeout { seconds: time.as_secs() });
    collected.map_err(late)?.map(|body| body.to_bytes()).map_err(|error| {
        let large = error.is::<http_body_util::LengthLimitError>();
        Refusal::new(match large {
            true => Error::BodyTooLarge { limit },
            false => Error::Cancelled,
        })
    })
}
