//! Entries of the store that cannot be read, so that each is logged once and not at each read.

use std::collections::HashMap;
use std::collections::HashSet;

/// Settings of the record of unreadable entries.
#[derive(Clone, Debug)]
pub struct UnreadableSettings {
    /// Most entries that are kept. Further ones are not logged one by one.
    pub max_entries: usize,
}

impl Default for UnreadableSettings {
    fn default() -> Self {
        Self { max_entries: 64 }
    }
}

/// The known unreadable entries with the reasons.
#[derive(Clone, Debug, Default)]
pub struct UnreadableEntries {
    settings: UnreadableSettings,
    reasons: HashMap<Box<str>, Box<str>>,
}

impl UnreadableEntries {
    /// Creates a record without entries.
    pub fn new(settings: UnreadableSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that the entry under `key` cannot be read. Returns whether that is worth a log line:
    /// the entry is new or the reason is another one. An entry that its writer repeats is not.
    pub fn on_unreadable(&mut self, key: &str, reason: &str) -> bool {
        let count = self.reasons.len();
        match self.reasons.get_mut(key) {
            Some(known) if **known == *reason => false,
            Some(known) => {
                *known = reason.into();
                true
            }
            None if count >= self.settings.max_entries => false,
            None => {
                self.reasons.insert(key.into(), reason.into());
                true
            }
        }
    }

    /// Records that the entry under `key` was removed or can be read again.
    pub fn on_readable(&mut self, key: &str) {
        self.reasons.remove(key);
    }

    /// Forgets all entries except `unreadable`, which a complete read has found.
    pub fn retain(&mut self, unreadable: &HashSet<&str>) {
        self.reasons.retain(|key, _| unreadable.contains(&**key));
    }
}
