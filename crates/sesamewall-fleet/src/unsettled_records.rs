//! Records of stream versions that were sent shortly after the start of the process, when the view of
//! the fleet lacked instances: they are sent again to the holders that the view shows later.

use std::net::IpAddr;
use std::time::Duration;

use sesamewall_protocol::Time;

use crate::StreamRecord;

/// Settings of unsettled records.
#[derive(Clone, Debug)]
pub struct UnsettledSettings {
    /// Time after the start of the process until its view shows all instances that are live.
    pub settle_time: Duration,
    /// Largest number of records that are sent again.
    pub max_records: usize,
}

impl Default for UnsettledSettings {
    fn default() -> Self {
        Self { settle_time: Duration::from_secs(3), max_records: 256 }
    }
}

#[derive(Clone, Debug)]
struct UnsettledRecord {
    record: StreamRecord,
    told: Vec<IpAddr>,
}

/// The records that may have to be sent to further holders.
#[derive(Clone, Debug, Default)]
pub struct UnsettledRecords {
    settings: UnsettledSettings,
    settled_at: Option<Time>,
    records: Vec<UnsettledRecord>,
}

impl UnsettledRecords {
    /// Creates the records of a process that starts now.
    pub fn new(settings: UnsettledSettings, now: Time) -> Self {
        let settled_at = Some(now + settings.settle_time);
        Self { settings, settled_at, records: Vec::new() }
    }

    fn is_settled(&self, now: Time) -> bool {
        self.settled_at.is_none_or(|at| at <= now)
    }

    /// Adds a record that was sent to the holders `told`. `complete` is true if the view lacks no
    /// instance.
    pub fn on_sent(&mut self, record: StreamRecord, told: Vec<IpAddr>, complete: bool, now: Time) {
        let has_room = self.records.len() < self.settings.max_records;
        if !complete && has_room && !self.is_settled(now) {
            self.records.push(UnsettledRecord { record, told });
        }
    }

    /// Returns the records with the holders that the present view shows in addition. `holders` returns
    /// those of a stream.
    pub fn take_due(
        &mut self,
        holders: impl Fn(u64) -> Vec<IpAddr>,
        complete: bool,
        now: Time,
    ) -> Vec<(StreamRecord, Vec<IpAddr>)> {
        let mut due = Vec::new();
        for unsettled in &mut self.records {
            let mut further = holders(unsettled.record.stream);
            further.retain(|holder| !unsettled.told.contains(holder));
            if !further.is_empty() {
                unsettled.told.extend_from_slice(&further);
                due.push((unsettled.record, further));
            }
        }
        if complete || self.is_settled(now) {
            self.records.clear();
        }
        due
    }
}
