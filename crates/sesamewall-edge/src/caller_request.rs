//! A caller's request after it was read and checked, with all data that its attempts need.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Uri;
use http::header;
use sesamewall_fleet::AccountSpec;
use sesamewall_fleet::Catalog;
use sesamewall_fleet::PlacementError;
use sesamewall_fleet::PlacementRequest;
use sesamewall_fleet::PoisonPart;
use sesamewall_fleet::RouteKind;
use sesamewall_fleet::RouteSpec;
use sesamewall_fleet::StallSettings;
use sesamewall_fleet::StopRequest;
use sesamewall_fleet::VersionFilter;
use sesamewall_fleet::part_key;
use sesamewall_fleet::request_key;
use sesamewall_platform::ACCOUNT;
use sesamewall_platform::DEADLINE_MS;
use sesamewall_platform::EXPECT_TARGET;
use sesamewall_platform::LAST_EVENT_ID;
use sesamewall_platform::PROMPT_PARTS;
use sesamewall_platform::REQUEST_ID;
use sesamewall_platform::RESUMES;
use sesamewall_platform::deadline;
use sesamewall_platform::prompt_prefix;
use sesamewall_platform::shared_parts;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use slog::info;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::InstanceContext;
use crate::admission::HeldPlace;
use crate::attempt::AttemptRequest;
use crate::response::strip_connection_headers;
use crate::version_run;
use crate::version_run::ChosenTarget;

/// Time by which a target's deadline is earlier than the caller's, so that the response can still
/// travel back.
const RETURN_MARGIN: Duration = Duration::from_millis(10);

/// A caller's request with its route and account.
pub struct CallerRequest {
    /// Request id that the caller sent for this attempt; empty if there is none.
    pub id: HeaderValue,
    /// The route.
    pub route: Arc<RouteSpec>,
    /// The account; `None` on public routes.
    pub account: Option<Arc<AccountSpec>>,
    /// Version of the configuration that the route and the account come from.
    pub version: u64,
    /// The service chosen for the request.
    pub service: Arc<str>,
    /// Time at which the head of the request arrived.
    pub arrived: Time,
    /// Time by which the response has to be complete.
    pub deadline: Time,
    /// Hash that recognises a request that the caller sends again.
    pub hash: u64,
    /// Targets at which the stream that the request takes up may go on; `None` for a new request.
    pub continues: Option<VersionFilter>,
    /// The place at a target that counts for the account until the request is dropped.
    pub place: OnceLock<HeldPlace>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    prefix: Option<u64>,
    /// Keys of the prompt's parts that other requests can share.
    parts: Arc<[u64]>,
    regions: Option<HashSet<Arc<str>>>,
}

