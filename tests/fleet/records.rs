//! Decision records after the loss of the instance that decided.

use futures::future::join_all;
use serde_json::Value;

use crate::client::Client;
use crate::client::Prompt;
use crate::fixture::TestFleet;
use crate::process::eventually;

/// Number of concurrent requests; it exceeds the burst of the account `low`.
const CONCURRENCY: usize = 40;

/// Requests that one instance decided.
pub struct Decided {
    served: String,
    refused: String,
    /// Requests of the account `low` that were admitted.
    pub admitted: usize,
}

/// Sends requests of which one is served and one of the account `low` is refused by its rate.
pub async fn decide(client: &Client, base: &str, key: &str, low: &str) -> Decided {
    let prompt = Prompt::new("explain this", 4, false);
    let served = client.complete(base, key, &prompt).await.unwrap();
    let body = Prompt::new("too many", 1, false).body();
    let url = format!("{base}/v1/chat/completions");
    let responses = join_all((0..CONCURRENCY).map(|_| client.call("POST", &url, low, &body))).await;
    let responses: Vec<_> = responses.into_iter().map(Result::unwrap).collect();
    let refused = responses.iter().find(|response| response.status == 429).unwrap();
    assert_eq!(refused.header("x-sesamewall-outcome"), "not-run", "{refused:?}");
    Decided {
        served: served.header("x-request-id"),
        refused: refused.header("x-request-id"),
        admitted: responses.iter().filter(|response| response.status == 200).count(),
    }
}

/// Guards against decisions that no instance can explain after the loss of the one that decided.
pub async fn outlive_their_instance(fleet: &TestFleet, decided: &Decided) {
    let ends = [(&decided.served, "completed with status 200"), (&decided.refused, "not-run")];
    for index in [fleet.live()[0], fleet.live()[5]] {
        for (id, end) in ends {
            eventually("a request is explained", async || {
                let response = fleet.operate_at(index, &["explain", id]).await?;
                let summary = response["summary"].as_str().unwrap_or_default();
                summary.contains(end).then_some(()).ok_or_else(|| response.to_string())
            })
            .await;
        }
        eventually("the refusal is listed", async || {
            let args = ["refusals", "--account", "low", "--limit", "100000"];
            let response = fleet.operate_at(index, &args).await?;
            let records = response["records"].as_array().cloned().unwrap_or_default();
            let id = decided.refused.as_str();
            let found = records.iter().find(|record| record["request"] == id);
            match found.map(|record| &record["decision"]["numbers"]) {
                Some(Value::Array(numbers)) if !numbers.is_empty() => Ok(()),
                _ => Err(format!("{} refusals without {id}: {response:.300}", records.len())),
            }
        })
        .await;
    }
}
