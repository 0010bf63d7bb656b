//! Requests a second, as other programs name them.

/// A number of requests a second: finite, and neither negative nor negative zero. All arithmetic on
/// it is defined, division by it included, which gives infinity for zero.
///
/// The precision is that at which instances exchange it, so that all of them keep the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
#[derive(derive_more::Display)]
pub struct RequestRate(f32);

impl RequestRate {
    /// No request at all.
    pub const ZERO: Self = Self(0.0);

    /// Returns `rate` requests a second; `None` if it is negative, infinite or no number. Negative
    /// zero is zero. Numbers outside of the range of the type become the nearest one in it.
    pub fn new(rate: f64) -> Option<Self> {
        // Adding zero removes the sign of negative zero.
        (rate.is_finite() && rate >= 0.0).then(|| Self((rate as f32).min(f32::MAX) + 0.0))
    }

    /// Returns the requests a second.
    pub fn get(self) -> f64 {
        f64::from(self.0)
    }
}

impl From<RequestRate> for f32 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}
