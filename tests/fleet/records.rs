//! Decision records after the loss of the instance that decided.

use std::time::Duration;

use serde_json::Value;

use crate::client::Answer;
use crate::client::Prompt;
use crate::process::eventually;
use crate::world::World;

/// Records of the last 2 s may be lost with their instance (section 3.7 of the design).
const LOSS_WINDOW: Duration = Duration::from_secs(4);

/// Guards against decisions that nobody can explain once their instance is gone.
pub async fn outlive_their_instance(world: &mut World, key: &str, low: &str) {
    let lost = world.index("d1-2");
    let base = world.instances[lost].callers.clone();
    let prompt = Prompt::new("explain this", 4, false);
    let served = world.client.complete(&base, key, &prompt).await.unwrap();
    let refused = refusal(world, &base, low).await;
    let ids = [&served, &refused].map(|answer| answer.header("x-request-id"));
    assert!(ids.iter().all(|id| !id.is_empty()), "{served:?} {refused:?}");
    tokio::time::sleep(LOSS_WINDOW).await;
    world.kill(lost);
    for index in [world.live()[0], world.live()[5]] {
        for (id, end) in [(&ids[0], "completed with status 200"), (&ids[1], "outcome not-run")] {
            eventually("a request is explained", async || {
                let answer = world.operate_at(index, &["explain", id]).await?;
                let summary = answer["summary"].as_str().unwrap_or_default();
                summary.contains(end).then_some(()).ok_or_else(|| answer.to_string())
            })
            .await;
        }
        eventually("the refusal is listed", async || {
            let answer = world.operate_at(index, &["refusals", "--account", "low"]).await?;
            let records = answer["records"].as_array().cloned().unwrap_or_default();
            let found = records.iter().find(|record| record["request"] == ids[1].as_str());
            match found.map(|record| &record["decision"]["numbers"]) {
                Some(Value::Array(numbers)) if !numbers.is_empty() => Ok(()),
                _ => Err(format!("{} refusals without {}", records.len(), ids[1])),
            }
        })
        .await;
    }
    world.restart(lost, key).await;
}

/// Sends requests of the account until one is refused by its rate.
async fn refusal(world: &World, base: &str, low: &str) -> Answer {
    eventually("the rate refuses", async || {
        let body = Prompt::new("too many", 1, false).body();
        let url = format!("{base}/v1/chat/completions");
        for _ in 0..40 {
            let answer = world.client.call("POST", &url, low, &body).await?;
            if answer.status == 429 {
                return Ok(answer);
            }
        }
        Err("40 requests were admitted".to_owned())
    })
    .await
}
