//! The program `sesamewall-bench`.

mod outcomes;

use std::process::ExitCode;

use argh::FromArgs;

use crate::cost::hot_path;
use crate::cost::slopes;
use crate::table::Table;

/// Runs an experiment and prints its figures next to their targets.
#[derive(FromArgs)]
struct Arguments {
    /// online-tail, fairness, wrongful-refusals, domain-outage, invariants, slopes or hot-path
    #[argh(positional)]
    name: String,
    /// seed of traffic and faults
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds of `invariants`, which start at `--seed`
    #[argh(option, default = "1000")]
    seeds: u64,
    /// runs a smaller fleet with fewer cases; its figures are not held to mean anything
    #[argh(switch)]
    small: bool,
    /// prints JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the program with the process's arguments. The exit code is 0 even when targets are missed,
/// and 2 for a wrong command line.
pub fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let texts: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match run_command(&texts) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(text) => {
            eprintln!("{text}");
            ExitCode::from(2)
        }
    }
}

/// Runs the experiment that the arguments name and returns what the program prints, or the reason
/// why the arguments are wrong.
pub fn run_command(arguments: &[&str]) -> Result<String, String> {
    let arguments = match Arguments::from_args(&["sesamewall-bench"], arguments) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => return Ok(exit.output),
        Err(exit) => return Err(exit.output),
    };
    let table = table(&arguments)?;
    if !arguments.json {
        return Ok(table.text());
    }
    let json = serde_json::to_string_pretty(&table).map_err(|error| error.to_string())?;
    Ok(format!("{json}\n"))
}

fn table(arguments: &Arguments) -> Result<Table, String> {
    let Arguments { seed, seeds, small, .. } = *arguments;
    match arguments.name.as_str() {
        "online-tail" => Ok(outcomes::online_tail(seed, small)),
        "fairness" => Ok(outcomes::fairness(seed, small)),
        "wrongful-refusals" => Ok(outcomes::wrongful_refusals(seed, small)),
        "domain-outage" => Ok(outcomes::domain_outage(seed, small)),
        "invariants" => Ok(outcomes::invariants(seed, seeds)),
        "slopes" => Ok(slopes(small)),
        "hot-path" => Ok(hot_path(small)),
        name => Err(format!("no experiment is named `{name}`; see --help")),
    }
}
