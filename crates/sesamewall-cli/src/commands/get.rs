//! Lists resources.

use argh::FromArgs;
use serde_json::Value;

use crate::client::encode;
use crate::commands::jobs;
use crate::context::Context;
use crate::failure::Failure;
use crate::table::cell;
use crate::table::list;
use crate::table::table;

/// Characters of a key's hash in a table, enough to tell keys apart.
const HASH_CHARS: usize = 12;

/// Lists resources of a kind: account, key, rate, route, target-group, job or domain.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Get {
    /// kind of the resources
    #[argh(positional)]
    kind: String,

    /// name of one resource
    #[argh(positional)]
    name: Option<String>,
}

impl Get {
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        if matches!(self.kind.as_str(), "job" | "jobs") {
            return jobs::Jobs { id: self.name }.run(context).await;
        }
        let kind = encode(&self.kind);
        let path = match &self.name {
            Some(name) => format!("/api/resources/{kind}/{}", encode(name)),
            None => format!("/api/resources?kind={kind}"),
        };
        let response = context.client.get(&path).await?;
        context.show(&response, |response| match response.get("resource") {
            Some(resource) => resources(&[resource]),
            None => resources(&list(&response["resources"]).collect::<Vec<_>>()),
        })
    }
}

fn resources(found: &[&Value]) -> String {
    let Some(first) = found.first() else { return "no resources\n".to_owned() };
    let head: &[&str] = match first["kind"].as_str() {
        Some("account") => &["NAME", "RATE", "BURST", "BATCH RATE", "BATCH BURST", "WEIGHT"],
        Some("key") => &["ID", "ACCOUNT", "HASH"],
        Some("route") => &["NAME", "HOST", "PREFIX", "GROUP", "OPEN"],
        Some("target-group") => &["NAME", "TYPE", "MODELS", "TARGETS", "LIMIT"],
        _ => &["NAME", "MODE"],
    };
    table(head, found.iter().map(|resource| row(resource)).collect())
}

fn row(resource: &Value) -> Vec<String> {
    let field = |path: &str| cell(resource.pointer(path).unwrap_or(&Value::Null));
    let fields = |paths: &[&str]| paths.iter().map(|path| field(path)).collect();
    match resource["kind"].as_str() {
        Some("account") => fields(&[
            "/name",
            "/online/rate",
            "/online/burst",
            "/batch/rate",
            "/batch/burst",
            "/weight",
        ]),
        Some("key") => {
            let hash = field("/hash").chars().take(HASH_CHARS).collect();
            vec![field("/id"), field("/account"), hash]
        }
        Some("route") => fields(&["/name", "/host", "/prefix", "/group", "/open"]),
        Some("target-group") => {
            let targets = list(&resource["targets"]).count().to_string();
            vec![field("/name"), field("/type"), field("/models"), targets, field("/limit")]
        }
        _ => fields(&["/name", "/mode"]),
    }
}
