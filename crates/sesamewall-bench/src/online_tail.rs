//! Measures harm of batch work to online latency, and what batch gets.

use std::time::Duration;

use serde::Serialize;
use sesamewall_protocol::Time;
use sesamewall_schedule::LimitSettings;
use sesamewall_schedule::Policy;
use sesamewall_schedule::Settings;

use crate::engine_model::EngineSettings;
use crate::fleet_model::DEPLOYMENT_A;
use crate::fleet_model::DEPLOYMENT_B;
use crate::fleet_model::Deployment;
use crate::fleet_model::Report;
use crate::fleet_model::Scenario;
use crate::fleet_model::run as run_scenario;

const FROM: Duration = Duration::from_secs(20);
const END: Duration = Duration::from_secs(80);
const ONLINE_RATE: f64 = 36.0;
const MAX_LIMIT: u32 = 32;

/// One way to share the targets.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Deployment.
    pub deployment: &'static str,
    /// How the classes share the targets.
    pub policy: &'static str,
    /// Median online time to first token in microseconds.
    pub p50_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
    /// 99th percentile over that without batch; the target is at most 1.05.
    pub p99_ratio: f64,
    /// Batch output tokens a second.
    pub batch_tokens: f64,
    /// Batch tokens over what online leaves; the target is at least 0.9.
    pub batch_share: f64,
    /// Online requests refused in the window of measurement.
    pub refused: usize,
    /// Mean learned limit of the targets at the end.
    pub mean_limit: f64,
    /// Cancelled batch streams.
    pub cancelled: u64,
}

/// Runs the experiment for both deployments. What online leaves is the batch throughput without
/// online requests and with all targets at their upper bound, less the share of engine time that the
/// online requests need in full batches.
pub fn run(seed: u64) -> Vec<Row> {
    run_in(&[DEPLOYMENT_A, DEPLOYMENT_B], seed)
}

/// Runs the experiment for the given deployments.
pub fn run_in(deployments: &[Deployment], seed: u64) -> Vec<Row> {
    deployments.iter().flat_map(|deployment| rows(*deployment, seed)).collect()
}

fn rows(deployment: Deployment, seed: u64) -> Vec<Row> {
    // All targets start warm in each row, so that the rows compare steady states.
    let warm = LimitSettings { ramp: false, ..LimitSettings::default() };
    let scenario = |policy, online: f64, batch| Scenario {
        deployment,
        seed,
        settings: Settings { policy, limit: warm.clone(), ..Settings::default() },
        max_limit: MAX_LIMIT,
        online: vec![online / 8.0; 8],
        batch: if batch { 2 * deployment.targets * MAX_LIMIT as usize } else { 0 },
        end: END,
        outage: None,
        round_robin: false,
    };
    let mut full = scenario(Policy::SharedQueue, 0.0, true);
    full.settings.limit.slow_ratio = f64::MAX;
    let alone = run_scenario(full);
    let quiet = run_scenario(scenario(Policy::OnlineFirst, ONLINE_RATE, false));
    let left = batch_rate(&alone) * (1.0 - engine_share(&quiet, deployment));
    let quiet_p99 = quiet.first_token_us(99.0, FROM, END);
    let row = |policy, report: &Report| Row {
        deployment: deployment.name,
        policy,
        p50_us: report.first_token_us(50.0, FROM, END),
        p99_us: report.first_token_us(99.0, FROM, END),
        p99_ratio: report.first_token_us(99.0, FROM, END) as f64 / quiet_p99 as f64,
        batch_tokens: batch_rate(report),
        batch_share: batch_rate(report) / left,
        refused: refused(report),
        mean_limit: report.limits.iter().sum::<usize>() as f64 / report.limits.len() as f64,
        cancelled: report.cancelled,
    };
    let mut rows = vec![row("batch alone", &alone), row("online alone", &quiet)];
    for (name, policy) in [
        ("online first", Policy::OnlineFirst),
        ("shared queue", Policy::SharedQueue),
        ("fixed split", Policy::FixedSplit { batch: 0.5 }),
    ] {
        rows.push(row(name, &run_scenario(scenario(policy, ONLINE_RATE, true))));
    }
    rows
}

fn refused(report: &Report) -> usize {
    let late = |arrived: Time| arrived >= Time::ZERO + FROM;
    report.requests.iter().filter(|request| request.refused && late(request.arrived)).count()
}

fn batch_rate(report: &Report) -> f64 {
    let seconds = FROM.as_secs()..END.as_secs();
    let tokens: u64 = report.batch_tokens.range(seconds.clone()).map(|(_, tokens)| tokens).sum();
    tokens as f64 / (seconds.end - seconds.start) as f64
}

/// Returns the share of all engine time that online requests need when they run in full batches.
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
