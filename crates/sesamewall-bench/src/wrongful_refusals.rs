//! Wrongful refusals of the escrow against a fixed share for each instance.

use std::ops::Range;
use std::thread::ScopedJoinHandle;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use sesamewall_protocol::RateLimit;
use sesamewall_protocol::Time;
use sesamewall_protocol::seconds;
use sesamewall_rate::Bucket;
use sesamewall_rate::HolderSettings;
use sesamewall_rate::Limits;
use sesamewall_rate::TOKENS_PER_REQUEST;

use crate::rate_simulation::DisabledMechanism;
use crate::rate_simulation::History;
use crate::rate_simulation::Network;
use crate::rate_simulation::RequestFate;
use crate::rate_simulation::Simulation;
use crate::rate_simulation::Step;
use crate::rate_simulation::Violation;
use crate::rate_simulation::simulate;
use crate::rate_simulation::violations;

const RATES: [u64; 8] = [200, 100, 40, 20, 20, 10, 10, 40];
const THREADS: usize = 4;
const GREEDY: usize = 7;
const WARM_UP: Time = Time::from_millis(20_000);
const LOSS: Time = Time::from_millis(70_000);
const END: Time = Time::from_millis(140_000);

/// One measured case.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Deployment A or B.
    pub deployment: &'static str,
    /// Traffic pattern.
    pub traffic: &'static str,
    /// `escrow` or `fixed share`.
    pub policy: &'static str,
    /// Requests within rate and burst.
    pub within_rate: u64,
    /// Refused requests among those within rate and burst.
    pub wrongful: u64,
    /// Wrongful refusals divided by requests within rate.
    pub share: f64,
    /// Fraction of wrongful refusals among requests of the ten seconds after the loss, for cases
    /// with a loss.
    pub share_after_loss: Option<f64>,
    /// Admissions above rate and burst, over all accounts.
    pub breaches: u64,
    /// Token requests sent per request of all accounts.
    pub asks_per_request: f64,
    /// Mean wait of admitted requests within rate in milliseconds.
    pub mean_wait_ms: f64,
}

/// Violations found over random faults.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Invariants {
    /// Seeds run.
    pub seeds: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Admissions above rate and burst.
    pub breaches: u64,
    /// Moments at which a floor was in force twice.
    pub floor_breaches: u64,
    /// Seeds with a violation.
    pub failed: Vec<u64>,
}

#[derive(Clone, Copy)]
struct Deployment {
    name: &'static str,
    domains: usize,
    instances: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum Traffic {
    Even,
    Uneven,
    Moving,
    Idle,
    InstanceLost,
    LeadLost,
    DomainLost,
}

impl Traffic {
    const ALL: [Self; 7] = [
        Self::Even,
        Self::Uneven,
        Self::Moving,
        Self::Idle,
        Self::InstanceLost,
        Self::LeadLost,
        Self::DomainLost,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Even => "even",
            Self::Uneven => "uneven",
            Self::Moving => "moving suddenly",
            Self::Idle => "idle and return",
            Self::InstanceLost => "instance lost",
            Self::LeadLost => "domain lead lost",
            Self::DomainLost => "failure domain lost",
        }
    }

    /// Returns the instances that are lost.
    fn lost(self, deployment: Deployment) -> Vec<usize> {
        let Deployment { domains, instances, .. } = deployment;
        match self {
            Self::InstanceLost => vec![domains],
            Self::LeadLost => vec![0],
            Self::DomainLost => (0..instances).filter(|i| i % domains == 0).collect(),
            _ => Vec::new(),
        }
    }
}

/// Measures all cases with the traffic of `seed`: deployment A with 4 failure domains of 2
/// instances, deployment B with 3 failure domains and 7 instances in all.
pub fn run(seed: u64) -> Vec<Row> {
    run_cases(&Traffic::ALL, seed)
}

/// Measures the loss of a domain lead only.
pub fn run_small(seed: u64) -> Vec<Row> {
    run_cases(&[Traffic::LeadLost], seed)
}

