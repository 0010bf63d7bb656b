//! Builds resources and changes for tests.

use serde_json::Value;
use serde_json::json;
use sesamewall_protocol::Change;
use sesamewall_protocol::Operation;

/// Returns the operation that creates the resource in JSON.
pub fn put(resource: Value) -> Operation {
    Operation::Put(serde_json::from_value(resource).unwrap())
}

/// Returns the operation that creates an account with 10 requests/s.
pub fn account(name: &str) -> Operation {
    put(json!({"kind": "account", "name": name, "online": {"rate": 10.0, "burst": 20.0}}))
}

/// Returns the operation that creates a key.
pub fn key(id: &str, account: &str) -> Operation {
    let hash = sesamewall_protocol::hash_key(id);
    put(json!({"kind": "key", "id": id, "account": account, "hash": hash}))
}

/// Returns a change by `author`.
pub fn change(revision: u64, author: &str, operations: Vec<Operation>) -> Change {
    Change {
        revision,
        token: format!("{author}-{revision}"),
        author: author.into(),
        at_ms: 1_700_000_000_000,
        operations,
    }
}
