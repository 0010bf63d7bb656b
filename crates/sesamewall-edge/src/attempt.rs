//! One attempt of a request at one target.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use prometheus::IntCounter;
use sesamewall_adapters::http_client::EVENT_STREAM;
use sesamewall_adapters::http_client::describe;
use sesamewall_adapters::http_client::is_final_status;
use sesamewall_adapters::request_body::RequestBody;
use sesamewall_adapters::request_body::UnsentBytes;
use sesamewall_adapters::request_body::is_complete;
use sesamewall_adapters::request_body::is_framed;
use sesamewall_fleet::BegunStream;
use sesamewall_fleet::PartRun;
use sesamewall_fleet::Placement;
use sesamewall_fleet::PoisonPart;
use sesamewall_fleet::RequestRate;
use sesamewall_fleet::request_key;
use sesamewall_fleet::response_version;
use sesamewall_platform::EXPECT_TARGET;
use sesamewall_platform::EXPECT_WEIGHTS;
use sesamewall_platform::LAST_EVENT_ID;
use sesamewall_platform::LEAVING;
use sesamewall_platform::NOT_RUN;
use sesamewall_platform::REQUEST_ID;
use sesamewall_platform::SEAL;
use sesamewall_platform::WEIGHTS;
use sesamewall_platform::request_limit;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::InstanceContext;
use crate::byte_budget::BudgetExceeded;
use crate::domain_flow;
use crate::instance_context::wall_millis;
use crate::lease::LeasePermit;
use crate::target_pool::TargetConnection;
use crate::version_run::ChosenTarget;
use crate::version_run::CountedRun;

pub use crate::attempt_error::AttemptError;

/// Longest idle time of a pooled connection for requests that may run only once: after a longer
/// time the target may already be closing the connection.
const MAX_IDLE_ONCE: Duration = Duration::from_millis(500);

/// Longest idle time of a pooled connection for requests that may be repeated.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// Extra time for a connection's task to deliver data that has already arrived, before its target
/// counts as stalled: after a pause of the whole process, timers fire before sockets are read.
const LATE_POLL: Duration = Duration::from_millis(5);

/// Largest response body in bytes, except for streams. A target that sends more is treated as
/// faulty.
const RESPONSE_LIMIT: usize = 4 << 20;

/// A request as it is sent to a target.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without those that apply to a single connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the request is a batch item.
    pub batch: bool,
    /// Keys of the prompt's parts that other requests can share.
    pub parts: Arc<[u64]>,
    /// Hash of what stays the same when the request is sent again: path, account and body.
    pub hash: u64,
    /// The lease without which the request must not be sent, because another process may send it
    /// then.
    pub permit: Option<LeasePermit>,
}

/// Counts a request as in flight at a target until the guard is dropped.
pub struct InFlightGuard {
    context: Arc<InstanceContext>,
    key: u32,
    batch: bool,
    started: Time,
}

impl InFlightGuard {
    /// Counts a request that is about to be sent.
    pub fn new(context: &Arc<InstanceContext>, key: u32, batch: bool) -> Self {
        let now = context.now();
        context.state().peers.start(key, batch, now);
        context.state_changed.notify_one();
        Self { context: context.clone(), key, batch, started: now }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.context.state().peers.end(self.key, self.batch);
        self.context.state_changed.notify_one();
        if self.batch {
            self.context.peers_changed.notify_one();
        }
    }
}

/// A response of a target. Its body is read separately, by `next_chunk` or `collect`.
pub struct AttemptResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The target.
    pub target: TargetName,
    /// Version of the target's software by its entry when the target was chosen, empty if it names
    /// none.
    pub version: Arc<str>,
    started_ms: u64,
    body: Incoming,
    framed: bool,
    /// What has not been sent of the request's body.
    unsent: UnsentBytes,
    connection: Option<TargetConnection>,
    /// The run for the recognition of poison parts, until the target has begun to respond or was
    /// lost.
    run: Option<PartRun>,
    /// Bytes exchanged with the failure domain of the target; `None` in the local one.
    domain_bytes: Option<IntCounter>,
    /// The run as it is counted during a rollout.
    counted: Option<CountedRun>,
    guard: InFlightGuard,
}

