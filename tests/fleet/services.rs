//! Calls of a plain service that must not be repeated.

use serde_json::json;

use crate::fixture::TestFleet;
use crate::process::eventually;

/// Guards against a repeated non-idempotent call, and against a refusal that reports a call as not
/// run although it ran.
pub async fn lost_answer_is_reported_unknown(fleet: &TestFleet, key: &str) {
    let faults = format!("{}/standin/faults", fleet.service);
    for (index, base) in fleet.callers().into_iter().enumerate() {
        fleet.set_faults(&faults, json!({ "lose_answers": 1 })).await;
        let path = format!("/ledger/payment-{index}");
        let body = json!({ "amount": index });
        let url = format!("{base}{path}");
        let response = fleet.client.call("POST", &url, key, &body).await.unwrap();
        assert!(response.status >= 500, "{response:?}");
        assert_eq!(response.header("x-sesamewall-outcome"), "unknown", "{response:?}");
        let code = response.json()["error"]["code"].as_u64();
        assert!(code.is_some(), "the answer has no numbered code: {response:?}");
        assert_eq!(calls(fleet, &path).await, Some(1), "calls through {base}");
        fleet.set_faults(&faults, json!({})).await;
        let repeated = format!("{base}/ledger/after-{index}");
        let response = eventually("the service answers again", async || {
            let response = fleet.client.call("GET", &repeated, key, &json!(null)).await?;
            (response.status == 200).then_some(()).ok_or(response.text())
        });
        response.await;
    }
    for index in 0..fleet.live().len() {
        assert_eq!(calls(fleet, &format!("/ledger/payment-{index}")).await, Some(1));
    }
}

async fn calls(fleet: &TestFleet, path: &str) -> Option<u64> {
    // The stand-in's port is closed for a moment after it dropped a response.
    let url = format!("{}/standin/calls", fleet.service);
    let response =
        eventually("the service tells its calls", async || fleet.client.get(&url, "").await);
    response.await.json()[format!("POST {path}")].as_u64()
}
