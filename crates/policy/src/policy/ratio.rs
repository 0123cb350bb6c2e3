//! Ratios of what was observed to what was expected, in which the past fades.

/// A decayed sum of observed values over a decayed sum of expected ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayedRatio {
    pub(crate) observed: f64,
    pub(crate) expected: f64,
}

impl DecayedRatio {
    /// Adds one observation; of what was there the part `keep` stays.
    pub(crate) fn add(&mut self, observed: f64, expected: f64, keep: f64) {
        self.observed = self.observed * keep + observed;
        self.expected = self.expected * keep + expected;
    }

    /// The ratio, drawn towards `prior` as much as `weight` of expected value would draw it.
    pub(crate) fn with_prior(&self, prior: f64, weight: f64) -> f64 {
        (self.observed + prior * weight) / (self.expected + weight)
    }

    /// The ratio, or `prior` where nothing was observed.
    pub(crate) fn value_or(&self, prior: f64) -> f64 {
        self.with_prior(prior, f64::MIN_POSITIVE)
    }
}
