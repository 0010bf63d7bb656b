//! Holds all resources at one revision.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use sesamewall_protocol::Account;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Change;
use sesamewall_protocol::DomainMode;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Error;
use sesamewall_protocol::FailureDomain;
use sesamewall_protocol::Key;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::Operation;
use sesamewall_protocol::Resource;
use sesamewall_protocol::ResourceKind;
use sesamewall_protocol::Result;
use sesamewall_protocol::Revision;
use sesamewall_protocol::Route;
use sesamewall_protocol::TargetGroup;
use sesamewall_protocol::TargetKind;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::TargetSpec;

use crate::field_check::MAX_OPERATIONS;
use crate::field_check::check_operation;
use crate::field_check::invalid;

/// Limits the resources of one kind.
pub const MAX_RESOURCES: usize = 50_000;

/// Holds all resources at one revision. It never changes, and a clone shares its content.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    content: Arc<Content>,
}

/// Holds one shared map per kind, so that a change copies only the maps that it touches, and of
/// these only pointers to the resources.
#[derive(Clone, Debug, Default)]
struct Content {
    revision: Revision,
    accounts: Arc<BTreeMap<AccountName, Arc<Account>>>,
    keys: Arc<BTreeMap<String, Arc<Key>>>,
    hashes: Arc<HashMap<String, Arc<Key>>>,
    routes: Arc<BTreeMap<String, Arc<Route>>>,
    route_index: Arc<HashMap<Option<String>, Vec<Arc<Route>>>>,
    groups: Arc<BTreeMap<String, Arc<TargetGroup>>>,
    models: Arc<BTreeMap<ModelName, Arc<TargetGroup>>>,
    targets: Arc<HashMap<TargetName, (Arc<TargetGroup>, usize)>>,
    domains: Arc<BTreeMap<DomainName, Arc<FailureDomain>>>,
}