fn run_cases(cases: &[Traffic], seed: u64) -> Vec<Row> {
    let deployments = [
        Deployment { name: "A", domains: 4, instances: 8 },
        Deployment { name: "B", domains: 3, instances: 7 },
    ];
    let mut rows = Vec::new();
    for deployment in deployments {
        for traffic in cases.iter().copied() {
            let steps = schedule(deployment, traffic, seed);
            let escrow = simulate(simulation(deployment, seed), steps.clone(), END);
            rows.push(row(deployment, traffic, "escrow", &escrow));
            let fixed = fixed_share(deployment, &steps);
            rows.push(row(deployment, traffic, "fixed share", &fixed));
        }
    }
    rows
}

fn limits() -> Vec<Limits> {
    let limit = |rate: &u64| RateLimit { rate: *rate as f64, burst: (*rate).max(20) as f64 };
    RATES.iter().map(|rate| Limits::new(limit(rate), 1)).collect()
}

fn simulation(deployment: Deployment, seed: u64) -> Simulation {
    Simulation {
        domains: deployment.domains,
        instances: deployment.instances,
        limits: limits(),
        holder: HolderSettings::default(),
        network: Network::default(),
        latency: Duration::from_millis(1),
        disabled: DisabledMechanism::None,
        seed,
    }
}

/// Returns requests and losses. A reference bucket with the account's whole rate and burst drops
/// the requests of measured accounts that are not within rate.
fn schedule(deployment: Deployment, traffic: Traffic, seed: u64) -> Vec<(Time, Step)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = Vec::new();
    for (account, limits) in limits().iter().enumerate() {
        let mut bucket = Bucket::new(limits.rate, limits.burst, WARM_UP);
        for at in arrivals(account, limits, traffic, &mut rng) {
            bucket.refill(at, limits.burst);
            if account != GREEDY && bucket.level() < TOKENS_PER_REQUEST {
                continue;
            }
            bucket.take(TOKENS_PER_REQUEST);
            let instance = choose_instance(deployment, traffic, account, at, &mut rng);
            steps.push((at, Step::Request { account, instance }));
        }
    }
    for i in traffic.lost(deployment) {
        steps.push((LOSS, Step::Kill(i)));
        steps.push((LOSS + Duration::from_secs(30), Step::Start(i)));
    }
    steps.sort_by_key(|step| step.0);
    steps
}

/// Returns Poisson arrivals at 0.6 of the rate (5 times the rate for the greedy account), with
/// bursts of half the burst every ten seconds on average. In idle traffic, a whole burst and then
/// 0.9 of the rate for five seconds follow on ten idle seconds.
fn arrivals(account: usize, limits: &Limits, traffic: Traffic, rng: &mut ChaCha8Rng) -> Vec<Time> {
    let rate = limits.rate as f64 / 1e6;
    let burst = limits.burst / TOKENS_PER_REQUEST;
    let idle = traffic == Traffic::Idle && account != GREEDY;
    let factor = match () {
        () if account == GREEDY => 5.0,
        () if idle => 0.9,
        () => 0.6,
    };
    let mut times = Vec::new();
    let mut at = WARM_UP;
    while at < END - Duration::from_secs(1) {
        let wait = -(1.0 - rng.random::<f64>()).ln() / (rate * factor);
        at = at + seconds(wait);
        let phase = at.as_micros() % 15_000_000;
        if idle && phase >= 5_000_000 {
            at = at + Duration::from_micros(15_000_000 - phase);
            times.extend((0..burst).map(|i| at + Duration::from_micros(i * 100)));
            continue;
        }
        times.push(at);
        if !idle && account != GREEDY && rng.random_bool((wait / 10.0).min(1.0)) {
            times.extend((0..burst / 2).map(|i| at + Duration::from_micros(i * 100)));
        }
    }
    times.sort_unstable();
    times
}

fn choose_instance(
    deployment: Deployment,
    traffic: Traffic,
    account: usize,
    at: Time,
    rng: &mut ChaCha8Rng,
) -> usize {
    let count = deployment.instances;
    match traffic {
        Traffic::Uneven => account % count,
        Traffic::Moving => (account + 3 * (at.as_micros() / 10_000_000) as usize) % count,
        _ => rng.random_range(0..count),
    }
}

