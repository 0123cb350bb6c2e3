//! Work sent to backends recently, as sums that decay exponentially.

/// An amount of work that decays to 1/e in a window.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingWork {
    work: f64,
    /// Time at which `work` was computed, ms.
    updated_at: f64,
}

impl DecayingWork {
    pub(crate) fn none(now: f64) -> DecayingWork {
        DecayingWork { work: 0.0, updated_at: now }
    }

    pub(crate) fn at(&self, now: f64, window_ms: f64) -> f64 {
        self.work * (-(now - self.updated_at) / window_ms).exp()
    }

    pub(crate) fn add(&mut self, now: f64, window_ms: f64, work: f64) {
        self.work = self.at(now, window_ms) + work;
        self.updated_at = now;
    }
}

/// Work sent recently to the warm backends of the subset.
#[derive(Debug, Default)]
pub(crate) struct WarmWork {
    sum: DecayingWork,
    /// Sum of the backends' shares of new work.
    shares: f64,
    backends: usize,
}

/// Contribution of one backend to the sums.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Contribution {
    pub(crate) work: f64,
    pub(crate) share: f64,
}

impl WarmWork {
    /// Mean work sent to a backend with a share of 1; 0 if there are no backends.
    pub(crate) fn mean(&self, now: f64, window_ms: f64) -> f64 {
        if self.backends > 0 {
            self.sum.at(now, window_ms).max(0.0) / self.shares
        } else {
            0.0
        }
    }

    /// Adds work that is sent to one of the backends.
    pub(crate) fn record(&mut self, now: f64, window_ms: f64, work: f64) {
        self.sum.add(now, window_ms, work);
    }

    pub(crate) fn add_backend(&mut self, now: f64, window_ms: f64, contribution: Contribution) {
        self.backends += 1;
        self.add_signed(now, window_ms, 1.0, contribution);
    }

    pub(crate) fn remove_backend(&mut self, now: f64, window_ms: f64, contribution: Contribution) {
        self.backends -= 1;
        self.add_signed(now, window_ms, -1.0, contribution);
        // Clears accumulated rounding errors when no backend is left.
        if self.backends == 0 {
            self.sum = DecayingWork::none(now);
            self.shares = 0.0;
        }
    }

    fn add_signed(&mut self, now: f64, window_ms: f64, sign: f64, contribution: Contribution) {
        self.sum.add(now, window_ms, sign * contribution.work);
        self.shares += sign * contribution.share;
    }
}
