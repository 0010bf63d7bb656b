//! Tables of the experiments on virtual time.

use crate::domain_outage;
use crate::fairness;
use crate::fleet_model::DEPLOYMENT_A;
use crate::fleet_model::DEPLOYMENT_B;
use crate::fleet_model::Deployment;
use crate::online_tail;
use crate::table::Subject;
use crate::table::Table;
use crate::table::Target;
use crate::wrongful_refusals;

/// Returns both deployments, or small fleets under their names.
fn deployments(small: bool) -> [Deployment; 2] {
    let shrink = |deployment| Deployment { domains: 2, targets: 1, ..deployment };
    let deployments = [DEPLOYMENT_A, DEPLOYMENT_B];
    if small { deployments.map(shrink) } else { deployments }
}

/// Measures online latency and batch throughput.
pub(super) fn online_tail(seed: u64, small: bool) -> Table {
    let mut table = Table::new("online-tail", seed);
    for row in online_tail::run_in(&deployments(small), seed) {
        let subject = Subject {
            deployment: row.deployment,
            case: "-",
            policy: row.policy,
            baseline: row.policy != "online first",
        };
        let both = !row.policy.ends_with("alone");
        let ratio = both.then_some(Target::AtMost(1.05));
        let share = both.then_some(Target::AtLeast(0.9));
        let mut add = |figure, value, target| table.add(subject, figure, value, target);
        if row.policy != "batch alone" {
            add("p50 first token, ms", row.p50_us as f64 / 1e3, None);
            add("p99 first token, ms", row.p99_us as f64 / 1e3, None);
            add("p99 over online alone", row.p99_ratio, ratio);
            add("online refused", row.refused as f64, None);
        }
        if row.policy != "online alone" {
            add("batch tokens/s", row.batch_tokens, None);
            add("batch share of what online leaves", row.batch_share, share);
            add("batch streams cancelled", row.cancelled as f64, None);
        }
        if both {
            let violations = u32::from(!Target::AtMost(1.05).is_met(row.p99_ratio))
                + u32::from(!Target::AtLeast(0.9).is_met(row.batch_share));
            add("breaches", f64::from(violations), Some(Target::AtMost(0.0)));
        }
    }
    table
}

/// Measures the service of accounts within their rate.
pub(super) fn fairness(seed: u64, small: bool) -> Table {
    let mut table = Table::new("fairness", seed);
    for row in fairness::run_in(&deployments(small), seed) {
        let subject = Subject {
            deployment: row.deployment,
            case: "one account at 5 times its rate",
            policy: row.order,
            baseline: row.order != "fair",
        };
        let target = Target::AtLeast(0.95);
        let violations = u32::from(!target.is_met(row.worst_share));
        let mut add = |figure, value, target| table.add(subject, figure, value, target);
        add("share of the worst-served account", row.worst_share, Some(target));
        add("share of the flooding account", row.flooding_share, None);
        add("refused within rate", row.refused as f64, None);
        add("breaches", f64::from(violations), Some(Target::AtMost(0.0)));
    }
    table
}

/// Measures wrongful refusals.
pub(super) fn wrongful_refusals(seed: u64, small: bool) -> Table {
    let mut table = Table::new("wrongful-refusals", seed);
    let rows =
        if small { wrongful_refusals::run_small(seed) } else { wrongful_refusals::run(seed) };
    for row in rows {
        let subject = Subject {
            deployment: row.deployment,
            case: row.traffic,
            policy: row.policy,
            baseline: row.policy != "escrow",
        };
        let mut add = |figure, value, target| table.add(subject, figure, value, target);
        add("requests within rate", row.within_rate as f64, None);
        // Cases with a loss have a separate target for the time after the loss.
        let steady = row.share_after_loss.is_none().then_some(Target::AtMost(0.0001));
        add("wrongful refusals, share", row.share, steady);
        if let Some(share) = row.share_after_loss {
            add("wrongful in 10 s after the loss, share", share, Some(Target::AtMost(0.01)));
        }
        add("asks per request", row.asks_per_request, None);
        add("mean wait, ms", row.mean_wait_ms, None);
        add("breaches", row.breaches as f64, Some(Target::AtMost(0.0)));
    }
    table
}

/// Measures a failure domain that goes out of service and returns.
pub(super) fn domain_outage(seed: u64, small: bool) -> Table {
    let mut table = Table::new("domain-outage", seed);
    for row in domain_outage::run_in(&deployments(small), seed) {
        let subject = Subject {
            deployment: row.deployment,
            case: "one failure domain out for 30 s",
            policy: row.policy,
            baseline: row.policy != "scheduler",
        };
        let figures = [
            ("last new work after the change, ms", row.last_work_ms as f64, Target::AtMost(3000.0)),
            ("online requests lost", row.lost as f64, Target::AtMost(0.0)),
            ("streams above the ramp", row.ramp_excess as f64, Target::AtMost(0.0)),
            ("p99 after the return over steady", row.p99_ratio, Target::AtMost(1.2)),
        ];
        let violations = figures.iter().filter(|(_, value, target)| !target.is_met(*value)).count();
        let mut add = |figure, value, target| table.add(subject, figure, value, target);
        for (figure, value, target) in figures {
            add(figure, value, Some(target));
        }
        add("p99 steady, ms", row.steady_p99_us as f64 / 1e3, None);
        add("p99 after the return, ms", row.return_p99_us as f64 / 1e3, None);
        add("breaches", violations as f64, Some(Target::AtMost(0.0)));
    }
    table
}

/// Counts violations over random faults.
pub(super) fn invariants(seed: u64, seeds: u64) -> Table {
    let mut table = Table::new("invariants", seed);
    let sum = wrongful_refusals::invariants(seed..seed + seeds);
    let subject = Subject {
        deployment: "-",
        case: "random faults on rates",
        policy: "escrow",
        baseline: false,
    };
    let zero = Some(Target::AtMost(0.0));
    table.add(subject, "seeds", sum.seeds as f64, None);
    table.add(subject, "requests admitted", sum.admitted as f64, None);
    table.add(subject, "breaches of rate and burst (I7)", sum.breaches as f64, zero);
    table.add(subject, "floors in force twice", sum.floor_breaches as f64, zero);
    table.notes.push(format!("seeds that breach: {:?}", sum.failed));
    table
}
