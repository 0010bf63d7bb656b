//! Outcomes of a route's requests by version, as instances send them to each other.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::VersionOutcomes;

/// Outcomes of the requests of one route since an order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RouteOutcomes {
    /// Key of the service, from `rollout_key`.
    pub service: u32,
    /// Revision of the order.
    pub revision: u64,
    /// Key of the route, from `rollout_key`.
    pub route: u32,
    /// The route's requests are batch items.
    pub batch: bool,
    /// Outcomes at targets of all other versions.
    pub old: VersionOutcomes,
    /// Outcomes at targets of the order's version.
    pub new: VersionOutcomes,
}

/// Returns the sums of `lists` by order and route.
pub fn merge_outcomes<'a>(
    lists: impl IntoIterator<Item = &'a [RouteOutcomes]>,
) -> Vec<RouteOutcomes> {
    let mut sums: BTreeMap<(u32, u64, u32, bool), RouteOutcomes> = BTreeMap::new();
    for entry in lists.into_iter().flatten() {
        let key = (entry.service, entry.revision, entry.route, entry.batch);
        let sum = sums.entry(key).or_insert_with(|| RouteOutcomes {
            old: VersionOutcomes::default(),
            new: VersionOutcomes::default(),
            ..entry.clone()
        });
        sum.old.merge(&entry.old);
        sum.new.merge(&entry.new);
    }
    sums.into_values().collect()
}
