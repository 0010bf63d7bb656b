//! Prompts with a part that crashes each target that begins to respond to them.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use sesamewall_platform_standin::StandinClient;
use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::target_entry;
use sesamewall_platform_standin::with_slots;

use crate::batch::assert_completed;
use crate::batch::items;
use crate::fixture::PROPAGATION_TIME;
use crate::fixture::TestFleet;
use crate::fixture::wait_until;

/// Crashes after which the part has to be recognised, and the time that this may take.
const CRASHES: usize = 5;
const RECOGNITION_TIME: Duration = Duration::from_millis(3000);

/// Requests with the part that may reach targets afterwards.
const MAX_LATE: usize = 3;

/// Interval between two rounds of requests, and the number of rounds.
const ROUND: Duration = Duration::from_millis(100);
const ROUNDS: usize = 100;

/// Sound requests in each round.
const SOUND_PER_ROUND: usize = 3;

/// Rounds from which on sound requests have to be served: twice the recognition time after the
/// latest possible fifth crash.
const CALM_ROUND: usize = 80;

/// Most requests that crash targets until their part is refused.
const MAX_DEADLY: usize = 20;

/// Starts further targets. All of them crash on a prompt with the part `dead`.
async fn start_targets(fleet: &TestFleet) -> Vec<StandinTarget> {
    let mut targets: Vec<StandinTarget> = fleet.targets.clone();
    for n in 3..9 {
        targets.push(StandinTarget::start(&format!("t{n}")).await);
    }
    for target in &targets {
        target.crash_on(Some("dead"));
        register(fleet, target);
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    targets
}

/// Writes the entry of the present start of a target.
fn register(fleet: &TestFleet, target: &StandinTarget) {
    let domain = if target.name.ends_with(['1', '3', '5', '7']) { "a" } else { "b" };
    let mut entry = with_slots(target_entry(target.address, domain, false), 16);
    entry["born"] = (target.crashes() + 1).into();
    fleet.store.put(&format!("servers/{}", target.name), &entry);
}

/// Writes a new entry for each target that has crashed, and calls `on_crash`. Never returns.
async fn register_restarts(fleet: &TestFleet, targets: &[StandinTarget], on_crash: impl Fn()) {
    let mut crashes = vec![0; targets.len()];
    loop {
        for (known, target) in crashes.iter_mut().zip(targets) {
            while *known < target.crashes() {
                *known += 1;
                on_crash();
                register(fleet, target);
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against requests of one kind that crash one target after the other, and against sound
/// requests that are refused because they share parts with them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_part_that_crashes_targets_stop_after_a_few_crashes() {
    let fleet = TestFleet::start(2, 0).await;
    let targets = start_targets(&fleet).await;
    let crash_times = Mutex::new(Vec::new());
    let restarts = register_restarts(&fleet, &targets, || {
        crash_times.lock().expect("no panic").push(Instant::now());
    });
    let send = async |n: usize, prompt: String, id: String| {
        let client = fleet.client.with_prompt(prompt);
        let body = Bytes::from(id.clone());
        let front = fleet.fronts[n % 2].caller_address();
        let path = format!("/talk/{id}");
        let response = client.send(front, Method::POST, &path, &id, "key-1", body).await;
        response.is_some_and(|response| response.text() == Some(StandinTarget::text(&path)))
    };
    let rounds = (0..ROUNDS).map(|round| {
        let send = &send;
        async move {
            tokio::time::sleep(ROUND * round as u32).await;
            let deadly = async {
                if round % 4 == 0 {
                    let prompt = format!(
                        "first:100,dead:50,topic{}:20,d{round}:10",
                        round % SOUND_PER_ROUND
                    );
                    send(round / 4, prompt, format!("deadly-{round}")).await;
                }
            };
            let sound = (0..SOUND_PER_ROUND).map(|n| {
                let prompt = format!("first:100,topic{n}:20,s{round}-{n}:10");
                send(round + n, prompt, format!("sound-{round}-{n}"))
            });
            let (served, ()) = tokio::join!(futures::future::join_all(sound), deadly);
            served.into_iter().filter(|served| *served).count()
        }
    });
    let served = tokio::select! {
        served = futures::future::join_all(rounds) => served,
        () = restarts => unreachable!("targets may crash until the end"),
    };
    let crash_times = crash_times.into_inner().expect("no panic");
    let limit = crash_times.get(CRASHES - 1).map(|fifth| *fifth + RECOGNITION_TIME);
    let is_deadly = |parts: &str| parts.contains("dead:");
    let late = targets.iter().flat_map(StandinTarget::requests).filter(|request| {
        is_deadly(request.header("sesamewall-prompt-prefix"))
            && limit.is_some_and(|limit| request.received_at > limit)
    });
    let late = late.count();
    let calm: usize = served[CALM_ROUND..].iter().sum();
    let calm_sent = SOUND_PER_ROUND * (ROUNDS - CALM_ROUND);
    println!("{} crashes, {late} late, {calm} of {calm_sent} sound ones", crash_times.len());
    assert!(late <= MAX_LATE, "{late} requests with the part after it had to be known");
    assert!(calm * 10 >= calm_sent * 9, "{calm} of {calm_sent} sound requests served at the end");
}

/// Guards against batch items that are held without an end because other requests with the same
/// part crashed targets, while nothing else can show that the part is sound.
#[tokio::test(flavor = "multi_thread")]
async fn sound_items_run_although_requests_with_their_part_crashed_targets() {
    let fleet = TestFleet::start(2, 2).await;
    let targets = start_targets(&fleet).await;
    // The last part is a request's own, and the cause of the crashes.
    let deadly = fleet.client.with_prompt("shared:100,dead:10");
    let sound = fleet.client.with_prompt("shared:100,sound:10");
    let send = async |client: &StandinClient, n: usize, id: String| {
        let path = format!("/talk/{id}");
        let front = fleet.fronts[n % 2].caller_address();
        client.send(front, Method::POST, &path, &id, "key-1", Bytes::from(id.clone())).await
    };
    let others = async {
        for n in 0.. {
            let _ = send(&fleet.client, n, format!("other-{n}")).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let part_is_refused = async |n: usize| {
        let response = send(&deadly, n, format!("deadly-{n}")).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        response.is_some_and(|response| response.status == 503)
    };
    let play = async {
        let mut deadly_sent = 0;
        while !part_is_refused(deadly_sent).await {
            deadly_sent += 1;
            assert!(deadly_sent < MAX_DEADLY, "the part is not recognised");
        }
        let client = &sound;
        let front = fleet.fronts[1].caller_address();
        let accepted = client.submit_prompts(front, "job1", &items(10)).await;
        assert_eq!(accepted.expect("a response").status, 202);
        assert_completed(&fleet.wait_results(0, "job1", 10).await, 10);
        let is_served = || async {
            let response = send(&sound, 0, "sound".to_owned()).await;
            response.is_some_and(|response| response.status == 200)
        };
        assert!(wait_until(is_served).await, "the first event of an item clears the part");
    };
    tokio::select! {
        () = play => {}
        () = others => unreachable!("other requests are sent until the end"),
        () = register_restarts(&fleet, &targets, || ()) => unreachable!("targets may crash"),
    }
}
