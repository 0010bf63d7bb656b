//! Compares a file with the resources in force.

use std::collections::BTreeMap;

use argh::FromArgs;
use serde_json::Value;
use serde_json::json;

use crate::context::Context;
use crate::failure::Failure;
use crate::resource_file;
use crate::table::leaves;
use crate::table::list;

/// Shows what applying a file would change. Nothing is written.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// file with resources, TOML or JSON
    #[argh(option, short = 'f')]
    file: String,
}

impl Diff {
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        let resources = resource_file::read(&self.file)?;
        let response = context.client.post("/api/diff", &json!({ "resources": resources })).await?;
        context.show(&response, |response| match describe_changes(response) {
            lines if lines.is_empty() => {
                format!("nothing to change at revision {}\n", response["revision"])
            }
            lines => lines,
        })
    }
}

/// Returns one line for each resource that differs, and one for each of its fields.
pub(crate) fn describe_changes(diff: &Value) -> String {
    let mut text = String::new();
    for (operation, before) in list(&diff["operations"]).zip(list(&diff["before"])) {
        let (sign, after) = match (operation.get("put"), before.is_null()) {
            (Some(after), true) => ('+', after),
            (Some(after), false) => ('~', after),
            (None, _) => ('-', &Value::Null),
        };
        let named = if after.is_null() { before } else { after };
        let (kind, name) = (&named["kind"], named.get("name").unwrap_or(&named["id"]));
        let words = [kind, name].map(|word| word.as_str().unwrap_or("?"));
        text.push_str(&format!("{sign} {} {}\n", words[0], words[1]));
        if sign == '~' {
            text.push_str(&fields(before, after));
        }
    }
    text
}

fn fields(before: &Value, after: &Value) -> String {
    let mut paths: BTreeMap<String, (Option<String>, Option<String>)> = BTreeMap::new();
    for (path, value) in leaves(before) {
        paths.entry(path).or_default().0 = Some(value);
    }
    for (path, value) in leaves(after) {
        paths.entry(path).or_default().1 = Some(value);
    }
    let word = |value: Option<String>| value.unwrap_or_else(|| "-".to_owned());
    let changed = paths.into_iter().filter(|(_, (before, after))| before != after);
    changed.map(|(path, (b, a))| format!("    {path}: {} -> {}\n", word(b), word(a))).collect()
}
