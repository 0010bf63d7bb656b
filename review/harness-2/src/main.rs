//! Runs one case of the review: `review-harness-2 CASE RECORD`. It exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod cases;
mod fleet;
mod http;
mod record;
mod runner;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::cases::Verdict;
use crate::record::Record;

/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(115);

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-harness-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.say(format!("case {case}, disruption: {trouble}"));
    let verdict = tokio::time::timeout(TIME_LIMIT, cases::run(&case, &record, trouble)).await;
    let verdict = verdict.unwrap_or_else(|_| Verdict::NotRun("the time is over".to_owned()));
    let code = match verdict {
        Verdict::Held(text) => {
            record.say(format!("held: {text}"));
            0
        }
        Verdict::Broken(text) => {
            record.say(format!("broken: {text}"));
            1
        }
        Verdict::NotRun(text) => {
            record.say(format!("could not run: {text}"));
            2
        }
    };
    if let Err(error) = record.write(&PathBuf::from(path)) {
        eprintln!("the record cannot be written: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
