//! Explains the path of one request.

use argh::FromArgs;
use serde_json::Value;

use crate::client::encode;
use crate::commands::refusals::unreachable;
use crate::context::Context;
use crate::failure::Failure;
use crate::table::cell;
use crate::table::leaves;
use crate::table::list;
use crate::table::table;
use crate::time_text::format_ms;

/// Explains what happened to one request or batch item, and why.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// identifier of the request, from the header x-request-id
    #[argh(positional)]
    id: String,
}

impl Explain {
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        let response = context.client.get(&format!("/api/explain/{}", encode(&self.id))).await?;
        context.show(&response, |response| {
            let rows = list(&response["records"]).map(row).collect();
            let steps = table(&["TIME", "INSTANCE", "ACCOUNT", "DECISION", "DETAILS"], rows);
            let id = cell(&response["request"]);
            format!("{id}: {}\n{steps}{}", cell(&response["summary"]), unreachable(response))
        })
    }
}

fn row(record: &Value) -> Vec<String> {
    let details = leaves(&record["decision"]).into_iter().filter(|(path, _)| path != "kind");
    vec![
        format_ms(record["at_ms"].as_u64().unwrap_or_default()),
        cell(&record["instance"]),
        cell(&record["account"]),
        cell(&record["decision"]["kind"]),
        details.map(|(path, value)| format!("{path}={value}")).collect::<Vec<_>>().join(" "),
    ]
}
