//! Creates and changes resources from a file.

use argh::FromArgs;
use serde_json::Value;
use serde_json::json;

use crate::commands::diff::describe_changes;
use crate::context::Context;
use crate::failure::Failure;
use crate::resource_file;
use crate::table::list;

/// Creates and changes the resources of a file. All of them take effect together, or none does.
/// Resources that the file does not name stay as they are.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// file with resources, TOML or JSON
    #[argh(option, short = 'f')]
    file: String,

    /// refuse if this revision is no longer in force; by default the one read just before
    #[argh(option)]
    against: Option<u64>,
}

impl Apply {
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        let resources = resource_file::read(&self.file)?;
        let diff = context.client.post("/api/diff", &json!({ "resources": resources })).await?;
        if list(&diff["operations"]).next().is_none() {
            let response = json!({ "revision": diff["revision"], "change": Value::Null });
            return context.show(&response, |response| {
                format!("nothing to change at revision {}\n", response["revision"])
            });
        }
        let against = self.against.map_or_else(|| diff["revision"].clone(), Value::from);
        let body = json!({
            "against": against,
            "operations": diff["operations"],
            "author": context.author,
        });
        let response = context.client.post("/api/changes", &body).await?;
        context.show(&response, |response| {
            format!("{}accepted as revision {}\n", describe_changes(&diff), response["revision"])
        })
    }
}
