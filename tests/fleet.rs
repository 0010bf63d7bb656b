//! Runs a fleet of real processes through load, kills, outages and operators' changes.

#![allow(clippy::unwrap_used)]

#[path = "fleet/batch.rs"]
mod batch;
#[path = "fleet/client.rs"]
mod client;
#[path = "fleet/configuration.rs"]
mod configuration;
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
#[path = "fleet/world.rs"]
mod world;

use std::time::Instant;

use world::World;

/// Prints the time of a step, for people only.
fn report(start: Instant, step: &str) {
    println!("{:5.1} s: {step}", start.elapsed().as_secs_f64());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fleet_survives_load_kills_and_changes() {
    let start = Instant::now();
    let mut world = World::start().await;
    let key = world.grant("online", "key-online").await;
    for index in world.live() {
        world.wait_until_serving(index, &key).await;
    }
    report(start, "fleet serves");
    let bulk = world.grant("bulk", "key-bulk").await;
    batch::survives_kills_under_bursts(&mut world, &key, &bulk).await;
    report(start, "batch job complete");
    configuration::withdrawn_key_is_refused_everywhere(&world, &key).await;
    report(start, "key withdrawn");
    configuration::domain_goes_out_and_returns(&world, &key).await;
    report(start, "failure domain out and back");
    outage::store_outage_stops_changes_only(&world, &key).await;
    report(start, "store outage over");
    services::lost_answer_is_reported_unknown(&world, &key).await;
    report(start, "lost answers reported");
    let low = world.grant("low", "key-low").await;
    rates::sum_of_rates_holds(&mut world, &key, &low).await;
    report(start, "sum of rates held");
    records::outlive_their_instance(&mut world, &key, &low).await;
    report(start, "decisions explained");
    shutdown::interrupts_no_stream(&mut world, &key).await;
    report(start, "shutdown complete");
}
