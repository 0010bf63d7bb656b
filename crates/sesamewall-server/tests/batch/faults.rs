//! Tests of jobs during faults of workers, the store and disks.

use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sesamewall_server::BatchOptions;

use crate::fleet::Fleet;

const MODEL: &str = "/v1/chat/completions";
/// Path of a plain service whose requests are non-idempotent.
const PLAIN: &str = "/plain/charge";

const NAMES: [&str; 3] = ["i1", "i2", "i3"];

#[derive(Clone, Debug)]
enum Fault {
    /// A process is killed and a new one starts `restart_after` seconds later.
    Kill {
        instance: usize,
        restart_after: u64,
    },
    /// A process makes no progress for this time.
    Pause {
        instance: usize,
        seconds: u64,
    },
    StoreOutage {
        seconds: u64,
    },
    DropReplies {
        count: u32,
    },
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..3_usize, 1..20_u64)
            .prop_map(|(instance, restart_after)| Fault::Kill { instance, restart_after }),
        (0..3_usize, 2..30_u64).prop_map(|(instance, seconds)| Fault::Pause { instance, seconds }),
        (1..20_u64).prop_map(|seconds| Fault::StoreOutage { seconds }),
        (1..6_u32).prop_map(|count| Fault::DropReplies { count }),
    ]
}

async fn inject(fleet: &mut Fleet, fault: &Fault) {
    match *fault {
        Fault::Kill { instance, restart_after } => {
            fleet.kill(NAMES[instance]);
            tokio::time::sleep(Duration::from_secs(restart_after)).await;
            fleet.start(NAMES[instance]);
        }
        Fault::Pause { instance, seconds } => {
            let gate = fleet.gate(NAMES[instance]).unwrap();
            gate.set(false);
            tokio::time::sleep(Duration::from_secs(seconds)).await;
            gate.set(true);
        }
        Fault::StoreOutage { seconds } => {
            fleet.store.set_outage(true);
            tokio::time::sleep(Duration::from_secs(seconds)).await;
            fleet.store.set_outage(false);
        }
        Fault::DropReplies { count } => fleet.store.drop_replies(count),
    }
}

/// Runs a job of 700 items during the faults and returns the violations.
fn run(seed: u64, url: &str, faults: &[(u64, Fault)], lost_disk: Option<usize>) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut fleet = Fleet::new(seed, BatchOptions::default());
        let job = fleet.submit_job("a", url, 700).await;
        for (after, fault) in faults {
            tokio::time::sleep(Duration::from_millis(*after)).await;
            inject(&mut fleet, fault).await;
        }
        if let Some(instance) = lost_disk {
            tokio::time::sleep(Duration::from_secs(12)).await;
            fleet.fakes[NAMES[instance]].erase();
        }
        let ended = fleet.wait_ended("a", &job, 1_800).await;
        fleet.violations(&ended, 700, url == PLAIN).await
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_26),
        ..ProptestConfig::default()
    })]

    /// Guards against lost and duplicate outcomes, and duplicate sends of non-idempotent items.
    #[test]
    fn each_item_has_one_outcome(
        seed in 0..1_000_000_u64,
        once in any::<bool>(),
        faults in prop::collection::vec((0..8_000_u64, fault()), 1..6),
        lost_disk in prop::option::of(0..3_usize),
    ) {
        let url = if once { PLAIN } else { MODEL };
        let violations = run(seed, url, &faults, lost_disk);
        prop_assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }

    /// Guards against a cancelled job that continues, that never ends, or whose counts differ from
    /// its lines.
    #[test]
    fn cancelled_job_ends_under_faults(
        seed in 0..1_000_000_u64,
        once in any::<bool>(),
        faults in prop::collection::vec((0..6_000_u64, fault()), 1..5),
        at in 0..5_usize,
    ) {
        let url = if once { PLAIN } else { MODEL };
        let violations = run_cancelled(seed, url, &faults, at);
        prop_assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

/// Cancels a job of 900 items between faults and returns the violations.
fn run_cancelled(seed: u64, url: &str, faults: &[(u64, Fault)], at: usize) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut fleet = Fleet::new(seed, BatchOptions::default());
        let job = fleet.submit_job("a", url, 900).await;
        for (number, (after, fault)) in faults.iter().enumerate() {
            tokio::time::sleep(Duration::from_millis(*after)).await;
            if number == at % faults.len() {
                let path = format!("/v1/batches/{job}/cancel");
                // The request is refused with 409 if the job has completed before.
                while !matches!(fleet.post("a", &path).await, 200 | 409) {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                }
            }
            inject(&mut fleet, fault).await;
        }
        let ended = fleet.wait_ended("a", &job, 1_800).await;
        let sends = fleet.targets.sends.lock().unwrap().clone();
        tokio::time::sleep(Duration::from_secs(60)).await;
        let mut found = Vec::new();
        if !matches!(ended["status"].as_str(), Some("cancelled" | "completed")) {
            found.push(format!("the job did not end: {ended}"));
        }
        if sends != *fleet.targets.sends.lock().unwrap() {
            found.push("items were sent after the end of the job".to_owned());
        }
        if url == PLAIN && sends.values().any(|sends| *sends > 1) {
            found.push("a non-idempotent item was sent twice".to_owned());
        }
        let counts = &ended["request_counts"];
        let counted = counts["completed"].as_u64().unwrap() + counts["failed"].as_u64().unwrap();
        match fleet.result_lines("a", &ended).await {
            Ok(lines) if lines.len() as u64 == counted => {}
            lines => found.push(format!("{counted} counted, lines {:?}", lines.map(|l| l.len()))),
        }
        found
    })
}

