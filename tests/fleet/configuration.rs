//! Operators' changes while callers are served.

use std::time::Duration;

use crate::client::Client;
use crate::client::Prompt;
use crate::fixture::TestFleet;
use crate::load::Load;
use crate::process::eventually;

/// Time after which a failure domain out of service receives no new work: 3 s by section 1.2 of the
/// design, plus time for requests in flight to arrive.
const LAST_WORK: Duration = Duration::from_secs(5);
const INTERVAL: Duration = Duration::from_secs(2);

/// Succeeds if an instance refuses a key, and returns an error otherwise.
async fn refuses(client: &Client, base: &str, key: &str) -> Result<(), String> {
    let response = client.get(&format!("{base}/v1/models"), key).await?;
    match response.status {
        401 => Ok(()),
        status => Err(format!("{base} answered with status {status}")),
    }
}

/// Guards against an instance that continues to accept a withdrawn key.
pub async fn withdrawn_key_is_refused_everywhere(fleet: &TestFleet, key: &str) {
    let withdrawn = fleet.grant("online", "key-gone").await;
    for index in fleet.live() {
        fleet.wait_until_serving(index, &withdrawn).await;
    }
    fleet.operate(&["keys", "withdraw", "key-gone"]).await.unwrap();
    for base in fleet.callers() {
        eventually("a withdrawn key is refused", async || {
            refuses(&fleet.client, &base, &withdrawn).await
        })
        .await;
    }
    for base in fleet.callers() {
        refuses(&fleet.client, &base, &withdrawn).await.unwrap();
        let prompt = Prompt::new("another key", 2, false);
        fleet.client.complete(&base, key, &prompt).await.unwrap();
    }
}

/// Guards against new work for a failure domain out of service, lost requests during the change,
/// and engines that crash because they receive too much work while cold.
pub async fn domain_goes_out_and_returns(fleet: &TestFleet, key: &str) {
    let domain = "d4";
    let set = |mode: &str| format!("[[domain]]\nname = {domain:?}\nmode = {mode:?}\n");
    let overloads: u64 = fleet.engine_counts("cold_overloads").await.iter().sum();
    assert_eq!(overloads, 0, "cold overloads before the change");
    let load = Load::start(&fleet.client, fleet.callers(), key);
    fleet.apply(&set("out")).await.unwrap();
    tokio::time::sleep(LAST_WORK).await;
    let before = fleet.engine_counts("taken").await;
    tokio::time::sleep(INTERVAL).await;
    let after = fleet.engine_counts("taken").await;
    for engine in fleet.engines_of(domain) {
        assert_eq!(before[engine], after[engine], "engine {engine} gets work while out");
    }
    assert!(before.iter().sum::<u64>() < after.iter().sum(), "no engine gets work");
    // The engines of the domain come back cold.
    for engine in fleet.engines_of(domain) {
        let url = format!("{}/standin/faults", fleet.engines[engine]);
        fleet.set_faults(&url, serde_json::json!({ "cold_now": true })).await;
    }
    fleet.apply(&set("in")).await.unwrap();
    eventually("the failure domain gets work again", async || {
        let now = fleet.engine_counts("taken").await;
        let engines = fleet.engines_of(domain);
        let works = engines.iter().all(|engine| now[*engine] > after[*engine]);
        works.then_some(()).ok_or_else(|| format!("taken {now:?}, before {after:?}"))
    })
    .await;
    tokio::time::sleep(INTERVAL).await;
    let count = load.stop("a failure domain goes out and returns").await;
    println!("         {count} online requests, none lost");
    let overloads = fleet.engine_counts("cold_overloads").await;
    assert_eq!(overloads.iter().sum::<u64>(), 0, "cold overloads {overloads:?}");
}
