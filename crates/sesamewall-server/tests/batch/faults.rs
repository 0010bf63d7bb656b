//! Tests of workers, store and disks that fail while a job runs.

use std::sync::atomic::Ordering;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sesamewall_server::BatchOptions;

use crate::fleet::Fleet;

const MODEL: &str = "/v1/chat/completions";
/// A path of a plain service, whose calls may not be repeated.
const PLAIN: &str = "/plain/charge";

const NAMES: [&str; 3] = ["i1", "i2", "i3"];

#[derive(Clone, Debug)]
enum Fault {
    /// A process dies and a new one takes its place.
    Kill {
        who: usize,
        back: u64,
    },
    /// A process stands still.
    Pause {
        who: usize,
        seconds: u64,
    },
    StoreOut {
        seconds: u64,
    },
    LoseAnswers {
        count: u32,
    },
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..3_usize, 1..20_u64).prop_map(|(who, back)| Fault::Kill { who, back }),
        (0..3_usize, 2..30_u64).prop_map(|(who, seconds)| Fault::Pause { who, seconds }),
        (1..20_u64).prop_map(|seconds| Fault::StoreOut { seconds }),
        (1..6_u32).prop_map(|count| Fault::LoseAnswers { count }),
    ]
}

async fn cause(fleet: &mut Fleet, fault: &Fault) {
    match *fault {
        Fault::Kill { who, back } => {
            fleet.kill(NAMES[who]);
            tokio::time::sleep(Duration::from_secs(back)).await;
            fleet.start(NAMES[who]);
        }
        Fault::Pause { who, seconds } => {
            let gate = fleet.gate(NAMES[who]).unwrap();
            gate.set(false);
            tokio::time::sleep(Duration::from_secs(seconds)).await;
            gate.set(true);
        }
        Fault::StoreOut { seconds } => {
            fleet.store.set_outage(true);
            tokio::time::sleep(Duration::from_secs(seconds)).await;
            fleet.store.set_outage(false);
        }
        Fault::LoseAnswers { count } => fleet.store.drop_replies(count),
    }
}

/// Runs a job of 700 items through the faults and returns the breaches.
fn run(seed: u64, url: &str, faults: &[(u64, Fault)], lost_disk: Option<usize>) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut fleet = Fleet::new(seed, BatchOptions::default());
        let job = fleet.job("a", url, 700).await;
        for (after, fault) in faults {
            tokio::time::sleep(Duration::from_millis(*after)).await;
            cause(&mut fleet, fault).await;
        }
        if let Some(who) = lost_disk {
            tokio::time::sleep(Duration::from_secs(12)).await;
            fleet.fakes[NAMES[who]].erase();
        }
        let ended = fleet.wait("a", &job, 1_800).await;
        fleet.breaches(&ended, 700, url == PLAIN).await
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_26),
        ..ProptestConfig::default()
    })]

    /// Guards against lost and doubled outcomes, and doubled sends of non-idempotent items.
    #[test]
    fn each_item_has_one_outcome(
        seed in 0..1_000_000_u64,
        once in any::<bool>(),
        faults in prop::collection::vec((0..8_000_u64, fault()), 1..6),
        lost_disk in prop::option::of(0..3_usize),
    ) {
        let url = if once { PLAIN } else { MODEL };
        let breaches = run(seed, url, &faults, lost_disk);
        prop_assert!(breaches.is_empty(), "seed {seed}: {breaches:?}");
    }

    /// Guards against a cancelled job that goes on, never ends or reports other counts than lines.
    #[test]
    fn cancelled_job_ends_under_faults(
        seed in 0..1_000_000_u64,
        once in any::<bool>(),
        faults in prop::collection::vec((0..6_000_u64, fault()), 1..5),
        at in 0..5_usize,
    ) {
        let url = if once { PLAIN } else { MODEL };
        let breaches = run_cancelled(seed, url, &faults, at);
        prop_assert!(breaches.is_empty(), "seed {seed}: {breaches:?}");
    }
}

/// Cancels a job of 900 items between faults and returns the breaches.
fn run_cancelled(seed: u64, url: &str, faults: &[(u64, Fault)], at: usize) -> Vec<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut fleet = Fleet::new(seed, BatchOptions::default());
        let job = fleet.job("a", url, 900).await;
        for (number, (after, fault)) in faults.iter().enumerate() {
            tokio::time::sleep(Duration::from_millis(*after)).await;
            if number == at % faults.len() {
                let path = format!("/v1/batches/{job}/cancel");
                // A job that has completed before refuses with 409.
                while !matches!(fleet.post("a", &path).await, 200 | 409) {
                    tokio::time::sleep(Duration::from_secs(1)).await;
                }
            }
            cause(&mut fleet, fault).await;
        }
        let ended = fleet.wait("a", &job, 1_800).await;
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
        match fleet.lines("a", &ended).await {
            Ok(lines) if lines.len() as u64 == counted => {}
            lines => found.push(format!("{counted} counted, lines {:?}", lines.map(|l| l.len()))),
        }
        found
    })
}

/// Guards against a sound item that is given up because many targets crashed while they ran it.
#[tokio::test(start_paused = true)]
async fn an_item_outlives_crashes_of_its_targets() {
    let fleet = Fleet::new(13, BatchOptions::default());
    fleet.targets.crashes.store(8, Ordering::Relaxed);
    let job = fleet.job("a", MODEL, 4).await;
    let ended = fleet.wait("a", &job, 1_800).await;
    assert_eq!(ended["request_counts"]["completed"], 4, "{ended}");
}