impl Configuration {
    /// Returns the configuration at `revision` that consists of `resources`.
    ///
    /// # Errors
    ///
    /// Returns `Error::ResourceInvalid` if a resource is not allowed.
    pub fn from_resources(revision: Revision, resources: Vec<Resource>) -> Result<Self> {
        let operations: Vec<Operation> = resources.into_iter().map(Operation::Put).collect();
        let mut content = Self::default().edit(&operations)?;
        content.revision = revision;
        Ok(Self { content: Arc::new(content) })
    }

    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        self.content.revision
    }

    /// Returns the configuration after `change`.
    ///
    /// # Errors
    ///
    /// Returns `Error::RevisionConflict` if `change` is not the next one and
    /// `Error::ResourceInvalid` if one of its operations is not allowed.
    pub fn apply(&self, change: &Change) -> Result<Self> {
        if change.revision != self.revision() + 1 {
            return Err(Error::RevisionConflict {
                against: change.revision.saturating_sub(1),
                current: self.revision(),
                winner: change.author.clone(),
            });
        }
        check_count(&change.operations)?;
        let mut content = self.edit(&change.operations)?;
        content.revision = change.revision;
        Ok(Self { content: Arc::new(content) })
    }

    /// Returns the same resources at the next revision. It replaces an accepted change whose
    /// operations this version does not allow, so that later changes still take effect.
    pub fn skip(&self) -> Self {
        let mut content = (*self.content).clone();
        content.revision += 1;
        Self { content: Arc::new(content) }
    }

    /// Checks whether `operations` could be the next change.
    ///
    /// # Errors
    ///
    /// Returns `Error::ResourceInvalid` with kind, name, field and what is allowed.
    pub fn validate(&self, operations: &[Operation]) -> Result<()> {
        check_count(operations)?;
        self.edit(operations).map(|_| ())
    }

    /// Returns the operations that turn this configuration into `newer`.
    pub fn diff(&self, newer: &Self) -> Vec<Operation> {
        let (old, new) = (&*self.content, &*newer.content);
        let mut operations = Vec::new();
        diff_maps(&old.accounts, &new.accounts, Resource::Account, &mut operations);
        diff_maps(&old.keys, &new.keys, Resource::Key, &mut operations);
        diff_maps(&old.groups, &new.groups, Resource::TargetGroup, &mut operations);
        diff_maps(&old.routes, &new.routes, Resource::Route, &mut operations);
        diff_maps(&old.domains, &new.domains, Resource::Domain, &mut operations);
        operations
    }

    /// Returns all resources, kind by kind and in the order of their names.
    pub fn resources(&self) -> Vec<Resource> {
        let all = Self::default().diff(self).into_iter();
        all.filter_map(|operation| match operation {
            Operation::Put(resource) => Some(resource),
            Operation::Delete { .. } => None,
        })
        .collect()
    }

    /// Returns a resource.
    pub fn resource(&self, kind: ResourceKind, name: &str) -> Option<Resource> {
        let content = &*self.content;
        match kind {
            ResourceKind::Account => find(&content.accounts, name, Resource::Account),
            ResourceKind::Key => find(&content.keys, name, Resource::Key),
            ResourceKind::Route => find(&content.routes, name, Resource::Route),
            ResourceKind::TargetGroup => find(&content.groups, name, Resource::TargetGroup),
            ResourceKind::Domain => find(&content.domains, name, Resource::Domain),
        }
    }

    /// Returns a client account.
    pub fn account(&self, name: &str) -> Option<&Arc<Account>> {
        self.content.accounts.get(name)
    }

    /// Returns all client accounts in the order of their names.
    pub fn accounts(&self) -> impl ExactSizeIterator<Item = &Arc<Account>> {
        self.content.accounts.values()
    }

    /// Returns the key with the SHA-256 `hash`, in hex.
    pub fn key(&self, hash: &str) -> Option<&Arc<Key>> {
        self.content.hashes.get(hash)
    }

    /// Returns all keys in the order of their identifiers.
    pub fn keys(&self) -> impl ExactSizeIterator<Item = &Arc<Key>> {
        self.content.keys.values()
    }

    /// Returns the route for a request to `host` (a port is ignored) and `path`: routes for the
    /// host come before routes for every host, then the longest matching path prefix wins.
    pub fn route(&self, host: Option<&str>, path: &str) -> Option<&Arc<Route>> {
        let host = host.map(|text| without_port(text).to_ascii_lowercase());
        let matching = |host: &Option<String>| {
            let routes = self.content.route_index.get(host)?;
            routes
                .iter()
                .find(|route| route.prefix.as_deref().is_none_or(|prefix| has_prefix(path, prefix)))
        };
        host.is_some().then(|| matching(&host)).flatten().or_else(|| matching(&None))
    }

    /// Returns all routes in the order of their names.
    pub fn routes(&self) -> impl ExactSizeIterator<Item = &Arc<Route>> {
        self.content.routes.values()
    }

    /// Returns a target group.
    pub fn group(&self, name: &str) -> Option<&Arc<TargetGroup>> {
        self.content.groups.get(name)
    }

    /// Returns the target group that serves `model`.
    pub fn group_for_model(&self, model: &str) -> Option<&Arc<TargetGroup>> {
        self.content.models.get(model)
    }

    /// Returns all target groups in the order of their names.
    pub fn groups(&self) -> impl ExactSizeIterator<Item = &Arc<TargetGroup>> {
        self.content.groups.values()
    }

    /// Returns all models in the order of their names, with the target group that serves each.
    pub fn models(&self) -> impl ExactSizeIterator<Item = (&ModelName, &Arc<TargetGroup>)> {
        self.content.models.iter()
    }

    /// Returns a target with its group.
    pub fn target(&self, name: &str) -> Option<(&Arc<TargetGroup>, &TargetSpec)> {
        let (group, index) = self.content.targets.get(name)?;
        group.targets.get(*index).map(|spec| (group, spec))
    }

    /// Returns whether a failure domain receives work; a domain that is not configured does.
    pub fn domain_mode(&self, name: &str) -> DomainMode {
        self.content.domains.get(name).map_or(DomainMode::In, |domain| domain.mode)
    }

    /// Returns the configured failure domains in the order of their names.
    pub fn domains(&self) -> impl ExactSizeIterator<Item = &Arc<FailureDomain>> {
        self.content.domains.values()
    }

    /// Returns the content after `operations`, with the old revision. References are checked after
    /// the last operation, so their order does not matter.
    fn edit(&self, operations: &[Operation]) -> Result<Content> {
        let mut content = (*self.content).clone();
        let mut named = BTreeSet::new();
        for operation in operations {
            check_operation(operation)?;
            let (kind, name) = subject(operation);
            if !named.insert((kind, name)) {
                let detail = "a change may name each resource once";
                return Err(invalid(kind, name, "name", detail));
            }
            match operation {
                Operation::Put(resource) => content.put(resource),
                Operation::Delete { kind, name } => content.delete(*kind, name)?,
            }
        }
        let touched: BTreeSet<ResourceKind> = named.iter().map(|(kind, _)| *kind).collect();
        content.check_limits(&touched)?;
        content.check_references(operations)?;
        content.rebuild(&touched)?;
        Ok(content)
    }
}

