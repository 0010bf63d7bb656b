//! Measures the effect of a failure domain that goes out of service and returns.

use std::time::Duration;

use serde::Serialize;
use sesamewall_protocol::Class;
use sesamewall_protocol::Time;
use sesamewall_schedule::Settings;

use crate::fleet_model::DEPLOYMENT_A;
use crate::fleet_model::DEPLOYMENT_B;
use crate::fleet_model::Deployment;
use crate::fleet_model::Scenario;
use crate::fleet_model::run as run_scenario;

const STEADY_FROM: Duration = Duration::from_secs(20);
const OUTAGE_START: Duration = Duration::from_secs(60);
const OUTAGE_END: Duration = Duration::from_secs(90);
const END: Duration = Duration::from_secs(130);
const ONLINE_RATE: f64 = 36.0;

/// Figures of one deployment and one policy of target selection.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Deployment.
    pub deployment: &'static str,
    /// How targets are chosen.
    pub policy: &'static str,
    /// Milliseconds from the change to the last start on a target out of service; the target is at
    /// most 3000.
    pub last_work_ms: u64,
    /// Online requests that arrived in the steady state and were refused or did not finish; the
    /// target is 0.
    pub lost: usize,
    /// Largest excess of streams over what the slow start of a cold target allows after the return;
    /// the target is 0.
    pub ramp_excess: usize,
    /// 99th percentile of online time to first token before the change, in microseconds.
    pub steady_p99_us: u64,
    /// 99th percentile of online time to first token after the return, in microseconds.
    pub return_p99_us: u64,
    /// `return_p99_us` divided by `steady_p99_us`; the target is at most 1.2.
    pub p99_ratio: f64,
}

/// Runs the experiment for both deployments.
pub fn run(seed: u64) -> Vec<Row> {
    run_in(&[DEPLOYMENT_A, DEPLOYMENT_B], seed)
}

/// Runs the experiment for the given deployments.
pub fn run_in(deployments: &[Deployment], seed: u64) -> Vec<Row> {
    let policies = [("scheduler", false), ("round robin, no ramp", true)];
    deployments
        .iter()
        .flat_map(|deployment| policies.map(|(name, turn)| row(*deployment, name, turn, seed)))
        .collect()
}

fn row(deployment: Deployment, policy: &'static str, round_robin: bool, seed: u64) -> Row {
    let report = run_scenario(Scenario {
        deployment,
        seed,
        settings: Settings::default(),
        max_limit: 32,
        online: vec![ONLINE_RATE / 8.0; 8],
        batch: 0,
        end: END,
        outage: Some((OUTAGE_START, OUTAGE_END)),
        round_robin,
    });
    let (steady, out, end) =
        (Time::ZERO + STEADY_FROM, Time::ZERO + OUTAGE_START, Time::ZERO + OUTAGE_END);
    let last = report.starts_in_first.iter().filter(|at| out <= **at && **at < end).max();
    let lost = report
        .requests
        .iter()
        .filter(|request| request.class == Class::Online && request.arrived >= steady)
        .filter(|request| request.refused || request.ended.is_none())
        .count();
    let steady_p99 = report.first_token_us(99.0, STEADY_FROM, OUTAGE_START);
    let return_p99 = report.first_token_us(99.0, OUTAGE_END, END);
    Row {
        deployment: deployment.name,
        policy,
        last_work_ms: last.map_or(0, |at| at.since(out).as_millis() as u64),
        lost,
        ramp_excess: report.ramp_excess,
        steady_p99_us: steady_p99,
        return_p99_us: return_p99,
        p99_ratio: return_p99 as f64 / steady_p99.max(1) as f64,
    }
}
