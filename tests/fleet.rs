//! Runs a fleet of real processes through load, kills, outages and operators' changes.

#![allow(clippy::unwrap_used)]

#[path = "fleet/batch.rs"]
mod batch;
#[path = "fleet/client.rs"]
mod client;
#[path = "fleet/configuration.rs"]
mod configuration;
#[path = "fleet/fixture.rs"]
mod fixture;
#[path = "fleet/forwarding.rs"]
mod forwarding;
#[path = "fleet/load.rs"]
mod load;
#[path = "fleet/outage.rs"]
mod outage;
#[path = "fleet/process.rs"]
mod process;
#[path = "fleet/rates.rs"]
mod rates;
#[path = "fleet/records.rs"]
mod records;
#[path = "fleet/services.rs"]
mod services;
#[path = "fleet/shutdown.rs"]
mod shutdown;

use std::time::Instant;

use fixture::TestFleet;

/// Prints the time of a step, for people only.
fn report(start: Instant, step: &str) {
    println!("{:5.1} s: {step}", start.elapsed().as_secs_f64());
}

/// Starts a fleet and returns it with a key once all instances serve.
async fn serving_fleet() -> (TestFleet, String) {
    let fleet = TestFleet::start().await;
    let key = fleet.grant("online", "key-online").await;
    for index in fleet.live() {
        fleet.wait_until_serving(index, &key).await;
    }
    (fleet, key)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn batch_work_survives_kills_and_withdrawn_keys() {
    let start = Instant::now();
    let (mut fleet, key) = serving_fleet().await;
    let bulk = fleet.grant("bulk", "key-bulk").await;
    report(start, "fleet for batch work serves");
    forwarding::resumed_stream_repeats_nothing(&fleet).await;
    let job = batch::start_with_kills(&mut fleet, &key, &bulk).await;
    report(start, "online bursts complete over a batch job, two instances killed");
    configuration::withdrawn_key_is_refused_everywhere(&fleet, &key).await;
    report(start, "withdrawn key refused");
    batch::completes_exactly_once(&mut fleet, &key, job).await;
    report(start, "batch job complete, killed instances started again");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn online_work_survives_changes_outage_and_shutdown() {
    let start = Instant::now();
    let (mut fleet, key) = serving_fleet().await;
    let bulk = fleet.grant("bulk", "key-bulk").await;
    report(start, "fleet for online work serves");
    let job = batch::start(&fleet, 0, &bulk).await;
    configuration::domain_goes_out_and_returns(&fleet, &key).await;
    batch::cancel(&fleet, job, &bulk).await;
    report(start, "failure domain out and back under batch work");
    outage::store_outage_stops_changes_only(&fleet, &key).await;
    report(start, "store outage over");
    services::lost_answer_is_reported_unknown(&fleet, &key).await;
    report(start, "lost answers reported");
    let low = fleet.grant("low", "key-low").await;
    let decided = rates::sum_of_rates_holds(&mut fleet, &key, &low).await;
    report(start, "sum of rates held, an instance killed");
    records::outlive_their_instance(&fleet, &decided).await;
    report(start, "decisions explained");
    shutdown::interrupts_no_stream(&mut fleet, &key).await;
    report(start, "shutdown complete");
}
