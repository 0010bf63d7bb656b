//! Collects decision records of this instance.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use sesamewall_ports::Clock;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Decision;
use sesamewall_protocol::DecisionRecord;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::RequestId;

/// Most records that wait to be sent to storage instances; above it the oldest are dropped and
/// counted.
const PENDING_LIMIT: usize = 65_536;

/// Collects decision records until they are sent to storage instances.
pub struct Recorder {
    instance: InstanceName,
    clock: Arc<dyn Clock>,
    pending: Mutex<Pending>,
}

#[derive(Default)]
struct Pending {
    records: VecDeque<DecisionRecord>,
    dropped: u64,
    sequence: u64,
}

impl Recorder {
    /// Creates a recorder for `instance`.
    pub fn new(instance: InstanceName, clock: Arc<dyn Clock>) -> Self {
        Self { instance, clock, pending: Mutex::default() }
    }

    /// Records a decision about a request.
    pub fn record(&self, request: &RequestId, account: Option<&AccountName>, decision: Decision) {
        self.record_at(self.clock.wall_ms(), request, account, decision);
    }

    /// Records a decision that was made at the wall time `at_ms`, in milliseconds since the Unix
    /// epoch.
    pub fn record_at(
        &self,
        at_ms: u64,
        request: &RequestId,
        account: Option<&AccountName>,
        decision: Decision,
    ) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.sequence += 1;
        let record = DecisionRecord {
            at_ms,
            instance: self.instance.clone(),
            sequence: pending.sequence,
            request: request.clone(),
            account: account.cloned(),
            decision,
        };
        if pending.records.len() == PENDING_LIMIT {
            pending.records.pop_front();
            pending.dropped += 1;
        }
        pending.records.push_back(record);
    }

    /// Removes and returns up to `limit` of the oldest waiting records.
    pub fn take(&self, limit: usize) -> Vec<DecisionRecord> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let count = limit.min(pending.records.len());
        pending.records.drain(..count).collect()
    }

    /// Returns the waiting records that `wanted` accepts, oldest first.
    pub fn find(&self, wanted: impl Fn(&DecisionRecord) -> bool) -> Vec<DecisionRecord> {
        let pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.records.iter().filter(|record| wanted(record)).cloned().collect()
    }

    /// Returns the number of waiting records.
    pub fn waiting(&self) -> usize {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner).records.len()
    }

    /// Returns the number of records that were dropped at the limit.
    pub fn dropped(&self) -> u64 {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner).dropped
    }
}
