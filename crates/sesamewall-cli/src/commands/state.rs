//! Shows the state of one process.

use argh::FromArgs;

use crate::client::encode;
use crate::context::Context;
use crate::failure::Failure;
use crate::table::leaves;
use crate::table::table;

/// Shows the whole state of an instance, through any instance.
#[derive(FromArgs)]
#[argh(subcommand, name = "state")]
pub(crate) struct State {
    /// name of the instance
    #[argh(positional)]
    instance: String,
}

impl State {
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        let path = format!("/api/state?instance={}", encode(&self.instance));
        let response = context.client.get(&path).await?;
        context.show(&response, |response| {
            let rows = leaves(response).into_iter().map(|(path, value)| vec![path, value]);
            table(&["FIELD", "VALUE"], rows.collect())
        })
    }
}
