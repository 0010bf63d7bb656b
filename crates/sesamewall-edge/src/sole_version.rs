//! Shows that the services of a route had one version only, so that a stream without a record began at
//! it.
//!
//! What an instance believes of the targets may be out of date without its knowledge: datagrams arrive
//! late, and a table shows nothing of targets that came and went before it. So the instances that
//! watch the entries are asked, and the store for what has changed since.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_fleet::record_ttl;
use sesamewall_fleet::service_names;
use sesamewall_platform::TARGET_PREFIX;
use sesamewall_platform::decode_target;
use sesamewall_ports::StoreChange;
use sesamewall_ports::WatchResult;
use sesamewall_protocol::Time;
use slog::info;
use tokio::sync::Mutex;

use crate::InstanceContext;
use crate::caller_request::CallerRequest;
use crate::peer_updates::hub_addresses;

/// Path of the call to an instance that may watch the entries.
pub const SOLE_VERSION_PATH: &str = "/sole-version";

/// Longest time to find the version. A stream that is taken up has had its first event, and its client
/// waits for the next one.
const TIME_LIMIT: Duration = Duration::from_millis(1000);

/// Timeout of a call to another instance.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Most instances that are asked: a failure domain has no more hubs, of which one watches the entries.
const MAX_CALLS: usize = 3;

/// Wait of the call to the store: what has changed is returned at once.
const CHANGES_WAIT: Duration = Duration::from_millis(1);

/// Question for the only version of a route's services.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct SoleVersionQuery {
    /// Name of the route.
    route: Arc<str>,
    /// Its services.
    services: Vec<Arc<str>>,
    /// Milliseconds for which they must have had no other version.
    life_ms: u64,
}

/// The only version of a route's services as of a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SoleVersion {
    /// The version.
    version: Arc<str>,
    /// Revision of the store up to which no other one was seen.
    revision: u64,
}

/// The last answer, for all requests that had arrived when its question was asked.
#[derive(Clone, Debug)]
struct Finding {
    asked_at: Time,
    query: SoleVersionQuery,
    version: Option<Arc<str>>,
}

/// Finds sole versions, one at a time.
#[derive(Default)]
pub struct SoleVersions {
    last: Mutex<Option<Finding>>,
}

/// Answers from what this instance has seen; `None` unless it watches the entries.
pub fn serve(context: &InstanceContext, query: &SoleVersionQuery) -> Option<SoleVersion> {
    let now = context.now();
    let history = &context.state().version_history;
    let revision = history.revision()?;
    let life = Duration::from_millis(query.life_ms);
    let version = history.sole_version(&query.route, &query.services, life, now)?;
    Some(SoleVersion { version, revision })
}

/// Returns the version at which the stream that the request takes up must have begun, because the
/// services of its route had no other one; `None` if they had, or if that is not certain.
pub async fn find(context: &InstanceContext, request: &CallerRequest) -> Option<Arc<str>> {
    let route = &request.route;
    if route.timeout.is_zero() {
        return None;
    }
    let query = SoleVersionQuery {
        route: route.name.clone(),
        services: service_names(route),
        life_ms: record_ttl(route.timeout).as_millis() as u64,
    };
    let limit = TIME_LIMIT.min(request.deadline.since(context.now()));
    let found = find_shared(context, query, request.arrived);
    tokio::time::timeout(limit, found).await.ok().flatten()
}

/// Uses the last answer if it was asked for after `arrived`, otherwise asks.
async fn find_shared(
    context: &InstanceContext,
    query: SoleVersionQuery,
    arrived: Time,
) -> Option<Arc<str>> {
    let mut last = context.sole_versions.last.lock().await;
    let is_same = |known: &SoleVersionQuery| {
        known.route == query.route
            && known.services == query.services
            && known.life_ms == query.life_ms
    };
    if let Some(finding) = &*last
        && finding.asked_at >= arrived
        && is_same(&finding.query)
    {
        return finding.version.clone();
    }
    *last = None;
    let asked_at = context.now();
    let version = ask(context, &query).await;
    *last = Some(Finding { asked_at, query, version: version.clone() });
    version
}

async fn ask(context: &InstanceContext, query: &SoleVersionQuery) -> Option<Arc<str>> {
    let (from, seen) = match serve(context, query) {
        Some(seen) => (context.settings.ip, seen),
        None => ask_hubs(context, query).await?,
    };
    let SoleVersion { version, revision } = seen;
    let changes = context.store.changes(TARGET_PREFIX, revision, CHANGES_WAIT).await;
    let end = match changes {
        Ok(WatchResult::Changes { changes, .. }) if is_kept(&changes, query, &version) => "sole",
        Ok(WatchResult::Changes { .. }) => "another version",
        Ok(WatchResult::HistoryGone) => "history gone",
        Err(_) => "store not reached",
    };
    info!(context.log, "sole version"; "route" => &*query.route, "version" => &*version,
        "seen_by" => %from, "revision" => revision, "end" => end);
    (end == "sole").then_some(version)
}

async fn ask_hubs(
    context: &InstanceContext,
    query: &SoleVersionQuery,
) -> Option<(IpAddr, SoleVersion)> {
    let hubs = hub_addresses(context, &context.state(), context.now());
    for hub in hubs.into_iter().take(MAX_CALLS) {
        let call = context.peer_client.call(hub, SOLE_VERSION_PATH, query, CALL_TIMEOUT);
        let reply: Result<Option<SoleVersion>, _> = call.await;
        if let Ok(Some(seen)) = reply {
            return Some((hub, seen));
        }
    }
    info!(context.log, "sole version"; "route" => &*query.route, "end" => "not seen");
    None
}

/// Returns whether these changes of entries bring no other version to the services.
fn is_kept(changes: &[StoreChange], query: &SoleVersionQuery, version: &str) -> bool {
    changes.iter().all(|change| match change {
        StoreChange::Written(item) => decode_target(&item.key, &item.value).map_or(true, |entry| {
            !query.services.contains(&entry.service) || &*entry.version == version
        }),
        StoreChange::Removed { .. } => true,
    })
}
