//! Lists refusals.

use argh::FromArgs;
use serde_json::Value;

use crate::client::encode;
use crate::context::Context;
use crate::failure::Failure;
use crate::table::cell;
use crate::table::list;
use crate::table::table;
use crate::time_text::format_ms;
use crate::time_text::parse_since;

/// Lists refused requests with the rule and the numbers that it saw.
#[derive(FromArgs)]
#[argh(subcommand, name = "refusals")]
pub(crate) struct Refusals {
    /// only refusals of this client account
    #[argh(option)]
    account: Option<String>,

    /// start: a time ago such as 15m, an RFC 3339 time or milliseconds since 1970; default 1h
    #[argh(option, default = "\"1h\".to_owned()")]
    since: String,

    /// most refusals to list, the latest ones; default 1000
    #[argh(option, default = "1000")]
    limit: u32,
}

impl Refusals {
    pub(crate) async fn run(self, context: &mut Context<'_>) -> Result<(), Failure> {
        let since_ms = parse_since(&self.since, context.now_ms)
            .map_err(|detail| Failure::usage("--since", &detail))?;
        let account = self.account.map(|name| format!("&account={}", encode(&name)));
        let account = account.unwrap_or_default();
        let limit = self.limit;
        let path = format!("/api/refusals?since_ms={since_ms}&limit={limit}{account}");
        let response = context.client.get(&path).await?;
        context.show(&response, |response| {
            let rows = list(&response["records"]).map(row).collect();
            let head = ["TIME", "REQUEST", "ACCOUNT", "CODE", "RULE", "OUTCOME", "NUMBERS"];
            format!("{}{}", table(&head, rows), unreachable(response))
        })
    }
}

fn row(record: &Value) -> Vec<String> {
    let decision = &record["decision"];
    let numbers = list(&decision["numbers"]);
    let numbers = numbers.map(|pair| format!("{}={}", cell(&pair[0]), cell(&pair[1])));
    vec![
        format_ms(record["at_ms"].as_u64().unwrap_or_default()),
        cell(&record["request"]),
        cell(&record["account"]),
        cell(&decision["code"]),
        cell(&decision["rule"]),
        cell(&decision["outcome"]),
        numbers.collect::<Vec<_>>().join(" "),
    ]
}

/// Returns a line that names the instances that could not be reached, or an empty text.
pub(crate) fn unreachable(response: &Value) -> String {
    match list(&response["unreachable"]).next() {
        Some(_) => {
            format!("not asked, since out of reach: {}\n", cell(&response["unreachable"]))
        }
        None => String::new(),
    }
}
