//! Deletes a resource.

use argh::FromArgs;
use serde_json::json;

use crate::client::encode;
use crate::context::Context;
use crate::failure::Failure;

/// Deletes a resource.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub(crate) struct Delete {
    /// kind of the resource
    #[argh(positional)]
    kind: String,

    /// name of the resource
    #[argh(positional)]
    name: String,
}

impl Delete {
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        let path = format!("/api/resources/{}/{}", encode(&self.kind), encode(&self.name));
        let found = context.client.get(&path).await?;
        let operation = json!({"delete": {"kind": found["resource"]["kind"], "name": self.name}});
        let body = json!({
            "against": found["revision"],
            "operations": [operation],
            "author": context.author,
        });
        let response = context.client.post("/api/changes", &body).await?;
        context.show(&response, |response| {
            format!(
                "- {} {}\naccepted as revision {}\n",
                self.kind, self.name, response["revision"]
            )
        })
    }
}