/// Runs the baseline: each instance has an equal fraction of rate and burst. The requests of a lost
/// instance go to the next one.
fn fixed_share(deployment: Deployment, steps: &[(Time, Step)]) -> History {
    let count = deployment.instances;
    let limits = limits();
    let part = |limits: &Limits| (limits.rate / count as u64, limits.burst / count as u64);
    let bucket = |limits: &Limits| Bucket::new(part(limits).0, part(limits).1, Time::ZERO);
    let fresh: Vec<Vec<_>> = (0..count).map(|_| limits.iter().map(bucket).collect()).collect();
    let (mut buckets, mut alive) = (fresh, vec![true; count]);
    let mut history = History { token_requests: vec![0; limits.len()], ..History::default() };
    for (at, step) in steps {
        match *step {
            Step::Request { account, instance } => {
                let mut order = (instance..instance + count).map(|i| i % count);
                let Some(i) = order.find(|i| alive[*i]) else { continue };
                let bucket: &mut Bucket = &mut buckets[i][account];
                bucket.refill(*at, part(&limits[account]).1);
                let admitted = bucket.level() >= TOKENS_PER_REQUEST
                    && bucket.take(TOKENS_PER_REQUEST) == TOKENS_PER_REQUEST;
                let fate = if admitted {
                    RequestFate::Admitted(*at, Duration::ZERO)
                } else {
                    RequestFate::Refused
                };
                history.requests.push((*at, account, fate));
            }
            Step::Kill(i) => alive[i] = false,
            Step::Start(i) => {
                alive[i] = true;
                let empty = |limits: &Limits| Bucket::new(part(limits).0, 0, *at);
                buckets[i] = limits.iter().map(empty).collect();
            }
            _ => {}
        }
    }
    history
}

fn row(deployment: Deployment, traffic: Traffic, policy: &'static str, history: &History) -> Row {
    let within = || history.requests.iter().filter(|request| request.1 != GREEDY);
    let wrongful = within().filter(|request| request.2 == RequestFate::Refused).count() as u64;
    let in_loss_window = |at: Time| at >= LOSS && at < LOSS + Duration::from_secs(10);
    let loss_window = || within().filter(|request| in_loss_window(request.0));
    let refused_in_window =
        loss_window().filter(|request| request.2 == RequestFate::Refused).count();
    let has_loss = !traffic.lost(deployment).is_empty();
    let waits: Vec<f64> = within().filter_map(wait_ms).collect();
    let requests = history.requests.len().max(1) as f64;
    let count = within().count() as u64;
    Row {
        deployment: deployment.name,
        traffic: traffic.name(),
        policy,
        within_rate: count,
        wrongful,
        share: wrongful as f64 / count.max(1) as f64,
        share_after_loss: has_loss
            .then(|| refused_in_window as f64 / loss_window().count().max(1) as f64),
        breaches: violations(history, &limits(), deployment.instances).len() as u64,
        asks_per_request: history.token_requests.iter().sum::<u64>() as f64 / requests,
        mean_wait_ms: waits.iter().sum::<f64>() / waits.len().max(1) as f64,
    }
}

fn wait_ms(request: &(Time, usize, RequestFate)) -> Option<f64> {
    match request.2 {
        RequestFate::Admitted(_, wait) => Some(wait.as_secs_f64() * 1000.0),
        _ => None,
    }
}

/// Counts violations over random faults. The seeds are divided among threads, which does not affect
/// the result.
pub fn invariants(seeds: Range<u64>) -> Invariants {
    let part = |first: usize| seeds.clone().skip(first).step_by(THREADS);
    let sums: Vec<_> = std::thread::scope(|scope| {
        let run = |first| {
            let seeds = part(first);
            scope.spawn(move || count_violations(seeds))
        };
        let threads: Vec<_> = (0..THREADS).map(run).collect();
        let join = |thread: ScopedJoinHandle<'_, Invariants>| {
            thread.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        };
        threads.into_iter().map(join).collect()
    });
    let mut sum = Invariants::default();
    for part in sums {
        sum.seeds += part.seeds;
        sum.admitted += part.admitted;
        sum.breaches += part.breaches;
        sum.floor_breaches += part.floor_breaches;
        sum.failed.extend(part.failed);
    }
    sum.failed.sort_unstable();
    sum
}

fn count_violations(seeds: impl Iterator<Item = u64>) -> Invariants {
    let mut sum = Invariants::default();
    for seed in seeds {
        let (history, found) = random_faults(seed, DisabledMechanism::None);
        let admitted =
            |request: &&(Time, usize, RequestFate)| matches!(request.2, RequestFate::Admitted(..));
        sum.seeds += 1;
        sum.admitted += history.requests.iter().filter(admitted).count() as u64;
        sum.breaches += found.len() as u64;
        sum.floor_breaches += history.floor_violations.len() as u64;
        if !found.is_empty() || !history.floor_violations.is_empty() {
            sum.failed.push(seed);
        }
    }
    sum
}

