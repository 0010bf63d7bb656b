//! Follows changes.

use argh::FromArgs;
use serde_json::Value;

use crate::arguments::Output;
use crate::context::Context;
use crate::failure::Failure;
use crate::table::cell;
use crate::table::list;

/// Follows changes as they come into force, until it is interrupted.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub(crate) struct Watch {
    /// start after this revision; by default after the one in force
    #[argh(option)]
    after: Option<u64>,

    /// end after this many answers with changes
    #[argh(option)]
    count: Option<u64>,
}

impl Watch {
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        let mut after = match self.after {
            Some(after) => after,
            None => {
                let response = context.client.get("/api/resources?kind=domain").await?;
                response["revision"].as_u64().unwrap_or_default()
            }
        };
        let mut seen = 0;
        while self.count.is_none_or(|count| seen < count) {
            let response = context.client.get(&format!("/api/watch?after={after}")).await?;
            let revision = response["revision"].as_u64().unwrap_or_default();
            if revision > after {
                (after, seen) = (revision, seen + 1);
                let text = match context.output {
                    Output::Json => format!("{response}\n"),
                    Output::Table => lines(&response),
                };
                context.write(&text)?;
            }
        }
        Ok(())
    }
}

fn lines(response: &Value) -> String {
    let revision = &response["revision"];
    let note = match response["full"].as_bool() {
        Some(true) => format!("{revision} all resources follow; earlier changes were skipped\n"),
        _ => String::new(),
    };
    let lines = list(&response["operations"]).map(|operation| {
        let (verb, body) = match operation.get("put") {
            Some(body) => ("put", body),
            None => ("delete", &operation["delete"]),
        };
        let name = body.get("name").unwrap_or(&body["id"]);
        format!("{revision} {verb} {} {}\n", cell(&body["kind"]), cell(name))
    });
    note + &lines.collect::<String>()
}
