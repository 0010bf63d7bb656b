//! Soak with targets of two versions, and clients that take streams up again.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use sesamewall_platform_standin::StreamClient;
use sesamewall_platform_standin::StreamResult;
use tokio::task::JoinHandle;

use crate::soak::clients::World;
use crate::soak::play_seeds;
use crate::stream_load::Streams;

/// Versions of the targets, two of each.
const VERSIONS: [&str; 2] = ["v1", "v2"];

const CI_SEEDS: Range<u64> = 1..3;

/// Clients for each front, and the first of the random streams from which they draw.
const READERS: usize = 3;
const FIRST_RANDOM: u64 = 1 << 40;

/// Guards against streams that go on at another version, or nowhere, and against texts of two versions,
/// which only series of overlapping faults show.
#[tokio::test(flavor = "multi_thread")]
async fn streams_keep_their_version_in_overlapping_faults() {
    play_seeds(CI_SEEDS, &VERSIONS).await;
}

/// Clients that read streams until the soak is over. Connections of half of the streams break off at
/// the client.
pub struct StreamReaders {
    tasks: Vec<JoinHandle<Vec<StreamResult>>>,
    versions: &'static [&'static str],
}

impl StreamReaders {
    /// Starts the clients if the targets have versions.
    pub fn start(world: &Arc<World>, versions: &'static [&'static str]) -> Self {
        let count = if versions.is_empty() { 0 } else { READERS * world.fronts.len() };
        let tasks = (0..count).map(|reader| tokio::spawn(read_streams(world.clone(), reader)));
        Self { tasks: tasks.collect(), versions }
    }

    /// Waits for the end of all streams and records the findings. Take-ups count from `calm` on.
    pub async fn stop(self, world: &World, calm: Instant) {
        let mut results = Vec::new();
        for task in self.tasks {
            results.extend(task.await.expect("no panic in a client"));
        }
        if self.versions.is_empty() {
            return;
        }
        let streams = Streams { results };
        println!("  {}", streams.counts(self.versions, calm));
        for finding in streams.findings(self.versions, calm) {
            world.record.find(finding);
        }
    }
}

async fn read_streams(world: Arc<World>, reader: usize) -> Vec<StreamResult> {
    let mut rng = world.rng(FIRST_RANDOM + reader as u64);
    let mut results = Vec::new();
    while world.goes_on() {
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..120))).await;
        let name = format!("{}-{reader}-{}", world.seed, results.len());
        let client = StreamClient {
            fronts: world.fronts.clone(),
            first: rng.random_range(0..world.fronts.len()),
            drop_after: rng.random_bool(0.5).then(|| rng.random_range(1..9)),
            path: format!("/talk/{name}"),
            id: format!("stream-{name}"),
            ..StreamClient::default()
        };
        results.push(client.read().await);
    }
    results
}
