//! Serves the requests of callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use sesamewall_fleet::AdmissionDecision;
use sesamewall_fleet::Catalog;
use sesamewall_fleet::PlacementError;
use sesamewall_fleet::PoisonPart;
use sesamewall_fleet::RouteKind;
use sesamewall_fleet::RouteSpec;
use sesamewall_fleet::StopRequest;
use sesamewall_platform::REQUEST_ID;
use sesamewall_platform::decode_job;
use sesamewall_platform::parse_job_call;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Error;
use sesamewall_protocol::JobId;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_protocol::seconds;
use slog::info;

use crate::InstanceContext;
use crate::admission;
use crate::attempt::AttemptError;
use crate::attempt::AttemptResponse;
use crate::attempt::attempt;
use crate::body_intake::BodyLimits;
use crate::body_intake::MEMORY_RETRY;
use crate::body_intake::job_bytes;
use crate::body_intake::receive;
use crate::byte_budget::Held;
use crate::byte_budget::ReservedBytes;
use crate::caller::Caller;
use crate::caller_request::CallerRequest;
use crate::caller_request::DEFAULT_TIMEOUT;
use crate::job_api::JobApi;
use crate::job_api::is_no_job;
use crate::refusal::Refusal;
use crate::response::HttpResponse;
use crate::response::empty;
use crate::response::error_response;
use crate::response::full;
use crate::response::strip_connection_headers;
use crate::stream_relay::StreamRelay;
use crate::take_up;
use crate::version_run::CountedRun;

/// Number of attempts that targets did not run after which a request is refused.
const MAX_NOT_RUN: usize = 3;

/// Shortest and longest retry time in seconds that is sent to a refused caller. Peaks of the
/// traffic last some seconds; the random spread keeps refused callers from coming back at the same
/// time.
const RETRY_SPREAD: (f64, f64) = (0.3, 1.5);

/// Longest wait for the configuration after a start: a read of the store takes some milliseconds,
/// and a caller is refused within a quarter of the usual objective of 300 ms.
const START_WAIT: Duration = Duration::from_millis(75);

/// Interval between two checks while a request waits for state that is missing after a start.
const START_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Retry time sent to a caller when no better estimate exists.
const DEFAULT_RETRY: Duration = Duration::from_millis(500);

/// Longest time of a call about a batch job: the wait that a reader may request, and calls to the
/// worker and the store.
const JOB_CALL_TIME: Duration = Duration::from_millis(2500);

/// The HTTP service at the address for callers.
pub struct Online {
    context: Arc<InstanceContext>,
    jobs: Arc<JobApi>,
}

impl Online {
    /// Creates the service.
    pub fn new(context: Arc<InstanceContext>, jobs: Arc<JobApi>) -> Self {
        Self { context, jobs }
    }