impl CallerRequest {
    /// Builds a request from the caller's `headers` and body. `draw` is a random number that
    /// chooses the route's service. Returns `None` if the route has no service or the account's
    /// name is not a valid header value.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        route: Arc<RouteSpec>,
        account: Option<Arc<AccountSpec>>,
        version: u64,
        method: Method,
        uri: Uri,
        mut headers: HeaderMap,
        body: Bytes,
        arrived: Time,
        draw: u64,
    ) -> Option<Self> {
        let service = route.service(draw)?.clone();
        let id = headers.get(REQUEST_ID).cloned().unwrap_or(HeaderValue::from_static(""));
        let timeout = match (deadline(&headers), route.timeout.is_zero()) {
            (Some(requested), true) => requested,
            (Some(requested), false) => requested.min(route.timeout),
            (None, true) => DEFAULT_TIMEOUT,
            (None, false) => route.timeout,
        };
        strip_connection_headers(&mut headers);
        for name in [header::AUTHORIZATION, header::CONTENT_LENGTH, header::EXPECT] {
            headers.remove(name);
        }
        headers.remove(EXPECT_TARGET);
        headers.remove(ACCOUNT);
        if let Some(account) = &account {
            headers.insert(ACCOUNT, HeaderValue::from_str(account.name.as_str()).ok()?);
        }
        let hash = request_hash(&uri, account.as_ref().map(|account| &account.name), &body);
        let prefix = prompt_prefix(&headers).map(|parts| xxh3_64(parts.as_bytes()));
        let parts = shared_parts(&headers).map(part_key).collect();
        let regions = Catalog::regions(&route, account.as_deref());
        Some(Self {
            id,
            service,
            version,
            arrived,
            deadline: arrived + timeout,
            hash,
            continues: None,
            place: OnceLock::new(),
            method,
            uri,
            headers,
            body,
            prefix,
            parts,
            regions,
            route,
            account,
        })
    }

    /// Returns whether the response is a stream that another target may continue.
    pub fn is_resumable(&self) -> bool {
        self.route.kind == RouteKind::Stream { resumable: true }
    }

    /// Returns whether the response is a stream.
    pub fn is_stream(&self) -> bool {
        matches!(self.route.kind, RouteKind::Stream { .. })
    }

    /// Returns the id of the event after which the caller requests the stream to continue.
    pub fn last_event_id(&self) -> Option<u64> {
        self.headers.get(LAST_EVENT_ID)?.to_str().ok()?.trim().parse().ok()
    }

    /// Returns the id of the attempt whose response brought the first event of the stream that the
    /// caller takes up; `None` if it names none.
    pub fn origin(&self) -> Option<&str> {
        self.headers.get(RESUMES)?.to_str().ok().map(str::trim).filter(|id| !id.is_empty())
    }

    /// Returns whether the caller takes up a stream of which it has received events. A target may read
    /// an id that is no number here.
    pub fn is_take_up(&self) -> bool {
        let id = self.headers.get(LAST_EVENT_ID).map(HeaderValue::as_bytes);
        let has_id = id.is_some_and(|id| !id.trim_ascii().is_empty());
        self.is_resumable() && has_id && self.last_event_id() != Some(0)
    }

    /// Returns whether the instance serves the request although it may be about to end.
    pub fn is_served(&self, context: &InstanceContext) -> bool {
        let now = context.now();
        let state = context.state();
        let request = StopRequest {
            kind: self.route.kind,
            deadline: self.deadline,
            longest: state.durations.longest(&self.route.name),
        };
        state.stop.serves(&request, now)
    }

    /// Records that the response has ended.
    pub fn on_end(&self, context: &InstanceContext) {
        let now = context.now();
        let duration = now.since(self.arrived);
        context.state().durations.on_end(&self.route.name, duration, now);
    }

    /// Returns the regions in which the request may run; `None` for all.
    pub fn regions(&self) -> Option<&HashSet<Arc<str>>> {
        self.regions.as_ref()
    }

    /// Returns the request id as text.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    /// Returns the part of the prompt for which the request must not be sent to a target.
    pub fn poison(&self, context: &InstanceContext) -> Option<PoisonPart> {
        context.state().poison_parts.poison(&self.parts, request_key(self.hash))
    }

    /// Logs that the connection to a target was lost after `events` events of the current run.
    pub fn log_loss(&self, context: &InstanceContext, target: &TargetName, events: u64) {
        let parts = self.headers.get(PROMPT_PARTS).and_then(|value| value.to_str().ok());
        info!(context.log, "target lost"; "request" => self.id_text(), "target" => %target,
            "route" => &*self.route.name, "parts" => parts, "events" => events);
    }

    /// Returns the request for the next attempt. `after` is the id of the last event that was
    /// forwarded. In a planned stop the target gets no more time than the process has.
    pub fn attempt_request(
        &self,
        context: &InstanceContext,
        after: Option<u64>,
        now: Time,
    ) -> AttemptRequest {
        let mut headers = self.headers.clone();
        let answers_until = context.state().stop.answers_until();
        let until = answers_until.map_or(self.deadline, |until| until.min(self.deadline));
        let remaining = until.since(now).saturating_sub(RETURN_MARGIN);
        headers.insert(DEADLINE_MS, HeaderValue::from(remaining.as_millis() as u64));
        if let Some(after) = after {
            headers.insert(LAST_EVENT_ID, HeaderValue::from(after));
        }
        AttemptRequest {
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers,
            body: self.body.clone(),
            repeatable: self.route.kind.may_repeat(),
            batch: false,
            parts: self.parts.clone(),
            hash: self.hash,
            permit: None,
        }
    }

    /// Returns how long the target of the next run may send nothing. `runs` is the number of
    /// finished runs; `limit` computes the timeout that applies if another target may continue the
    /// response. The last run gets all the remaining time, since ending it earlier gains nothing.
    pub fn stall_limit(
        &self,
        now: Time,
        runs: u32,
        limit: impl Fn(&StallSettings, &RouteSpec) -> Duration,
    ) -> Duration {
        let remaining = self.deadline.since(now);
        match self.is_resumable() && runs + 1 < self.route.attempts {
            true => remaining.min(limit(&StallSettings::default(), &self.route)),
            false => remaining,
        }
    }

    fn placement_request<'a>(
        &'a self,
        context: &'a InstanceContext,
        versions: Option<&'a VersionFilter>,
        tried: &'a [TargetName],
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            service: &self.service,
            regions: self.regions.as_ref(),
            domain: &context.settings.domain,
            prefix: self.prefix,
            exclude: tried,
            among: None,
            reserved_slots: None,
            versions,
        }
    }

    /// Chooses a target that is not in `tried`, and counts the request there. `versions` are those at
    /// which a stream may go on; `None` for a request that begins.
    pub fn choose(
        &self,
        context: &Arc<InstanceContext>,
        versions: Option<&VersionFilter>,
        tried: &[TargetName],
    ) -> Result<ChosenTarget, PlacementError> {
        let request = self.placement_request(context, versions, tried);
        version_run::choose(context, &request, &self.route.name, false)
    }

    /// Returns whether a target that is not in `tried` has a place. `versions` is as in `choose`.
    pub fn has_place(
        &self,
        context: &InstanceContext,
        versions: Option<&VersionFilter>,
        tried: &[TargetName],
    ) -> bool {
        let request = self.placement_request(context, versions, tried);
        version_run::has_place(context, &request, &self.route.name)
    }
}

/// Time limit of requests that have none of their own. It equals the platform's usual timeout of
/// batch items.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Returns the hash of what stays the same when a request is sent again.
pub fn request_hash(uri: &Uri, account: Option<&AccountName>, body: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(uri.path().as_bytes());
    hash.update(account.map_or("", AccountName::as_str).as_bytes());
    hash.update(body);
    hash.digest()
}
