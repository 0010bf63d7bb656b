//! Formats tables as text.

use serde_json::Value;

/// Returns a table with aligned columns.
pub(crate) fn table(head: &[&str], rows: Vec<Vec<String>>) -> String {
    let head: Vec<String> = head.iter().map(|title| (*title).to_owned()).collect();
    let rows: Vec<Vec<String>> = std::iter::once(head).chain(rows).collect();
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let widths: Vec<usize> = (0..columns)
        .map(|i| rows.iter().filter_map(|row| row.get(i)).map(|cell| cell.chars().count()).max())
        .map(Option::unwrap_or_default)
        .collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Returns a value as the text of a cell.
pub(crate) fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(values) => values.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// Returns the elements of a list in a response.
pub(crate) fn list(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Returns one `path: value` pair for each leaf of a value.
pub(crate) fn leaves(value: &Value) -> Vec<(String, String)> {
    let mut found = Vec::new();
    collect("", value, &mut found);
    found
}

fn collect(path: &str, value: &Value, found: &mut Vec<(String, String)>) {
    let join = |name: &str| match path.is_empty() {
        true => name.to_owned(),
        false => format!("{path}.{name}"),
    };
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            fields.iter().for_each(|(name, value)| collect(&join(name), value, found));
        }
        Value::Array(values) if values.iter().any(Value::is_object) => {
            let values = values.iter().enumerate();
            values.for_each(|(i, value)| collect(&join(&i.to_string()), value, found));
        }
        other => found.push((path.to_owned(), cell(other))),
    }
}
