//! Memory of a front whose callers read many large results.

use sesamewall_platform_standin::RawTarget;
use sesamewall_platform_standin::Step;
use sesamewall_platform_standin::stream_response;

use crate::fixture::FleetSettings;
use crate::fixture::TestFleet;

/// Memory of the front in MB, and in kB.
const MEMORY_MB: u64 = 110;
const MEMORY_KB: u64 = MEMORY_MB << 10;

/// Jobs, and the items of each: together their results exceed the memory.
const JOBS: usize = 36;
const ITEMS: usize = 24;

/// Events of an item, and the bytes of each.
const EVENTS: usize = 20;
const EVENT_BYTES: usize = 6000;

/// Guards against a front that keeps the results of all jobs that it has read, until it has used up the
/// memory of its machine.
#[tokio::test(flavor = "multi_thread")]
async fn a_front_that_reads_many_large_results_stays_within_its_memory() {
    let settings =
        FleetSettings { fronts: 1, workers: 1, memory_mb: MEMORY_MB, ..FleetSettings::default() };
    let fleet = TestFleet::start_with(settings).await;
    let data = vec!["x".repeat(EVENT_BYTES); EVENTS];
    let target = RawTarget::start(move |_, id| vec![Step::Send(stream_response(id, &data))]).await;
    fleet.replace_all(target.address).await;
    let front = fleet.fronts[0].caller_address();
    for job in 0..JOBS {
        let list: Vec<String> = (0..ITEMS).map(|item| format!("{job}-{item}")).collect();
        let name = format!("job{job}");
        let accepted = fleet.client.submit(front, &name, &list).await;
        assert_eq!(accepted.expect("a response").status, 202);
        let results = fleet.wait_results(0, &name, ITEMS).await;
        let bytes: usize =
            results.iter().map(|row| row["output"].as_str().map_or(0, str::len)).sum();
        assert!(bytes >= ITEMS * EVENTS * EVENT_BYTES, "{name}: {bytes} bytes");
    }
    // Results that are no longer kept are read again.
    let results = fleet.wait_results(0, "job0", ITEMS).await;
    assert!(results.iter().all(|row| row["state"] == "completed"));
    let peak = fleet.fronts[0].peak_memory();
    println!("peak {peak} kB");
    assert!(peak < MEMORY_KB, "{peak} kB");
}