    /// Serves a request. Failures become responses too.
    pub async fn serve(&self, request: Request<Incoming>) -> HttpResponse {
        let arrived = self.context.now();
        let id = request.headers().get(REQUEST_ID).cloned();
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let handled = tokio::select! {
            biased;
            handled = self.handle(request, arrived) => handled,
            () = self.context.wait_answers_due() => Err(Refusal::new(Error::Interrupted)),
        };
        let mut closes = false;
        let mut response = match handled {
            Ok(response) => response,
            Err(refusal) => {
                let code = refusal.error.code().to_string();
                self.context.metrics.refusals.with_label_values(&[&code]).inc();
                info!(self.context.log, "request refused";
                    "request" => id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("?"),
                    "method" => method.as_str(), "path" => path, "code" => code,
                    "detail" => %refusal.error, "inputs" => refusal.inputs(),
                    "retry_ms" => refusal.retry.map(|retry| retry.as_millis() as u64),
                    "held_ms" => self.context.now().since(arrived).as_millis() as u64);
                closes = refusal.ends_connection();
                error_response(&refusal.error, refusal.retry, id.as_ref())
            }
        };
        if closes || self.context.is_draining() {
            let close = http::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        arrived: Time,
    ) -> Result<HttpResponse, Refusal> {
        // A request that arrived during a pause of the process is checked against the configuration
        // of now.
        self.context.wait_confirmed().await;
        let catalog = self
            .wait_catalog()
            .await
            .ok_or_else(|| Refusal::later(Error::Starting, DEFAULT_RETRY))?;
        let (head, body) = request.into_parts();
        let host = request_host(&head.headers, &head.uri).to_owned();
        let caller = Caller::of(&catalog, &head.headers);
        // A job stays readable after its route has gone, so its host need not have a route.
        if let Some(call) = parse_job_call(&head.method, &head.uri) {
            let accounts = caller.job_accounts(&catalog).map_err(Refusal::new)?;
            self.check_job_time()?;
            self.read_body(body, &catalog, DEFAULT_TIMEOUT).await?;
            return self.jobs.serve(call, &accounts, &head.headers).await.map_err(|error| {
                let error = if is_no_job(&error) { caller.absence(error) } else { error };
                Refusal::later(error, DEFAULT_RETRY)
            });
        }
        let Some(route) = catalog.route(&host, head.uri.path()).cloned() else {
            return self.serve_unrouted(&catalog, &caller, &head, body).await;
        };
        let account = caller.on_route(&route).map_err(Refusal::new)?;
        let body = self.read_body(body, &catalog, body_timeout(&route)).await?;
        if route.kind == RouteKind::Batch && head.method == http::Method::POST {
            self.check_job_time()?;
            let _parsed = self.reserve_job(&body).await?;
            // Builds that took no account on public routes may have accepted the job.
            if route.public && account.is_some() && self.was_accepted(&head, &[None]).await? {
                return Ok(empty(StatusCode::ACCEPTED));
            }
            let submit =
                self.jobs.submit(&route, catalog.version, account.as_deref(), &host, &head, &body);
            return submit.await.map_err(|(error, retry)| Refusal::later(error, retry));
        }
        let no_target = Error::NoTarget { model: route.name.to_string() };
        let request = CallerRequest::new(
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
        let request = request.ok_or_else(|| Refusal::later(no_target, DEFAULT_RETRY))?;
        if !request.is_served(&self.context) {
            return Err(Refusal::later(Error::ShuttingDown, Duration::ZERO));
        }
        self.wait_level(&request).await;
        self.admit_in_turn(&request).await?;
        self.run(request).await
    }

    /// Answers a request without a route: a job that was accepted before its route was removed is
    /// accepted again, anything else is refused.
    async fn serve_unrouted(
        &self,
        catalog: &Catalog,
        caller: &Caller,
        head: &Parts,
        body: Incoming,
    ) -> Result<HttpResponse, Refusal> {
        let unknown = || Refusal::new(Error::RouteUnknown { path: head.uri.path().to_owned() });
        let is_post = head.method == http::Method::POST;
        let (true, Ok(accounts), true) =
            (head.headers.contains_key(REQUEST_ID), caller.job_accounts(catalog), is_post)
        else {
            return Err(unknown());
        };
        let body = self.read_body(body, catalog, DEFAULT_TIMEOUT).await?;
        let _parsed = self.reserve_job(&body).await?;
        if decode_job(&body).is_err() {
            return Err(unknown());
        }
        self.check_job_time()?;
        match self.was_accepted(head, &accounts).await? {
            true => Ok(empty(StatusCode::ACCEPTED)),
            false => Err(unknown()),
        }
    }

    /// Returns whether the job of a submission was accepted before, under one of these accounts.
    async fn was_accepted(
        &self,
        head: &Parts,
        accounts: &[Option<AccountName>],
    ) -> Result<bool, Refusal> {
        let id = head.headers.get(REQUEST_ID).and_then(|id| id.to_str().ok()).unwrap_or_default();
        let accepted = self.jobs.was_accepted(&JobId::from(id), accounts).await;
        accepted.map_err(|error| Refusal::later(error, DEFAULT_RETRY))
    }

    /// Receives a body within the configuration's limit and the memory budget.
    async fn read_body(
        &self,
        body: Incoming,
        catalog: &Catalog,
        time: Duration,
    ) -> Result<Bytes, Refusal> {
        let limits = BodyLimits { bytes: catalog.limits.body_bytes, time };
        receive(&self.context, Held::Body, body, limits).await.map_err(|error| {
            let (error, retry) = limits.error(&self.context, error);
            Refusal { error, retry }
        })
    }

    /// Reserves memory for the parsed form of a job before it is parsed.
    async fn reserve_job(&self, body: &[u8]) -> Result<ReservedBytes, Refusal> {
        let mut reserved = self.context.buffers.reserve_kind(Held::Job);
        let room = reserved.make_room(job_bytes(body)).await;
        room.map_err(|_| Refusal::later(Error::MemoryExhausted, MEMORY_RETRY))?;
        Ok(reserved)
    }

    /// Refuses a call about a batch job that may get its answer only after the process has ended.
    fn check_job_time(&self) -> Result<(), Refusal> {
        let now = self.context.now();
        let deadline = now + JOB_CALL_TIME;
        let request = StopRequest { kind: RouteKind::Batch, deadline, longest: None };
        match self.context.state().stop.serves(&request, now) {
            true => Ok(()),
            false => Err(Refusal::later(Error::ShuttingDown, Duration::ZERO)),
        }
    }

    /// Returns the configuration. Shortly after a start it waits for the configuration, which
    /// usually arrives before the caller could retry.
    async fn wait_catalog(&self) -> Option<Arc<Catalog>> {
        let until = self.context.now() + START_WAIT;
        loop {
            let catalog = self.context.catalog();
            if catalog.is_some() || self.context.now() >= until {
                return catalog;
            }
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
    }

    /// Waits until the level of the account's bucket is known. For a moment after a start it is
    /// unknown, and a refusal could be wrong.
    async fn wait_level(&self, request: &CallerRequest) {
        let Some(account) = &request.account else { return };
        loop {
            let now = self.context.now();
            if self.context.state().rates.unknown_until(&account.name, now).is_none() {
                return;
            }
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
    }

    /// Admits a request. One that takes a stream up waits for a token of its account: many streams
    /// that broke off together come back together, and new requests would take each token first.
    async fn admit_in_turn(&self, request: &CallerRequest) -> Result<(), Refusal> {
        let until = request.deadline.min(self.context.now() + take_up::PLACE_WAIT);
        loop {
            match self.admit(request) {
                Err(Refusal { error: Error::RateExceeded { .. }, .. })
                    if request.is_take_up() && self.context.now() < until =>
                {
                    tokio::time::sleep(take_up::PLACE_INTERVAL).await;
                }
                result => return result,
            }
        }
    }

    /// Refuses suspect requests, and takes a token from the account's bucket.
    fn admit(&self, request: &CallerRequest) -> Result<(), Refusal> {
        self.check_poison(request, 0)?;
        let now = self.context.now();
        let mut state = self.context.state();
        if state.crash_counts.is_blocked(request.hash) {
            // The request is not certain to be the cause: unrelated requests can share three
            // crashes.
            let detail = format!("running at {} crashes", state.crash_counts.crashes(request.hash));
            return Err(Refusal::new(Error::TargetLost { target: String::new(), detail }));
        }
        let Some(account) = &request.account else { return Ok(()) };
        let coverage = state.front_coverage(now);
        let level = state.rates.level(&account.name);
        state.rates.take(&account.name, coverage, now).map_err(|retry| {
            let numbers = vec![
                ("rate".to_owned(), account.rate),
                ("burst".to_owned(), account.burst),
                ("level".to_owned(), level.unwrap_or_default()),
                ("part".to_owned(), coverage),
            ];
            let error = Error::RateExceeded {
                account: account.name.to_string(),
                retry_ms: retry.as_millis() as u64,
                numbers,
            };
            Refusal::later(error, retry)
        })
    }

    /// Refuses a request with a part that crashes targets.
    fn check_poison(&self, request: &CallerRequest, runs: u32) -> Result<(), Refusal> {
        let Some(poison) = request.poison(&self.context) else { return Ok(()) };
        let PoisonPart { part, crashes, trials, requests, unexplained, others, .. } = poison;
        let detail = format!("part {part:016x} of the prompt was at {crashes} crashes in a row");
        Err(match runs {
            0 => {
                let numbers = vec![
                    ("crashes".to_owned(), crashes as f64),
                    ("trials".to_owned(), trials as f64),
                    ("requests".to_owned(), requests as f64),
                    ("unexplained".to_owned(), unexplained as f64),
                    ("others_begun".to_owned(), f64::from(others.begun)),
                    ("others_lost".to_owned(), f64::from(others.lost)),
                ];
                let retry = self.context.state().poison_parts.ttl();
                Refusal::later(Error::PoisonPart { part: format!("{part:016x}"), numbers }, retry)
            }
            // A target has run the request.
            _ => Refusal::new(Error::TargetLost { target: String::new(), detail }),
        })
    }

    async fn run(&self, mut request: CallerRequest) -> Result<HttpResponse, Refusal> {
        let prepared = take_up::prepare(&self.context, &mut request).await;
        let request = Arc::new(request);
        let result = match prepared {
            Ok(()) => self.run_attempts(&request).await,
            Err(refusal) => Err(refusal),
        };
        if !request.is_stream() || result.is_err() {
            request.on_end(&self.context);
        }
        if let Err(refusal) = &result
            && refusal.error.status() == 503
            && let Some(account) = &request.account
        {
            let now = self.context.now();
            self.context.state().rates.refund(&account.name, now);
        }
        result
    }

    async fn run_attempts(&self, request: &Arc<CallerRequest>) -> Result<HttpResponse, Refusal> {
        // The stream of a take-up has had a place of its account.
        if request.continues.is_none() {
            admission::admit(&self.context, request)
                .map_err(|decision| self.admission_refusal(request, &decision))?;
        }
        let mut tried: Vec<TargetName> = Vec::new();
        let mut runs = 0;
        loop {
            let now = self.context.now();
            if now >= request.deadline {
                return Err(self.timeout_refusal(request, runs));
            }
            self.check_poison(request, runs)?;
            let filter = request.continues.as_ref();
            let target = match take_up::choose(&self.context, request, filter, &tried).await {
                Ok(target) => target,
                Err(reason) => return Err(self.placement_refusal(request, reason, runs)),
            };
            let now = self.context.now();
            admission::hold_place(&self.context, request);
            let placement = target.placement.clone();
            let new_version = target.run.as_ref().map(CountedRun::is_new);
            let limit = request
                .stall_limit(now, runs, |settings, route| settings.first_byte(route, &placement));
            let attempt_request = request.attempt_request(&self.context, None, now);
            let (table, newest) = self.context.state().table_revisions(now);
            let belief = self.context.state().target_belief(&placement.name, now);
            let result = attempt(&self.context, target, &attempt_request, limit).await;
            info!(self.context.log, "attempt"; "request" => request.id_text(),
                "table" => table, "newest" => newest,
                "read_ms" => belief.read_age.map(|age| age.as_millis() as u64),
                "entry" => belief.revision, "expired" => belief.expired,
                "chosen_ms" => now.since(request.arrived).as_millis() as u64,
                "route" => &*request.route.name, "version" => request.version,
                "account" => request.account.as_ref().map(|account| account.name.to_string()),
                "target" => %placement.name, "target_version" => &*placement.version,
                "online" => placement.online, "batch" => placement.batch,
                "cold" => placement.cold, "recent" => placement.recent,
                "new_version" => new_version,
                "end" => match &result {
                    Ok(response) => format!("status {}", response.status.as_u16()),
                    Err(error) => error.to_string(),
                },
                "ms" => self.context.now().since(request.arrived).as_millis() as u64);
            tried.push(placement.name.clone());
            let error = match result {
                Ok(response) => {
                    let repeat = response.status.is_server_error()
                        && request.route.kind.may_repeat()
                        && runs + 1 < request.route.attempts;
                    if !repeat {
                        match self.respond(request, response, &mut tried, runs + 1).await {
                            Ok(response) => return Ok(response),
                            Err(error) => error,
                        }
                    } else {
                        AttemptError::Failed(response.status.as_u16())
                    }
                }
                Err(error) => error,
            };
            if error.is_not_run() {
                if tried.len() >= MAX_NOT_RUN + runs as usize {
                    return Err(self.placement_refusal(request, PlacementError::NotAccepted, runs));
                }
                continue;
            }
            runs += 1;
            if matches!(error, AttemptError::Lost(_)) {
                request.log_loss(&self.context, &placement.name, 0);
                let now = self.context.now();
                self.context.state().crash_counts.on_crash(request.hash, now);
            }
            if !request.route.kind.may_repeat() || runs >= request.route.attempts {
                return Err(Refusal::new(match error {
                    AttemptError::Mismatch => {
                        Error::AnswerMismatch { target: placement.name.to_string() }
                    }
                    AttemptError::Stalled(_) if self.context.now() >= request.deadline => {
                        return Err(self.timeout_refusal(request, runs));
                    }
                    error => Error::TargetLost {
                        target: placement.name.to_string(),
                        detail: error.to_string(),
                    },
                }));
            }
        }
    }

    /// Forwards a response to the caller: a stream event by event, any other response after its
    /// body is complete.
    async fn respond(
        &self,
        request: &Arc<CallerRequest>,
        mut response: AttemptResponse,
        tried: &mut [TargetName],
        runs: u32,
    ) -> Result<HttpResponse, AttemptError> {
        let mut headers = response.headers.clone();
        strip_connection_headers(&mut headers);
        let status = response.status;
        let body = if status == StatusCode::OK && request.is_stream() {
            headers.remove(header::CONTENT_LENGTH);
            StreamRelay::body(self.context.clone(), request.clone(), response, tried.to_vec(), runs)
        } else {
            let remaining = request.deadline.since(self.context.now());
            let complete_body: Bytes = response.collect(&self.context, remaining).await?;
            response.finish(&self.context);
            self.context.state().crash_counts.on_success(request.hash);
            full(complete_body)
        };
        let waited = self.context.now().since(request.arrived).as_secs_f64();
        self.context.metrics.first_byte.with_label_values(&[&request.route.name]).observe(waited);
        let labels = [&*request.route.name, status.as_str()];
        self.context.metrics.requests.with_label_values(&labels).inc();
        let mut http_response = Response::new(body);
        *http_response.status_mut() = status;
        *http_response.headers_mut() = headers;
        Ok(http_response)
    }

    fn placement_refusal(
        &self,
        request: &CallerRequest,
        reason: PlacementError,
        runs: u32,
    ) -> Refusal {
        let model = request.route.name.to_string();
        if let Some(filter) = &request.continues
            && runs == 0
        {
            let is_gone = !take_up::has_target(&self.context, request, filter, &[]);
            let label = if is_gone { "gone" } else { "full" };
            self.context.metrics.take_ups.with_label_values(&[label]).inc();
            if is_gone {
                return Refusal::new(Error::StreamVersionGone);
            }
        }
        match (runs, reason) {
            (0, PlacementError::NoTarget) => {
                Refusal::later(Error::NoTarget { model }, DEFAULT_RETRY)
            }
            (0, reason) => {
                let numbers = vec![
                    ("in_flight".to_owned(), self.in_flight()),
                    ("part".to_owned(), self.context.state().fleet_coverage(self.context.now())),
                ];
                let error = Error::QueueTimeout { model: format!("{model}: {reason}"), numbers };
                Refusal::later(error, self.retry_time(request))
            }
            // A target may have run the request, so the error must not guarantee that nothing ran.
            _ => Refusal::new(Error::TargetLost {
                target: String::new(),
                detail: format!("no other target: {reason}"),
            }),
        }
    }

    fn admission_refusal(&self, request: &CallerRequest, decision: &AdmissionDecision) -> Refusal {
        let numbers = vec![
            ("free".to_owned(), decision.free),
            ("kept".to_owned(), decision.kept),
            ("held".to_owned(), decision.held),
            ("share".to_owned(), decision.share),
        ];
        let model = format!("{}: places kept for others", request.route.name);
        let error = Error::QueueTimeout { model, numbers };
        Refusal::later(error, self.retry_time(request))
    }

    fn retry_time(&self, request: &CallerRequest) -> Duration {
        let (low, high) = RETRY_SPREAD;
        admission::promise_return(&self.context, request)
            .unwrap_or_else(|| seconds(low + (high - low) * rand::random::<f64>()))
    }

    fn in_flight(&self) -> f64 {
        f64::from(self.context.state().peers.online_total())
    }

    fn timeout_refusal(&self, request: &CallerRequest, runs: u32) -> Refusal {
        match runs {
            0 => {
                let model = request.route.name.to_string();
                let error = Error::QueueTimeout { model, numbers: Vec::new() };
                Refusal::later(error, DEFAULT_RETRY)
            }
            _ => Refusal::new(Error::TargetLost {
                target: String::new(),
                detail: "no answer in time".to_owned(),
            }),
        }
    }
}

fn request_host<'a>(headers: &'a HeaderMap, uri: &'a http::Uri) -> &'a str {
    let host_header = headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host =
        host_header.or_else(|| uri.authority().map(http::uri::Authority::as_str)).unwrap_or("");
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Returns the time within which a request's body has to arrive: after it, no response would be in
/// time.
fn body_timeout(route: &RouteSpec) -> Duration {
    match route.timeout.is_zero() {
        true => DEFAULT_TIMEOUT,
        false => route.timeout,
    }
}
