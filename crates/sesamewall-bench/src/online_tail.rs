//! Measures the effect of batch work on online latency, and the batch throughput.

use std::time::Duration;

use serde::Serialize;
use sesamewall_protocol::Class;
use sesamewall_protocol::Time;
use sesamewall_schedule::LimitSettings;
use sesamewall_schedule::Policy;
use sesamewall_schedule::Settings;

use crate::engine_model::EngineSettings;
use crate::fleet_model::DEPLOYMENT_A;
use crate::fleet_model::DEPLOYMENT_B;
use crate::fleet_model::Deployment;
use crate::fleet_model::Outcome;
use crate::fleet_model::Report;
use crate::fleet_model::Scenario;
use crate::fleet_model::run as run_scenario;

const FROM: Duration = Duration::from_secs(20);
const END: Duration = Duration::from_secs(80);
const ONLINE_RATE: f64 = 36.0;
const MAX_LIMIT: u32 = 32;

/// Figures of one deployment and one policy of sharing the targets.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Deployment.
    pub deployment: &'static str,
    /// How the classes share the targets.
    pub policy: &'static str,
    /// Median online time to first token in microseconds.
    pub p50_us: u64,
    /// 99th percentile of online time to first token in microseconds.
    pub p99_us: u64,
    /// `p99_us` divided by its value without batch work; the target is at most 1.05.
    pub p99_ratio: f64,
    /// Batch output tokens a second.
    pub batch_tokens: f64,
    /// Batch tokens divided by those that online work leaves capacity for; the target is at least
    /// 0.9.
    pub batch_share: f64,
    /// Online requests refused in the window of measurement.
    pub refused: usize,
    /// Mean adaptive concurrency limit of the targets at the end.
    pub mean_limit: f64,
    /// Mean number of free slots on a target.
    pub free_slots: f64,
    /// Cancelled batch streams.
    pub cancelled: u64,
    /// Mean parts of the time to first token of the slowest 2% of online requests.
    pub tail: Tail,
}

/// Parts of the time to first token in microseconds.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct Tail {
    /// Time in messages and queues until the start on the engine.
    pub before_start: u64,
    /// Remaining time of the step that ran at the start.
    pub step_rest: u64,
    /// Part of `step_rest` due to batch prompts.
    pub rest_batch: u64,
    /// Batch prompts in later steps.
    pub batch_prompts: u64,
    /// Prompts of other online requests in later steps.
    pub online_prompts: u64,
    /// Tokens of running streams in later steps.
    pub streams: u64,
    /// The request's own prompt, and the fixed part of its steps.
    pub own: u64,
}

fn tail(report: &Report) -> Tail {
    let mut slow: Vec<_> = report
        .requests
        .iter()
        .filter(|request| request.class == Class::Online && request.ended.is_some())
        .filter(|request| (Time::ZERO + FROM..Time::ZERO + END).contains(&request.arrived))
        .filter_map(|request| Some((request.first?.since(request.arrived), request)))
        .collect();
    slow.sort_by_key(|(time, _)| std::cmp::Reverse(*time));
    slow.truncate(slow.len().div_ceil(50));
    let mean = |part: &dyn Fn(&Outcome) -> u64| {
        slow.iter().map(|(_, request)| part(request)).sum::<u64>() / slow.len().max(1) as u64
    };
    let before = |request: &Outcome| {
        let started = request.started.unwrap_or(request.arrived);
        started.since(request.arrived).as_micros() as u64
    };
    let all = slow.iter().map(|(time, _)| time.as_micros() as u64).sum::<u64>();
    let tail = Tail {
        before_start: mean(&before),
        step_rest: mean(&|request| request.interference.rest),
        rest_batch: mean(&|request| request.interference.rest_batch),
        batch_prompts: mean(&|request| request.interference.batch),
        online_prompts: mean(&|request| request.interference.online),
        streams: mean(&|request| request.interference.streams),
        own: 0,
    };
    let accounted = tail.before_start + tail.step_rest + tail.batch_prompts + tail.online_prompts;
    let mean_total = all / slow.len().max(1) as u64;
    Tail { own: mean_total.saturating_sub(accounted + tail.streams), ..tail }
}

/// Runs the experiment for both deployments. The batch throughput that online work leaves capacity
/// for is the throughput without online requests and with all targets at their upper limit, less
/// the fraction of engine time that the online requests need in full batches.
pub fn run(seed: u64) -> Vec<Row> {
    run_in(&[DEPLOYMENT_A, DEPLOYMENT_B], seed)
}

