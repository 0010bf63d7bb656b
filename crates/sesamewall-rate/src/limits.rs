//! Rate and burst as integers, and the units and times of grants.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::RateLimit;

/// Tokens that one request consumes. All token counts are in thousandths of a request.
pub const TOKENS_PER_REQUEST: u64 = 1000;

/// TTL of granted tokens, counted from the sending of the token request.
pub const GRANT_TTL: Duration = Duration::from_secs(1);

/// Time after which a lead regards the grants of a timed-out holder, or of an earlier lead, as
/// expired: `GRANT_TTL` and a margin of 0.25 s for clocks that run at different speeds.
pub const GRANT_WAIT: Duration = Duration::from_millis(1_250);

/// The share 1: shares of a rate are counted in billionths.
pub const SHARE_UNIT: u64 = 1_000_000_000;

/// Returns the reserve of a floor: the quarter of it that needs no floor lease.
pub fn reserve_share(share: u64) -> u64 {
    share / 4
}

/// Rate and burst of an account key, with the configuration revision that set them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limits {
    /// Rate in millionths of a request per second.
    pub rate: u64,
    /// Burst in thousandths of a request.
    pub burst: u64,
    /// Revision of the configuration.
    pub revision: u64,
}

impl Limits {
    /// Converts a configured rate, rounding down.
    pub fn new(limit: RateLimit, revision: u64) -> Self {
        Self { rate: (limit.rate * 1e6) as u64, burst: (limit.burst * 1e3) as u64, revision }
    }

    /// Returns the rate and the burst multiplied by `share` (in billionths).
    pub(crate) fn scaled(&self, share: u64) -> (u64, u64) {
        let scale = |value: u64| {
            let exact = u128::from(value) * u128::from(share) / u128::from(SHARE_UNIT);
            u64::try_from(exact).unwrap_or(u64::MAX)
        };
        (scale(self.rate), scale(self.burst))
    }
}
