//! Operators' changes while callers are served.

use std::time::Duration;

use crate::client::Client;
use crate::client::Prompt;
use crate::load::Load;
use crate::process::eventually;
use crate::world::World;

/// Time after which a failure domain that was taken out gets no new work: 3 s by section 1.2 of
/// the design, and time in which requests on their way arrive.
const LAST_WORK: Duration = Duration::from_secs(5);
const INTERVAL: Duration = Duration::from_secs(2);

/// Tells whether an instance refuses a key.
async fn refuses(client: &Client, base: &str, key: &str) -> Result<(), String> {
    let answer = client.get(&format!("{base}/v1/models"), key).await?;
    match answer.status {
        401 => Ok(()),
        status => Err(format!("{base} answered with status {status}")),
    }
}

/// Guards against an instance that goes on taking a withdrawn key.
pub async fn withdrawn_key_is_refused_everywhere(world: &World, key: &str) {
    let gone = world.grant("online", "key-gone").await;
    for index in world.live() {
        world.wait_until_serving(index, &gone).await;
    }
    world.operate(&["keys", "withdraw", "key-gone"]).await.unwrap();
    for base in world.callers() {
        eventually("a withdrawn key is refused", async || {
            refuses(&world.client, &base, &gone).await
        })
        .await;
    }
    for base in world.callers() {
        refuses(&world.client, &base, &gone).await.unwrap();
        let prompt = Prompt::new("another key", 2, false);
        world.client.complete(&base, key, &prompt).await.unwrap();
    }
}

/// Guards against new work for a failure domain that is out, lost requests during the change, and
/// engines that crash since they get too much work while cold.
pub async fn domain_goes_out_and_returns(world: &World, key: &str) {
    let domain = "d4";
    let set = |mode: &str| format!("[[domain]]\nname = {domain:?}\nmode = {mode:?}\n");
    let overloads: u64 = world.engine_counts("cold_overloads").await.iter().sum();
    assert_eq!(overloads, 0, "cold overloads before the change");
    let load = Load::start(&world.client, world.callers(), key);
    world.apply(&set("out")).await.unwrap();
    tokio::time::sleep(LAST_WORK).await;
    let before = world.engine_counts("taken").await;
    tokio::time::sleep(INTERVAL).await;
    let after = world.engine_counts("taken").await;
    for engine in world.engines_of(domain) {
        assert_eq!(before[engine], after[engine], "engine {engine} gets work while out");
    }
    assert!(before.iter().sum::<u64>() < after.iter().sum(), "no engine gets work");
    // The engines of the domain come back cold.
    for engine in world.engines_of(domain) {
        let url = format!("{}/standin/faults", world.engines[engine]);
        world.set_faults(&url, serde_json::json!({ "cold_now": true })).await;
    }
    world.apply(&set("in")).await.unwrap();
    eventually("the failure domain gets work again", async || {
        let now = world.engine_counts("taken").await;
        let engines = world.engines_of(domain);
        let works = engines.iter().all(|engine| now[*engine] > after[*engine]);
        works.then_some(()).ok_or_else(|| format!("taken {now:?}, before {after:?}"))
    })
    .await;
    tokio::time::sleep(INTERVAL).await;
    let count = load.stop("a failure domain goes out and returns").await;
    println!("         {count} online requests, none lost");
    let overloads = world.engine_counts("cold_overloads").await;
    assert_eq!(overloads.iter().sum::<u64>(), 0, "cold overloads {overloads:?}");
}
