//! The rate of one account over all instances.

use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;

use crate::client::Client;
use crate::client::Prompt;
use crate::fixture::TestFleet;
use crate::process::eventually;
use crate::records;
use crate::records::Decided;

/// Rate and burst of the account `low`.
const RATE: f64 = 8.0;
const BURST: f64 = 16.0;
/// Time before the kill; records of the last 2 s may be lost (section 3.7 of the design).
const BEFORE: Duration = Duration::from_secs(4);
const TOTAL: Duration = Duration::from_secs(6);

/// Guards against instances that together admit more than the account's rate and burst when load is
/// uneven and an instance with granted tokens is lost. Returns requests that the lost instance
/// decided.
pub async fn sum_of_rates_holds(fleet: &mut TestFleet, key: &str, low: &str) -> Decided {
    for index in fleet.live() {
        eventually("the key is in force", async || {
            let base = &fleet.instances[index].callers;
            let response = fleet.client.get(&format!("{base}/v1/models"), low).await?;
            (response.status == 200).then_some(()).ok_or(response.text())
        })
        .await;
    }
    let start = Instant::now();
    let client = fleet.client.clone();
    let lost = fleet.index("d3-2");
    let base = fleet.instances[lost].callers.clone();
    let decided = records::decide(&client, &base, key, low).await;
    let mut admitted = decided.admitted;
    admitted += send_load(&client, &fleet.callers(), low, start, BEFORE).await;
    fleet.kill(lost);
    admitted += send_load(&client, &fleet.callers(), low, start, TOTAL).await;
    let limit = BURST + RATE * start.elapsed().as_secs_f64();
    println!("         {admitted} requests admitted, the bound is {limit:.1}");
    assert!(admitted > 0, "no request was admitted");
    assert!(admitted as f64 <= limit, "{admitted} requests admitted, the bound is {limit:.1}");
    decided
}

/// Sends requests until `end` after `start`, most of them through the first instances, and returns
/// how many were admitted.
async fn send_load(
    client: &Client,
    bases: &[String],
    key: &str,
    start: Instant,
    end: Duration,
) -> usize {
    let senders = bases.iter().enumerate().flat_map(|(index, base)| {
        let count = if index < 2 { 4 } else { 1 };
        (0..count).map(move |sender| (index, base, sender))
    });
    let counts = join_all(senders.map(|(index, base, sender)| async move {
        let mut admitted = 0;
        while start.elapsed() < end {
            let prompt = Prompt::new(&format!("rate {index} {sender} {admitted}"), 2, false);
            match client.complete(base, key, &prompt).await {
                Ok(_) => admitted += 1,
                Err(fault) => assert!(fault.starts_with("status 429"), "{base}: {fault}"),
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        admitted
    }))
    .await;
    counts.into_iter().sum()
}
