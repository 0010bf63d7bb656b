//! Processor time, memory and bytes as lines over the sizes of a fleet.

use super::control_bytes::heartbeat_call;
use super::decisions::Domain;
use super::decisions::Rates;
use super::decisions::Slots;
use super::decisions::batch_item;
use super::decisions::change_one;
use super::decisions::configuration;
use super::meter::cost_us;
use super::meter::fit;
use super::meter::resident_bytes;
use crate::table::Subject;
use crate::table::Table;
use crate::table::Target;

/// Limit of the control traffic of an instance in bytes per second.
const CONTROL_BYTES: f64 = 11_000.0;
/// Instances of one failure domain besides its lead: 380 in 7 failure domains.
const MEMBERS: f64 = 54.0;
/// Bytes of IPv4 and TCP headers with time stamps.
const SEGMENT_HEAD: f64 = 52.0;

fn subject(case: &str) -> Subject<'_> {
    Subject { deployment: "-", case, policy: "this machine", baseline: false }
}

/// Adds the values at all sizes and the line through them.
fn add_line(table: &mut Table, case: &str, unit: &str, over: &str, points: &[(f64, f64)]) {
    for (size, value) in points {
        table.add(subject(case), &format!("{unit} at {size} {over}"), *value, None);
    }
    let (slope, start) = fit(points);
    table.add(subject(case), &format!("{unit} at 0 {over}"), start, None);
    table.add(subject(case), &format!("{unit} per 1000 {over}"), slope * 1000.0, None);
}

fn points(sizes: &[usize], mut measure: impl FnMut(usize) -> f64) -> Vec<(f64, f64)> {
    sizes.iter().map(|size| (*size as f64, measure(*size))).collect()
}

/// Returns the resident bytes per value that `make` creates. Several copies are kept at a time, so
/// that they exceed the allocator's free memory.
fn memory<T>(copies: usize, make: impl Fn() -> T) -> f64 {
    let start = resident_bytes();
    let kept: Vec<T> = (0..copies).map(|_| make()).collect();
    let used = (resident_bytes() - start).max(0.0) / copies as f64;
    drop(kept);
    used
}

/// Measures the slopes. `small` measures too briefly for the figures to mean anything.
pub(crate) fn slopes(small: bool) -> Table {
    let mut table = Table::new("slopes", 0);
    let accounts: &[usize] = if small { &[10, 20] } else { &[500, 2_000, 5_900] };
    let targets: &[usize] = if small { &[5, 10] } else { &[12, 99, 300, 690] };
    let instances: &[usize] = if small { &[5, 10] } else { &[10, 54, 380] };
    add_memory(&mut table, accounts, targets, if small { 1 } else { 8 });
    let rate = points(accounts, |count| {
        let mut rates = Rates::new(count);
        cost_us(small, |count| {
            rates.decide(count);
        })
    });
    add_line(&mut table, "rate decision", "us", "client accounts", &rate);
    let slot = points(targets, |count| {
        let mut slots = Slots::new(count, accounts[accounts.len() - 1]);
        cost_us(small, |count| {
            slots.decide(count);
        })
    });
    add_line(&mut table, "slot decision (ask and done)", "us", "targets", &slot);
    let heartbeat = points(instances, |count| {
        let mut domain = Domain::new(count);
        cost_us(small, |count| domain.heartbeat(count))
    });
    add_line(&mut table, "heartbeat at the lead", "us", "instances", &heartbeat);
    let change = points(accounts, |count| {
        let current = configuration(count, count);
        cost_us(small, |_| drop(change_one(&current)))
    });
    add_line(&mut table, "configuration change", "us", "accounts, each with a key", &change);
    table.add(subject("batch item, 1 KB"), "us", cost_us(small, batch_item), None);
    add_control_bytes(&mut table);
    add_violations(&mut table);
    table
}

/// Adds the memory of the states. It runs before the loops, which leave free memory in the
/// allocator.
fn add_memory(table: &mut Table, accounts: &[usize], targets: &[usize], copies: usize) {
    let size = accounts[accounts.len() - 1];
    let each = |bytes: f64| bytes / size as f64;
    let config = memory(copies, || configuration(size, size));
    let figure = "bytes for each account with a key";
    table.add(subject("configuration"), figure, each(config), None);
    let last = targets[targets.len() - 1];
    let slots = memory(copies, || Slots::new(last, 1));
    table.add(subject("scheduler"), "bytes for each target", slots / last as f64, None);
    let rates = memory(copies, || {
        let mut rates = Rates::new(size);
        (0..4 * size as u64).for_each(|count| {
            rates.decide(count);
        });
        rates
    });
    table.add(
        subject("rates: holder and lead"),
        "bytes for each client account",
        each(rates),
        None,
    );
}

/// Adds the bytes of heartbeats on the wire.
fn add_control_bytes(table: &mut Table) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok((payload, bytes, segments)) =
        runtime.and_then(|runtime| runtime.block_on(heartbeat_call()))
    else {
        table.notes.push("the heartbeat call over loopback failed".to_owned());
        return;
    };
    let case = "heartbeat call with reply";
    let wire = bytes + segments * SEGMENT_HEAD;
    let mut add = |figure, value, target| table.add(subject(case), figure, value, target);
    add("payload bytes (MessagePack)", payload, None);
    add("bytes on TCP (envelope, gRPC, HTTP/2)", bytes, None);
    add("TCP segments", segments, None);
    add("bytes with IP and TCP headers", wire, None);
    let bound = Some(Target::AtMost(CONTROL_BYTES));
    add("lead, heartbeats of 54 instances, TCP bytes/s", MEMBERS * bytes, bound);
    add("lead, the same with IP and TCP headers, bytes/s", MEMBERS * wire, None);
    add("plain instance, TCP bytes/s", bytes, bound);
}

/// Adds the number of missed targets.
pub(super) fn add_violations(table: &mut Table) {
    let violations = table.missed() as f64;
    table.add(subject("all"), "breaches", violations, Some(Target::AtMost(0.0)));
}