/// Pauses a worker between its last outcome and its commit until a successor has committed.
async fn late_commit(options: BatchOptions) -> Vec<String> {
    let fleet = Fleet::new(11, options);
    fleet.faults.pause_commit.store(true, Ordering::Relaxed);
    // The job is queried at instances that may be the paused one, so the wait comes afterwards.
    let job = fleet.job("a", MODEL, 20).await;
    tokio::time::sleep(Duration::from_secs(90)).await;
    let paused = fleet.faults.paused.lock().unwrap().take().unwrap();
    paused.set(true);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let ended = fleet.wait("a", &job, 600).await;
    fleet.breaches(&ended, 20, false).await
}

/// Guards against a worker that commits over its successor.
#[tokio::test(start_paused = true)]
async fn late_commit_is_refused() {
    assert_eq!(late_commit(BatchOptions::default()).await, Vec::<String>::new());
    let without = BatchOptions { fence_compare: false, ..BatchOptions::default() };
    assert!(!late_commit(without).await.is_empty(), "the check does not notice a missing fence");
}

/// Kills the worker while non-idempotent items run.
async fn killed_worker(options: BatchOptions) -> Vec<String> {
    let mut fleet = Fleet::new(12, options);
    let job = fleet.job("a", PLAIN, 200).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let busy = fleet.busy();
    assert_eq!(busy.len(), 1);
    fleet.kill(&busy[0]);
    tokio::time::sleep(Duration::from_secs(5)).await;
    fleet.start(NAMES[NAMES.iter().position(|name| *name == busy[0]).unwrap()]);
    let ended = fleet.wait("a", &job, 600).await;
    fleet.breaches(&ended, 200, true).await
}

/// Guards against a second send of a non-idempotent item by a successor.
#[tokio::test(start_paused = true)]
async fn successor_does_not_resend() {
    assert_eq!(killed_worker(BatchOptions::default()).await, Vec::<String>::new());
    let without = BatchOptions { intent: false, ..BatchOptions::default() };
    assert!(!killed_worker(without).await.is_empty(), "the check does not notice missing intents");
}

/// Pauses a worker past its lease while non-idempotent items run.
async fn paused_worker(options: BatchOptions) -> Vec<String> {
    let fleet = Fleet::new(13, options);
    let job = fleet.job("a", PLAIN, 300).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let gate = fleet.gate(&fleet.busy()[0]).unwrap();
    gate.set(false);
    tokio::time::sleep(Duration::from_secs(20)).await;
    gate.set(true);
    let ended = fleet.wait("a", &job, 600).await;
    let mut breaches = fleet.breaches(&ended, 300, true).await;
    // Four items ran when the worker was paused; all others are known not to have been sent.
    if ended["request_counts"]["failed"].as_u64().unwrap() > 4 {
        breaches.push(format!("too many unknown outcomes: {ended}"));
    }
    breaches
}

/// Guards against items that a paused worker sends after its successor recovered the segment: the
/// intents of the paused worker no longer reach the sealed blob.
#[tokio::test(start_paused = true)]
async fn paused_worker_sends_nothing_late() {
    assert_eq!(paused_worker(BatchOptions::default()).await, Vec::<String>::new());
    let without = BatchOptions { seal: false, ..BatchOptions::default() };
    assert!(!paused_worker(without).await.is_empty(), "the check does not notice a missing seal");
}

/// Guards against a job that runs on after its due time, also where every worker is full. Each of
/// the three workers ends two rounds of four items, after 10 and 20 hours.
#[tokio::test(start_paused = true)]
async fn late_job_expires() {
    let options = BatchOptions { segments_at_once: 1, ..BatchOptions::default() };
    let fleet = Fleet::new(25, options);
    let hour_ms = 3_600_000;
    fleet.targets.run_ms.store(10 * hour_ms, Ordering::Relaxed);
    let job = fleet.job("a", MODEL, 1_500).await;
    tokio::time::sleep(Duration::from_millis(24 * hour_ms)).await;
    let ended = fleet.wait("a", &job, 60).await;
    assert_eq!(ended["status"], "expired");
    assert_eq!(ended["request_counts"]["completed"], 24);
    assert_eq!(fleet.lines("a", &ended).await.unwrap().len(), 24);
}

/// Ends the worker while items of 10 s run, and returns the breaches: a successor that waits for
/// the claim to lapse, or items whose outcome is not known.
async fn ended_worker(url: &str, in_order: bool) -> Vec<String> {
    let mut fleet = Fleet::new(30, BatchOptions::default());
    fleet.targets.run_ms.store(10_000, Ordering::Relaxed);
    let job = fleet.job("a", url, 40).await;
    tokio::time::sleep(Duration::from_secs(15)).await;
    let busy = fleet.busy();
    assert_eq!(busy.len(), 1);
    if in_order {
        fleet.shut_down(&busy[0]).await;
    }
    fleet.kill(&busy[0]);
    let start = tokio::time::Instant::now();
    while fleet.busy().is_empty() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let mut breaches = Vec::new();
    // Workers look again every 2 s.
    if start.elapsed() > Duration::from_secs(4) {
        breaches.push(format!("the successor waited {:?}", start.elapsed()));
    }
    let ended = fleet.wait("a", &job, 600).await;
    breaches.extend(fleet.breaches(&ended, 40, url == PLAIN).await);
    if ended["request_counts"]["failed"] != 0 {
        breaches.push(format!("items failed: {ended}"));
    }
    breaches
}

/// Guards against a shutdown after which segments wait for their claim to lapse, and which leaves
/// items with unknown outcome.
#[tokio::test(start_paused = true)]
async fn shutdown_hands_segments_back() {
    for url in [MODEL, PLAIN] {
        assert_eq!(ended_worker(url, true).await, Vec::<String>::new(), "{url}");
        let without = ended_worker(url, false).await;
        assert!(!without.is_empty(), "the check does not notice a missing drain: {url}");
    }
}
