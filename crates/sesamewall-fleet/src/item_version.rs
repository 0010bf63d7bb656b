//! The version of the targets that wrote an output.

use std::sync::Arc;

use sesamewall_protocol::TargetName;

use crate::TargetTable;
use crate::is_comparable;

/// A version of the software of a service's targets. Versions of different services are unrelated,
/// also those of the same name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceVersion {
    /// Service of the targets.
    pub service: Arc<str>,
    /// Version as the targets name it, empty if they name none.
    pub version: Arc<str>,
}

impl ServiceVersion {
    /// Returns whether all targets with this version have the same software. Those that name none
    /// may differ if another target of the service names one.
    pub fn is_definite(&self, table: &TargetTable) -> bool {
        is_comparable(table, &self.service, &self.version)
    }
}

/// A start of a target, as its entry was when an attempt chose it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetStart {
    /// Name of the target.
    pub name: TargetName,
    /// Start of the target's process in Unix milliseconds, 0 if unknown.
    pub started_ms: u64,
    /// Service and version of the target.
    pub version: ServiceVersion,
}

impl TargetStart {
    /// Returns the start of a target by its present entry; `None` if it has none.
    pub fn of(table: &TargetTable, name: &TargetName) -> Option<Self> {
        let entry = &table.get(name)?.entry;
        let version =
            ServiceVersion { service: entry.service.clone(), version: entry.version.clone() };
        Some(Self { name: name.clone(), started_ms: entry.started_ms, version })
    }

    /// Returns the version that responds at the target; `None` if it is not known, since the target
    /// has another entry or none by now.
    pub fn known_version(&self, table: &TargetTable) -> Option<ServiceVersion> {
        let is_current = Self::of(table, &self.name).as_ref() == Some(self);
        (is_current && self.version.is_definite(table)).then(|| self.version.clone())
    }

    /// Returns whether the entry of the target is that of another start. A target without an entry
    /// has left, and may still complete its responses.
    pub fn is_replaced(&self, table: &TargetTable) -> bool {
        Self::of(table, &self.name).is_some_and(|start| start != *self)
    }
}
