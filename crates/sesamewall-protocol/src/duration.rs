//! Durations from floating-point numbers, which may come from outside.
//!
//! The constructors of `Duration` panic for numbers that are negative, too large or undefined. Those
//! of this module return the nearest duration instead.

use std::time::Duration;

/// Longest duration that the functions return. Sums and multiples of it stay within the range of
/// `Duration` and of all clocks.
pub const LONGEST: Duration = Duration::from_secs(100 * 365 * 86_400);

/// Returns a duration of `value` seconds, at most `LONGEST`; zero for a negative or undefined value.
pub fn seconds(value: f64) -> Duration {
    // `max` returns zero for an undefined value.
    Duration::try_from_secs_f64(value.max(0.0)).map_or(LONGEST, |duration| duration.min(LONGEST))
}

/// Returns `duration` multiplied by `factor`, at most `LONGEST`; zero for a negative or undefined
/// factor.
pub fn scaled(duration: Duration, factor: f64) -> Duration {
    seconds(duration.as_secs_f64() * factor)
}
