//! Cost of single decisions at full size and of proxied requests against a bare pass-through.

use super::decisions::Rates;
use super::decisions::Slots;
use super::meter::cost_us;
use super::proxy::Costs;
use super::proxy::measure;
use super::slopes::add_violations;
use crate::table::Subject;
use crate::table::Table;
use crate::table::Target;

const DECISION_US: f64 = 20.0;
const RATIO: f64 = 1.3;

/// Measures the hot path. `small` measures too briefly for the figures to mean anything.
pub(crate) fn hot_path(small: bool) -> Table {
    let mut table = Table::new("hot-path", 0);
    let bound = Some(Target::AtMost(DECISION_US));
    let subject = |case| Subject { deployment: "-", case, policy: "this machine", baseline: false };
    let accounts = if small { 50 } else { 5_900 };
    let mut rates = Rates::new(accounts);
    let mut refused = 0;
    let cost = cost_us(small, |count| refused += u64::from(!rates.decide(count)));
    table.add(subject("rate decision, 5,900 accounts"), "us", cost, bound);
    for (targets, case) in
        [(690, "slot, ask and done, 690 targets"), (99, "slot, ask and done, 99 targets")]
    {
        let mut slots = Slots::new(if small { 5 } else { targets }, accounts);
        let cost = cost_us(small, |count| refused += u64::from(!slots.decide(count)));
        table.add(subject(case), "us", cost, bound);
    }
    table.add(subject("decisions"), "refused", refused as f64, Some(Target::AtMost(0.0)));
    match measure(if small { 40 } else { 1_000 }) {
        Ok(costs) => add_proxied(&mut table, costs),
        Err(detail) => table.notes.push(format!("proxied requests were not measured: {detail}")),
    }
    add_violations(&mut table);
    table
}

fn add_proxied(table: &mut Table, [bare, instance]: [Costs; 2]) {
    let mut add = |policy, baseline, case, figure, value, target| {
        let subject = Subject { deployment: "-", case, policy, baseline };
        table.add(subject, figure, value, target);
    };
    let bound = Some(Target::AtMost(RATIO));
    for (policy, baseline, costs) in
        [("bare pass-through", true, bare), ("instance", false, instance)]
    {
        add(policy, baseline, "request", "us", costs.request_us, None);
        add(policy, baseline, "streamed token", "us", costs.token_us, None);
        add(policy, baseline, "idle", "us a second", costs.idle_us, None);
    }
    let requests = instance.request_us / bare.request_us;
    add("instance", false, "request", "over pass-through", requests, bound);
    let tokens = instance.token_us / bare.token_us;
    add("instance", false, "streamed token", "over pass-through", tokens, bound);
}
