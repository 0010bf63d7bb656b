//! Removes secrets from a state dump.

use serde_json::Map;
use serde_json::Value;

/// Replaces each removed secret.
const REMOVED: &str = "(removed)";

/// Substrings of the names of fields whose values are removed unless they are numbers.
const FIELDS: &[&str] = &["secret", "credential", "password", "authorization", "cookie", "_hash"];

/// Prefixes of secrets within a text.
const PREFIXES: &[&str] = &["sk-", "Bearer "];

/// Removes the values of fields that hold secrets and the parts of texts that look like a caller's
/// key. Services leave secrets out of their dumps; this guards against a service that does not.
pub(super) fn redact(value: Value) -> Value {
    match value {
        Value::String(text) => Value::String(redact_text(&text)),
        Value::Array(values) => Value::Array(values.into_iter().map(redact).collect()),
        Value::Object(fields) => Value::Object(fields.into_iter().map(redact_field).collect()),
        other => other,
    }
}

fn redact_field((name, value): (String, Value)) -> (String, Value) {
    let lower = name.to_ascii_lowercase();
    match FIELDS.iter().any(|field| lower.contains(field)) {
        true if !value.is_number() => (redact_text(&name), Value::String(REMOVED.to_owned())),
        _ => (redact_text(&name), redact(value)),
    }
}

fn redact_text(text: &str) -> String {
    let mut clean = text.to_owned();
    for prefix in PREFIXES {
        let mut start = 0;
        while let Some(found) = clean.get(start..).and_then(|rest| rest.find(prefix)) {
            let from = start + found + prefix.len();
            let secret_len = clean[from..]
                .find(|c: char| !(c.is_ascii_alphanumeric() || "-_.+/=".contains(c)))
                .unwrap_or(clean.len() - from);
            clean.replace_range(from..from + secret_len, REMOVED);
            start = from + REMOVED.len();
        }
    }
    clean
}

/// Returns a JSON object of the parts of a dump, without secrets.
pub(super) fn object(parts: impl IntoIterator<Item = (&'static str, Value)>) -> Value {
    let fields: Map<String, Value> =
        parts.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
    redact(Value::Object(fields))
}
