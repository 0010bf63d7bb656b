//! Shows which revision is in force where.

use argh::FromArgs;

use crate::context::Context;
use crate::failure::Failure;
use crate::table::cell;
use crate::table::list;
use crate::table::table;

/// Shows which revision is in force at each instance, and which instances cannot be reached.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
pub(crate) struct Rollout {}

impl Rollout {
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        let response = context.client.get("/api/rollout").await?;
        context.show(&response, |response| {
            let fields = ["instance", "domain", "revision", "state"];
            let rows = list(&response["instances"])
                .map(|instance| fields.map(|field| cell(&instance[field])).to_vec());
            let instances = table(&["INSTANCE", "DOMAIN", "REVISION", "STATE"], rows.collect());
            let end = match response["complete"].as_bool() {
                Some(true) => "in force everywhere",
                _ => "not yet in force everywhere",
            };
            format!("revision {}: {end}\n{instances}", response["revision"])
        })
    }
}
