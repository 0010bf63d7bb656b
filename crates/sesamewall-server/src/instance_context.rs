//! The ports and views that all services of one instance share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use sesamewall_ports::BulkStorage;
use sesamewall_ports::Clock;
use sesamewall_ports::InstanceList;
use sesamewall_ports::ListedInstance;
use sesamewall_ports::PeerLink;
use sesamewall_ports::Store;
use sesamewall_ports::Target;
use sesamewall_tasks::Tasks;
use slog::Logger;

use crate::ConfigView;
use crate::Directory;
use crate::LeadView;
use crate::Metrics;
use crate::Recorder;
use crate::Settings;

/// The ports and shared views of one instance.
pub struct InstanceContext {
    /// The entry of this instance in the instance list.
    pub local: ListedInstance,
    /// Settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The platform's instance list.
    pub instances: Arc<dyn InstanceList>,
    /// The link to other instances.
    pub link: Arc<dyn PeerLink>,
    /// The client for targets.
    pub target: Arc<dyn Target>,
    /// The data folder, if this instance has one.
    pub bulk: Option<Arc<dyn BulkStorage>>,
    /// The configuration in force.
    pub config: ConfigView,
    /// Live instances and leads.
    pub directory: Directory,
    /// The lead lease of this instance.
    pub lead: LeadView,
    /// Decision records.
    pub recorder: Recorder,
    /// Metrics.
    pub metrics: Metrics,
    /// Log for changes of state.
    pub log: Logger,
    /// True while the instance is shutting down and accepts no new work.
    pub draining: Arc<AtomicBool>,
    /// The tasks of the instance.
    pub tasks: Arc<Tasks>,
}