impl Content {
    fn put(&mut self, resource: &Resource) {
        match resource {
            Resource::Account(account) => {
                let name = account.name.clone();
                Arc::make_mut(&mut self.accounts).insert(name, Arc::new(account.clone()));
            }
            Resource::Key(key) => {
                Arc::make_mut(&mut self.keys).insert(key.id.clone(), Arc::new(key.clone()));
            }
            Resource::Route(route) => {
                Arc::make_mut(&mut self.routes).insert(route.name.clone(), Arc::new(route.clone()));
            }
            Resource::TargetGroup(group) => {
                Arc::make_mut(&mut self.groups).insert(group.name.clone(), Arc::new(group.clone()));
            }
            Resource::Domain(domain) => {
                let name = domain.name.clone();
                Arc::make_mut(&mut self.domains).insert(name, Arc::new(domain.clone()));
            }
        }
    }

    fn delete(&mut self, kind: ResourceKind, name: &str) -> Result<()> {
        let found = match kind {
            ResourceKind::Account => Arc::make_mut(&mut self.accounts).remove(name).is_some(),
            ResourceKind::Key => Arc::make_mut(&mut self.keys).remove(name).is_some(),
            ResourceKind::Route => Arc::make_mut(&mut self.routes).remove(name).is_some(),
            ResourceKind::TargetGroup => Arc::make_mut(&mut self.groups).remove(name).is_some(),
            ResourceKind::Domain => Arc::make_mut(&mut self.domains).remove(name).is_some(),
        };
        let missing = || invalid(kind, name, "name", "does not exist; name an existing resource");
        found.then_some(()).ok_or_else(missing)
    }

    fn check_limits(&self, touched: &BTreeSet<ResourceKind>) -> Result<()> {
        for kind in touched {
            let count = match kind {
                ResourceKind::Account => self.accounts.len(),
                ResourceKind::Key => self.keys.len(),
                ResourceKind::Route => self.routes.len(),
                ResourceKind::TargetGroup => self.groups.len(),
                ResourceKind::Domain => self.domains.len(),
            };
            if count > MAX_RESOURCES {
                let detail = format!("at most {MAX_RESOURCES} resources of a kind are allowed");
                return Err(invalid(*kind, "", "name", detail));
            }
        }
        Ok(())
    }

