//! The commands, one file each.

mod apply;
mod delete;
mod describe;
mod diff;
mod explain;
mod get;
mod jobs;
mod keys;
mod refusals;
mod rollout;
mod state;
mod watch;

use argh::FromArgs;

use crate::context::Context;
use crate::failure::Failure;

/// A command with its arguments.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Apply(apply::Apply),
    Delete(delete::Delete),
    Describe(describe::Describe),
    Diff(diff::Diff),
    Explain(explain::Explain),
    Get(get::Get),
    Jobs(jobs::Jobs),
    Keys(keys::Keys),
    Refusals(refusals::Refusals),
    Rollout(rollout::Rollout),
    State(state::State),
    Watch(watch::Watch),
}

impl Command {
    /// Runs the command.
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        match self {
            Self::Apply(command) => command.run(context).await,
            Self::Delete(command) => command.run(context).await,
            Self::Describe(command) => command.run(context).await,
            Self::Diff(command) => command.run(context).await,
            Self::Explain(command) => command.run(context).await,
            Self::Get(command) => command.run(context).await,
            Self::Jobs(command) => command.run(context).await,
            Self::Keys(command) => command.run(context).await,
            Self::Refusals(command) => command.run(context).await,
            Self::Rollout(command) => command.run(context).await,
            Self::State(command) => command.run(context).await,
            Self::Watch(command) => command.run(context).await,
        }
    }
}
