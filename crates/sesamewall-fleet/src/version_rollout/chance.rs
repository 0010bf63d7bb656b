//! The probability of a number of events in independent trials.

/// Returns the probability of at least `events` events in `trials` trials with probability `rate`
/// each, from the binomial distribution.
pub(super) fn tail_probability(events: u32, trials: u32, rate: f64) -> f64 {
    if events == 0 || rate >= 1.0 {
        return 1.0;
    }
    if events > trials || rate <= 0.0 {
        return 0.0;
    }
    // Terms are summed from their logarithms, since the first ones underflow for many trials.
    let (log_rate, log_rest) = (rate.ln(), (1.0 - rate).ln());
    let mut log_term = f64::from(trials) * log_rest;
    let mut below = 0.0;
    for event in 0..events {
        below += log_term.exp();
        let (done, left) = (f64::from(event + 1), f64::from(trials - event));
        log_term += left.ln() - done.ln() + log_rate - log_rest;
    }
    // The difference is exact enough for comparison with bounds above 1e-12; a smaller tail is 0.
    (1.0 - below).max(0.0)
}

#[cfg(test)]
mod tests {
    use super::tail_probability;

    /// Guards against verdicts from a wrong distribution.
    #[test]
    fn matches_known_values() {
        let near = |value: f64, expected: f64| (value - expected).abs() < 1e-9;
        assert!(near(tail_probability(1, 1, 0.25), 0.25));
        assert!(near(tail_probability(2, 3, 0.5), 0.5));
        assert!(near(tail_probability(5, 5, 0.1), 1e-5));
        assert!(near(tail_probability(0, 9, 0.1), 1.0));
        assert!(tail_probability(3, 2, 0.1) == 0.0);
        assert!((0.4..0.6).contains(&tail_probability(2000, 100_000, 0.02)));
    }
}
