//! A graceful shutdown of instances with running streams.

use futures::future::join_all;

use crate::client::Prompt;
use crate::load::Load;
use crate::process::eventually;
use crate::world::World;

const STREAMS: usize = 10;
/// Enough tokens for a stream to outlast the drain time.
const TOKENS: u64 = 1_500;

/// Guards against a shutdown that cuts streams, stays ready or never ends.
pub async fn interrupts_no_stream(world: &mut World, key: &str) {
    for name in ["d1-1", "d4-2"] {
        let index = world.index(name);
        let base = world.instances[index].callers.clone();
        let mut process = world.instances[index].process.take().unwrap();
        let load = Load::start(&world.client, world.callers(), key);
        let streams: Vec<_> = (0..STREAMS)
            .map(|number| {
                let (client, base, key) = (world.client.clone(), base.clone(), key.to_owned());
                let prompt = Prompt::new(&format!("stream {number} of {name}"), TOKENS, true);
                tokio::spawn(async move { client.complete(&base, &key, &prompt).await })
            })
            .collect();
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        assert!(streams.iter().all(|stream| !stream.is_finished()), "a stream has ended");
        process.terminate();
        let ready = format!("{}/readyz", world.instances[index].operators);
        eventually("readiness goes false", async || {
            let answer = world.client.get(&ready, "").await?;
            (answer.status == 503).then_some(()).ok_or(answer.text())
        })
        .await;
        for stream in join_all(streams).await {
            stream.unwrap().unwrap_or_else(|fault| panic!("{name}: {fault}"));
        }
        let status = eventually("the process ends", async || {
            process.ended().ok_or_else(|| "it still runs".to_owned())
        })
        .await;
        assert!(status.success(), "{name} ended with {status}: {}", process.printed());
        load.stop(&format!("shutdown of {name}")).await;
        world.restart(index, key).await;
    }
}
