//! Reads resources from a file.

use serde_json::Value;
use serde_json::json;
use sesamewall_protocol::Error;
use sesamewall_protocol::Resource;

use crate::failure::Failure;

/// Reads resources from a file. In TOML, each table `[[KIND]]` is one resource. In JSON, the file
/// is a list of resources with the field `kind`, or an object with such a list in `resources`.
pub(crate) fn read(path: &str) -> Result<Vec<Value>, Failure> {
    let text = std::fs::read_to_string(path).map_err(|error| invalid(path, &error.to_string()))?;
    let found = match path.ends_with(".json") {
        true => read_json(path, &text)?,
        false => read_toml(path, &text)?,
    };
    if found.is_empty() {
        return Err(invalid(path, "the file has no resources"));
    }
    // Checks the resources here, where the position in the file is known for the error.
    for (place, resource) in &found {
        serde_json::from_value::<Resource>(resource.clone())
            .map_err(|error| invalid(&format!("{path}: {place}"), &error.to_string()))?;
    }
    Ok(found.into_iter().map(|(_, resource)| resource).collect())
}

fn read_json(path: &str, text: &str) -> Result<Vec<(String, Value)>, Failure> {
    let value: Value =
        serde_json::from_str(text).map_err(|error| invalid(path, &error.to_string()))?;
    let list = value.get("resources").unwrap_or(&value).as_array().cloned();
    let list = list.ok_or_else(|| invalid(path, "the file is not a list of resources"))?;
    let place = |(i, resource): (usize, Value)| (format!("resource {}", i + 1), resource);
    Ok(list.into_iter().enumerate().map(place).collect())
}

fn read_toml(path: &str, text: &str) -> Result<Vec<(String, Value)>, Failure> {
    let table: toml::Table =
        toml::from_str(text).map_err(|error| invalid(path, error.to_string().trim_end()))?;
    let mut found = Vec::new();
    for (kind, list) in table {
        let list = match list {
            toml::Value::Array(list) => list,
            _ => return Err(invalid(path, &format!("`{kind}` is not a table [[{kind}]]"))),
        };
        for (i, entry) in list.into_iter().enumerate() {
            let place = format!("[[{kind}]] number {}", i + 1);
            let mut resource = json!(entry);
            let fields = resource.as_object_mut();
            let fields = fields.ok_or_else(|| invalid(path, &format!("{place} is no table")))?;
            if fields.insert("kind".to_owned(), json!(kind)).is_some() {
                return Err(invalid(path, &format!("{place} names its kind twice")));
            }
            found.push((place, resource));
        }
    }
    Ok(found)
}

fn invalid(field: &str, detail: &str) -> Failure {
    let error = Error::FieldInvalid { field: field.to_owned(), detail: detail.to_owned() };
    Failure { help: "correct the file; see deploy/ for examples".to_owned(), ..error.into() }
}