/// Runs 3 failure domains with 2 instances each under the random faults of `seed`, and returns the
/// history with its violations.
pub fn random_faults(seed: u64, disabled: DisabledMechanism) -> (History, Vec<Violation>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (domains, instances, end) = (3, 6, Time::from_millis(40_000));
    let limit = |rate, burst| Limits::new(RateLimit { rate, burst }, 1);
    let limits = vec![limit(20.0, 30.0), limit(4.0, 12.0)];
    let mut steps = requests(&limits, instances, end, &mut rng);
    let mut at = Time::from_millis(6_000);
    while at < end {
        at = at + Duration::from_millis(rng.random_range(500..5000));
        add_fault(at, &limits, instances, &mut rng, &mut steps);
    }
    steps.sort_by_key(|step| step.0);
    let mut simulation = simulation(Deployment { name: "faults", domains, instances }, seed);
    simulation.limits.clone_from(&limits);
    simulation.network = Network {
        dropped: rng.random_range(0..100),
        duplicated: rng.random_range(0..100),
        delayed: rng.random_range(0..200),
        max_delay: Duration::from_millis(rng.random_range(1..4000)),
    };
    // With half of the seeds, holders keep many tokens for long, so that faults affect more tokens.
    if rng.random_bool(0.5) {
        simulation.holder.idle_timeout = Duration::from_secs(60);
        simulation.holder.prefetch_divisor = 1;
        simulation.holder.request_timeout = Duration::from_secs(2);
    }
    simulation.disabled = disabled;
    let history = simulate(simulation, steps, end);
    let found = violations(&history, &limits, instances);
    (history, found)
}

/// Returns requests in phases without arrivals, at half the rate and at five times the rate.
fn requests(
    limits: &[Limits],
    instances: usize,
    end: Time,
    rng: &mut ChaCha8Rng,
) -> Vec<(Time, Step)> {
    let mut steps = Vec::new();
    for (account, limits) in limits.iter().enumerate() {
        let rate = limits.rate as f64 / 1e6;
        let mut at = Time::from_millis(3_000);
        while at < end {
            let until = at + Duration::from_millis(rng.random_range(500..4000));
            let factor = [0.0, 0.5, 5.0][rng.random_range(0..3)];
            while factor > 0.0 && at < until {
                at = at + seconds(rng.random::<f64>() * 2.0 / (rate * factor));
                let instance = rng.random_range(0..instances);
                steps.push((at, Step::Request { account, instance }));
            }
            at = until;
        }
    }
    steps
}

fn add_fault(
    at: Time,
    limits: &[Limits],
    instances: usize,
    rng: &mut ChaCha8Rng,
    steps: &mut Vec<(Time, Step)>,
) {
    let i = rng.random_range(0..instances);
    let later = at + Duration::from_millis(rng.random_range(500..9000));
    match rng.random_range(0..7) {
        0 | 1 => steps.extend([(at, Step::Kill(i)), (later, Step::Start(i))]),
        2 => steps.push((at, Step::Pause(i, later.since(at)))),
        // The margin of the grant TTL covers clocks that stop for less than 0.25 s in 1 s.
        3 => steps.push((at, Step::Freeze(i, Duration::from_millis(rng.random_range(1..200))))),
        4 => steps
            .extend([(at, Step::Partition(i % 3, true)), (later, Step::Partition(i % 3, false))]),
        5 => {
            for j in (0..instances).filter(|j| j % 3 == i % 3) {
                steps.extend([(at, Step::Kill(j)), (later, Step::Start(j))]);
            }
        }
        _ => {
            let account = rng.random_range(0..limits.len());
            let divisor = rng.random_range(1..5);
            let revision = at.as_micros();
            let Limits { rate, burst, .. } = limits[account];
            let changed = Limits { rate: rate / divisor, burst: burst / divisor, revision };
            for j in 0..instances {
                let delay = Duration::from_millis(rng.random_range(0..1000));
                steps.push((at + delay, Step::Limits(j, account, changed)));
            }
        }
    }
}
