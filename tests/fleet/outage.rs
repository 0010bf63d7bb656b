//! An outage of the store.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::client::Prompt;
use crate::fixture::TestFleet;
use crate::load::Load;
use crate::process::eventually;

const OUTAGE: Duration = Duration::from_secs(8);

/// Guards against an outage that stops online requests, accepts a change that is lost, or reverts
/// an earlier one.
pub async fn store_outage_stops_changes_only(fleet: &TestFleet, key: &str) {
    fleet.apply(&account(2.0)).await.unwrap();
    for index in fleet.live() {
        wait_for_weight(fleet, index, 2.0).await;
    }
    let load = Load::start(&fleet.client, fleet.callers(), key);
    let faults = format!("{}/faults", fleet.platform);
    fleet.set_faults(&faults, json!({ "outage": true })).await;
    tokio::time::sleep(OUTAGE / 2).await;
    let refusal = fleet.apply(&account(3.0)).await.unwrap_err();
    assert!(has_code(&refusal), "the refusal has no number: {refusal}");
    tokio::time::sleep(OUTAGE / 2).await;
    fleet.set_faults(&faults, json!({ "outage": false })).await;
    for index in fleet.live() {
        assert_eq!(weight(fleet, index).await, Ok(2.0), "a change was lost or reverted");
    }
    eventually("a change is accepted after the outage", async || fleet.apply(&account(4.0)).await)
        .await;
    for index in fleet.live() {
        wait_for_weight(fleet, index, 4.0).await;
    }
    let count = load.stop("an outage of the store").await;
    println!("         {count} online requests, none lost; the change was refused: {refusal:?}");
    for index in fleet.live() {
        assert_eq!(weight(fleet, index).await, Ok(4.0), "a change was reverted");
        let base = &fleet.instances[index].callers;
        let prompt = Prompt::new("after the outage", 2, false);
        fleet.client.complete(base, key, &prompt).await.unwrap();
    }
}

fn account(weight: f64) -> String {
    format!(
        "[[account]]\nname = \"outage\"\nonline = {{ rate = 1.0, burst = 2.0 }}\n\
         weight = {weight:?}\n"
    )
}

async fn weight(fleet: &TestFleet, index: usize) -> Result<f64, String> {
    let response = fleet.operate_at(index, &["get", "account", "outage"]).await?;
    find(&response, "weight").ok_or_else(|| format!("no weight in {response}"))
}

/// Finds a number by its field's name at any depth.
fn find(value: &Value, field: &str) -> Option<f64> {
    match value {
        Value::Object(fields) => fields
            .get(field)
            .and_then(Value::as_f64)
            .or_else(|| fields.values().find_map(|value| find(value, field))),
        Value::Array(entries) => entries.iter().find_map(|value| find(value, field)),
        _ => None,
    }
}

async fn wait_for_weight(fleet: &TestFleet, index: usize, expected: f64) {
    eventually("a change is in force", async || match weight(fleet, index).await? {
        found if found == expected => Ok(()),
        found => Err(format!("weight {found} in place of {expected}")),
    })
    .await;
}

/// Returns whether an error text contains a four-digit code.
fn has_code(text: &str) -> bool {
    let digits = |word: &&str| word.len() == 4 && word.chars().all(|c| c.is_ascii_digit());
    text.split(|c: char| !c.is_ascii_alphanumeric()).any(|word| digits(&word))
}
