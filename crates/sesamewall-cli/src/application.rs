//! Entry point of the command-line tool.

use std::io::Write;
use std::process::ExitCode;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use argh::FromArgs;

use crate::arguments::Arguments;
use crate::client::Client;
use crate::context::Context;
use crate::failure::Failure;

/// Exit code for a wrong command line.
const USAGE: u8 = 2;

/// Values that the tool reads from its environment.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// The operators' credential from `SESAMEWALL_TOKEN`.
    pub token: Option<String>,
    /// Name of the user, shown as author of changes.
    pub user: Option<String>,
    /// Wall time in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Runs the tool with the arguments and environment of the process.
pub async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let environment = Environment {
        token: std::env::var("SESAMEWALL_TOKEN").ok(),
        user: std::env::var("USER").ok(),
        now_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
    };
    let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
    ExitCode::from(run(&arguments, &environment, &mut out, &mut err).await)
}

/// Runs the tool and returns the exit code: 0, 1 for an error or 2 for a wrong command line.
pub async fn run(
    arguments: &[String],
    environment: &Environment,
    out: &mut (dyn Write + Send),
    err: &mut (dyn Write + Send),
) -> u8 {
    let texts: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["sesamewall"], &texts) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => {
            // A closed output cannot be reported anywhere.
            let _ = writeln!(out, "{}", exit.output);
            return 0;
        }
        Err(exit) => {
            let _ = writeln!(err, "{}", exit.output.trim_end());
            let _ = writeln!(err, "help: see `sesamewall --help`");
            return USAGE;
        }
    };
    match execute(arguments, environment, out).await {
        Ok(()) => 0,
        Err(failure) => {
            let _ = write!(err, "{failure}");
            failure.exit
        }
    }
}

async fn execute(
    arguments: Arguments,
    environment: &Environment,
    out: &mut (dyn Write + Send),
) -> Result<(), Failure> {
    let token = arguments.token.or_else(|| environment.token.clone());
    let author = arguments.author.or_else(|| environment.user.clone());
    let mut context = Context {
        client: Client::new(&arguments.server, token)?,
        output: arguments.output,
        author: author.filter(|author| !author.is_empty()).unwrap_or_else(|| "operator".to_owned()),
        now_ms: environment.now_ms,
        out,
    };
    arguments.command.run(&mut context).await
}
