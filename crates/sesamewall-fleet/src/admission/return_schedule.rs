//! Chooses when a refused caller should return.

use std::time::Duration;

use sesamewall_protocol::Time;
use sesamewall_protocol::scaled;

use super::load_phases::LoadPhases;
use super::promised_returns::PromisedReturns;
use super::promised_returns::SLOT;

/// Settings of the times at which refused callers should return.
#[derive(Clone, Debug)]
pub struct ReturnSettings {
    /// Shortest and longest time while the load has no pattern. The spread keeps refused callers
    /// from coming back at the same time.
    pub spread: (Duration, Duration),
    /// Shortest time with a pattern.
    pub earliest: Duration,
    /// Longest time with a pattern. Phases last 2.4 to 3.6 s, so it reaches into the next phase
    /// from any point of the present one.
    pub latest: Duration,
    /// Fraction of the remaining time that a caller waits for at most.
    pub honoured: f64,
    /// Time by which the caller's remaining time may be shorter than it is here: the request and
    /// the refusal travel.
    pub margin: Duration,
}

impl Default for ReturnSettings {
    fn default() -> Self {
        Self {
            spread: (Duration::from_millis(300), Duration::from_millis(1500)),
            earliest: Duration::from_millis(200),
            latest: Duration::from_secs(5),
            honoured: 1.0 / 3.0,
            margin: Duration::from_millis(15),
        }
    }
}

/// When a refused caller should return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTime {
    /// Time until the return.
    pub wait: Duration,
    /// Free fraction of the places expected then; `None` while the load has no pattern.
    pub expected: Option<f64>,
}

/// Returns when a caller should return that has `remaining` time left. `draw` is a random number.
pub fn choose_return(
    settings: &ReturnSettings,
    phases: &LoadPhases,
    promised: &PromisedReturns,
    remaining: Duration,
    draw: u64,
    now: Time,
) -> RetryTime {
    let limit = scaled(remaining.saturating_sub(settings.margin), settings.honoured);
    let fraction = (draw >> 11) as f64 / (1_u64 << 53) as f64;
    let longest = settings.latest.min(limit);
    let count = (longest.as_micros() / SLOT.as_micros()) as usize;
    let first = (settings.earliest.as_micros() / SLOT.as_micros()) as usize;
    let forecast = phases.forecast(count, SLOT, now).filter(|_| first < count);
    let Some(forecast) = forecast else {
        let (low, high) = settings.spread;
        let (low, high) = (low.min(limit), high.min(limit));
        return RetryTime { wait: low + scaled(high - low, fraction), expected: None };
    };
    // Promises lower the weight of a slot in proportion to its room: of two slots with the same
    // room, the one with fewer promises is likelier.
    let weight = |index: usize| {
        let room = forecast[index].max(0.001);
        let taken = f64::from(promised.promised_at(now + SLOT * index as u32));
        room * room / (room + taken * 0.1)
    };
    let total: f64 = (first..count).map(weight).sum();
    let mut rest = fraction * total;
    let mut chosen = count - 1;
    let mut within = 0.5;
    for index in first..count {
        if rest < weight(index) {
            chosen = index;
            within = rest / weight(index);
            break;
        }
        rest -= weight(index);
    }
    let wait = scaled(SLOT, chosen as f64 + within).min(limit);
    RetryTime { wait, expected: Some(forecast[chosen]) }
}