impl AttemptResponse {
    /// Returns whether the body is the stream of events that was requested. Another success has a
    /// body of its own, which is no continuation of a stream.
    pub fn is_event_stream(&self) -> bool {
        let content_type = self.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        self.status == StatusCode::OK
            && content_type.is_some_and(|kind| kind.trim_start().starts_with(EVENT_STREAM))
    }

    /// Returns whether the body shows its own end. Without a length and without chunks it ends with
    /// its connection, also when the target stops early.
    pub fn is_framed(&self) -> bool {
        self.framed
    }

    /// Returns the version of the target while its first event arrives, for a request of `service`;
    /// `None` if it is not known.
    pub fn confirmed_version(&self, service: &str) -> Option<Arc<str>> {
        let state = self.guard.context.state();
        response_version(&state.targets, service, &self.target, &self.version, self.started_ms)
    }

    /// Returns the stream that the first event, which has just arrived, begins.
    pub fn begun_stream(&self, stream: u64) -> BegunStream {
        BegunStream {
            stream,
            target: self.target.clone(),
            started_ms: self.started_ms,
            begun_ms: wall_millis(),
            begun_at: self.guard.context.now(),
        }
    }

    /// Records that the first event, or a complete body, of a successful response has arrived.
    pub fn on_begun(&mut self) {
        if let Some(counted) = &mut self.counted {
            counted.on_begun();
        }
        if let Some(run) = self.run.take() {
            let context = &self.guard.context;
            let now = context.now();
            let cleared = context.state().poison_parts.on_begun(&run, now);
            if let Some(PoisonPart { part, crashes, .. }) = cleared {
                info!(context.log, "prompt part cleared"; "part" => format!("{part:016x}"),
                    "crashes" => crashes, "target" => %self.target);
            }
        }
    }

    /// Records that the response failed, broke or stalled after its head, for the comparison of
    /// versions.
    pub fn on_failed(&mut self) {
        if let Some(counted) = &mut self.counted {
            counted.on_end(true);
        }
    }

    /// Records that the connection was lost, which may be a crash that the request caused if the
    /// target had not begun to respond.
    pub fn on_lost(&mut self) {
        self.on_failed();
        if let Some(run) = self.run.take() {
            record_crash(&self.guard.context, &run, &self.target);
        }
    }

    /// Returns the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns `Lost` if the connection ends before the body does, or before the request was sent if
    /// the body has no other end, `InvalidResponse` if the body is malformed, and `Stalled` if
    /// nothing arrives within `limit`.
    pub async fn next_chunk(&mut self, limit: Duration) -> Result<Option<Bytes>, AttemptError> {
        loop {
            let timed = tokio::time::timeout(limit, self.body.frame()).await;
            let frame = match timed {
                Ok(frame) => frame,
                Err(_) => tokio::time::timeout(LATE_POLL, self.body.frame())
                    .await
                    .map_err(|_| AttemptError::Stalled(limit))?,
            };
            match frame {
                None if !is_complete(self.framed, &self.unsent) => {
                    self.on_lost();
                    let detail = "it ended before the request was sent".to_owned();
                    return Err(AttemptError::Lost(detail));
                }
                None => return Ok(None),
                Some(Err(error)) => {
                    let error = connection_error(&error);
                    if matches!(error, AttemptError::Lost(_)) {
                        self.on_lost();
                    }
                    return Err(error);
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => {
                        if let Some(bytes) = &self.domain_bytes {
                            bytes.inc_by(data.len() as u64);
                        }
                        return Ok(Some(data));
                    }
                    Err(_trailers) => {}
                },
            }
        }
    }

