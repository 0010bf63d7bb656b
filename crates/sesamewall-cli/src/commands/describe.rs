//! Shows every field of one resource.

use argh::FromArgs;

use crate::client::encode;
use crate::context::Context;
use crate::failure::Failure;
use crate::table::leaves;
use crate::table::table;

/// Shows every field of one resource.
#[derive(FromArgs)]
#[argh(subcommand, name = "describe")]
pub(crate) struct Describe {
    /// kind of the resource
    #[argh(positional)]
    kind: String,

    /// name of the resource
    #[argh(positional)]
    name: String,
}

impl Describe {
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        let (kind, name) = (encode(&self.kind), encode(&self.name));
        let (path, part) = match self.kind.as_str() {
            "job" | "jobs" => (format!("/api/jobs/{name}"), "job"),
            _ => (format!("/api/resources/{kind}/{name}"), "resource"),
        };
        let response = context.client.get(&path).await?;
        context.show(&response, |response| {
            let rows = leaves(&response[part]).into_iter().map(|(path, value)| vec![path, value]);
            table(&["FIELD", "VALUE"], rows.collect())
        })
    }
}
