//! Measures the service of accounts within their rate while another sends five times its rate.

use std::time::Duration;

use serde::Serialize;
use sesamewall_schedule::LimitSettings;
use sesamewall_schedule::Order;
use sesamewall_schedule::QueueSettings;
use sesamewall_schedule::Settings;

use crate::fleet_model::DEPLOYMENT_A;
use crate::fleet_model::DEPLOYMENT_B;
use crate::fleet_model::Deployment;
use crate::fleet_model::Report;
use crate::fleet_model::Scenario;
use crate::fleet_model::run as run_scenario;

const ACCOUNTS: usize = 8;
/// Requests a second of one account. All accounts together use about nine tenths of the targets.
const RATE: f64 = 9.0;

/// Figures of one deployment and one order of service.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Deployment.
    pub deployment: &'static str,
    /// Order of service.
    pub order: &'static str,
    /// Served work divided by offered work of the worst-served account within its rate. The offered
    /// work of such an account is its fair share; the target is at least 0.95.
    pub worst_share: f64,
    /// Served work divided by offered work of the account that sends five times its rate.
    pub flooding_share: f64,
    /// Requests refused of accounts within their rate.
    pub refused: usize,
}

/// Runs the experiment for both deployments.
pub fn run(seed: u64) -> Vec<Row> {
    run_in(&[DEPLOYMENT_A, DEPLOYMENT_B], seed)
}

/// Runs the experiment for the given deployments.
pub fn run_in(deployments: &[Deployment], seed: u64) -> Vec<Row> {
    let orders = [("fair", Order::Fair), ("first come, first served", Order::Arrival)];
    deployments
        .iter()
        .flat_map(|deployment| orders.map(|(name, order)| row(*deployment, name, order, seed)))
        .collect()
}

fn row(deployment: Deployment, name: &'static str, order: Order, seed: u64) -> Row {
    let mut online = vec![RATE; ACCOUNTS];
    online[0] = 5.0 * RATE;
    let report = run_scenario(Scenario {
        deployment,
        seed,
        settings: Settings {
            queue: QueueSettings { order, ..QueueSettings::default() },
            limit: LimitSettings { slow_start: false, ..LimitSettings::default() },
            ..Settings::default()
        },
        max_limit: 32,
        online,
        batch: 0,
        end: Duration::from_secs(60),
        outage: None,
        round_robin: false,
    });
    let shares = (1..ACCOUNTS).map(|account| served_share(&report, account));
    let within = report.requests.iter().filter(|request| request.account > 0);
    Row {
        deployment: deployment.name,
        order: name,
        worst_share: shares.fold(f64::MAX, f64::min),
        flooding_share: served_share(&report, 0),
        refused: within.filter(|request| request.refused).count(),
    }
}

fn served_share(report: &Report, account: usize) -> f64 {
    let requests = || report.requests.iter().filter(|request| request.account == account);
    let offered: u64 = requests().map(|request| request.work).sum();
    let served: u64 =
        requests().filter(|request| request.ended.is_some()).map(|request| request.work).sum();
    served as f64 / offered.max(1) as f64
}
