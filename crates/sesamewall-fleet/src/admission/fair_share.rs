//! Weighted max-min fair shares.

/// Returns the level of the weighted max-min fair division of `capacity`: each demand gets its
/// amount or its weight times the level, whichever is less. Each entry is a weight, which must be
/// positive, and an amount. The level is infinite if all demands fit.
pub fn fair_level(demands: &[(f64, f64)], capacity: f64) -> f64 {
    let mut sorted = demands.to_vec();
    sorted.sort_by(|(weight, amount), (other_weight, other_amount)| {
        (amount / weight).total_cmp(&(other_amount / other_weight))
    });
    let mut weights: f64 = sorted.iter().map(|(weight, _)| weight).sum();
    let mut rest = capacity.max(0.0);
    for (weight, amount) in sorted {
        let level = rest / weights;
        if amount / weight > level {
            return level;
        }
        rest -= amount;
        weights -= weight;
    }
    f64::INFINITY
}
