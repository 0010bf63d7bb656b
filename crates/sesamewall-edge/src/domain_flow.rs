//! Traffic between failure domains: updates of the amounts, their log lines and metrics.

use prometheus::IntCounter;
use sesamewall_fleet::FlowChange;
use sesamewall_fleet::Placement;
use sesamewall_protocol::Time;
use slog::info;

use crate::InstanceContext;

/// Updates the amounts that leave the local failure domain from the present loads.
pub fn update(context: &InstanceContext, now: Time) {
    let mut guard = context.state();
    let state = &mut *guard;
    let changes = state.flows.update(&state.targets, &state.peers, now);
    let named = changes.into_iter().map(|(service, change)| {
        let domain = state.flows.domain_name(change.domain);
        (service, domain.map_or_else(|| "?".to_owned(), ToString::to_string), change)
    });
    let named: Vec<_> = named.collect();
    drop(guard);
    for (service, domain, change) in named {
        let FlowChange { before, part, home, there, age, home_wait, level, cut, .. } = change;
        context.metrics.domain_part.with_label_values(&[&*service, &*domain]).set(part);
        info!(context.log, "domain flow changed"; "service" => &*service, "to" => domain,
            "before" => rounded(before), "part" => rounded(part), "home_load" => rounded(home),
            "load" => rounded(there), "age_ms" => age.map(|age| age.as_millis() as u64),
            "home_wait_ms" => home_wait.as_millis() as u64, "level" => rounded(level),
            "cut" => cut);
    }
}

/// Counts a request that is about to be sent to another failure domain. Returns the counter of the
/// bytes that pass between the domains, for its response; `None` for a local target.
pub fn count_departure(
    context: &InstanceContext,
    placement: &Placement,
    body_bytes: usize,
) -> Option<IntCounter> {
    let state = context.state();
    let target = state.targets.get(&placement.name)?;
    if target.entry.domain == context.settings.domain {
        return None;
    }
    let label = [target.entry.domain.as_str()];
    context.metrics.domain_requests.with_label_values(&label).inc();
    let bytes = context.metrics.domain_bytes.with_label_values(&label);
    bytes.inc_by(body_bytes as u64);
    Some(bytes)
}

/// Rounds a part or a load for the log; a domain without slots has the load -1.
fn rounded(value: f64) -> f64 {
    match value.is_finite() {
        true => (value * 1000.0).round() / 1000.0,
        false => -1.0,
    }
}