/// Guards against a valid item that fails because many targets crashed while they ran it.
#[tokio::test(start_paused = true)]
async fn item_survives_target_crashes() {
    let fleet = Fleet::new(13, BatchOptions::default());
    fleet.targets.crashes.store(8, Ordering::Relaxed);
    let job = fleet.submit_job("a", MODEL, 4).await;
    let ended = fleet.wait_ended("a", &job, 1_800).await;
    assert_eq!(ended["request_counts"]["completed"], 4, "{ended}");
}

/// Pauses a worker between its last outcome and its commit until a successor has committed.
async fn late_commit(options: BatchOptions) -> Vec<String> {
    let fleet = Fleet::new(11, options);
    fleet.faults.pause_commit.store(true, Ordering::Relaxed);
    // The query for the job may go to the paused instance, so the test queries after the pause.
    let job = fleet.submit_job("a", MODEL, 20).await;
    tokio::time::sleep(Duration::from_secs(90)).await;
    let paused = fleet.faults.paused.lock().unwrap().take().unwrap();
    paused.set(true);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let ended = fleet.wait_ended("a", &job, 600).await;
    fleet.violations(&ended, 20, false).await
}

/// Guards against a worker that overwrites its successor's commit.
#[tokio::test(start_paused = true)]
async fn late_commit_is_refused() {
    assert_eq!(late_commit(BatchOptions::default()).await, Vec::<String>::new());
    let without = BatchOptions { fence_compare: false, ..BatchOptions::default() };
    assert!(!late_commit(without).await.is_empty(), "the test does not detect a missing fence");
}

/// Kills the worker while non-idempotent items run.
async fn killed_worker(options: BatchOptions) -> Vec<String> {
    let mut fleet = Fleet::new(12, options);
    let job = fleet.submit_job("a", PLAIN, 200).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let busy = fleet.busy_instances();
    assert_eq!(busy.len(), 1);
    fleet.kill(&busy[0]);
    tokio::time::sleep(Duration::from_secs(5)).await;
    fleet.start(NAMES[NAMES.iter().position(|name| *name == busy[0]).unwrap()]);
    let ended = fleet.wait_ended("a", &job, 600).await;
    fleet.violations(&ended, 200, true).await
}

/// Guards against a second send of a non-idempotent item by a successor.
#[tokio::test(start_paused = true)]
async fn successor_does_not_resend() {
    assert_eq!(killed_worker(BatchOptions::default()).await, Vec::<String>::new());
    let without = BatchOptions { intent: false, ..BatchOptions::default() };
    assert!(!killed_worker(without).await.is_empty(), "the test does not detect missing intents");
}