/// Runs the experiment for the given deployments.
pub fn run_in(deployments: &[Deployment], seed: u64) -> Vec<Row> {
    let headroom = Settings::default().headroom;
    let rows_of = |deployment: &Deployment| rows(*deployment, seed, headroom, &POLICIES);
    deployments.iter().flat_map(rows_of).collect()
}

const POLICIES: [(&str, Policy); 3] = [
    ("online first", Policy::OnlineFirst),
    ("shared queue", Policy::SharedQueue),
    ("fixed split", Policy::FixedSplit { batch: 0.5 }),
];

fn rows(
    deployment: Deployment,
    seed: u64,
    headroom: f64,
    policies: &[(&'static str, Policy)],
) -> Vec<Row> {
    // All targets start warm in each row, so that the rows compare steady states.
    let warm = LimitSettings { slow_start: false, ..LimitSettings::default() };
    let scenario = |policy, online: f64, batch| Scenario {
        deployment,
        seed,
        settings: Settings { policy, headroom, limit: warm.clone(), ..Settings::default() },
        max_limit: MAX_LIMIT,
        online: vec![online / 8.0; 8],
        batch: if batch { 2 * deployment.targets * MAX_LIMIT as usize } else { 0 },
        end: END,
        outage: None,
        round_robin: false,
    };
    let mut full = scenario(Policy::SharedQueue, 0.0, true);
    full.settings.limit.slow_ratio = f64::MAX;
    let batch_alone = run_scenario(full);
    let online_alone = run_scenario(scenario(Policy::OnlineFirst, ONLINE_RATE, false));
    let available = batch_rate(&batch_alone) * (1.0 - engine_share(&online_alone, deployment));
    let online_p99 = online_alone.first_token_us(99.0, FROM, END);
    let row = |policy, report: &Report| Row {
        deployment: deployment.name,
        policy,
        p50_us: report.first_token_us(50.0, FROM, END),
        p99_us: report.first_token_us(99.0, FROM, END),
        p99_ratio: report.first_token_us(99.0, FROM, END) as f64 / online_p99 as f64,
        batch_tokens: batch_rate(report),
        batch_share: batch_rate(report) / available,
        refused: refused(report),
        mean_limit: report.limits.iter().sum::<usize>() as f64 / report.limits.len() as f64,
        free_slots: report.free_slots.0 as f64 / report.free_slots.1.max(1) as f64,
        cancelled: report.cancelled,
        tail: tail(report),
    };
    let mut rows = vec![row("batch alone", &batch_alone), row("online alone", &online_alone)];
    for (name, policy) in policies {
        rows.push(row(name, &run_scenario(scenario(*policy, ONLINE_RATE, true))));
    }
    rows
}

/// Runs deployment A and B with different settings of the headroom. A larger headroom gives online
/// requests more choice of targets and batch streams fewer slots.
pub fn trade_off(seed: u64) -> Vec<(f64, Row)> {
    let mut table = Vec::new();
    for headroom in [0.25, 0.5, 1.0, 2.0] {
        for deployment in [DEPLOYMENT_A, DEPLOYMENT_B] {
            let rows = rows(deployment, seed, headroom, &[("online first", Policy::OnlineFirst)]);
            table.extend(rows.into_iter().skip(2).map(|row| (headroom, row)));
        }
    }
    table
}

fn refused(report: &Report) -> usize {
    let in_window = |arrived: Time| arrived >= Time::ZERO + FROM;
    report.requests.iter().filter(|request| request.refused && in_window(request.arrived)).count()
}

fn batch_rate(report: &Report) -> f64 {
    let seconds = FROM.as_secs()..END.as_secs();
    let tokens: u64 = report.batch_tokens.range(seconds.clone()).map(|(_, tokens)| tokens).sum();
    tokens as f64 / (seconds.end - seconds.start) as f64
}

/// Returns the fraction of all engine time that online requests need in full batches.
fn engine_share(report: &Report, deployment: Deployment) -> f64 {
    let EngineSettings { step_us, stream_us, prompt_us, .. } = EngineSettings::default();
    let token_us = step_us as f64 / f64::from(MAX_LIMIT) + stream_us as f64;
    let used_us: f64 = report
        .requests
        .iter()
        .filter(|request| request.ended.is_some())
        .map(|request| {
            let prompt = request.work - request.output;
            prompt as f64 * prompt_us as f64 + request.output as f64 * token_us
        })
        .sum();
    let engines = (deployment.domains * deployment.targets) as f64;
    used_us / (END.as_micros() as f64 * engines)
}
