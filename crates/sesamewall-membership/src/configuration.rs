//! The configuration at one revision.

use sesamewall_protocol::Revision;

/// All resources at one revision.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    revision: Revision,
}

impl Configuration {
    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }
}