    fn check_references(&self, operations: &[Operation]) -> Result<()> {
        for operation in operations {
            match operation {
                Operation::Put(Resource::Key(key)) if !self.accounts.contains_key(&key.account) => {
                    let detail = format!("account `{}` does not exist", key.account);
                    return Err(invalid(ResourceKind::Key, &key.id, "account", detail));
                }
                Operation::Delete { kind: ResourceKind::Account, name } => {
                    let used = self.keys.values().find(|key| key.account.as_str() == name);
                    if let Some(key) = used {
                        let detail = format!("key `{}` still acts for it; withdraw it", key.id);
                        return Err(invalid(ResourceKind::Account, name, "name", detail));
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn rebuild(&mut self, touched: &BTreeSet<ResourceKind>) -> Result<()> {
        if touched.contains(&ResourceKind::Key) {
            self.hashes = Arc::new(index_keys(&self.keys)?);
        }
        if touched.contains(&ResourceKind::TargetGroup) {
            self.models = Arc::new(index_models(&self.groups)?);
            self.targets = Arc::new(index_targets(&self.groups)?);
        }
        if touched.contains(&ResourceKind::Route) || touched.contains(&ResourceKind::TargetGroup) {
            self.route_index = Arc::new(index_routes(&self.routes, &self.groups)?);
        }
        Ok(())
    }
}

fn check_count(operations: &[Operation]) -> Result<()> {
    let Some(extra) = operations.get(MAX_OPERATIONS).or(operations.first()) else {
        let detail = "a change must have at least one operation";
        return Err(Error::FieldInvalid { field: "operations".into(), detail: detail.into() });
    };
    if operations.len() <= MAX_OPERATIONS {
        return Ok(());
    }
    let (kind, name) = subject(extra);
    let detail = format!("a change may have at most {MAX_OPERATIONS} operations");
    Err(invalid(kind, name, "operations", detail))
}

fn subject(operation: &Operation) -> (ResourceKind, &str) {
    match operation {
        Operation::Put(resource) => (resource.kind(), resource.name()),
        Operation::Delete { kind, name } => (*kind, name),
    }
}

fn index_keys(keys: &BTreeMap<String, Arc<Key>>) -> Result<HashMap<String, Arc<Key>>> {
    let mut index = HashMap::with_capacity(keys.len());
    for key in keys.values() {
        let before: Option<Arc<Key>> = index.insert(key.hash.clone(), key.clone());
        if let Some(other) = before {
            let detail = format!("key `{}` has the same hash; hashes must be unique", other.id);
            return Err(invalid(ResourceKind::Key, &key.id, "hash", detail));
        }
    }
    Ok(index)
}

fn index_models(
    groups: &BTreeMap<String, Arc<TargetGroup>>,
) -> Result<BTreeMap<ModelName, Arc<TargetGroup>>> {
    let mut index = BTreeMap::new();
    for group in groups.values() {
        for model in &group.models {
            let before: Option<Arc<TargetGroup>> = index.insert(model.clone(), group.clone());
            if let Some(other) = before {
                let detail = format!("model `{model}` is already served by group `{}`", other.name);
                return Err(invalid(ResourceKind::TargetGroup, &group.name, "models", detail));
            }
        }
    }
    Ok(index)
}

type TargetIndex = HashMap<TargetName, (Arc<TargetGroup>, usize)>;

fn index_targets(groups: &BTreeMap<String, Arc<TargetGroup>>) -> Result<TargetIndex> {
    let mut index = TargetIndex::new();
    for group in groups.values() {
        for (position, target) in group.targets.iter().enumerate() {
            let before = index.insert(target.name.clone(), (group.clone(), position));
            if let Some((other, _)) = before {
                let detail =
                    format!("target name `{}` is used in group `{}`", target.name, other.name);
                let field = format!("targets[{position}].name");
                return Err(invalid(ResourceKind::TargetGroup, &group.name, &field, detail));
            }
        }
    }
    Ok(index)
}

fn index_routes(
    routes: &BTreeMap<String, Arc<Route>>,
    groups: &BTreeMap<String, Arc<TargetGroup>>,
) -> Result<HashMap<Option<String>, Vec<Arc<Route>>>> {
    let mut index: HashMap<Option<String>, Vec<Arc<Route>>> = HashMap::new();
    let mut patterns = BTreeMap::new();
    for route in routes.values() {
        let fail = |field: &str, detail: String| {
            Err(invalid(ResourceKind::Route, &route.name, field, detail))
        };
        match groups.get(&route.group) {
            None => return fail("group", format!("target group `{}` does not exist", route.group)),
            Some(group) if group.target_kind != TargetKind::Service => {
                return fail("group", format!("group `{}` must be of services", group.name));
            }
            Some(_) => {}
        }
        let host = route.host.as_deref().map(str::to_ascii_lowercase);
        if let Some(other) = patterns.insert((host.clone(), route.prefix.clone()), &route.name) {
            return fail("prefix", format!("route `{other}` has the same host and prefix"));
        }
        index.entry(host).or_default().push(route.clone());
    }
    for routes in index.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.as_ref().map_or(0, String::len)));
    }
    Ok(index)
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if !name.contains(':') && port.bytes().all(|b| b.is_ascii_digit()) => {
            name
        }
        _ => host,
    }
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/'))
}

fn find<K, T>(
    map: &BTreeMap<K, Arc<T>>,
    name: &str,
    wrap: impl Fn(T) -> Resource,
) -> Option<Resource>
where
    K: Ord + std::borrow::Borrow<str>,
    T: Clone,
{
    map.get(name).map(|value| wrap((**value).clone()))
}

fn diff_maps<K, T>(
    old: &BTreeMap<K, Arc<T>>,
    new: &BTreeMap<K, Arc<T>>,
    wrap: impl Fn(T) -> Resource,
    operations: &mut Vec<Operation>,
) where
    K: Ord,
    T: Clone + PartialEq,
{
    for (name, value) in old {
        if !new.contains_key(name) {
            let resource = wrap((**value).clone());
            let (kind, name) = (resource.kind(), resource.name().to_owned());
            operations.push(Operation::Delete { kind, name });
        }
    }
    for (name, value) in new {
        let same =
            old.get(name).is_some_and(|before| Arc::ptr_eq(before, value) || before == value);
        if !same {
            operations.push(Operation::Put(wrap((**value).clone())));
        }
    }
}
