//! Resources that operators declare, and changes to them.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::AccountName;
use crate::DomainName;
use crate::ModelName;
use crate::TargetName;

/// Number of a configuration change. A configuration in force contains all changes up to its
/// revision.
pub type Revision = u64;

/// A rate limit with a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests that may arrive at once after an idle period.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The account's name.
    pub name: AccountName,
    /// Limit for online requests.
    pub online: RateLimit,
    /// Limit for batch items; without it batch items are limited by fair share alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub batch: Option<RateLimit>,
    /// Weight in fair queueing.
    #[serde(default = "one")]
    pub weight: f64,
}

/// An API key of a caller. Only the hash of the secret is stored.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Public identifier of the key.
    pub id: String,
    /// The account that the key acts for.
    pub account: AccountName,
    /// SHA-256 of the secret, in hex.
    pub hash: String,
}

/// A route to a plain HTTP service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// Host to match, without port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Path prefix to match, starting with a slash.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// Target group to send to.
    pub group: String,
    /// Callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Methods that must not be repeated.
    #[serde(default)]
    pub once_methods: Vec<String>,
    /// Path prefixes that must not be repeated.
    #[serde(default)]
    pub once_paths: Vec<String>,
}

/// Kind of the targets in a target group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// Model engines.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// One target in a group.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// The target's name.
    pub name: TargetName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Base URL, for example `http://127.0.0.1:9001`.
    pub address: String,
    /// The target receives no new work.
    #[serde(default)]
    pub leaving: bool,
    /// The target refuses commands with an outdated fencing token.
    #[serde(default)]
    pub fenced: bool,
    /// Version of the target's software, empty if none is declared. A stream goes on only at targets
    /// of the version that began it. Instances of builds that do not know the field cannot read a
    /// group with one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: String,
}

/// Targets that serve the same models.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetGroup {
    /// The group's name.
    pub name: String,
    /// Kind of the targets. Serialized as `type` because `kind` is the tag of [`Resource`].
    #[serde(rename = "type")]
    pub target_kind: TargetKind,
    /// Models that callers may name; empty for plain services.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// The targets.
    pub targets: Vec<TargetSpec>,
    /// Upper limit of concurrent requests on one target.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// How models are placed on the targets. Without it, the targets receive no commands.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<PlacementSpec>,
}

/// How the lead of each failure domain places the group's models on its targets there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementSpec {
    /// Models that one target can hold at a time.
    #[serde(default = "one_model")]
    pub models_per_target: u32,
    /// Minimum number of targets in each failure domain that hold a model.
    #[serde(default = "one_model")]
    pub least_replicas: u32,
    /// Concurrent requests that one target serves. A sustained higher load adds a target.
    #[serde(default = "default_limit")]
    pub requests_per_replica: u32,
}

fn one_model() -> u32 {
    1
}

/// Whether a failure domain receives work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DomainMode {
    /// The failure domain receives work.
    In,
    /// The failure domain receives no new work.
    Out,
}

/// Desired state of a failure domain, set by operators.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// The failure domain.
    pub name: DomainName,
    /// Whether it receives work.
    pub mode: DomainMode,
}

/// A resource.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Resource {
    /// A client account with its rate.
    Account(Account),
    /// A caller's key.
    Key(Key),
    /// A route to a plain service.
    Route(Route),
    /// A target group.
    TargetGroup(TargetGroup),
    /// Desired state of a failure domain.
    Domain(FailureDomain),
}

/// Kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// A client account.
    #[display("account")]
    Account,
    /// A caller's key.
    #[display("key")]
    Key,
    /// A route to a plain service.
    #[display("route")]
    Route,
    /// A target group.
    #[display("target-group")]
    TargetGroup,
    /// Desired state of a failure domain.
    #[display("domain")]
    Domain,
}

impl Resource {
    /// Returns the kind.
    pub fn kind(&self) -> ResourceKind {
        match self {
            Self::Account(_) => ResourceKind::Account,
            Self::Key(_) => ResourceKind::Key,
            Self::Route(_) => ResourceKind::Route,
            Self::TargetGroup(_) => ResourceKind::TargetGroup,
            Self::Domain(_) => ResourceKind::Domain,
        }
    }

    /// Returns the name, unique within the kind.
    pub fn name(&self) -> &str {
        match self {
            Self::Account(account) => account.name.as_str(),
            Self::Key(key) => &key.id,
            Self::Route(route) => &route.name,
            Self::TargetGroup(group) => &group.name,
            Self::Domain(domain) => domain.name.as_str(),
        }
    }
}

/// One operation of a change.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Creates or replaces a resource.
    Put(Resource),
    /// Deletes a resource.
    Delete {
        /// Kind of the resource.
        kind: ResourceKind,
        /// Name of the resource.
        name: String,
    },
}

/// An accepted configuration change. All operations of a change take effect together.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// Number of this change, one higher than that of the previous change.
    pub revision: Revision,
    /// Random token by which the writer recognises its write after a lost reply of the store.
    pub token: String,
    /// Who made the change.
    pub author: String,
    /// Wall time in milliseconds since the Unix epoch, for display only.
    pub at_ms: u64,
    /// The operations.
    pub operations: Vec<Operation>,
}

/// Returns the hash under which a key's secret is stored: SHA-256 in hex. Secrets have 256 random
/// bits, so a salted slow hash would add nothing.
pub fn hash_key(secret: &str) -> String {
    hex::encode(Sha256::digest(secret.as_bytes()))
}

fn one() -> f64 {
    1.0
}

fn default_limit() -> u32 {
    64
}
