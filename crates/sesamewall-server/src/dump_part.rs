//! One part of a process's state dump.

use std::sync::Arc;

use serde_json::Value;

use crate::StateDump;

/// A service with the function that returns its state.
pub struct DumpPart<T> {
    name: &'static str,
    service: Arc<T>,
    dump: fn(&T) -> Value,
}

impl<T> DumpPart<T> {
    /// Creates the part `name`.
    pub fn new(name: &'static str, service: Arc<T>, dump: fn(&T) -> Value) -> Self {
        Self { name, service, dump }
    }
}

impl<T: Send + Sync> StateDump for DumpPart<T> {
    fn name(&self) -> &'static str {
        self.name
    }

    fn dump(&self) -> Value {
        (self.dump)(&self.service)
    }
}
