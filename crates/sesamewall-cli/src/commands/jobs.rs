//! Shows batch jobs.

use argh::FromArgs;
use serde_json::Value;

use crate::client::encode;
use crate::context::Context;
use crate::failure::Failure;
use crate::table::cell;
use crate::table::list;
use crate::table::table;
use crate::time_text::format_ms;

/// Lists batch jobs, or shows one.
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
pub(crate) struct Jobs {
    /// identifier of one job
    #[argh(positional)]
    pub(crate) id: Option<String>,
}

impl Jobs {
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        let path = match &self.id {
            Some(id) => format!("/api/jobs/{}", encode(id)),
            None => "/api/jobs".to_owned(),
        };
        let response = context.client.get(&path).await?;
        context.show(&response, |response| {
            let rows = match response.get("job") {
                Some(job) => vec![row(job)],
                None => list(&response["jobs"]).map(row).collect(),
            };
            let head = ["ID", "ACCOUNT", "STATE", "TOTAL", "COMPLETED", "FAILED", "DUE"];
            table(&head, rows)
        })
    }
}

fn row(job: &Value) -> Vec<String> {
    let fields = ["id", "account", "state", "total", "completed", "failed"];
    let due = job["due_ms"].as_u64().map_or_else(|| "-".to_owned(), format_ms);
    fields.iter().map(|field| cell(&job[*field])).chain([due]).collect()
}
