//! The batch service of one instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::get;
use axum::routing::post;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use sesamewall_batch::ClaimTracker;
use sesamewall_batch::JobRecord;
use sesamewall_batch::RepairTracker;
use sesamewall_batch::WorkerLease;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::BatchMessage;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::BatchOptions;
use super::drain::Drain;
use super::files;
use super::jobs;
use super::records::Records;
use super::storage::Storage;
use crate::InstanceContext;
use crate::ItemRunner;

/// A job that has not ended, as this instance last received it.
pub(super) struct OpenJob {
    pub(super) record: JobRecord,
    pub(super) version: u64,
    /// Cancelled when the job stops.
    pub(super) stop: CancellationToken,
    /// Time of the next check for a segment to claim.
    pub(super) check_at: Time,
}

/// Mutable state of the service.
#[derive(Default)]
pub(super) struct State {
    pub(super) jobs: BTreeMap<JobId, OpenJob>,
    pub(super) claims: ClaimTracker,
    pub(super) repair: RepairTracker,
    pub(super) lease: WorkerLease,
    pub(super) worker_version: Option<u64>,
    /// Segments that this process runs.
    pub(super) active: BTreeSet<(JobId, u32)>,
    pub(super) orphans: BTreeMap<String, Time>,
    pub(super) repair_cursor: String,
    /// Keys after which the next removal pass over jobs, files and workers continues.
    pub(super) sweep_cursors: [String; 3],
}

/// Accepts files and jobs, runs segments, and stores and repairs copies of blobs.
pub struct BatchService {
    pub(super) context: Arc<InstanceContext>,
    pub(super) runner: Arc<dyn ItemRunner>,
    pub(super) options: BatchOptions,
    pub(super) records: Records,
    pub(super) storage: Storage,
    pub(super) incarnation: String,
    pub(super) state: Mutex<State>,
    pub(super) rng: Mutex<ChaCha8Rng>,
    pub(super) wake: Notify,
    pub(super) item_slots: Arc<Semaphore>,
    pub(super) renewals: AtomicU64,
    pub(super) drain: Drain,
}

impl BatchService {
    /// Creates the service with default options.
    pub fn new(context: Arc<InstanceContext>, runner: Arc<dyn ItemRunner>) -> Arc<Self> {
        Self::with_options(context, runner, BatchOptions::default())
    }

    /// Creates the service.
    pub fn with_options(
        context: Arc<InstanceContext>,
        runner: Arc<dyn ItemRunner>,
        options: BatchOptions,
    ) -> Arc<Self> {
        let mut rng = match options.seed {
            Some(seed) => ChaCha8Rng::seed_from_u64(seed),
            None => ChaCha8Rng::from_os_rng(),
        };
        let incarnation = format!("{:032x}", rng.random::<u128>());
        let records = Records { store: Arc::clone(&context.store), read_back: options.read_back };
        Arc::new(Self {
            storage: Storage { context: Arc::clone(&context) },
            item_slots: Arc::new(Semaphore::new(context.settings.batch_workers.max(1))),
            context,
            runner,
            options,
            records,
            incarnation,
            state: Mutex::default(),
            rng: Mutex::new(rng),
            wake: Notify::new(),
            renewals: AtomicU64::new(0),
            drain: Drain::default(),
        })
    }

    /// Returns the routes for callers.
    pub fn router(self: &Arc<Self>) -> Router {
        let upload = self.options.file_limit.saturating_add(1 << 20);
        let body = self.context.settings.body_limit;
        Router::new()
            .route("/v1/files", post(files::upload).get(files::list))
            .layer(DefaultBodyLimit::max(upload))
            .route("/v1/files/{id}", get(files::describe).delete(files::remove))
            .route("/v1/files/{id}/content", get(files::content))
            .route(
                "/v1/batches",
                post(jobs::create).get(jobs::list).layer(DefaultBodyLimit::max(body)),
            )
            .route("/v1/batches/{id}", get(jobs::describe))
            .route("/v1/batches/{id}/cancel", post(jobs::cancel))
            .with_state(Arc::clone(self))
    }

    /// Handles a request of another instance and returns the reply.
    pub async fn handle(&self, message: BatchMessage) -> BatchMessage {
        self.storage.handle(message).await
    }

    /// Starts the background tasks. They end when the handles are aborted.
    pub fn spawn(self: &Arc<Self>) -> Vec<tokio::task::JoinHandle<()>> {
        let tasks = &self.context.tasks;
        vec![
            tasks.spawn_essential("batch lease", Arc::clone(self).renew_loop()),
            tasks.spawn_essential("batch watch", Arc::clone(self).watch_loop()),
            tasks.spawn_essential("batch claims", Arc::clone(self).claim_loop()),
            tasks.spawn_essential("batch repair", Arc::clone(self).repair_loop()),
        ]
    }

    /// Returns the state for operators.
    pub fn dump(&self) -> serde_json::Value {
        let state = self.state();
        json!({
            "incarnation": self.incarnation,
            "lease_valid": state.lease.is_valid(self.context.clock.now()),
            "open_jobs": state.jobs.len(),
            "active_segments": state
                .active
                .iter()
                .map(|(job, index)| format!("{job}/{index}"))
                .collect::<Vec<_>>(),
            "free_item_slots": self.item_slots.available_permits(),
            "orphan_blobs": state.orphans.len(),
        })
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a state change of this `kind` in the metrics.
    pub(super) fn count(&self, kind: &str) {
        self.context.metrics.changes.with_label_values(&[kind]).inc();
    }

    /// Returns a unique token: 96 random bits in hex.
    pub(super) fn token(&self) -> String {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        format!("{:016x}{:08x}", rng.random::<u64>(), rng.random::<u32>())
    }

    pub(super) fn random(&self) -> u64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }
}