    /// Reads the complete body, which has to end within `limit`. The returned buffer stays charged
    /// until its last copy is dropped, so also while it is sent to a client.
    ///
    /// # Errors
    ///
    /// Returns the errors of `next_chunk`, and `TooLarge` for a body above `RESPONSE_LIMIT` or the
    /// memory budget.
    pub async fn collect(
        &mut self,
        context: &InstanceContext,
        limit: Duration,
    ) -> Result<Bytes, AttemptError> {
        let result = self.collect_whole(context, limit).await;
        if result.is_err() {
            self.on_failed();
        }
        result
    }

    async fn collect_whole(
        &mut self,
        context: &InstanceContext,
        limit: Duration,
    ) -> Result<Bytes, AttemptError> {
        let deadline = Instant::now() + limit;
        let mut reserved = context.buffers.reserve();
        let mut body: Vec<u8> = Vec::new();
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(AttemptError::Stalled(limit));
            }
            let Some(chunk) = self.next_chunk(remaining).await? else {
                if self.status.is_success() {
                    self.on_begun();
                }
                return Ok(reserved.keep(body));
            };
            let bytes = body.len() + chunk.len();
            if bytes > RESPONSE_LIMIT {
                return Err(AttemptError::TooLarge(BudgetExceeded { bytes }));
            }
            body.extend_from_slice(&chunk);
            reserved.resize(body.capacity()).map_err(AttemptError::TooLarge)?;
        }
    }

    /// Records a success of the target after the complete body was read, and returns the
    /// connection to the pool.
    pub fn finish(mut self, context: &InstanceContext) {
        if let Some(counted) = &mut self.counted {
            if !self.status.is_success() {
                counted.skip_whole_time();
            }
            counted.on_end(false);
        }
        let now = context.now();
        let mut guard = context.state();
        let state = &mut *guard;
        state.targets.on_success(&self.target, now);
        if !self.guard.batch {
            let held = now.since(self.guard.started);
            state.flows.on_end(&state.targets, self.guard.key, held);
        }
        drop(guard);
        let closing = self
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if let Some(mut connection) = self.connection.take() {
            connection.end_request();
            if !closing {
                context.pool.put(connection, keep_alive(&self.headers));
            }
        }
    }
}

/// Records a crash of a target that had not begun to respond to a run.
fn record_crash(context: &InstanceContext, run: &PartRun, target: &TargetName) {
    let now = context.now();
    let mut state = context.state();
    let crash = state.targets.start_key(target);
    state.poison_parts.on_crash(run, crash, now);
    let poison = state.poison_parts.poison(run.parts(), run.request());
    drop(state);
    context.state_changed.notify_one();
    if let Some(PoisonPart { part, crashes, trials, requests, unexplained, others, .. }) = poison {
        info!(context.log, "prompt part is poison"; "part" => format!("{part:016x}"),
            "crashes" => crashes, "trials" => trials, "requests" => requests, "unexplained" => unexplained,
            "others_begun" => others.begun, "others_lost" => others.lost, "target" => %target);
    }
}

/// Distinguishes a lost connection from an invalid response: only the former may be a crash of the
/// target.
fn connection_error(error: &hyper::Error) -> AttemptError {
    let cause = std::error::Error::source(error).and_then(|cause| cause.downcast_ref());
    let kind = cause.map(std::io::Error::kind);
    let invalid = matches!(kind, Some(ErrorKind::InvalidInput | ErrorKind::InvalidData));
    match error.is_parse() || invalid {
        true => AttemptError::InvalidResponse(describe(error)),
        false => AttemptError::Lost(describe(error)),
    }
}

/// Records the limit on requests that a response of a target names.
fn record_limit(context: &InstanceContext, placement: &Placement, headers: &HeaderMap) {
    let now = context.now();
    let rate = match request_limit(headers) {
        Ok(rate) => rate,
        Err(text) => {
            if context.state().peers.on_unreadable_limit(placement.key) {
                warn!(context.log, "limit of a target cannot be read";
                    "target" => %placement.name, "text" => text);
            }
            return;
        }
    };
    if context.state().peers.on_named_limit(placement.key, rate, now) {
        info!(context.log, "limit of a target"; "target" => %placement.name,
            "rate" => rate.map(RequestRate::get));
        context.state_changed.notify_one();
    }
}

fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Sends a request and returns the response as soon as its head has arrived.
///
/// # Errors
///
/// Returns why the attempt failed. Unless `is_not_run` holds for the error, the target may have run
/// the request.
pub async fn attempt(
    context: &Arc<InstanceContext>,
    target: ChosenTarget,
    attempt_request: &AttemptRequest,
    limit: Duration,
) -> Result<AttemptResponse, AttemptError> {
    let guard = InFlightGuard::new(context, target.placement.key, attempt_request.batch);
    attempt_guarded(context, target, attempt_request, limit, guard).await
}

/// Sends a request that is already counted as in flight at its target.
///
/// # Errors
///
/// Returns the errors of `attempt`.
pub async fn attempt_guarded(
    context: &Arc<InstanceContext>,
    target: ChosenTarget,
    attempt_request: &AttemptRequest,
    limit: Duration,
    guard: InFlightGuard,
) -> Result<AttemptResponse, AttemptError> {
    let ChosenTarget { placement, run: mut counted } = target;
    let placement = &placement;
    if let Some(counted) = &mut counted
        && attempt_request.headers.contains_key(LAST_EVENT_ID)
    {
        counted.skip_whole_time();
    }
    let request = request_key(attempt_request.hash);
    let run = context.state().poison_parts.start(&attempt_request.parts, request, context.now());
    let mut result =
        exchange(context, placement, attempt_request, limit, guard, counted.as_ref()).await;
    if let Some(counted) = &mut counted {
        match &result {
            Ok(response) if response.status.is_server_error() => counted.on_end(true),
            Err(error) if !error.is_not_run() => counted.on_end(true),
            _ => {}
        }
    }
    match &mut result {
        Ok(response) => {
            response.run = Some(run);
            response.counted = counted;
            let state = &mut *context.state();
            state.flows.on_reached(&state.targets, placement.key);
        }
        Err(AttemptError::Lost(_)) => record_crash(context, &run, &placement.name),
        Err(_) => {}
    }
    let label = result.as_ref().map_or_else(AttemptError::label, |_| "answered");
    context.metrics.attempts.with_label_values(&[label]).inc();
    if let Err(error) = &result {
        let now = context.now();
        let state = &mut *context.state();
        match error {
            AttemptError::NotRun(_) => {
                state.targets.on_refusal(&placement.name, REFUSAL_BACKOFF, now);
            }
            AttemptError::Misdirected => state.targets.on_misdirected(&placement.name, now),
            AttemptError::Mismatch
            | AttemptError::WeightsChanged
            | AttemptError::Withdrawn
            | AttemptError::LeaseEnded => {}
            AttemptError::ConnectFailed(_) => {
                state.targets.on_failure(&placement.name, now);
                state.targets.on_unreachable(&placement.name, now);
                state.flows.on_unreached(&state.targets, placement.key, now);
            }
            _ => state.targets.on_failure(&placement.name, now),
        }
    }
    result
}

/// Time for which a target that refused a request gets no other request: about the time until one
/// of its slots becomes free.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);

/// Returns whether a 421 may be for the version of the weights that the request names. It then says
/// nothing about the target at the address.
fn is_of_weights(request: &HeaderMap, response: &HeaderMap) -> bool {
    let expected = request.get(EXPECT_WEIGHTS).map(HeaderValue::as_bytes);
    let present = response.get(WEIGHTS).map(HeaderValue::as_bytes);
    expected.is_some_and(|expected| {
        present.is_none_or(|present| present.trim_ascii() != expected.trim_ascii())
    })
}

