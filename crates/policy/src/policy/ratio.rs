//! Ratios of observed to expected values with exponential decay.

/// A decayed sum of observed values over a decayed sum of expected values.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayedRatio {
    pub(crate) observed: f64,
    pub(crate) expected: f64,
}

impl DecayedRatio {
    /// Multiplies both sums by `keep`, then adds one observation.
    pub(crate) fn add(&mut self, observed: f64, expected: f64, keep: f64) {
        self.observed = self.observed * keep + observed;
        self.expected = self.expected * keep + expected;
    }

    /// Returns the ratio, shrunk towards `prior`, which has the weight of `weight` units of expected value.
    pub(crate) fn with_prior(&self, prior: f64, weight: f64) -> f64 {
        (self.observed + prior * weight) / (self.expected + weight)
    }

    /// Returns the ratio, or `prior` if nothing was observed.
    pub(crate) fn value_or(&self, prior: f64) -> f64 {
        self.with_prior(prior, f64::MIN_POSITIVE)
    }
}
