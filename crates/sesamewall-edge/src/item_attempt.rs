//! One attempt of a batch item at a target.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::Uri;
use http::header;
use sesamewall_fleet::Catalog;
use sesamewall_fleet::EventSplitter;
use sesamewall_fleet::ItemEnd;
use sesamewall_fleet::ItemProgress;
use sesamewall_fleet::ItemSpec;
use sesamewall_fleet::JobSpec;
use sesamewall_fleet::PoisonPart;
use sesamewall_fleet::RouteSpec;
use sesamewall_fleet::TargetStart;
use sesamewall_fleet::part_key;
use sesamewall_fleet::request_key;
use sesamewall_platform::ACCOUNT;
use sesamewall_platform::LAST_EVENT_ID;
use sesamewall_platform::REQUEST_ID;
use sesamewall_platform::prompt_prefix;
use sesamewall_platform::shared_parts;
use slog::info;
use xxhash_rust::xxh3::xxh3_64;

use crate::InstanceContext;
use crate::attempt::AttemptError;
use crate::attempt::AttemptRequest;
use crate::attempt::AttemptResponse;
use crate::attempt::InFlightGuard;
use crate::attempt::attempt_guarded;
use crate::caller_request::request_hash;
use crate::lease::LeasePermit;
use crate::version_run::ChosenTarget;

/// Longest time without a complete event of an item, and time limit for the body of a response that
/// is no stream.
const STALL_TIMEOUT: Duration = Duration::from_millis(2000);

/// Where an item may run: its service, and the regions if they are limited.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ItemScope {
    service: Arc<str>,
    regions: Option<BTreeSet<Arc<str>>>,
}

/// Why no request can be built from an item.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum ItemError {
    /// The configuration has no route for the item.
    #[display("no route")]
    RouteUnknown,
    /// The item's route has no service.
    #[display("its route has no service")]
    NoService,
    /// The item does not form a valid request in any configuration.
    #[display("no valid request: {_0}")]
    Invalid(&'static str),
}

/// A batch item with its route in the current configuration.
pub struct ItemAttempt {
    item: Arc<ItemSpec>,
    route: Arc<RouteSpec>,
    service: Arc<str>,
    regions: Option<HashSet<Arc<str>>>,
    prefix: Option<u64>,
    parts: Arc<[u64]>,
    hash: u64,
    headers: HeaderMap,
    uri: Uri,
}

fn header_value(text: &str, field: &'static str) -> Result<HeaderValue, ItemError> {
    HeaderValue::from_str(text).map_err(|_| ItemError::Invalid(field))
}

impl ItemAttempt {
    /// Looks up the item's route in `catalog`.
    ///
    /// # Errors
    ///
    /// Returns why there is no route or no valid request.
    pub fn new(catalog: &Catalog, job: &JobSpec, item: Arc<ItemSpec>) -> Result<Self, ItemError> {
        let uri: Uri = item.path.parse().map_err(|_| ItemError::Invalid("path"))?;
        let route = catalog.route(&job.host, uri.path()).ok_or(ItemError::RouteUnknown)?.clone();
        let draw = xxh3_64(item.id.as_str().as_bytes());
        let service = route.service(draw).ok_or(ItemError::NoService)?.clone();
        let account = job.account.as_ref().and_then(|name| catalog.account(name));
        let regions = Catalog::regions(&route, account.map(|account| &**account));
        let mut headers = HeaderMap::new();
        for (name, value) in &item.headers {
            let (Ok(name), Ok(value)) =
                (HeaderName::from_bytes(name.as_bytes()), HeaderValue::from_str(value))
            else {
                continue;
            };
            headers.append(name, value);
        }
        headers.insert(header::HOST, header_value(&job.host, "host")?);
        headers.insert(REQUEST_ID, header_value(item.id.as_str(), "identifier")?);
        // The item's own headers must not name an account.
        headers.remove(ACCOUNT);
        if let Some(name) = &job.account {
            headers.insert(ACCOUNT, header_value(name.as_str(), "account")?);
        }
        let prefix = prompt_prefix(&headers).map(|parts| xxh3_64(parts.as_bytes()));
        let parts = shared_parts(&headers).map(part_key).collect();
        let hash = request_hash(&uri, job.account.as_ref(), &item.body);
        Ok(Self { item, route, service, regions, prefix, parts, hash, headers, uri })
    }

    /// Returns the item.
    pub fn item(&self) -> &ItemSpec {
        &self.item
    }

    /// Returns the item, so that another attempt can use it.
    pub fn into_item(self) -> Arc<ItemSpec> {
        self.item
    }

    /// Returns the name of the item's route.
    pub fn route(&self) -> &str {
        &self.route.name
    }

    /// Returns the service that runs the item.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Returns the regions in which the item may run.
    pub fn regions(&self) -> Option<&HashSet<Arc<str>>> {
        self.regions.as_ref()
    }

    /// Returns where the item may run.
    pub fn scope(&self) -> ItemScope {
        let sorted = |regions: &HashSet<Arc<str>>| regions.iter().cloned().collect();
        ItemScope { service: self.service.clone(), regions: self.regions.as_ref().map(sorted) }
    }

    /// Returns the hash of the shared parts of the prompt.
    pub fn prefix(&self) -> Option<u64> {
        self.prefix
    }

