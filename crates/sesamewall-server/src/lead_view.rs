//! The view that the services have of the lead lease of this instance.

use std::sync::PoisonError;
use std::sync::RwLock;

use sesamewall_protocol::Time;

/// A lead lease that this instance holds or held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeadTerm {
    /// Epoch, the fencing token. 0 if this instance is not lead.
    pub epoch: u64,
    /// End of the lease. It must be checked directly before each grant.
    pub valid_until: Time,
    /// End of the full floor; from then on only the reserve may be granted.
    pub full_until: Time,
}

/// Holds the lead lease of this instance.
#[derive(Debug, Default)]
pub struct LeadView {
    term: RwLock<LeadTerm>,
}

impl LeadView {
    /// Returns the lease, which may have expired.
    pub fn term(&self) -> LeadTerm {
        *self.term.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the lease if it is valid at `now`.
    pub fn valid(&self, now: Time) -> Option<LeadTerm> {
        Some(self.term()).filter(|term| term.epoch > 0 && now < term.valid_until)
    }

    /// Sets the lease.
    pub fn set(&self, term: LeadTerm) {
        *self.term.write().unwrap_or_else(PoisonError::into_inner) = term;
    }
}
