//! Calls of a plain service that must not be repeated.

use serde_json::json;

use crate::process::eventually;
use crate::world::World;

/// Guards against a repeated non-idempotent call and against a refusal that says "not run" of a
/// call that ran.
pub async fn lost_answer_is_reported_unknown(world: &World, key: &str) {
    let faults = format!("{}/standin/faults", world.service);
    for (index, base) in world.callers().into_iter().enumerate() {
        world.set_faults(&faults, json!({ "lose_answers": 1 })).await;
        let path = format!("/ledger/payment-{index}");
        let body = json!({ "amount": index });
        let url = format!("{base}{path}");
        let answer = world.client.call("POST", &url, key, &body).await.unwrap();
        assert!(answer.status >= 500, "{answer:?}");
        assert_eq!(answer.header("x-sesamewall-outcome"), "unknown", "{answer:?}");
        let code = answer.json()["error"]["code"].as_u64();
        assert!(code.is_some(), "the answer has no numbered code: {answer:?}");
        assert_eq!(calls(world, &path).await, Some(1), "calls through {base}");
        world.set_faults(&faults, json!({})).await;
        let repeated = format!("{base}/ledger/after-{index}");
        let answer = eventually("the service answers again", async || {
            let answer = world.client.call("GET", &repeated, key, &json!(null)).await?;
            (answer.status == 200).then_some(()).ok_or(answer.text())
        });
        answer.await;
    }
    for index in 0..world.live().len() {
        assert_eq!(calls(world, &format!("/ledger/payment-{index}")).await, Some(1));
    }
}

async fn calls(world: &World, path: &str) -> Option<u64> {
    // The stand-in's port is closed for a moment after it lost an answer.
    let url = format!("{}/standin/calls", world.service);
    let answer =
        eventually("the service tells its calls", async || world.client.get(&url, "").await);
    answer.await.json()[format!("POST {path}")].as_u64()
}