    /// Returns the part of the item's prompt for which it must not be sent to a target.
    pub fn poison(&self, context: &InstanceContext) -> Option<PoisonPart> {
        context.state().poison_parts.poison(&self.parts, request_key(self.hash))
    }

    /// Returns the time from a job's submission after which the item may be given up.
    pub fn keep(&self) -> Duration {
        self.route.keep
    }

    /// Returns the time from a job's submission within which its results are due.
    pub fn due(&self) -> Duration {
        self.route.due
    }

    /// Returns the number of failed runs after which the item is given up.
    pub fn max_attempts(&self) -> u32 {
        self.route.attempts
    }

    /// Records a failure of the target after a response that is not valid for the item.
    fn record_invalid(&self, context: &InstanceContext, mut response: AttemptResponse) -> ItemEnd {
        let now = context.now();
        response.on_failed();
        context.state().targets.on_failure(&response.target, now);
        ItemEnd::Broken
    }

    /// Begins the events of a response of `start`. Returns false if the output must not go on with
    /// them.
    fn begin(
        &self,
        context: &InstanceContext,
        start: &TargetStart,
        progress: &mut ItemProgress,
    ) -> bool {
        let version = start.known_version(&context.state().targets);
        let known = version.is_some();
        let begins = progress.begin(version);
        if !begins {
            info!(context.log, "item not continued"; "item" => %self.item.id,
                "target" => %start.name, "version" => &*start.version.version, "known" => known);
        }
        begins
    }

    /// Sends the item to a target, if `permit` still holds then, and collects the events of its
    /// response. `start` is the start of the target that was chosen.
    pub async fn run(
        &self,
        context: &Arc<InstanceContext>,
        target: ChosenTarget,
        start: &TargetStart,
        progress: &mut ItemProgress,
        guard: InFlightGuard,
        permit: LeasePermit,
    ) -> ItemEnd {
        let mut headers = self.headers.clone();
        if let Some(after) = progress.resume_after() {
            let version = start.known_version(&context.state().targets);
            if version.as_ref() != progress.version() {
                return ItemEnd::NotRun;
            }
            headers.insert(LAST_EVENT_ID, HeaderValue::from(after));
        }
        let attempt_request = AttemptRequest {
            method: Method::POST,
            uri: self.uri.clone(),
            headers,
            body: Bytes::from(self.item.body.clone()),
            repeatable: true,
            batch: true,
            parts: self.parts.clone(),
            hash: self.hash,
            permit: Some(permit),
        };
        let mut response =
            match attempt_guarded(context, target, &attempt_request, STALL_TIMEOUT, guard).await {
                Ok(response) => response,
                Err(AttemptError::NotRun(_) | AttemptError::WeightsChanged) => {
                    return ItemEnd::Refused;
                }
                Err(error) if error.is_not_run() => return ItemEnd::NotRun,
                Err(_) => return ItemEnd::Broken,
            };
        match response.status {
            StatusCode::OK => {}
            StatusCode::UNPROCESSABLE_ENTITY => return ItemEnd::Impossible,
            status => {
                if response.collect(context, STALL_TIMEOUT).await.is_ok() {
                    response.finish(context);
                }
                // Any other status does not mean that the item itself failed.
                return match status {
                    StatusCode::INTERNAL_SERVER_ERROR => ItemEnd::Failed,
                    _ => ItemEnd::Broken,
                };
            }
        }
        let mut splitter = EventSplitter::default();
        let mut reserved = context.buffers.reserve();
        let mut deadline = Instant::now() + STALL_TIMEOUT;
        let events_before = progress.events();
        let mut begun = false;
        loop {
            let overdue = Instant::now() >= deadline;
            match response.next_chunk(deadline.saturating_duration_since(Instant::now())).await {
                Ok(Some(chunk)) => {
                    if splitter.push(&chunk).is_err()
                        || reserved.resize(splitter.buffered_len()).is_err()
                    {
                        return self.record_invalid(context, response);
                    }
                    let before = progress.events();
                    while let Some(event) = splitter.next_event() {
                        begun = begun || self.begin(context, start, progress);
                        if !begun {
                            return ItemEnd::Broken;
                        }
                        if !progress.on_event(&event) {
                            return self.record_invalid(context, response);
                        }
                    }
                    if progress.events() > before {
                        response.on_begun();
                    }
                    match progress.events() > before {
                        true => deadline = Instant::now() + STALL_TIMEOUT,
                        false if overdue => return self.record_invalid(context, response),
                        false => {}
                    }
                }
                Ok(None) if splitter.has_partial() => {
                    response.on_lost();
                    return ItemEnd::Broken;
                }
                // A resumed stream may have no further event, but its framing has to show its end.
                Ok(None) if progress.events() == events_before && !response.is_framed() => {
                    response.on_lost();
                    return self.record_invalid(context, response);
                }
                Ok(None) if progress.events() == events_before && !response.is_event_stream() => {
                    return self.record_invalid(context, response);
                }
                Ok(None) => {
                    response.finish(context);
                    return match begun || self.begin(context, start, progress) {
                        true => ItemEnd::Whole,
                        false => ItemEnd::Broken,
                    };
                }
                Err(_) => return self.record_invalid(context, response),
            }
        }
    }
}
