//! A graceful shutdown of instances with running streams.

use std::time::Duration;

use futures::future::join_all;

use crate::client::Prompt;
use crate::fixture::TestFleet;
use crate::load::Load;
use crate::process::Process;
use crate::process::eventually;

const STREAMS: usize = 10;
/// Enough tokens for a stream to outlast the drain time of 1 s.
const TOKENS: u64 = 800;

/// Guards against a shutdown that interrupts streams, stays ready or never ends.
pub async fn interrupts_no_stream(fleet: &mut TestFleet, key: &str) {
    let ending = ["d2-1", "d4-2"].map(|name| {
        let index = fleet.index(name);
        (index, fleet.instances[index].process.take().unwrap())
    });
    let load = Load::start(&fleet.client, fleet.callers(), key);
    let fleet = &*fleet;
    join_all(ending.map(|(index, process)| end_with_streams(fleet, index, process, key))).await;
    load.stop("shutdown of two instances").await;
}

async fn end_with_streams(fleet: &TestFleet, index: usize, mut process: Process, key: &str) {
    let instance = &fleet.instances[index];
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (client, base) = (fleet.client.clone(), instance.callers.clone());
            let text = format!("stream {number} of {}", instance.name);
            let (key, prompt) = (key.to_owned(), Prompt::new(&text, TOKENS, true));
            tokio::spawn(async move { client.complete(&base, &key, &prompt).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(streams.iter().all(|stream| !stream.is_finished()), "a stream has ended");
    process.terminate();
    let ready = format!("{}/readyz", instance.operators);
    eventually("readiness goes false", async || {
        let response = fleet.client.get(&ready, "").await?;
        (response.status == 503).then_some(()).ok_or(response.text())
    })
    .await;
    for stream in join_all(streams).await {
        stream.unwrap().unwrap_or_else(|fault| panic!("{}: {fault}", instance.name));
    }
    let status = eventually("the process ends", async || {
        process.exit_status().ok_or_else(|| "it still runs".to_owned())
    })
    .await;
    assert!(status.success(), "{} ended with {status}: {}", instance.name, process.printed());
}