/// Pauses a worker past its lease while non-idempotent items run.
async fn paused_worker(options: BatchOptions) -> Vec<String> {
    let fleet = Fleet::new(13, options);
    let job = fleet.submit_job("a", PLAIN, 300).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let gate = fleet.gate(&fleet.busy_instances()[0]).unwrap();
    gate.set(false);
    tokio::time::sleep(Duration::from_secs(20)).await;
    gate.set(true);
    let ended = fleet.wait_ended("a", &job, 600).await;
    let mut violations = fleet.violations(&ended, 300, true).await;
    // Four items were running when the worker was paused. All others were certainly not sent.
    if ended["request_counts"]["failed"].as_u64().unwrap() > 4 {
        violations.push(format!("too many unknown outcomes: {ended}"));
    }
    violations
}

/// Guards against items that a paused worker sends after its successor has recovered the segment.
/// The paused worker cannot append intents to the sealed blob.
#[tokio::test(start_paused = true)]
async fn paused_worker_sends_nothing_after_recovery() {
    assert_eq!(paused_worker(BatchOptions::default()).await, Vec::<String>::new());
    let without = BatchOptions { seal: false, ..BatchOptions::default() };
    assert!(!paused_worker(without).await.is_empty(), "the test does not detect a missing seal");
}

/// Guards against a job that continues after its due time, also when no worker has a free slot.
/// Each of the three workers ends two rounds of four items, after 10 and 20 hours.
#[tokio::test(start_paused = true)]
async fn late_job_expires() {
    let options = BatchOptions { max_segments: 1, ..BatchOptions::default() };
    let fleet = Fleet::new(25, options);
    let hour_ms = 3_600_000;
    fleet.targets.run_ms.store(10 * hour_ms, Ordering::Relaxed);
    let job = fleet.submit_job("a", MODEL, 1_500).await;
    tokio::time::sleep(Duration::from_millis(24 * hour_ms)).await;
    let ended = fleet.wait_ended("a", &job, 60).await;
    assert_eq!(ended["status"], "expired");
    assert_eq!(ended["request_counts"]["completed"], 24);
    assert_eq!(fleet.result_lines("a", &ended).await.unwrap().len(), 24);
}

/// Ends the worker while items of 10 s run, with a drain if `drain`. Returns the violations: a
/// successor that waits until the claim expires, or items with unknown outcome.
async fn ended_worker(url: &str, drain: bool) -> Vec<String> {
    let mut fleet = Fleet::new(30, BatchOptions::default());
    fleet.targets.run_ms.store(10_000, Ordering::Relaxed);
    let job = fleet.submit_job("a", url, 40).await;
    tokio::time::sleep(Duration::from_secs(15)).await;
    let busy = fleet.busy_instances();
    assert_eq!(busy.len(), 1);
    if drain {
        fleet.shut_down(&busy[0]).await;
    }
    fleet.kill(&busy[0]);
    let start = tokio::time::Instant::now();
    while fleet.busy_instances().is_empty() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let mut violations = Vec::new();
    // Workers check the job again every 2 s.
    if start.elapsed() > Duration::from_secs(4) {
        violations.push(format!("the successor waited {:?}", start.elapsed()));
    }
    let ended = fleet.wait_ended("a", &job, 600).await;
    violations.extend(fleet.violations(&ended, 40, url == PLAIN).await);
    if ended["request_counts"]["failed"] != 0 {
        violations.push(format!("items failed: {ended}"));
    }
    violations
}

/// Guards against a shutdown after which segments wait until their claims expire, and which leaves
/// items with unknown outcome.
#[tokio::test(start_paused = true)]
async fn shutdown_releases_segments() {
    for url in [MODEL, PLAIN] {
        assert_eq!(ended_worker(url, true).await, Vec::<String>::new(), "{url}");
        let without = ended_worker(url, false).await;
        assert!(!without.is_empty(), "the test does not detect a missing drain: {url}");
    }
}