async fn exchange(
    context: &Arc<InstanceContext>,
    placement: &Placement,
    attempt_request: &AttemptRequest,
    limit: Duration,
    guard: InFlightGuard,
    counted: Option<&CountedRun>,
) -> Result<AttemptResponse, AttemptError> {
    let max_idle = if attempt_request.repeatable { MAX_IDLE } else { MAX_IDLE_ONCE };
    let id = attempt_request.headers.get(REQUEST_ID);
    let id_hash = id.map_or(0, |id| xxh3_64(id.as_bytes()));
    // Nothing distinguishes the responses to requests without an id.
    let pooled = id.and_then(|_| context.pool.take(placement.address, id_hash, max_idle));
    let mut connection = match pooled {
        Some(connection) => connection,
        None => {
            context.metrics.connections.inc();
            context.pool.open(placement.address).await.map_err(AttemptError::ConnectFailed)?
        }
    };
    let mut request = Request::new(RequestBody::from(attempt_request.body.clone()));
    let unsent = request.body().unsent();
    *request.method_mut() = attempt_request.method.clone();
    *request.uri_mut() = attempt_request.uri.clone();
    *request.headers_mut() = attempt_request.headers.clone();
    let expected = HeaderValue::from_str(placement.name.as_str())
        .map_err(|_| AttemptError::NotSent("the target's name is no header value".to_owned()))?;
    request.headers_mut().insert(EXPECT_TARGET, expected);
    context.wait_confirmed().await;
    if !context.state().targets.may_receive(&placement.name, placement.address) {
        return Err(AttemptError::Withdrawn);
    }
    if counted.is_some_and(|counted| !counted.is_allowed()) {
        return Err(AttemptError::Withdrawn);
    }
    if attempt_request.permit.as_ref().is_some_and(|permit| !permit.is_valid(context.now())) {
        return Err(AttemptError::LeaseEnded);
    }
    let body_bytes = attempt_request.body.len();
    let domain_bytes = domain_flow::count_departure(context, placement, body_bytes);
    let sent =
        tokio::time::timeout(limit, connection.begin_request(id_hash).send_request(request)).await;
    let response = match sent {
        Err(_) => return Err(AttemptError::Stalled(limit)),
        // Hyper reports a request as cancelled only if it has not written any of it.
        Ok(Err(error)) if error.is_canceled() => {
            return Err(AttemptError::NotSent(describe(&error)));
        }
        Ok(Err(error)) => return Err(connection_error(&error)),
        Ok(Ok(response)) => response,
    };
    let (head, body) = response.into_parts();
    if !is_final_status(head.status) {
        return Err(AttemptError::InvalidResponse(format!("status {}", head.status.as_u16())));
    }
    let response_id = head.headers.get(REQUEST_ID);
    let same = response_id == id;
    // Without the request's id, a refusal on a reused connection may be a repeated one.
    let unnamed = !connection.reused && !head.headers.contains_key(REQUEST_ID);
    if head.status == StatusCode::MISDIRECTED_REQUEST && (same || unnamed) {
        return Err(match is_of_weights(&attempt_request.headers, &head.headers) {
            true => AttemptError::WeightsChanged,
            false => AttemptError::Misdirected,
        });
    }
    if (same || unnamed) && head.headers.contains_key(LEAVING) {
        let now = context.now();
        if context.state().targets.on_leaving(&placement.name, now) {
            info!(context.log, "target leaves"; "target" => %placement.name,
                "status" => head.status.as_u16());
        }
    }
    if same || unnamed {
        record_limit(context, placement, &head.headers);
    }
    if head.headers.contains_key(NOT_RUN) && (same || unnamed) {
        return Err(AttemptError::NotRun(head.status.as_u16()));
    }
    if !same || (head.status.is_success() && !head.headers.contains_key(SEAL)) {
        let text =
            |id: Option<&HeaderValue>| id.and_then(|id| id.to_str().ok()).unwrap_or("?").to_owned();
        info!(context.log, "response of another request"; "request" => text(id),
            "response" => text(response_id), "status" => head.status.as_u16(),
            "target" => %placement.name, "connection" => connection.number,
            "requests" => connection.request_count());
        return Err(AttemptError::Mismatch);
    }
    let framed = is_framed(&head.headers, &body);
    Ok(AttemptResponse {
        status: head.status,
        headers: head.headers,
        target: placement.name.clone(),
        version: placement.version.clone(),
        started_ms: placement.started_ms,
        body,
        framed,
        unsent,
        connection: Some(connection),
        run: None,
        domain_bytes,
        counted: None,
        guard,
    })
}
